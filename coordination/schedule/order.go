package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Action is the operation that an order requests.
type Action int

// Actions of orders. Pace sets the share at which a run may work.
const (
	Start Action = iota
	Stop
	Pace
)

// String returns the action in the format used in logs.
func (a Action) String() string {
	return [...]string{"start", "stop", "pace"}[a]
}

// Order is a call to be sent to an endpoint.
type Order struct {
	Action   Action
	Endpoint string
	Task     string
	Run      int
	// Job and TimeSinceAcceptance belong to a start: the identifier of the job and the
	// time since its acceptance.
	Job                 string
	TimeSinceAcceptance time.Duration
	// PreviousEnd belongs to a start: how the task's run before ended, or empty if this owner knew
	// none.
	PreviousEnd string
	// Spec and Checkpoint belong to a start.
	Spec       string
	Checkpoint string
	// StartBy belongs to a start: the time after which the endpoint must refuse it, and until
	// which it grants a lease.
	StartBy time.Time
	// UsesPolicy belongs to a start: the policy service of the queue has to be asked
	// first.
	UsesPolicy bool
	// Percent belongs to a pace.
	Percent int
}

// OrderResult is the result of an order.
type OrderResult int

// Results of orders.
const (
	// Accepted means that the endpoint has carried out the order.
	Accepted OrderResult = iota
	// NotExecuted means that the endpoint has not carried out the order and never will.
	NotExecuted
	// AlreadyEnded means that this run or a later one of the task has already ended on
	// the endpoint.
	AlreadyEnded
	// InsufficientCapacity means that the endpoint enforces its capacity and has too little left.
	InsufficientCapacity
	// Unhealthy means that the endpoint accepts no orders at present.
	Unhealthy
	// Unknown means that no answer arrived; the order may still be carried out.
	Unknown
	// Disconnected is Unknown for an endpoint that was reached and ended the connection.
	Disconnected
)

// Reactions to refused and unanswered orders.
const (
	// refusalBackoff is how long an endpoint gets no new tasks after it refused a
	// start.
	refusalBackoff = 300 * time.Millisecond
	// maxUnansweredOrders is how many unanswered orders without an answered poll in
	// between make an endpoint count as unresponsive.
	maxUnansweredOrders = 3
)

// MaySend reports whether a planned order may still be sent; it has to be called just before that.
// The run of a start that may not be sent ends without having started, and a stop that may not be
// sent is planned again.
func (s *Scheduler) MaySend(o Order, now time.Time) bool {
	e := s.endpoints[o.Endpoint]
	if e == nil {
		return o.Action != Start
	}
	r := e.runs[o.Task]
	if r == nil || r.number != o.Run {
		return o.Action != Start
	}
	switch o.Action {
	case Start:
		// The job may have been cancelled or have ended since, and the endpoint be about to leave.
		// It may also have less capacity.
		may := !r.stopRequested && e.listed && !e.Draining && !now.After(r.startDeadline) && e.free().Plus(r.size).CanFit(r.size)
		if !may && r.state == starting {
			s.endUnstarted(r, "withdrawn", now)
		}
		return may
	case Stop:
		return s.maySendStop(r, now)
	default:
		return true
	}
}

// maySendStop reports whether a stop may be sent. Other tasks of the step may have ended since a
// long-running task was to move, or was not found after its start.
func (s *Scheduler) maySendStop(r *run, now time.Time) bool {
	if r.evacuated && !r.endpoint.Draining && !s.mayEnd(r, now) {
		r.stopSent = false
		if !r.stopTried {
			r.stopRequested, r.evacuated = false, false
			delete(s.pendingStops, r)
		}
		return false
	}
	r.stopTried = true
	return true
}

// mayEnd reports whether one more task of a long-running step may be out of service.
func (s *Scheduler) mayEnd(r *run, now time.Time) bool {
	st := r.task.stepState()
	return s.countUnavailable(st, r.task, now) < max(st.step.MaxUnavailable, 1)
}

