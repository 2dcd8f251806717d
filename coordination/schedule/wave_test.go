package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

func testWave(f *fixture, maxUnavailable int, names ...string) (v *Wave, observed []InstanceObservation) {
	v = &Wave{Number: 1, MaxDown: maxUnavailable, Deadline: f.now.Add(time.Minute), MaintenanceTime: 2 * time.Second}
	for _, n := range names {
		v.Instances = append(v.Instances, &WaveInstance{Name: "m-" + n})
		observed = append(observed, InstanceObservation{Name: "m-" + n, Pool: "p", Endpoint: n, Up: true})
	}
	return v, observed
}

// Guards against maintenance of an endpoint that runs tasks, and of more instances
// at once than the wave allows.
func TestWaveSelectsIdleInstancesUpToItsLimit(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3")
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
	first := f.planAndAccept()[0]
	v, observed := testWave(f, 2, "e1", "e2", "e3")
	idle := f.s.PlanWave(v, observed, f.now)
	if len(idle) != 1 || idle[0].Endpoint == first.Endpoint {
		t.Fatalf("%d instances are ready for maintenance, want a single idle one, a third of the pool", len(idle))
	}
	idle[0].Phase, idle[0].OrderedAt, idle[0].Confirmed = PhaseOrdered, f.now, true
	if again := f.s.PlanWave(v, observed, f.now); len(again) > 1 {
		t.Fatalf("%d more instances are ready for maintenance", len(again))
	}
}

// Guards against a wave that stands still while instances are down for other causes: a crash
// of a rack, or moves, used up the limit of instances that may be down for maintenance.
func TestCrashedInstancesDoNotStopWave(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3", "e4", "e5", "e6")
	v, observed := testWave(f, 1, "e1", "e2", "e3", "e4", "e5", "e6")
	for k := range 3 {
		observed[k].Up = false
	}
	v.Observe(observed, f.now)
	if idle := f.s.PlanWave(v, observed, f.now); len(idle) != 1 {
		t.Fatalf("%d instances are ready for maintenance beside three that have crashed, want 1", len(idle))
	}
	observed[3].Up, observed[3].InMaintenance = false, true
	v.Observe(observed, f.now)
	if idle := f.s.PlanWave(v, observed, f.now); len(idle) != 0 {
		t.Fatalf("%d instances are ready beside one that is in maintenance, above the limit", len(idle))
	}
}

// Guards against a wave that misses its deadline because of moves: a pool shrinks after a burst,
// its old endpoints stay in the list for seconds after their instances have moved, and counted
// as reserved, so that no endpoint with a long-running task was reserved until the pool had
// its final size.
func TestMovesDoNotStopWave(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3", "e4", "e5", "e6")
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000, LongRunning: true}), f.now)
	serving := f.planAndAccept()[0].Endpoint
	for _, n := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		if n != serving && n != "e6" && n != "e5" {
			f.s.endpoints[n].moving = true
		}
	}
	v, observed := testWave(f, 2, serving)
	f.s.PlanWave(v, observed, f.now)
	if v.Instances[0].Phase != PhaseReserved {
		t.Fatal("the instance is not reserved although no other one of its pool has its maintenance")
	}
}

// Guards against more instances down than the wave allows after a change of owner: an order
// of the earlier owner may have been carried out although the list does not show it yet.
func TestInheritedOrderCountsAgainstWave(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3")
	v, observed := testWave(f, 1, "e1", "e2")
	v.Instances[0].Phase, v.Instances[0].OrderInherited = PhaseReserved, true
	observed[0].Up = false
	v.Observe(observed, f.now)
	if idle := f.s.PlanWave(v, observed, f.now); len(idle) != 0 {
		t.Fatalf("%d instances are ready beside one that an earlier owner may have ordered", len(idle))
	}
}

// Guards against counting maintenance as done because the instance has another
// endpoint, as after a move or a crash (trouble-2 of wmus-sched).
func TestOnlyAnAcceptedOrderEndsMaintenance(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3")
	v, observed := testWave(f, 1, "e1")
	idle := f.s.PlanWave(v, observed, f.now)
	idle[0].Phase, idle[0].OrderedAt = PhaseOrdered, f.now
	observed[0].Endpoint = "e9"
	v.Observe(observed, f.now.Add(3*time.Second))
	if v.Complete() {
		t.Fatal("the wave is complete although its order got no answer")
	}
	idle[0].Confirmed = true
	v.Observe(observed, f.now.Add(3*time.Second))
	if !v.Complete() {
		t.Fatal("the wave is not complete after an accepted order")
	}
}

