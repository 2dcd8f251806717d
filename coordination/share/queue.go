package share

import (
	"container/list"
	"time"
)

// WaitLimits are the longest waits by urgency; zero fields mean the defaults.
type WaitLimits struct {
	// Urgent leaves 0.3 s of the 3.3 s within which urgent requests have to
	// start for the transfer to the endpoint; zero means 3 s.
	Urgent time.Duration
	// Normal is how long a caller waits for an answer; zero means 30 s.
	Normal time.Duration
	// Batch limits the backlog of requests that can wait; zero means 10 min.
	Batch time.Duration
}

// SizeLimits limits the size of the queue; zero fields mean the defaults.
type SizeLimits struct {
	// Requests is the most requests in the queue; zero means 10,000.
	Requests int
	// Bytes is the most memory that the queued requests take; zero means 8 MB,
	// a quarter of the 32 MB that a node may spend on control.
	Bytes int
}

// Quota limits what the members may use in this queue under their caps.
type Quota interface {
	// Expected returns the most slots that the member can expect to use here.
	Expected(member string, now time.Time) (slots int)
	// Use takes slots until a time; allowed is false if the quota does not
	// permit it.
	Use(id, member string, slots int, until, now time.Time) (allowed bool)
	// Release gives back the slots that Use took.
	Release(id string)
}

// Queue shares the slots of one pool among its members. The zero value is ready
// to use. It is not safe for concurrent use.
type Queue struct {
	WaitLimits WaitLimits
	SizeLimits SizeLimits
	// Quota limits the use of the members; nil means no limit.
	Quota Quota
	// ClockError is added to the end of a grant before its slots are taken
	// back.
	ClockError time.Duration

	endpoints     map[string]*endpointState
	endpointNames []string
	overflow      Overflow
	members       map[string]*memberTotals
	groupWeights  map[string]int
	groups        map[string]*group
	groupList     []*group

	waiting        map[string]*queuedRequest
	startDeadlines deadlineHeap[*queuedRequest]
	grants         map[string]*heldGrant
	grantEnds      deadlineHeap[*heldGrant]
	queuedBytes    int

	// outsideInUse is the slots in use on endpoints of other pools.
	outsideInUse int
	// aheadInUse is the slots in use by urgent requests that were served before
	// their fair turn.
	aheadInUse int
	// longInUse is the slots in use by grants marked as long.
	longInUse int
	// urgentUntil is the time until which slots are kept free for urgent
	// requests.
	urgentUntil       time.Time
	reserved          reservation
	typicalRunSeconds float64
	pass              int64
	grantSerial       int64
	recheckNow        bool
	nextRecheck       time.Time
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	Request
	class       *class
	element     *list.Element
	latestStart time.Time
	allowedWait time.Duration
	// work is the slot-seconds that the request adds to its class.
	work      float64
	heapIndex int
}

func (e *queuedRequest) due() time.Time { return e.latestStart }
func (e *queuedRequest) position() *int { return &e.heapIndex }

// heldGrant is a grant that has not been released.
type heldGrant struct {
	Grant
	class     *class
	end       time.Time
	heapIndex int
}

func (h *heldGrant) due() time.Time { return h.end }
func (h *heldGrant) position() *int { return &h.heapIndex }

// reservation keeps an endpoint free for a request that needs more slots than
// any endpoint has free.
type reservation struct {
	id       string
	endpoint string
}

// Push queues a request or refuses it at once. If the queue is full, other
// requests may be refused to make room.
func (q *Queue) Push(r Request, now time.Time) (refused []Refusal) {
	r.Arrived = now
	if r.Urgency == Urgent {
		q.urgentUntil = now.Add(urgentReserveTime)
	}
	refusal, isRefused := q.checkAdmission(r, now)
	if isRefused {
		return []Refusal{q.recordRefusal(refusal)}
	}
	evicted, hasRoom := q.evictFor(r)
	if !hasRoom {
		return append(evicted, q.recordRefusal(Refusal{Request: r, Reason: QueueFull, Queued: len(q.waiting)}))
	}
	q.enqueue(r, now)
	return evicted
}

// Cancel removes a queued request; found is false if none has the ID.
func (q *Queue) Cancel(id string) (found bool) {
	e, found := q.waiting[id]
	if found {
		q.dequeue(e)
	}
	return found
}

