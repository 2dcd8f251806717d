package upkeep

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// seeds returns how many seeds to run: SEEDS times as many as usual.
func seeds(usual int64) int64 {
	n, _ := strconv.ParseInt(os.Getenv("SEEDS"), 10, 64)
	return usual * max(1, n)
}

// quick are settings with which a run of minutes sees every deadline pass.
var quick = Settings{LongestGrant: 15 * time.Second, BackWithin: 30 * time.Second, FailAfter: 8 * time.Second}

func playSeed(t *testing.T, seed int64, o options, length time.Duration) (w *world) {
	t.Helper()
	if o.settings == (Settings{}) {
		o.settings = quick
	}
	synctest.Test(t, func(*testing.T) {
		w = build(seed, o)
		w.play(length)
	})
	return w
}

// TestProperties guards against a broken P1, P2, P6 or P7 and a wave that
// stalls, under faults of entries and of the log and with racing operators.
func TestProperties(t *testing.T) {
	for seed := range seeds(6) {
		w := playSeed(t, seed, options{silentReports: seed%3 == 2, storm: seed%2 == 1}, 8*time.Minute)
		for property, found := range w.violations() {
			t.Errorf("seed %d: %s: %v", seed, property, found)
		}
		s := w.log.head()
		t.Logf("seed %d: version %d, %d reboots, wave %v", seed, s.Version, w.reboots(), s.Waves["w"])
		if s.Waves["w"].State != fleet.WaveEnded {
			t.Errorf("seed %d: wave is %v", seed, s.Waves["w"])
		}
	}
}

// TestControls guards against checks that cannot fail: each run leaves one
// protection out, and the check of the property has to find it.
func TestControls(t *testing.T) {
	hasty := quick
	hasty.Settle, hasty.Takeover, hasty.Dwell, hasty.StallLimit = 1, 1, 1, time.Hour
	late := quick
	late.FenceAfter = time.Hour
	for _, c := range []struct {
		name     string
		property string
		options  options
	}{
		{"log without budgets", "P1", options{uncheckedLog: true}},
		{"endpoints that reboot in any state", "P1", options{laxEndpoint: true}},
		{"entries that act on old views", "P1", options{settings: hasty, liesOfVersion: true, laxEndpoint: true}},
		{"entries that lie of their versions", "P2", options{liesOfVersion: true}},
		{"endpoints that are told late", "P6", options{settings: late}},
		{"tasks and grants unseen", "P7", options{blind: true}},
	} {
		caught := []int64{}
		for seed := range int64(20) {
			w := playSeed(t, seed, c.options, 6*time.Minute)
			if len(w.violations()[c.property]) > 0 {
				caught = append(caught, seed)
			}
		}
		t.Logf("%s: %s fails with seeds %v", c.name, c.property, caught)
		if len(caught) == 0 {
			t.Errorf("%s: no seed breaks %s", c.name, c.property)
		}
	}
}
