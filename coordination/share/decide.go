package share

import (
	"container/list"
	"time"
)

// leadFraction is the part of the pool, one over it, that urgent work may take
// ahead of its fair turn. A quarter leaves the others three quarters of their
// share in the worst case and starts urgent work after a quarter of the slots
// has turned over.
const leadFraction = 4

// longReserve is the part of the pool, one over it, that is kept from long
// work: one slot of an endpoint of today's size.
const longReserve = 8

// urgentMemory is how long slots are kept for urgent work after the last
// urgent request.
const urgentMemory = 10 * time.Minute

// lookahead is how many requests of a class are tried when the first one does
// not fit anywhere.
const lookahead = 8

// grace is how long a lease lasts beyond the estimated run time, from the
// design page, section 11.
const grace = 10 * time.Second

// Decide grants what fits now and refuses what can no longer be granted in
// time. It takes O(members + endpoints) for each decision.
func (q *Queue) Decide(now time.Time) (grants []Grant, refused []Refusal) {
	q.pass++
	refused = append(q.expire(now), q.shed(now)...)
	for {
		g, found := q.next(now)
		if !found {
			return grants, refused
		}
		grants = append(grants, g)
	}
}

// next issues the next grant.
func (q *Queue) next(now time.Time) (g Grant, granted bool) {
	if g, granted = q.serveReserved(now); granted {
		return g, true
	}
	for len(q.waiting) > 0 && q.anyFree() {
		fair, urgent := q.choose()
		if fair == nil {
			return g, false
		}
		if q.mayLead(fair, urgent) {
			if g, granted = q.serve(urgent, true, now); granted {
				return g, true
			}
			urgent.skipped = q.pass
			continue
		}
		if g, granted = q.serve(fair, false, now); granted {
			return g, true
		}
		fair.skipped = q.pass
	}
	return g, false
}

// choose returns the class whose turn it is and the urgent class that is first
// among the urgent ones.
func (q *Queue) choose() (fair, urgent *class) {
	for c := range q.backlogged() {
		if c.skipped == q.pass {
			continue
		}
		if fair == nil || c.before(fair) {
			fair = c
		}
		if c.urgency == Urgent && (urgent == nil || c.before(urgent)) {
			urgent = c
		}
	}
	return fair, urgent
}

// mayLead tells whether urgent work goes before the class whose turn it is.
func (q *Queue) mayLead(fair, urgent *class) bool {
	if urgent == nil || urgent == fair || fair.urgency == Urgent || fair.guaranteed() {
		return false
	}
	slots := valueOf(urgent.queue.Front()).slots()
	return q.ahead+slots <= max(1, q.capacity()/leadFraction)
}

// before orders classes by whose turn it is.
func (c *class) before(d *class) bool {
	if x, y := c.guaranteed(), d.guaranteed(); x != y {
		return x
	}
	if g, h := c.account.group, d.account.group; g != h {
		if o := compare(g.inUse, g.weight, h.inUse, h.weight); o != 0 {
			return o < 0
		}
		return g.name < h.name
	}
	if a, b := c.account, d.account; a != b {
		return a.before(b)
	}
	if o := compare(c.inUse, c.urgency.weight(), d.inUse, d.urgency.weight()); o != 0 {
		return o < 0
	}
	return c.urgency < d.urgency
}

// before orders the members of one group; accounts of different groups are
// ordered by name.
func (a *account) before(b *account) bool {
	if o := compare(a.inUse, a.member.Weight, b.inUse, b.member.Weight); o != 0 {
		return o < 0
	}
	if a.member.Name != b.member.Name {
		return a.member.Name < b.member.Name
	}
	return a.group.name < b.group.name
}

func (c *class) guaranteed() bool {
	return c.account.guaranteed(valueOf(c.queue.Front()).slots())
}

// compare compares the slots in use for each unit of weight.
func compare(inUse, weight, otherInUse, otherWeight int) int {
	return inUse*atLeastOne(otherWeight) - otherInUse*atLeastOne(weight)
}

// serve grants the first request of a class that fits on an endpoint; if the
// first one is too large for the free slots, an endpoint is reserved for it.
func (q *Queue) serve(c *class, ahead bool, now time.Time) (g Grant, granted bool) {
	tried := 0
	for at := c.queue.Front(); at != nil && tried < lookahead; at = at.Next() {
		tried++
		e := valueOf(at)
		if !q.mayTakeLong(e, now) || q.reserved.id == e.ID {
			continue
		}
		h := q.pick(e.Request)
		if h == nil {
			q.reserve(e)
			continue
		}
		if g, granted = q.grant(e, h.Name, ahead, now); granted {
			return g, true
		}
	}
	return g, false
}

func (q *Queue) grant(e *entry, endpoint string, ahead bool, now time.Time) (g Grant, granted bool) {
	g = Grant{Request: e.Request, Endpoint: endpoint, At: now, Until: until(e.Request, now), Ahead: ahead, Long: q.isLong(e.Request)}
	return g, q.take(e, g, now)
}

// take turns a queued request into a grant if the member's quota allows it.
func (q *Queue) take(e *entry, g Grant, now time.Time) (taken bool) {
	if q.Quota != nil && !q.Quota.Use(e.ID, e.Member, e.slots(), g.Until.Add(q.ClockError), now) {
		return false
	}
	c := e.class
	q.hold(g, c)
	q.remove(e)
	return true
}

// until returns the end of a lease that begins now.
func until(r Request, now time.Time) (end time.Time) {
	end = now.Add(r.longest() + grace)
	if r.Deadline.Before(end) {
		return r.Deadline
	}
	return end
}

// reserve keeps the endpoint with the fewest slots in use free for a request,
// so that smaller requests cannot keep it waiting for ever.
func (q *Queue) reserve(e *entry) {
	if q.reserved.id != "" {
		return
	}
	var best *host
	for _, n := range q.names {
		h := q.hosts[n]
		if h.Closed || e.slots() > h.Slots || h.avoidedBy(e.Request) {
			continue
		}
		if best == nil || h.free() > best.free() {
			best = h
		}
	}
	if best != nil {
		q.reserved = reservation{id: e.ID, endpoint: best.Name}
	}
}

// serveReserved grants the request that an endpoint is reserved for once it
// fits there, and gives up a reservation whose endpoint was closed.
func (q *Queue) serveReserved(now time.Time) (g Grant, granted bool) {
	if q.reserved.id == "" {
		return g, false
	}
	e, waits := q.waiting[q.reserved.id]
	h, found := q.hosts[q.reserved.endpoint]
	if !waits || !found || h.Closed || e.slots() > h.Slots {
		q.reserved = reservation{}
		return g, false
	}
	if !h.fits(e.slots()) {
		return g, false
	}
	g, granted = q.grant(e, h.Name, false, now)
	if !granted {
		q.reserved = reservation{}
	}
	return g, granted
}

// mayTakeLong tells whether a request may take slots that are kept from long
// work; a member's minimum is not subject to it.
func (q *Queue) mayTakeLong(e *entry, now time.Time) bool {
	if !q.isLong(e.Request) || !now.Before(q.urgentUntil) || e.class.account.guaranteed(e.slots()) {
		return true
	}
	capacity := q.capacity()
	return q.long+e.slots() <= capacity-(capacity+longReserve-1)/longReserve
}

// isLong tells whether work may hold its slots longer than urgent work may
// wait for them.
func (q *Queue) isLong(r Request) bool {
	return r.Urgency != Urgent && (r.Run <= 0 || r.Run > q.bound(Urgent))
}

func valueOf(e *list.Element) (x *entry) {
	x, _ = e.Value.(*entry)
	return x
}
