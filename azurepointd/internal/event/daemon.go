package event

import "github.com/apex/log"

// Events of the daemon itself, 1000 to 1999.
var (
	Starting        = Event{Number: 1001, Level: log.InfoLevel, Text: "starting"}
	Listening       = Event{Number: 1002, Level: log.InfoLevel, Text: "listening"}
	SettingsRefused = Event{Number: 1004, Level: log.ErrorLevel, Text: "settings refused"}
	ListenFailed    = Event{Number: 1005, Level: log.ErrorLevel, Text: "cannot listen on address"}
	Stopping        = Event{Number: 1006, Level: log.InfoLevel, Text: "stopping; new requests are refused"}
	Stopped         = Event{Number: 1007, Level: log.InfoLevel, Text: "stopped"}
	StopTimedOut    = Event{Number: 1008, Level: log.WarnLevel, Text: "stopped with requests still open"}
	PartFailed      = Event{Number: 1009, Level: log.ErrorLevel, Text: "part of the daemon ended with an error"}
	StateDumped     = Event{Number: 1010, Level: log.InfoLevel, Text: "state dump written"}
	HangupIgnored   = Event{Number: 1011, Level: log.InfoLevel, Text: "SIGHUP ignored; settings are read at the start"}
	ClientRefused   = Event{Number: 1012, Level: log.WarnLevel, Text: "clients refused or disconnected because of a limit"}
)
