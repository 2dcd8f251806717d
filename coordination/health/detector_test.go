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

// runTasks simulates tasks for some time. Each endpoint that is not ejected
// finishes one task of each kind per 100 ms, or twenty if its tasks fail.
func runTasks(d *Detector, names, kinds []string, from time.Time, duration time.Duration, fails func(endpoint, kind string) bool) (v []Transition) {
	for now := from; now.Before(from.Add(duration)); now = now.Add(100 * time.Millisecond) {
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

// notHealthy returns the endpoints that are ejected or being probed.
func notHealthy(d *Detector, names []string, now time.Time) (list []string) {
	for _, n := range names {
		if d.State(n, now) != Healthy {
			list = append(list, n)
		}
	}
	return list
}

// Guards against endpoints that fail fast and therefore attract work, also if there
// are two of them.
func TestFastFailingEndpointsAreEjected(t *testing.T) {
	d, names := newDetector(8)
	runTasks(d, names, []string{"a"}, start, time.Second, func(n, _ string) bool { return n == "e0" || n == "e5" })
	if got := notHealthy(d, names, start.Add(time.Second)); fmt.Sprint(got) != "[e0 e5]" {
		t.Errorf("ejected %v, want e0 and e5", got)
	}
}

// Guards against ejecting endpoints for a kind of request that fails on all of
// them, and against keeping a failing endpoint because such a kind exists.
func TestKindAtFault(t *testing.T) {
	d, names := newDetector(6)
	fails := func(n, kind string) bool { return kind == "broken" || n == "e2" }
	verdicts := runTasks(d, names, []string{"broken", "sound"}, start, 2*time.Second, fails)
	reported := false
	for _, v := range verdicts {
		reported = reported || v.Kind == "broken"
	}
	if !reported || !d.KindAtFault("broken", start.Add(2*time.Second)) || d.KindAtFault("sound", start.Add(2*time.Second)) {
		t.Errorf("verdicts %+v, want kind broken reported", verdicts)
	}
	if got := notHealthy(d, names, start.Add(2*time.Second)); fmt.Sprint(got) != "[e2]" {
		t.Errorf("ejected %v, want only e2", got)
	}
}

// Guards against ejections during a failure of the whole pool: first all tasks
// fail, then all tasks of one endpoint and half of the tasks of the others.
func TestPoolWideFailureEjectsNone(t *testing.T) {
	d, names := newDetector(6)
	runTasks(d, names, []string{"a", "b"}, start, time.Second, func(string, string) bool { return true })
	if got := notHealthy(d, names, start.Add(time.Second)); len(got) != 0 {
		t.Errorf("ejected %v while all endpoints fail", got)
	}
	d, names = newDetector(6)
	taskCount := 0
	runTasks(d, names, []string{"a"}, start, 10*time.Second, func(n, _ string) bool {
		taskCount++
		return n == "e0" || taskCount%4 < 2
	})
	if got := notHealthy(d, names, start.Add(10*time.Second)); len(got) != 0 {
		t.Errorf("ejected %v while every other task fails on all endpoints", got)
	}
}

// Guards against an endpoint that stays ejected forever, and against one that gets
// full work again while it still fails.
func TestProbingOnReturn(t *testing.T) {
	d, names := newDetector(3)
	bad := func(n, _ string) bool { return n == "e1" }
	runTasks(d, names, []string{"a"}, start, time.Second, bad)
	until, found := d.NextProbe(start.Add(time.Second))
	if !found || d.State("e1", until) != Probing {
		t.Fatalf("state %v at the deadline", d.State("e1", until))
	}
	d.Observe("e1", "a", true, until)
	second, _ := d.NextProbe(until)
	if got, want := second.Sub(until), 2*firstEjection; got != want {
		t.Errorf("second ejection lasts %v, want %v", got, want)
	}
	var verdicts []Transition
	for range requiredProbes {
		if d.State("e1", second) != Probing {
			t.Fatal("endpoint returned before its probes")
		}
		verdicts = append(verdicts, d.Observe("e1", "a", false, second)...)
	}
	if len(verdicts) != 1 || d.State("e1", second) != Healthy {
		t.Errorf("verdicts %+v, state %v after %d good probes", verdicts, d.State("e1", second), requiredProbes)
	}
}

// Guards against ejections for failures that affect all endpoints alike: one task
// in five fails.
func TestCommonFailuresEjectNone(t *testing.T) {
	for seed := range int64(50) {
		r := rand.New(rand.NewSource(seed))
		d, names := newDetector(8)
		for i := range 5000 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			d.Observe(names[r.Intn(8)], "a", r.Intn(5) == 0, now)
			if got := notHealthy(d, names, now); len(got) > 0 {
				t.Fatalf("seed %d: %v ejected after %d tasks", seed, got, i)
			}
		}
	}
}

// Guards against more ejections than allowed, for random failure rates.
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
			if got := notHealthy(d, names, now); len(got) > max(1, n/3) {
				t.Fatalf("%d of %d endpoints ejected", len(got), n)
			}
		}
	})
}
