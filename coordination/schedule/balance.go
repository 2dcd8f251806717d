package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the demand estimate and of the pool sizes.
const (
	// shortWindow and longWindow are the time constants of the two moving averages
	// of arriving work. The load of a burst rises for about 4 s; the difference
	// between the averages shows how fast.
	shortWindow = 500 * time.Millisecond
	longWindow  = 1500 * time.Millisecond
	// forecastHorizon is how far ahead demand is forecast: the time from the order
	// of a move to the first task on the instance, plus half of shortWindow, by
	// which the short average lags.
	forecastHorizon = 2500 * time.Millisecond
	// slackFraction is the fraction of a job's slack within which its waiting work
	// should be done.
	slackFraction = 0.7
	// headroomFactor scales the arriving work to the capacity for it, because tasks
	// do not fill endpoints exactly.
	headroomFactor = 1.15
	// extraEndpoints is the number of endpoints that a pool keeps beside those of
	// its long-running tasks, to serve the first second of a burst.
	extraEndpoints = 1
	// shrinkDelay is how long a pool must have had too many endpoints before it
	// gives any away. It spans more than one call of PlanMoves, so that a single job
	// does not decide.
	shrinkDelay = 300 * time.Millisecond
	// minDemandHistory is how long demand is observed, from the first job on, before
	// a pool shrinks. A burst that has begun already shows within it.
	minDemandHistory = 3 * time.Second
	// shrinkDelayWithoutJobs is how long pools keep their size if no job arrives at
	// all.
	shrinkDelayWithoutJobs = 30 * time.Second
	// minPoolStay is how long an endpoint stays in the pool that it joined, so that
	// the tasks that wait for it are placed. Moving there and back costs as much as
	// an endpoint for 2.6 s.
	minPoolStay = time.Second
)

// Move is an order to move an instance to another pool.
type Move struct {
	Instance, Endpoint, From, To string
}

// demand is the estimate of the work that arrives for a pool.
type demand struct {
	// shortRate and longRate are the arriving work, in thousandths of a core,
	// averaged over shortWindow and longWindow as of updatedAt.
	shortRate, longRate float64
	updatedAt           time.Time
	// surplusSince is the time since which the pool has had too many endpoints.
	surplusSince time.Time
}

// recordArrival adds the work of a job to the demand of its pool.
func (s *Scheduler) recordArrival(j *jobState, now time.Time) {
	if j.longRunning() || j.Surplus {
		return
	}
	work := 0.0
	for i := range j.Steps {
		work += s.meanDuration(j, &j.Steps[i]) * float64(j.Steps[i].CPU) * float64(j.Steps[i].Count)
	}
	if s.firstArrivalAt.IsZero() {
		s.firstArrivalAt = now
	}
	d := s.poolDemand(j.Pool)
	d.decay(now)
	d.shortRate += work / float64(shortWindow.Milliseconds())
	d.longRate += work / float64(longWindow.Milliseconds())
}

func (s *Scheduler) poolDemand(pool string) *demand {
	d := s.demands[pool]
	if d == nil {
		d = &demand{}
		s.demands[pool] = d
	}
	return d
}

func (d *demand) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		d.shortRate *= math.Exp(-float64(now.Sub(d.updatedAt)) / float64(shortWindow))
		d.longRate *= math.Exp(-float64(now.Sub(d.updatedAt)) / float64(longWindow))
	}
	d.updatedAt = now
}

// forecast returns the arriving work, in thousandths of a core, at the time at which
// an instance that is ordered now takes its first task. It extrapolates rising
// demand only: if demand falls, an instance that left too early would cost two
// moves.
func (d *demand) forecast() (cpu float64) {
	rise := max(0, d.shortRate-d.longRate) / (longWindow - shortWindow).Seconds()
	return d.shortRate + rise*forecastHorizon.Seconds()
}

// poolBalance compares the size of a pool with its demand.
type poolBalance struct {
	pool string
	// current counts the endpoints that are in service or on their way. required is
	// the number that the demand requires, and requiredOnTime the number that jobs
	// that can meet their objective require.
	current, required, requiredOnTime int
	// endpointCPU is the CPU of the largest endpoint, longRunningCPU the CPU of all
	// long-running tasks, and longRunningEndpoints the number of endpoints that run
	// them.
	endpointCPU, longRunningCPU, longRunningEndpoints int
	// idle holds the endpoints that could leave at once, and busy those that could
	// leave once their tasks have ended.
	idle, busy []*endpoint
}

