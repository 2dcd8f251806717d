package organisation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurepoint/azurepoint/coordination/job"
)

var start = time.UnixMilli(1_700_000_000_000)

// newLedger returns a ledger with the terms of one organisation.
func newLedger(t Terms) (l *Ledger) {
	l = &Ledger{}
	t.Name = "a"
	l.SetTerms([]Terms{t})
	return l
}

// Guards against starts that exceed the limit of any resource, and against gangs that count
// as one task.
func TestMayStart(t *testing.T) {
	l := newLedger(Terms{Limit: job.Capacity{CPU: 4000, MemoryMB: 100}})
	l.Start("a", job.Capacity{CPU: 1000, MemoryMB: 50})
	for _, c := range []struct {
		name    string
		size    job.Capacity
		count   int
		besides job.Capacity
		want    bool
	}{
		{"within", job.Capacity{CPU: 3000, MemoryMB: 50}, 1, job.Capacity{}, true},
		{"CPU", job.Capacity{CPU: 3001}, 1, job.Capacity{}, false},
		{"memory", job.Capacity{MemoryMB: 51}, 1, job.Capacity{}, false},
		{"GPU has no limit", job.Capacity{GPU: 100}, 1, job.Capacity{}, true},
		{"gang", job.Capacity{CPU: 1000}, 4, job.Capacity{}, false},
		{"besides", job.Capacity{CPU: 1000}, 1, job.Capacity{CPU: 2001}, false},
	} {
		if got := l.MayStart("a", c.size, c.count, c.besides); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if !l.MayStart("other", job.Capacity{CPU: 1e9}, 1, job.Capacity{}) {
		t.Error("an organisation without terms has a limit")
	}
}

// Guards against a task larger than the limit that starts above it, and against one within the
// limit that exceeds it.
func TestMayExceed(t *testing.T) {
	l := newLedger(Terms{Limit: job.Capacity{CPU: 4000, MemoryMB: 100}})
	if !l.MayExceed("a", job.Capacity{CPU: 5000}) || l.MayExceed("a", job.Capacity{CPU: 4000}) {
		t.Error("want only the task that is larger than the limit")
	}
	l.Start("a", job.Capacity{CPU: 4000, MemoryMB: 60})
	if !l.MayExceed("a", job.Capacity{CPU: 5000}) {
		t.Error("refused at the limit")
	}
	if l.MayExceed("a", job.Capacity{CPU: 5000, MemoryMB: 50}) {
		t.Error("exceeds the limit on memory, into which the task fits")
	}
	l.Start("a", job.Capacity{CPU: 1})
	if l.MayExceed("a", job.Capacity{CPU: 5000}) {
		t.Error("starts above the limit")
	}
}

// Guards against a rate that admits more than its burst and its weight a second, counts
// surplus jobs, or gives a time at which the next job is still surplus.
func TestRateProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 50).Draw(t, "weight")
		l := newLedger(Terms{Weight: weight})
		now := start
		allowed := 0
		for range rapid.IntRange(1, 200).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			if l.TakeRate("a", now) {
				allowed++
			} else if at := l.RateAvailableAt("a", now); !at.After(now) || !l.TakeRate("a", at) {
				t.Fatalf("surplus at %v, and again at %v", now, at)
			} else {
				now = at
				allowed++
			}
		}
		most := max(minRateBurst, weight*rateWindow.Seconds()) + now.Sub(start).Seconds()*weight
		if float64(allowed) > most+0.01 {
			t.Fatalf("%d jobs in %v at a weight of %g", allowed, now.Sub(start), weight)
		}
	})
}

// Guards against a rate for organisations without a weight, and against a clock that steps
// back and refills the rate twice.
func TestRateLimits(t *testing.T) {
	l := newLedger(Terms{})
	for range 1000 {
		if !l.TakeRate("a", start) || !l.TakeRate("unknown", start) {
			t.Fatal("surplus without a weight")
		}
	}
	l = newLedger(Terms{Weight: 1})
	for l.TakeRate("a", start.Add(time.Minute)) {
	}
	if l.TakeRate("a", start) || l.TakeRate("a", start.Add(time.Minute)) {
		t.Error("the rate is refilled by a step of the clock")
	}
}

