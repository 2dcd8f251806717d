package manager

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Settings are the settings of a manager that depend on the platform.
type Settings struct {
	// MaxLease is the longest lease that endpoints grant.
	MaxLease time.Duration
	// StateRetention is how long callers can query a final state.
	StateRetention time.Duration
	// OrderLease is the time that the platform requires between orders of different
	// holders for the same duty.
	OrderLease time.Duration
	// MaintenanceTime is how long an instance is out of service for maintenance.
	MaintenanceTime time.Duration
	// StopTime is how long an endpoint may take to stop a run.
	StopTime time.Duration
	// MeanDurations makes the scheduler expect of every task the moving average of its queue,
	// instead of learning from finished runs what their run time depends on.
	MeanDurations bool
	// LearnedSizes sizes pools by learned run times.
	LearnedSizes bool
	// RefuseLate makes the owner refuse jobs that cannot be served in time.
	RefuseLate bool
	// DataCentreLosses is how many data centres may be lost at a time while the jobs of the
	// others are served. If it is not 0, new jobs are confined to a data centre where that is
	// possible, unless WideJobs is set.
	DataCentreLosses int
	WideJobs         bool
	// MaxValueBytes is the longest value that the store accepts; store.DefaultMaxValueBytes if it is not
	// positive.
	MaxValueBytes int
}

// ValueLimit returns the longest value that the store accepts, in bytes.
func (s Settings) ValueLimit() int {
	if s.MaxValueBytes <= 0 {
		return store.DefaultMaxValueBytes
	}
	return s.MaxValueBytes
}

// Leases, timeouts and intervals.
const (
	// endpointLease is how long an endpoint continues without a renewal: the time to
	// detect the loss of the owner (1.5 s) and to take over, with a second to spare,
	// and short enough that tasks of a lost endpoint restart within their late
	// objective.
	endpointLease = 4 * time.Second
	// pollWait is how long a poll waits for a run to end, a quarter of the lease.
	pollWait = time.Second
	// warmingPollWait is how long a poll waits while a long-running task starts up:
	// no run end reports when it is ready, and the next task of its step may only
	// move then. It is also the wait while an endpoint takes no starts of other jobs.
	warmingPollWait = 250 * time.Millisecond
	// pollTimeoutMargin is added to the wait before a poll counts as unanswered.
	pollTimeoutMargin = 700 * time.Millisecond
	// silentPollTimeout bounds a poll of an endpoint that did not answer the previous
	// one.
	silentPollTimeout = 600 * time.Millisecond
	// runEndBatchStep lets runs that end shortly after each other share a poll; it is
	// multiplied by one plus the smaller of the number of endpoints divided by
	// endpointsPerBatchStep and the polls of the last second divided by pollsPerBatchStep,
	// because every poll takes about a tenth of a millisecond of the owner's CPU.
	// The polls are counted of which the answers have ends, so that a calm fleet is not slow
	// because it is large.
	runEndBatchStep       = 15 * time.Millisecond
	endpointsPerBatchStep = 80
	pollsPerBatchStep     = 400
	// idlePollWait and idlePollWaitPerEndpoint bound the wait of a poll of an endpoint without
	// runs, which the endpoint allows to be 2 s: 3,000 idle endpoints would take 3,000 polls a
	// second.
	maxIdlePollWait         = 2 * time.Second
	idlePollWaitPerEndpoint = time.Millisecond
	// maxStartsPerPlan and, for plans that follow each other late, maxStartsPerSecond limit the
	// starts that are sent at once. They allow more starts than an owner can send, and the
	// renewal of its lease and the polls have their turn in between.
	maxStartsPerPlan   = 64
	maxStartsPerSecond = 4000
	// orderTimeout bounds an order.
	orderTimeout = 700 * time.Millisecond
	// inheritedLeaseMargin is added to the time within which the leases end that an earlier
	// owner has renewed. It renews none after its own lease has ended in the store, which is
	// before a successor can claim the pools.
	inheritedLeaseMargin = 200 * time.Millisecond
	// startWithin is how late an endpoint may carry out a start order.
	startWithin = 2 * time.Second
	// cancelWithin is how late an endpoint may carry out a start order after the cancellation of
	// its job was acknowledged: 3 s by a clock that is as slow as maxClockRatio allows.
	cancelWithin = 2900 * time.Millisecond
	// maxClockRatio is the highest ratio of a duration on the owner's clock to the
	// same one on an endpoint's clock, which may be 2% slow, plus a little for
	// rounding.
	maxClockRatio = 1.025
	// unlistedGrace is how long the lease of a responding endpoint without tasks is
	// renewed after it left the list; list items that expired during an outage of the
	// store are back within 2 s.
	unlistedGrace = 3 * time.Second
	// maxRecordDelay is how long the record of a running job may wait to be stored,
	// well below the 4 s within which run ends have to be acknowledged.
	maxRecordDelay = time.Second
	// loadTimeout bounds one attempt to read all jobs: 20 pages from a slow store.
	loadTimeout = 6 * time.Second
	// cleanupInterval is the time between removals of old records. cleanupMargin is
	// added to the time for which a final state is kept, so that a repeated
	// submission still finds the record.
	cleanupInterval = 10 * time.Second
	cleanupMargin   = time.Minute
	// maxPlanInterval is the longest time between two plans.
	maxPlanInterval = 100 * time.Millisecond
	// minPlanInterval is the shortest time between two plans. Plans that take long follow each
	// other later.
	minPlanInterval = 8 * time.Millisecond
	// runsPerTerm separates the run numbers of successive owners; it is above the
	// number of runs of a task that an owner can start without storing the end of
	// one.
	runsPerTerm = 64
)

// schedulerSettings returns the scheduler's settings for a term.
func (s Settings) schedulerSettings(number int) schedule.Settings {
	lease := min(endpointLease, s.MaxLease)
	return schedule.Settings{
		Lease:          lease,
		InheritedLease: time.Duration(float64(lease)*maxClockRatio) + inheritedLeaseMargin,
		MaxLease:       s.MaxLease,
		StartTimeout:   startWithin,
		StopTimeout:    s.StopTime,
		MaxClockRatio:  maxClockRatio,
		RunNumberBase:  (number - 1) * runsPerTerm,
		MeanDurations:  s.MeanDurations,
		ConfineJobs:    s.DataCentreLosses > 0 && !s.WideJobs,
		Term:           int64(number),
		MaxStarts:      maxStartsPerPlan,
		LearnedSizes:   s.LearnedSizes,
	}
}
