package event

import (
	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/event"
)

// Event is a kind of log entry; its number is stable across releases.
type Event = event.Event

// Events of the process.
var (
	Starting         = Event{Number: 8001, Level: log.InfoLevel, Text: "starting"}
	Stopping         = Event{Number: 8002, Level: log.InfoLevel, Text: "stopping"}
	Stopped          = Event{Number: 8003, Level: log.InfoLevel, Text: "stopped"}
	SettingsReloaded = Event{Number: 8004, Level: log.InfoLevel, Text: "settings reloaded"}
	SettingsInvalid  = Event{Number: 8005, Level: log.ErrorLevel, Text: "settings invalid; the previous ones stay in force"}
	StateDumped      = Event{Number: 8006, Level: log.InfoLevel, Text: "state dumped"}
	LogDropped       = Event{Number: 8007, Level: log.WarnLevel, Text: "log lines dropped"}
	ComponentFailed  = Event{Number: 8008, Level: log.ErrorLevel, Text: "a component of the process failed"}
	ClientRefused    = Event{Number: 8009, Level: log.WarnLevel, Text: "clients refused or disconnected because of a limit"}
)

// Events of the key-value service, the configuration and the endpoints.
var (
	StoreUnreachable    = Event{Number: 8101, Level: log.WarnLevel, Text: "key-value service does not answer"}
	StoreRecovered      = Event{Number: 8102, Level: log.InfoLevel, Text: "key-value service answers again"}
	ConfigInForce       = Event{Number: 8103, Level: log.InfoLevel, Text: "configuration in force"}
	ConfigInvalid       = Event{Number: 8104, Level: log.ErrorLevel, Text: "configuration invalid; the previous one stays in force"}
	EndpointUnreachable = Event{Number: 8105, Level: log.WarnLevel, Text: "endpoint does not answer"}
	EndpointBack        = Event{Number: 8106, Level: log.InfoLevel, Text: "endpoint answers"}
	EndpointListed      = Event{Number: 8107, Level: log.InfoLevel, Text: "endpoint listed"}
	EndpointUnlisted    = Event{Number: 8108, Level: log.InfoLevel, Text: "endpoint no longer listed"}
	EndpointReplaced    = Event{Number: 8111, Level: log.InfoLevel, Text: "instance has a new endpoint; the previous endpoint is removed"}
	StoreProbed         = Event{Number: 8110, Level: log.InfoLevel, Text: "key-value service answered a probe; accepting jobs again"}
	EndpointLost        = Event{Number: 8112, Level: log.WarnLevel, Text: "runs ended with their endpoint"}
	AccessClosed        = Event{Number: 8113, Level: log.WarnLevel, Text: "configuration not confirmed in time; requests with a key are refused"}
	AccessReopened      = Event{Number: 8114, Level: log.InfoLevel, Text: "configuration confirmed; requests with a key are served again"}
	KeyRefused          = Event{Number: 8115, Level: log.InfoLevel, Text: "request without a valid key refused"}
	EndpointItemInvalid = Event{Number: 8109, Level: log.WarnLevel, Text: "invalid item of the endpoint list ignored"}
)

// Events of ownership.
var (
	OwnerChanged         = Event{Number: 8201, Level: log.InfoLevel, Text: "owner of the pools changed"}
	OwnershipTaken       = Event{Number: 8202, Level: log.InfoLevel, Text: "took the pools over"}
	OwnershipReady       = Event{Number: 8203, Level: log.InfoLevel, Text: "jobs of the previous owner loaded"}
	OwnershipLost        = Event{Number: 8204, Level: log.WarnLevel, Text: "lost the ownership of the pools"}
	OwnershipUnconfirmed = Event{Number: 8205, Level: log.WarnLevel, Text: "ownership cannot be confirmed; no orders are sent"}
	OwnershipConfirmed   = Event{Number: 8206, Level: log.InfoLevel, Text: "ownership confirmed again"}
	ClaimFailed          = Event{Number: 8207, Level: log.InfoLevel, Text: "claiming the pools failed"}
	OwnershipHandedOver  = Event{Number: 8209, Level: log.InfoLevel, Text: "giving the pools up to a stronger entry"}
	HandoverBegun        = Event{Number: 8210, Level: log.InfoLevel, Text: "handing the pools over; the term has ended"}
	HandoverAccepted     = Event{Number: 8211, Level: log.InfoLevel, Text: "another entry took over from this one"}
	HandoverFailed       = Event{Number: 8212, Level: log.WarnLevel, Text: "an entry did not take over"}
	HandoverReceived     = Event{Number: 8213, Level: log.InfoLevel, Text: "took over with the runs of the previous owner"}
	DataCentreAwaited    = Event{Number: 8214, Level: log.InfoLevel, Text: "inherited jobs wait for endpoints that have not reported"}
	DataCentreNotAwaited = Event{Number: 8215, Level: log.InfoLevel, Text: "inherited jobs no longer wait for endpoints"}
	StartsWithheld       = Event{Number: 8216, Level: log.WarnLevel, Text: "no task starts; cancellations by other entries may be unread"}
	StartsResumed        = Event{Number: 8217, Level: log.InfoLevel, Text: "tasks start again; the cancellations have been read"}
	ClaimYielded         = Event{Number: 8218, Level: log.WarnLevel, Text: "earlier processes of this entry ended soon after they took the pools over; other entries go first"}
	OwnerReported        = Event{Number: 8208, Level: log.InfoLevel, Text: "another entry reported a newer owner of the pools"}
)

