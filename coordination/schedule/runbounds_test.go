package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// maxReportRows is half of the rows that the reader of reports accepts.
const maxReportRows = 10_000

// smallSteps are steps of which the capacity of an endpoint bounds no useful number of tasks.
var smallSteps = map[string]job.Step{
	"no size":      {Count: 20_000, EstimateMillis: 60_000},
	"little":       {Count: 20_000, CPU: 10, MemoryMB: 10, EstimateMillis: 60_000},
	"best effort":  {Count: 20_000, CPU: 4_000, MemoryMB: 10, BestEffort: true, EstimateMillis: 60_000},
	"duplicates":   {Count: 20_000, AllowDuplicates: true, EstimateMillis: 60_000},
	"declared low": {Count: 20_000, CPU: 1, EstimateMillis: 1},
	"gang":         {Count: 4_000, Gang: true, EstimateMillis: 60_000},
	"long-running": {Count: 400, LongRunning: true, EstimateMillis: 900},
}

// wantBounded checks what each endpoint runs.
func (f *fixture) wantBounded(ids []string) {
	f.t.Helper()
	for _, e := range ids {
		if rows := len(f.running[e]); rows > maxReportRows {
			f.t.Fatalf("endpoint %s runs %d tasks, more than a report lists", e, rows)
		}
	}
}

// step plans every 20 ms for a time, and every endpoint reports every 200 ms.
func (f *fixture) step(ids []string, d time.Duration) {
	f.t.Helper()
	for n := range int(d / (20 * time.Millisecond)) {
		f.now = f.now.Add(20 * time.Millisecond)
		f.planAndAccept()
		if n%10 == 0 {
			for _, e := range ids {
				f.report(e)
			}
			f.wantBounded(ids)
			f.confirmWrites()
		}
	}
}

// report is sendReport at the present time.
func (f *fixture) report(endpoint string) {
	f.now = f.now.Add(-10 * time.Millisecond)
	f.sendReport(endpoint)
}

// wantRunning checks that jobs of small and of ordinary tasks start within 3 s.
func (f *fixture) wantRunning(ids []string, first int) {
	f.t.Helper()
	small := newRecord(fmt.Sprintf("%016x", first), job.Step{Count: 4, EstimateMillis: 640})
	f.s.AddJob(ordinaryRecord(first+1), f.now)
	f.s.AddJob(small, f.now)
	f.step(ids, 3*time.Second)
	for _, id := range []string{small.ID, ordinaryRecord(first + 1).ID} {
		if !f.s.jobs[id].hasRuns() {
			f.t.Errorf("job %s has nothing running after 3 s", id)
		}
	}
}

// TestSmallTasksLeaveRoomForOthers guards against small tasks that are piled on one endpoint after the other, whose
// reports cannot be read any more, so that their leases lapse and no task of any other job is started.
func TestSmallTasksLeaveRoomForOthers(t *testing.T) {
	t.Parallel()
	for name, st := range smallSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.s.Settings.MaxStarts = 64
			ids := f.listLarge()[:8]
			var listed []Endpoint
			for _, id := range ids {
				listed = append(listed, f.s.endpoints[id].Endpoint)
			}
			f.s.SetEndpoints(listed, f.now)
			for i := range 10 {
				f.s.AddJob(newRecord(fmt.Sprintf("b%015x", i), st), f.now)
			}
			f.step(ids, 10*time.Second)
			f.wantRunning(ids, 0)
			for i := range 10 {
				if j := f.s.jobs[fmt.Sprintf("b%015x", i)]; !st.Gang && !j.hasRuns() {
					t.Errorf("job %s has nothing running", j.ID)
				}
			}

			// Two endpoints crash with what they run.
			for _, e := range ids[:2] {
				clear(f.running[e])
				f.s.RecordDisconnected(e, f.now)
				f.s.RecordTermination(e, LossReplaced, f.now)
			}
			f.step(ids, 3*time.Second)
			f.wantRunning(ids, 100)

			// Another owner takes over.
			next := &fixture{t: t, s: &Scheduler{Settings: f.s.Settings}, now: f.now, running: f.running, ended: f.ended, numbers: f.numbers}
			next.s.Settings.RunNumberBase = 64
			next.s.SetEndpoints(listed, next.now)
			for _, j := range f.s.jobs {
				next.s.LoadJob(j.record(), next.now)
			}
			next.step(ids, 3*time.Second)
			next.wantRunning(ids, 200)
		})
	}
}

