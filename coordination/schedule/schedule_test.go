package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against a final state that is shown, or an end that is acknowledged,
// before the record is stored: both would be forgotten with this owner.
func TestNothingIsToldBeforeItIsStored(t *testing.T) {
	w := newWorld(t, "e1")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	w.start()
	w.end("e1", firstTask("j"), EndDone)
	w.report("e1")
	w.wantState("j", job.Running)
	if e, _ := w.s.Endpoint("e1"); e.Acknowledge != 0 {
		t.Fatalf("end %d is acknowledged before it is stored", e.Acknowledge)
	}
	w.store()
	w.wantState("j", job.Completed)
	if e, _ := w.s.Endpoint("e1"); e.Acknowledge != 1 {
		t.Fatalf("acknowledged up to %d, want 1", e.Acknowledge)
	}
}

// Guards against a second run of a task whose start got no answer while the
// endpoint may still carry the order out.
func TestAnUnansweredStartIsSettledBeforeTheNextRun(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	first := w.s.Plan(w.now, w.now)
	if len(first) != 1 {
		t.Fatalf("%d orders, want 1", len(first))
	}
	w.s.Answered(first[0], Unknown, w.now)
	// The order is stopped, and only a look that was sent after the answer to the
	// stop shows that it will not run.
	stops := w.s.Plan(w.now, w.now)
	if len(stops) != 1 || stops[0].Action != Stop {
		t.Fatalf("orders %v, want a stop and nothing else", stops)
	}
	w.report(first[0].Endpoint)
	if orders := w.starts(w.s.Plan(w.now, w.now)); len(orders) > 0 {
		t.Fatalf("started again before the answer to the stop: %v", orders)
	}
	w.s.Answered(stops[0], Accepted, w.now)
	if orders := w.starts(w.s.Plan(w.now, w.now)); len(orders) > 0 {
		t.Fatalf("started again before a look: %v", orders)
	}
	w.report(first[0].Endpoint)
	orders := w.starts(w.s.Plan(w.now, w.now))
	if len(orders) != 1 || orders[0].Run <= first[0].Run {
		t.Fatalf("orders %v, want a start with a higher run", orders)
	}
}

// Guards against a late order that is taken for one that will never be carried
// out: a look shows it running before its time is over.
func TestAStartThatIsCarriedOutLateIsAdopted(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	first := w.s.Plan(w.now, w.now)[0]
	w.s.Answered(first, Unknown, w.now)
	w.now = w.now.Add(time.Second)
	w.carryOut(first)
	w.report(first.Endpoint)
	if orders := w.starts(w.start()); len(orders) > 0 {
		t.Fatalf("started twice: %v", orders)
	}
}

// Guards against tasks that run twice when an endpoint falls silent: it may go on
// until its lease has lapsed by its own slow clock.
func TestTasksOfASilentEndpointWaitForItsLease(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	w.now = w.now.Add(testSettings.InheritedLease)
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	first := w.start()[0]
	w.report(first.Endpoint)
	w.s.Leased(first.Endpoint, w.now)
	w.s.Unanswered(first.Endpoint, w.now)
	w.now = w.now.Add(testSettings.Lease)
	w.s.Expire(w.now)
	if orders := w.starts(w.s.Plan(w.now, w.now)); len(orders) > 0 {
		t.Fatalf("started again while the slow clock of the endpoint has time left: %v", orders)
	}
	w.now = w.now.Add(testSettings.Lease / 50)
	w.s.Expire(w.now)
	orders := w.starts(w.s.Plan(w.now, w.now))
	if len(orders) != 1 || orders[0].Endpoint == first.Endpoint {
		t.Fatalf("orders %v, want a start on the other endpoint", orders)
	}
}

// Guards against waiting for a silent endpoint where a copy is allowed.
func TestACopyStartsAtOnceWhereTheStepAllowsIt(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000, AllowDuplicates: true}), w.now)
	first := w.start()[0]
	w.s.Unanswered(first.Endpoint, w.now)
	orders := w.starts(w.s.Plan(w.now, w.now))
	if len(orders) != 1 || orders[0].Endpoint == first.Endpoint {
		t.Fatalf("orders %v, want a copy on the other endpoint", orders)
	}
}

