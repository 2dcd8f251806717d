package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Action is what an order asks of an endpoint.
type Action int

// Actions of orders.
const (
	Start Action = iota
	Stop
	Pace
)

// String returns the action as it is shown in logs.
func (a Action) String() string {
	return [...]string{"start", "stop", "pace"}[a]
}

// Order is one call to an endpoint.
type Order struct {
	Action   Action
	Endpoint string
	Task     string
	Run      int
	// Job is the job of a start, and Waited how long it has been accepted.
	Job    string
	Waited time.Duration
	// Spec and Checkpoint belong to a start.
	Spec       string
	Checkpoint string
	// Advised tells that the queue's policy must be asked first.
	Advised bool
	// Percent belongs to a pace.
	Percent int
}

// Answer is what an order led to.
type Answer int

// Answers to orders.
const (
	// Accepted means that the endpoint has carried out the order.
	Accepted Answer = iota
	// NotDone means that the endpoint has done nothing and never will.
	NotDone
	// Outdated means that the endpoint knows the run or a higher one as ended.
	Outdated
	// NoRoom means that the endpoint guards its capacity and has none left.
	NoRoom
	// Unhealthy means that the endpoint takes no orders now.
	Unhealthy
	// Unknown means that no answer came; the order may be carried out later.
	Unknown
)

// Delays of an endpoint that refuses.
const (
	// refusedDelay keeps new work from an endpoint that refused a start.
	refusedDelay = 300 * time.Millisecond
	// doubtsToSilence is how many orders in a row without an answer, and without an
	// answered look between them, make an endpoint silent.
	doubtsToSilence = 3
)

// Answered applies the answer to an order.
func (s *Scheduler) Answered(o Order, a Answer, now time.Time) {
	e := s.endpoints[o.Endpoint]
	if e == nil {
		return
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
		s.startAnswered(e, r, a, now)
	case Stop:
		s.stopAnswered(r, a, now)
	case Pace:
		if a == Accepted {
			r.pace = o.Percent
		} else {
			r.paceSent = r.pace
		}
	}
}

func (s *Scheduler) startAnswered(e *endpoint, r *run, a Answer, now time.Time) {
	switch a {
	case Accepted:
		if r.state != confirmed {
			r.state = confirmed
			r.confirmedAt = now
		}
	case Unknown:
		if r.state == starting {
			r.state = uncertain
			s.stopping[r] = true
		}
		// Looks show whether the endpoint answers at all; a few lost orders alone do not
		// close it.
		e.doubts++
		if e.doubts >= doubtsToSilence {
			s.Unanswered(e.ID, now)
		}
	case NotDone, Outdated, NoRoom, Unhealthy:
		s.Counts.Refused++
		if r.state == starting {
			s.end(r, "refused", now)
		}
		if a != Outdated {
			e.avoidUntil = later(e.avoidUntil, now.Add(refusedDelay))
		}
	}
}

func (s *Scheduler) stopAnswered(r *run, a Answer, now time.Time) {
	switch a {
	case Accepted:
		if r.stoppedAt.IsZero() {
			r.stoppedAt = now
		}
	case NotDone, Outdated, NoRoom, Unhealthy, Unknown:
		r.stopSent = false
	}
}

// stops returns the orders that end runs which should not go on.
func (s *Scheduler) stops(now time.Time) (orders []Order) {
	for _, e := range s.endpoints {
		if len(e.unknownRuns) == 0 || !e.seen || e.silent() {
			continue
		}
		for _, name := range sortedKeys(e.unknownRuns) {
			u := e.unknownRuns[name]
			if !u.stopSent {
				e.unknownRuns[name] = unknownRun{number: u.number, stopSent: true}
				orders = append(orders, Order{Action: Stop, Endpoint: e.ID, Task: name, Run: u.number})
			}
		}
	}
	for _, r := range s.sortedStops() {
		e := r.endpoint
		if !e.seen || e.silent() || r.stopSent {
			continue
		}
		if r.state == uncertain && now.After(r.startUntil) && !r.stopWanted {
			// A report sent from now on shows whether the order was carried out.
			continue
		}
		if r.stopWanted || r.state == uncertain {
			r.stopSent = true
			orders = append(orders, Order{Action: Stop, Endpoint: e.ID, Task: r.task.name, Run: r.number})
		}
	}
	return orders
}

// sortedStops returns the runs that may need an order to stop, in order.
func (s *Scheduler) sortedStops() (runs []*run) {
	for r := range s.stopping {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.number, b.number))
	})
	return runs
}

// start creates a run of a task on an endpoint.
func (s *Scheduler) start(t *task, e *endpoint, number int, now time.Time) Order {
	r := &run{
		task: t, endpoint: e, number: number, size: size(t.step), startedAt: now,
		startUntil: now.Add(s.onOurClock(s.Settings.StartWithin)), pace: fullPace, paceSent: fullPace,
	}
	t.lastRun = number
	t.runs = append(t.runs, r)
	e.runs[t.name] = r
	e.used = e.used.plus(r.size)
	s.Counts.Started++
	j := t.job
	j.begun = true
	if j.state == job.Queued {
		j.state = job.Running
	}
	o := Order{Action: Start, Endpoint: e.ID, Task: t.name, Run: number, Job: j.ID, Waited: now.Sub(j.acceptedAt), Spec: j.Spec, Advised: j.Advised}
	if t.step.KeepCheckpoints {
		o.Checkpoint = t.checkpoint
	}
	return o
}

// nextRun returns the number of the task's next run.
func (s *Scheduler) nextRun(t *task) int {
	return max(t.lastRun, s.Settings.FirstRun) + 1
}
