package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against an upkeep that never begins: in a flood, short tasks took all room
// that became free, and a lasting task found none for 20 s.
func TestALastingTaskFindsRoomInAFlood(t *testing.T) {
	w := newWorld(t, "e1")
	w.s.Add(record("lasting", job.Step{Count: 1, CPU: 4000, MemoryMB: 2000, LongRunning: true, MayMiss: 1}), w.now)
	w.start()
	w.list("e1", "e2", "e3")
	for _, e := range []string{"e1", "e2", "e3"} {
		w.report(e)
	}
	jobs := 0
	flood := func() {
		for range 8 {
			r := record(fmt.Sprintf("short%d", jobs), job.Step{Count: 4, CPU: 1500, EstimateMillis: 200})
			r.Accepted = w.now.UnixMilli()
			w.s.Add(r, w.now)
			jobs++
		}
		w.start()
	}
	flood()
	w.s.endpoints["e1"].upkeep = true
	for round := range 12 {
		w.now = w.now.Add(100 * time.Millisecond)
		// One task ends on each endpoint at a time.
		for _, e := range []string{"e1", "e2", "e3"} {
			for task, l := range w.running[e] {
				if l.Task != firstTask("lasting") {
					w.end(e, task, EndDone)
					break
				}
			}
			w.report(e)
		}
		flood()
		if _, runs := w.running["e1"][firstTask("lasting")]; !runs {
			t.Logf("moved after %d rounds", round+1)
			return
		}
	}
	t.Error("the lasting task found no room in 12 rounds in which 24 tasks ended elsewhere")
}

// Guards against more tasks of a step that are away than its job allows after a
// takeover: the stops of the earlier owner were still being carried out, and its tasks
// were listed as at work (trouble-2 of kradan-cover-grown, seed 5).
func TestARunThatAnEarlierOwnerMayHaveStoppedCountsAsAway(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5"}
	w := newWorld(t)
	w.s.Settings.StopTime = 900 * time.Millisecond
	w.list(names...)
	r := record("j", job.Step{Count: 3, CPU: 1000, LongRunning: true, AntiAffinity: 1, MayMiss: 1})
	r.State = job.Running
	w.s.Load(r, w.now)
	for i := range 3 {
		task := job.Ref{Index: i}.Name("j")
		w.running[names[i]][task] = Listing{Task: task, Run: 1, Percent: 100}
	}
	for _, e := range names {
		w.report(e)
	}
	seen := w.now
	w.s.endpoints["e1"].upkeep = true
	w.s.endpoints["e2"].upkeep = true
	for w.now.Sub(seen) < w.s.Settings.StopTime {
		if orders := w.s.Plan(w.now, w.now); len(orders) > 0 {
			t.Fatalf("orders %v after %s, while an earlier stop may be carried out", orders, w.now.Sub(seen))
		}
		w.now = w.now.Add(100 * time.Millisecond)
	}
	w.now = w.now.Add(2 * stopMargin)
	if orders := w.s.Plan(w.now, w.now); len(orders) != 1 || orders[0].Action != Stop {
		t.Errorf("orders %v, want one stop", orders)
	}
}
