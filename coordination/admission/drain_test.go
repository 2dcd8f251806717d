package admission

import (
	"fmt"
	"testing"
	"time"
)

// Guards against callers that return together, out of order or before there is room, where
// 20,000 jobs are accepted, 200 of them end each second, and 1,000 callers are refused in 0.5 s.
func TestCallersReturnAsJobsEnd(t *testing.T) {
	const perSecond, callers = 200, 1000
	d := NewDrain(start)
	for i := range 20_000 {
		d.Add(after(float64(i+1) / perSecond))
	}
	var r Returns
	last := time.Time{}
	returns := make(map[int64]int)
	for i := range callers {
		now := after(0.5 * float64(i) / callers)
		at := now.Add(r.RetryWhenFull(fmt.Sprint(i), 0, d, now))
		if at.Before(last) {
			t.Fatalf("caller %d returns at %s, before the one that was refused earlier", i, at.Sub(start))
		}
		if at.Before(after(float64(i+1) / perSecond)) {
			t.Fatalf("caller %d returns at %s, before a job has ended for it", i, at.Sub(start))
		}
		last = at
		returns[at.Unix()]++
	}
	t.Logf("the last caller returns after %s, callers by second: %v", last.Sub(start), returns)
	for second, count := range returns {
		if count > perSecond+callers/10 {
			t.Errorf("%d callers return in second %d", count, second-start.Unix())
		}
	}
	if wait := last.Sub(start); wait > 2*callers/perSecond*time.Second {
		t.Errorf("the last caller returns after %s", wait)
	}
}

// Guards against callers that are told to return before the first job ends, before the jobs that
// are too many have ended, or after a fixed time if no end is in sight.
func TestCallersWaitForEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		ends   []float64
		excess int
		want   time.Duration
	}{
		{name: "all end together", ends: []float64{30, 30, 30, 30}, want: 30 * time.Second},
		{name: "too many", ends: []float64{1, 2, 3, 4, 5, 6, 7, 8}, excess: 4, want: 5 * time.Second},
		{name: "none ends", ends: []float64{3600}, want: time.Minute},
		{name: "soon", ends: []float64{0.01, 0.02}, want: time.Second},
	} {
		d := NewDrain(start)
		for _, at := range c.ends {
			d.Add(after(at))
		}
		var r Returns
		if got := r.RetryWhenFull("a", c.excess, d, start); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
