package schedule

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// waitingShapes are jobs that wait in different ways.
func waitingShapes() map[string]job.Record {
	wide := func(change func(s *job.Step)) job.Record {
		s := job.Step{Count: 20_000, CPU: 500, EstimateMillis: 300}
		change(&s)
		return newRecord("", s)
	}
	schedule := func(intervalMillis int64, change func(s *job.Step)) job.Record {
		s := job.Step{Count: 1, CPU: 500, EstimateMillis: 300}
		change(&s)
		r := newRecord("", s)
		r.Repeat, r.IntervalMillis, r.StartAt = 10_080, intervalMillis, r.AcceptedAt
		return r
	}
	steps := func(count int, chained bool) job.Record {
		r := newRecord("", job.Step{Count: 1, CPU: 500, EstimateMillis: 300})
		for i := 1; i < count; i++ {
			next := r.Steps[0]
			if chained {
				next.DependsOn = []int{i - 1}
			}
			r.Steps = append(r.Steps, next)
		}
		return r
	}
	none := func(*job.Step) {}
	shapes := map[string]job.Record{
		"schedule of a week":                        schedule(60_000, none),
		"schedule that is due at once":              schedule(0, none),
		"due schedule that fits nowhere":            schedule(0, func(s *job.Step) { s.RequiredLabel = "missing" }),
		"due schedule of gangs":                     schedule(0, func(s *job.Step) { s.Gang = true }),
		"wide step":                                 wide(none),
		"wide step that fits nowhere":               wide(func(s *job.Step) { s.CPU = 1_000_000 }),
		"wide step that starts one task a endpoint": wide(func(s *job.Step) { s.AntiAffinity = 1 }),
		"wide step with copies":                     wide(func(s *job.Step) { s.AllowDuplicates = true }),
		"wide gang":                                 wide(func(s *job.Step) { s.Gang = true }),
		"wide long-running step":                    wide(func(s *job.Step) { s.LongRunning = true }),
		"chain of steps":                            steps(5_000, true),
		"independent steps":                         steps(5_000, false),
		"long description":                          newRecord("", job.Step{Count: 1, CPU: 500, EstimateMillis: 300}),
	}
	long := shapes["long description"]
	long.Spec = strings.Repeat("x", 4_000)
	shapes["long description"] = long
	for name, done := range map[string]int{"inherited schedule": 9_000, "inherited schedule with failures": 9_000} {
		r := shapes["schedule of a week"]
		for k := range done {
			p := job.Progress{Occurrence: k, Done: []int{0}}
			if k%2 == 0 && strings.Contains(name, "failures") {
				p.Failures = map[int][]int{0: {7}}
			}
			r.Progress = append(r.Progress, p)
		}
		shapes[name] = r
	}
	inherited := shapes["wide step"]
	inherited.Progress = []job.Progress{{Done: allIndexes(19_000)}}
	shapes["inherited wide step"] = inherited
	return shapes
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestWaitingWorkTakesTheMemoryItIsCountedWith guards against jobs that take more memory than they are
// counted with while their tasks wait, whatever they wait for.
func TestWaitingWorkTakesTheMemoryItIsCountedWith(t *testing.T) {
	const limit = 8 << 20
	for name, shape := range waitingShapes() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "e1", "e2", "e3")
			f.planAndAccept()
			size := MemoryBytes(&shape.Job)
			before := heapBytes()
			count := int(min(limit/size, 2_000))
			for i := range count {
				r := shape
				r.Steps, r.ID = append([]job.Step(nil), shape.Steps...), fmt.Sprintf("%016x", i)
				f.s.LoadJob(r, f.now)
			}
			if held := f.s.HeldBytes(); held != int64(count)*size {
				t.Errorf("%d jobs of %d bytes are counted as %d", count, size, held)
			}
			runs := 0
			for range 3 {
				for _, o := range f.planAndAccept() {
					if o.Action == Start {
						runs++
					}
				}
			}
			// A run takes 1 KB with its task, and the ranking of a pool 100 bytes a job.
			allowed := f.s.HeldBytes() + int64(runs)<<10 + int64(count)*100 + 64<<10
			if took := heapBytes() - before; took > allowed {
				t.Errorf("%d jobs with %d runs take %d bytes, counted as %d", count, runs, took, f.s.HeldBytes())
			}
			runtime.KeepAlive(f)
		})
	}
}

