package duration

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// feed lets an estimator observe runs at a rate, and holds the time.
type feed struct {
	e   Estimator
	now time.Time
	rng *rand.Rand
}

func newFeed() *feed {
	return &feed{now: time.UnixMilli(1_700_000_000_000), rng: rand.New(rand.NewPCG(1, 2))}
}

// runs observes runs, 20 a second.
func (f *feed) runs(count int, k Key, declared time.Duration, took func() time.Duration) {
	for range count {
		f.now = f.now.Add(50 * time.Millisecond)
		f.e.Observe(k, declared, took(), f.now)
	}
}

// around returns a run time with a coefficient of variation of about 0.5.
func (f *feed) around(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(0.47*f.rng.NormFloat64()-0.11))
}

func wantNear(t *testing.T, what string, got, want time.Duration, factor float64) {
	t.Helper()
	if r := float64(got) / float64(want); r > factor || r < 1/factor {
		t.Errorf("%s is %v, want %v within a factor of %.2f", what, got, want, factor)
	}
}

// Guards against trust in declared estimates that are off by a constant factor.
func TestDeclaredOffByTen(t *testing.T) {
	for _, factor := range []float64{0.1, 10} {
		f := newFeed()
		k := Key{Queue: "q"}
		for range 40 {
			work := f.around(time.Second)
			f.runs(1, k, time.Duration(float64(work)*factor), func() time.Duration { return work })
		}
		for _, work := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			got := f.e.Expect(k, time.Duration(float64(work)*factor)).Mean()
			wantNear(t, fmt.Sprintf("mean at declared times %v", factor), got, work, 1.3)
		}
	}
}

// Guards against trust in declared estimates that say nothing.
func TestUselessDeclaredIsIgnored(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	for range 300 {
		declared := time.Duration(float64(time.Second) * math.Exp(2*f.rng.NormFloat64()))
		f.runs(1, k, declared, func() time.Duration { return f.around(time.Second) })
	}
	wantNear(t, "mean at a high estimate", f.e.Expect(k, 20*time.Second).Mean(), time.Second, 1.4)
	wantNear(t, "mean at a low estimate", f.e.Expect(k, 50*time.Millisecond).Mean(), time.Second, 1.4)
}

// Guards against a mean that describes no run: two kinds of run share all that is known.
func TestTwoModes(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	f.runs(600, k, time.Second, func() time.Duration {
		if f.rng.IntN(2) == 0 {
			return 200 * time.Millisecond
		}
		return 2 * time.Second
	})
	d := f.e.Expect(k, time.Second)
	wantNear(t, "lower quartile", d.Quantile(0.25), 200*time.Millisecond, 1.5)
	wantNear(t, "upper quartile", d.Quantile(0.75), 2*time.Second, 1.5)
	wantNear(t, "mean", d.Mean(), 1100*time.Millisecond, 1.3)
	wantNear(t, "remaining time of a run of the longer kind", d.Remaining(600*time.Millisecond), 1400*time.Millisecond, 1.5)
}

// Guards against an estimate that lags behind run times that rise.
func TestDrift(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	mean := 500 * time.Millisecond
	for range 100 {
		f.runs(10, k, time.Second, func() time.Duration { return f.around(mean) })
		mean = time.Duration(float64(mean) * 1.02)
	}
	wantNear(t, "mean", f.e.Expect(k, time.Second).Mean(), mean, 1.35)
}

// Guards against estimates that jump with the first runs, and against the declared
// estimate being used after them.
func TestFewRuns(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	d := f.e.Expect(k, 3*time.Second)
	wantNear(t, "mean without runs", d.Mean(), 3*time.Second, 1.01)
	wantNear(t, "99% quantile without runs", d.Quantile(0.99), 30*time.Second, 2)
	if d.Samples() != 0 {
		t.Errorf("%d samples without runs", d.Samples())
	}
	f.runs(1, k, 3*time.Second, func() time.Duration { return 300 * time.Millisecond })
	wantNear(t, "mean after a run", f.e.Expect(k, 3*time.Second).Mean(), 300*time.Millisecond, 1.1)
	f.runs(1, k, 3*time.Second, func() time.Duration { return 700 * time.Millisecond })
	if m := f.e.Expect(k, 3*time.Second).Mean(); m < 300*time.Millisecond || m > 700*time.Millisecond {
		t.Errorf("mean %v after runs of 300 and 700 ms", m)
	}
	f.runs(minKeyRuns, Key{Queue: "q", Organisation: "o"}, 3*time.Second, func() time.Duration { return 500 * time.Millisecond })
	wantNear(t, "mean after eleven runs", f.e.Expect(k, 3*time.Second).Mean(), 500*time.Millisecond, 1.3)
}

