package retry

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against retries beyond the ratio, which would multiply the load when
// endpoints refuse requests.
func TestRetriesStayBelowTheFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Ratio: rapid.Float64Range(0.01, 1).Draw(t, "ratio"), Burst: rapid.Float64Range(1, 50).Draw(t, "burst")}
		firsts, retries, refused := 0, 0, 0
		for _, first := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "firsts") {
			switch {
			case first:
				firsts++
				b.RecordFirst()
			case b.TryRetry():
				retries++
			default:
				refused++
			}
			if float64(retries) > b.Burst+b.Ratio*float64(firsts)+1e-9 {
				t.Fatalf("%d retries allowed after %d first attempts", retries, firsts)
			}
			if b.Remaining() < -1e-9 || b.Remaining() > b.Burst {
				t.Fatalf("%g retries left", b.Remaining())
			}
		}
		if refused > 0 && float64(retries) < b.Burst-1 {
			t.Fatalf("retry refused after only %d retries", retries)
		}
	})
}

// Guards against a zero value that allows no retries, with which every refusal
// would end as notRun.
func TestZeroValueAllowsTheBurst(t *testing.T) {
	var b Budget
	allowed := 0
	for b.TryRetry() {
		allowed++
	}
	if allowed != DefaultBurst {
		t.Errorf("%d retries, want %d", allowed, DefaultBurst)
	}
	for range 10 {
		b.RecordFirst()
	}
	if !b.TryRetry() || b.TryRetry() {
		t.Error("ten first attempts do not allow exactly one retry")
	}
}