// Guards against a panic on instances without endpoints, as in a spare pool.
func TestWaveIncludesInstancesWithoutEndpoints(t *testing.T) {
	f := newFixture(t)
	v, observed := testWave(f, 1, "e1")
	observed[0].Pool, observed[0].Endpoint = "spare", ""
	if idle := f.s.PlanWave(v, observed, f.now); len(idle) != 1 {
		t.Fatalf("%d instances are ready for maintenance, want 1", len(idle))
	}
}

// Guards against maintenance of an endpoint that is not known yet: it may run tasks
// of an earlier owner.
func TestAWaveWaitsForUnknownEndpoints(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3")
	v, observed := testWave(f, 1, "e9")
	if idle := f.s.PlanWave(v, observed, f.now); len(idle) > 0 {
		t.Fatal("an instance is ready for maintenance although its endpoint is not known")
	}
}

// Guards against orders that take two tasks of a step out of service at once.
func TestLongRunningTasksMoveOneAtATime(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3", "e4")
	f.s.AddJob(newRecord("j", job.Step{Count: 2, CPU: 1000, LongRunning: true, AntiAffinity: 1, MaxUnavailable: 1}), f.now)
	for _, o := range f.planAndAccept() {
		f.sendReport(o.Endpoint)
		f.s.endpoints[o.Endpoint].reservedForMaintenance = true
	}
	stops := f.s.Plan(f.now, f.now)
	if len(stops) != 1 || stops[0].Action != Stop {
		t.Fatalf("orders %v, want one stop", stops)
	}
	f.execute(stops[0])
	f.s.RecordOrderResult(stops[0], Accepted, f.now)
	f.sendReport(stops[0].Endpoint)
	f.now = f.now.Add(taskRetryDelay)
	moved := f.startOrders(f.planAndAccept())
	if len(moved) != 1 {
		t.Fatalf("orders %v, want the start elsewhere", moved)
	}
	if orders := f.s.Plan(f.now, f.now); len(orders) > 0 {
		t.Fatalf("orders %v before the moved task serves", orders)
	}
	f.sendReport(moved[0].Endpoint)
	if orders := f.s.Plan(f.now, f.now); len(orders) != 1 || orders[0].Action != Stop {
		t.Fatalf("orders %v, want the stop of the other task", orders)
	}
}

// Guards against long-running tasks that move twice in a wave: with nine of them on
// one instance, a wave ran out of time (incident inc-d776 of wmus-sched).
func TestLongRunningTasksAvoidInstancesWithMaintenanceDue(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3")
	v, observed := testWave(f, 1, "e1", "e2")
	f.s.PlanWave(v, observed, f.now)
	f.s.AddJob(newRecord("j", job.Step{Count: 3, CPU: 1000, LongRunning: true, MaxUnavailable: 1}), f.now)
	for _, o := range f.planAndAccept() {
		if o.Endpoint != "e3" {
			t.Errorf("order %v on an instance whose maintenance is due", o)
		}
	}
}

// Guards against instances that are reserved long before their long-running tasks
// may move. With a step of which one task may be out of service, 21 instances were
// reserved and idle for 12 s of a burst (trouble-3 of kradan-cover-grown).
func TestLongRunningTasksAreReservedInOrder(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
	f := newFixture(t, names...)
	f.s.AddJob(newRecord("lasting", job.Step{Count: 6, CPU: 1000, LongRunning: true, AntiAffinity: 1, MaxUnavailable: 1}), f.now)
	var busy []string
	for _, o := range f.planAndAccept() {
		f.sendReport(o.Endpoint)
		busy = append(busy, o.Endpoint)
	}
	v, observed := testWave(f, 6, busy...)
	f.s.PlanWave(v, observed, f.now)
	if p := v.progress(); p.reserved != 2 {
		t.Fatalf("%d instances are reserved, want the one whose task may be out of service and the next", p.reserved)
	}
	maintained := make(map[string]bool)
	for range 200 {
		f.now = f.now.Add(250 * time.Millisecond)
		for _, o := range f.planAndAccept() {
			f.sendReport(o.Endpoint)
		}
		away := 0
		for _, i := range v.Instances {
			if i.Phase == PhaseReserved && i.LongRunningRuns > 0 {
				away++
			}
		}
		if away > 2 {
			t.Fatalf("%d reserved instances run long-running tasks of the same step, want at most 2", away)
		}
		for _, i := range f.s.PlanWave(v, observed, f.now) {
			i.Phase, i.Confirmed = PhaseDone, true
			f.s.CancelMaintenance(i.Endpoint)
			maintained[i.Endpoint] = true
		}
		if v.Complete() {
			break
		}
	}
	if len(maintained) != len(busy) {
		t.Errorf("%d of %d instances had their maintenance", len(maintained), len(busy))
	}
}

