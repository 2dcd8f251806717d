package event

import "github.com/apex/log"

// Events of the operators' API, 7000 to 7999.
var (
	ChangeApplied   = Event{Number: 7001, Level: log.InfoLevel, Text: "change of an operator applied"}
	ChangeRefused   = Event{Number: 7002, Level: log.InfoLevel, Text: "change of an operator refused"}
	ChangeUnknown   = Event{Number: 7003, Level: log.WarnLevel, Text: "outcome of an operator's change unknown"}
	OperatorRefused = Event{Number: 7004, Level: log.WarnLevel, Text: "operator call without the configured secret refused"}
	OperatorLimited = Event{Number: 7005, Level: log.WarnLevel, Text: "operator call above the rate refused"}
	OperatorFailed  = Event{Number: 7006, Level: log.ErrorLevel, Text: "operator call failed"}
)
