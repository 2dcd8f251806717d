package share

import (
	"container/list"
	"time"
)

// urgentAheadDivisor sets how many slots urgent requests may use that were
// served ahead of their fair turn: the capacity of the pool divided by it. A
// quarter leaves the others at least three quarters of their share, and lets
// urgent requests start after a quarter of the slots has been released.
const urgentAheadDivisor = 4

// longReserveDivisor sets how many slots long tasks must leave free: the
// capacity of the pool divided by it. An eighth is one slot of an endpoint that
// has eight.
const longReserveDivisor = 8

// urgentReserveTime is how long slots are kept free for urgent requests after
// the last of them arrived.
const urgentReserveTime = 10 * time.Minute

// maxLookahead is how many requests of a class are tried if the first ones do
// not fit on any endpoint.
const maxLookahead = 8

// leaseMargin is how long a lease lasts beyond the longest expected run time,
// as section 11 of the design requires.
const leaseMargin = 10 * time.Second

// Decide grants the requests that fit now and refuses those that can no longer
// start in time. Each decision takes O(members + endpoints).
func (q *Queue) Decide(now time.Time) (grants []Grant, refused []Refusal) {
	q.pass++
	refused = append(q.refuseExpired(now), q.shed(now)...)
	for {
		g, found := q.grantNext(now)
		if !found {
			return grants, refused
		}
		grants = append(grants, g)
	}
}

// grantNext issues one grant; granted is false if no request can be granted
// now.
func (q *Queue) grantNext(now time.Time) (g Grant, granted bool) {
	if g, granted = q.grantReserved(now); granted {
		return g, true
	}
	for len(q.waiting) > 0 && q.hasFreeEndpoint() {
		fair, urgent := q.firstClasses()
		if fair == nil {
			return g, false
		}
		if q.mayGoAhead(fair, urgent) {
			if g, granted = q.grantFromClass(urgent, true, now); granted {
				return g, true
			}
			urgent.skippedPass = q.pass
			continue
		}
		if g, granted = q.grantFromClass(fair, false, now); granted {
			return g, true
		}
		fair.skippedPass = q.pass
	}
	return g, false
}