// Guards against accounts that remain after their organisation, or end before its runs.
func TestAccountsOfRemovedOrganisations(t *testing.T) {
	l := newLedger(Terms{Weight: 1})
	l.Start("a", job.Capacity{CPU: 1})
	l.SetTerms(nil)
	if c, runs := l.Running("a"); c.CPU != 1 || runs != 1 {
		t.Errorf("running %v in %d, want the run", c, runs)
	}
	l.End("a", job.Capacity{CPU: 1})
	if len(l.accounts) > 0 || l.Active() {
		t.Errorf("accounts %v remain", l.accounts)
	}
}

// Guards against shares that do not add up to the pool, that exceed what is wanted, or that
// leave an organisation less than others for its weight.
func TestDivideProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		var terms []Terms
		pool := job.Capacity{CPU: 100_000, MemoryMB: 100_000}
		uses := make(map[string]Use)
		sum := job.Capacity{}
		for i := range rapid.IntRange(1, 8).Draw(t, "organisations") {
			name := string(rune('a' + i))
			terms = append(terms, Terms{Name: name, Weight: float64(rapid.IntRange(1, 9).Draw(t, "weight"))})
			u := Use{Wanted: job.Capacity{CPU: rapid.IntRange(0, 100_000).Draw(t, "cpu")}}
			uses[name], sum = u, sum.Plus(u.Wanted)
		}
		l.SetTerms(terms)
		d := l.Divide(pool, uses)
		if pool.CanFit(sum) {
			if d.Shares != nil {
				t.Fatalf("a pool with room is divided: %v", d.Shares)
			}
			return
		}
		total := 0.0
		for _, a := range terms {
			share := d.Shares[a.Name]
			total += share
			wanted := dominant(pool, uses[a.Name].Wanted)
			if share > wanted+roundingError {
				t.Fatalf("%s gets %g and wants %g", a.Name, share, wanted)
			}
			for _, b := range terms {
				if share < wanted-1e-6 && d.Shares[b.Name]/b.Weight > share/a.Weight+1e-6 {
					t.Fatalf("%s gets less for its weight than %s: %v", a.Name, b.Name, d.Shares)
				}
			}
		}
		if total < 1-1e-6 || total > 1+1e-6 {
			t.Fatalf("shares add up to %g", total)
		}
	})
}

// Guards against shares for what a limit keeps from running, and against no share for
// organisations without a weight.
func TestDivideBesideLimits(t *testing.T) {
	var l Ledger
	l.SetTerms([]Terms{{Name: "limited", Weight: 1, Limit: job.Capacity{CPU: 20}}, {Name: "b", Weight: 1}})
	wanted := job.Capacity{CPU: 1000}
	l.Start("limited", job.Capacity{CPU: 15})
	d := l.Divide(job.Capacity{CPU: 100}, map[string]Use{"limited": {Running: job.Capacity{CPU: 5}, Wanted: wanted}, "b": {Wanted: wanted}, "": {Wanted: wanted}})
	// The limit leaves 10 in this pool; the others share the rest equally.
	for name, want := range map[string]float64{"limited": 0.1, "b": 0.45, "": 0.45} {
		if got := d.Shares[name]; got < want-1e-6 || got > want+1e-6 {
			t.Errorf("%q gets %g, want %g", name, got, want)
		}
	}
	if !d.Reached("b", job.Capacity{CPU: 45}) || d.Reached("b", job.Capacity{CPU: 44}) || d.Exceeded("b", job.Capacity{CPU: 45}) || d.Reached("unknown", wanted) {
		t.Error("the share of b is not 45")
	}
	if over := l.OverShare(job.Capacity{CPU: 100}, map[string]Use{"limited": {Running: job.Capacity{CPU: 15}, Wanted: wanted}, "b": {Running: job.Capacity{CPU: 85}, Wanted: wanted}}); !over["b"] || over["limited"] {
		t.Errorf("over their share: %v, want b", over)
	}
}
