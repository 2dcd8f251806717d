package manager

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// Settings of a manager that depend on the platform.
type Settings struct {
	// LongestLease is the longest lease that endpoints grant.
	LongestLease time.Duration
	// StateKept is how long a final state can be asked for.
	StateKept time.Duration
	// OrderLease is how long the platform needs to see one holder of a duty before
	// another takes its turn.
	OrderLease time.Duration
	// UpkeepTime is how long an instance is away.
	UpkeepTime time.Duration
	// StopTime is how long an endpoint may take to stop a run.
	StopTime time.Duration
}

// Times of leases and calls.
const (
	// lease is how long an endpoint goes on without a renewal: the time to notice a
	// lost owner (1.5 s) and to take over, with a second to spare, and short enough
	// that the tasks of a lost endpoint restart within their late objective.
	lease = 4 * time.Second
	// holdWait is how long one look waits for an end, a quarter of the lease.
	holdWait = time.Second
	// warmingWait is how long a look waits while a lasting task starts up, as no end
	// tells when it is at work and the next task of its step may move.
	warmingWait = 250 * time.Millisecond
	// holdTimeout is added to the wait before a look counts as unanswered.
	holdTimeout = 700 * time.Millisecond
	// lookTimeout bounds a look at an endpoint that did not answer the last one.
	lookTimeout = 600 * time.Millisecond
	// gatherEnds lets ends that come close together share a look; it is multiplied
	// by the number of endpoints beyond gatherEndpoints, as every look takes about a
	// tenth of a millisecond of the owner's processor.
	gatherEnds      = 15 * time.Millisecond
	gatherEndpoints = 80
	// orderTimeout bounds an order.
	orderTimeout = 700 * time.Millisecond
	// startWithin is how late an endpoint may carry out a start.
	startWithin = 2 * time.Second
	// slowClock is the ratio of a duration here to one on an endpoint's clock, which
	// may be 2% slow, and a little more for rounding.
	slowClock = 1.025
	// unlistedGrace is how long an endpoint that answers is kept after its entry is
	// gone; entries that lapsed with the store are back within 2 s.
	unlistedGrace = 3 * time.Second
	// recordDelay is how long the record of a job that goes on may wait to be
	// stored, well below the 4 s in which ends have to be acknowledged.
	recordDelay = time.Second
	// loadTimeout bounds one attempt to read all jobs: 20 pages of a slow store.
	loadTimeout = 6 * time.Second
	// forgetInterval separates removals of old records, and forgetMargin is added to
	// the time for which a final state is kept: a repeated submission must still find
	// its record.
	forgetInterval = 10 * time.Second
	forgetMargin   = time.Minute
	// planInterval is the longest time between two plans.
	planInterval = 100 * time.Millisecond
	// planSpacing is the shortest time between two plans.
	planSpacing = 8 * time.Millisecond
	// runsPerTerm separates the run numbers of successive owners; it is above the
	// runs that an owner can start of a task without storing an end of it.
	runsPerTerm = 64
)

// schedulerSettings returns the settings of the scheduler of an owner's term.
func (s Settings) scheduler(number int, authority time.Duration) schedule.Settings {
	held := min(lease, s.LongestLease)
	return schedule.Settings{
		Lease:          held,
		InheritedLease: authority + time.Duration(float64(held)*slowClock) + time.Second/2,
		StartWithin:    startWithin,
		StopTime:       s.StopTime,
		SlowClock:      slowClock,
		FirstRun:       (number - 1) * runsPerTerm,
	}
}
