package event

import "github.com/apex/log"

// Events of the dispatcher, 4000 to 4999.
var (
	PoolTakenOver       = Event{Number: 4001, Level: log.InfoLevel, Text: "dispatcher took over a pool"}
	PoolHandedOver      = Event{Number: 4002, Level: log.InfoLevel, Text: "dispatcher handed over a pool"}
	GrantReclaimed      = Event{Number: 4003, Level: log.WarnLevel, Text: "grant not released by its deadline; slots reclaimed"}
	EndpointUnavailable = Event{Number: 4004, Level: log.InfoLevel, Text: "endpoint receives no new tasks"}
	EndpointAvailable   = Event{Number: 4005, Level: log.InfoLevel, Text: "endpoint receives new tasks"}
	StatusFailed        = Event{Number: 4006, Level: log.WarnLevel, Text: "endpoint status could not be read"}
	DispatcherPaused    = Event{Number: 4007, Level: log.WarnLevel, Text: "dispatcher was paused; recounting the slots in use"}
	EndpointEjected     = Event{Number: 4008, Level: log.WarnLevel, Text: "endpoint ejected: failure rate far above its peers, or a probe failed"}
	EndpointReadmitted  = Event{Number: 4009, Level: log.InfoLevel, Text: "endpoint readmitted after successful probes"}
	MemberAtFault       = Event{Number: 4010, Level: log.WarnLevel, Text: "requests of a member fail on most endpoints; no endpoint is ejected for them"}
	LoansIncomplete     = Event{Number: 4011, Level: log.WarnLevel, Text: "an entry did not report its loans; all slots count as lent until every possible loan has ended"}
)
