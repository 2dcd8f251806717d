package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// maxValueBytes is the longest value that the store accepts.
const maxValueBytes = 1 << 20

// wantShortRecords checks the records of all jobs, and returns them as the next owner reads them.
func (f *fixture) wantShortRecords() (read []job.Record) {
	f.t.Helper()
	for _, id := range sortedKeys(f.s.jobs) {
		r := f.s.jobs[id].record()
		value, err := r.Encode()
		if err != nil {
			f.t.Fatal(err)
		}
		if len(value) > maxValueBytes {
			f.t.Fatalf("the record of job %s has %d bytes, more than the store accepts", id, len(value))
		}
		if r, err = job.Decode(value, 1); err != nil {
			f.t.Fatal(err)
		}
		read = append(read, r)
	}
	return read
}

// crash ends an endpoint and starts another one of its instance, with a name of the longest that there are.
func (f *fixture) crash(l Endpoint, life int) (next Endpoint) {
	clear(f.running[l.ID])
	f.now = f.now.Add(10 * time.Millisecond)
	f.s.RecordDisconnected(l.ID, f.now)
	next = l
	next.ID = fmt.Sprintf("%s-%d%s", l.Instance[:3], life, strings.Repeat("x", 190))
	f.running[next.ID] = make(map[string]ListedRun)
	f.s.UnlistEndpoint(l.ID)
	f.s.UpdateEndpoints([]Endpoint{next}, f.now)
	f.sendReport(next.ID)
	return next
}

