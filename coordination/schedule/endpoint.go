package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Capacity is an amount of resources that an endpoint has or a task takes.
type Capacity = job.Capacity

// Endpoint describes an endpoint as it is listed. An instance gets a new endpoint
// after a move or a crash.
type Endpoint struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Capacity
	Draining   bool
	// Instance is the name of the instance that runs the endpoint.
	Instance string
}

// endpoint holds a listed endpoint with its observed state and its runs.
type endpoint struct {
	Endpoint

	listed bool
	// joinedAt is the time at which the endpoint was added.
	joinedAt time.Time
	// contacted is set once the endpoint has answered a poll of this owner.
	contacted bool
	// handedUnread is set if the earlier owner handed over that it had not read all runs there.
	handedUnread bool
	// unresponsiveSince is the time of the first unanswered call since the last
	// report; zero if there is none.
	unresponsiveSince time.Time
	// silent is set if that call timed out, and not if its connection ended.
	silent bool
	// reportedAt is the arrival time of the last report, and aliveAt that of the last
	// report or accepted start.
	reportedAt, aliveAt time.Time
	// slowUntil is the time until which the endpoint counts as slow.
	slowUntil time.Time
	// unansweredOrders counts the unanswered orders since the last report.
	unansweredOrders int
	// leaseUntil is the time at which every lease that may have been granted has
	// expired.
	leaseUntil time.Time
	// grantedUntil is the time until which a lease is certain to last that the endpoint has granted.
	grantedUntil time.Time
	// incarnation identifies the process of the endpoint; it changes with a restart.
	incarnation int64
	// lastAppliedEnd is the number of the last end that was applied.
	lastAppliedEnd int64
	// lastStoredEnd is the number of the last end that may be acknowledged: its
	// effect and those of all ends before it are stored.
	lastStoredEnd int64
	// unstoredEnds holds the applied ends whose effect may not be stored yet, in
	// order.
	unstoredEnds []appliedEnd
	// waitsFor is the job for whose record the first of them waits.
	waitsFor *jobState

	runs map[string]*run
	// used is what the runs take, and usedLongRunning what those of long-running tasks do.
	used, usedLongRunning Capacity
	// smallRuns counts the runs of small tasks, and unconfirmedRuns those of which it is not known
	// whether they have started.
	smallRuns, unconfirmedRuns int

	// consecutiveFailures counts the failed runs since the last success.
	consecutiveFailures int
	// backoffUntil is the time until which the endpoint gets no new tasks after
	// failures or refusals.
	backoffUntil time.Time
	// reservedForMaintenance and moving keep new tasks from an endpoint that is
	// about to have its maintenance or to move.
	reservedForMaintenance, moving bool
	// longRunningReserve is the free capacity that only long-running tasks may take.
	longRunningReserve Capacity
	// cordoned keeps new tasks from the endpoint until it is idle and can move to a
	// pool that needs it.
	cordoned bool
	// maintenanceDue is set while the maintenance of the instance is still to come.
	maintenanceDue bool
	// replacementOrdered is set once a move or the maintenance of the instance may have
	// been ordered, so that a new endpoint of it shows no crash.
	replacementOrdered bool
	// exclusiveTo is the job whose isolated task runs on the endpoint, and heldFor the task
	// that waits until heldUntil to be started there in isolation. No other job gets a start
	// meanwhile.
	exclusiveTo *jobState
	heldFor     *task
	heldUntil   time.Time
	// unknownRuns holds reported runs of unknown size by task name. They are
	// stopped, and the endpoint gets no new tasks until they are gone.
	unknownRuns map[string]unknownRun
}

// unknownRun is a reported run of which only the number is known.
type unknownRun struct {
	number   int
	stopSent bool
}

// appliedEnd is an applied end that waits until the job record is stored.
type appliedEnd struct {
	number  int64
	job     *jobState
	version int
	// readAt is when the report with the end arrived, and waited is set if its effect was not
	// stored then.
	readAt time.Time
	waited bool
}

