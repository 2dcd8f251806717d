package event

import "github.com/apex/log"

// Events of the exchange between entries, 2000 to 2999.
var (
	EntryJoined = Event{Number: 2001, Level: log.InfoLevel, Text: "entry seen for the first time"}
	EntryLost   = Event{Number: 2002, Level: log.WarnLevel, Text: "entry not heard from before its deadline"}
	PeerRefused = Event{Number: 2003, Level: log.WarnLevel, Text: "peer call without the configured secret refused"}
)
