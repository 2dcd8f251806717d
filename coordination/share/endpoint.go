package share

import "slices"

// Endpoint is the observed state of one endpoint of the pool.
type Endpoint struct {
	Name string
	// Slots is how many slots the endpoint declares.
	Slots int
	// Limit is how many slots may be in use at once; zero means Slots.
	Limit int
	// Busy is how many slots are in use by tasks that this queue did not grant.
	Busy int
	// Closed stops new grants; tasks in flight continue.
	Closed bool
	// Paused stops new grants for a short time; the endpoint still counts for
	// admission.
	Paused bool
}

// endpointState is an endpoint with the grants that this queue issued for it.
type endpointState struct {
	Endpoint
	inUse  int
	grants int
	// lastGrant is the serial number of the latest grant on the endpoint.
	lastGrant int64
}

func (s *endpointState) limit() int {
	if s.Limit <= 0 || s.Limit > s.Slots {
		return s.Slots
	}
	return s.Limit
}

func (s *endpointState) free() int {
	if s.Closed || s.Paused {
		return 0
	}
	return max(0, s.limit()-s.inUse-s.Busy)
}

// fits reports whether that many slots can be granted on the endpoint. A
// request larger than the limit may run alone, because it could otherwise never
// run while the limit is below its size.
func (s *endpointState) fits(slots int) bool {
	if s.Closed || s.Paused {
		return false
	}
	return slots <= s.free() || (s.inUse+s.Busy == 0 && slots <= s.Slots)
}

func (s *endpointState) avoidedBy(r Request) bool {
	return len(r.Avoid) > 0 && slices.Contains(r.Avoid, s.Name)
}

// SetEndpoint adds an endpoint or replaces its observed state.
func (q *Queue) SetEndpoint(e Endpoint) {
	s, found := q.endpoints[e.Name]
	if !found {
		if q.endpoints == nil {
			q.endpoints = make(map[string]*endpointState)
		}
		s = &endpointState{}
		s.grants, s.inUse = q.Load(e.Name)
		q.endpoints[e.Name] = s
		at, _ := slices.BinarySearch(q.endpointNames, e.Name)
		q.endpointNames = slices.Insert(q.endpointNames, at, e.Name)
	}
	before := s.limit()
	wasClosed := found && s.Closed
	s.Endpoint = e
	if found && (s.limit() < before || s.Closed != wasClosed) {
		q.recheckNow = true
	}
}

// RemoveEndpoint removes an endpoint; grants on it remain until they are
// released.
func (q *Queue) RemoveEndpoint(name string) {
	if _, found := q.endpoints[name]; !found {
		return
	}
	delete(q.endpoints, name)
	at, _ := slices.BinarySearch(q.endpointNames, name)
	q.endpointNames = slices.Delete(q.endpointNames, at, at+1)
	q.recheckNow = true
}

// Overflow describes the slots outside the pool that the queue may count on.
type Overflow struct {
	// Largest is how many slots the largest endpoint outside the pool declares.
	Largest int
	// Slots is how many slots the pool gets there at least when it asks.
	Slots int
}

// SetOverflow replaces the description of the slots outside the pool.
func (q *Queue) SetOverflow(o Overflow) {
	q.overflow = o
}

// Endpoints returns the observed state of the endpoints, sorted by name.
func (q *Queue) Endpoints() (endpoints []Endpoint) {
	for _, n := range q.endpointNames {
		endpoints = append(endpoints, q.endpoints[n].Endpoint)
	}
	return endpoints
}

// Load returns the number of grants on an endpoint and their slots.
func (q *Queue) Load(endpoint string) (grants, slots int) {
	if s, found := q.endpoints[endpoint]; found {
		return s.grants, s.inUse
	}
	for _, g := range q.grants {
		if g.Endpoint == endpoint && !g.Outside {
			grants++
			slots += g.Request.slots()
		}
	}
	return grants, slots
}

// FreeSlots returns the number of free slots on open endpoints.
func (q *Queue) FreeSlots() (slots int) {
	for _, n := range q.endpointNames {
		slots += q.endpoints[n].free()
	}
	return slots
}

// capacity returns how many slots the pool can use at once, including those on
// endpoints of other pools.
func (q *Queue) capacity() (slots int) {
	for _, n := range q.endpointNames {
		if s := q.endpoints[n]; !s.Closed {
			slots += s.limit()
		}
	}
	return slots + max(q.outsideInUse, q.overflow.Slots)
}

// pickEndpoint returns the endpoint with the most free slots that fits the
// request; of several, the one whose latest grant is oldest. Choosing the first
// by name sent all requests of an idle pool to one endpoint, which then had no
// peers to be compared with.
func (q *Queue) pickEndpoint(r Request) (best *endpointState) {
	slots := r.slots()
	for _, n := range q.endpointNames {
		s := q.endpoints[n]
		if n == q.reserved.endpoint || !s.fits(slots) || s.avoidedBy(r) {
			continue
		}
		if best == nil || s.free() > best.free() || (s.free() == best.free() && s.lastGrant < best.lastGrant) {
			best = s
		}
	}
	return best
}

// hasFreeEndpoint reports whether an endpoint without a reservation has a free
// slot.
func (q *Queue) hasFreeEndpoint() bool {
	for _, n := range q.endpointNames {
		if n != q.reserved.endpoint && q.endpoints[n].free() > 0 {
			return true
		}
	}
	return false
}

// reachable reports whether an open endpoint is large enough for the request,
// and returns the slots of the largest endpoint, open or closed. Endpoints that
// the request avoids do not count.
func (q *Queue) reachable(r Request) (open bool, largest int) {
	open, largest = r.slots() <= q.overflow.Largest, q.overflow.Largest
	for _, n := range q.endpointNames {
		s := q.endpoints[n]
		if s.avoidedBy(r) {
			continue
		}
		largest = max(largest, s.Slots)
		open = open || (!s.Closed && r.slots() <= s.Slots)
	}
	return open, largest
}
