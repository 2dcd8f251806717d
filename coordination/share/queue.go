package share

import (
	"container/list"
	"time"
)

// Bounds are the longest waits by urgency; zero fields have the defaults.
type Bounds struct {
	// Urgent leaves 0.3 s of the 3.3 s within which urgent work has to start
	// for the way to the endpoint; zero counts as 3 s.
	Urgent time.Duration
	// Normal is what a caller waits for an answer; zero counts as 30 s.
	Normal time.Duration
	// Batch bounds the backlog of work that can wait; zero counts as 10 min.
	Batch time.Duration
}

// Room bounds the queue; zero fields have the defaults.
type Room struct {
	// Requests is the most requests in the queue; zero counts as 10,000.
	Requests int
	// Bytes is the most memory that the queued requests take; zero counts as
	// 8 MB, a quarter of the 32 MB that a node may spend on control.
	Bytes int
}

// Quota is what the members may use in this queue under their caps.
type Quota interface {
	// Expected is how many slots the member can expect to use here at most.
	Expected(member string, now time.Time) (slots int)
	// Use takes slots until a time; false means that the quota does not allow it.
	Use(id, member string, slots int, until, now time.Time) (allowed bool)
	// Release gives back what Use took.
	Release(id string)
}

// Queue shares the slots of one pool among its members; the zero value is
// ready. It is not safe for concurrent use.
type Queue struct {
	Bounds Bounds
	Room   Room
	// Quota bounds the members' use; nil means no bound.
	Quota Quota
	// ClockError is added to a grant's end before its slots are taken back.
	ClockError time.Duration

	hosts    map[string]*host
	names    []string
	overflow Overflow
	members  map[string]*party
	weights  map[string]int
	groups   map[string]*group
	order    []*group

	waiting map[string]*entry
	latest  deadlines[*entry]
	grants  map[string]*held
	ends    deadlines[*held]
	bytes   int

	// away is the slots in use on endpoints of other pools.
	away int
	// ahead is the slots in use by urgent work served before its fair turn.
	ahead int
	// long is the slots in use by grants marked as long.
	long int
	// urgentUntil is when slots are no longer kept for urgent work.
	urgentUntil time.Time
	reserved    reservation
	typical     float64
	pass        int64
	serial      int64
	recheck     bool
	checkAt     time.Time
}

// entry is a queued request.
type entry struct {
	Request
	class   *class
	element *list.Element
	latest  time.Time
	allowed time.Duration
	// work is the slot-seconds that the request adds to its class.
	work  float64
	index int
}

func (e *entry) due() time.Time { return e.latest }
func (e *entry) position() *int { return &e.index }

// held is a grant that was not released.
type held struct {
	Grant
	class *class
	end   time.Time
	index int
}

func (h *held) due() time.Time { return h.end }
func (h *held) position() *int { return &h.index }

// reservation keeps an endpoint free for a request that needs more slots than
// any endpoint has free.
type reservation struct {
	id       string
	endpoint string
}

// Push queues a request or refuses it at once; when the queue is full, another
// request may be refused instead.
func (q *Queue) Push(r Request, now time.Time) (refused []Refusal) {
	r.Arrived = now
	if r.Urgency == Urgent {
		q.urgentUntil = now.Add(urgentMemory)
	}
	refusal, isRefused := q.admit(r, now)
	if isRefused {
		return []Refusal{q.refuse(refusal)}
	}
	evicted, hasRoom := q.makeRoom(r)
	if !hasRoom {
		return append(evicted, q.refuse(Refusal{Request: r, Reason: QueueFull, Queued: len(q.waiting)}))
	}
	q.enqueue(r, now)
	return evicted
}

// Cancel drops a queued request; found is false if none has the ID.
func (q *Queue) Cancel(id string) (found bool) {
	e, found := q.waiting[id]
	if found {
		q.remove(e)
	}
	return found
}

// Queued tells whether a request waits in the queue.
func (q *Queue) Queued(id string) bool {
	_, found := q.waiting[id]
	return found
}

// Granted returns the grant with an ID that was not released.
func (q *Queue) Granted(id string) (g Grant, found bool) {
	h, found := q.grants[id]
	if !found {
		return g, false
	}
	return h.Grant, true
}

// Release gives the slots of a grant back.
func (q *Queue) Release(id string) (g Grant, found bool) {
	h, found := q.grants[id]
	if !found {
		return g, false
	}
	q.drop(h)
	return h.Grant, true
}

// Overdue takes back the grants that were not released by their end and the
// clock error.
func (q *Queue) Overdue(now time.Time) (ended []Grant) {
	for {
		h, found := q.ends.first()
		if !found || now.Before(h.end) {
			return ended
		}
		q.drop(h)
		ended = append(ended, h.Grant)
	}
}

// Next returns when Decide or Overdue has something to do without any other
// event; found is false if never.
func (q *Queue) Next() (at time.Time, found bool) {
	if e, some := q.latest.first(); some {
		at, found = e.latest, true
		if q.checkAt.Before(at) {
			at = q.checkAt
		}
	}
	if h, some := q.ends.first(); some && (!found || h.end.Before(at)) {
		at, found = h.end, true
	}
	return at, found
}

func (q *Queue) enqueue(r Request, now time.Time) {
	c := q.class(r)
	allowed := q.allowed(r, now)
	e := &entry{Request: r, class: c, allowed: allowed, latest: now.Add(allowed), work: q.work(r)}
	e.element = c.queue.PushBack(e)
	if q.waiting == nil {
		q.waiting = make(map[string]*entry)
	}
	q.waiting[r.ID] = e
	q.latest.push(e)
	q.bytes += r.size()
	c.count(1, r.slots())
	c.work += e.work
}

func (q *Queue) remove(e *entry) {
	c := e.class
	c.queue.Remove(e.element)
	delete(q.waiting, e.ID)
	q.latest.remove(e)
	q.bytes -= e.size()
	c.count(-1, -e.slots())
	c.work -= e.work
	if c.queue.Len() == 0 {
		c.work = 0 // clears what rounding left over
	}
	if q.reserved.id == e.ID {
		q.reserved = reservation{}
	}
	q.forget(c.account)
}

// hold turns a request into a grant; the caller has checked that it fits.
func (q *Queue) hold(g Grant, c *class) {
	h := &held{Grant: g, class: c, end: g.Until.Add(q.ClockError)}
	if q.grants == nil {
		q.grants = make(map[string]*held)
	}
	q.grants[g.Request.ID] = h
	q.ends.push(h)
	c.account.member.granted++
	q.account(h, g.Request.slots(), 1)
}

func (q *Queue) drop(h *held) {
	delete(q.grants, h.Request.ID)
	q.ends.remove(h)
	q.account(h, -h.Request.slots(), -1)
	if q.Quota != nil {
		q.Quota.Release(h.Request.ID)
	}
	q.forget(h.class.account)
}

// account adds the slots of a grant to all sums that it belongs to.
func (q *Queue) account(h *held, slots, grants int) {
	h.class.use(slots)
	if h.Ahead {
		q.ahead += slots
	}
	if h.Long {
		q.long += slots
	}
	if h.Away {
		q.away += slots
		return
	}
	if t, found := q.hosts[h.Endpoint]; found {
		t.inUse += slots
		t.grants += grants
		if grants > 0 {
			q.serial++
			t.last = q.serial
		}
	}
}

func (q *Queue) refuse(r Refusal) Refusal {
	q.party(r.Request.Member).refuse(r.Reason)
	return r
}
