package share

import "time"

// OverflowDemand asks for slots outside the pool for queued requests of one member,
// urgency and size.
type OverflowDemand struct {
	// First is the first of these requests; its member, urgency and slots apply
	// to all of them.
	First Request
	// Count is how many of these requests could start at once.
	Count int
}

// OverflowDemands returns the requests that the queue would place outside the pool now,
// at most limit in all, divided among the classes. Requests that overflowed
// from another pool are not passed on.
func (q *Queue) OverflowDemands(limit int, now time.Time) (wishes []OverflowDemand) {
	own, found := q.groups[""]
	if !found || own.queued == 0 {
		return nil
	}
	classes := make([]*class, 0, len(own.accounts))
	own.backlogged(func(c *class) bool {
		classes = append(classes, c)
		return true
	})
	each := max(1, limit/len(classes))
	for _, c := range classes {
		if limit <= 0 {
			break
		}
		count := min(each, limit, q.quotaLimit(c.account.member.Name, now)-c.account.member.inUse)
		found := c.overflowDemands(count)
		for _, w := range found {
			limit -= w.Count
		}
		wishes = append(wishes, found...)
	}
	return wishes
}

// overflowDemands groups the first requests of the class, up to that many
// slots, by their size.
func (c *class) overflowDemands(count int) (wishes []OverflowDemand) {
	for at := c.queue.Front(); at != nil && count > 0; at = at.Next() {
		r := queuedRequestOf(at).Request
		wishes = addOverflowDemand(wishes, r)
		count -= r.slots()
	}
	return wishes
}

func addOverflowDemand(wishes []OverflowDemand, r Request) []OverflowDemand {
	for i := range wishes {
		if wishes[i].First.slots() == r.slots() {
			wishes[i].Count++
			return wishes
		}
	}
	return append(wishes, OverflowDemand{First: r, Count: 1})
}

// OverflowOffer is a grant on an endpoint outside the pool that was issued for an OverflowDemand.
type OverflowOffer struct {
	Member   string
	Urgency  Urgency
	Slots    int
	Endpoint string
	// Until is the end of the grant outside the pool.
	Until time.Time
}

// PlaceOverflow assigns an offer to the first queued request of the member that has the
// offered size and is expected to end within the lease. It tries the offered
// urgency first; placed is false if no request qualifies.
func (q *Queue) PlaceOverflow(o OverflowOffer, now time.Time) (g Grant, placed bool) {
	own, found := q.groups[""]
	if !found {
		return g, false
	}
	a := own.account(o.Member)
	if a == nil {
		return g, false
	}
	if g, placed = q.placeFromClass(&a.classes[o.Urgency], o, now); placed {
		return g, true
	}
	for u := range urgencyCount {
		if g, placed = q.placeFromClass(&a.classes[u], o, now); placed {
			return g, true
		}
	}
	return g, false
}

func (q *Queue) placeFromClass(c *class, o OverflowOffer, now time.Time) (g Grant, placed bool) {
	tried := 0
	for at := c.queue.Front(); at != nil && tried < maxLookahead; at = at.Next() {
		tried++
		e := queuedRequestOf(at)
		offered := endpointState{Endpoint: Endpoint{Name: o.Endpoint}}
		if e.slots() != max(o.Slots, 1) || offered.avoidedBy(e.Request) || o.Until.Before(now.Add(e.Run)) {
			continue
		}
		g = Grant{Request: e.Request, Endpoint: o.Endpoint, At: now, Until: leaseEnd(e.Request, now), Outside: true}
		if o.Until.Before(g.Until) {
			g.Until = o.Until
		}
		return g, q.tryGrant(e, g, now)
	}
	return g, false
}
