package share

import (
	"iter"
	"slices"
	"time"
)

// Default bounds of the queue; Bounds and Room tell where they come from.
const (
	defaultUrgentWait = 3 * time.Second
	defaultNormalWait = 30 * time.Second
	defaultBatchWait  = 10 * time.Minute
	defaultRequests   = 10_000
	defaultBytes      = 8 << 20
)

// requestBytes is the memory of a queued request besides its strings.
const requestBytes = 400

// shortestRun is left before the deadline whatever run time is expected, so
// that a refusal reaches the caller in time.
const shortestRun = 50 * time.Millisecond

// recheckEvery is how often the queue compares its bounds with new estimates.
const recheckEvery = 250 * time.Millisecond

// recheckSlack keeps requests that were admitted at the bound from being
// refused for small changes of the estimate.
const recheckSlack = 1.25

// admit tells whether a request has to be refused on arrival.
func (q *Queue) admit(r Request, now time.Time) (refusal Refusal, refused bool) {
	refusal = Refusal{Request: r, Queued: len(q.waiting), Slots: q.capacity()}
	_, granted := q.grants[r.ID]
	open, largest := q.reachable(r)
	switch {
	case granted || q.Queued(r.ID):
		refusal.Reason = Duplicate
	case !now.Before(r.Deadline):
		refusal.Reason = DeadlinePassed
	case largest == 0:
		refusal.Reason = NoEndpoint
	case r.slots() > largest:
		refusal.Reason, refusal.Slots = TooLarge, largest
	case !open:
		refusal.Reason = NoEndpoint
	default:
		return q.admitWait(refusal, now)
	}
	return refusal, true
}

func (q *Queue) admitWait(refusal Refusal, now time.Time) (r Refusal, refused bool) {
	refusal.Reason = WaitTooLong
	refusal.Estimate = q.Estimate(refusal.Request, now)
	refusal.Allowed = q.allowed(refusal.Request, now)
	if refusal.Estimate == never {
		// The member's part of its cap is not known yet, or all of it is lent or
		// in use elsewhere; the request waits at most as long as is allowed.
		return refusal, refusal.Allowed <= 0
	}
	return refusal, refusal.Estimate > refusal.Allowed
}

// allowed returns the longest wait that meets the bound of the urgency and
// leaves the expected run time before the deadline.
func (q *Queue) allowed(r Request, now time.Time) (wait time.Duration) {
	run := max(shortestRun, time.Duration(q.run(r)*float64(time.Second)))
	return max(0, min(q.bound(r.Urgency), r.Deadline.Sub(now)-run))
}

func (q *Queue) bound(u Urgency) (wait time.Duration) {
	switch u {
	case Urgent:
		return either(q.Bounds.Urgent, defaultUrgentWait)
	case Normal:
		return either(q.Bounds.Normal, defaultNormalWait)
	default:
		return either(q.Bounds.Batch, defaultBatchWait)
	}
}

// makeRoom makes room for a request by refusing the newest requests of the
// member that has the most of them queued for its weight.
func (q *Queue) makeRoom(r Request) (evicted []Refusal, hasRoom bool) {
	for len(q.waiting) >= either(q.Room.Requests, defaultRequests) ||
		q.bytes+r.size() > either(q.Room.Bytes, defaultBytes) {
		crowd := q.largestCrowd(r)
		if crowd == nil {
			return evicted, false
		}
		e := crowd.newest()
		evicted = append(evicted, q.refuse(Refusal{Request: e.Request, Reason: QueueFull, Queued: len(q.waiting)}))
		q.remove(e)
	}
	return evicted, true
}

// largestCrowd returns the account with the most requests for its weight, or
// nil if the account of the new request would be that one.
func (q *Queue) largestCrowd(r Request) (most *account) {
	own := 1
	weight := 1
	if c := q.find(r); c != nil {
		own += c.account.queued
	}
	if p, found := q.members[r.Member]; found {
		weight = atLeastOne(p.Weight)
	}
	for _, g := range q.order {
		for _, a := range g.accounts {
			if a.queued > 0 && (most == nil || a.moreCrowded(most)) {
				most = a
			}
		}
	}
	if most == nil || most.queued*weight <= own*atLeastOne(most.member.Weight) {
		return nil
	}
	return most
}

func (a *account) moreCrowded(b *account) bool {
	left, right := a.queued*atLeastOne(b.member.Weight), b.queued*atLeastOne(a.member.Weight)
	if left != right {
		return left > right
	}
	return a.before(b)
}

// newest returns the last request of the least urgent class.
func (a *account) newest() (last *entry) {
	for u := urgencies - 1; u >= 0; u-- {
		if e := a.classes[u].queue.Back(); e != nil {
			return valueOf(e)
		}
	}
	return nil
}

// expire refuses the requests whose latest start has passed.
func (q *Queue) expire(now time.Time) (refused []Refusal) {
	for {
		e, found := q.latest.first()
		if !found || !e.latest.Before(now) {
			return refused
		}
		refused = append(refused, q.refuse(Refusal{
			Request:  e.Request,
			Reason:   WaitedTooLong,
			Estimate: now.Sub(e.Arrived),
			Allowed:  e.allowed,
			Queued:   len(q.waiting),
			Slots:    q.capacity(),
		}))
		q.remove(e)
	}
}

// shed refuses the last requests of the classes whose estimated wait no longer
// meets the bound; it does so when the capacity fell and every recheckEvery.
func (q *Queue) shed(now time.Time) (refused []Refusal) {
	if len(q.waiting) == 0 || (!q.recheck && now.Before(q.checkAt)) {
		return nil
	}
	q.recheck = false
	q.checkAt = now.Add(recheckEvery)
	for _, c := range slices.Collect(q.backlogged()) {
		refused = append(refused, q.shedClass(c, now)...)
	}
	return refused
}

func (q *Queue) shedClass(c *class, now time.Time) (refused []Refusal) {
	rate := q.rate(Request{Group: c.account.group.name, Member: c.account.member.Name, Urgency: c.urgency}, now)
	for c.queue.Len() > 0 {
		e := valueOf(c.queue.Back())
		wait := waitFor(c.work, rate)
		left := e.latest.Sub(now)
		if wait == never || wait <= time.Duration(float64(left)*recheckSlack) || q.pick(e.Request) != nil {
			return refused
		}
		refused = append(refused, q.refuse(Refusal{
			Request:  e.Request,
			Reason:   WaitTooLong,
			Estimate: wait,
			Allowed:  left,
			Queued:   len(q.waiting),
			Slots:    q.capacity(),
		}))
		q.remove(e)
	}
	return refused
}

// backlogged yields the classes with queued requests.
func (q *Queue) backlogged() iter.Seq[*class] {
	return func(yield func(*class) bool) {
		for _, g := range q.order {
			if g.queued > 0 && !g.backlogged(yield) {
				return
			}
		}
	}
}

func (g *group) backlogged(yield func(*class) bool) (goOn bool) {
	for _, a := range g.accounts {
		if a.queued == 0 {
			continue
		}
		for u := range urgencies {
			if a.classes[u].queue.Len() > 0 && !yield(&a.classes[u]) {
				return false
			}
		}
	}
	return true
}

// size returns the memory of the request in the queue, in bytes.
func (r Request) size() (bytes int) {
	bytes = requestBytes + len(r.ID) + len(r.Group) + len(r.Member)
	for _, name := range r.Avoid {
		bytes += len(name)
	}
	return bytes
}

// either returns the value, or the default for zero.
func either[T time.Duration | int](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}