// Guards against a start on an endpoint that runs something of unknown size: with
// seed 66451342975 of trouble-2 a run of an earlier owner was forgotten once its
// stop was sent, and the next start went over the endpoint's room.
func TestUnknownRunsKeepAnEndpointClosed(t *testing.T) {
	w := newWorld(t, "e1")
	w.running["e1"]["x.0.0.0"] = Listing{Task: "x.0.0.0", Run: 7}
	w.report("e1")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	orders := w.s.Plan(w.now, w.now)
	if len(orders) != 1 || orders[0].Action != Stop || orders[0].Run != 7 {
		t.Fatalf("orders %v, want a stop of run 7", orders)
	}
	w.s.Answered(orders[0], Accepted, w.now)
	w.report("e1")
	if orders = w.s.Plan(w.now, w.now); len(orders) > 0 {
		t.Fatalf("orders %v while the unknown run is still listed", orders)
	}
	delete(w.running["e1"], "x.0.0.0")
	w.report("e1")
	if orders = w.starts(w.s.Plan(w.now, w.now)); len(orders) != 1 {
		t.Fatalf("orders %v, want a start", orders)
	}
}

// Guards against a failed run that counts twice: its end is stored, but its owner
// is lost before it acknowledges the end (seed 659669308819 of trouble-2).
func TestAFailedRunCountsOnceForTheNextOwner(t *testing.T) {
	w := newWorld(t, "e1")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	w.start()
	w.end("e1", firstTask("j"), EndFailed)
	w.report("e1")
	stored := w.store()[0].Record

	next := newWorld(t)
	next.running, next.ended, next.numbers = w.running, w.ended, w.numbers
	next.s.Settings.FirstRun = 64
	next.s.Load(stored, next.now)
	next.list("e1")
	next.report("e1")
	next.store()
	if state, _ := next.s.State("j"); state.Terminal() {
		t.Fatalf("job is %s after one failed run of two", state)
	}
	next.now = next.now.Add(retryAfterFailure)
	if orders := next.starts(next.s.Plan(next.now, next.now)); len(orders) != 1 || orders[0].Run <= 64 {
		t.Fatalf("orders %v, want a run above those of the earlier owner", orders)
	}
}

// Guards against a job of an earlier owner that is started although an endpoint
// that this owner has not reached may run it.
func TestInheritedJobsWaitForUnseenEndpoints(t *testing.T) {
	w := newWorld(t)
	w.s.Load(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	w.list("e1", "e2")
	w.report("e1")
	w.s.Add(record("k", job.Step{Count: 1, CPU: 1000}), w.now)
	orders := w.starts(w.start())
	if len(orders) != 1 || orders[0].Task != firstTask("k") {
		t.Fatalf("orders %v, want only the new job", orders)
	}
	w.now = w.now.Add(testSettings.InheritedLease)
	w.report("e1")
	if orders = w.starts(w.start()); len(orders) != 1 {
		t.Fatalf("orders %v, want the inherited job once every lease has lapsed", orders)
	}
}

// Guards against starts beyond an endpoint's room, and beyond the tasks of a step
// that it may run.
func TestRoomAndAntiAffinityBoundStarts(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	w.s.Add(record("j", job.Step{Count: 5, CPU: 1000, AntiAffinity: 2}), w.now)
	if orders := w.starts(w.start()); len(orders) != 4 {
		t.Fatalf("%d starts, want 2 on each endpoint", len(orders))
	}
	w = newWorld(t, "e1")
	w.s.Add(record("k", job.Step{Count: 5, CPU: 3000, MemoryMB: 100}), w.now)
	if orders := w.starts(w.start()); len(orders) != 2 {
		t.Fatalf("%d starts, want 2 of 3000 on 8000", len(orders))
	}
}

// Guards against a gang that is started in part.
func TestAGangStartsAsAWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t, "e1")
	w.s.Add(record("j", job.Step{Count: 3, CPU: 3000, Gang: true}), w.now)
	if orders := w.starts(w.start()); len(orders) > 0 {
		t.Fatalf("orders %v for a gang that does not fit", orders)
	}
	w.list("e1", "e2")
	w.report("e2")
	orders := w.starts(w.start())
	if len(orders) != 3 || orders[0].Run != orders[1].Run || orders[1].Run != orders[2].Run {
		t.Fatalf("orders %v, want three with one run", orders)
	}
}

