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