// RecordOrderResult records the result of an order.
func (s *Scheduler) RecordOrderResult(o Order, a OrderResult, now time.Time) {
	e := s.endpoints[o.Endpoint]
	if e == nil {
		return
	}
	if o.Action == Start && (a == Accepted || a == Disconnected) {
		s.recordLateAnswer(o, a)
	}
	if j := s.jobs[o.Job]; o.Action == Start && a == Accepted && j != nil {
		j.markStarted()
	}
	if u, unknown := e.unknownRuns[o.Task]; unknown && u.number == o.Run && o.Action == Stop && a != Accepted {
		e.unknownRuns[o.Task] = unknownRun{number: u.number}
	}
	r := e.runs[o.Task]
	if r == nil || r.number != o.Run {
		return
	}
	switch o.Action {
	case Start:
		s.applyStartAnswer(e, r, a, now)
	case Stop:
		s.applyStopAnswer(r, a, now)
	case Pace:
		if a == Accepted {
			r.pace = o.Percent
		} else {
			r.paceSent = r.pace
		}
	}
}

func (s *Scheduler) applyStartAnswer(e *endpoint, r *run, a OrderResult, now time.Time) {
	switch a {
	case Accepted:
		s.confirmRun(r, now)
		e.aliveAt = latest(e.aliveAt, now)
	case Unknown, Disconnected:
		if r.state == starting {
			r.state, r.disconnected, r.uncertainAt = uncertain, a == Disconnected, now
			s.pendingStops[r] = true
		}
		if r.disconnected {
			// A copy of the task may start before a poll shows that the endpoint is lost.
			s.suspectRun(r, crashSuspects(e), now)
		}
		// Polls show whether the endpoint answers at all. A few lost orders alone do
		// not take it out of service.
		e.unansweredOrders++
		if e.unansweredOrders >= maxUnansweredOrders {
			s.RecordUnanswered(e.ID, now)
		}
	case NotExecuted, AlreadyEnded, InsufficientCapacity, Unhealthy:
		s.Counts.Refused++
		if r.state == starting {
			s.endUnstarted(r, "refused", now)
		}
		if a != AlreadyEnded {
			e.backoffUntil = latest(e.backoffUntil, now.Add(refusalBackoff))
		}
	}
}

// endUnstarted ends a run that does not start. The other members of its gang would wait for it, so
// that they are stopped.
func (s *Scheduler) endUnstarted(r *run, reason string, now time.Time) {
	gang := r.task.stepState()
	s.removeCrashes(r.task, now, func(c crash) bool { return c.Run == r.number })
	s.endRun(r, reason, now)
	if !gang.step.Gang {
		return
	}
	for _, t := range gang.tasks.items {
		for _, o := range t.runs {
			if o.number == r.number && !o.stopRequested {
				s.requestStop(o)
			}
		}
	}
}

func (s *Scheduler) applyStopAnswer(r *run, a OrderResult, now time.Time) {
	switch a {
	case Accepted:
		if r.stoppedAt.IsZero() {
			r.stoppedAt = now
		}
	case NotExecuted, AlreadyEnded, InsufficientCapacity, Unhealthy, Unknown, Disconnected:
		r.stopSent = false
	}
}

