package event

import "github.com/apex/log"

// Events of the operators' API, 7000 to 7999.
var (
	ChangeApplied   = Event{7001, log.InfoLevel, "change of an operator applied"}
	ChangeRefused   = Event{7002, log.InfoLevel, "change of an operator refused"}
	ChangeUnknown   = Event{7003, log.WarnLevel, "outcome of an operator's change unknown"}
	OperatorRefused = Event{7004, log.WarnLevel, "operator call without the configured secret refused"}
	OperatorLimited = Event{7005, log.WarnLevel, "operator call above the rate refused"}
	OperatorFailed  = Event{7006, log.ErrorLevel, "operator call failed"}
)
