package duration

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a change of owner that changes what is expected.
func TestStateKeepsDistribution(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	for range 300 {
		work := f.around(time.Second)
		f.runs(1, k, work/5, func() time.Duration { return work })
	}
	value, err := json.Marshal(f.e.State(10))
	if err != nil {
		t.Fatal(err)
	}
	var s State
	if err = json.Unmarshal(value, &s); err != nil {
		t.Fatal(err)
	}
	var next Estimator
	if err = next.Load(s, f.now); err != nil {
		t.Fatal(err)
	}
	before, after := f.e.Expect(k, 400*time.Millisecond), next.Expect(k, 400*time.Millisecond)
	wantNear(t, "mean", after.Mean(), before.Mean(), 1.15)
	wantNear(t, "90% quantile", after.Quantile(0.9), before.Quantile(0.9), 1.3)
	if after.Samples() != before.Samples() {
		t.Errorf("%d samples, want %d", after.Samples(), before.Samples())
	}
}

// Guards against a stored state that replaces what this owner has learned.
func TestLoadKeepsOwnRuns(t *testing.T) {
	f := newFeed()
	k := Key{Queue: "q"}
	f.runs(20, k, time.Second, func() time.Duration { return time.Second })
	old := f.e.State(1)
	f = newFeed()
	f.runs(1, k, time.Second, func() time.Duration { return 5 * time.Second })
	if err := f.e.Load(old, f.now); err != nil {
		t.Fatal(err)
	}
	wantNear(t, "mean", f.e.Expect(k, time.Second).Mean(), 5*time.Second, 1.1)
}

// Guards against a record from elsewhere that makes an estimator fail or return negative
// times.
func TestLoadOfAnyRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 20))
		s := State{Queues: []QueueState{{
			Queue: "q", Runs: rapid.Int().Draw(t, "runs"), Exponent: rapid.IntRange(-1, len(exponents)).Draw(t, "exponent"),
			Means:  rapid.SliceOfN(number, len(exponents), len(exponents)).Draw(t, "means"),
			Ratios: rapid.SliceOfN(number, ratioCount, ratioCount).Draw(t, "ratios"),
		}}}
		f := newFeed()
		if err := f.e.Load(s, f.now); err != nil && len(f.e.queues) > 0 {
			t.Fatal("an invalid state was loaded")
		}
		d := f.e.Expect(Key{Queue: "q"}, time.Second)
		if d.Mean() <= 0 || d.Quantile(0.9) < d.Quantile(0.1) || d.Remaining(time.Second) < 0 {
			t.Fatalf("mean %v, quantiles %v and %v", d.Mean(), d.Quantile(0.1), d.Quantile(0.9))
		}
	})
}
