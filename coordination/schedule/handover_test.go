package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// handOver makes the fixture's endpoints have another owner, which has loaded records and has
// read no endpoint, and returns what it was handed. The stored endpoints are all that are known.
func (f *fixture) handOver(records ...job.Record) (h Handover) {
	h = f.s.HandOver(f.now)
	previous := f.s
	f.s = &Scheduler{Settings: testSettings}
	f.s.Settings.RunNumberBase = previous.Settings.RunNumberBase + 1000
	for _, id := range sortedKeys(previous.endpoints) {
		f.s.AddSettledEndpoint(previous.endpoints[id].Endpoint, f.now)
	}
	f.s.LoadHandover(h, records, f.now, f.now)
	f.listEndpoints(sortedKeys(previous.endpoints)...)
	return h
}

// Guards against tasks that wait for endpoints that cannot be reached, although their owner
// has handed over what runs there (smdc-tn-grown scale-1: no inherited job started a task for 4.3 s), and
// against starts beside an endpoint of which the owner had not read all runs.
func TestHandedOverTasksStartBesideUnreachableEndpoint(t *testing.T) {
	for _, unread := range []bool{false, true} {
		f := newFixture(t, "e1", "e2")
		r := newRecord("a", job.Step{Count: 3, CPU: 6000})
		f.s.AddJob(r, f.now)
		ran := f.startOrders(f.planAndAccept())
		if len(ran) != 2 {
			t.Fatalf("%d starts, want 2", len(ran))
		}
		if unread {
			// An owner that was handed nothing, and reads only one of them.
			f.s = &Scheduler{Settings: testSettings}
			f.listEndpoints("e1", "e2")
			f.s.LoadJob(r, f.now)
			f.sendReport("e1")
		}
		f.handOver(r)
		f.listEndpoints("e1", "e2", "e3")
		f.sendReport("e1")
		f.sendReport("e3")
		starts := f.startOrders(f.planAndAccept())
		if unread && len(starts) > 0 {
			t.Errorf("starts %v beside an endpoint that neither owner has read", starts)
		}
		if !unread && (len(starts) != 1 || starts[0].Endpoint != "e3" || starts[0].Task == ran[0].Task || starts[0].Task == ran[1].Task) {
			t.Errorf("starts %v, want the third task on e3", starts)
		}
		// The lease at the unreachable endpoint counts from before the handover.
		f.now = f.now.Add(testSettings.InheritedLease)
		f.s.ExpireLeases(f.now)
		f.sendReport("e1")
		f.sendReport("e3")
		if starts = append(starts, f.startOrders(f.planAndAccept())...); !unread && len(starts) != 1 {
			t.Errorf("starts %v, want no other one while e1 and e3 are full", starts)
		}
		if runs := len(f.s.endpoints["e2"].runs); !unread && runs != 0 {
			t.Errorf("%d runs on the unreachable endpoint after its lease", runs)
		}
	}
}

// Guards against tasks that start again after their end, because the owner had read the end and had
// not stored it, and against ends that are acknowledged before the successor has stored them.
func TestHandedOverEndsCountBeforeTheyAreStored(t *testing.T) {
	f := newFixture(t, "e1", "e2")
	done, failed, cancelled := newRecord("d", job.Step{Count: 2, CPU: 3000}), newRecord("f", job.Step{Count: 1, CPU: 1000}), newRecord("c", job.Step{Count: 1, CPU: 1000})
	failed.MaxAttempts = 1
	for _, r := range []job.Record{done, failed, cancelled} {
		f.s.AddJob(r, f.now)
	}
	started := make(map[string]string)
	for _, o := range f.startOrders(f.planAndAccept()) {
		started[o.Task] = o.Endpoint
	}
	f.endRun(started[firstTask("d")], firstTask("d"), EndDone)
	f.endRun(started[firstTask("f")], firstTask("f"), EndFailed)
	f.sendReport("e1")
	f.sendReport("e2")
	f.s.CancelJob("c", f.now)
	f.handOver(done, failed, cancelled)
	f.listEndpoints("e1", "e2", "e3")
	f.sendReport("e3")
	if starts := f.startOrders(f.planAndAccept()); len(starts) > 0 {
		t.Errorf("starts %v of tasks that run or have ended", starts)
	}
	f.sendReport("e1")
	f.sendReport("e2")
	for _, e := range []string{"e1", "e2"} {
		if len(f.ended[e]) > 0 && f.s.endpoints[e].lastStoredEnd > 0 {
			t.Errorf("the ends at %s are acknowledged before they are stored", e)
		}
	}
	stops := f.planAndAccept()
	if len(stops) != 1 || stops[0].Action != Stop || stops[0].Task != firstTask("c") {
		t.Errorf("orders %v, want the stop of the cancelled job's run", stops)
	}
	f.confirmWrites()
	f.wantState("f", job.Failed)
	f.wantState("c", job.Cancelled)
	f.sendReport("e1")
	f.sendReport("e2")
	if e := f.s.endpoints[started[firstTask("f")]]; e.lastStoredEnd == 0 {
		t.Error("stored ends are not acknowledged")
	}
}

