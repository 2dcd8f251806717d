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

// Division is how a full pool is divided among organisations. Its zero value divides nothing.
type Division struct {
	Pool job.Capacity
	// Shares holds, by organisation, the part of the pool that is its weighted max-min share,
	// by the resource of which the organisation uses most.
	Shares map[string]float64
}

// Reached reports whether an organisation with that much running in the pool has its share.
func (d Division) Reached(name string, running job.Capacity) bool {
	part, divided := d.Shares[name]
	return divided && dominant(d.Pool, running) >= part-roundingError
}

// Exceeded reports whether an organisation with that much running in the pool has more than
// its share.
func (d Division) Exceeded(name string, running job.Capacity) bool {
	part, divided := d.Shares[name]
	return divided && dominant(d.Pool, running) > part+roundingError
}

// roundingError is the part of a pool by which computed shares may be inexact.
const roundingError = 1e-9

// Divide divides a pool among the organisations that use it. It divides nothing while the
// pool has room for all that is wanted, so that unused shares go to whoever can use them.
// What the limit of an organisation keeps from running does not count as wanted.
func (l *Ledger) Divide(pool job.Capacity, uses map[string]Use) (d Division) {
	var sum job.Capacity
	var weights, weighted float64
	names := slices.Sorted(maps.Keys(uses))
	demands := make([]share.Demand, len(names))
	for i, name := range names {
		wanted := l.attainable(name, uses[name])
		sum = sum.Plus(wanted)
		demands[i] = share.Demand{Weight: l.terms[name].Weight, Want: dominant(pool, wanted)}
		if demands[i].Weight > 0 {
			weights += demands[i].Weight
			weighted++
		}
	}
	if pool.CanFit(sum) {
		return Division{}
	}
	for i := range demands {
		if demands[i].Weight <= 0 && weighted > 0 {
			demands[i].Weight = weights / weighted
		}
	}
	d = Division{Pool: pool, Shares: make(map[string]float64, len(names))}
	for i, part := range share.Divide(1, demands) {
		d.Shares[names[i]] = part
	}
	return d
}

// OverShare returns the organisations that have more of a pool running than their share.
func (l *Ledger) OverShare(pool job.Capacity, uses map[string]Use) (over map[string]bool) {
	d := l.Divide(pool, uses)
	for name, u := range uses {
		if d.Exceeded(name, u.Running) {
			if over == nil {
				over = make(map[string]bool)
			}
			over[name] = true
		}
	}
	return over
}

// attainable returns the part of what an organisation demands in a pool that its limit allows
// beside what it has running in the other pools.
func (l *Ledger) attainable(name string, u Use) job.Capacity {
	t, known := l.terms[name]
	if !known {
		return u.Wanted
	}
	running, _ := l.Running(name)
	return job.Capacity{
		CPU:      attainablePart(t.Limit.CPU, running.CPU, u.Running.CPU, u.Wanted.CPU),
		MemoryMB: attainablePart(t.Limit.MemoryMB, running.MemoryMB, u.Running.MemoryMB, u.Wanted.MemoryMB),
		GPU:      attainablePart(t.Limit.GPU, running.GPU, u.Running.GPU, u.Wanted.GPU),
	}
}

func attainablePart(limit, running, here, wanted int) int {
	if limit <= 0 {
		return wanted
	}
	return min(wanted, here+max(0, limit-running))
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