// Guards against a mean without the few long runs, and a common quantile with them.
func TestHeavyTail(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	f.runs(2000, k, time.Second, func() time.Duration {
		if f.rng.IntN(100) < 3 {
			return 7 * time.Second
		}
		return time.Duration(900+f.rng.IntN(200)) * time.Millisecond
	})
	d := f.e.Expect(k, time.Second)
	wantNear(t, "mean", d.Mean(), 1180*time.Millisecond, 1.15)
	wantNear(t, "90% quantile", d.Quantile(0.9), 1080*time.Millisecond, 1.2)
	wantNear(t, "99% quantile", d.Quantile(0.99), 7*time.Second, 1.3)
	wantNear(t, "remaining time of a long run", d.Remaining(2*time.Second), 5*time.Second, 1.3)
}

// Guards against a class of runs that suddenly takes ten times as long and changes what is
// expected of the others, or of itself for longer than a few seconds.
func TestPoisonedKey(t *testing.T) {
	f := newFeed()
	good, bad, other := Key{Queue: "q", Organisation: "good"}, Key{Queue: "q", Organisation: "bad"}, Key{Queue: "other"}
	normal := func() time.Duration { return f.around(time.Second) }
	poisoned := func() time.Duration { return f.around(10 * time.Second) }
	for range 100 {
		f.runs(2, good, time.Second, normal)
		f.runs(1, bad, time.Second, normal)
		f.runs(1, other, time.Second, normal)
	}
	for range 25 {
		f.runs(2, good, time.Second, normal)
		f.runs(2, bad, time.Second, poisoned)
		f.runs(1, other, time.Second, normal)
	}
	wantNear(t, "mean of the poisoned class", f.e.Expect(bad, time.Second).Mean(), 10*time.Second, 2)
	wantNear(t, "mean of the other class", f.e.Expect(good, time.Second).Mean(), time.Second, 2)
	wantNear(t, "mean of the other queue", f.e.Expect(other, time.Second).Mean(), time.Second, 1.3)
	recovery := f.now.Add(5 * time.Second)
	for f.now.Before(recovery) {
		f.runs(1, good, time.Second, normal)
		f.runs(1, bad, time.Second, normal)
	}
	wantNear(t, "mean of the class 5 s later", f.e.Expect(bad, time.Second).Mean(), time.Second, 1.5)
	wantNear(t, "mean of the other class 5 s later", f.e.Expect(good, time.Second).Mean(), time.Second, 1.5)
}

// Guards against the loss of what an organisation, a size or a step says about run times.
func TestFineKeysAreUsed(t *testing.T) {
	for name, keys := range map[string][2]Key{
		"organisation": {{Queue: "q", Organisation: "a"}, {Queue: "q", Organisation: "b"}},
		"size":         {{Queue: "q", CPU: 500}, {Queue: "q", CPU: 8000}},
		"step":         {{Queue: "q"}, {Queue: "q", Step: 1}},
		"image":        {{Queue: "q", Image: "a"}, {Queue: "q", Image: "b"}},
		"place":        {{Queue: "q"}, {Queue: "q", Remote: true}},
	} {
		f := newFeed()
		for range 200 {
			f.runs(1, keys[0], time.Second, func() time.Duration { return f.around(500 * time.Millisecond) })
			f.runs(1, keys[1], time.Second, func() time.Duration { return f.around(3 * time.Second) })
		}
		wantNear(t, name+" of short runs", f.e.Expect(keys[0], time.Second).Mean(), 500*time.Millisecond, 1.4)
		wantNear(t, name+" of long runs", f.e.Expect(keys[1], time.Second).Mean(), 3*time.Second, 1.4)
	}
}

// Guards against forgetting that the tasks of a step run alike.
func TestSiblings(t *testing.T) {
	f := newFeed()
	for range 100 {
		work := f.around(time.Second)
		k := Key{Queue: "q", Siblings: &Siblings{}}
		f.runs(4, k, time.Second, func() time.Duration { return work })
	}
	k := Key{Queue: "q", Siblings: &Siblings{}}
	f.runs(3, k, time.Second, func() time.Duration { return 4 * time.Second })
	wantNear(t, "mean after three siblings", f.e.Expect(k, time.Second).Mean(), 4*time.Second, 1.5)
}

