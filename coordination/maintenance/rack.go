package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// fill grants n instances of a pool: first the rest of the racks that were
// begun, then whole racks, and the last one as far as n allows. So a further
// rack is begun only when the budget holds all that is left of the earlier ones.
func (p *planner) fill(w fleet.Wave, t *tally, n int) {
	switch {
	case t.free <= 0:
		p.notef(w.Name, t.pool.Name, "budget %d is spent, %d instances wait", t.pool.Budget, t.waiting)
	case n < min(t.free, t.waiting):
		p.notef(w.Name, t.pool.Name, "step: %d of %d free in the budget", n, t.free)
	}
	slices.SortFunc(t.racks, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.name, b.name))
	})
	for _, r := range t.racks {
		if !r.begun || n <= 0 {
			continue
		}
		k := min(n, len(r.waiting))
		p.take(w, t, r.dataCentre, r, k)
		n -= k
	}
	parts := t.begin(n)
	for _, dataCentre := range slices.Sorted(maps.Keys(parts)) {
		p.take(w, t, dataCentre, nil, parts[dataCentre])
	}
}

// begin divides n grants in racks not yet begun among the data centres, a rack
// at a time to the one with most left.
func (t *tally) begin(n int) (parts map[string]int) {
	left := make(map[string][]int) // sizes of racks not begun, largest first
	sum := make(map[string]int)
	for _, r := range t.racks {
		if !r.begun {
			left[r.dataCentre] = append(left[r.dataCentre], len(r.waiting))
			sum[r.dataCentre] += len(r.waiting)
		}
	}
	parts = make(map[string]int)
	for n > 0 && len(sum) > 0 {
		best := ""
		for name := range sum {
			if best == "" || cmp.Or(cmp.Compare(sum[name], sum[best]), cmp.Compare(best, name)) > 0 {
				best = name
			}
		}
		sizes := left[best]
		slices.Sort(sizes)
		k := min(n, sizes[len(sizes)-1])
		left[best] = sizes[:len(sizes)-1]
		parts[best] += k
		n -= k
		sum[best] -= sizes[len(sizes)-1]
		if sum[best] == 0 {
			delete(sum, best)
		}
	}
	return parts
}

// take grants n instances of a rack, or of the largest and least loaded racks not yet
// begun in a data centre if r is nil, when this entry may propose them.
func (p *planner) take(w fleet.Wave, t *tally, dataCentre string, r *rack, n int) {
	var from []*rack
	for _, c := range t.racks {
		if c == r || r == nil && c.dataCentre == dataCentre && !c.begun {
			from = append(from, c)
		}
	}
	slices.SortFunc(from, p.bySizeAndLoad)
	for _, c := range from {
		c.waiting = slices.DeleteFunc(c.waiting, func(i fleet.Instance) bool { return p.seen.Instances[i.Name].Leaving })
		slices.SortFunc(c.waiting, p.byLoad)
		for _, i := range c.waiting[:min(n, len(c.waiting))] {
			n--
			if p.owns(i) {
				p.decision.Grants = append(p.decision.Grants, Grant{Instance: i.Name, Pool: i.Pool, Rack: i.Rack, Wave: w.Name})
			}
		}
	}
}

// byLoad puts instances first whose tasks end soonest, so that drains are short.
func (p *planner) byLoad(a, b fleet.Instance) int {
	l, m := p.seen.Instances[a.Name], p.seen.Instances[b.Name]
	return cmp.Or(
		p.idleAt(l).Compare(p.idleAt(m)),
		cmp.Compare(l.InFlight, m.InFlight),
		cmp.Compare(m.FreeSlots, l.FreeSlots),
		cmp.Compare(a.Name, b.Name),
	)
}

// bySizeAndLoad puts large racks first, as begin counts them, and among equal
// ones those with the fewest tasks.
func (p *planner) bySizeAndLoad(a, b *rack) int {
	return cmp.Or(
		cmp.Compare(len(b.waiting), len(a.waiting)),
		cmp.Compare(p.load(a), p.load(b)),
		cmp.Compare(a.name, b.name),
	)
}

func (p *planner) load(r *rack) (tasks int) {
	for _, i := range r.waiting {
		tasks += p.seen.Instances[i.Name].InFlight
	}
	return tasks
}

func (p *planner) idleAt(l InstanceLoad) time.Time {
	if l.IdleAt.Before(p.now) {
		return p.now
	}
	return l.IdleAt
}
