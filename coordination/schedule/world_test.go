package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// world drives a scheduler by hand: orders are answered by the test, and reports
// list what the test's endpoints run.
type world struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	// running holds what each endpoint runs, by endpoint and task.
	running map[string]map[string]Listing
	ended   map[string][]Ending
	numbers map[string]int64
}

var (
	testSettings = Settings{
		Lease: 4 * time.Second, InheritedLease: 6 * time.Second, StartWithin: 2 * time.Second, SlowClock: 1.02,
	}
	testRoom = Capacity{CPU: 8000, MemoryMB: 8000}
)

func newWorld(t *testing.T, endpoints ...string) *world {
	t.Helper()
	w := &world{
		t: t, s: &Scheduler{Settings: testSettings}, now: time.UnixMilli(1_700_000_000_000),
		running: make(map[string]map[string]Listing), ended: make(map[string][]Ending), numbers: make(map[string]int64),
	}
	w.list(endpoints...)
	for _, e := range endpoints {
		w.report(e)
	}
	return w
}

func (w *world) list(endpoints ...string) {
	listed := make([]Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		listed = append(listed, Endpoint{ID: e, Pool: "p", Address: e, Capacity: testRoom})
		if w.running[e] == nil {
			w.running[e] = make(map[string]Listing)
		}
	}
	w.s.List(listed, w.now)
}

// record returns a job of one step.
func record(id string, s job.Step) job.Record {
	return job.Record{
		Job: job.Job{
			ID: id, Queue: "q", Pool: "p", Spec: "work", Steps: []job.Step{s}, Accepted: 1_700_000_000_000,
			Objective: job.Objective{MaxAttempts: 2, Stretch: 2, TargetMillis: 1000},
		},
		State: job.Queued,
	}
}

// start answers all orders of a plan as carried out.
func (w *world) start() (orders []Order) {
	orders = w.s.Plan(w.now, w.now)
	for _, o := range orders {
		w.carryOut(o)
		w.s.Answered(o, Accepted, w.now)
	}
	return orders
}

// carryOut makes the endpoint do what an order asks.
func (w *world) carryOut(o Order) {
	switch o.Action {
	case Start:
		w.running[o.Endpoint][o.Task] = Listing{Task: o.Task, Run: o.Run, Percent: 100}
	case Stop:
		w.end(o.Endpoint, o.Task, EndStopped)
	case Pace:
	}
}

func (w *world) end(endpoint, task string, how End) {
	l, runs := w.running[endpoint][task]
	if !runs {
		return
	}
	delete(w.running[endpoint], task)
	w.numbers[endpoint]++
	w.ended[endpoint] = append(w.ended[endpoint], Ending{Number: w.numbers[endpoint], Task: task, Run: l.Run, How: how})
}

// report answers a look at the endpoint a moment later.
func (w *world) report(endpoint string) {
	w.now = w.now.Add(10 * time.Millisecond)
	r := Report{Sent: w.now.Add(-5 * time.Millisecond), Arrived: w.now, Born: 1}
	for _, l := range w.running[endpoint] {
		r.Running = append(r.Running, l)
	}
	r.Ended = append(r.Ended, w.ended[endpoint]...)
	w.s.Report(endpoint, r)
}

// store answers all writes that are due as stored.
func (w *world) store() (writes []Write) {
	writes = w.s.Writes(w.now, 0, 100)
	for _, v := range writes {
		w.s.Stored(v.Record.ID, v.Version, v.Record.State)
	}
	return writes
}

func (w *world) starts(orders []Order) (starts []Order) {
	for _, o := range orders {
		if o.Action == Start {
			starts = append(starts, o)
		}
	}
	return starts
}

func (w *world) wantState(id string, want job.State) {
	w.t.Helper()
	if got, _ := w.s.State(id); got != want {
		w.t.Fatalf("job %s is %q, want %q", id, got, want)
	}
}

// firstTask returns the name of the first task of a job.
func firstTask(id string) string {
	return job.Ref{}.Name(id)
}