// Events of jobs.
var (
	JobAccepted        = Event{Number: 8301, Level: log.InfoLevel, Text: "job accepted"}
	JobRefused         = Event{Number: 8302, Level: log.InfoLevel, Text: "job refused"}
	JobUnsettled       = Event{Number: 8303, Level: log.WarnLevel, Text: "job may be stored; its caller has to ask again"}
	JobEnded           = Event{Number: 8304, Level: log.InfoLevel, Text: "job ended"}
	JobCancelled       = Event{Number: 8305, Level: log.InfoLevel, Text: "cancellation stored"}
	JobAdopted         = Event{Number: 8306, Level: log.InfoLevel, Text: "job stored by another entry adopted"}
	JobStateUnreadable = Event{Number: 8307, Level: log.WarnLevel, Text: "job state cannot be read"}
	RecordFailed       = Event{Number: 8308, Level: log.WarnLevel, Text: "records were not stored; trying again"}
	RecordConflict     = Event{Number: 8310, Level: log.ErrorLevel, Text: "record changed by another writer; the term ends and the jobs are read again"}
	LimitReached       = Event{Number: 8311, Level: log.InfoLevel, Text: "organisation has reached its limit; its tasks wait"}
	LimitLeft          = Event{Number: 8312, Level: log.InfoLevel, Text: "tasks of an organisation no longer wait for its limit"}
	GangAboveLimit     = Event{Number: 8313, Level: log.WarnLevel, Text: "gang is larger than the limit of its organisation; it waits for a higher limit"}
	DurationsInvalid   = Event{Number: 8314, Level: log.WarnLevel, Text: "stored run times cannot be read; they are learned again"}
	JobWidened         = Event{Number: 8315, Level: log.InfoLevel, Text: "tasks of a job may start outside its data centre"}
	RecordRefused      = Event{Number: 8316, Level: log.ErrorLevel, Text: "the store never takes a record; it is held back apart from the others"}
	RecordInvalid      = Event{Number: 8309, Level: log.ErrorLevel, Text: "stored record cannot be read"}
)

// Events of runs.
var (
	RunStarted      = Event{Number: 8401, Level: log.InfoLevel, Text: "run ordered"}
	RunEnded        = Event{Number: 8402, Level: log.InfoLevel, Text: "run ended"}
	OrderRefused    = Event{Number: 8403, Level: log.InfoLevel, Text: "endpoint refused an order"}
	OrderUnanswered = Event{Number: 8404, Level: log.WarnLevel, Text: "order got no answer"}
	TaskCrashed     = Event{Number: 8406, Level: log.WarnLevel, Text: "endpoint crashed under a task"}
	TaskEvacuated   = Event{Number: 8407, Level: log.InfoLevel, Text: "long-running task is stopped so that it moves"}
	OrderFenced     = Event{Number: 8405, Level: log.WarnLevel, Text: "endpoint has a higher fencing token"}
)

// Events of maintenance.
var (
	WaveStarted         = Event{Number: 8501, Level: log.InfoLevel, Text: "maintenance wave started"}
	WaveCompleted       = Event{Number: 8502, Level: log.InfoLevel, Text: "maintenance wave completed"}
	MaintenanceOrdered  = Event{Number: 8503, Level: log.InfoLevel, Text: "maintenance of an instance ordered"}
	MaintenanceRefused  = Event{Number: 8504, Level: log.InfoLevel, Text: "maintenance of an instance refused"}
	InstanceListFailed  = Event{Number: 8505, Level: log.WarnLevel, Text: "reading the instance list failed"}
	MoveOrdered         = Event{Number: 8506, Level: log.InfoLevel, Text: "move of an instance ordered"}
	InstanceReserved    = Event{Number: 8508, Level: log.InfoLevel, Text: "instance is reserved for maintenance and still has runs"}
	MoveRefused         = Event{Number: 8507, Level: log.InfoLevel, Text: "move of an instance refused"}
	InstanceItemInvalid = Event{Number: 8509, Level: log.WarnLevel, Text: "invalid item of the instance list; the instance is left alone"}
)
