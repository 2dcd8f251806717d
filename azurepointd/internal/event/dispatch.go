package event

import "github.com/apex/log"

// Events of the dispatcher, 4000 to 4999.
var (
	PoolTaken        = Event{4001, log.InfoLevel, "dispatcher took a pool over"}
	PoolHandedOver   = Event{4002, log.InfoLevel, "dispatcher handed a pool over"}
	GrantTakenBack   = Event{4003, log.WarnLevel, "grant not released by its deadline, slots taken back"}
	EndpointClosed   = Event{4004, log.InfoLevel, "endpoint gets no new work"}
	EndpointOpened   = Event{4005, log.InfoLevel, "endpoint gets new work"}
	StatusFailed     = Event{4006, log.WarnLevel, "endpoint status could not be read"}
	DispatcherPause  = Event{4007, log.WarnLevel, "dispatcher was paused, slots in use are counted again"}
	EndpointEjected  = Event{4008, log.WarnLevel, "endpoint ejected on evidence against its peers"}
	EndpointReturned = Event{4009, log.InfoLevel, "endpoint returned after its probes"}
	KindAtFault      = Event{4010, log.WarnLevel, "requests of a member fail on most endpoints, none is ejected for them"}
	BooksIncomplete  = Event{4011, log.WarnLevel, "an entry did not tell its loans, caps are used with caution"}
)
