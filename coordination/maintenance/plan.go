package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Plan decides what to do next for every wave; the same arguments always give
// the same decision.
func Plan(s *fleet.State, o Observation, now time.Time) (d Decision) {
	p := planner{state: s, seen: o, now: now, taken: make(map[string]string)}
	for _, name := range slices.Sorted(maps.Keys(s.Waves)) {
		if w := s.Waves[name]; w.State == fleet.WaveRunning {
			p.run(w)
		}
	}
	p.handBack()
	return p.decision
}

type planner struct {
	state    *fleet.State
	seen     Observation
	now      time.Time
	decision Decision
	// taken holds the wave that works on each pool. Two running waves on one
	// pool would undo each other's record of what is maintained, so the first
	// by name goes first.
	taken map[string]string
	// stopped holds the waves that this decision halts or ends.
	stopped []string
}

func (p *planner) run(w fleet.Wave) {
	v := judge(p.state, p.seen, w, p.now)
	switch {
	case v.gone():
		p.halt(w, v)
	case !w.Until.IsZero() && !p.now.Before(w.Until):
		p.end(w, "the wave's last moment has passed")
	case p.finished(w):
		p.end(w, "")
	default:
		p.grant(w, v)
	}
}

// halt stops a wave that has gone bad. Every entry stops granting; those that
// own one of the bad instances propose it.
func (p *planner) halt(w fleet.Wave, v verdict) {
	p.stopped = append(p.stopped, w.Name)
	p.notef(w.Name, "", "halting: %s", v.reason())
	mine := func(f fault) bool { return p.owns(f.instance) }
	if slices.ContainsFunc(v.bad, mine) {
		p.decision.Waves = append(p.decision.Waves, fleet.SetWave{
			Name: w.Name, State: fleet.WaveHalted, Reason: v.reason(),
		})
	}
}

func (p *planner) end(w fleet.Wave, reason string) {
	p.stopped = append(p.stopped, w.Name)
	p.notef(w.Name, "", "ending: %s", cmp.Or(reason, "every instance is maintained"))
	if p.speaks(w) {
		p.decision.Waves = append(p.decision.Waves, fleet.SetWave{
			Name: w.Name, State: fleet.WaveEnded, Reason: reason,
		})
	}
}

// finished tells whether no instance of the wave is left or on its way.
func (p *planner) finished(w fleet.Wave) bool {
	for _, i := range p.state.Instances {
		if i.Phase == fleet.Draining && i.Wave == w.Name {
			return false
		}
		if slices.Contains(w.Pools, i.Pool) && i.Maintained != w.Name {
			return false
		}
	}
	return true
}

// speaks tells whether this entry proposes the end of a wave: of all owners of
// the wave's pools one is enough, and the first by data centre and pool does it.
func (p *planner) speaks(w fleet.Wave) bool {
	if p.seen.DataCentre == "" {
		return true
	}
	var first *fleet.Instance
	for _, i := range p.state.Instances {
		if !slices.Contains(w.Pools, i.Pool) || slices.Contains(p.seen.Absent, i.DataCentre) {
			continue
		}
		if first == nil || cmp.Or(cmp.Compare(i.DataCentre, first.DataCentre), cmp.Compare(i.Pool, first.Pool)) < 0 {
			first = &i
		}
	}
	return first == nil || p.owns(*first)
}

// owns tells whether this entry proposes the grants of an instance.
func (p *planner) owns(i fleet.Instance) bool {
	here := p.seen.DataCentre == "" || p.seen.DataCentre == i.DataCentre
	return here && (p.seen.Owned == nil || slices.Contains(p.seen.Owned, i.Pool))
}

func (p *planner) notef(wave, pool, format string, args ...any) {
	p.decision.Notes = append(p.decision.Notes, Note{Wave: wave, Pool: pool, Text: fmt.Sprintf(format, args...)})
}

// handBack gives back drains of waves that no longer run, and those that a
// pool over its budget needs. A paused wave keeps its drains.
func (p *planner) handBack() {
	over := make(map[string]int)
	for name, pool := range p.state.Pools {
		over[name] = -pool.Budget
	}
	var drains []fleet.Instance
	for _, i := range p.state.Instances {
		if Unavailable(i) {
			over[i.Pool]++
		}
		step := p.seen.Instances[i.Name].Step
		if i.Phase == fleet.Draining && !i.Rebooting && !i.Failed && p.owns(i) && (step == StepWaiting || step == StepDrained) {
			drains = append(drains, i)
		}
	}
	slices.SortFunc(drains, p.byProgress)
	for _, i := range drains {
		reason := p.stopReason(i.Wave)
		if reason == "" && over[i.Pool] > 0 {
			reason = fmt.Sprintf("pool %s is over its budget by %d", i.Pool, over[i.Pool])
		}
		if reason == "" {
			continue
		}
		over[i.Pool]--
		p.decision.HandBacks = append(p.decision.HandBacks, HandBack{Instance: i.Name, Pool: i.Pool, Reason: reason})
	}
}

// byProgress puts drains first that have the longest way to go.
func (p *planner) byProgress(a, b fleet.Instance) int {
	l, m := p.seen.Instances[a.Name], p.seen.Instances[b.Name]
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

// Unavailable tells whether an instance counts against its pool's budget.
func Unavailable(i fleet.Instance) bool {
	return i.Failed || i.Phase == fleet.Draining || i.Phase == fleet.Releasing
}