// hasUncertainRun reports whether the next poll has to show if a run is active.
func (e *endpoint) hasUncertainRun() bool {
	for _, r := range e.runs {
		if r.state == uncertain {
			return true
		}
	}
	return false
}

// hasWarmingTask reports whether a long-running task is starting up on the endpoint.
func (e *endpoint) hasWarmingTask() bool {
	for _, r := range e.runs {
		if r.task.step.LongRunning && r.progressPercent < servingPercent {
			return true
		}
	}
	return false
}

// unresponsive reports whether calls have gone unanswered since the last report.
func (e *endpoint) unresponsive() bool {
	return !e.unresponsiveSince.IsZero()
}

// neverAnswered reports whether the endpoint has answered nothing for as long as a lease of an
// earlier owner lasts. Its entry in the list may be one of another writer.
func (e *endpoint) neverAnswered(now time.Time) bool {
	return !e.contacted && !now.Before(e.leaseUntil)
}

// usable reports whether the endpoint may get new tasks.
func (e *endpoint) usable() bool {
	return e.listed && e.contacted && !e.Draining && !e.reserved() && !e.unresponsive() && len(e.unknownRuns) == 0
}

// reserved reports whether the endpoint is about to be taken out of service.
func (e *endpoint) reserved() bool {
	return e.reservedForMaintenance || e.moving
}

// idle reports whether nothing runs on the endpoint and all ends that it lists are stored. Until
// then the endpoint has the only lasting copy of an end.
func (e *endpoint) idle() bool {
	return len(e.runs)+len(e.unknownRuns)+len(e.unstoredEnds) == 0
}

func (e *endpoint) free() Capacity {
	return e.Capacity.Minus(e.used)
}

// freeFor returns the capacity that a task of the step may use.
func (e *endpoint) freeFor(st *stepState) Capacity {
	if st.step.LongRunning {
		return e.free()
	}
	return e.free().Minus(e.longRunningReserve)
}

// permits reports whether the label and anti-affinity rules allow the task on the
// endpoint, beside the tasks of its step that run there and those that are planned
// there. It does not check the capacity.
func (e *endpoint) permits(st *stepState, t *task, planned int) bool {
	if !e.hasLabel(st.step.RequiredLabel) || e.runs[t.name] != nil {
		return false
	}
	a := st.step.AntiAffinity
	return a <= 0 || st.byEndpoint[e]+planned < a
}

// longRunningUsage returns the capacity that long-running tasks take.
func (e *endpoint) longRunningUsage() Capacity {
	return e.usedLongRunning
}

func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.Labels, label)
}

// advanceLastStoredEnd moves lastStoredEnd over all ends whose effect is stored, in
// order, and returns them.
func (e *endpoint) advanceLastStoredEnd() (stored []appliedEnd) {
	e.waitsFor = nil
	for i, end := range e.unstoredEnds {
		if j := end.job; j != nil && j.storedVersion < end.version && j.refusals < maxRefusals {
			e.waitsFor = j
			stored, e.unstoredEnds = e.unstoredEnds[:i], e.unstoredEnds[i:]
			return stored
		}
		e.lastStoredEnd = end.number
	}
	stored, e.unstoredEnds = e.unstoredEnds, nil
	return stored
}

// updateStoredEnds acknowledges the ends on an endpoint whose effects are stored, and makes the
// record of the job that the next one waits for acknowledge it.
func (s *Scheduler) updateStoredEnds(e *endpoint) {
	before := e.waitsFor
	for _, end := range e.advanceLastStoredEnd() {
		if s.OnEndStored != nil && end.waited {
			s.OnEndStored(end.readAt)
		}
	}
	if j := e.waitsFor; j != nil && j != before {
		j.endsWait = append(j.endsWait, e)
	}
}
