package share

import (
	"iter"
	"slices"
	"time"
)

// Default limits of the queue; the fields of WaitLimits and SizeLimits give the
// reasons.
const (
	defaultMaxUrgentWait = 3 * time.Second
	defaultMaxNormalWait = 30 * time.Second
	defaultMaxBatchWait  = 10 * time.Minute
	defaultMaxRequests   = 10_000
	defaultMaxBytes      = 8 << 20
)

// requestOverheadBytes is the memory of a queued request without its strings.
const requestOverheadBytes = 400

// minRunTime is left before the deadline even if the expected run time is
// shorter, so that a refusal reaches the caller in time.
const minRunTime = 50 * time.Millisecond

// recheckInterval is the time between checks of queued requests against new
// estimates of their wait.
const recheckInterval = 250 * time.Millisecond

// recheckTolerance is the factor by which an estimate may exceed the time left
// before the request is refused. It keeps small changes of the estimate from
// causing the refusal of requests that were admitted at the limit.
const recheckTolerance = 1.25

// checkAdmission decides whether a request is refused on arrival, and why.
func (q *Queue) checkAdmission(r Request, now time.Time) (refusal Refusal, refused bool) {
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
		return q.checkWait(refusal, now)
	}
	return refusal, true
}

// checkWait refuses a request whose estimated wait exceeds the allowed wait.
func (q *Queue) checkWait(refusal Refusal, now time.Time) (r Refusal, refused bool) {
	refusal.Reason = WaitTooLong
	refusal.Estimate = q.Estimate(refusal.Request, now)
	refusal.Allowed = q.allowedWait(refusal.Request, now)
	if refusal.Estimate == unboundedWait {
		// No slots can be expected: the quota of the member is not known yet, or
		// all of it is lent or in use elsewhere. The request may still be queued
		// for the allowed wait.
		return refusal, refusal.Allowed <= 0
	}
	return refusal, refusal.Estimate > refusal.Allowed
}

// allowedWait returns the longest wait that meets the limit of the urgency and
// leaves the expected run time before the deadline.
func (q *Queue) allowedWait(r Request, now time.Time) (wait time.Duration) {
	run := max(minRunTime, time.Duration(q.expectedRunSeconds(r)*float64(time.Second)))
	return max(0, min(q.maxWait(r.Urgency), r.Deadline.Sub(now)-run))
}

func (q *Queue) maxWait(u Urgency) (wait time.Duration) {
	switch u {
	case Urgent:
		return orDefault(q.WaitLimits.Urgent, defaultMaxUrgentWait)
	case Normal:
		return orDefault(q.WaitLimits.Normal, defaultMaxNormalWait)
	default:
		return orDefault(q.WaitLimits.Batch, defaultMaxBatchWait)
	}
}

// evictFor makes room for a request by refusing the newest requests of the
// account that has the most of them queued for its weight.
func (q *Queue) evictFor(r Request) (evicted []Refusal, hasRoom bool) {
	for len(q.waiting) >= orDefault(q.SizeLimits.Requests, defaultMaxRequests) ||
		q.queuedBytes+r.size() > orDefault(q.SizeLimits.Bytes, defaultMaxBytes) {
		victim := q.evictionCandidate(r)
		if victim == nil {
			return evicted, false
		}
		e := victim.newestRequest()
		evicted = append(evicted, q.recordRefusal(Refusal{Request: e.Request, Reason: QueueFull, Queued: len(q.waiting)}))
		q.dequeue(e)
	}
	return evicted, true
}

// evictionCandidate returns the account with the most queued requests for its
// weight, or nil if no account would have more than that of the new request.
func (q *Queue) evictionCandidate(r Request) (candidate *account) {
	ownQueued := 1
	ownWeight := 1
	if c := q.findClass(r); c != nil {
		ownQueued += c.account.queued
	}
	if p, found := q.members[r.Member]; found {
		ownWeight = effectiveWeight(p.Weight)
	}
	for _, g := range q.groupList {
		for _, a := range g.accounts {
			if a.queued > 0 && (candidate == nil || a.hasMoreQueued(candidate)) {
				candidate = a
			}
		}
	}
	if candidate == nil || candidate.queued*ownWeight <= ownQueued*effectiveWeight(candidate.member.Weight) {
		return nil
	}
	return candidate
}