// stopOrders returns the orders that stop runs of unknown tasks, runs that are to be
// stopped, and runs whose start got no answer and that a later poll has not found.
func (s *Scheduler) stopOrders(now time.Time) (orders []Order) {
	s.stopsUsedUp = false
	for _, e := range s.endpointsWhere(func(e *endpoint) bool { return len(e.unknownRuns) > 0 && e.contacted && !e.unresponsive() }) {
		for _, name := range sortedKeys(e.unknownRuns) {
			u := e.unknownRuns[name]
			if !u.stopSent {
				if s.stopsUsedUp = len(orders) >= maxStopsPerPlan; s.stopsUsedUp {
					return orders
				}
				e.unknownRuns[name] = unknownRun{number: u.number, stopSent: true}
				orders = append(orders, Order{Action: Stop, Endpoint: e.ID, Task: name, Run: u.number})
			}
		}
	}
	for _, r := range s.sortedPendingStops() {
		if e := r.endpoint; s.stopDue(r, now) {
			if s.stopsUsedUp = len(orders) >= maxStopsPerPlan; s.stopsUsedUp {
				return orders
			}
			r.stopSent = true
			orders = append(orders, Order{Action: Stop, Endpoint: e.ID, Task: r.task.name, Run: r.number})
		}
	}
	return orders
}

// stopDue reports whether a run is to be stopped now. A run whose start got no answer is to be once
// a later poll has not found it.
func (s *Scheduler) stopDue(r *run, now time.Time) bool {
	if r.state != uncertain || r.stopRequested {
		return r.stopRequested
	}
	if !r.absent || now.After(r.startDeadline) || r.task.step.LongRunning && !s.mayEnd(r, now) {
		// A later poll shows whether the order was carried out.
		return false
	}
	// The endpoint may carry out the start before the stop, and then list the run.
	r.stopRequested, r.evacuated = true, r.task.step.LongRunning
	return true
}

// maxStopsPerPlan limits the orders to stop that one plan returns: an endpoint has few connections for them.
const maxStopsPerPlan = 256

// StopsUsedUp reports whether the last plan returned as many orders to stop as it may, so that more runs may
// have to be stopped.
func (s *Scheduler) StopsUsedUp() bool {
	return s.stopsUsedUp
}

// sortedPendingStops returns the runs that may need an order to stop now, in a deterministic order.
func (s *Scheduler) sortedPendingStops() (runs []*run) {
	for r := range s.pendingStops {
		if e := r.endpoint; e.contacted && !e.unresponsive() && !r.stopSent {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.number, b.number), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	return runs
}

// startRun creates a run of a task on an endpoint and returns the order to start it.
func (s *Scheduler) startRun(t *task, e *endpoint, number int, now time.Time) Order {
	r := &run{
		task: t, endpoint: e, number: number, size: taskSize(t.step), startedAt: now,
		startDeadline: now.Add(s.localDuration(s.startTimeout(now))), pace: fullPace, paceSent: fullPace,
		resumed: t.step.KeepCheckpoints && t.checkpoint != "",
	}
	// The endpoint holds the run until the deadline of its start, whatever other lease it has.
	e.leaseUntil = latest(e.leaseUntil, r.startDeadline)
	t.lastRun = number
	if t.isolation(t.stepState()) > 0 {
		s.isolate(e, t.job)
	}
	s.addRun(r)
	s.Counts.Started++
	s.startsLeft--
	j := t.job
	o := Order{Action: Start, Endpoint: e.ID, Task: t.name, Run: number, Job: j.ID, TimeSinceAcceptance: now.Sub(j.acceptedAt), PreviousEnd: t.lastEnd, Spec: j.Spec, UsesPolicy: j.UsesPolicy, StartBy: now.Add(s.startTimeout(now))}
	if t.step.KeepCheckpoints {
		o.Checkpoint = t.checkpoint
	}
	return o
}

// maxRunNumber bounds the reported numbers that later runs of a task exceed. An owner's terms
// do not reach it, and a run with a higher number is not one of any owner.
const maxRunNumber = math.MaxInt / 2

// recordRunNumber makes later runs of the task have higher numbers than a reported one.
func (t *task) recordRunNumber(number int) {
	if number <= maxRunNumber {
		t.lastRun = max(t.lastRun, number)
	}
}

// nextRunNumber returns the number of the next run of a task.
func (s *Scheduler) nextRunNumber(t *task) int {
	return max(t.lastRun, s.Settings.RunNumberBase) + 1
}
