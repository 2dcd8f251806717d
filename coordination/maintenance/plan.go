package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Plan decides what to propose next for every wave. The same arguments always give
// the same decision.
func Plan(s *fleet.State, o Observation, now time.Time) (d Decision) {
	p := planner{state: s, observation: o, now: now, waveOfPool: make(map[string]string)}
	for _, name := range slices.Sorted(maps.Keys(s.Waves)) {
		if w := s.Waves[name]; w.State == fleet.WaveRunning {
			p.planWave(w)
		}
	}
	p.handBackDrains()
	return p.decision
}

type planner struct {
	state       *fleet.State
	observation Observation
	now         time.Time
	decision    Decision
	// waveOfPool holds the wave that works on each pool. Two running waves on one
	// pool would overwrite each other's record of the maintained instances, so the
	// first by name goes first.
	waveOfPool map[string]string
	// stopped lists the waves that this decision halts or ends.
	stopped []string
}

func (p *planner) planWave(w fleet.Wave) {
	h := evaluateWave(p.state, p.observation, w, p.now)
	switch {
	case h.mustHalt():
		p.haltWave(w, h)
	case !w.Until.IsZero() && !p.now.Before(w.Until):
		p.endWave(w, "the wave's last moment has passed")
	case p.finished(w):
		p.endWave(w, "")
	default:
		p.grantDrains(w, h)
	}
}

// haltWave halts a wave with too many unhealthy instances. Every entry stops
// granting; those that own one of these instances propose the halt.
func (p *planner) haltWave(w fleet.Wave, h waveHealth) {
	p.stopped = append(p.stopped, w.Name)
	p.addNotef(w.Name, "", "halting: %s", h.haltReason())
	owned := func(f unhealthyInstance) bool { return p.owns(f.instance) }
	if slices.ContainsFunc(h.unhealthy, owned) {
		p.decision.Waves = append(p.decision.Waves, fleet.SetWave{
			Name: w.Name, State: fleet.WaveHalted, Reason: h.haltReason(),
		})
	}
}

func (p *planner) endWave(w fleet.Wave, reason string) {
	p.stopped = append(p.stopped, w.Name)
	p.addNotef(w.Name, "", "ending: %s", cmp.Or(reason, "every instance is maintained"))
	if p.proposesEnd(w) {
		p.decision.Waves = append(p.decision.Waves, fleet.SetWave{
			Name: w.Name, State: fleet.WaveEnded, Reason: reason,
		})
	}
}

// finished reports whether no instance of the wave is draining or remains.
func (p *planner) finished(w fleet.Wave) bool {
	for _, i := range p.state.Instances {
		if i.Phase == fleet.Draining && i.Wave == w.Name {
			return false
		}
		if slices.Contains(w.Pools, i.Pool) && i.CompletedWave != w.Name {
			return false
		}
	}
	return true
}

// proposesEnd reports whether this entry proposes the end of a wave. One of the
// owners of its pools is enough, and the first by data centre and pool does it.
func (p *planner) proposesEnd(w fleet.Wave) bool {
	if p.observation.DataCentre == "" {
		return true
	}
	var first *fleet.Instance
	for _, i := range p.state.Instances {
		if !slices.Contains(w.Pools, i.Pool) || slices.Contains(p.observation.UnavailableDataCentres, i.DataCentre) {
			continue
		}
		if first == nil || cmp.Or(cmp.Compare(i.DataCentre, first.DataCentre), cmp.Compare(i.Pool, first.Pool)) < 0 {
			first = &i
		}
	}
	return first == nil || p.owns(*first)
}

// owns reports whether this entry proposes the grants of an instance.
func (p *planner) owns(i fleet.Instance) bool {
	here := p.observation.DataCentre == "" || p.observation.DataCentre == i.DataCentre
	return here && (p.observation.OwnedPools == nil || slices.Contains(p.observation.OwnedPools, i.Pool))
}

func (p *planner) addNotef(wave, pool, format string, args ...any) {
	p.decision.Notes = append(p.decision.Notes, Note{Wave: wave, Pool: pool, Text: fmt.Sprintf(format, args...)})
}

// handBackDrains cancels the drains of waves that no longer run, and as many as a
// pool is over its budget. A paused wave keeps its drains.
func (p *planner) handBackDrains() {
	excess := make(map[string]int)
	for name, pool := range p.state.Pools {
		excess[name] = -pool.Budget
	}
	var drains []fleet.Instance
	for _, i := range p.state.Instances {
		if Unavailable(i) {
			excess[i.Pool]++
		}
		step := p.observation.Instances[i.Name].Step
		if i.Phase == fleet.Draining && !i.Rebooting && !i.Failed && p.owns(i) && (step == StepWaiting || step == StepDrained) {
			drains = append(drains, i)
		}
	}
	slices.SortFunc(drains, p.byRemainingTime)
	for _, i := range drains {
		reason := p.stopReason(i.Wave)
		if reason == "" && excess[i.Pool] > 0 {
			reason = fmt.Sprintf("pool %s is over its budget by %d", i.Pool, excess[i.Pool])
		}
		if reason == "" {
			continue
		}
		excess[i.Pool]--
		p.decision.Cancellations = append(p.decision.Cancellations, DrainCancellation{Instance: i.Name, Pool: i.Pool, Reason: reason})
	}
}

// byRemainingTime sorts drains by the work that is left, most first.
func (p *planner) byRemainingTime(a, b fleet.Instance) int {
	l, m := p.observation.Instances[a.Name], p.observation.Instances[b.Name]
	return cmp.Or(
		cmp.Compare(string(m.Step), string(l.Step)), // waiting before drained
		m.IdleAt.Compare(l.IdleAt),
		cmp.Compare(a.Name, b.Name),
	)
}

func (p *planner) stopReason(wave string) string {
	w, known := p.state.Waves[wave]
	switch {
	case !known || w.State == fleet.WaveEnded || w.State == fleet.WaveHalted:
		return "wave " + wave + " no longer runs"
	case slices.Contains(p.stopped, wave):
		return "wave " + wave + " is being stopped"
	}
	return ""
}

// Unavailable reports whether an instance counts against the budget of its pool.
func Unavailable(i fleet.Instance) bool {
	return i.Failed || i.Phase == fleet.Draining || i.Phase == fleet.Releasing
}
