package sizing_test

import (
	"testing"

	"github.com/azurepoint/azurepoint/coordination/sizing/sizingtest"
)

// Guards against pools that are too small beside learned run times, and against instances in
// pools that do not need them. It answers each of the loads by name: alternating bursts, a burst
// from cold, heavy-tailed run times, a queue whose run times are ten times as long for some
// seconds, and demand that stops.
func TestLearnedRunTimes(t *testing.T) {
	const (
		seeds = 6
		// chance is the standard error of the difference of two shares in time over the seeds.
		chance = 0.002
	)
	for _, l := range sizingtest.Loads() {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			mean, learned := l.Play(seeds, false, 0), l.Play(seeds, true, 0)
			t.Logf("moving average: %.4f in time, %.0f moves, %.0f instance-seconds", mean.OnTime, mean.Moves, mean.PoolSeconds)
			t.Logf("learned: %.4f in time, %.0f moves, %.0f instance-seconds", learned.OnTime, learned.Moves, learned.PoolSeconds)
			if learned.OnTime < mean.OnTime-chance {
				t.Errorf("%.4f of the tasks in time, %.4f by the moving average", learned.OnTime, mean.OnTime)
			}
			limit := mean.PoolSeconds
			if l.Cold {
				// The moving average of the first runs to end is too low, and so is its pool.
				limit *= 1.1
			}
			if learned.PoolSeconds >= limit {
				t.Errorf("%.0f instance-seconds, %.0f by the moving average", learned.PoolSeconds, mean.PoolSeconds)
			}
		})
	}
}
