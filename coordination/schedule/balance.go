package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/sizing"
)

// Parameters of the pool sizes.
const (
	// slackFraction is the fraction of a job's slack within which its waiting work
	// should be done.
	slackFraction = 0.7
	// minDemandHistory is how long demand is observed, from the first job on, before
	// a pool shrinks. A burst that has begun already shows within it.
	minDemandHistory = 3 * time.Second
	// shrinkDelayWithoutJobs is how long pools keep their size if no job arrives at
	// all.
	shrinkDelayWithoutJobs = 30 * time.Second
	// minPoolStay is how long an endpoint stays in the pool that it joined, so that
	// the tasks that wait for it are placed.
	minPoolStay = time.Second
	// maxReleases limits the moves to the spare pool that one call of PlanMoves returns.
	maxReleases = 16
)

// Move is an order to move an instance to another pool.
type Move = sizing.Move

// recordArrival adds the work of a job to the demand of its pool.
func (s *Scheduler) recordArrival(j *jobState, now time.Time) {
	if j.longRunning() || j.Surplus {
		return
	}
	if s.firstArrivalAt.IsZero() {
		s.firstArrivalAt = now
	}
	s.poolDemand(j.Pool).RecordArrival(s.arrival(j), now)
}

func (s *Scheduler) poolDemand(pool string) *sizing.Demand {
	d := s.demands[pool]
	if d == nil {
		d = &sizing.Demand{}
		s.demands[pool] = d
	}
	return d
}

// PlanMoves returns the moves that bring pools to the size that their demand
// requires: from pools with too many endpoints, and to and from the spare pool,
// whose instances are switched off. Incoming counts the instances that are on their
// way to each pool. A move may be ordered once the ends that its endpoint lists are stored;
// until then AwaitsStore holds, and HasUrgentWrites reports that they are to be.
func (s *Scheduler) PlanMoves(listed []InstanceObservation, pools []string, spare string, incoming map[string]int, now time.Time) (moves []Move) {
	s.init()
	if s.firstBalancedAt.IsZero() {
		s.firstBalancedAt = now
	}
	f := sizing.Fleet{Spare: spare, Free: s.spareInstances(listed, spare), MayRelease: s.demandEstablished(now), MaxReleases: maxReleases}
	instances := make(map[string]string, len(listed))
	for _, l := range listed {
		if l.Up {
			instances[l.Endpoint] = l.Name
		}
	}
	loads := s.poolLoads(now)
	for _, pool := range pools {
		f.Pools = append(f.Pools, s.observePool(pool, loads[pool], incoming[pool], instances, now))
	}
	d := sizing.Decide(f, now)
	s.poolSizes, s.surplusSince = d.Sizes, d.SurplusSince
	for _, pool := range pools {
		for _, e := range s.poolEndpoints(pool) {
			e.cordoned = d.Cordoned[e.ID]
		}
	}
	for _, m := range d.Moves {
		if e := s.endpoints[m.Endpoint]; e != nil && m.From != spare {
			e.moving, e.replacementOrdered = true, true
			s.storeEnds(e)
		}
	}
	return d.Moves
}

// AwaitsStore reports whether a planned move only waits until the ends are stored that its endpoint
// lists.
func (s *Scheduler) AwaitsStore(m Move) bool {
	e := s.endpoints[m.Endpoint]
	return e != nil && len(e.runs)+len(e.unknownRuns) == 0 && len(e.unstoredEnds) > 0
}

// storeEnds makes the effects of ends that an endpoint lists be stored without delay, so that it
// may be taken out of service.
func (s *Scheduler) storeEnds(e *endpoint) {
	for _, ending := range e.unstoredEnds {
		if j := ending.job; j != nil && j.storedVersion < ending.version {
			j.urgent = true
			s.queueRecord(j)
		}
	}
}

// MayMove reports whether a planned move may still be ordered.
func (s *Scheduler) MayMove(m Move) bool {
	e := s.endpoints[m.Endpoint]
	if s.reservedInstances[m.Instance] || e != nil && (e.reservedForMaintenance || e.unresponsive()) {
		return false
	}
	return s.mayOrder(m.Instance, m.Endpoint)
}

// mayOrder reports whether an order for an instance with an endpoint, or with none that is known,
// ends no task and loses no end. The order names the instance, so that it would end the tasks of the
// next endpoint there if this one has had its maintenance, been moved or crashed since.
func (s *Scheduler) mayOrder(instance, id string) bool {
	known := s.endpoints[id]
	if known != nil && (!known.listed || !known.idle()) {
		return false
	}
	return !slices.ContainsFunc(s.sortedEndpoints, func(e *endpoint) bool {
		later := known == nil || !e.joinedAt.Before(known.joinedAt)
		return e.Instance == instance && e.ID != id && later && e.listed && !e.unresponsive()
	})
}