// Guards against counting runs that were stopped as done, and against ignoring that they
// would have taken longer.
func TestBounds(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	f.runs(50, k, time.Second, func() time.Duration { return time.Second })
	for range 50 {
		f.e.ObserveBound(k, time.Second, 10*time.Millisecond, f.now)
	}
	wantNear(t, "mean after short bounds", f.e.Expect(k, time.Second).Mean(), time.Second, 1.1)
	for range 50 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.e.ObserveBound(k, time.Second, 4*time.Second, f.now)
	}
	if m := f.e.Expect(k, time.Second).Mean(); m < 2*time.Second {
		t.Errorf("mean %v after 50 runs that took more than 4 s", m)
	}
	f = newFeed()
	f.e.ObserveBound(k, time.Second, time.Hour, f.now)
	wantNear(t, "mean after a bound only", f.e.Expect(k, time.Second).Mean(), time.Second, 1.01)
}

// Guards against quantiles that are out of order, and against negative or unlimited results,
// whatever run times are observed.
func TestDistributionIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		now := time.UnixMilli(1_700_000_000_000)
		key := func() (k Key) {
			k = Key{
				Queue: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "queue"), Step: rapid.IntRange(0, 2).Draw(t, "step"),
				Organisation: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "organisation"), CPU: rapid.IntRange(0, 64000).Draw(t, "cpu"),
			}
			if rapid.Bool().Draw(t, "siblings") {
				k.Siblings = &Siblings{}
			}
			return k
		}
		anyTime := rapid.OneOf(
			rapid.Int64Range(-1000, int64(time.Hour)), rapid.Int64(), rapid.SampledFrom([]int64{0, 1, math.MaxInt64, math.MinInt64}),
		)
		draw := func(name string) time.Duration { return time.Duration(anyTime.Draw(t, name)) }
		for range rapid.IntRange(0, 60).Draw(t, "runs") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "pause")))
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				e.ObserveBound(key(), draw("declared"), draw("lasted"), now)
				continue
			}
			e.Observe(key(), draw("declared"), draw("took"), now)
		}
		d := e.Expect(key(), draw("declared"))
		if d.Mean() <= 0 {
			t.Fatalf("mean %v", d.Mean())
		}
		last := time.Duration(0)
		for i := range 21 {
			q := d.Quantile(float64(i) / 20)
			if q < last {
				t.Fatalf("quantile %v is %v, below %v", float64(i)/20, q, last)
			}
			last = q
		}
		if r := d.Remaining(draw("elapsed")); r < 0 {
			t.Fatalf("remaining time %v", r)
		}
	})
}

// Guards against memory that grows with the number of organisations, sizes and queues.
func TestMemoryIsBounded(t *testing.T) {
	const queues = 158
	f := newFeed()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for q := range queues {
		for i := range 400 {
			k := Key{
				Queue: fmt.Sprint("q", q), Step: i, Image: fmt.Sprint("image", i), Organisation: fmt.Sprint("organisation", i),
				CPU: 1 << (i % 16), MemoryMB: 1 << (i % 17), Remote: i%2 == 0,
			}
			f.runs(1, k, time.Second, func() time.Duration { return f.around(time.Second) })
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := float64(after.HeapAlloc-before.HeapAlloc) / queues
	t.Logf("%.0f bytes for each of %d queues", used, queues)
	if used > 64<<10 {
		t.Errorf("%.0f bytes for each queue", used)
	}
	for q, h := range f.e.queues {
		for l, keys := range h.keys {
			if len(keys) > maxKeys {
				t.Fatalf("%d keys of level %d in %s", len(keys), l, q)
			}
		}
	}
	for q := range 2 * maxQueues {
		f.runs(1, Key{Queue: fmt.Sprint("other", q)}, time.Second, func() time.Duration { return time.Second })
	}
	if len(f.e.queues) > maxQueues {
		t.Errorf("%d queues", len(f.e.queues))
	}
}

func BenchmarkObserve(b *testing.B) {
	f := newFeed()
	k := Key{Queue: "q", Organisation: "o", CPU: 1000, MemoryMB: 1000, Siblings: &Siblings{}}
	for range b.N {
		f.now = f.now.Add(time.Millisecond)
		f.e.Observe(k, time.Second, f.around(time.Second), f.now)
	}
}

func BenchmarkExpect(b *testing.B) {
	f := newFeed()
	k := Key{Queue: "q", Organisation: "o", CPU: 1000, MemoryMB: 1000, Siblings: &Siblings{}}
	f.runs(1000, k, time.Second, func() time.Duration { return f.around(time.Second) })
	b.ResetTimer()
	for range b.N {
		f.e.Expect(k, time.Second).Mean()
	}
}

func BenchmarkRemaining(b *testing.B) {
	f := newFeed()
	k := Key{Queue: "q"}
	f.runs(1000, k, time.Second, func() time.Duration { return f.around(time.Second) })
	b.ResetTimer()
	for range b.N {
		f.e.Expect(k, time.Second).Remaining(time.Second)
	}
}
