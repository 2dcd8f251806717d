package event

import "github.com/apex/log"

// Events of the dispatcher, 4000 to 4999.
var (
	PoolTaken        = Event{Number: 4001, Level: log.InfoLevel, Text: "dispatcher took a pool over"}
	PoolHandedOver   = Event{Number: 4002, Level: log.InfoLevel, Text: "dispatcher handed a pool over"}
	GrantTakenBack   = Event{Number: 4003, Level: log.WarnLevel, Text: "grant not released by its deadline, slots taken back"}
	EndpointClosed   = Event{Number: 4004, Level: log.InfoLevel, Text: "endpoint gets no new work"}
	EndpointOpened   = Event{Number: 4005, Level: log.InfoLevel, Text: "endpoint gets new work"}
	StatusFailed     = Event{Number: 4006, Level: log.WarnLevel, Text: "endpoint status could not be read"}
	DispatcherPause  = Event{Number: 4007, Level: log.WarnLevel, Text: "dispatcher was paused, slots in use are counted again"}
	EndpointEjected  = Event{Number: 4008, Level: log.WarnLevel, Text: "endpoint ejected on evidence against its peers"}
	EndpointReturned = Event{Number: 4009, Level: log.InfoLevel, Text: "endpoint returned after its probes"}
	KindAtFault      = Event{Number: 4010, Level: log.WarnLevel, Text: "requests of a member fail on most endpoints, none is ejected for them"}
	BooksIncomplete  = Event{Number: 4011, Level: log.WarnLevel, Text: "an entry did not tell its loans, caps are used with caution"}
)
