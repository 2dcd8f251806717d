package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against a flood of one queue that waits for its own pool while others
// stand idle: the queues' demand comes in turns, five times the mean for some
// seconds and a twentieth of it in between.
func TestAFloodGetsInstancesOfIdlePools(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	var sights []InstanceSight
	listed := []Endpoint{{ID: "e1", Pool: "p", Capacity: testRoom}, {ID: "e2", Pool: "p", Capacity: testRoom}}
	for i := range 5 {
		id := fmt.Sprintf("o%d", i)
		listed = append(listed, Endpoint{ID: id, Pool: "other", Capacity: testRoom})
		sights = append(sights, InstanceSight{Name: "m-" + id, Pool: "other", Endpoint: id, Up: true})
		w.running[id] = make(map[string]Listing)
	}
	sights = append(sights, InstanceSight{Name: "m-spare", Pool: "spare", Up: true})
	w.s.List(listed, w.now)
	for _, l := range listed {
		w.report(l.ID)
	}
	w.now = w.now.Add(settleTime + time.Second)
	pools := []string{"p", "other"}
	if moves := w.s.PlanMoves(sights, pools, "spare", nil, w.now); len(moves) > 0 {
		t.Fatalf("moves %v without demand", moves)
	}
	for i := range 8 {
		r := record(fmt.Sprintf("j%d", i), job.Step{Count: 4, CPU: 1500, EstimateMillis: 600})
		r.Accepted = w.now.UnixMilli()
		w.s.Add(r, w.now)
	}
	moves := w.s.PlanMoves(sights, pools, "spare", nil, w.now)
	if len(moves) < 3 || moves[0].Instance != "m-spare" {
		t.Fatalf("moves %v, want the spare instance first and then idle ones", moves)
	}
	for _, m := range moves {
		if m.To != "p" {
			t.Errorf("move %v to a pool without demand", m)
		}
	}
	kept := 0
	for _, e := range w.s.endpoints {
		if e.Pool == "other" && !e.moving {
			kept++
		}
	}
	if kept < 1 {
		t.Error("the idle pool keeps no endpoint for its own first jobs")
	}
}

// Guards against late jobs of one pool that hold the instances which jobs in time of
// another pool need: the queues' floods come in turns, and the backlog of one flood
// outlasts the beginning of the next.
func TestALateBacklogGivesWayToAFlood(t *testing.T) {
	w := newWorld(t)
	var listed []Endpoint
	var sights []InstanceSight
	for i := range 12 {
		id, pool := fmt.Sprintf("o%02d", i), "other"
		if i == 0 {
			id, pool = "p0", "p"
		}
		listed = append(listed, Endpoint{ID: id, Pool: pool, Capacity: testRoom})
		sights = append(sights, InstanceSight{Name: "m-" + id, Pool: pool, Endpoint: id, Up: true})
		w.running[id] = make(map[string]Listing)
	}
	w.s.List(listed, w.now)
	for _, l := range listed {
		w.report(l.ID)
	}
	w.now = w.now.Add(settleTime + time.Second)
	add := func(count int, pool string) {
		for i := range count {
			r := record(fmt.Sprintf("%s%03d", pool, i), job.Step{Count: 4, CPU: 2000, EstimateMillis: 250})
			r.Pool, r.Queue = pool, pool
			r.Accepted = w.now.UnixMilli()
			w.s.Add(r, w.now)
		}
	}
	add(200, "other")
	w.now = w.now.Add(3 * time.Second) // the objective is 1.5 s
	w.start()
	add(60, "p")
	moved := 0
	for range 8 {
		w.now = w.now.Add(250 * time.Millisecond)
		for _, m := range w.s.PlanMoves(sights, []string{"p", "other"}, "", map[string]int{"p": moved}, w.now) {
			if m.To != "p" {
				t.Fatalf("move %v away from the flood", m)
			}
			moved++
		}
		for id, running := range w.running {
			for task := range running {
				w.end(id, task, EndDone)
			}
			w.report(id)
		}
		w.start()
	}
	if moved < 8 {
		t.Errorf("%d of 11 instances moved to jobs in time while late jobs of their pool waited, want 8 or more", moved)
	}
	kept := 0
	for _, e := range w.s.endpoints {
		if e.Pool == "other" && !e.moving {
			kept++
		}
	}
	if kept == 0 {
		t.Error("no endpoint is left to the late jobs")
	}
}