// surplus returns how many endpoints above a target the pool can give away at once.
func (b *poolBalance) surplus(target func(*poolBalance) int) int {
	return min(b.current-target(b), len(b.idle))
}

// PlanMoves returns the moves that bring pools to the size that their demand
// requires: from pools with too many endpoints, and to and from the spare pool,
// whose instances are switched off. Incoming counts the instances that are on their
// way to each pool.
func (s *Scheduler) PlanMoves(listed []InstanceObservation, pools []string, spare string, incoming map[string]int, now time.Time) (moves []Move) {
	s.init()
	if s.firstBalancedAt.IsZero() {
		s.firstBalancedAt = now
	}
	balances := s.poolBalances(pools, incoming, now)
	free := s.spareInstances(listed, spare)
	byEndpoint := make(map[string]string, len(listed))
	for _, l := range listed {
		if l.Up {
			byEndpoint[l.Endpoint] = l.Name
		}
	}
	slices.SortFunc(balances, func(a, b *poolBalance) int {
		return cmp.Or(cmp.Compare(b.requiredOnTime-b.current, a.requiredOnTime-a.current), cmp.Compare(b.required-b.current, a.required-a.current), cmp.Compare(a.pool, b.pool))
	})
	shortfall := 0
	// Jobs that can meet their objective take precedence in all pools.
	for _, target := range []func(*poolBalance) int{(*poolBalance).onTimeSize, (*poolBalance).totalSize} {
		for _, b := range balances {
			for b.current < target(b) {
				m, found := s.acquireInstance(b.pool, &free, spare, balances, target, byEndpoint)
				if !found {
					break
				}
				b.current++
				moves = append(moves, m)
			}
		}
	}
	for _, b := range balances {
		shortfall += max(0, b.requiredOnTime-b.current)
	}
	cordonDonors(balances, shortfall)
	if spare == "" || !s.demandEstablished(now) {
		return moves
	}
	for _, b := range balances {
		moves = append(moves, s.shrinkPool(b, spare, byEndpoint, now)...)
	}
	return moves
}

// demandEstablished reports whether demand has been observed long enough to shrink
// pools.
func (s *Scheduler) demandEstablished(now time.Time) bool {
	if s.firstArrivalAt.IsZero() {
		return now.Sub(s.firstBalancedAt) >= shrinkDelayWithoutJobs
	}
	return now.Sub(s.firstArrivalAt) >= minDemandHistory
}

func (b *poolBalance) onTimeSize() int { return b.requiredOnTime }
func (b *poolBalance) totalSize() int  { return b.required }

// cordonDonors keeps new tasks from up to shortfall busy endpoints, so that they
// become idle and can move to pools that lack endpoints for jobs that can meet their
// objective. Only pools with more endpoints than their own such jobs require give
// endpoints; their late jobs would otherwise keep the endpoints busy indefinitely.
func cordonDonors(balances []*poolBalance, shortfall int) {
	for _, b := range balances {
		slices.SortStableFunc(b.busy, func(x, y *endpoint) int {
			return cmp.Or(cmp.Compare(len(x.runs), len(y.runs)), cmp.Compare(x.ID, y.ID))
		})
		count := max(0, min(shortfall, b.current-b.requiredOnTime, len(b.busy)))
		shortfall -= count
		for i, e := range b.busy {
			e.cordoned = i < count
		}
		for _, e := range b.idle {
			e.cordoned = false
		}
	}
}

// acquireInstance returns a move of an instance to a pool: of a spare instance if
// there is one, else from the pool with the largest surplus over its target.
func (s *Scheduler) acquireInstance(pool string, free *[]InstanceObservation, spare string, balances []*poolBalance, target func(*poolBalance) int, byEndpoint map[string]string) (m Move, found bool) {
	if len(*free) > 0 {
		i := (*free)[0]
		*free = (*free)[1:]
		return Move{Instance: i.Name, Endpoint: i.Endpoint, From: spare, To: pool}, true
	}
	donor := slices.MaxFunc(balances, func(a, b *poolBalance) int { return cmp.Compare(a.surplus(target), b.surplus(target)) })
	if donor.surplus(target) <= 0 || donor.pool == pool {
		return Move{}, false
	}
	return s.moveIdleEndpoint(donor, pool, byEndpoint)
}

