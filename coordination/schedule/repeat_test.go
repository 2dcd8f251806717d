package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// plannedOrders returns the orders of a flood of one organisation on a pool of which endpoints
// are lost, with jobs that are refused when they would be late, and the moves that follow.
func plannedOrders() (orders []string) {
	d := newDoorSimulation(24)
	d.onOrder = func(o Order) {
		orders = append(orders, fmt.Sprintf("%d %v %s %s %d", d.now.UnixMilli(), o.Action, o.Endpoint, o.Task, o.Run))
	}
	rng := rand.New(rand.NewPCG(3, 7))
	rate := d.rate(shortJobs)
	d.s.SetOrganisations([]organisation.Terms{{Name: "loud", Weight: 0.4 * rate}, {Name: "quiet", Weight: 0.6 * rate}})
	jobs := append(d.arrivals(rng, "quiet", shortJobs, 0.4, 0, 9), d.arrivals(rng, "loud", shortJobs, 2, 1, 8)...)
	for _, j := range jobs {
		for i := range j.record.Steps {
			j.record.Steps[i].AllowDuplicates = true
		}
	}
	for i := range 3 {
		at := d.now.Add(time.Duration(3+i) * time.Second)
		d.onTick = append(d.onTick, func() {
			if d.now.Before(at) || d.now.After(at.Add(10*time.Millisecond)) {
				return
			}
			for _, id := range []string{d.endpoints[2*i], d.endpoints[2*i+1]} {
				d.s.RecordDisconnected(id, d.now)
			}
			pools := []string{"p", "idle"}
			for _, m := range d.s.PlanMoves(nil, pools, "spare", nil, d.now) {
				orders = append(orders, fmt.Sprintf("%+v", m))
			}
			for _, s := range d.s.PoolSizes() {
				orders = append(orders, fmt.Sprintf("%+v", s))
			}
		})
	}
	d.run(jobs, 5*time.Second)
	return orders
}

// Guards against plans that depend on the order of a map: equal inputs have to give equal
// plans, so that what a test or an incident has shown can be seen again.
func TestEqualInputsGiveEqualPlans(t *testing.T) {
	first := plannedOrders()
	if len(first) < 1000 {
		t.Fatalf("%d orders, want a flood", len(first))
	}
	for range 2 {
		next := plannedOrders()
		for i := range min(len(first), len(next)) {
			if first[i] != next[i] {
				t.Fatalf("order %d is %s, was %s", i, next[i], first[i])
			}
		}
		if len(next) != len(first) {
			t.Fatalf("%d orders, were %d", len(next), len(first))
		}
	}
}

// Guards against orders to stop unknown runs in the order of a map.
func TestStopsAreSorted(t *testing.T) {
	for range 8 {
		f := newFixture(t, "a", "b", "c", "d", "e")
		for _, e := range []string{"e", "c", "a", "d", "b"} {
			f.running[e]["00000000000000aa.0.0.0"] = ListedRun{Task: "00000000000000aa.0.0.0", Run: 1}
			f.sendReport(e)
		}
		orders := f.s.Plan(f.now, f.now)
		for i, e := range []string{"a", "b", "c", "d", "e"} {
			if len(orders) != 5 || orders[i].Endpoint != e {
				t.Fatalf("orders %v, want one for each endpoint in their order", orders)
			}
		}
	}
}

// Guards, with more waiting tasks than an owner can start at once, against a plan that starts
// all of them, against pools that get no turn and against a job of a lower rank that starts
// first.
func TestStartsOfAPlanAreBounded(t *testing.T) {
	const most = 8
	f := newFixture(t)
	f.s.Settings.MaxStarts = most
	var listed []Endpoint
	for i := range 30 {
		id := fmt.Sprintf("e%02d", i)
		listed = append(listed, Endpoint{ID: id, Pool: fmt.Sprintf("p%d", i%3), Capacity: testCapacity})
		f.running[id] = make(map[string]ListedRun)
	}
	f.s.SetEndpoints(listed, f.now)
	for _, l := range listed {
		f.sendReport(l.ID)
	}
	for i := range 30 {
		r := newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 2, CPU: 1000, EstimateMillis: 400})
		r.Pool, r.Priority = fmt.Sprintf("p%d", i%3), i/15
		f.s.AddJob(r, f.now)
	}
	for n := range 3 {
		starts := f.startOrders(f.planAndAccept())
		if len(starts) < most || len(starts) > most+1 {
			t.Fatalf("%d starts, want %d and at most the rest of a job", len(starts), most)
		}
		for _, o := range starts {
			if f.s.jobs[o.Job].Priority > 0 {
				t.Errorf("plan %d starts a task of job %s before those of a higher rank", n, o.Job)
			}
			if pool := f.s.jobs[o.Job].Pool; pool != fmt.Sprintf("p%d", n) {
				t.Errorf("plan %d starts a task in pool %s", n, pool)
			}
		}
		if !f.s.StartsUsedUp() {
			t.Error("the plan does not report that it had too few starts")
		}
	}
	for range 10 {
		f.planAndAccept()
	}
	if f.s.StartsUsedUp() || f.s.Counts.Started != 60 {
		t.Errorf("%d tasks started, want all 60", f.s.Counts.Started)
	}
}
