package event

import "github.com/apex/log"

// Events of the configuration and the instance list, 5000 to 5999.
var (
	ConfigurationLoaded = Event{Number: 5001, Level: log.InfoLevel, Text: "first configuration in force"}
	StoreUnreachable    = Event{Number: 5002, Level: log.WarnLevel, Text: "key-value service does not answer; the configuration in force stays"}
	StoreReachable      = Event{Number: 5003, Level: log.InfoLevel, Text: "key-value service answers again"}
	ReaderUnreachable   = Event{Number: 5004, Level: log.WarnLevel, Text: "reader of the change log does not answer; reading from the service"}
	LogUnreadable       = Event{Number: 5005, Level: log.ErrorLevel, Text: "change log cannot be read; the configuration in force stays"}
	CompactionFailed    = Event{Number: 5006, Level: log.WarnLevel, Text: "snapshot of the configuration could not be written"}
	InstancesLeaving    = Event{Number: 5007, Level: log.InfoLevel, Text: "leaving instances of the platform's list changed"}
	ListUnreachable     = Event{Number: 5008, Level: log.WarnLevel, Text: "instance list does not answer; the leaving instances stay"}
	ListReachable       = Event{Number: 5009, Level: log.InfoLevel, Text: "instance list answers again"}
	TakenFromPeer       = Event{Number: 5010, Level: log.InfoLevel, Text: "configuration taken from a peer that was ahead"}
	RecordUnknown       = Event{Number: 5011, Level: log.WarnLevel, Text: "outcome of a change unknown"}
)
