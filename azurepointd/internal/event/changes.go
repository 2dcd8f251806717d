package event

import "github.com/apex/log"

// Events of the configuration and the instance list, 5000 to 5999.
var (
	ConfigurationLoaded = Event{5001, log.InfoLevel, "first configuration in force"}
	StoreUnreachable    = Event{5002, log.WarnLevel, "key-value service does not answer; the configuration in force stays"}
	StoreReachable      = Event{5003, log.InfoLevel, "key-value service answers again"}
	ReaderUnreachable   = Event{5004, log.WarnLevel, "reader of the change log does not answer; reading from the service"}
	LogUnreadable       = Event{5005, log.ErrorLevel, "change log cannot be read; the configuration in force stays"}
	CompactionFailed    = Event{5006, log.WarnLevel, "snapshot of the configuration could not be written"}
	InstancesLeaving    = Event{5007, log.InfoLevel, "leaving instances of the platform's list changed"}
	ListUnreachable     = Event{5008, log.WarnLevel, "instance list does not answer; the leaving instances stay"}
	ListReachable       = Event{5009, log.InfoLevel, "instance list answers again"}
	TakenFromPeer       = Event{5010, log.InfoLevel, "configuration taken from a peer that was ahead"}
	RecordUnknown       = Event{5011, log.WarnLevel, "outcome of a change unknown"}
)
