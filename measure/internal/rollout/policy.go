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
	plan(w *world)
}

// current is the planner that the daemon calls.
type current struct {
	waves map[string]maintenance.Progress
}

func (c *current) plan(w *world) {
	o := maintenance.Observation{Instances: w.observe(), Waves: c.waves}
	c.waves = maintenance.Follow(&w.state, o, w.now)
	o.Waves = c.waves
	d := maintenance.Plan(&w.state, o, w.now)
	for _, h := range d.HandBacks {
		w.apply(fleet.Command{CancelDrain: &fleet.CancelDrain{Instance: h.Instance}})
	}
	for _, g := range d.Grants {
		w.grant(g.Instance)
	}
	for _, s := range d.Waves {
		w.apply(fleet.Command{SetWave: &s})
	}
}

// observe returns what an entry sees of the instances.
func (w *world) observe() (loads map[string]maintenance.InstanceLoad) {
	loads = make(map[string]maintenance.InstanceLoad)
	for name, i := range w.state.Instances {
		k := w.workers[name]
		l := maintenance.InstanceLoad{IdleAt: w.now.Add(k.busy), Failing: k.failing}
		if i.Phase == fleet.Draining {
			l.Step, l.IdleAt = maintenance.StepWaiting, k.idleAt
		}
		if i.Rebooting {
			l.Step, l.BackBy = maintenance.StepRebooting, k.idleAt.Add(backWithin)
		}
		loads[name] = l
	}
	return loads
}

// rackAtATime drains the instances of one rack, as far as the budgets allow, and
// goes to the next one when all of them are back.
type rackAtATime struct{}

func (rackAtATime) plan(w *world) {
	remaining := w.state.Remaining(wave)
	if len(remaining) == 0 {
		return
	}
	slices.SortStableFunc(remaining, func(a, b fleet.Instance) int { return cmp.Compare(a.Rack, b.Rack) })
	rack := remaining[0].Rack
	for _, i := range remaining {
		if i.Rack == rack && w.state.WhyNotDrain(i.Name, wave) == "" {
			w.grant(i.Name)
		}
	}
}

// oneAtATime drains a single instance of the whole fleet at once.
type oneAtATime struct{}

func (oneAtATime) plan(w *world) {
	remaining := w.state.Remaining(wave)
	draining := slices.ContainsFunc(remaining, func(i fleet.Instance) bool { return i.Phase == fleet.Draining })
	for _, i := range remaining {
		if !draining && w.state.WhyNotDrain(i.Name, wave) == "" {
			w.grant(i.Name)
			return
		}
	}
}

// run plays a wave to its end and returns how long it took.
func run(w *world, p policy) (took time.Duration) {
	for !w.over() {
		p.plan(w)
		w.advance()
	}
	return w.now.Sub(start)
}
