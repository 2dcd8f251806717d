package event

import "github.com/apex/log"

// Events of the daemon itself, 1000 to 1999.
var (
	Starting        = Event{1001, log.InfoLevel, "starting"}
	Listening       = Event{1002, log.InfoLevel, "listening"}
	SettingsRefused = Event{1004, log.ErrorLevel, "settings refused"}
	ListenFailed    = Event{1005, log.ErrorLevel, "address cannot be listened on"}
	Stopping        = Event{1006, log.InfoLevel, "stopping, no new requests are taken"}
	Stopped         = Event{1007, log.InfoLevel, "stopped"}
	StopCutShort    = Event{1008, log.WarnLevel, "stopped with requests still open"}
	PartFailed      = Event{1009, log.ErrorLevel, "part of the daemon ended with an error"}
	StateDumped     = Event{1010, log.InfoLevel, "state dump written"}
)
