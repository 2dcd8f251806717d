package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// StepGrowth is the number of additional concurrent drains for each instance that
// came back healthy: one drain runs in the first step and five in the second, and
// from then on the budgets are the limit. Slower growth would cost a whole reboot
// time for each additional step.
const StepGrowth = 4

// FirstStepSoak is how long the instances of the first steps must be healthy before
// more are drained. A failure is detected after 15 s without a response, so an
// instance that fails soon after its return would otherwise count as healthy.
const FirstStepSoak = 30 * time.Second

// FirstStepStagger is how long a pool that is not the first choice for the first
// step of a wave waits for the owner of each pool that precedes it.
const FirstStepStagger = 5 * time.Second

// poolTally counts the budget and the remaining instances of a wave in one pool.
type poolTally struct {
	pool fleet.Pool
	// freeBudget is the unused part of the budget.
	freeBudget int
	remaining  int
	racks      []*rack
}

// rack is the part of a pool in one rack.
type rack struct {
	dataCentre string
	name       string
	// started is set if an instance of the rack is draining for the wave or has
	// finished it.
	started bool
	// remaining are the available instances that the wave has yet to drain.
	remaining []fleet.Instance
}

// grantDrains proposes the drains that the current step of the wave and the budgets
// allow.
func (p *planner) grantDrains(w fleet.Wave, h waveHealth) {
	tallies, running := p.tallyPools(w)
	healthy := h.healthy - p.observation.Waves[w.Name].HealthyAtResume
	if running == 0 && healthy <= 0 {
		p.grantFirstStep(w, tallies)
		return
	}
	if soakEnd := p.observation.Waves[w.Name].StepSince.Add(FirstStepSoak); healthy < minHealthyReturns && p.now.Before(soakEnd) {
		p.addNotef(w.Name, "", "step: waiting until %s to see whether the first instances stay healthy", soakEnd.UTC().Format(time.RFC3339))
		return
	}
	allowed := 1 + StepGrowth*max(0, healthy) - running
	if allowed <= 0 {
		p.addNotef(w.Name, "", "step: %d drains running, %d instances came back healthy", running, h.healthy)
		return
	}
	for _, t := range allotDrains(tallies, allowed) {
		p.grantInPool(w, t.poolTally, t.n)
	}
}