// TestUnansweredStartsAreBounded guards against an endpoint that answers late and is sent thousands of starts
// meanwhile, each of which waits for one of its few connections until it times out.
func TestUnansweredStartsAreBounded(t *testing.T) {
	f := newFixture(t, "e1", "e2")
	f.s.AddJob(newRecord("b000000000000000", smallSteps["no size"]), f.now)
	orders := f.s.Plan(f.now, f.now)
	f.now = f.now.Add(time.Second)
	orders = append(orders, f.s.Plan(f.now, f.now)...)
	starts := make(map[string]int)
	for _, o := range orders {
		starts[o.Endpoint]++
	}
	if starts["e1"] > 64 || starts["e2"] > 64 || starts["e1"]+starts["e2"] == 0 {
		t.Errorf("%v starts without an answer, want 64 each at most", starts)
	}
	for _, o := range orders {
		f.execute(o)
		f.s.RecordOrderResult(o, Accepted, f.now)
	}
	if more := f.planAndAccept(); len(more) == 0 {
		t.Error("no task is started after the answers")
	}
}

// TestSmallTasksThatCannotRunAreRefused guards against the acceptance of small tasks that have to run at the same time
// and that no endpoint can hold.
func TestSmallTasksThatCannotRunAreRefused(t *testing.T) {
	f := newFixture(t, "e1")
	for _, c := range []struct {
		step           job.Step
		refused, later bool
	}{
		{step: job.Step{Count: 4_096, Gang: true}},
		{step: job.Step{Count: 4_097, Gang: true}, refused: true},
		{step: job.Step{Count: 5_000, CPU: 51, Gang: true}},
		{step: job.Step{Count: 4_097, LongRunning: true}, refused: true},
		{step: job.Step{Count: 5_000, MemoryMB: 129, LongRunning: true}},
		{step: job.Step{Count: 20_000}},
	} {
		r := newRecord("a", c.step)
		if refused, later := f.s.TooManySmallTasks(&r.Job); refused != c.refused || later != c.later {
			t.Errorf("%+v: refused %t, later %t", c.step, refused, later)
		}
	}
	f.s.AddJob(newRecord("1", job.Step{Count: 4_000, LongRunning: true}), f.now)
	r := newRecord("2", job.Step{Count: 97, LongRunning: true})
	if refused, later := f.s.TooManySmallTasks(&r.Job); !refused || !later {
		t.Errorf("beside 4,000 others: refused %t, later %t", refused, later)
	}
	f.s.CancelJob("1", f.now)
	if refused, _ := f.s.TooManySmallTasks(&r.Job); refused {
		t.Error("refused after the others were cancelled")
	}
}

// TestEndsBeyondTheListedOnesAreStoredAtOnce guards against an endpoint with more ends than it lists, which has to wait
// for a delayed write before it lists the others.
func TestEndsBeyondTheListedOnesAreStoredAtOnce(t *testing.T) {
	f := newFixture(t, "e1")
	f.s.AddJob(newRecord("1", job.Step{Count: 100}), f.now)
	f.planAndAccept()
	f.endRun("e1", "1.0.0.0", EndDone)
	f.now = f.now.Add(10 * time.Millisecond)
	r := Report{SentAt: f.now, ReceivedAt: f.now, Incarnation: 1, Truncated: true, Ended: f.ended["e1"]}
	f.s.ApplyReport("e1", r)
	if !f.s.HasUrgentWrites() {
		t.Error("the record waits")
	}
}
