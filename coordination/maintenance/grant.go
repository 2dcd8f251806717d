package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// StepGrowth is how many more drains may run at once for each instance that
// came back well: after the first step of one, five run, then the budgets
// limit. Slower growth costs a whole reboot time for each further step.
const StepGrowth = 4

// FirstSoak is for how long the instances of the first steps have to serve well
// before more are drained. A failure is noticed after 15 s of silence, and an
// instance that breaks soon after its return would otherwise count as well.
const FirstSoak = 30 * time.Second

// FirstStepStagger is how long a pool that is not the first choice for a
// wave's first step waits for the owner of each better one.
const FirstStepStagger = 5 * time.Second

// tally is what one wave may still do in one pool.
type tally struct {
	pool fleet.Pool
	// free is the budget that is not spent.
	free    int
	waiting int
	racks   []*rack
}

// rack is the part of a pool in one rack.
type rack struct {
	dataCentre string
	name       string
	// begun is set once an instance of it was granted or maintained.
	begun bool
	// waiting are the instances that the wave has yet to drain.
	waiting []fleet.Instance
}

// grant proposes the drains that the wave's step and the budgets allow.
func (p *planner) grant(w fleet.Wave, v verdict) {
	tallies, running := p.count(w)
	good := v.good - p.seen.Waves[w.Name].Base
	if running == 0 && good <= 0 {
		p.firstStep(w, tallies)
		return
	}
	if soaked := p.seen.Waves[w.Name].StepSince.Add(FirstSoak); good < provenReturns && p.now.Before(soaked) {
		p.notef(w.Name, "", "step: waits until %s whether the first instances stay well", soaked.UTC().Format(time.RFC3339))
		return
	}
	room := 1 + StepGrowth*max(0, good) - running
	if room <= 0 {
		p.notef(w.Name, "", "step: %d drains run, %d came back well", running, v.good)
		return
	}
	for _, t := range divide(tallies, room) {
		p.fill(w, t.tally, t.n)
	}
}

// count sums up the pools that the wave may work on, in order of name, and how
// many of its drains run.
func (p *planner) count(w fleet.Wave) (tallies []*tally, running int) {
	byPool := make(map[string]*tally)
	for _, name := range w.Pools {
		if pool, known := p.state.Pools[name]; known && p.taken[name] == "" {
			p.taken[name] = w.Name
			byPool[name] = &tally{pool: pool, free: pool.Budget}
		}
	}
	for _, i := range p.state.Instances {
		if i.Phase == fleet.Draining && i.Wave == w.Name {
			running++
		}
		if t := byPool[i.Pool]; t != nil {
			t.add(i, w.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		t := byPool[name]
		t.racks = slices.DeleteFunc(t.racks, func(r *rack) bool {
			return len(r.waiting) == 0 || slices.Contains(p.seen.Absent, r.dataCentre)
		})
		for _, r := range t.racks {
			t.waiting += len(r.waiting)
		}
		if t.waiting > 0 {
			tallies = append(tallies, t)
		}
	}
	return tallies, running
}

func (t *tally) add(i fleet.Instance, wave string) {
	if Unavailable(i) {
		t.free--
	}
	r := t.rack(i.DataCentre, i.Rack)
	switch {
	case i.Maintained == wave || i.Phase == fleet.Draining && i.Wave == wave:
		r.begun = true
	case !Unavailable(i):
		r.waiting = append(r.waiting, i)
	}
}

func (t *tally) rack(dataCentre, name string) (r *rack) {
	for _, r = range t.racks {
		if r.dataCentre == dataCentre && r.name == name {
			return r
		}
	}
	r = &rack{dataCentre: dataCentre, name: name}
	t.racks = append(t.racks, r)
	return r
}

// firstStep grants one instance in the pool with most slack, in the data
// centre with most instances to maintain. Owners of other pools step in, one
// after the other, when the first choice does nothing.
func (p *planner) firstStep(w fleet.Wave, tallies []*tally) {
	tallies = slices.DeleteFunc(slices.Clone(tallies), func(t *tally) bool { return t.free <= 0 })
	here := largest(tallies)
	if here == "" {
		p.notef(w.Name, "", "first step: no pool has budget left and an instance to maintain")
		return
	}
	if p.seen.DataCentre != "" && p.seen.DataCentre != here {
		p.notef(w.Name, "", "first step: left to data centre %s", here)
		return
	}
	var choices []*tally
	for _, t := range tallies {
		if t.in(here) > 0 {
			choices = append(choices, t)
		}
	}
	slices.SortStableFunc(choices, p.bySlack)
	for rank, t := range choices {
		turn := p.seen.Waves[w.Name].StepSince.Add(time.Duration(rank) * FirstStepStagger)
		owned := p.seen.Owned == nil || slices.Contains(p.seen.Owned, t.pool.Name)
		if owned && !p.now.Before(turn) {
			p.take(w, t, here, t.begunIn(here), 1)
			return
		}
	}
	p.notef(w.Name, "", "first step: left to the owner of pool %s", choices[0].pool.Name)
}

// begunIn returns a rack of a data centre that was begun and has instances
// left, or nil; after a resumption it goes first.
func (t *tally) begunIn(dataCentre string) (r *rack) {
	for _, c := range t.racks {
		if c.begun && c.dataCentre == dataCentre && (r == nil || c.name < r.name) {
			r = c
		}
	}
	return r
}

// bySlack puts pools first that have most free slots beyond their queue for
// each instance.
func (p *planner) bySlack(a, b *tally) int {
	return cmp.Or(cmp.Compare(p.slack(b), p.slack(a)), cmp.Compare(b.free, a.free), cmp.Compare(a.pool.Name, b.pool.Name))
}

func (p *planner) slack(t *tally) float64 {
	l := p.seen.Pools[t.pool.Name]
	return float64(l.FreeSlots-l.Queued) / float64(max(1, l.Instances))
}

// largest returns the data centre with most instances to maintain.
func largest(tallies []*tally) (dataCentre string) {
	waiting := make(map[string]int)
	for _, t := range tallies {
		for _, r := range t.racks {
			waiting[r.dataCentre] += len(r.waiting)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(waiting)) {
		if waiting[name] > waiting[dataCentre] {
			dataCentre = name
		}
	}
	return dataCentre
}

// in counts the instances to maintain in a data centre.
func (t *tally) in(dataCentre string) (n int) {
	for _, r := range t.racks {
		if r.dataCentre == dataCentre {
			n += len(r.waiting)
		}
	}
	return n
}

// part is how many grants a pool gets of a wave's step.
type part struct {
	*tally
	n int
}

// divide gives each pool its budget, or where the step has less room than
// that, gives to the pools first that need the most rounds.
func divide(tallies []*tally, room int) (parts []part) {
	for _, t := range tallies {
		parts = append(parts, part{tally: t})
	}
	for ; room > 0; room-- {
		best := -1
		for k, c := range parts {
			if c.n < min(c.free, c.waiting) && (best < 0 || c.rounds() > parts[best].rounds()) {
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

// rounds is how many times the budget has to be spent for what is left.
func (c part) rounds() float64 {
	return float64(c.waiting-c.n) / float64(c.pool.Budget)
}
