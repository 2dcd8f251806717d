package schedule

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// stragglerDay is a pool of 20 endpoints with room for 160 tasks that gets a job of 20 tasks of
// 600 ms every 200 ms, which allow duplicates. After 4 s some endpoints become slow.
type stragglerDay struct {
	*simulation
	tasks, copies, slowRuns int
	// took holds the times of the jobs that arrived after the change.
	took []time.Duration
}

func runStragglerDay(slowEndpoints int, factor float64, duplicates bool) (d *stragglerDay) {
	rng := rand.New(rand.NewPCG(5, 7))
	d = &stragglerDay{simulation: newSimulation(20)}
	slowFrom := d.now.Add(4 * time.Second)
	isSlow := func(endpoint string) bool {
		return !d.now.Before(slowFrom) && slices.Index(d.endpoints, endpoint) < slowEndpoints
	}
	d.slowness = func(endpoint string) float64 {
		if isSlow(endpoint) {
			return factor
		}
		return 1
	}
	d.onOrder = func(o Order) {
		switch {
		case o.Action != Start || d.now.Before(slowFrom):
		case o.Run > 1:
			d.copies++
		default:
			d.tasks++
			if isSlow(o.Endpoint) {
				d.slowRuns++
			}
		}
	}
	var arrivals []*simulatedJob
	for at := d.now; at.Before(slowFrom.Add(6 * time.Second)); at = at.Add(200 * time.Millisecond) {
		j := d.newJob(rng, jobProfile{meanMillis: 600, jobSpread: 0.1, taskSpread: 0.15, width: 20, cpu: 4000, steps: 1}, at)
		j.record.Steps, j.durations = j.record.Steps[:1], j.durations[:1]
		j.record.Steps[0].AllowDuplicates = duplicates
		arrivals = append(arrivals, j)
	}
	d.runWithTail(arrivals, 20*time.Second)
	for _, j := range arrivals {
		if j.arrivesAt.After(slowFrom) {
			d.took = append(d.took, j.completedAt.Sub(j.arrivesAt))
		}
	}
	slices.Sort(d.took)
	return d
}

// Guards against stragglers on slow endpoints that get no copy, where three of 20 endpoints are six
// times as slow as before.
func TestStragglersOnSlowEndpointsGetACopy(t *testing.T) {
	d := runStragglerDay(3, 6, true)
	t.Logf("%d tasks, %d on slow endpoints, %d copies, jobs took %s to %s", d.tasks, d.slowRuns, d.copies, d.took[0], d.took[len(d.took)-1])
	if d.copies < d.slowRuns || d.copies > d.slowRuns+d.tasks/10 {
		t.Errorf("%d copies of %d runs on slow endpoints", d.copies, d.slowRuns)
	}
	if last := d.took[len(d.took)-1]; last > 3*time.Second {
		t.Errorf("a job took %s, want half of a run on a slow endpoint", last)
	}
}

// Guards against a flood of copies when all runs become slower at once: the quantile leaves one run
// in 20, twice as many may get a copy, and the first ones before that is known.
func TestNoFloodOfCopiesWhenAllRunsAreSlower(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		for _, duplicates := range []bool{true, false} {
			d := runStragglerDay(20, factor, duplicates)
			t.Logf("%.0f times as slow, duplicates %v: %d tasks, %d copies or restarts, jobs took %s to %s",
				factor, duplicates, d.tasks, d.copies, d.took[0], d.took[len(d.took)-1])
			if d.copies > d.tasks/10+16 {
				t.Errorf("%.0f times as slow, duplicates %v: %d copies or restarts of %d tasks", factor, duplicates, d.copies, d.tasks)
			}
		}
	}
}
