package share

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what one member uses of the queue's slots.
type Usage struct {
	Member string
	// InUse is the slots in use, including those on endpoints of other pools.
	InUse int
	// Share is the weighted max-min share of the member for its current demand.
	Share   float64
	Minimum int
	// Queued is the number of waiting requests.
	Queued  int
	Granted int64
	// Refused counts refusals by reason, in the order of their first occurrence.
	Refused []RefusalCount
}

// Usage returns the usage of all known members, sorted by name.
func (q *Queue) Usage(now time.Time) (usage []Usage) {
	for _, p := range q.members {
		u := Usage{
			Member:  p.Name,
			InUse:   p.inUse,
			Minimum: p.Minimum,
			Queued:  p.queued,
			Granted: p.granted,
			Refused: slices.Clone(p.refused),
		}
		for _, g := range q.groupList {
			u.Share += q.Share(g.name, p.Name, now)
		}
		usage = append(usage, u)
	}
	slices.SortFunc(usage, func(a, b Usage) int { return cmp.Compare(a.Member, b.Member) })
	return usage
}

// Totals are the sums over all members.
type Totals struct {
	// Capacity is the slots of the open endpoints and those outside the pool.
	Capacity int
	InUse    int
	Queued   int
	// Bytes is the memory of the queued requests.
	Bytes int
	// AheadInUse is the slots in use by urgent requests that were served before
	// their fair turn.
	AheadInUse int
	// LongInUse is the slots in use by tasks of unknown or long run time.
	LongInUse int
	// OutsideInUse is the slots in use on endpoints of other pools.
	OutsideInUse int
}

// Totals returns the sums over all members.
func (q *Queue) Totals() (t Totals) {
	t = Totals{Capacity: q.capacity(), Queued: len(q.waiting), Bytes: q.queuedBytes, AheadInUse: q.aheadInUse, LongInUse: q.longInUse, OutsideInUse: q.outsideInUse}
	for _, h := range q.grants {
		t.InUse += h.Request.slots()
	}
	return t
}

// Grants returns the grants that have not been released, sorted by ID.
func (q *Queue) Grants() (grants []Grant) {
	for _, h := range q.grants {
		grants = append(grants, h.Grant)
	}
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	return grants
}
