package limit

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// randomRunTime returns a log-normal run time with a median of one second.
func randomRunTime(r *rand.Rand) (run float64) {
	return math.Exp(0.8 * r.NormFloat64())
}

// completeTasks ends n tasks on an endpoint where run times grow with the square
// of the slots in use beyond saturation. It returns the mean limit over the
// second half.
func completeTasks(l *Limiter, r *rand.Rand, n, saturation int) (mean float64) {
	for i := range n {
		inUse := l.Limit()
		slowdown := max(1, float64(inUse)/float64(saturation))
		l.Observe(Sample{Run: toDuration(randomRunTime(r) * slowdown * slowdown), Expected: time.Second, InUse: inUse})
		if i >= n/2 {
			mean += float64(l.Limit()) / float64(n-n/2)
		}
	}
	return mean
}

// Guards against a limit that shrinks because of the spread of run times alone,
// and against one that stays while the endpoint gets slower.
func TestLimitFollowsTheEndpoint(t *testing.T) {
	for seed := range int64(20) {
		r := rand.New(rand.NewSource(seed))
		l := &Limiter{Slots: 8}
		if healthy := completeTasks(l, r, 2000, 8); healthy < 7.5 {
			t.Errorf("seed %d: mean limit %.1f of a healthy endpoint, want 8", seed, healthy)
		}
		if slow := completeTasks(l, r, 1000, 2); slow > 5 {
			t.Errorf("seed %d: mean limit %.1f while 8 slots in use make tasks 16 times as long", seed, slow)
		}
		if again := completeTasks(l, r, 1000, 8); again < 7.5 {
			t.Errorf("seed %d: mean limit %.1f after the endpoint recovered", seed, again)
		}
	}
}

// Guards against asking an endpoint again and again for slots that it refuses,
// and against a limit below one.
func TestRefusalsLowerTheLimit(t *testing.T) {
	l := &Limiter{Slots: 8}
	l.ObserveRefusal(5)
	if got := l.Limit(); got != 4 {
		t.Errorf("limit %d after a refusal at 5 slots, want 4", got)
	}
	for range 10 {
		l.ObserveRefusal(l.Limit())
	}
	if got := l.Limit(); got != 1 {
		t.Errorf("limit %d, want 1", got)
	}
}

// Guards against declared run times that are off by a factor of ten.
func TestEstimateOverridesDeclaredValues(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	steady, noisy := Kind{Member: "steady", Pool: "p"}, Kind{Member: "noisy", Pool: "q"}
	var e Estimator
	if got := e.Estimate(steady, Declared{Run: time.Second}); got.Run < time.Second || !within(got.LongestRun, 10*time.Second, 1.01) {
		t.Errorf("first estimate %+v, want the declared second with a wide bound", got)
	}
	if got := e.Estimate(steady, Declared{}); got.Run != 0 || got.Slots != 1 {
		t.Errorf("estimate %+v of an unknown request, want none", got)
	}
	for range 300 {
		run := randomRunTime(r)
		// steady declares a tenth of each run time; the values of noisy are random.
		e.Observe(steady, Declared{Run: toDuration(run / 10)}, toDuration(run))
		e.Observe(noisy, Declared{Run: toDuration(randomRunTime(r) * math.Pow(10, 2*r.Float64()-1))}, toDuration(run))
	}
	if got := e.Estimate(steady, Declared{Run: 300 * time.Millisecond}); !within(got.Run, 3*time.Second, 1.1) {
		t.Errorf("estimate %+v, want ten times the declared 0.3 s", got)
	}
	// The mean of the distribution is exp(0.8*0.8/2) = 1.38 s.
	got := e.Estimate(noisy, Declared{Run: 10 * time.Second})
	if !within(got.Run, 1380*time.Millisecond, 1.4) || !within(got.LongestRun, 6400*time.Millisecond, 1.6) {
		t.Errorf("estimate %+v, want the mean 1.38 s and the 99th percentile 6.4 s", got)
	}
	if got = e.Estimate(Kind{Member: "new", Pool: "q"}, Declared{}); !within(got.Run, 1380*time.Millisecond, 1.4) {
		t.Errorf("estimate %+v of a new member, want that of its pool", got)
	}
}

// Guards against one outlier that changes an estimate, and against requests
// that use more slots than they declare.
func TestEstimateIsRobust(t *testing.T) {
	k := Kind{Member: "m", Pool: "p"}
	var e Estimator
	for range 100 {
		e.Observe(k, Declared{}, time.Second)
		e.ObserveUsage(k, Declared{Slots: 1}, 3)
	}
	e.Observe(k, Declared{}, time.Hour)
	if got := e.Estimate(k, Declared{Slots: 2}); !within(got.Run, time.Second, 1.1) || got.Slots != 6 {
		t.Errorf("estimate %+v, want 1 s and 6 slots", got)
	}
	for i := range 2 * maxKinds {
		e.Observe(Kind{Member: fmt.Sprint(i), Pool: "p"}, Declared{}, time.Second)
	}
	if len(e.kinds) > maxKinds {
		t.Errorf("%d kinds kept, want at most %d", len(e.kinds), maxKinds)
	}
}

func within(got, want time.Duration, factor float64) bool {
	ratio := got.Seconds() / want.Seconds()
	return ratio < factor && ratio > 1/factor
}