// moveIdleEndpoint reserves an idle endpoint of a pool for a move.
func (s *Scheduler) moveIdleEndpoint(b *poolBalance, to string, byEndpoint map[string]string) (m Move, found bool) {
	for len(b.idle) > 0 {
		e := b.idle[0]
		b.idle = b.idle[1:]
		name, known := byEndpoint[e.ID]
		if !known {
			continue
		}
		e.moving, e.replacementOrdered = true, true
		b.current--
		return Move{Instance: name, Endpoint: e.ID, From: b.pool, To: to}, true
	}
	return Move{}, false
}

// shrinkPool moves endpoints to the spare pool that have not been needed for
// shrinkDelay.
func (s *Scheduler) shrinkPool(b *poolBalance, spare string, byEndpoint map[string]string, now time.Time) (moves []Move) {
	d := s.poolDemand(b.pool)
	if b.surplus((*poolBalance).totalSize) <= 0 {
		d.surplusSince = time.Time{}
		return nil
	}
	if d.surplusSince.IsZero() {
		d.surplusSince = now
	}
	if now.Sub(d.surplusSince) < shrinkDelay {
		return nil
	}
	for b.surplus((*poolBalance).totalSize) > 0 {
		m, found := s.moveIdleEndpoint(b, spare, byEndpoint)
		if !found {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// poolBalances returns the current and the required size of each pool.
func (s *Scheduler) poolBalances(pools []string, incoming map[string]int, now time.Time) (all []*poolBalance) {
	loads := s.poolLoads(now)
	for _, pool := range pools {
		b := &poolBalance{pool: pool, current: incoming[pool]}
		l := loads[pool]
		if l == nil {
			l = &poolLoad{}
		}
		for _, e := range s.poolEndpoints(pool) {
			b.addEndpoint(e, now)
		}
		d := s.poolDemand(pool)
		d.decay(now)
		onTimeDemand := max(d.forecast()*headroomFactor, l.onTimeRunningCPU) + l.onTimeCPU
		b.requiredOnTime = max(endpointsFor(onTimeDemand, b.longRunningCPU, b.endpointCPU), b.longRunningEndpoints+extraEndpoints)
		b.required = max(endpointsFor(onTimeDemand+l.lateCPU, b.longRunningCPU, b.endpointCPU), b.requiredOnTime)
		all = append(all, b)
	}
	return all
}

// addEndpoint counts an endpoint of the pool.
func (b *poolBalance) addEndpoint(e *endpoint, now time.Time) {
	remains := e.listed && !e.Draining && !e.reserved()
	if remains {
		b.endpointCPU = max(b.endpointCPU, e.Capacity.CPU)
		if e.unresponsive() {
			return
		}
		b.current++
	}
	// Long-running tasks on an endpoint that leaves need capacity elsewhere first.
	longRunning := e.longRunningUsage().CPU
	if longRunning > 0 {
		b.longRunningEndpoints++
	}
	b.longRunningCPU += longRunning
	switch {
	case !remains:
	case !e.contacted || len(e.unknownRuns) > 0 || longRunning > 0 || now.Sub(e.joinedAt) <= minPoolStay:
		e.cordoned = false
	case len(e.runs) == 0:
		b.idle = append(b.idle, e)
	default:
		b.busy = append(b.busy, e)
	}
}

// endpointsFor returns how many endpoints of a size carry the work of short and
// long-running tasks.
func endpointsFor(shortCPU float64, longRunningCPU, endpointCPU int) (count int) {
	if endpointCPU == 0 {
		return 1
	}
	return int(math.Ceil((shortCPU + float64(longRunningCPU)) / float64(endpointCPU)))
}

// spareInstances returns the instances of the spare pool that are up and not
// reserved for maintenance.
func (s *Scheduler) spareInstances(listed []InstanceObservation, spare string) (free []InstanceObservation) {
	for _, l := range listed {
		if spare != "" && l.Pool == spare && l.Up && !s.reservedInstances[l.Name] {
			free = append(free, l)
		}
	}
	return free
}
