package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against tasks of a crashed endpoint that wait for its lease although the next
// endpoint of the instance answers: they started up to 0.8 s later than they could.
func TestTasksOfAReplacedEndpointStartAtOnce(t *testing.T) {
	f := newFixture(t)
	list := func(id, instance string) {
		f.running[id] = make(map[string]ListedRun)
		f.s.UpdateEndpoints([]Endpoint{{ID: id, Pool: "p", Address: id, Instance: instance, Capacity: testCapacity}}, f.now)
		f.sendReport(id)
	}
	list("e1", "m1")
	f.s.ExtendLease("e1", f.now)
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
	f.planAndAccept()
	f.now = f.now.Add(time.Second)
	f.s.RecordUnanswered("e1", f.now)
	list("e2", "m2")
	if starts := f.startOrders(f.s.Plan(f.now, f.now)); len(starts) > 0 {
		t.Fatalf("orders %v while the first endpoint may run the task", starts)
	}
	list("e3", "m1")
	if starts := f.startOrders(f.s.Plan(f.now, f.now)); len(starts) != 1 {
		t.Fatalf("orders %v, want a start as the instance has another endpoint", starts)
	}
}

// Guards against an endpoint that answers and is ended because another one claims its
// instance.
func TestAnsweringEndpointKeepsItsRuns(t *testing.T) {
	f := newFixture(t)
	f.running["e1"] = make(map[string]ListedRun)
	f.s.UpdateEndpoints([]Endpoint{{ID: "e1", Pool: "p", Address: "e1", Instance: "m1", Capacity: testCapacity}}, f.now)
	f.sendReport("e1")
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
	f.planAndAccept()
	f.s.UpdateEndpoints([]Endpoint{{ID: "e2", Pool: "p", Address: "e2", Instance: "m1", Capacity: testCapacity}}, f.now)
	f.sendReport("e2")
	if starts := f.startOrders(f.s.Plan(f.now, f.now)); len(starts) > 0 {
		t.Fatalf("orders %v for a task that runs", starts)
	}
}

// Guards against a task that runs twice: a start that was ordered shortly before the lease of
// its endpoint ended extends the lease to its own deadline, and the run counted as ended before
// that (sweep of thessalon-nav-grown with 300 entries, whose owner was too busy to poll).
func TestStartExtendsTheLeaseOfItsEndpoint(t *testing.T) {
	f := newFixture(t)
	f.running["e1"] = make(map[string]ListedRun)
	f.s.UpdateEndpoints([]Endpoint{{ID: "e1", Pool: "p", Address: "e1", Capacity: testCapacity}}, f.now)
	f.sendReport("e1")
	f.now = f.now.Add(testSettings.InheritedLease - 500*time.Millisecond)
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
	starts := f.startOrders(f.planAndAccept())
	if len(starts) != 1 || !starts[0].StartBy.Equal(f.now.Add(testSettings.StartTimeout)) {
		t.Fatalf("orders %+v, want a start that the endpoint refuses after %s", starts, testSettings.StartTimeout)
	}
	f.s.RecordUnanswered("e1", f.now)
	until := f.now.Add(f.s.localDuration(testSettings.StartTimeout))
	for _, c := range []struct {
		at   time.Time
		runs int
	}{{until.Add(-time.Millisecond), 1}, {until.Add(time.Millisecond), 0}} {
		f.s.ExpireLeases(c.at)
		if e, _ := f.s.EndpointStatus("e1"); e.Runs != c.runs {
			t.Errorf("%d runs %s after the start, want %d", e.Runs, c.at.Sub(f.now), c.runs)
		}
	}
}
