package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against endpoints that are closed by a few lost orders: while one order in
// twenty got no answer, most endpoints of a busy pool stood closed until their next
// look (trouble-1 of wmus-sched).
func TestALostOrderDoesNotCloseAnEndpoint(t *testing.T) {
	w := newWorld(t, "e1")
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	w.s.Answered(w.s.Plan(w.now, w.now)[0], Unknown, w.now)
	w.s.Add(record("k", job.Step{Count: 1, CPU: 1000}), w.now)
	orders := w.starts(w.s.Plan(w.now, w.now))
	if len(orders) != 1 {
		t.Fatalf("orders %v, want the start of the next job", orders)
	}
	for range doubtsToSilence - 1 {
		w.s.Add(record("l", job.Step{Count: 1, CPU: 100}), w.now)
		w.s.endpoints["e1"].doubts++
	}
	w.s.Answered(orders[0], Unknown, w.now)
	if e, _ := w.s.Endpoint("e1"); !e.Silent {
		t.Error("an endpoint that answers nothing is not silent")
	}
}

// Guards against tasks that stand still, or are many times slower than others, on
// endpoints that answer every look; and against long tasks that are restarted again
// and again.
func TestALaggingRunIsGivenUpOnce(t *testing.T) {
	w := newWorld(t, "e1", "e2")
	w.s.learned["q"] = &duration{mean: 600, count: 10}
	w.s.Add(record("j", job.Step{Count: 1, CPU: 1000}), w.now)
	first := w.start()[0]
	still := func(e string) {
		l := w.running[e][firstTask("j")]
		l.Percent = 10
		w.running[e][firstTask("j")] = l
		for range 4 {
			w.now = w.now.Add(600 * time.Millisecond)
			w.report(e)
		}
	}
	still(first.Endpoint)
	stops := w.start()
	if len(stops) != 1 || stops[0].Action != Stop {
		t.Fatalf("orders %v, want a stop", stops)
	}
	w.report(first.Endpoint)
	again := w.starts(w.start())
	if len(again) != 1 || again[0].Endpoint == first.Endpoint {
		t.Fatalf("orders %v, want a start on the other endpoint", again)
	}
	still(again[0].Endpoint)
	if orders := w.start(); len(orders) > 0 {
		t.Fatalf("orders %v for a task that is just long", orders)
	}
}

// Guards against signs of a lag that take ordinary tasks for lagging ones.
func TestSignsOfALag(t *testing.T) {
	const usual = 600 * time.Millisecond
	for _, c := range []struct {
		took, still time.Duration
		percent     int
		want        bool
	}{
		{took: usual / 2, still: usual / 2, percent: 1},
		{took: usual, still: 0, percent: 50},
		{took: 2 * usual, still: 100 * time.Millisecond, percent: 60},
		{took: 2 * usual, still: 100 * time.Millisecond, percent: 20, want: true},
		{took: 4 * usual, still: 3 * usual, percent: 90, want: true},
		{took: 9 * usual, still: 9 * usual, percent: 100},
	} {
		if got := lags(c.took, c.still, c.percent, usual); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
