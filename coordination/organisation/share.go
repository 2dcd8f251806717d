package organisation

import (
	"maps"
	"slices"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// Use is what an organisation has running in a pool, and what it would have running there if
// the pool had room for all its tasks whose turn has come.
type Use struct {
	Running, Wanted job.Capacity
}

// OverShare returns the organisations that have more of a pool running than their weighted
// max-min share of it, by the resource of which they use most. It returns none while the
// pool has room for all that is wanted, so that unused shares go to whoever can use them.
func (l *Ledger) OverShare(pool job.Capacity, uses map[string]Use) (over map[string]bool) {
	var wanted job.Capacity
	for _, u := range uses {
		wanted = wanted.Plus(u.Wanted)
	}
	if pool.CanFit(wanted) {
		return nil
	}
	names := slices.Sorted(maps.Keys(uses))
	demands := make([]share.Demand, 0, len(names))
	for _, name := range names {
		demands = append(demands, share.Demand{Weight: l.terms[name].Weight, Want: dominant(pool, uses[name].Wanted)})
	}
	over = make(map[string]bool)
	for i, amount := range share.Divide(1, demands) {
		if dominant(pool, uses[names[i]].Running) > amount {
			over[names[i]] = true
		}
	}
	return over
}

// dominant returns the largest part of a resource of the pool that an amount takes.
func dominant(pool, c job.Capacity) (part float64) {
	for _, r := range [][2]int{{c.CPU, pool.CPU}, {c.MemoryMB, pool.MemoryMB}, {c.GPU, pool.GPU}} {
		if r[1] > 0 {
			part = max(part, float64(r[0])/float64(r[1]))
		}
	}
	return part
}
