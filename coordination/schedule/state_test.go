package schedule

import (
	"encoding/json"
	"testing"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against a summary that hides why tasks of a pool wait: endpoints that do not answer,
// that leave the pool or are emptied for maintenance must not count as usable.
func TestStateTellsWhyEndpointsAreNotUsable(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3", "e4", "e5")
	f.s.AddJob(newRecord("j", job.Step{Count: 2, CPU: 8000}), f.now)
	f.s.LoadJob(newRecord("k", job.Step{Count: 30, CPU: 8000}), f.now)
	f.s.endpoints["e1"].moving = true
	f.s.endpoints["e2"].reservedForMaintenance = true
	f.s.RecordUnanswered("e3", f.now)
	f.planAndAccept()
	state := f.s.State(f.now, f.now)
	if len(state.Pools) != 1 || len(state.Pools[0].DataCentres) != 1 {
		t.Fatalf("state %+v, want one pool in one data centre", state)
	}
	p := state.Pools[0]
	if p.Inherited != 1 || p.OnTime+p.Late+p.TooLate != 2 || p.WaitingTasks != 30 {
		t.Errorf("%d inherited jobs, %d waiting tasks in %+v, want 1 and 30", p.Inherited, p.WaitingTasks, p)
	}
	want := EndpointSummary{Known: 5, Usable: 2, Runs: 2, Unresponsive: 1, Reserved: 1, Moving: 1}
	if p.DataCentres[0] != want {
		t.Errorf("endpoints %+v, want %+v", p.DataCentres[0], want)
	}
	if _, err := json.Marshal(state); err != nil {
		t.Error(err)
	}
}