// Guards against pools that cost without need, and against pools that shrink
// before their demand is known.
func TestAnIdlePoolShrinksAfterAWhile(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3", "e4")
	var sights []InstanceSight
	for i := range 4 {
		id := fmt.Sprintf("e%d", i+1)
		sights = append(sights, InstanceSight{Name: "m-" + id, Pool: "p", Endpoint: id, Up: true})
	}
	plan := func() int { return len(w.s.PlanMoves(sights, []string{"p"}, "spare", nil, w.now)) }
	if n := plan(); n > 0 {
		t.Fatalf("%d moves at once", n)
	}
	w.now = w.now.Add(quietTime - time.Millisecond)
	if n := plan(); n > 0 {
		t.Fatalf("%d moves before any job has come", n)
	}
	w.now = w.now.Add(time.Millisecond)
	if n := plan(); n > 0 {
		t.Fatalf("%d moves as soon as there is a surplus", n)
	}
	w.now = w.now.Add(shrinkAfter)
	if n := plan(); n != 3 {
		t.Fatalf("%d moves, want all endpoints but one", n)
	}
}

// Guards against pools that shrink at the first job, before a flood that is under way
// shows, and against pools that stay large once the demand is known.
func TestPoolsKeepTheirSizeUntilTheDemandIsKnown(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3", "e4")
	var sights []InstanceSight
	for i := range 4 {
		id := fmt.Sprintf("e%d", i+1)
		sights = append(sights, InstanceSight{Name: "m-" + id, Pool: "p", Endpoint: id, Up: true})
	}
	plan := func() int { return len(w.s.PlanMoves(sights, []string{"p"}, "spare", nil, w.now)) }
	w.now = w.now.Add(quietTime / 2)
	w.s.Add(record("j", job.Step{Count: 1, CPU: 100, EstimateMillis: 100}), w.now)
	w.now = w.now.Add(learnTime - time.Millisecond)
	if n := plan(); n > 0 {
		t.Fatalf("%d moves before the demand is known", n)
	}
	w.now = w.now.Add(time.Millisecond)
	plan()
	w.now = w.now.Add(shrinkAfter)
	if n := plan(); n != 3 {
		t.Fatalf("%d moves, want all endpoints but one", n)
	}
}

// Guards against an upkeep that waits for a place for its lasting tasks: a pool that
// has shrunk to the endpoints of a step whose tasks run apart has none.
func TestAPoolGrowsForTheLastingTasksOfAnUpkeep(t *testing.T) {
	w := newWorld(t, "e1", "e2", "e3")
	w.s.Add(record("lasting", job.Step{Count: 3, CPU: 1000, LongRunning: true, AntiAffinity: 1, MayMiss: 1}), w.now)
	w.start()
	sights := []InstanceSight{{Name: "m-spare", Pool: "spare", Up: true}}
	for _, e := range []string{"e1", "e2", "e3"} {
		w.report(e)
		sights = append(sights, InstanceSight{Name: "m-" + e, Pool: "p", Endpoint: e, Up: true})
	}
	w.list("e1", "e2", "e3", "e4")
	w.report("e4")
	sights = append(sights, InstanceSight{Name: "m-e4", Pool: "p", Endpoint: "e4", Up: true})
	w.now = w.now.Add(settleTime + time.Second)
	if moves := w.s.PlanMoves(sights, []string{"p"}, "spare", nil, w.now); len(moves) > 0 {
		t.Fatalf("moves %v before the upkeep", moves)
	}
	w.s.endpoints["e1"].upkeep = true
	moves := w.s.PlanMoves(sights, []string{"p"}, "spare", nil, w.now)
	if len(moves) != 1 || moves[0].Instance != "m-spare" || moves[0].To != "p" {
		t.Errorf("moves %v, want the spare instance for the pool", moves)
	}
}
