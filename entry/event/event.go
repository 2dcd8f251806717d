package event

import (
	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/event"
)

// Event is a kind of log entry with a number that stays the same over releases.
type Event = event.Event

// Events of the process.
var (
	Starting         = Event{Number: 8001, Level: log.InfoLevel, Text: "starting"}
	Stopping         = Event{Number: 8002, Level: log.InfoLevel, Text: "stopping"}
	Stopped          = Event{Number: 8003, Level: log.InfoLevel, Text: "stopped"}
	SettingsReloaded = Event{Number: 8004, Level: log.InfoLevel, Text: "settings reloaded"}
	SettingsInvalid  = Event{Number: 8005, Level: log.ErrorLevel, Text: "settings invalid; the earlier ones stay in force"}
	StateDumped      = Event{Number: 8006, Level: log.InfoLevel, Text: "state dumped"}
	LogDropped       = Event{Number: 8007, Level: log.WarnLevel, Text: "log lines left out"}
	PartFailed       = Event{Number: 8008, Level: log.ErrorLevel, Text: "a part of the process ended"}
)

// Events of dependencies.
var (
	StoreLost        = Event{Number: 8101, Level: log.WarnLevel, Text: "key-value service does not answer"}
	StoreRegained    = Event{Number: 8102, Level: log.InfoLevel, Text: "key-value service answers again"}
	ConfigInForce    = Event{Number: 8103, Level: log.InfoLevel, Text: "configuration in force"}
	ConfigInvalid    = Event{Number: 8104, Level: log.ErrorLevel, Text: "configuration cannot be read; the earlier one stays in force"}
	EndpointLost     = Event{Number: 8105, Level: log.WarnLevel, Text: "endpoint does not answer"}
	EndpointBack     = Event{Number: 8106, Level: log.InfoLevel, Text: "endpoint answers"}
	EndpointListed   = Event{Number: 8107, Level: log.InfoLevel, Text: "endpoint listed"}
	EndpointGone     = Event{Number: 8108, Level: log.InfoLevel, Text: "endpoint no longer listed"}
	EndpointReplaced = Event{Number: 8111, Level: log.InfoLevel, Text: "instance of an endpoint has another one; nothing runs on the earlier one"}
	StoreProbed      = Event{Number: 8110, Level: log.InfoLevel, Text: "key-value service answered a probe; callers' jobs are stored again"}
	EndpointIgnored  = Event{Number: 8109, Level: log.WarnLevel, Text: "entry of the endpoint list ignored"}
)

// Events of ownership.
var (
	OwnerChanged   = Event{Number: 8201, Level: log.InfoLevel, Text: "owner of the pools changed"}
	OwnershipTaken = Event{Number: 8202, Level: log.InfoLevel, Text: "took the pools over"}
	OwnershipReady = Event{Number: 8203, Level: log.InfoLevel, Text: "jobs of the earlier owner loaded"}
	OwnershipLost  = Event{Number: 8204, Level: log.WarnLevel, Text: "lost the pools"}
	AuthorityLost  = Event{Number: 8205, Level: log.WarnLevel, Text: "ownership cannot be confirmed; no orders until it is"}
	AuthorityBack  = Event{Number: 8206, Level: log.InfoLevel, Text: "ownership confirmed again"}
	ClaimFailed    = Event{Number: 8207, Level: log.InfoLevel, Text: "claim of the pools failed"}
	OwnerHeard     = Event{Number: 8208, Level: log.InfoLevel, Text: "another entry told the owner of the pools"}
)

// Events of jobs.
var (
	JobAccepted   = Event{Number: 8301, Level: log.InfoLevel, Text: "job accepted"}
	JobRefused    = Event{Number: 8302, Level: log.InfoLevel, Text: "job refused"}
	JobUnsettled  = Event{Number: 8303, Level: log.WarnLevel, Text: "job may be stored; its caller has to ask again"}
	JobEnded      = Event{Number: 8304, Level: log.InfoLevel, Text: "job ended"}
	JobCancelled  = Event{Number: 8305, Level: log.InfoLevel, Text: "cancelling stored"}
	JobAdopted    = Event{Number: 8306, Level: log.InfoLevel, Text: "job stored by another entry adopted"}
	StateUnknown  = Event{Number: 8307, Level: log.WarnLevel, Text: "state of a job cannot be read"}
	RecordFailed  = Event{Number: 8308, Level: log.WarnLevel, Text: "records were not stored; trying again"}
	RecordInvalid = Event{Number: 8309, Level: log.ErrorLevel, Text: "stored record cannot be read"}
)

// Events of runs.
var (
	RunStarted   = Event{Number: 8401, Level: log.InfoLevel, Text: "run ordered"}
	RunEnded     = Event{Number: 8402, Level: log.InfoLevel, Text: "run ended"}
	OrderRefused = Event{Number: 8403, Level: log.InfoLevel, Text: "endpoint refused an order"}
	OrderLost    = Event{Number: 8404, Level: log.WarnLevel, Text: "order got no answer"}
	OrderFenced  = Event{Number: 8405, Level: log.WarnLevel, Text: "endpoint obeys a later owner"}
)

// Events of maintenance.
var (
	WaveStarted    = Event{Number: 8501, Level: log.InfoLevel, Text: "maintenance wave started"}
	WaveCompleted  = Event{Number: 8502, Level: log.InfoLevel, Text: "maintenance wave completed"}
	UpkeepOrdered  = Event{Number: 8503, Level: log.InfoLevel, Text: "upkeep of an instance ordered"}
	UpkeepRefused  = Event{Number: 8504, Level: log.InfoLevel, Text: "upkeep of an instance refused"}
	MachinesFailed = Event{Number: 8505, Level: log.WarnLevel, Text: "instances cannot be listed"}
	MoveOrdered    = Event{Number: 8506, Level: log.InfoLevel, Text: "move of an instance ordered"}
	InstanceHeld   = Event{Number: 8508, Level: log.InfoLevel, Text: "instance waits for its upkeep"}
	MoveRefused    = Event{Number: 8507, Level: log.InfoLevel, Text: "move of an instance refused"}
)