// TestRecordsOfCrashedTasksFitTheStore guards against a record that becomes longer than the store accepts by what is
// kept of lost endpoints: it is refused for good, with the records that share its transactions.
func TestRecordsOfCrashedTasksFitTheStore(t *testing.T) {
	for name, steps := range map[string]func() []job.Step{
		"one step": func() []job.Step {
			return repeatStep(1, job.Step{Count: 20_000, CPU: 60, MemoryMB: 10, EstimateMillis: 4000})
		},
		"small tasks": func() []job.Step {
			return repeatStep(1, job.Step{Count: 20_000, CPU: 10, MemoryMB: 10, EstimateMillis: 4000})
		},
		"many steps": func() []job.Step {
			return repeatStep(10_000, job.Step{Count: 2, CPU: 60, MemoryMB: 10, EstimateMillis: 4000})
		},
		"gang":          func() []job.Step { return repeatStep(5, job.Step{Count: 4_000, CPU: 60, MemoryMB: 10, Gang: true}) },
		"short tasks":   func() []job.Step { return repeatStep(4_000, job.Step{Count: 5, CPU: 500, EstimateMillis: 100}) },
		"allows copies": func() []job.Step { return repeatStep(100, job.Step{Count: 200, CPU: 100, AllowDuplicates: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var fleet []Endpoint
			for i := range 8 {
				l := Endpoint{
					ID: fmt.Sprintf("e%d", i), Pool: "p", Instance: fmt.Sprintf("m%02d%s", i, strings.Repeat("n", 190)),
					Capacity: Capacity{CPU: 64_000, MemoryMB: 262_144},
				}
				f.running[l.ID] = make(map[string]ListedRun)
				fleet = append(fleet, l)
			}
			f.s.SetEndpoints(fleet, f.now)
			for i := range fleet {
				f.sendReport(fleet[i].ID)
			}
			r := newRecord("b000000000000000", job.Step{})
			r.Steps, r.MaxAttempts = steps(), 1000
			f.s.AddJob(r, f.now)
			for life := range 12 {
				for range 20 {
					f.now = f.now.Add(20 * time.Millisecond)
					f.planAndAccept()
				}
				for i := range fleet {
					f.sendReport(fleet[i].ID)
				}
				// Tasks fail, and others end as done.
				for n, task := range sortedKeys(f.running[fleet[7].ID]) {
					f.endRun(fleet[7].ID, task, []EndReason{EndFailed, EndFailed, EndDone}[n%3])
				}
				f.sendReport(fleet[7].ID)
				f.ended[fleet[7].ID] = nil
				for i := range 4 {
					fleet[i] = f.crash(fleet[i], life)
				}
				f.wantShortRecords()
			}
			next := &fixture{t: t, s: &Scheduler{Settings: f.s.Settings}, now: f.now, running: f.running, ended: f.ended, numbers: f.numbers}
			next.s.SetEndpoints(fleet, next.now)
			done := make(map[string]int)
			for _, r := range f.wantShortRecords() {
				next.s.LoadJob(r, next.now)
				for _, p := range r.Progress {
					done[r.ID] += len(p.Done)
				}
			}
			for i := range fleet {
				next.sendReport(fleet[i].ID)
			}
			next.planAndAccept()
			next.wantShortRecords()
			if got, want := done["b000000000000000"], f.s.Counts.Done; int64(got) != want {
				t.Errorf("the next owner reads %d done tasks, want %d", got, want)
			}
		})
	}
}

// TestFailedRunsCountWithoutTheirNumbers guards against a task that fails more often than it may because only its last
// failures are kept, or that fails the job by one failure that is reported twice.
func TestFailedRunsCountWithoutTheirNumbers(t *testing.T) {
	f := newFixture(t, "e1")
	r := newRecord("1", job.Step{Count: 1, EstimateMillis: 100})
	r.MaxAttempts = 30
	f.s.AddJob(r, f.now)
	for n := range 29 {
		f.now = f.now.Add(10 * time.Second)
		if starts := f.startOrders(f.planAndAccept()); len(starts) != 1 {
			t.Fatalf("%d starts after %d failures", len(starts), n)
		}
		f.endRun("e1", "1.0.0.0", EndFailed)
		f.sendReport("e1")
		if n%5 == 4 {
			// The next owner gets all ends once more.
			records := f.wantShortRecords()
			next := newFixture(t, "e1")
			next.now, next.running, next.ended, next.numbers = f.now, f.running, f.ended, f.numbers
			next.s.Settings.RunNumberBase = 64 * (n + 1)
			next.s.LoadJob(records[0], next.now)
			next.sendReport("e1")
			f = next
		}
		f.wantState("1", job.Running)
	}
	f.now = f.now.Add(10 * time.Second)
	f.planAndAccept()
	f.endRun("e1", "1.0.0.0", EndFailed)
	f.sendReport("e1")
	if j := f.s.jobs["1"]; j.state != job.Failed {
		t.Errorf("the job is %s after 30 failures", j.state)
	}
}

// TestRefusedRecordHoldsBackNoEnds guards against the record of one job, which the store refuses for good, that keeps an
// endpoint from listing the ends of others.
func TestRefusedRecordHoldsBackNoEnds(t *testing.T) {
	f := newFixture(t, "e1")
	for _, id := range []string{"1", "2"} {
		f.s.AddJob(newRecord(id, job.Step{Count: 2}), f.now)
	}
	f.planAndAccept()
	f.endRun("e1", "1.0.0.0", EndDone)
	f.endRun("e1", "2.0.0.0", EndDone)
	f.sendReport("e1")
	for n := range 4 {
		for _, w := range f.s.Writes(f.now, 0, 10) {
			if w.Record.ID == "1" {
				f.s.RefuseWrite("1", f.now)
			} else {
				f.s.ConfirmWrite(w, 1)
			}
		}
		if len(f.s.Writes(f.now, 0, 10)) > 0 {
			t.Error("the refused record is written again at once")
		}
		if s, _ := f.s.EndpointStatus("e1"); n == 0 && s.LastStoredEnd != 0 {
			t.Error("an end is acknowledged after one refusal")
		}
		f.now = f.now.Add(time.Minute)
	}
	if s, _ := f.s.EndpointStatus("e1"); s.LastStoredEnd != 2 {
		t.Errorf("the ends up to %d are acknowledged, want both", s.LastStoredEnd)
	}
	if f.s.CountRefused() != 1 {
		t.Errorf("%d records are refused, want 1", f.s.CountRefused())
	}
	for _, w := range f.s.Writes(f.now, 0, 10) {
		f.s.ConfirmWrite(w, 2)
	}
	if f.s.CountRefused() != 0 {
		t.Error("the record counts as refused after it was stored")
	}
}