// TestFinishedWorkIsFreed guards against done tasks and occurrences of a job that goes on which stay in
// memory, and against memory that stays counted after the end of a job.
func TestFinishedWorkIsFreed(t *testing.T) {
	for name, shape := range waitingShapes() {
		if shape.Progress != nil || shape.Steps[0].Gang || shape.Steps[0].LongRunning {
			continue
		}
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "e1", "e2", "e3")
			shape.ID = "00000000000000aa"
			f.s.AddJob(shape, f.now)
			ended := 0
			for range 40 {
				for _, o := range f.startOrders(f.planAndAccept()) {
					f.endRun(o.Endpoint, o.Task, EndDone)
					ended++
				}
				for _, e := range []string{"e1", "e2", "e3"} {
					f.sendReport(e)
				}
				f.confirmWrites()
			}
			j := f.s.jobs[shape.ID]
			for _, o := range j.occurrences.items {
				if o.complete() {
					t.Fatalf("occurrence %d is done and still in use, after %d ends", o.index, ended)
				}
				for _, st := range o.steps {
					for _, task := range st.tasks.items {
						if task.done {
							t.Fatalf("task %s is done and still in use, after %d ends", task.name, ended)
						}
					}
				}
			}
			f.s.CancelJob(shape.ID, f.now)
			f.confirmWrites()
			f.s.RemoveEndedJobs(f.now.Add(time.Second), 10)
			if held := f.s.HeldBytes(); held != 0 {
				t.Errorf("%d bytes are counted without a job", held)
			}
		})
	}
}

// TestDueOccurrencesRunOnceAcrossOwners guards against occurrences that are skipped, run twice or start early
// because only a part of them is in use, also after owners that have read and stored them in part.
func TestDueOccurrencesRunOnceAcrossOwners(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t, "e1", "e2", "e3")
		r := newRecord("00000000000000aa", job.Step{Count: 2, CPU: 3000, EstimateMillis: 300})
		r.Steps = append(r.Steps, job.Step{Count: 1, CPU: 500, EstimateMillis: 300, DependsOn: []int{0}})
		r.Repeat, r.IntervalMillis, r.StartAt, r.MaxAttempts = 150, int64(rng.IntN(60)), f.now.UnixMilli(), 0
		stored := r
		f.s.AddJob(r, f.now)
		done := make(map[string]bool)
		for step := 0; step < 5_000 && !stored.State.Terminal(); step++ {
			for _, o := range f.startOrders(f.planAndAccept()) {
				_, ref, err := job.ParseTaskName(o.Task)
				if err != nil {
					t.Fatal(err)
				}
				if due := r.StartAt + int64(ref.Occurrence)*r.IntervalMillis; done[o.Task] || f.now.UnixMilli() < due {
					t.Fatalf("seed %d: %s starts, done %v, due in %d ms", seed, o.Task, done[o.Task], due-f.now.UnixMilli())
				}
			}
			for _, e := range []string{"e1", "e2", "e3"} {
				for _, task := range sortedKeys(f.running[e]) {
					switch rng.IntN(12) {
					case 0, 1, 2, 3:
						done[task] = true
						f.endRun(e, task, EndDone)
					case 4:
						f.endRun(e, task, EndFailed)
					}
				}
				f.sendReport(e)
			}
			if rng.IntN(4) == 0 {
				for _, w := range f.confirmWrites() {
					stored = w.Record
				}
			}
			if rng.IntN(120) == 0 && !stored.State.Terminal() {
				f.s = &Scheduler{Settings: testSettings}
				f.listEndpoints("e1", "e2", "e3")
				f.s.LoadJob(decoded(t, stored), f.now)
			}
		}
		if stored.State != job.Completed || len(done) != 3*r.Repeat {
			t.Errorf("seed %d: the job is %s with %d of %d tasks done", seed, stored.State, len(done), 3*r.Repeat)
		}
	}
}

// TestEarlyOccurrenceKeepsNoOtherBack guards against due occurrences that wait for a later one, which an earlier
// owner with another clock has started.
func TestEarlyOccurrenceKeepsNoOtherBack(t *testing.T) {
	f := newFixture(t, "e1")
	r := newRecord("00000000000000aa", job.Step{Count: 1, CPU: 500, EstimateMillis: 300})
	r.Repeat, r.IntervalMillis, r.StartAt = 10, 60_000, f.now.UnixMilli()
	f.s.LoadJob(r, f.now)
	early := job.TaskRef{Occurrence: 5}.TaskName(r.ID)
	f.running["e1"][early] = ListedRun{Task: early, Run: 1}
	f.sendReport("e1")
	if starts := f.startOrders(f.planAndAccept()); len(starts) != 1 || starts[0].Task != firstTask(r.ID) {
		t.Errorf("starts %+v, want the first occurrence", starts)
	}
}

// decoded returns a record as the next owner reads it.
func decoded(t *testing.T, r job.Record) job.Record {
	t.Helper()
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r, err = job.Decode(value, 1); err != nil {
		t.Fatal(err)
	}
	return r
}
