package share

import "slices"

// Endpoint is what the queue knows of one endpoint of the pool.
type Endpoint struct {
	Name string
	// Slots is how many slots the endpoint declares.
	Slots int
	// Limit is how many slots may be in use at once; zero means Slots.
	Limit int
	// Busy is how many slots are in use by tasks that this queue did not grant.
	Busy int
	// Closed keeps new work away; work in flight goes on.
	Closed bool
	// Held keeps new work away for a moment: the endpoint counts for admission
	// but gets no grants.
	Held bool
}

type host struct {
	Endpoint
	inUse  int
	grants int
	// last is the serial number of the last grant here.
	last int64
}

func (h *host) limit() int {
	if h.Limit <= 0 || h.Limit > h.Slots {
		return h.Slots
	}
	return h.Limit
}

func (h *host) free() int {
	if h.Closed || h.Held {
		return 0
	}
	return max(0, h.limit()-h.inUse-h.Busy)
}

// fits lets a request that is larger than the limit run alone on the endpoint,
// because a limit below its size would otherwise keep it out for ever.
func (h *host) fits(slots int) bool {
	if h.Closed || h.Held {
		return false
	}
	return slots <= h.free() || (h.inUse+h.Busy == 0 && slots <= h.Slots)
}

func (h *host) avoidedBy(r Request) bool {
	return len(r.Avoid) > 0 && slices.Contains(r.Avoid, h.Name)
}

// SetEndpoint adds an endpoint or replaces what is known of it.
func (q *Queue) SetEndpoint(e Endpoint) {
	h, found := q.hosts[e.Name]
	if !found {
		if q.hosts == nil {
			q.hosts = make(map[string]*host)
		}
		h = &host{}
		h.grants, h.inUse = q.Load(e.Name)
		q.hosts[e.Name] = h
		at, _ := slices.BinarySearch(q.names, e.Name)
		q.names = slices.Insert(q.names, at, e.Name)
	}
	before := h.limit()
	wasClosed := found && h.Closed
	h.Endpoint = e
	if found && (h.limit() < before || h.Closed != wasClosed) {
		q.recheck = true
	}
}

// DropEndpoint forgets an endpoint; grants on it stay until they are released.
func (q *Queue) DropEndpoint(name string) {
	if _, found := q.hosts[name]; !found {
		return
	}
	delete(q.hosts, name)
	at, _ := slices.BinarySearch(q.names, name)
	q.names = slices.Delete(q.names, at, at+1)
	q.recheck = true
}

// Overflow is what the queue may count on outside its own endpoints.
type Overflow struct {
	// Largest is how many slots the largest endpoint there declares.
	Largest int
	// Slots is how many slots the pool gets there at least when it asks.
	Slots int
}

// SetOverflow replaces what is known of the slots outside the pool.
func (q *Queue) SetOverflow(o Overflow) {
	q.overflow = o
}

// Endpoints returns what is known of the endpoints, by name.
func (q *Queue) Endpoints() (endpoints []Endpoint) {
	for _, n := range q.names {
		endpoints = append(endpoints, q.hosts[n].Endpoint)
	}
	return endpoints
}

// Load returns how many grants are held on an endpoint and their slots.
func (q *Queue) Load(endpoint string) (grants, slots int) {
	if h, found := q.hosts[endpoint]; found {
		return h.grants, h.inUse
	}
	for _, g := range q.grants {
		if g.Endpoint == endpoint && !g.Away {
			grants++
			slots += g.Request.slots()
		}
	}
	return grants, slots
}

// Free returns how many slots are free on open endpoints.
func (q *Queue) Free() (slots int) {
	for _, n := range q.names {
		slots += q.hosts[n].free()
	}
	return slots
}

// capacity returns the slots that the pool can have in use, with those that it
// gets on endpoints of other pools.
func (q *Queue) capacity() (slots int) {
	for _, n := range q.names {
		if h := q.hosts[n]; !h.Closed {
			slots += h.limit()
		}
	}
	return slots + max(q.away, q.overflow.Slots)
}

// pick returns the endpoint with the most free slots that fits the request, and
// of several the one whose last grant is oldest. Taking the first by name sent
// all work of an idle pool to one endpoint, which then had no peers to be
// compared with.
func (q *Queue) pick(r Request) (best *host) {
	slots := r.slots()
	for _, n := range q.names {
		h := q.hosts[n]
		if n == q.reserved.endpoint || !h.fits(slots) || h.avoidedBy(r) {
			continue
		}
		if best == nil || h.free() > best.free() || (h.free() == best.free() && h.last < best.last) {
			best = h
		}
	}
	return best
}

// anyFree tells whether an endpoint without a reservation has a free slot.
func (q *Queue) anyFree() bool {
	for _, n := range q.names {
		if n != q.reserved.endpoint && q.hosts[n].free() > 0 {
			return true
		}
	}
	return false
}

// reachable returns whether an open endpoint could ever run the request, and
// the slots of the largest endpoint that it does not avoid.
func (q *Queue) reachable(r Request) (open bool, largest int) {
	open, largest = r.slots() <= q.overflow.Largest, q.overflow.Largest
	for _, n := range q.names {
		h := q.hosts[n]
		if h.avoidedBy(r) {
			continue
		}
		largest = max(largest, h.Slots)
		open = open || (!h.Closed && r.slots() <= h.Slots)
	}
	return open, largest
}
