package event

import "github.com/apex/log"

// Events of the operators' API, 7000 to 7999.
var (
	ChangeApplied       = Event{Number: 7001, Level: log.InfoLevel, Text: "operator's change applied"}
	ChangeRefused       = Event{Number: 7002, Level: log.InfoLevel, Text: "operator's change refused"}
	ChangeUnknown       = Event{Number: 7003, Level: log.WarnLevel, Text: "result of an operator's change unknown"}
	OperatorCallRefused = Event{Number: 7004, Level: log.WarnLevel, Text: "operator call refused: wrong or missing secret"}
	OperatorCallLimited = Event{Number: 7005, Level: log.WarnLevel, Text: "operator call refused: rate limit exceeded"}
	OperatorCallFailed  = Event{Number: 7006, Level: log.ErrorLevel, Text: "operator call failed"}
)
