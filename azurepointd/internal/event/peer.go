package event

import "github.com/apex/log"

// Events of the exchange between entries, 2000 to 2999.
var (
	EntryJoined = Event{2001, log.InfoLevel, "entry seen for the first time"}
	EntryLost   = Event{2002, log.WarnLevel, "entry not heard from before its deadline"}
	PeerRefused = Event{2003, log.WarnLevel, "peer call without the configured secret refused"}
)
