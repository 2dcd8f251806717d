package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// Guards against a summary that hides what a job is expected to take, by which runs, or when a
// waiting job starts.
func TestJobSummaryTellsExpectedTimes(t *testing.T) {
	f := newFixture(t, "e1")
	for range 40 {
		f.learn("a", 500*time.Millisecond, 1)
		f.learn("b", 4*time.Second, 1)
	}
	f.s.AddJob(newRecord("first", imageStep("a")), f.now)
	f.s.AddJob(newRecord("second", imageStep("a")), f.now)
	f.s.AddJob(newRecord("third", imageStep("b")), f.now)
	f.planAndAccept()
	first, _ := f.s.DescribeJob("first", 0, f.now)
	if first.StartsInMillis != nil || first.EndsInMillis == nil || *first.EndsInMillis < 300 || *first.EndsInMillis > 900 {
		t.Errorf("a running job: %+v, want an end in about 500 ms and no start", first)
	}
	third, _ := f.s.DescribeJob("third", 0, f.now)
	if third.StartsInMillis == nil || *third.StartsInMillis < 700 || *third.StartsInMillis > 1600 {
		t.Fatalf("a waiting job: %+v, want a start in about 1 s", third)
	}
	if st := third.Steps[0]; st.Key != "image" || st.Runs != 40 || st.MedianMillis < 2500 || st.MedianMillis > 5000 || st.P90Millis <= st.MedianMillis {
		t.Errorf("%+v, want about 4 s by 40 runs of the image", st)
	}
	q := f.s.State(f.now, f.now).Pools[0].QueueTimes["q"]
	if *third.QueueTimes != q || q.Runs != 80 || q.Key != "image" || q.MedianMillis < 700 || q.MedianMillis > 2500 || q.P90Millis < q.MedianMillis {
		t.Errorf("queue %+v, want 80 runs between 0.5 and 4 s", q)
	}
	if _, known := f.s.DescribeJob("other", 0, f.now); known {
		t.Error("a job that does not exist is described")
	}
}

// Guards against a start that is told to a job which something else than the work ahead holds
// back.
func TestJobSummaryLeavesOutWhatItCannotTell(t *testing.T) {
	f := newFixture(t, "e1")
	f.s.SetOrganisations([]organisation.Terms{{Name: "o", Weight: 1, Limit: job.Capacity{CPU: 1000}}})
	lasting, held := newRecord("lasting", job.Step{Count: 1, CPU: 1000, LongRunning: true}), newRecord("held", job.Step{Count: 1, CPU: 1000})
	lasting.Organisation, held.Organisation = "o", "o"
	elsewhere := newRecord("elsewhere", job.Step{Count: 1, CPU: 1000})
	elsewhere.Pool = "empty"
	f.s.AddJob(lasting, f.now)
	f.planAndAccept()
	f.s.AddJob(held, f.now)
	f.s.AddJob(elsewhere, f.now)
	f.planAndAccept()
	for id, want := range map[string]string{"lasting": "long-running", "held": "limit", "elsewhere": "no endpoints"} {
		if s, _ := f.s.DescribeJob(id, 0, f.now); s.Reason != want || s.StartsInMillis != nil || s.EndsInMillis != nil {
			t.Errorf("%s: %+v, want no times because of %q", id, s, want)
		}
	}
}
