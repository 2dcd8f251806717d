package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

const (
	wave = "wave"
	// budget is the number of instances of each pool that may be unavailable at
	// once.
	budget = 2
	// tick is the interval between two runs of the planner, as in the daemon.
	tick = time.Second
	// medianReboot is the median length of a reboot.
	medianReboot = 2 * time.Minute
	// rebootDeadline is the time after which a rebooting instance counts as lost.
	rebootDeadline = 10 * time.Minute
	// maxRunTime ends a simulation whose wave neither ends nor halts.
	maxRunTime = 12 * time.Hour
	// repairTime is the duration of an unplanned failure.
	repairTime = 10 * time.Minute
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// faults are the faults that are injected during a simulation.
type faults struct {
	// failures is the number of instances that fail on their own during the wave.
	failures int
	// badWave makes every instance fail all its tasks after the reboot.
	badWave bool
}

// instance holds the drawn durations and the simulated state of one instance.
type instance struct {
	// drainTime is the time from a grant until its tasks have ended.
	drainTime time.Duration
	// rebootTime is the duration of its reboot.
	rebootTime time.Duration
	// failAt is the time at which it fails on its own; zero means never.
	failAt time.Time

	grantedAt time.Time
	idleAt    time.Time
	backAt    time.Time
	upAt      time.Time
	failing   bool
}

// simulation is one simulated wave.
type simulation struct {
	faults    faults
	state     fleet.State
	instances map[string]*instance
	now       time.Time
	changes   int
	// refused counts grants that the change log refused.
	refused int
	// maxOverBudget is the maximum number of unavailable instances above the budget
	// of their pool. It is updated after each grant, so that failures alone do not
	// count.
	maxOverBudget int
	// broken counts instances that fail their tasks after the reboot.
	broken int
}

// newSimulation distributes the site's pools over data centres and racks and
// declares a wave for all of them.
func newSimulation(s site.Site, seed int64, f faults) (sim *simulation) {
	rng := rand.New(rand.NewSource(seed))
	sim = &simulation{faults: f, instances: make(map[string]*instance), now: start}
	limit := budget
	number := 0
	var commands []fleet.Command
	var pools []string
	for _, p := range s.Pools {
		pools = append(pools, p.Name)
		commands = append(commands, fleet.Command{SetPool: &fleet.SetPool{Name: p.Name, Budget: &limit, Spare: &p.Spare}})
		for i := range p.Instances {
			name := fmt.Sprintf("%s-%d", p.Name, i)
			place := number % s.DataCentres
			commands = append(commands, fleet.Command{AddInstance: &fleet.AddInstance{
				Name: name, DataCentre: fmt.Sprintf("dc%d", place),
				Rack:    fmt.Sprintf("dc%d-r%d", place, number/s.DataCentres/site.InstancesPerRack),
				Address: fmt.Sprintf("10.0.0.%d:80", number+1), Slots: site.SlotsPerInstance, Pool: p.Name,
			}})
			sim.instances[name] = newInstance(rng)
			number++
		}
	}
	commands = append(commands, fleet.Command{DeclareWave: &fleet.DeclareWave{Name: wave, Pools: pools}})
	sim.applyChange(commands...)
	sim.scheduleFailures(rng)
	return sim
}

// newInstance draws the durations of an instance: a drain lasts as long as the longest
// of eight tasks with a median of 1 s, and the reboot varies by about a fifth.
func newInstance(rng *rand.Rand) (k *instance) {
	k = &instance{rebootTime: time.Duration(float64(medianReboot) * math.Exp(0.2*rng.NormFloat64()))}
	for range site.SlotsPerInstance {
		k.drainTime = max(k.drainTime, time.Duration(float64(time.Second)*math.Exp(0.8*rng.NormFloat64())))
	}
	return k
}

func (sim *simulation) scheduleFailures(rng *rand.Rand) {
	names := slices.Sorted(maps.Keys(sim.state.Instances))
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:sim.faults.failures] {
		sim.instances[name].failAt = start.Add(time.Duration(rng.Int63n(int64(20 * time.Minute))))
	}
}

// applyChange applies one change to the fleet state and returns the reason if it is
// refused.
func (sim *simulation) applyChange(commands ...fleet.Command) (refusal string) {
	sim.changes++
	id := fmt.Sprintf("c%d", sim.changes)
	next, err := fleet.Apply(sim.state, fleet.Change{ID: id, At: sim.now, Commands: commands})
	if err != nil {
		panic(err)
	}
	sim.state = next
	fate, _ := next.ResultOf(id)
	return fate.Refusal
}

// grantDrain drains an instance unless the change log refuses the grant.
func (sim *simulation) grantDrain(name string) {
	if refusal := sim.applyChange(fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: name, Wave: wave}}); refusal != "" {
		sim.refused++
		return
	}
	k := sim.instances[name]
	k.grantedAt = sim.now
	k.idleAt = sim.now.Add(k.drainTime)
	k.backAt = k.idleAt.Add(k.rebootTime)
	pool := sim.state.Instances[name].Pool
	sim.maxOverBudget = max(sim.maxOverBudget, sim.state.Unavailable(pool)-budget)
}

// advance moves the time by one tick and applies the failures, repairs, reboots and
// ends of drains that are due.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(tick)
	for _, name := range slices.Sorted(maps.Keys(sim.instances)) {
		k := sim.instances[name]
		i := sim.state.Instances[name]
		switch {
		case !k.failAt.IsZero() && !sim.now.Before(k.failAt) && i.Phase == fleet.Serving && !i.Failed:
			k.failAt, k.upAt = time.Time{}, sim.now.Add(repairTime)
			sim.applyChange(fleet.Command{MarkFailed: &fleet.MarkFailed{Instance: name}})
		case i.Failed && !k.upAt.IsZero() && !sim.now.Before(k.upAt):
			k.upAt = time.Time{}
			sim.applyChange(fleet.Command{MarkAlive: &fleet.MarkAlive{Instance: name}})
		case i.Phase == fleet.Draining && !sim.now.Before(k.idleAt) && !i.Rebooting:
			sim.applyChange(fleet.Command{StartReboot: &fleet.StartReboot{Instance: name}})
		case i.Phase == fleet.Draining && !sim.now.Before(k.backAt):
			k.failing = sim.faults.badWave
			if k.failing {
				sim.broken++
			}
			sim.applyChange(fleet.Command{FinishDrain: &fleet.FinishDrain{Instance: name}})
		}
	}
}

// finished reports whether the wave has ended or halted, or maxRunTime has passed.
func (sim *simulation) finished() bool {
	return sim.state.Waves[wave].State != fleet.WaveRunning || sim.now.Sub(start) > maxRunTime
}

// lowerBound returns the shortest duration that the budget allows: the maximum over
// the pools of the sum of all drains and reboots divided by the budget, and at least
// the longest drain with its reboot.
func (sim *simulation) lowerBound() (least time.Duration) {
	sums := make(map[string]time.Duration)
	for name, i := range sim.state.Instances {
		k := sim.instances[name]
		sums[i.Pool] += k.drainTime + k.rebootTime
		least = max(least, k.drainTime+k.rebootTime)
	}
	for _, sum := range sums {
		least = max(least, sum/budget)
	}
	return least
}
