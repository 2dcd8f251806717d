package spare

import "time"

// Observation is what an entry sees of its data centre.
type Observation struct {
	// DataCentre is where instances may be moved; empty means everywhere, for
	// fleets with one data centre.
	DataCentre string
	// Demand holds the windows of each pool, oldest first, without the work
	// that the spare pool takes for others.
	Demand map[string][]Window
	// Instances are the loads of instances, by name.
	Instances map[string]InstanceLoad
	// MoveTakes is how long a move was seen to take, from its start until the
	// instance serves its next pool.
	MoveTakes time.Duration
}

// InstanceLoad is what an entry sees of one instance.
type InstanceLoad struct {
	InFlight int
	// IdleAt is when the last of its tasks is expected to end.
	IdleAt time.Time
	// HoldUntil is when an instance that was moved may be moved again.
	HoldUntil time.Time
	// Leaving is set while the platform plans to take the instance away.
	Leaving bool
}

// Decision is what to propose next.
type Decision struct {
	Moves []Move
	// Wanted is how many instances the spare pool should hold, and Held how
	// many serve in it or are on their way to it.
	Wanted int
	Held   int
	// Reasons explain Wanted and each lasting shortage, with figures.
	Reasons []Reason
}

// Move is an instance to move.
type Move struct {
	Instance string
	From     string
	To       string
	// Swap is the failed instance of To that goes to From in the same change.
	Swap   string
	Reason string
}

// Reason explains what was decided for a pool.
type Reason struct {
	Pool string
	Text string
}
