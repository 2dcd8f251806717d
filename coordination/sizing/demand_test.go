package sizing

import (
	"math"
	"testing"
	"time"
)

// observed returns a demand to which jobs of the given work have arrived evenly.
func observed(rate, work float64, lag time.Duration, until time.Duration) (d *Demand, now time.Time) {
	d, now = &Demand{}, time.UnixMilli(1_700_000_000_000)
	for end := now.Add(until); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / rate)) {
		d.RecordArrival(Arrival{Work: work, Lag: lag, Fill: 1, Learned: true}, now)
	}
	return d, now
}

// Guards against a pool that is sized for all work of a job at once: tasks of a minute, of which
// one arrives each second, take 60 cores only after minutes, and beside 30 running tasks hardly
// more in two seconds. The load is a queue of long tasks.
func TestLongTasksAccumulate(t *testing.T) {
	const core = 1000
	d, now := observed(1, 60*core, 30*time.Second, 30*time.Second)
	f := d.Expect(Running{CPU: 30 * core, Work: 30 * core * 40}, now)
	if f.CPU < 28*core || f.CPU > 34*core {
		t.Errorf("%.1f cores are expected beside 30 running tasks of a minute, one a second", f.CPU/core)
	}
}

// Guards against a forecast that differs from the work that arrives in a steady state: 20 jobs
// a second of half a core second each, after a lag of half a second, take 10 cores.
func TestSteadyDemand(t *testing.T) {
	const core = 1000
	d, now := observed(20, core/2, 500*time.Millisecond, 20*time.Second)
	f := d.Expect(Running{CPU: 10 * core, Work: 5 * core}, now)
	if math.Abs(f.CPU-10*core) > core {
		t.Errorf("%.1f cores are expected, want 10", f.CPU/core)
	}
	if f.Deviation > 4*core {
		t.Errorf("a deviation of %.1f cores of 10", f.Deviation/core)
	}
}

// Guards against forecasts from run times that are not known: until half of the jobs are of
// queues with finished runs, the forecast is that of the moving average.
func TestColdStartForecast(t *testing.T) {
	d, now := &Demand{}, time.UnixMilli(1_700_000_000_000)
	for range 10 {
		d.RecordArrival(Arrival{Work: 500}, now)
		now = now.Add(50 * time.Millisecond)
	}
	if f := d.Expect(Running{}, now); f.Learned || f.CPU == 0 {
		t.Errorf("forecast %+v without finished runs", f)
	}
	for range 30 {
		d.RecordArrival(Arrival{Work: 500, Lag: 500 * time.Millisecond, Fill: 1, Learned: true}, now)
		now = now.Add(50 * time.Millisecond)
	}
	if f := d.Expect(Running{}, now); !f.Learned {
		t.Errorf("forecast %+v beside known run times", f)
	}
}

// Guards against instances that stay after a single burst, and against instances that leave
// between bursts that recur. Demand of 50 cores comes twice, 2 s apart.
func TestShortfallOfRecurringBursts(t *testing.T) {
	d, now := &Demand{}, time.UnixMilli(1_700_000_000_000)
	kept := make([]float64, 0, 2)
	for range 2 {
		for i := range 8 {
			demand := 0.0
			if i < 4 {
				demand = 50
			}
			d.decay(now)
			d.compare(demand, 1, now)
			now = now.Add(250 * time.Millisecond)
		}
		kept = append(kept, d.compare(0, 1, now))
	}
	if kept[0] != 0 {
		t.Errorf("%.0f cores are kept after one burst", kept[0])
	}
	if kept[1] < 25 {
		t.Errorf("%.0f of 50 cores are kept after the second burst", kept[1])
	}
}
