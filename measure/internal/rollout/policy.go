package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
)

// policy decides which instances drain next.
type policy interface {
	plan(sim *simulation)
}

// current calls the planner of the daemon.
type current struct {
	waves map[string]maintenance.Progress
}

func (c *current) plan(sim *simulation) {
	o := maintenance.Observation{Instances: sim.observeInstances(), Waves: c.waves}
	c.waves = maintenance.UpdateProgress(&sim.state, o, sim.now)
	o.Waves = c.waves
	d := maintenance.Plan(&sim.state, o, sim.now)
	for _, h := range d.Cancellations {
		sim.applyChange(fleet.Command{CancelDrain: &fleet.CancelDrain{Instance: h.Instance}})
	}
	for _, g := range d.Grants {
		sim.grantDrain(g.Instance)
	}
	for _, s := range d.Waves {
		sim.applyChange(fleet.Command{SetWave: &s})
	}
}

// observeInstances returns the state of the instances as an entry observes it.
func (sim *simulation) observeInstances() (loads map[string]maintenance.InstanceObservation) {
	loads = make(map[string]maintenance.InstanceObservation)
	for name, i := range sim.state.Instances {
		k := sim.instances[name]
		l := maintenance.InstanceObservation{IdleAt: sim.now.Add(k.drainTime), Failing: k.failing}
		if i.Phase == fleet.Draining {
			l.Step, l.IdleAt = maintenance.StepWaiting, k.idleAt
		}
		if i.Rebooting {
			l.Step, l.RebootDeadline = maintenance.StepRebooting, k.idleAt.Add(rebootDeadline)
		}
		loads[name] = l
	}
	return loads
}

// rackAtATime drains the instances of one rack, as far as the budgets allow, and
// starts the next rack when all of them have been maintained.
type rackAtATime struct{}

func (rackAtATime) plan(sim *simulation) {
	remaining := sim.state.RemainingInstances(wave)
	if len(remaining) == 0 {
		return
	}
	slices.SortStableFunc(remaining, func(a, b fleet.Instance) int { return cmp.Compare(a.Rack, b.Rack) })
	rack := remaining[0].Rack
	for _, i := range remaining {
		if i.Rack == rack && sim.state.DrainRefusal(i.Name, wave) == "" {
			sim.grantDrain(i.Name)
		}
	}
}

// oneAtATime drains a single instance of the whole fleet at once.
type oneAtATime struct{}

func (oneAtATime) plan(sim *simulation) {
	remaining := sim.state.RemainingInstances(wave)
	draining := slices.ContainsFunc(remaining, func(i fleet.Instance) bool { return i.Phase == fleet.Draining })
	for _, i := range remaining {
		if !draining && sim.state.DrainRefusal(i.Name, wave) == "" {
			sim.grantDrain(i.Name)
			return
		}
	}
}

// runWave simulates a wave to its end and returns its duration.
func runWave(sim *simulation, p policy) (took time.Duration) {
	for !sim.finished() {
		p.plan(sim)
		sim.advance()
	}
	return sim.now.Sub(start)
}