// firstClasses returns the class that is first in fair order and the urgent
// class that is first among the urgent ones. Classes that were skipped in this
// pass are left out.
func (q *Queue) firstClasses() (fair, urgent *class) {
	for c := range q.backlogged() {
		if c.skippedPass == q.pass {
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

// mayGoAhead reports whether the urgent class is served before the class that
// is first in fair order.
func (q *Queue) mayGoAhead(fair, urgent *class) bool {
	if urgent == nil || urgent == fair || fair.urgency == Urgent || fair.withinMinimum() {
		return false
	}
	slots := queuedRequestOf(urgent.queue.Front()).slots()
	return q.aheadInUse+slots <= max(1, q.capacity()/urgentAheadDivisor)
}

// before orders classes by fair turn: requests within a minimum first, then by
// the slots in use for the weight of the group, the member and the urgency.
func (c *class) before(d *class) bool {
	if x, y := c.withinMinimum(), d.withinMinimum(); x != y {
		return x
	}
	if g, h := c.account.group, d.account.group; g != h {
		if o := compareUsage(g.inUse, g.weight, h.inUse, h.weight); o != 0 {
			return o < 0
		}
		return g.name < h.name
	}
	if a, b := c.account, d.account; a != b {
		return a.before(b)
	}
	if o := compareUsage(c.inUse, c.urgency.weight(), d.inUse, d.urgency.weight()); o != 0 {
		return o < 0
	}
	return c.urgency < d.urgency
}

// before orders accounts by the slots in use for the weight of the member;
// equal ones by the names of member and group.
func (a *account) before(b *account) bool {
	if o := compareUsage(a.inUse, a.member.Weight, b.inUse, b.member.Weight); o != 0 {
		return o < 0
	}
	if a.member.Name != b.member.Name {
		return a.member.Name < b.member.Name
	}
	return a.group.name < b.group.name
}

func (c *class) withinMinimum() bool {
	return c.account.withinMinimum(queuedRequestOf(c.queue.Front()).slots())
}

// compareUsage compares the slots in use per unit of weight.
func compareUsage(inUse, weight, otherInUse, otherWeight int) int {
	return inUse*effectiveWeight(otherWeight) - otherInUse*effectiveWeight(weight)
}

// grantFromClass grants the first request of a class that fits on an endpoint.
// For a request that is too large for the free slots of every endpoint, it
// reserves one.
func (q *Queue) grantFromClass(c *class, ahead bool, now time.Time) (g Grant, granted bool) {
	tried := 0
	for at := c.queue.Front(); at != nil && tried < maxLookahead; at = at.Next() {
		tried++
		e := queuedRequestOf(at)
		if !q.withinLongLimit(e, now) || q.reserved.id == e.ID {
			continue
		}
		s := q.pickEndpoint(e.Request)
		if s == nil {
			q.reserveEndpoint(e)
			continue
		}
		if g, granted = q.grantRequest(e, s.Name, ahead, now); granted {
			return g, true
		}
	}
	return g, false
}

func (q *Queue) grantRequest(e *queuedRequest, endpoint string, ahead bool, now time.Time) (g Grant, granted bool) {
	g = Grant{Request: e.Request, Endpoint: endpoint, At: now, Until: leaseEnd(e.Request, now), Ahead: ahead, Long: q.isLong(e.Request)}
	return g, q.tryGrant(e, g, now)
}

// tryGrant turns a queued request into a grant if the quota of the member
// allows it.
func (q *Queue) tryGrant(e *queuedRequest, g Grant, now time.Time) (granted bool) {
	if q.Quota != nil && !q.Quota.Use(e.ID, e.Member, e.slots(), g.Until.Add(q.ClockError), now) {
		return false
	}
	c := e.class
	q.addGrant(g, c)
	q.dequeue(e)
	return true
}

// leaseEnd returns the end of a lease that begins now, at most the deadline of
// the request.
func leaseEnd(r Request, now time.Time) (end time.Time) {
	end = now.Add(r.longestRun() + leaseMargin)
	if r.Deadline.Before(end) {
		return r.Deadline
	}
	return end
}

// reserveEndpoint reserves the endpoint with the most free slots for a request,
// so that smaller requests cannot delay it indefinitely.
func (q *Queue) reserveEndpoint(e *queuedRequest) {
	if q.reserved.id != "" {
		return
	}
	var best *endpointState
	for _, n := range q.endpointNames {
		s := q.endpoints[n]
		if s.Closed || e.slots() > s.Slots || s.avoidedBy(e.Request) {
			continue
		}
		if best == nil || s.free() > best.free() {
			best = s
		}
	}
	if best != nil {
		q.reserved = reservation{id: e.ID, endpoint: best.Name}
	}
}

// grantReserved grants the request with the reservation once it fits on the
// reserved endpoint. The reservation ends if the request is no longer queued,
// the endpoint is closed, gone or too small, or the quota does not allow the
// grant.
func (q *Queue) grantReserved(now time.Time) (g Grant, granted bool) {
	if q.reserved.id == "" {
		return g, false
	}
	e, queued := q.waiting[q.reserved.id]
	s, found := q.endpoints[q.reserved.endpoint]
	if !queued || !found || s.Closed || e.slots() > s.Slots {
		q.reserved = reservation{}
		return g, false
	}
	if !s.fits(e.slots()) {
		return g, false
	}
	g, granted = q.grantRequest(e, s.Name, false, now)
	if !granted {
		q.reserved = reservation{}
	}
	return g, granted
}

// withinLongLimit reports whether a request leaves free the slots that long
// tasks must not take. Requests within a minimum are exempt.
func (q *Queue) withinLongLimit(e *queuedRequest, now time.Time) bool {
	if !q.isLong(e.Request) || !now.Before(q.urgentUntil) || e.class.account.withinMinimum(e.slots()) {
		return true
	}
	capacity := q.capacity()
	return q.longInUse+e.slots() <= capacity-(capacity+longReserveDivisor-1)/longReserveDivisor
}

// isLong reports whether a task may hold its slots longer than an urgent
// request may wait for them.
func (q *Queue) isLong(r Request) bool {
	return r.Urgency != Urgent && (r.Run <= 0 || r.Run > q.maxWait(Urgent))
}

func queuedRequestOf(e *list.Element) (x *queuedRequest) {
	x, _ = e.Value.(*queuedRequest)
	return x
}
