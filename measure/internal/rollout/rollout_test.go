package rollout

import (
	"testing"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// Guards against a measured wave that ends without having maintained every
// instance, which would look fast.
func TestWaveMaintainsEveryInstance(t *testing.T) {
	for _, s := range site.All() {
		w := newWorld(s, 1, faults{failures: 3})
		run(w, &current{})
		if state := w.state.Waves[wave].State; state != fleet.WaveEnded || len(w.state.Remaining(wave)) > 0 {
			t.Errorf("%s: wave is %s with %d instances left", s.Name, state, len(w.state.Remaining(wave)))
		}
	}
}

// Guards against runs that differ for the same seed.
func TestRunsRepeat(t *testing.T) {
	first := run(newWorld(site.Kradan, 7, faults{failures: 3}), &current{})
	second := run(newWorld(site.Kradan, 7, faults{failures: 3}), &current{})
	if first != second {
		t.Errorf("took %s, then %s", first, second)
	}
}