// Guards against an order of steps that is not kept.
func TestAStepWaitsForTheStepsBefore(t *testing.T) {
	w := newWorld(t, "e1")
	r := record("j", job.Step{Count: 1, CPU: 1000})
	r.Steps = append(r.Steps, job.Step{Count: 1, CPU: 1000, After: []int{0}})
	w.s.Add(r, w.now)
	if orders := w.start(); len(orders) != 1 || orders[0].Task != firstTask("j") {
		t.Fatalf("orders %v, want the first step", orders)
	}
	w.end("e1", firstTask("j"), EndDone)
	w.report("e1")
	if orders := w.start(); len(orders) != 1 || orders[0].Task != "j.0.1.0" {
		t.Fatalf("orders %v, want the second step", orders)
	}
}

// Guards against runs that go on after their job was cancelled, and against a
// cancelled job that starts again.
func TestACancelledJobStops(t *testing.T) {
	w := newWorld(t, "e1")
	w.s.Add(record("j", job.Step{Count: 9, CPU: 1000}), w.now)
	w.start()
	w.s.Cancel("j", w.now)
	stops := w.start()
	for _, o := range stops {
		if o.Action != Stop {
			t.Fatalf("order %v after the cancelling", o)
		}
	}
	if len(stops) != 8 {
		t.Fatalf("%d stops, want 8", len(stops))
	}
	w.report("e1")
	w.store()
	w.wantState("j", job.Cancelled)
	if orders := w.start(); len(orders) > 0 {
		t.Fatalf("orders %v for a cancelled job", orders)
	}
}

// Guards against the loss of what a reborn endpoint ran: its counts start anew.
func TestARebornEndpointRunsNothing(t *testing.T) {
	w := newWorld(t, "e1")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	w.start()
	w.report("e1")
	w.now = w.now.Add(time.Second)
	w.s.Report("e1", Report{Sent: w.now, Arrived: w.now, Born: 2})
	if orders := w.starts(w.start()); len(orders) != 1 || orders[0].Run != 2 {
		t.Fatalf("orders %v, want run 2", orders)
	}
}

// Guards against tasks that wait for the lease of an endpoint which nobody has seen
// since a takeover although they may run twice, and against others that do not wait.
func TestTasksThatMayRunTwiceDoNotWaitForUnseenEndpoints(t *testing.T) {
	w := newWorld(t)
	both := []Endpoint{{ID: "e1", Pool: "p", Capacity: testRoom}, {ID: "e2", Pool: "p", Capacity: testRoom}}
	for _, e := range both {
		w.s.Inherit(e, w.now)
	}
	w.s.List(both, w.now)
	w.running["e1"] = make(map[string]Listing)
	w.report("e1")
	for id, twice := range map[string]bool{"twice": true, "once": false} {
		r := record(id, job.Step{Count: 1, CPU: 100, AllowDuplicates: twice})
		w.s.Load(r, w.now)
	}
	orders := w.starts(w.start())
	if len(orders) != 1 || orders[0].Job != "twice" {
		t.Fatalf("orders %v, want the start of the task that may run twice", orders)
	}
	w.now = w.now.Add(testSettings.InheritedLease)
	w.report("e1")
	if orders = w.starts(w.start()); len(orders) != 1 || orders[0].Job != "once" {
		t.Errorf("orders %v after the lease, want the start of the other task", orders)
	}
}