func (a *account) hasMoreQueued(b *account) bool {
	left, right := a.queued*effectiveWeight(b.member.Weight), b.queued*effectiveWeight(a.member.Weight)
	if left != right {
		return left > right
	}
	return a.before(b)
}

// newestRequest returns the last request of the least urgent class that has
// one.
func (a *account) newestRequest() (last *queuedRequest) {
	for u := urgencyCount - 1; u >= 0; u-- {
		if e := a.classes[u].queue.Back(); e != nil {
			return queuedRequestOf(e)
		}
	}
	return nil
}

// refuseExpired refuses the requests whose latest start has passed.
func (q *Queue) refuseExpired(now time.Time) (refused []Refusal) {
	for {
		e, found := q.startDeadlines.first()
		if !found || !e.latestStart.Before(now) {
			return refused
		}
		refused = append(refused, q.recordRefusal(Refusal{
			Request:  e.Request,
			Reason:   WaitedTooLong,
			Estimate: now.Sub(e.Arrived),
			Allowed:  e.allowedWait,
			Queued:   len(q.waiting),
			Slots:    q.capacity(),
		}))
		q.dequeue(e)
	}
}

// shed refuses the last requests of each class whose estimated wait exceeds the
// time left. It runs at once when the capacity fell, and otherwise every
// recheckInterval.
func (q *Queue) shed(now time.Time) (refused []Refusal) {
	if len(q.waiting) == 0 || (!q.recheckNow && now.Before(q.nextRecheck)) {
		return nil
	}
	q.recheckNow = false
	q.nextRecheck = now.Add(recheckInterval)
	for _, c := range slices.Collect(q.backlogged()) {
		refused = append(refused, q.shedClass(c, now)...)
	}
	return refused
}

func (q *Queue) shedClass(c *class, now time.Time) (refused []Refusal) {
	classSlots := q.classShare(Request{Group: c.account.group.name, Member: c.account.member.Name, Urgency: c.urgency}, now)
	for c.queue.Len() > 0 {
		e := queuedRequestOf(c.queue.Back())
		wait := waitFor(c.queuedWork, classSlots)
		left := e.latestStart.Sub(now)
		if wait == unboundedWait || wait <= time.Duration(float64(left)*recheckTolerance) || q.pickEndpoint(e.Request) != nil {
			return refused
		}
		refused = append(refused, q.recordRefusal(Refusal{
			Request:  e.Request,
			Reason:   WaitTooLong,
			Estimate: wait,
			Allowed:  left,
			Queued:   len(q.waiting),
			Slots:    q.capacity(),
		}))
		q.dequeue(e)
	}
	return refused
}

// backlogged yields the classes with queued requests.
func (q *Queue) backlogged() iter.Seq[*class] {
	return func(yield func(*class) bool) {
		for _, g := range q.groupList {
			if g.queued > 0 && !g.backlogged(yield) {
				return
			}
		}
	}
}

func (g *group) backlogged(yield func(*class) bool) (more bool) {
	for _, a := range g.accounts {
		if a.queued == 0 {
			continue
		}
		for u := range urgencyCount {
			if a.classes[u].queue.Len() > 0 && !yield(&a.classes[u]) {
				return false
			}
		}
	}
	return true
}

// size returns the memory that the request takes in the queue, in bytes.
func (r Request) size() (bytes int) {
	bytes = requestOverheadBytes + len(r.ID) + len(r.Group) + len(r.Member)
	for _, name := range r.Avoid {
		bytes += len(name)
	}
	return bytes
}

// orDefault returns the value, or the fallback if the value is zero.
func orDefault[T time.Duration | int](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
