package schedule

import (
	"cmp"
	"slices"
	"time"
)

// SetEndpoints replaces the listed endpoints. Endpoints that are no longer listed are
// kept until their leases have expired.
func (s *Scheduler) SetEndpoints(listed []Endpoint, now time.Time) {
	s.UpdateEndpoints(listed, now)
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
	}
	for id := range s.endpoints {
		if !present[id] {
			s.UnlistEndpoint(id)
		}
	}
}

// UpdateEndpoints adds or updates listed endpoints.
func (s *Scheduler) UpdateEndpoints(listed []Endpoint, now time.Time) {
	for _, l := range listed {
		s.AddInheritedEndpoint(l, now)
		e := s.endpoints[l.ID]
		if e.DataCentre != l.DataCentre {
			// The next owner may read another one than this owner, so that it counts as unknown.
			l.DataCentre = ""
		}
		if e.Pool != l.Pool {
			delete(s.endpointsByPool, e.Pool)
			delete(s.endpointsByPool, l.Pool)
		}
		e.Endpoint = l
		e.listed = true
		if e.Draining {
			s.storeEnds(e)
		}
	}
}

// UnlistEndpoint records that an endpoint is no longer listed. It is kept until its lease
// has expired.
func (s *Scheduler) UnlistEndpoint(id string) {
	if e, known := s.endpoints[id]; known {
		e.listed = false
	}
}

// AddSettledEndpoint is AddInheritedEndpoint for an endpoint that has been in its pool
// long enough to be moved at once.
func (s *Scheduler) AddSettledEndpoint(l Endpoint, now time.Time) {
	s.AddInheritedEndpoint(l, now)
	s.endpoints[l.ID].joinedAt = time.Time{}
}

// AddInheritedEndpoint adds an endpoint on which an earlier owner may have started tasks.
func (s *Scheduler) AddInheritedEndpoint(l Endpoint, now time.Time) {
	s.init()
	if s.endpoints[l.ID] == nil {
		delete(s.endpointsByPool, l.Pool)
		e := &endpoint{
			Endpoint: l, runs: make(map[string]*run), unknownRuns: make(map[string]unknownRun),
			leaseUntil: now.Add(s.Settings.InheritedLease), joinedAt: now,
		}
		s.endpoints[l.ID] = e
		i, _ := s.findSorted(l.ID)
		s.sortedEndpoints = slices.Insert(s.sortedEndpoints, i, e)
	}
}

// AddNewEndpoint adds an endpoint on which no owner can have started a task yet.
func (s *Scheduler) AddNewEndpoint(l Endpoint, now time.Time) {
	s.AddInheritedEndpoint(l, now)
	if e := s.endpoints[l.ID]; !e.contacted {
		e.leaseUntil = now
	}
}

// EndpointStatus is the state of an endpoint as the scheduler reports it to its callers.
type EndpointStatus struct {
	Endpoint
	Listed, Contacted, Unresponsive bool
	// HasUncertainRun is set if the next poll has to show whether a run whose start got no
	// answer is active.
	HasUncertainRun bool
	// HasWarmingTask is set if a long-running task is starting up, and Isolated if other
	// jobs get no starts until a run has outlived its start.
	HasWarmingTask, Isolated bool
	// ListingDue is the time after which a poll has to be sent without delay, because no other
	// long-running task of a step is stopped until it lists those of an earlier owner; zero if
	// there are none.
	ListingDue time.Time
	// LastStoredEnd is the number of the last end whose effect is stored, together
	// with the effects of all ends before it.
	LastStoredEnd int64
	// Incarnation is the process whose ends these are.
	Incarnation int64
	Runs        int
	// LeaseUntil is when every lease has ended that may have been granted, and GrantedUntil
	// until when one is certain to last.
	LeaseUntil, GrantedUntil time.Time
}

// EndpointStatuses returns the status of all known endpoints, sorted by identifier.
func (s *Scheduler) EndpointStatuses() (all []EndpointStatus) {
	for _, id := range sortedKeys(s.endpoints) {
		all = append(all, s.status(s.endpoints[id]))
	}
	return all
}

// EndpointStatus returns the status of an endpoint.
func (s *Scheduler) EndpointStatus(id string) (status EndpointStatus, known bool) {
	e, known := s.endpoints[id]
	if !known {
		return EndpointStatus{}, false
	}
	return s.status(e), true
}

// EndpointAddress returns the address of an endpoint.
func (s *Scheduler) EndpointAddress(id string) (address string, known bool) {
	e, known := s.endpoints[id]
	if !known {
		return "", false
	}
	return e.Address, true
}

func (s *Scheduler) status(e *endpoint) EndpointStatus {
	return EndpointStatus{
		Endpoint: e.Endpoint, Listed: e.listed, Contacted: e.contacted, Unresponsive: e.unresponsive(), HasUncertainRun: e.hasUncertainRun(), HasWarmingTask: e.hasWarmingTask(),
		Isolated: e.exclusiveTo != nil || e.heldFor != nil, ListingDue: s.listingDue(e),
		LastStoredEnd: e.lastStoredEnd, Incarnation: e.incarnation, Runs: len(e.runs) + len(e.unknownRuns), LeaseUntil: e.leaseUntil, GrantedUntil: e.grantedUntil,
	}
}

