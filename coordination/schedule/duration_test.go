package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/coordination/job"
)

// learn records finished runs of queue q with an image.
func (f *fixture) learn(image string, took time.Duration, runs int) {
	for range runs {
		f.now = f.now.Add(time.Millisecond)
		f.s.durations.estimator.Observe(duration.Key{Queue: "q", Image: image, CPU: 8000}, time.Second, took, f.now)
		f.s.durations.observed++
	}
}

func imageStep(image string) job.Step {
	return job.Step{Count: 1, CPU: 8000, Image: image, EstimateMillis: 1000}
}

// Guards against an order by declared estimates, or by one time for all tasks of a queue,
// where finished runs show which tasks are short.
func TestOrderByLearnedDuration(t *testing.T) {
	for _, c := range []struct {
		meanDurations bool
		want          string
	}{{want: "short"}, {meanDurations: true, want: "long"}} {
		f := newFixture(t, "e1")
		f.s.Settings.MeanDurations = c.meanDurations
		for range 20 {
			f.learn("a", 100*time.Millisecond, 1)
			f.learn("b", 800*time.Millisecond, 1)
		}
		f.s.AddJob(newRecord("long", imageStep("b")), f.now)
		f.s.AddJob(newRecord("short", imageStep("a")), f.now)
		orders := f.startOrders(f.s.Plan(f.now, f.now))
		if len(orders) != 1 || orders[0].Job != c.want {
			t.Errorf("orders %v, want a start of %s (mean durations: %v)", orders, c.want, c.meanDurations)
		}
	}
}

// Guards against learning that does not happen: an end that an endpoint reports must change
// what is expected.
func TestRunsAreLearned(t *testing.T) {
	f := newFixture(t, "e1")
	st := job.Step{Count: 1, CPU: 1000, EstimateMillis: 9000}
	for i := range 5 {
		id := fmt.Sprint("j", i)
		f.s.AddJob(newRecord(id, st), f.now)
		f.planAndAccept()
		f.now = f.now.Add(290 * time.Millisecond)
		f.endRun("e1", firstTask(id), EndDone)
		f.sendReport("e1")
		f.confirmWrites()
		f.wantState(id, job.Completed)
	}
	f.s.AddJob(newRecord("next", st), f.now)
	j := f.s.jobs["next"]
	if got := f.s.expected(j, 0); got < 200 || got > 450 {
		t.Errorf("%.0f ms expected after runs of 300 ms", got)
	}
	low, high := f.s.expectedQuantile(j, 0, 0.1), f.s.expectedQuantile(j, 0, 0.95)
	if low > high || high > 1500 {
		t.Errorf("quantiles %.0f and %.0f ms", low, high)
	}
}

// Guards against estimates from runs that show less than others: those of endpoints that are slow,
// those that continued from a checkpoint, and those of long-running tasks.
func TestOtherRunsAreNotLearned(t *testing.T) {
	for name, prepare := range map[string]func(r *run){
		"slow":    func(r *run) { r.endpoint.slowUntil = r.startedAt.Add(time.Hour) },
		"resumed": func(r *run) { r.resumed = true },
		"paced":   func(r *run) { r.pace = 50 },
		"adopted": func(r *run) { r.adoptedAt = r.startedAt },
		"lasting": func(r *run) { r.task.step.LongRunning = true },
	} {
		f := newFixture(t, "e1")
		f.learn("", time.Second, 20)
		f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000, EstimateMillis: 1000}), f.now)
		f.planAndAccept()
		prepare(f.s.endpoints["e1"].runs[firstTask("j")])
		before := f.s.durations.observed
		f.now = f.now.Add(10 * time.Millisecond)
		f.endRun("e1", firstTask("j"), EndDone)
		f.sendReport("e1")
		if f.s.durations.observed != before {
			t.Errorf("a %s run was learned", name)
		}
	}
}

// lagFixture has a job of which a run has lasted 1.5 s, with a progress, where runs take
// 600 ms.
func lagFixture(t *testing.T, percent int, duplicates bool) (f *fixture, first Order) {
	t.Helper()
	f = newFixture(t, "e1", "e2")
	f.s.Settings.StopTimeout = 400 * time.Millisecond
	f.learn("", 600*time.Millisecond, 40)
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000, EstimateMillis: 1000, AllowDuplicates: duplicates}), f.now)
	first = f.planAndAccept()[0]
	f.now = f.now.Add(1500 * time.Millisecond)
	f.setProgress(first, percent)
	return f, first
}

func (f *fixture) setProgress(o Order, percent int) {
	l := f.running[o.Endpoint][o.Task]
	l.Percent = percent
	f.running[o.Endpoint][o.Task] = l
	f.sendReport(o.Endpoint)
}

// Guards against restarts that end later than the run that they replace, and against none
// where a new run ends earlier.
func TestRestartOnlyIfNewRunEndsEarlier(t *testing.T) {
	for _, c := range []struct {
		percent    int
		duplicates bool
		want       []Action
	}{
		{percent: 9, want: []Action{Stop}},
		{percent: 60},
		{percent: 90},
		{percent: 9, duplicates: true, want: []Action{Start}},
		{percent: 60, duplicates: true, want: []Action{Start}},
		{percent: 90, duplicates: true},
	} {
		f, _ := lagFixture(t, c.percent, c.duplicates)
		var got []Action
		for _, o := range f.planAndAccept() {
			got = append(got, o.Action)
		}
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%d%% after 1.5 s, duplicates %v: %v, want %v", c.percent, c.duplicates, got, c.want)
		}
	}
}

// Guards against a task that takes long by its nature and is restarted again and again, and
// against restarts that have been useless in this queue so far.
func TestLongTaskIsRestartedOnce(t *testing.T) {
	f, first := lagFixture(t, 9, false)
	f.planAndAccept()
	f.sendReport(first.Endpoint)
	again := f.startOrders(f.planAndAccept())
	if len(again) != 1 || again[0].Endpoint == first.Endpoint {
		t.Fatalf("orders %v, want a start on the other endpoint", again)
	}
	for i := range 10 {
		f.now = f.now.Add(time.Second)
		f.setProgress(again[0], 6*(i+1))
		if orders := f.planAndAccept(); len(orders) > 0 {
			t.Fatalf("orders %v for a task that was restarted once already", orders)
		}
	}
	f.now = f.now.Add(6 * time.Second)
	f.endRun(again[0].Endpoint, again[0].Task, EndDone)
	f.sendReport(again[0].Endpoint)
	if p := f.s.durations.restarts["q"].probability(); p >= 0.5 {
		t.Errorf("a new run counts as faster with probability %.2f after a useless restart", p)
	}
}

// Guards against learned durations that turn a single late run of a new queue into a lagging
// one.
func TestNewQueueHasNoLaggingRuns(t *testing.T) {
	f := newFixture(t, "e1", "e2")
	f.learn("", 100*time.Millisecond, minLagRuns-1)
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000, EstimateMillis: 100}), f.now)
	first := f.planAndAccept()[0]
	f.now = f.now.Add(5 * time.Second)
	f.setProgress(first, 1)
	if orders := f.planAndAccept(); len(orders) > 0 {
		t.Errorf("orders %v", orders)
	}
}
