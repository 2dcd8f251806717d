package rollout

import (
	"testing"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// Guards against a wave that ends before every instance is maintained, whose
// measured duration would be too short.
func TestWaveMaintainsEveryInstance(t *testing.T) {
	for _, s := range site.All() {
		sim := newSimulation(s, 1, faults{failures: 3})
		runWave(sim, &current{})
		if state := sim.state.Waves[wave].State; state != fleet.WaveEnded || len(sim.state.RemainingInstances(wave)) > 0 {
			t.Errorf("%s: wave is %s with %d instances left", s.Name, state, len(sim.state.RemainingInstances(wave)))
		}
	}
}

// Guards against simulations that differ for the same seed.
func TestRunsRepeat(t *testing.T) {
	first := runWave(newSimulation(site.Kradan, 7, faults{failures: 3}), &current{})
	second := runWave(newSimulation(site.Kradan, 7, faults{failures: 3}), &current{})
	if first != second {
		t.Errorf("took %s, then %s", first, second)
	}
}
