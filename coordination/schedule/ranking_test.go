package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// Guards against jobs that a plan passes over although it would start, reserve, hold or report
// something for them. Pools are full in every mixture of sizes, limits and data centres.
func TestPassedOverJobsChangeNothing(t *testing.T) {
	passed, started := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t)
		var listed []Endpoint
		for i := range 12 {
			id := fmt.Sprintf("e%02d", i)
			listed = append(listed, Endpoint{ID: id, Pool: "p", DataCentre: string(rune('A' + i%3)), Capacity: testCapacity})
			f.running[id] = make(map[string]ListedRun)
		}
		f.s.SetEndpoints(listed, f.now)
		for _, l := range listed[:11+rng.IntN(2)] {
			f.sendReport(l.ID)
		}
		f.s.SetOrganisations([]organisation.Terms{{Name: "a", Weight: 1, Limit: Capacity{CPU: 30_000}}, {Name: "b", Weight: 1}})
		for i := range 120 {
			r := newRecord(fmt.Sprintf("%016x", i), job.Step{
				Count: 1 + rng.IntN(4), CPU: 500 + rng.IntN(4000), MemoryMB: 500 + rng.IntN(4000), EstimateMillis: 500, MaxUnavailable: 1,
				Gang: rng.IntN(10) == 0, LongRunning: rng.IntN(20) == 0, AllowDuplicates: rng.IntN(10) == 0, BestEffort: rng.IntN(10) == 0,
			})
			r.Organisation = []string{"", "a", "b"}[rng.IntN(3)]
			if rng.IntN(3) == 0 {
				r.DataCentre, r.ConfinedTerm = string(rune('A'+rng.IntN(3))), 1
			}
			if rng.IntN(10) == 0 {
				f.s.LoadJob(r, f.now)
			} else {
				f.s.AddJob(r, f.now)
			}
		}
		for range 3 {
			started += len(f.planAndAccept())
			for _, l := range listed[:rng.IntN(12)] {
				f.sendReport(l.ID)
			}
		}
		endpoints := f.s.usableEndpoints("p", f.now)
		c := &candidates{room: room{endpoints: endpoints, stale: true}, unread: f.s.unreadEndpoints("p", f.now), suspects: f.s.suspectJobs()}
		f.s.startsLeft = 1000
		ranking := f.s.rankedJobs("p", f.s.activeJobs["p"], c, f.now, f.now)
		ranking.visit(c, func(p *plannedJob) {
			if !f.s.changesNothing(p, c) {
				return
			}
			passed++
			before := fmt.Sprint(f.s.Counts, len(f.s.organisations.held), len(f.s.organisations.reservations), f.s.awaited.waiting, len(f.s.isolatedEndpoints))
			orders := f.s.planJob(p.job, c, f.now, f.now)
			f.s.widenWaiting(c, f.now)
			after := fmt.Sprint(f.s.Counts, len(f.s.organisations.held), len(f.s.organisations.reservations), f.s.awaited.waiting, len(f.s.isolatedEndpoints))
			if len(orders) > 0 || before != after {
				t.Errorf("seed %d: %s gets %v and changes %s to %s", seed, p.job.ID, orders, before, after)
			}
		})
	}
	if passed < 500 || started < 500 {
		t.Errorf("%d jobs were passed over and %d tasks started, want more", passed, started)
	}
}

// Guards against a job that waits although there is room for it, because its pool is full for all
// jobs that were ranked before.
func TestSmallJobStartsInFullPool(t *testing.T) {
	f := newFixture(t, "a")
	for i := range 2 * maxUncachedJobs {
		f.s.AddJob(newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 1, CPU: 3000, EstimateMillis: 500}), f.now)
	}
	f.planAndAccept()
	f.s.AddJob(newRecord("00000000000000ff", job.Step{Count: 1, CPU: 2000, EstimateMillis: 500}), f.now)
	f.now = f.now.Add(rankingLifetime)
	if starts := f.startOrders(f.planAndAccept()); len(starts) != 1 || starts[0].Job != "00000000000000ff" {
		t.Errorf("starts %v, want the small job", starts)
	}
}