// Queued reports whether a request is in the queue.
func (q *Queue) Queued(id string) bool {
	_, found := q.waiting[id]
	return found
}

// Granted returns the grant with an ID if it has not been released.
func (q *Queue) Granted(id string) (g Grant, found bool) {
	h, found := q.grants[id]
	if !found {
		return g, false
	}
	return h.Grant, true
}

// Release frees the slots of a grant.
func (q *Queue) Release(id string) (g Grant, found bool) {
	h, found := q.grants[id]
	if !found {
		return g, false
	}
	q.removeGrant(h)
	return h.Grant, true
}

// ExpireGrants takes back the grants that were not released by their end plus the
// clock error.
func (q *Queue) ExpireGrants(now time.Time) (ended []Grant) {
	for {
		h, found := q.grantEnds.first()
		if !found || now.Before(h.end) {
			return ended
		}
		q.removeGrant(h)
		ended = append(ended, h.Grant)
	}
}

// NextDeadline returns when Decide or ExpireGrants has to be called if nothing else happens;
// found is false if never.
func (q *Queue) NextDeadline() (at time.Time, found bool) {
	if e, exists := q.startDeadlines.first(); exists {
		at, found = e.latestStart, true
		if q.nextRecheck.Before(at) {
			at = q.nextRecheck
		}
	}
	if h, exists := q.grantEnds.first(); exists && (!found || h.end.Before(at)) {
		at, found = h.end, true
	}
	return at, found
}

func (q *Queue) enqueue(r Request, now time.Time) {
	c := q.ensureClass(r)
	allowed := q.allowedWait(r, now)
	e := &queuedRequest{Request: r, class: c, allowedWait: allowed, latestStart: now.Add(allowed), work: q.expectedWork(r)}
	e.element = c.queue.PushBack(e)
	if q.waiting == nil {
		q.waiting = make(map[string]*queuedRequest)
	}
	q.waiting[r.ID] = e
	q.startDeadlines.push(e)
	q.queuedBytes += r.size()
	c.addQueued(1, r.slots())
	c.queuedWork += e.work
}

func (q *Queue) dequeue(e *queuedRequest) {
	c := e.class
	c.queue.Remove(e.element)
	delete(q.waiting, e.ID)
	q.startDeadlines.remove(e)
	q.queuedBytes -= e.size()
	c.addQueued(-1, -e.slots())
	c.queuedWork -= e.work
	if c.queue.Len() == 0 {
		c.queuedWork = 0 // clears the rounding error
	}
	if q.reserved.id == e.ID {
		q.reserved = reservation{}
	}
	q.removeIfIdle(c.account)
}

// addGrant records a grant; the caller has checked that it fits.
func (q *Queue) addGrant(g Grant, c *class) {
	h := &heldGrant{Grant: g, class: c, end: g.Until.Add(q.ClockError)}
	if q.grants == nil {
		q.grants = make(map[string]*heldGrant)
	}
	q.grants[g.Request.ID] = h
	q.grantEnds.push(h)
	c.account.member.granted++
	q.adjustInUse(h, g.Request.slots(), 1)
}

func (q *Queue) removeGrant(h *heldGrant) {
	delete(q.grants, h.Request.ID)
	q.grantEnds.remove(h)
	q.adjustInUse(h, -h.Request.slots(), -1)
	if q.Quota != nil {
		q.Quota.Release(h.Request.ID)
	}
	q.removeIfIdle(h.class.account)
}

// adjustInUse adds slots and grants to all counters that the grant belongs to;
// negative numbers subtract.
func (q *Queue) adjustInUse(h *heldGrant, slots, grants int) {
	h.class.addInUse(slots)
	if h.Ahead {
		q.aheadInUse += slots
	}
	if h.Long {
		q.longInUse += slots
	}
	if h.Outside {
		q.outsideInUse += slots
		return
	}
	if s, found := q.endpoints[h.Endpoint]; found {
		s.inUse += slots
		s.grants += grants
		if grants > 0 {
			q.grantSerial++
			s.lastGrant = q.grantSerial
		}
	}
}

func (q *Queue) recordRefusal(r Refusal) Refusal {
	q.ensureMember(r.Request.Member).countRefusal(r.Reason)
	return r
}