// Guards against more instances that are down at once than the wave allows, and
// against a wave that starts to empty an instance only after the one before it is
// back.
func TestInstancesAreEmptiedAheadOfMaintenance(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
	f := newFixture(t, names...)
	v, observed := testWave(f, 1, names...)
	idle := f.s.PlanWave(v, observed, f.now)
	if p := v.progress(); p.reserved != 2 {
		t.Errorf("%d instances are reserved, want one and the next", p.reserved)
	}
	if len(idle) != 1 {
		t.Fatalf("%d instances are ready for maintenance at once, want 1", len(idle))
	}
	idle[0].Phase, idle[0].OrderedAt = PhaseOrdered, f.now
	if more := f.s.PlanWave(v, observed, f.now); len(more) > 0 {
		t.Errorf("%d more instances are ready for maintenance while one is ordered", len(more))
	}
	idle[0].Phase = PhaseWaiting
	idle[0].Down = true
	if more := f.s.PlanWave(v, observed, f.now); len(more) > 0 {
		t.Errorf("%d more instances are ready for maintenance while one is down", len(more))
	}
}

// Guards against orders that end running tasks: they name the instance, and the last moves and
// maintenance of a large plan were ordered seconds later, when the instances had a new endpoint
// that ran tasks.
func TestOrdersAreDroppedOnceTheInstanceIsInUse(t *testing.T) {
	f := newFixture(t)
	var listed []Endpoint
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
		listed = append(listed, Endpoint{ID: id, Pool: "p", Capacity: testCapacity, Instance: "m-" + id})
		f.running[id] = make(map[string]ListedRun)
	}
	f.s.SetEndpoints(listed, f.now)
	for _, l := range listed {
		f.sendReport(l.ID)
	}
	v, observed := testWave(f, 1, "e1")
	if idle := f.s.PlanWave(v, observed, f.now); len(idle) != 1 || !f.s.MayMaintain(idle[0]) {
		t.Fatalf("%d instances are ready for maintenance, want 1", len(idle))
	}
	f.s.RecordDisconnected("e2", f.now)
	f.s.UnlistEndpoint("e3")
	f.s.UnlistEndpoint("e4")
	f.s.RecordTermination("e4", LossReleased, f.now)
	f.running["e5"]["x.0.0.0"] = ListedRun{Task: "x.0.0.0", Run: 1}
	f.sendReport("e5")
	for _, w := range []struct {
		instance, endpoint       string
		mayMove, mayBeMaintained bool
	}{
		{"m-e1", "e1", false, true},
		// The endpoint does not answer, and nothing is known to run there.
		{"m-e2", "e2", false, true},
		{"m-e3", "e3", false, false},
		{"m-e4", "e4", true, true},
		{"m-e5", "e5", false, false},
		{"m-e6", "e6", true, true},
		{"m-e6", "removed", false, false},
		{"m-e6", "", false, false},
		{"m-spare", "", true, true},
	} {
		if got := f.s.MayMove(Move{Instance: w.instance, Endpoint: w.endpoint}); got != w.mayMove {
			t.Errorf("%s with the endpoint %q may be moved: %v, want %v", w.instance, w.endpoint, got, w.mayMove)
		}
		if got := f.s.MayMaintain(&WaveInstance{Name: w.instance, Endpoint: w.endpoint}); got != w.mayBeMaintained {
			t.Errorf("%s with the endpoint %q may be maintained: %v, want %v", w.instance, w.endpoint, got, w.mayBeMaintained)
		}
	}
	f.s.endpoints["e1"].moving = true
	f.s.CancelMove("e1")
	if e := f.s.endpoints["e1"]; e.moving || !e.reservedForMaintenance {
		t.Error("the dropped move ends the reservation for maintenance")
	}
}