// Guards against a long-running job that other jobs overtake while their pool is full, because it
// is not ranked and so reserves no capacity.
func TestLongRunningJobReservesInFullPool(t *testing.T) {
	f := newFixture(t, "a")
	for i := range 2 * maxUncachedJobs {
		f.s.AddJob(newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 1, CPU: 4000, EstimateMillis: 500}), f.now)
	}
	f.planAndAccept()
	f.s.AddJob(newRecord("00000000000000ff", job.Step{Count: 1, CPU: 8000, LongRunning: true}), f.now)
	f.now = f.now.Add(rankingLifetime)
	f.planAndAccept()
	if got := f.s.endpoints["a"].longRunningReserve.CPU; got != 8000 {
		t.Errorf("%d of CPU reserved, want 8000", got)
	}
}

// Guards against thousands of waiting jobs that are ranked as often as a few: 5,000 take 5 ms.
func TestLongQueuesAreRankedLessOften(t *testing.T) {
	f := newFixture(t, "a")
	const jobs = 5000
	for i := range jobs {
		f.s.AddJob(newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 1, CPU: 100, EstimateMillis: 500}), f.now)
	}
	f.s.Plan(f.now, f.now)
	if got, want := f.s.rankings["p"].validUntil.Sub(f.now), jobs*rankingLifetimePerJob; got != want || want != 100*time.Millisecond {
		t.Errorf("the ranking is valid for %s, want %s", got, want)
	}
}

// Guards against a search for each waiting job if one endpoint has CPU left and another one
// memory.
func TestRoomOfDifferentEndpointsIsNoRoom(t *testing.T) {
	cpu, memory := &endpoint{}, &endpoint{}
	cpu.Capacity, memory.Capacity = Capacity{CPU: 4000, MemoryMB: 100}, Capacity{CPU: 100, MemoryMB: 4000}
	r := room{endpoints: []*endpoint{cpu, memory}, stale: true}
	for range 2 {
		if r.canFit(Capacity{CPU: 1000, MemoryMB: 1000}) || r.canFit(Capacity{CPU: 2000, MemoryMB: 1000}) {
			t.Error("a task fits that no endpoint has room for")
		}
		if !r.canFit(Capacity{CPU: 1000, MemoryMB: 100}) || !r.canFit(Capacity{CPU: 100, MemoryMB: 1000}) {
			t.Error("a task does not fit that an endpoint has room for")
		}
	}
	if len(r.refused) != 1 {
		t.Errorf("refused sizes %v, want the smaller one", r.refused)
	}
}

// Guards against an endpoint that is no longer held for a suspected task because it has no room
// at the moment.
func TestEndpointStaysHeldInFullPool(t *testing.T) {
	f := newFixture(t, "a")
	r := newRecord("00000000000000ff", job.Step{Count: 3, CPU: 4000, EstimateMillis: 500})
	r.Progress = []job.Progress{{Crashes: map[int][]job.Crash{2: {{Run: 1, Endpoint: "x", AtStart: true, Confirmed: true}}}}}
	f.s.AddJob(r, f.now)
	e, suspect := f.s.endpoints["a"], f.s.jobs[r.ID].occurrences.items[0].steps[0].task(2)
	e.heldFor, e.heldUntil = suspect, f.now.Add(holdTime)
	for range 2 {
		f.now = f.now.Add(holdTime / 2)
		f.planAndAccept()
	}
	if len(e.runs) != 2 || e.heldFor != suspect || e.heldUntil != f.now.Add(holdTime) {
		t.Errorf("%d runs, held for %v until %s, want two and the suspected task", len(e.runs), e.heldFor, e.heldUntil)
	}
}

// Guards against ended jobs that stay in memory because the ranking of a longer queue held them.
func TestRankingsHoldNoEndedJobs(t *testing.T) {
	f := newFixture(t, "a")
	for i := range 100 {
		f.s.AddJob(newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 1, CPU: 100, EstimateMillis: 500}), f.now)
	}
	f.s.Plan(f.now, f.now)
	for i := 10; i < 100; i++ {
		f.s.CancelJob(fmt.Sprintf("%016x", i), f.now)
	}
	f.now = f.now.Add(fullRankingLifetime)
	f.s.Plan(f.now, f.now)
	buffer := f.s.rankings["p"].buffer
	for i, p := range buffer[:cap(buffer)] {
		if (i < 10) != (p.job != nil) {
			t.Errorf("entry %d of a ranking of 10 jobs is %v", i, p.job)
		}
	}
}
