package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against taking an endpoint out of service after a few lost orders: while
// one order in 20 got no answer, most endpoints of a busy pool got no tasks until
// their next poll (trouble-1 of wmus-sched).
func TestLostOrderKeepsEndpointInService(t *testing.T) {
	f := newFixture(t, "e1")
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
	f.s.RecordOrderResult(f.s.Plan(f.now, f.now)[0], Unknown, f.now)
	f.s.AddJob(newRecord("k", job.Step{Count: 1, CPU: 1000}), f.now)
	orders := f.startOrders(f.s.Plan(f.now, f.now))
	if len(orders) != 1 {
		t.Fatalf("orders %v, want the start of the next job", orders)
	}
	for range maxUnansweredOrders - 1 {
		f.s.AddJob(newRecord("l", job.Step{Count: 1, CPU: 100}), f.now)
		f.s.endpoints["e1"].unansweredOrders++
	}
	f.s.RecordOrderResult(orders[0], Unknown, f.now)
	if e, _ := f.s.EndpointStatus("e1"); !e.Unresponsive {
		t.Error("an endpoint that answers no orders does not count as unresponsive")
	}
}

// Guards against tasks that stall, or are many times slower than others, on
// endpoints that answer every poll, and against repeated restarts of tasks that take
// long by their nature.
func TestLaggingRunIsRestartedOnce(t *testing.T) {
	f := newFixture(t, "e1", "e2")
	f.s.Settings.MeanDurations = true
	f.s.init()
	f.s.durationEstimates["q"] = &durationEstimate{mean: 600, count: 10}
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
	first := f.planAndAccept()[0]
	stall := func(e string) {
		l := f.running[e][firstTask("j")]
		l.Percent = 10
		f.running[e][firstTask("j")] = l
		for range 4 {
			f.now = f.now.Add(600 * time.Millisecond)
			f.sendReport(e)
		}
	}
	stall(first.Endpoint)
	stops := f.planAndAccept()
	if len(stops) != 1 || stops[0].Action != Stop {
		t.Fatalf("orders %v, want a stop", stops)
	}
	f.sendReport(first.Endpoint)
	again := f.startOrders(f.planAndAccept())
	if len(again) != 1 || again[0].Endpoint == first.Endpoint {
		t.Fatalf("orders %v, want a start on the other endpoint", again)
	}
	stall(again[0].Endpoint)
	if orders := f.planAndAccept(); len(orders) > 0 {
		t.Fatalf("orders %v for a task that was given up once already", orders)
	}
}

// Guards against thresholds that treat ordinary runs as lagging.
func TestIsLagging(t *testing.T) {
	const usual = 600 * time.Millisecond
	for _, c := range []struct {
		elapsed, sinceProgress time.Duration
		percent                int
		want                   bool
	}{
		{elapsed: usual / 2, sinceProgress: usual / 2, percent: 1},
		{elapsed: usual, sinceProgress: 0, percent: 50},
		{elapsed: 2 * usual, sinceProgress: 100 * time.Millisecond, percent: 60},
		{elapsed: 2 * usual, sinceProgress: 100 * time.Millisecond, percent: 20, want: true},
		{elapsed: 4 * usual, sinceProgress: 3 * usual, percent: 90, want: true},
		{elapsed: 9 * usual, sinceProgress: 9 * usual, percent: 100},
	} {
		if got := isLagging(c.elapsed, c.sinceProgress, c.percent, usual); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