// ExtendLease extends the recorded lease of an endpoint. It has to be called before the
// renewal is sent, because the renewal may arrive even if its answer does not.
func (s *Scheduler) ExtendLease(id string, now time.Time) {
	if e, known := s.endpoints[id]; known {
		e.leaseUntil = latest(e.leaseUntil, now.Add(s.localDuration(s.Settings.Lease)))
	}
}

// localDuration returns the longest local duration that may correspond to a duration
// on the clock of an endpoint.
func (s *Scheduler) localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Settings.MaxClockRatio)
}

// RecordUnanswered records that a call to an endpoint timed out.
func (s *Scheduler) RecordUnanswered(id string, now time.Time) {
	s.recordUnanswered(id, true, now)
}

// RecordDisconnected records that an endpoint ended or refused the connection of a call, as
// it does when its process ends.
func (s *Scheduler) RecordDisconnected(id string, now time.Time) {
	s.recordUnanswered(id, false, now)
}

func (s *Scheduler) recordUnanswered(id string, silent bool, now time.Time) {
	if e, known := s.endpoints[id]; known && !e.unresponsive() {
		e.unresponsiveSince, e.silent = now, silent
		// Time-outs are common on a busy owner, and most of the endpoints answer again.
		if !silent {
			s.suspectRuns(e, now)
		}
	}
}

// RecordTermination records that an endpoint has terminated for certain and runs nothing any
// more.
func (s *Scheduler) RecordTermination(id string, cause LossCause, now time.Time) {
	if e, known := s.endpoints[id]; known && cause == LossReplaced {
		s.suspectRuns(e, now)
	}
	s.resolveTermination(id, cause, now)
	if e, known := s.endpoints[id]; known {
		s.endLostRuns(e, cause, now)
		if !e.listed {
			s.removeEndpoint(e)
		}
	}
}

// endReplaced records that earlier endpoints of an instance have terminated: it has one at a
// time, and a later one has answered.
func (s *Scheduler) endReplaced(by *endpoint, now time.Time) {
	if by.Instance == "" {
		return
	}
	for _, e := range s.endpointsWhere(func(e *endpoint) bool {
		return e.Instance == by.Instance && e.joinedAt.Before(by.joinedAt) && (e.unresponsive() || !e.contacted)
	}) {
		s.RecordTermination(e.ID, LossReplaced, now)
	}
	s.resolveReplacedCrashes(by, now)
}

func (s *Scheduler) removeEndpoint(e *endpoint) {
	if e.Draining || e.replacementOrdered {
		s.dropUnconfirmedCrashes(e.ID, e.reportedAt)
	}
	delete(s.isolatedEndpoints, e)
	delete(s.endpoints, e.ID)
	if i, found := s.findSorted(e.ID); found {
		s.sortedEndpoints = slices.Delete(s.sortedEndpoints, i, i+1)
	}
	delete(s.endpointsByPool, e.Pool)
}

// ExpireLeases ends the runs of endpoints whose leases have expired, and removes expired
// endpoints that are no longer listed.
func (s *Scheduler) ExpireLeases(now time.Time) {
	for _, e := range s.endpointsWhere(func(e *endpoint) bool {
		return !now.Before(e.leaseUntil) && (!e.contacted || e.unresponsive() || !e.listed)
	}) {
		if e.unresponsive() {
			s.suspectRuns(e, now)
		}
		if e.unresponsive() || !e.contacted || !e.listed {
			s.endLostRuns(e, LossLeaseExpired, now)
		}
		if !e.listed {
			s.removeEndpoint(e)
		}
	}
}

// endpointsWhere returns the endpoints that match, sorted by identifier.
func (s *Scheduler) endpointsWhere(matches func(e *endpoint) bool) (endpoints []*endpoint) {
	for _, e := range s.sortedEndpoints {
		if matches(e) {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// findSorted returns the index of an endpoint in sortedEndpoints, or where it belongs.
func (s *Scheduler) findSorted(id string) (i int, found bool) {
	return slices.BinarySearchFunc(s.sortedEndpoints, id, func(e *endpoint, id string) int { return cmp.Compare(e.ID, id) })
}

// poolEndpoints returns the endpoints of a pool, sorted by identifier.
func (s *Scheduler) poolEndpoints(pool string) (endpoints []*endpoint) {
	endpoints, cached := s.endpointsByPool[pool]
	if cached || len(s.endpoints) == 0 {
		return endpoints
	}
	endpoints = s.endpointsWhere(func(e *endpoint) bool { return e.Pool == pool })
	s.endpointsByPool[pool] = endpoints
	return endpoints
}
