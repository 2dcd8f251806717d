package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

func testWave(w *world, atMost int, names ...string) (v *Wave, sights []InstanceSight) {
	v = &Wave{Number: 1, AtMost: atMost, Until: w.now.Add(time.Minute), Away: 2 * time.Second}
	for _, n := range names {
		v.Instances = append(v.Instances, &WaveInstance{Name: "m-" + n})
		sights = append(sights, InstanceSight{Name: "m-" + n, Pool: "p", Endpoint: n, Up: true})
	}
	return v, sights
}

// Guards against upkeep of an endpoint that runs something, and of more instances
// at once than the wave allows.
func TestAWaveTakesIdleInstancesUpToItsBound(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	first := w.start()[0]
	v, sights := testWave(w, 2, "e1", "e2", "e3")
	idle := w.s.PlanWave(v, sights, w.now)
	if len(idle) != 1 || idle[0].Endpoint == first.Endpoint {
		t.Fatalf("%d instances may go, want one that is idle, as a third of the pool is one", len(idle))
	}
	idle[0].Phase, idle[0].OrderedAt, idle[0].Confirmed = Ordered, w.now, true
	if again := w.s.PlanWave(v, sights, w.now); len(again) > 1 {
		t.Fatalf("%d more instances may go", len(again))
	}
}

// Guards against an upkeep that counts as done because the instance has another
// endpoint, as after a move or a crash (trouble-2 of wmus-sched).
func TestOnlyAnAcceptedOrderEndsAnUpkeep(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3")
	v, sights := testWave(w, 1, "e1")
	idle := w.s.PlanWave(v, sights, w.now)
	idle[0].Phase, idle[0].OrderedAt = Ordered, w.now
	sights[0].Endpoint = "e9"
	v.Observe(sights, w.now.Add(3*time.Second))
	if v.Complete() {
		t.Fatal("the wave is complete though its order got no answer")
	}
	idle[0].Confirmed = true
	v.Observe(sights, w.now.Add(3*time.Second))
	if !v.Complete() {
		t.Fatal("the wave is not complete after an accepted order")
	}
}

// Guards against a crash of the planner on instances of a pool without endpoints,
// as a spare pool is.
func TestAWaveTakesInstancesWithoutEndpoints(t *testing.T) {
	w := newWorld(t)
	v, sights := testWave(w, 1, "e1")
	sights[0].Pool, sights[0].Endpoint = "spare", ""
	if idle := w.s.PlanWave(v, sights, w.now); len(idle) != 1 {
		t.Fatalf("%d instances may go, want 1", len(idle))
	}
}

// Guards against upkeep of an endpoint whose entry has not arrived: it may run
// tasks of an earlier owner.
func TestAWaveWaitsForUnknownEndpoints(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3")
	v, sights := testWave(w, 1, "e9")
	if idle := w.s.PlanWave(v, sights, w.now); len(idle) > 0 {
		t.Fatal("an instance goes whose endpoint is not known")
	}
}

// Guards against two tasks of a step that are away at once by our own orders.
func TestLastingTasksMoveOneAtATime(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3", "e4")
	w.s.Add(record("j", job.Step{Count: 2, CPU: 1000, LongRunning: true, AntiAffinity: 1, MayMiss: 1}), w.now)
	for _, o := range w.start() {
		w.report(o.Endpoint)
		w.s.endpoints[o.Endpoint].upkeep = true
	}
	stops := w.s.Plan(w.now, w.now)
	if len(stops) != 1 || stops[0].Action != Stop {
		t.Fatalf("orders %v, want one stop", stops)
	}
	w.carryOut(stops[0])
	w.s.Answered(stops[0], Accepted, w.now)
	w.report(stops[0].Endpoint)
	w.now = w.now.Add(retryAfterFailure)
	moved := w.starts(w.start())
	if len(moved) != 1 {
		t.Fatalf("orders %v, want the start elsewhere", moved)
	}
	if orders := w.s.Plan(w.now, w.now); len(orders) > 0 {
		t.Fatalf("orders %v before the moved task is at work", orders)
	}
	w.report(moved[0].Endpoint)
	if orders := w.s.Plan(w.now, w.now); len(orders) != 1 || orders[0].Action != Stop {
		t.Fatalf("orders %v, want the stop of the other task", orders)
	}
}

// Guards against lasting tasks that move twice in a wave: with nine of them on one
// instance a wave ran out of time (incident inc-d776 of wmus-sched).
func TestLastingTasksAvoidInstancesWhoseUpkeepIsDue(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3")
	v, sights := testWave(w, 1, "e1", "e2")
	w.s.PlanWave(v, sights, w.now)
	w.s.Add(record("j", job.Step{Count: 3, CPU: 1000, LongRunning: true, MayMiss: 1}), w.now)
	for _, o := range w.start() {
		if o.Endpoint != "e3" {
			t.Errorf("order %v on an instance whose upkeep is due", o)
		}
	}
}

// Guards against instances that stand idle while their lasting tasks wait for their
// turn: of a step of which one task may be away, 21 instances were reserved for 12 s of
// a flood (trouble-3 of kradan-cover-grown).
func TestLastingTasksAreReservedInTurn(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
	w := newWorld(t, names...)
	w.s.Add(record("lasting", job.Step{Count: 6, CPU: 1000, LongRunning: true, AntiAffinity: 1, MayMiss: 1}), w.now)
	var busy []string
	for _, o := range w.start() {
		w.report(o.Endpoint)
		busy = append(busy, o.Endpoint)
	}
	v, sights := testWave(w, 6, busy...)
	w.s.PlanWave(v, sights, w.now)
	if p := v.progress(); p.reserved != 2 {
		t.Fatalf("%d instances are reserved, want the one whose task may be away and the next", p.reserved)
	}
	gone := make(map[string]bool)
	for range 200 {
		w.now = w.now.Add(250 * time.Millisecond)
		for _, o := range w.start() {
			w.report(o.Endpoint)
		}
		away := 0
		for _, i := range v.Instances {
			if i.Phase == Reserved && i.Lasting > 0 {
				away++
			}
		}
		if away > 2 {
			t.Fatalf("%d instances wait for the same turn", away)
		}
		for _, i := range w.s.PlanWave(v, sights, w.now) {
			i.Phase, i.Confirmed = Done, true
			w.s.Release(i.Endpoint)
			gone[i.Endpoint] = true
		}
		if v.Complete() {
			break
		}
	}
	if len(gone) != len(busy) {
		t.Errorf("%d of %d instances had their upkeep", len(gone), len(busy))
	}
}

// Guards against more instances that are away at once than the wave allows, and against
// a wave that empties an instance only after the one before it is back.
func TestInstancesAreEmptiedAheadOfTheirTurn(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
	w := newWorld(t, names...)
	v, sights := testWave(w, 1, names...)
	idle := w.s.PlanWave(v, sights, w.now)
	if p := v.progress(); p.reserved != 2 {
		t.Errorf("%d instances are reserved, want one and the next", p.reserved)
	}
	if len(idle) != 1 {
		t.Fatalf("%d instances may go at once, want 1", len(idle))
	}
	idle[0].Phase, idle[0].OrderedAt = Ordered, w.now
	if more := w.s.PlanWave(v, sights, w.now); len(more) > 0 {
		t.Errorf("%d more instances may go while one is away", len(more))
	}
	idle[0].Phase = Waiting
	idle[0].Away = true
	if more := w.s.PlanWave(v, sights, w.now); len(more) > 0 {
		t.Errorf("%d more instances may go while one is down", len(more))
	}
}
