package health

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

func newDetector(n int) (d *Detector, names []string) {
	d = &Detector{}
	for i := range n {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	d.SetEndpoints(names)
	return d, names
}

// run ends tasks for some time: every endpoint ends one task of each kind in
// 100 ms, and an endpoint whose tasks all fail ends twenty times as many.
func run(d *Detector, names, kinds []string, from time.Time, lasts time.Duration, fails func(endpoint, kind string) bool) (v []Verdict) {
	for now := from; now.Before(from.Add(lasts)); now = now.Add(100 * time.Millisecond) {
		for _, n := range names {
			for _, k := range kinds {
				if d.State(n, now) == Ejected {
					continue
				}
				times := 1
				if fails(n, k) {
					times = 20
				}
				for range times {
					v = append(v, d.Observe(n, k, fails(n, k), now)...)
				}
			}
		}
	}
	return v
}

func ejected(d *Detector, names []string, now time.Time) (list []string) {
	for _, n := range names {
		if d.State(n, now) != Healthy {
			list = append(list, n)
		}
	}
	return list
}

// Guards against endpoints that fail fast and attract the work, also when
// there are two of them.
func TestFastFailingEndpointsAreEjected(t *testing.T) {
	d, names := newDetector(8)
	run(d, names, []string{"a"}, start, time.Second, func(n, _ string) bool { return n == "e0" || n == "e5" })
	if got := ejected(d, names, start.Add(time.Second)); fmt.Sprint(got) != "[e0 e5]" {
		t.Errorf("ejected %v, want e0 and e5", got)
	}
}

// Guards against ejecting endpoints for a kind of request that fails on all of
// them, and against hiding a bad endpoint behind such a kind.
func TestKindAtFault(t *testing.T) {
	d, names := newDetector(6)
	fails := func(n, kind string) bool { return kind == "broken" || n == "e2" }
	verdicts := run(d, names, []string{"broken", "sound"}, start, 2*time.Second, fails)
	reported := false
	for _, v := range verdicts {
		reported = reported || v.Kind == "broken"
	}
	if !reported || !d.AtFault("broken", start.Add(2*time.Second)) || d.AtFault("sound", start.Add(2*time.Second)) {
		t.Errorf("verdicts %+v, want kind broken reported", verdicts)
	}
	if got := ejected(d, names, start.Add(2*time.Second)); fmt.Sprint(got) != "[e2]" {
		t.Errorf("ejected %v, want only e2", got)
	}
}

// Guards against a fault of the whole pool that takes endpoints out: all tasks
// fail, or every other one and all of one endpoint.
func TestWaveGoneBadEjectsNone(t *testing.T) {
	d, names := newDetector(6)
	run(d, names, []string{"a", "b"}, start, time.Second, func(string, string) bool { return true })
	if got := ejected(d, names, start.Add(time.Second)); len(got) != 0 {
		t.Errorf("ejected %v while all endpoints fail", got)
	}
	d, names = newDetector(6)
	serial := 0
	run(d, names, []string{"a"}, start, 10*time.Second, func(n, _ string) bool {
		serial++
		return n == "e0" || serial%4 < 2
	})
	if got := ejected(d, names, start.Add(10*time.Second)); len(got) != 0 {
		t.Errorf("ejected %v while every other task fails on all endpoints", got)
	}
}

// Guards against an endpoint that stays out for ever, and against one that
// returns to full work while it is still bad.
func TestProbingOnReturn(t *testing.T) {
	d, names := newDetector(3)
	bad := func(n, _ string) bool { return n == "e1" }
	run(d, names, []string{"a"}, start, time.Second, bad)
	until, found := d.Next(start.Add(time.Second))
	if !found || d.State("e1", until) != Probing {
		t.Fatalf("state %v at the deadline", d.State("e1", until))
	}
	d.Observe("e1", "a", true, until)
	second, _ := d.Next(until)
	if got, want := second.Sub(until), 2*firstEjection; got != want {
		t.Errorf("second ejection lasts %v, want %v", got, want)
	}
	var verdicts []Verdict
	for range probes {
		if d.State("e1", second) != Probing {
			t.Fatal("endpoint returned before its probes")
		}
		verdicts = append(verdicts, d.Observe("e1", "a", false, second)...)
	}
	if len(verdicts) != 1 || d.State("e1", second) != Healthy {
		t.Errorf("verdicts %+v, state %v after %d good probes", verdicts, d.State("e1", second), probes)
	}
}

// Guards against ejections for failures that strike all endpoints alike: one
// task in five fails.
func TestCommonFailuresEjectNone(t *testing.T) {
	for seed := range int64(50) {
		r := rand.New(rand.NewSource(seed))
		d, names := newDetector(8)
		for i := range 5000 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			d.Observe(names[r.Intn(8)], "a", r.Intn(5) == 0, now)
			if got := ejected(d, names, now); len(got) > 0 {
				t.Fatalf("seed %d: %v ejected after %d tasks", seed, got, i)
			}
		}
	}
}

// Guards the bound on ejections under any evidence.
func TestAtMostAThirdIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "endpoints")
		d, names := newDetector(n)
		bad := rapid.SliceOfN(rapid.Float64Range(0, 1), n, n).Draw(t, "failure rates")
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "tasks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond)
			at := rapid.IntRange(0, n-1).Draw(t, "endpoint")
			failed := rapid.Float64Range(0, 1).Draw(t, "result") < bad[at]
			d.Observe(names[at], "a", failed, now)
			if got := ejected(d, names, now); len(got) > max(1, n/3) {
				t.Fatalf("%d of %d endpoints ejected", len(got), n)
			}
		}
	})
}
