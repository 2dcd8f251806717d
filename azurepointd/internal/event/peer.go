package event

import "github.com/apex/log"

// Events of the communication between entries, 2000 to 2999.
var (
	EntryJoined     = Event{Number: 2001, Level: log.InfoLevel, Text: "entry seen for the first time"}
	EntryLost       = Event{Number: 2002, Level: log.WarnLevel, Text: "entry sent no heartbeat before its deadline, or was replaced"}
	PeerCallRefused = Event{Number: 2003, Level: log.WarnLevel, Text: "peer call refused: wrong or missing secret"}
)
