package maintenance

import (
	"fmt"
	"math/rand"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

var start = time.Date(2026, 1, 5, 2, 0, 0, 0, time.UTC)

// fixture returns a fleet of two pools across data centres with racks of four.
func fixture(dataCentres, perPool, budget int) (s *fleet.State) {
	s = &fleet.State{
		Pools:     map[string]fleet.Pool{},
		Instances: map[string]fleet.Instance{},
		Waves:     map[string]fleet.Wave{"w": {Name: "w", Pools: []string{"a", "b"}, State: fleet.WaveRunning}},
	}
	for _, pool := range []string{"a", "b"} {
		s.Pools[pool] = fleet.Pool{Name: pool, Budget: budget}
		for k := range perPool {
			name := fmt.Sprintf("%s%02d", pool, k)
			s.Instances[name] = fleet.Instance{
				Name: name, Pool: pool, Phase: fleet.Serving, DataCentre: fmt.Sprint("dc", k%dataCentres),
				Rack: fmt.Sprintf("%s-%d", pool, k/dataCentres/4),
			}
		}
	}
	return s
}

func updateInstance(s *fleet.State, name string, f func(i *fleet.Instance)) {
	i := s.Instances[name]
	f(&i)
	s.Instances[name] = i
	s.Version++
}

func setDraining(i *fleet.Instance) { i.Phase, i.Wave = fleet.Draining, "w" }
func setReturned(i *fleet.Instance) { i.Phase, i.Wave, i.CompletedWave = fleet.Serving, "", "w" }
func setFailed(i *fleet.Instance)   { i.Failed = true }

// applyGrant applies a grant unless the log would refuse it for the budget or the
// phase of the instance.
func applyGrant(s *fleet.State, g Grant) (refused bool) {
	unavailable := 0
	for _, i := range s.Instances {
		if i.Pool == g.Pool && Unavailable(i) {
			unavailable++
		}
	}
	if unavailable >= s.Pools[g.Pool].Budget || s.Instances[g.Instance].Phase != fleet.Serving {
		return true
	}
	updateInstance(s, g.Instance, setDraining)
	return false
}

func seedFactor() int {
	n, _ := strconv.Atoi(os.Getenv("SEEDS"))
	return max(1, n)
}

// TestWave guards against a wave that stalls, exceeds a budget, leaves budget
// unused, starts a rack too early or has a first step of several drains, when one
// planner per data centre and pool proposes from the same version.
func TestWave(t *testing.T) {
	for seed := range int64(60 * seedFactor()) {
		rng := rand.New(rand.NewSource(seed))
		dataCentres := 1 + rng.Intn(4)
		s := fixture(dataCentres, 1+rng.Intn(30), 1+rng.Intn(6))
		var progress map[string]Progress
		now := start
		for rounds := 0; s.Waves["w"].State == fleet.WaveRunning; rounds++ {
			if rounds > 500 {
				t.Fatalf("seed %d: the wave stalls at version %d", seed, s.Version)
			}
			now = now.Add(FirstStepStagger)
			before := *s
			before.Instances = make(map[string]fleet.Instance)
			for name, i := range s.Instances {
				before.Instances[name] = i
			}
			var grants []Grant
			for k := range dataCentres {
				for _, pool := range []string{"a", "b"} {
					o := Observation{DataCentre: fmt.Sprint("dc", k), OwnedPools: []string{pool}, Waves: progress}
					o.Instances = randomLoads(rng, s, now)
					progress = UpdateProgress(&before, o, now)
					d := Plan(&before, o, now)
					if !reflect.DeepEqual(d, Plan(&before, o, now)) {
						t.Fatalf("seed %d: the same arguments gave two decisions", seed)
					}
					grants = append(grants, d.Grants...)
					for _, w := range d.Waves {
						s.Waves["w"] = fleet.Wave{Name: w.Name, State: w.State, Reason: w.Reason}
					}
				}
			}
			for _, g := range grants {
				if applyGrant(s, g) {
					t.Fatalf("seed %d: grant %v exceeds the budget at version %d", seed, g, s.Version)
				}
			}
			checkRound(t, seed, &before, s, len(grants))
			for _, name := range instanceNames(s, func(i fleet.Instance) bool { return i.Phase == fleet.Draining }) {
				if rng.Intn(2) == 0 {
					updateInstance(s, name, setReturned)
				}
			}
		}
		if w := s.Waves["w"]; w.State != fleet.WaveEnded || w.Reason != "" {
			t.Fatalf("seed %d: wave is %v", seed, w)
		}
	}
}

func randomLoads(rng *rand.Rand, s *fleet.State, now time.Time) (l map[string]InstanceObservation) {
	l = make(map[string]InstanceObservation)
	for _, name := range instanceNames(s, func(fleet.Instance) bool { return true }) {
		l[name] = InstanceObservation{InFlight: rng.Intn(8), IdleAt: now.Add(time.Duration(rng.Intn(60)) * time.Second)}
	}
	return l
}

func instanceNames(s *fleet.State, which func(fleet.Instance) bool) (names []string) {
	for name, i := range s.Instances {
		if which(i) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkRound checks one round of grants from before to after.
func checkRound(t *testing.T, seed int64, before, after *fleet.State, granted int) {
	returned := len(instanceNames(before, func(i fleet.Instance) bool { return i.CompletedWave == "w" }))
	running := len(instanceNames(after, func(i fleet.Instance) bool { return i.Phase == fleet.Draining }))
	if step := 1 + StepGrowth*returned; granted > 0 && running > step {
		t.Fatalf("seed %d: %d drains run in a step of %d", seed, running, step)
	}
	stepAllowsMore := 1+StepGrowth*returned > running && returned >= minHealthyReturns
	for name, pool := range after.Pools {
		in := func(i fleet.Instance) bool { return i.Pool == name }
		remains := func(i fleet.Instance) bool { return in(i) && !Unavailable(i) && i.CompletedWave != "w" }
		spent := len(instanceNames(after, func(i fleet.Instance) bool { return in(i) && Unavailable(i) }))
		if stepAllowsMore && spent < pool.Budget && len(instanceNames(after, remains)) > 0 {
			t.Fatalf("seed %d: pool %s spends %d of %d at version %d", seed, name, spent, pool.Budget, after.Version)
		}
		startedRacks := make(map[string]bool)
		for _, i := range after.Instances {
			started := func(j fleet.Instance) bool {
				return in(j) && j.DataCentre == i.DataCentre && j.Rack == i.Rack && !remains(j)
			}
			if remains(i) && len(instanceNames(after, started)) > 0 {
				startedRacks[i.DataCentre+i.Rack] = true
			}
		}
		if len(startedRacks) > 1 {
			t.Fatalf("seed %d: racks %v of pool %s are started at once", seed, startedRacks, name)
		}
	}
}

// TestBudget guards against failed, releasing or draining instances that are not
// counted against the budget, and against a lowered budget that is ignored.
func TestBudget(t *testing.T) {
	s := fixture(1, 10, 3)
	for _, name := range []string{"a00", "a01", "a02", "a03", "a04", "b00"} {
		updateInstance(s, name, setReturned)
	}
	updateInstance(s, "b00", setFailed)
	updateInstance(s, "b01", func(i *fleet.Instance) { i.Phase = fleet.Releasing })
	updateInstance(s, "a05", setDraining)
	d := Plan(s, Observation{Waves: map[string]Progress{"w": {IgnoredInstances: []string{"b00"}}}}, start)
	got := make(map[string]int)
	for _, g := range d.Grants {
		got[g.Pool]++
	}
	if got["a"] != 2 || got["b"] != 1 {
		t.Errorf("grants %v, want 2 in a and 1 in b", d.Grants)
	}
	s.Pools["a"] = fleet.Pool{Name: "a", Budget: 0}
	o := Observation{Instances: map[string]InstanceObservation{"a05": {Step: StepRebooting}}}
	if d = Plan(s, o, start); len(d.Cancellations) != 0 {
		t.Errorf("hands back %v after its reboot", d.Cancellations)
	}
	o.Instances["a05"] = InstanceObservation{Step: StepDrained}
	if d = Plan(s, o, start); len(d.Cancellations) != 1 || len(d.Grants) > 1 {
		t.Errorf("hands back %v and grants %v with a budget below what is spent", d.Cancellations, d.Grants)
	}
}

// TestHalt guards against a wave that continues although instances came back
// unhealthy, that halts for failures it did not cause, or that halts again for
// failures that were there when an operator resumed it.
func TestHalt(t *testing.T) {
	unhealthy := map[string]InstanceObservation{"a00": {Step: StepRebooting, RebootDeadline: start}, "a01": {Step: StepWaiting}}
	cases := []struct {
		name   string
		setUp  func(s *fleet.State)
		loads  map[string]InstanceObservation
		halted string
	}{
		{"not back by its deadline", func(*fleet.State) {}, unhealthy, "a00 not back by 2026-01-05T02:00:00Z"},
		{"failed while draining", func(s *fleet.State) { updateInstance(s, "a00", setFailed) }, nil, "a00 failed during"},
		{"fails tasks", func(s *fleet.State) { updateInstance(s, "a00", setReturned) }, map[string]InstanceObservation{"a00": {Failing: true}}, "a00 fails its tasks"},
		{"others fail as well", func(s *fleet.State) {
			updateInstance(s, "a00", setReturned)
			for _, name := range []string{"a00", "a05", "a06", "a07", "b00", "b01", "b02", "b03", "b04", "b05", "b06"} {
				updateInstance(s, name, setFailed)
			}
		}, nil, ""},
		{"one of many", func(s *fleet.State) {
			for _, name := range []string{"a00", "a05", "a06", "a07", "b00", "b01"} {
				updateInstance(s, name, setReturned)
			}
			updateInstance(s, "a00", setFailed)
		}, nil, ""},
	}
	for _, c := range cases {
		s := fixture(1, 10, 3)
		updateInstance(s, "a00", setDraining)
		updateInstance(s, "a01", setDraining)
		c.setUp(s)
		o := Observation{Instances: c.loads, Waves: map[string]Progress{"w": {State: fleet.WaveRunning}}}
		d := Plan(s, o, start)
		if c.halted == "" {
			if len(d.Waves) != 0 {
				t.Errorf("%s: halts with %v", c.name, d.Waves)
			}
			continue
		}
		if len(d.Waves) != 1 || d.Waves[0].State != fleet.WaveHalted || !strings.Contains(d.Waves[0].Reason, c.halted) {
			t.Errorf("%s: decides %v", c.name, d.Waves)
		}
		if len(d.Grants) != 0 {
			t.Errorf("%s: grants %v", c.name, d.Grants)
		}
		if c.loads["a01"].Step == StepWaiting && (len(d.Cancellations) != 1 || d.Cancellations[0].Instance != "a01") {
			t.Errorf("%s: hands back %v, want a01", c.name, d.Cancellations)
		}
		s.Waves["w"] = fleet.Wave{Name: "w", Pools: []string{"a", "b"}, State: fleet.WaveHalted}
		o.Waves = UpdateProgress(s, o, start)
		s.Waves["w"] = fleet.Wave{Name: "w", Pools: []string{"a", "b"}, State: fleet.WaveRunning}
		o.Waves = UpdateProgress(s, o, start)
		if d = Plan(s, o, start); len(d.Waves) != 0 {
			t.Errorf("%s: halts again after the resumption with %v", c.name, d.Waves)
		}
	}
}

// TestFirstStep guards against a first step in several pools or data centres at
// once, and against a wave that waits forever for an owner that does nothing.
func TestFirstStep(t *testing.T) {
	s := fixture(3, 10, 3)
	waves := map[string]Progress{"w": {State: fleet.WaveRunning, StepSince: start}}
	pools := map[string]PoolObservation{"a": {Instances: 4, FreeSlots: 2, Queued: 9}, "b": {Instances: 4, FreeSlots: 20}}
	plan := func(dataCentre, pool string, absent []string, now time.Time) int {
		o := Observation{DataCentre: dataCentre, OwnedPools: []string{pool}, UnavailableDataCentres: absent, Pools: pools, Waves: waves}
		return len(Plan(s, o, now).Grants)
	}
	for _, c := range []struct {
		dataCentre, pool string
		absent           []string
		after            time.Duration
		want             int
	}{
		{"dc0", "b", nil, 0, 1},
		{"dc0", "a", nil, 0, 0},
		{"dc0", "a", nil, FirstStepStagger, 1},
		{"dc1", "b", nil, time.Hour, 0},
		{"dc1", "b", []string{"dc0"}, 0, 1},
	} {
		if got := plan(c.dataCentre, c.pool, c.absent, start.Add(c.after)); got != c.want {
			t.Errorf("%+v: %d grants", c, got)
		}
	}
}

// TestSoak guards against a second step before the first instance has been healthy
// for FirstStepSoak.
func TestSoak(t *testing.T) {
	s := fixture(1, 10, 3)
	updateInstance(s, "a00", setReturned)
	o := Observation{Waves: map[string]Progress{"w": {State: fleet.WaveRunning, HealthyReturns: 1, StepSince: start}}}
	if d := Plan(s, o, start.Add(FirstStepSoak-time.Second)); len(d.Grants) != 0 {
		t.Errorf("grants %v too early", d.Grants)
	}
	if d := Plan(s, o, start.Add(FirstStepSoak)); len(d.Grants) != 1+StepGrowth {
		t.Errorf("grants %v, want %d", d.Grants, 1+StepGrowth)
	}
}

// TestUntil guards against a wave that continues after its Until time, and against
// several entries that all propose its end.
func TestUntil(t *testing.T) {
	s := fixture(2, 4, 1)
	s.Waves["w"] = fleet.Wave{Name: "w", Pools: []string{"b", "a"}, State: fleet.WaveRunning, Until: start}
	updateInstance(s, "a00", setDraining)
	o := Observation{DataCentre: "dc0", OwnedPools: []string{"a"}, Instances: map[string]InstanceObservation{"a00": {Step: StepWaiting}}}
	d := Plan(s, o, start)
	if len(d.Waves) != 1 || d.Waves[0].State != fleet.WaveEnded || len(d.Cancellations) != 1 || len(d.Grants) != 0 {
		t.Errorf("decides %+v", d)
	}
	if d = Plan(s, o, start.Add(-time.Second)); len(d.Waves) != 0 || len(d.Cancellations) != 0 {
		t.Errorf("decides %+v before the end", d)
	}
	for _, o := range []Observation{{DataCentre: "dc0", OwnedPools: []string{"b"}}, {DataCentre: "dc1"}} {
		if d = Plan(s, o, start); len(d.Waves) != 0 || len(d.Grants) != 0 {
			t.Errorf("%+v: decides %+v", o, d)
		}
	}
	s.Waves["w"] = fleet.Wave{Name: "w", Pools: []string{"a", "b"}, State: fleet.WavePaused}
	if d = Plan(s, o, start); !reflect.DeepEqual(d, Decision{}) {
		t.Errorf("a paused wave decides %+v", d)
	}
}

// TestTwoWaves guards against two waves on one pool that overwrite each other's
// record of the maintained instances.
func TestTwoWaves(t *testing.T) {
	s := fixture(1, 4, 4)
	s.Waves["v"] = fleet.Wave{Name: "v", Pools: []string{"a"}, State: fleet.WaveRunning}
	for _, name := range []string{"a00", "b00"} {
		updateInstance(s, name, setReturned)
	}
	for _, g := range Plan(s, Observation{}, start).Grants {
		if g.Pool == "a" && g.Wave != "v" {
			t.Errorf("grants %v while wave v works on pool a", g)
		}
	}
}
