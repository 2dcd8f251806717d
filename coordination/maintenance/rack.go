package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// grantInPool grants n instances of a pool: first the rest of the started racks,
// then whole racks, and the last one as far as n allows. So another rack is started
// only if n covers all that is left of the earlier ones.
func (p *planner) grantInPool(w fleet.Wave, t *poolTally, n int) {
	switch {
	case t.freeBudget <= 0:
		p.addNotef(w.Name, t.pool.Name, "budget %d is used up, %d instances remain", t.pool.Budget, t.remaining)
	case n < min(t.freeBudget, t.remaining):
		p.addNotef(w.Name, t.pool.Name, "step: %d of %d drains that the budget allows", n, t.freeBudget)
	}
	slices.SortFunc(t.racks, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.name, b.name))
	})
	for _, r := range t.racks {
		if !r.started || n <= 0 {
			continue
		}
		k := min(n, len(r.remaining))
		p.grantInRacks(w, t, r.dataCentre, r, k)
		n -= k
	}
	allotments := t.allotNewRacks(n)
	for _, dataCentre := range slices.Sorted(maps.Keys(allotments)) {
		p.grantInRacks(w, t, dataCentre, nil, allotments[dataCentre])
	}
}

// allotNewRacks divides n grants, all in racks that are not started, among the data
// centres: one rack at a time to the data centre with the most remaining instances.
func (t *poolTally) allotNewRacks(n int) (allotments map[string]int) {
	rackSizes := make(map[string][]int) // sizes of the racks not yet started
	remainingByDataCentre := make(map[string]int)
	for _, r := range t.racks {
		if !r.started {
			rackSizes[r.dataCentre] = append(rackSizes[r.dataCentre], len(r.remaining))
			remainingByDataCentre[r.dataCentre] += len(r.remaining)
		}
	}
	allotments = make(map[string]int)
	for n > 0 && len(remainingByDataCentre) > 0 {
		best := ""
		for name := range remainingByDataCentre {
			if best == "" || cmp.Or(cmp.Compare(remainingByDataCentre[name], remainingByDataCentre[best]), cmp.Compare(best, name)) > 0 {
				best = name
			}
		}
		sizes := rackSizes[best]
		slices.Sort(sizes)
		k := min(n, sizes[len(sizes)-1])
		rackSizes[best] = sizes[:len(sizes)-1]
		allotments[best] += k
		n -= k
		remainingByDataCentre[best] -= sizes[len(sizes)-1]
		if remainingByDataCentre[best] == 0 {
			delete(remainingByDataCentre, best)
		}
	}
	return allotments
}

// grantInRacks grants n instances of a rack or, if r is nil, of the racks not yet
// started in a data centre, the largest and least loaded first. Grants of instances
// that another entry owns are counted but not proposed.
func (p *planner) grantInRacks(w fleet.Wave, t *poolTally, dataCentre string, r *rack, n int) {
	var from []*rack
	for _, c := range t.racks {
		if c == r || r == nil && c.dataCentre == dataCentre && !c.started {
			from = append(from, c)
		}
	}
	slices.SortFunc(from, p.bySizeAndLoad)
	for _, c := range from {
		c.remaining = slices.DeleteFunc(c.remaining, func(i fleet.Instance) bool { return p.observation.Instances[i.Name].Leaving })
		slices.SortFunc(c.remaining, p.byLoad)
		for _, i := range c.remaining[:min(n, len(c.remaining))] {
			n--
			if p.owns(i) {
				p.decision.Grants = append(p.decision.Grants, Grant{Instance: i.Name, Pool: i.Pool, Rack: i.Rack, Wave: w.Name})
			}
		}
	}
}

// byLoad sorts instances by the end of their tasks, soonest first, so that drains
// are short.
func (p *planner) byLoad(a, b fleet.Instance) int {
	l, m := p.observation.Instances[a.Name], p.observation.Instances[b.Name]
	return cmp.Or(
		p.idleAt(l).Compare(p.idleAt(m)),
		cmp.Compare(l.InFlight, m.InFlight),
		cmp.Compare(m.FreeSlots, l.FreeSlots),
		cmp.Compare(a.Name, b.Name),
	)
}

// bySizeAndLoad sorts racks by size, largest first as in allotNewRacks, and racks of
// the same size by the number of tasks.
func (p *planner) bySizeAndLoad(a, b *rack) int {
	return cmp.Or(
		cmp.Compare(len(b.remaining), len(a.remaining)),
		cmp.Compare(p.tasksInFlight(a), p.tasksInFlight(b)),
		cmp.Compare(a.name, b.name),
	)
}

func (p *planner) tasksInFlight(r *rack) (tasks int) {
	for _, i := range r.remaining {
		tasks += p.observation.Instances[i.Name].InFlight
	}
	return tasks
}

func (p *planner) idleAt(l InstanceObservation) time.Time {
	if l.IdleAt.Before(p.now) {
		return p.now
	}
	return l.IdleAt
}