// tallyPools returns the tallies of the pools that the wave may work on, sorted by
// name, and the number of its running drains.
func (p *planner) tallyPools(w fleet.Wave) (tallies []*poolTally, running int) {
	byPool := make(map[string]*poolTally)
	for _, name := range w.Pools {
		if pool, known := p.state.Pools[name]; known && p.waveOfPool[name] == "" {
			p.waveOfPool[name] = w.Name
			byPool[name] = &poolTally{pool: pool, freeBudget: pool.Budget}
		}
	}
	for _, i := range p.state.Instances {
		if i.Phase == fleet.Draining && i.Wave == w.Name {
			running++
		}
		if t := byPool[i.Pool]; t != nil {
			t.addInstance(i, w.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		t := byPool[name]
		t.racks = slices.DeleteFunc(t.racks, func(r *rack) bool {
			return len(r.remaining) == 0 || slices.Contains(p.observation.UnavailableDataCentres, r.dataCentre)
		})
		for _, r := range t.racks {
			t.remaining += len(r.remaining)
		}
		if t.remaining > 0 {
			tallies = append(tallies, t)
		}
	}
	return tallies, running
}

func (t *poolTally) addInstance(i fleet.Instance, wave string) {
	if Unavailable(i) {
		t.freeBudget--
	}
	r := t.findOrAddRack(i.DataCentre, i.Rack)
	switch {
	case i.CompletedWave == wave || i.Phase == fleet.Draining && i.Wave == wave:
		r.started = true
	case !Unavailable(i):
		r.remaining = append(r.remaining, i)
	}
}

func (t *poolTally) findOrAddRack(dataCentre, name string) (r *rack) {
	for _, r = range t.racks {
		if r.dataCentre == dataCentre && r.name == name {
			return r
		}
	}
	r = &rack{dataCentre: dataCentre, name: name}
	t.racks = append(t.racks, r)
	return r
}

// grantFirstStep grants one instance in the pool with the most slack, in the data
// centre with the most remaining instances. If the owner of that pool does nothing,
// the owners of the other pools may grant one, each FirstStepStagger later.
func (p *planner) grantFirstStep(w fleet.Wave, tallies []*poolTally) {
	tallies = slices.DeleteFunc(slices.Clone(tallies), func(t *poolTally) bool { return t.freeBudget <= 0 })
	dataCentre := largestDataCentre(tallies)
	if dataCentre == "" {
		p.addNotef(w.Name, "", "first step: no pool has free budget and an instance to maintain")
		return
	}
	if p.observation.DataCentre != "" && p.observation.DataCentre != dataCentre {
		p.addNotef(w.Name, "", "first step: left to data centre %s", dataCentre)
		return
	}
	var choices []*poolTally
	for _, t := range tallies {
		if t.remainingIn(dataCentre) > 0 {
			choices = append(choices, t)
		}
	}
	slices.SortStableFunc(choices, p.bySlack)
	for rank, t := range choices {
		earliest := p.observation.Waves[w.Name].StepSince.Add(time.Duration(rank) * FirstStepStagger)
		owned := p.observation.OwnedPools == nil || slices.Contains(p.observation.OwnedPools, t.pool.Name)
		if owned && !p.now.Before(earliest) {
			p.grantInRacks(w, t, dataCentre, t.startedRackIn(dataCentre), 1)
			return
		}
	}
	p.addNotef(w.Name, "", "first step: left to the owner of pool %s", choices[0].pool.Name)
}

// startedRackIn returns a started rack of a data centre that has instances left, or
// nil. After a wave is resumed, such a rack goes first.
func (t *poolTally) startedRackIn(dataCentre string) (r *rack) {
	for _, c := range t.racks {
		if c.started && c.dataCentre == dataCentre && (r == nil || c.name < r.name) {
			r = c
		}
	}
	return r
}

// bySlack sorts pools by free slots beyond their queue per instance, largest first.
func (p *planner) bySlack(a, b *poolTally) int {
	return cmp.Or(cmp.Compare(p.slack(b), p.slack(a)), cmp.Compare(b.freeBudget, a.freeBudget), cmp.Compare(a.pool.Name, b.pool.Name))
}

func (p *planner) slack(t *poolTally) float64 {
	l := p.observation.Pools[t.pool.Name]
	return float64(l.FreeSlots-l.Queued) / float64(max(1, l.Instances))
}

// largestDataCentre returns the data centre with the most remaining instances.
func largestDataCentre(tallies []*poolTally) (dataCentre string) {
	remaining := make(map[string]int)
	for _, t := range tallies {
		for _, r := range t.racks {
			remaining[r.dataCentre] += len(r.remaining)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(remaining)) {
		if remaining[name] > remaining[dataCentre] {
			dataCentre = name
		}
	}
	return dataCentre
}

// remainingIn counts the remaining instances in a data centre.
func (t *poolTally) remainingIn(dataCentre string) (n int) {
	for _, r := range t.racks {
		if r.dataCentre == dataCentre {
			n += len(r.remaining)
		}
	}
	return n
}

// allotment is the number of grants that a pool gets in a step of a wave.
type allotment struct {
	*poolTally
	n int
}

// allotDrains gives each pool its free budget. If the step allows fewer drains, the
// pools that need the most rounds come first.
func allotDrains(tallies []*poolTally, allowed int) (parts []allotment) {
	for _, t := range tallies {
		parts = append(parts, allotment{poolTally: t})
	}
	for ; allowed > 0; allowed-- {
		best := -1
		for k, c := range parts {
			if c.n < min(c.freeBudget, c.remaining) && (best < 0 || c.rounds() > parts[best].rounds()) {
				best = k
			}
		}
		if best < 0 {
			break
		}
		parts[best].n++
	}
	return parts
}

// rounds is how many times the whole budget must be used for the instances that
// remain after this allotment.
func (c allotment) rounds() float64 {
	return float64(c.remaining-c.n) / float64(c.pool.Budget)
}