// Guards against a second run beside an order without an answer that the endpoint still carries
// out, and against a task that waits for it after the deadline of the order.
func TestHandedOverOrderMayBeCarriedOutUntilItsDeadline(t *testing.T) {
	f := newFixture(t, "e1", "e2")
	r := newRecord("a", job.Step{Count: 1, CPU: 1000})
	f.s.AddJob(r, f.now)
	order := f.startOrders(f.s.Plan(f.now, f.now))[0]
	f.s.RecordOrderResult(order, Unknown, f.now)
	f.now = f.now.Add(time.Second)
	f.handOver(r)
	f.sendReport("e1")
	f.sendReport("e2")
	if starts := f.startOrders(f.s.Plan(f.now, f.now)); len(starts) > 0 {
		t.Errorf("starts %v before the deadline of an order without an answer", starts)
	}
	f.now = f.now.Add(f.s.localDuration(testSettings.StartTimeout))
	f.sendReport("e1")
	f.sendReport("e2")
	if starts := f.startOrders(f.s.Plan(f.now, f.now)); len(starts) != 1 || starts[0].Run <= order.Run {
		t.Errorf("starts %v, want a later run", starts)
	}
}

// Guards against runs that a handover leaves out: one beside another run of the same task that
// the owner counted as active, second runs, and those of an endpoint that has left the list.
func TestHandoverNamesAllRuns(t *testing.T) {
	f := newFixture(t, "e1", "e2")
	r := newRecord("a", job.Step{Count: 1, CPU: 1000, AllowDuplicates: true, KeepCheckpoints: true})
	other := newRecord("b", job.Step{Count: 2, CPU: 1000, Gang: true})
	f.s.AddJob(r, f.now)
	f.s.AddJob(other, f.now)
	first := f.startOrders(f.planAndAccept())
	f.s.RecordUnanswered(first[0].Endpoint, f.now)
	f.planAndAccept()
	f.s.UnlistEndpoint("e1")
	f.s.endpoints["e2"].unknownRuns[firstTask("b")] = unknownRun{number: 7}
	f.s.jobs["a"].findTask(job.TaskRef{}).checkpoint = "half"
	want := 0
	for _, e := range f.s.endpoints {
		want += len(e.runs)
		if e.runs[firstTask("b")] == nil && e.unknownRuns[firstTask("b")].number > 0 {
			want++
		}
	}
	h := f.handOver(r, other)
	runs, unread := h.CountRuns()
	if runs != want || runs < 4 || unread != 0 {
		t.Errorf("%d runs and %d unread endpoints, want %d and none: %+v", runs, unread, want, h)
	}
	loaded := 0
	for _, e := range f.s.endpoints {
		loaded += len(e.runs)
	}
	if loaded != want {
		t.Errorf("%d runs are known after the handover, want %d", loaded, want)
	}
	if got := f.s.jobs["a"].findTask(job.TaskRef{}).checkpoint; got != "half" {
		t.Errorf("the checkpoint is %q", got)
	}
	if number := f.s.jobs["b"].occurrences.items[0].steps[0].gangRunNumber; number < 7 {
		t.Errorf("the next run of the gang follows %d", number)
	}
}
