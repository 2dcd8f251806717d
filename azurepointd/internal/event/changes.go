package event

import "github.com/apex/log"

// Events of the configuration and the instance list, 5000 to 5999.
var (
	ConfigurationLoaded         = Event{Number: 5001, Level: log.InfoLevel, Text: "first configuration loaded"}
	StoreUnreachable            = Event{Number: 5002, Level: log.WarnLevel, Text: "key-value service unreachable; keeping the current configuration"}
	StoreReachable              = Event{Number: 5003, Level: log.InfoLevel, Text: "key-value service reachable again"}
	ReaderUnreachable           = Event{Number: 5004, Level: log.WarnLevel, Text: "entry that reads the change log unreachable; reading from the key-value service"}
	ChangeLogUnreadable         = Event{Number: 5005, Level: log.ErrorLevel, Text: "change log cannot be read; keeping the current configuration"}
	CompactionFailed            = Event{Number: 5006, Level: log.WarnLevel, Text: "snapshot of the configuration could not be written"}
	LeavingInstancesChanged     = Event{Number: 5007, Level: log.InfoLevel, Text: "set of leaving instances in the platform's instance list changed"}
	ListUnreachable             = Event{Number: 5008, Level: log.WarnLevel, Text: "instance list unreachable; keeping the known leaving instances"}
	ListReachable               = Event{Number: 5009, Level: log.InfoLevel, Text: "instance list reachable again"}
	ConfigurationLoadedFromPeer = Event{Number: 5010, Level: log.InfoLevel, Text: "newer configuration loaded from a peer"}
	ChangeResultUnknown         = Event{Number: 5011, Level: log.WarnLevel, Text: "result of a change unknown"}
)
