package outage

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rule is a rule for the delay after an outage has lasted for a time.
type rule func(age time.Duration) time.Duration

// play has callers come once per gap, before, during and after an outage, and returns the share
// of those turned away who are served later, their mean delay after the end or their first
// attempt, and the arrivals after the end in the fullest half second.
func play(after rule, length, gap time.Duration) (served float64, late time.Duration, fullest int) {
	refused, in, sum := 0, 0, time.Duration(0)
	arrivals := make(map[time.Duration]int)
	for first := time.Duration(0); first < length+2*time.Second; first += gap {
		at := first
		for try := 0; at < length && try < retries; try++ {
			at += after(at)
		}
		if at >= length {
			arrivals[at.Truncate(500*time.Millisecond)]++
		}
		if first < length {
			refused++
			if at >= length {
				in++
				sum += at - length
			}
		}
	}
	for _, n := range arrivals {
		fullest = max(fullest, n)
	}
	return float64(in) / float64(refused), sum / time.Duration(max(in, 1)), fullest
}

// Load: all callers of a data centre are turned away for 5 s, or the store is unreachable for all for
// 0.5 to 9 s. Guards against callers who have used up their attempts before the outage ends,
// against delays that are longer than a short outage needs, and against all returning at once.
func TestCallersOutlastTheOutage(t *testing.T) {
	const gap = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	rules := map[string]rule{
		"by age":  NewReturns(6 * time.Second).After,
		"1 s":     func(time.Duration) time.Duration { return time.Second },
		"1 or 2s": func(time.Duration) time.Duration { return time.Second * time.Duration(1+random.IntN(2)) },
	}
	for length := 500 * time.Millisecond; length <= 9*time.Second; length += 500 * time.Millisecond {
		results := make(map[string]float64)
		for _, name := range []string{"by age", "1 s", "1 or 2s"} {
			served, late, fullest := play(rules[name], length, gap)
			results[name] = served
			t.Logf("%4.1f s, %-7s: served %.2f, %5.2f s after the end, at most %3d in half a second", length.Seconds(), name, served, late.Seconds(), fullest)
			if name != "by age" {
				continue
			}
			if length <= 6*time.Second && served < 1 {
				t.Errorf("an outage of %s: %.2f of the callers are served", length, served)
			}
			if latest := 1500 * time.Millisecond; late > latest {
				t.Errorf("an outage of %s: callers return %s after its end, want %s at most", length, late, latest)
			}
			if usual := int(500 * time.Millisecond / gap); fullest > (1+retries)*usual {
				t.Errorf("an outage of %s: %d callers in half a second after its end, usually %d", length, fullest, usual)
			}
		}
		if results["by age"] < max(results["1 s"], results["1 or 2s"]) {
			t.Errorf("an outage of %s: %v", length, results)
		}
	}
}

// Guards against a caller who returns before one that was turned away earlier, against parts of
// seconds, which the header cannot hold, and against bounds that never let a caller return.
func TestFirstTurnedAwayReturnsFirst(t *testing.T) {
	for _, bearable := range []time.Duration{0, time.Second, 4 * time.Second, 6 * time.Second, 14 * time.Second, time.Hour} {
		r := NewReturns(bearable)
		last := time.Duration(0)
		for age := -time.Second; age < 2*time.Minute; age += 7 * time.Millisecond {
			delay := r.After(age)
			if delay%time.Second != 0 || delay < minDelay || delay > maxDelay {
				t.Fatalf("bearable %s, age %s: delay %s", bearable, age, delay)
			}
			if age+delay < last {
				t.Fatalf("bearable %s, age %s: returns at %s, an earlier caller at %s", bearable, age, age+delay, last)
			}
			last = age + delay
		}
		if covered := r.lastReturn(); covered < min(bearable, 9*time.Second) {
			t.Errorf("bearable %s: the last attempt is at %s", bearable, covered)
		}
	}
	if got := (Returns{}).After(4 * time.Second); got != minDelay {
		t.Errorf("zero value: %s", got)
	}
}
