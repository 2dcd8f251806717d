package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// maxCallTime is how long a call of the scheduler may take: the manager's lock is held meanwhile, and endpoints
// and callers of the owner wait for seconds at most.
const maxCallTime = time.Second

// manySteps are jobs with as many steps or tasks as a job may have.
var manySteps = map[string]func() []job.Step{
	"independent": func() []job.Step { return repeatStep(20_000, job.Step{Count: 1}) },
	"sized":       func() []job.Step { return repeatStep(20_000, job.Step{Count: 1, CPU: 4000, MemoryMB: 100}) },
	"chain": func() []job.Step {
		steps := repeatStep(20_000, job.Step{Count: 1, CPU: 100})
		for i := 1; i < len(steps); i++ {
			steps[i].DependsOn = []int{i - 1}
		}
		return steps
	},
	"one before all": func() []job.Step {
		steps := repeatStep(20_000, job.Step{Count: 1, CPU: 100})
		for i := 1; i < len(steps); i++ {
			steps[i].DependsOn = []int{0}
		}
		return steps
	},
	"all before one": func() []job.Step {
		steps := repeatStep(20_000, job.Step{Count: 1, CPU: 100})
		for i := range len(steps) - 1 {
			steps[len(steps)-1].DependsOn = append(steps[len(steps)-1].DependsOn, i)
		}
		return steps
	},
	"each after many": func() []job.Step {
		steps := repeatStep(3_000, job.Step{Count: 1, CPU: 100})
		for i := 100; i < len(steps); i++ {
			for d := range 30 {
				steps[i].DependsOn = append(steps[i].DependsOn, d, d)
			}
		}
		return steps
	},
	"labelled": func() []job.Step {
		steps := repeatStep(10_000, job.Step{Count: 2, CPU: 100})
		for i := range steps {
			steps[i].RequiredLabel = fmt.Sprintf("l%d", i%20)
		}
		return steps
	},
	"wide":        func() []job.Step { return repeatStep(1, job.Step{Count: 20_000, CPU: 10}) },
	"apart":       func() []job.Step { return repeatStep(1, job.Step{Count: 20_000, CPU: 10, AntiAffinity: 5_000}) },
	"same rack":   func() []job.Step { return repeatStep(1, job.Step{Count: 20_000, CPU: 10, SameRack: true}) },
	"duplicates":  func() []job.Step { return repeatStep(200, job.Step{Count: 100, CPU: 10, AllowDuplicates: true}) },
	"checkpoints": func() []job.Step { return repeatStep(20_000, job.Step{Count: 1, KeepCheckpoints: true}) },
	"gangs":       func() []job.Step { return repeatStep(40, job.Step{Count: 500, CPU: 10, Gang: true}) },
	"large gang":  func() []job.Step { return repeatStep(5, job.Step{Count: 4_000, CPU: 100, Gang: true}) },
}

func repeatStep(count int, s job.Step) (steps []job.Step) {
	for range count {
		steps = append(steps, s)
	}
	return steps
}

// stopwatch ends the test if a call takes longer than maxCallTime.
func (f *fixture) stopwatch(name string, call func()) {
	f.t.Helper()
	began := time.Now()
	call()
	if took := time.Since(began); took > slowdown*maxCallTime {
		f.t.Fatalf("%s takes %s", name, took)
	}
}

// listLarge adds 50 endpoints of 32 cores with labels in racks of two data centres.
func (f *fixture) listLarge() (ids []string) {
	var listed []Endpoint
	for i := range 50 {
		l := Endpoint{
			ID: fmt.Sprintf("e%02d", i), Pool: "p", DataCentre: string(rune('A' + i%2)), Rack: fmt.Sprintf("r%d", i/4),
			Capacity: Capacity{CPU: 32_000, MemoryMB: 131_072}, Labels: []string{fmt.Sprintf("l%d", i%20)},
		}
		listed, ids = append(listed, l), append(ids, l.ID)
		f.running[l.ID] = make(map[string]ListedRun)
	}
	f.s.SetEndpoints(listed, f.now)
	for _, id := range ids {
		f.sendReport(id)
	}
	return ids
}

// ordinaryRecord returns a job of two short steps.
func ordinaryRecord(n int) job.Record {
	r := newRecord(fmt.Sprintf("%016x", n), job.Step{})
	r.Steps = []job.Step{{Count: 2, CPU: 1800, MemoryMB: 6500, EstimateMillis: 640}, {Count: 2, CPU: 1800, MemoryMB: 6500, EstimateMillis: 640, DependsOn: []int{0}}}
	return r
}

// endAll ends the runs on an endpoint as done, up to 500 of them.
func (f *fixture) endAll(endpoint string) {
	for _, name := range sortedKeys(f.running[endpoint]) {
		if len(f.ended[endpoint]) == 500 {
			return
		}
		f.endRun(endpoint, name, EndDone)
	}
}