// CancelMove returns an endpoint to service whose move is not carried out.
func (s *Scheduler) CancelMove(endpoint string) {
	if e := s.endpoints[endpoint]; e != nil {
		e.moving, e.replacementOrdered = false, e.replacementOrdered && e.reservedForMaintenance
	}
}

// PoolSizes returns the sizes of the pools as of the last call of PlanMoves.
func (s *Scheduler) PoolSizes() []sizing.Size {
	return s.poolSizes
}

// demandEstablished reports whether demand has been observed long enough to shrink
// pools.
func (s *Scheduler) demandEstablished(now time.Time) bool {
	if s.firstArrivalAt.IsZero() {
		return now.Sub(s.firstBalancedAt) >= shrinkDelayWithoutJobs
	}
	return now.Sub(s.firstArrivalAt) >= minDemandHistory
}

// observePool returns the state of a pool. Instances holds the name of the instance of each
// endpoint that may be moved.
func (s *Scheduler) observePool(pool string, l *poolLoad, incoming int, instances map[string]string, now time.Time) (p sizing.Pool) {
	p = sizing.Pool{Name: pool, Incoming: incoming, SurplusSince: s.surplusSince[pool]}
	r := sizing.Running{}
	if l != nil {
		p.OnTimeCPU, p.OnTimeRunningCPU, p.LateCPU = l.onTimeCPU, l.onTimeRunningCPU, l.lateCPU
		r = sizing.Running{CPU: l.onTimeRunningCPU, Waiting: l.onTimeCPU, Work: l.remainingWork / 1000}
	}
	p.Forecast = s.poolDemand(pool).Expect(r, now)
	for _, e := range s.poolEndpoints(pool) {
		s.observeEndpoint(&p, e, instances[e.ID], now)
	}
	return p
}

// observeEndpoint adds an endpoint to the state of its pool.
func (s *Scheduler) observeEndpoint(p *sizing.Pool, e *endpoint, instance string, now time.Time) {
	remains := e.listed && !e.Draining && !e.reserved() && !e.neverAnswered(now)
	if remains {
		p.EndpointCPU = max(p.EndpointCPU, e.Capacity.CPU)
		if e.unresponsive() {
			return
		}
	}
	// Long-running tasks on an endpoint that leaves need capacity elsewhere first.
	longRunning := e.longRunningUsage().CPU
	if longRunning > 0 {
		p.LongRunningEndpoints++
	}
	p.LongRunningCPU += longRunning
	switch {
	case !remains:
	case instance == "" || !e.contacted || len(e.unknownRuns) > 0 || longRunning > 0 || now.Sub(e.joinedAt) <= minPoolStay:
		p.Staying++
	case len(e.runs) == 0:
		p.Idle = append(p.Idle, sizing.Endpoint{ID: e.ID, Instance: instance, MaintenanceDue: s.dueInstances[instance]})
	default:
		p.Busy = append(p.Busy, sizing.Endpoint{ID: e.ID, Instance: instance, IdleAt: s.idleAt(e, now)})
	}
}

// idleAt returns when the tasks on the endpoint are expected to end: by their progress, or
// by the expected duration if an endpoint has not reported any yet.
func (s *Scheduler) idleAt(e *endpoint, now time.Time) (at time.Time) {
	at = now
	for _, r := range e.runs {
		end := r.startedAt.Add(input.Milliseconds(s.expected(r.task.job, r.task.ref.Step)))
		if r.progressPercent > 0 && r.progressAt.After(r.startedAt) {
			end = r.startedAt.Add(r.progressAt.Sub(r.startedAt) * 100 / time.Duration(r.progressPercent))
		}
		at = latest(at, end)
	}
	return at
}

// spareInstances returns the instances of the spare pool that are up and not
// reserved for maintenance.
func (s *Scheduler) spareInstances(listed []InstanceObservation, spare string) (free []sizing.Endpoint) {
	for _, l := range listed {
		if spare != "" && l.Pool == spare && l.Up && !s.reservedInstances[l.Name] {
			free = append(free, sizing.Endpoint{ID: l.Endpoint, Instance: l.Name, MaintenanceDue: s.dueInstances[l.Name]})
		}
	}
	return free
}
