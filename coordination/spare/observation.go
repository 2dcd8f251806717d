package spare

import "time"

// Observation is the observed state of one data centre.
type Observation struct {
	// DataCentre is where instances may be moved; empty means all data centres,
	// for fleets with only one.
	DataCentre string
	// Demand holds the windows of each pool, oldest first, without the requests
	// that the spare pool runs for other pools.
	Demand map[string][]Window
	// Instances holds the load of each instance, by name.
	Instances map[string]InstanceLoad
	// MoveDuration is the observed duration of a move, from its start until the
	// instance serves its next pool.
	MoveDuration time.Duration
}

// InstanceLoad is the observed load of one instance.
type InstanceLoad struct {
	InFlight int
	// IdleAt is when the last of its tasks is expected to end.
	IdleAt time.Time
	// HoldUntil is when an instance that was moved may be moved again.
	HoldUntil time.Time
	// PlannedRemoval is set while the platform plans to remove the instance.
	PlannedRemoval bool
}

// Decision is what Plan proposes.
type Decision struct {
	Moves []Move
	// Wanted is how many instances the spare pool should have, and Held how
	// many serve in it or are being moved to it.
	Wanted int
	Held   int
	// Reasons explain Wanted and each lasting shortage, with figures.
	Reasons []Reason
}

// Move proposes to move an instance to another pool.
type Move struct {
	Instance string
	From     string
	To       string
	// Swap is the failed instance of To that is moved to From in the same
	// change.
	Swap   string
	Reason string
}

// Reason explains the decision for a pool.
type Reason struct {
	Pool string
	Text string
}
