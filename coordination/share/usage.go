package share

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what one member takes of the queue's slots.
type Usage struct {
	Member string
	// InUse is the slots in use, those on endpoints of other pools included.
	InUse int
	// Share is the slots that the member's demand gets by weighted max-min.
	Share   float64
	Minimum int
	// Queued is how many requests wait.
	Queued  int
	Granted int64
	// Refused counts refusals by reason, in the order of their first occurrence.
	Refused []Count
}

// Usage returns what each known member takes, by name.
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
		for _, g := range q.order {
			u.Share += q.Share(g.name, p.Name, now)
		}
		usage = append(usage, u)
	}
	slices.SortFunc(usage, func(a, b Usage) int { return cmp.Compare(a.Member, b.Member) })
	return usage
}

// Totals are the sums over all members.
type Totals struct {
	// Capacity is the slots of the open endpoints, with those outside the pool.
	Capacity int
	InUse    int
	Queued   int
	// Bytes is the memory of the queued requests.
	Bytes int
	// Ahead is the slots of urgent work that was served before its fair turn.
	Ahead int
	// Long is the slots held by work of unknown or long run time.
	Long int
	// Away is the slots in use on endpoints of other pools.
	Away int
}

// Totals returns the sums over all members.
func (q *Queue) Totals() (t Totals) {
	t = Totals{Capacity: q.capacity(), Queued: len(q.waiting), Bytes: q.bytes, Ahead: q.ahead, Long: q.long, Away: q.away}
	for _, h := range q.grants {
		t.InUse += h.Request.slots()
	}
	return t
}

// Grants returns the grants that were not released, by ID.
func (q *Queue) Grants() (grants []Grant) {
	for _, h := range q.grants {
		grants = append(grants, h.Grant)
	}
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	return grants
}