// TestJobsOfManyStepsLeaveTheOwnerItsTime guards against an owner whose calls take seconds for jobs of thousands
// of steps, so that the tasks of all other jobs are started late or never.
func TestJobsOfManyStepsLeaveTheOwnerItsTime(t *testing.T) {
	t.Parallel()
	for name, steps := range manySteps {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.s.Settings.MaxStarts, f.s.Settings.LearnedSizes, f.s.Settings.ConfineJobs, f.s.Settings.Term = 64, true, true, 1
			f.s.SetOrganisations([]organisation.Terms{{Name: "o", Weight: 1, Limit: Capacity{CPU: 1_600_000, MemoryMB: 5_000_000, GPU: 1}}})
			ids := f.listLarge()
			large := 4
			for i := range large {
				r := newRecord(fmt.Sprintf("b%015x", i), job.Step{})
				r.Steps, r.Organisation, r.DataCentre = steps(), "o", "A"
				f.stopwatch("the decision on a job", func() {
					f.s.Admit(&r.Job, 0, f.now)
					f.s.Confine(&r.Job)
				})
				f.stopwatch("a new job", func() { f.s.AddJob(r, f.now) })
			}
			for i := range 20 {
				f.s.AddJob(ordinaryRecord(i), f.now)
			}
			for n := range 200 {
				f.now = f.now.Add(20 * time.Millisecond)
				f.stopwatch("a plan", func() { f.planAndAccept() })
				if n%5 > 0 {
					continue
				}
				f.stopwatch("a second plan at the same time", func() { f.planAndAccept() })
				for _, e := range ids {
					f.endAll(e)
					f.stopwatch("a report", func() { f.sendReport(e) })
					f.ended[e] = nil
				}
				f.stopwatch("the sizes of pools", func() { f.s.PlanMoves(nil, []string{"p"}, "", nil, f.now) })
				f.stopwatch("the writes", func() { f.confirmWrites() })
				f.stopwatch("the state", func() { f.s.State(f.now, f.now) })
				f.stopwatch("the description of a job", func() { f.s.DescribeJob("b000000000000000", 0, f.now) })
			}
			for i := range 20 {
				f.wantState(ordinaryRecord(i).ID, job.Completed)
			}
		})
	}
}

// TestOwnerTakesOverJobsOfManySteps guards against a takeover that takes seconds for the records of jobs of
// thousands of steps, or for the runs of their tasks.
func TestOwnerTakesOverJobsOfManySteps(t *testing.T) {
	t.Parallel()
	for name, steps := range manySteps {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			ids := f.listLarge()
			var records []job.Record
			for i := range 4 {
				r := newRecord(fmt.Sprintf("b%015x", i), job.Step{})
				r.Steps, r.Organisation = steps(), "o"
				f.s.AddJob(r, f.now)
			}
			for range 4 {
				f.now = f.now.Add(100 * time.Millisecond)
				f.planAndAccept()
				for _, e := range ids[:40] {
					f.endAll(e)
					f.sendReport(e)
					f.ended[e] = nil
				}
			}
			for _, w := range f.s.Writes(f.now, 0, 100) {
				value, err := w.Record.Encode()
				if err != nil {
					t.Fatal(err)
				}
				r, err := job.Decode(value, 1)
				if err != nil {
					t.Fatal(err)
				}
				records = append(records, r)
			}
			var handed Handover
			f.stopwatch("a handover", func() { handed = f.s.HandOver(f.now) })
			next := &fixture{t: t, s: &Scheduler{Settings: testSettings}, now: f.now, running: f.running, ended: f.ended, numbers: f.numbers}
			next.s.Settings.MaxStarts = 64
			next.s.SetOrganisations([]organisation.Terms{{Name: "o", Weight: 1, Limit: Capacity{CPU: 1_600_000, MemoryMB: 5_000_000, GPU: 1}}})
			next.stopwatch("a load", func() { next.s.LoadHandover(handed, records, next.now, next.now) })
			next.listLarge()
			for i := range 20 {
				next.s.AddJob(ordinaryRecord(i), next.now)
			}
			for n := range 200 {
				next.now = next.now.Add(20 * time.Millisecond)
				next.stopwatch("a plan", func() { next.planAndAccept() })
				if n%5 > 0 {
					continue
				}
				for _, e := range ids {
					next.endAll(e)
					next.stopwatch("a report", func() { next.sendReport(e) })
					next.ended[e] = nil
				}
				next.stopwatch("the writes", func() { next.confirmWrites() })
			}
			for i := range 20 {
				next.wantState(ordinaryRecord(i).ID, job.Completed)
			}
			for _, r := range records {
				next.stopwatch("a cancellation", func() { next.s.CancelJob(r.ID, next.now) })
			}
			next.stopwatch("a plan of stops", func() { next.planAndAccept() })
		})
	}
}
