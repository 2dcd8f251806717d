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
	// budget is how many instances of each pool may be unavailable at once.
	budget = 2
	// tick is how often the planner looks, as the daemon's upkeep does.
	tick = time.Second
	// usualReboot is the median length of a reboot.
	usualReboot = 2 * time.Minute
	// backWithin is when a rebooted instance counts as lost.
	backWithin = 10 * time.Minute
	// longest ends a run whose wave neither ends nor halts.
	longest = 12 * time.Hour
	// repair is how long an unplanned failure lasts.
	repair = 10 * time.Minute
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// faults are what goes wrong during a run.
type faults struct {
	// failures is how many instances fail on their own while the wave runs.
	failures int
	// badWave makes every instance come back failing what it starts.
	badWave bool
}

// worker is one instance as the world knows it.
type worker struct {
	// busy is how long its tasks run on after a grant.
	busy time.Duration
	// reboot is how long its reboot takes.
	reboot time.Duration
	// failAt is when it fails on its own; zero means never.
	failAt time.Time

	grantedAt time.Time
	idleAt    time.Time
	backAt    time.Time
	upAt      time.Time
	failing   bool
}

// world is one run of a wave.
type world struct {
	faults  faults
	state   fleet.State
	workers map[string]*worker
	now     time.Time
	changes int
	// refused counts grants that the log refused.
	refused int
	// overspent is the most by which planned steps took a pool over its budget.
	overspent int
	// broken counts instances that came back failing.
	broken int
}

// newWorld lays the site's pools out over data centres and racks and declares a
// wave over all of them.
func newWorld(s site.Site, seed int64, f faults) (w *world) {
	dice := rand.New(rand.NewSource(seed))
	w = &world{faults: f, workers: make(map[string]*worker), now: start}
	limit := budget
	number := 0
	var commands []fleet.Command
	var pools []string
	for _, p := range s.Pools {
		pools = append(pools, p.Name)
		commands = append(commands, fleet.Command{SetPool: &fleet.SetPool{Name: p.Name, Budget: &limit, Spare: &p.Spare}})
		for i := range p.Workers {
			name := fmt.Sprintf("%s-%d", p.Name, i)
			place := number % s.DataCentres
			commands = append(commands, fleet.Command{AddInstance: &fleet.AddInstance{
				Name: name, DataCentre: fmt.Sprintf("dc%d", place),
				Rack:    fmt.Sprintf("dc%d-r%d", place, number/s.DataCentres/site.WorkersPerRack),
				Address: fmt.Sprintf("10.0.0.%d:80", number+1), Slots: site.SlotsPerWorker, Pool: p.Name,
			}})
			w.workers[name] = newWorker(dice)
			number++
		}
	}
	commands = append(commands, fleet.Command{DeclareWave: &fleet.DeclareWave{Name: wave, Pools: pools}})
	w.apply(commands...)
	w.plantFailures(dice)
	return w
}

// newWorker draws the tasks and the reboot of an instance: the longest of eight
// tasks of median 1 s, and a reboot that varies by about a fifth.
func newWorker(dice *rand.Rand) (k *worker) {
	k = &worker{reboot: time.Duration(float64(usualReboot) * math.Exp(0.2*dice.NormFloat64()))}
	for range site.SlotsPerWorker {
		k.busy = max(k.busy, time.Duration(float64(time.Second)*math.Exp(0.8*dice.NormFloat64())))
	}
	return k
}

func (w *world) plantFailures(dice *rand.Rand) {
	names := slices.Sorted(maps.Keys(w.state.Instances))
	dice.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:w.faults.failures] {
		w.workers[name].failAt = start.Add(time.Duration(dice.Int63n(int64(20 * time.Minute))))
	}
}

// apply makes one change and returns the refusal, if any.
func (w *world) apply(commands ...fleet.Command) (refusal string) {
	w.changes++
	id := fmt.Sprintf("c%d", w.changes)
	next, err := fleet.Apply(w.state, fleet.Change{ID: id, At: w.now, Commands: commands})
	if err != nil {
		panic(err)
	}
	w.state = next
	fate, _ := next.FateOf(id)
	return fate.Refusal
}

// grant drains an instance if the log allows it.
func (w *world) grant(name string) {
	if refusal := w.apply(fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: name, Wave: wave}}); refusal != "" {
		w.refused++
		return
	}
	k := w.workers[name]
	k.grantedAt = w.now
	k.idleAt = w.now.Add(k.busy)
	k.backAt = k.idleAt.Add(k.reboot)
	pool := w.state.Instances[name].Pool
	w.overspent = max(w.overspent, w.state.Unavailable(pool)-budget)
}

// advance lets a tick pass: failures, repairs, and drains that end.
func (w *world) advance() {
	w.now = w.now.Add(tick)
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		k := w.workers[name]
		i := w.state.Instances[name]
		switch {
		case !k.failAt.IsZero() && !w.now.Before(k.failAt) && i.Phase == fleet.Serving && !i.Failed:
			k.failAt, k.upAt = time.Time{}, w.now.Add(repair)
			w.apply(fleet.Command{MarkFailed: &fleet.MarkFailed{Instance: name}})
		case i.Failed && !k.upAt.IsZero() && !w.now.Before(k.upAt):
			k.upAt = time.Time{}
			w.apply(fleet.Command{MarkAlive: &fleet.MarkAlive{Instance: name}})
		case i.Phase == fleet.Draining && !w.now.Before(k.idleAt) && !i.Rebooting:
			w.apply(fleet.Command{StartReboot: &fleet.StartReboot{Instance: name}})
		case i.Phase == fleet.Draining && !w.now.Before(k.backAt):
			k.failing = w.faults.badWave
			if k.failing {
				w.broken++
			}
			w.apply(fleet.Command{FinishDrain: &fleet.FinishDrain{Instance: name}})
		}
	}
}

// over tells whether the wave has ended or halted.
func (w *world) over() bool {
	return w.state.Waves[wave].State != fleet.WaveRunning || w.now.Sub(start) > longest
}

// bound is the least time that the budget allows: in each pool, the sum of all
// drains and reboots divided by the budget, and no less than the longest one.
func (w *world) bound() (least time.Duration) {
	sums := make(map[string]time.Duration)
	for name, i := range w.state.Instances {
		k := w.workers[name]
		sums[i.Pool] += k.busy + k.reboot
		least = max(least, k.busy+k.reboot)
	}
	for _, sum := range sums {
		least = max(least, sum/budget)
	}
	return least
}
