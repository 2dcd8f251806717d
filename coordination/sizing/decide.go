package sizing

import (
	"cmp"
	"slices"
	"time"
)

// Reason is why an instance moves.
type Reason string

// Reasons of moves.
const (
	// OnTimeDemand is demand of jobs that can meet their objective.
	OnTimeDemand Reason = "onTimeDemand"
	// LateWork is waiting work of late jobs.
	LateWork Reason = "lateWork"
	// Surplus is that no pool requires the instance.
	Surplus Reason = "surplus"
)

// SurplusDelay is how long a pool must have had too many endpoints before it gives any to
// the spare pool. It spans more than one decision, so that a single job does not decide.
const SurplusDelay = 300 * time.Millisecond

// Fleet is the observed state of all pools.
type Fleet struct {
	Pools []Pool
	// Spare is the name of the pool whose instances are switched off, or empty, and Free
	// are its instances that can be moved.
	Spare string
	Free  []Endpoint
	// MayRelease is set once demand has been observed for long enough to move instances to
	// the spare pool. MaxReleases limits those moves in one decision, so that an order for a
	// pool that lacks endpoints does not wait for them; 0 means no limit.
	MayRelease  bool
	MaxReleases int
	// Headroom is added to that of all pools, as a share of their forecast.
	Headroom float64
}

// Move is an order to move an instance to another pool.
type Move struct {
	Instance, Endpoint, From, To string
	Reason                       Reason
}

// Decision is the result of Decide.
type Decision struct {
	Moves []Move
	Sizes []Size
	// Cordoned holds the endpoints that get no new tasks, so that they become idle and can
	// leave their pool.
	Cordoned map[string]bool
	// SurplusSince holds, for each pool with too many endpoints, since when it has had
	// them.
	SurplusSince map[string]time.Time
}

// poolState is a pool during a decision.
type poolState struct {
	Pool
	Size
}

// Decide returns the moves that bring the pools to the sizes that their demand requires.
// An instance of a pool with a surplus moves directly to the pool that lacks one; the spare
// pool gives and takes the rest. Jobs that can meet their objective take precedence in all
// pools.
func Decide(f Fleet, now time.Time) (d Decision) {
	p := &planner{fleet: f, free: f.Free, now: now}
	for _, o := range f.Pools {
		o.headroom = f.Headroom
		p.pools = append(p.pools, &poolState{Pool: o, Size: o.size()})
	}
	slices.SortFunc(p.pools, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.shortfall(onTime), a.shortfall(onTime)), cmp.Compare(b.shortfall(total), a.shortfall(total)), cmp.Compare(a.Name, b.Name))
	})
	p.grow(onTime, OnTimeDemand)
	p.grow(total, LateWork)
	p.cordon()
	p.release()
	for _, o := range p.pools {
		p.decision.Sizes = append(p.decision.Sizes, o.Size)
	}
	slices.SortFunc(p.decision.Sizes, func(a, b Size) int { return cmp.Compare(a.Pool, b.Pool) })
	return p.decision
}

// planner collects the moves of one decision.
type planner struct {
	fleet    Fleet
	pools    []*poolState
	free     []Endpoint
	now      time.Time
	decision Decision
}

// target is the size that a pool should have.
type target func(s Size) int

func onTime(s Size) int { return s.RequiredOnTime }
func total(s Size) int  { return s.Required }
func kept(s Size) int   { return s.Kept }

// shortfall returns how many endpoints the pool lacks to its target.
func (o *poolState) shortfall(t target) int {
	return t(o.Size) - o.Current
}

// surplus returns how many endpoints above its target the pool can give away at once.
func (o *poolState) surplus(t target) int {
	return min(-o.shortfall(t), len(o.Idle))
}

// grow moves instances to the pools that lack endpoints to their targets.
func (p *planner) grow(t target, r Reason) {
	for _, o := range p.pools {
		for o.shortfall(t) > 0 && p.acquire(o, t, r) {
			o.Current++
		}
	}
}

// acquire moves an instance to a pool: one that no pool keeps, else one of the spare pool,
// else one above the target of another pool. Until demand has been
// observed for long enough, instances of the spare pool go first, because a pool without
// demand may get some at any time.
func (p *planner) acquire(to *poolState, t target, r Reason) (found bool) {
	if donor := p.donor(to, kept, r); donor != nil && (p.fleet.MayRelease || len(p.free) == 0) {
		p.moveIdle(donor, to.Name, r)
		return true
	}
	if len(p.free) > 0 {
		i := takeEndpoint(&p.free, false)
		p.decision.Moves = append(p.decision.Moves, Move{Instance: i.Instance, Endpoint: i.ID, From: p.fleet.Spare, To: to.Name, Reason: r})
		return true
	}
	if donor := p.donor(to, t, r); donor != nil {
		p.moveIdle(donor, to.Name, r)
		return true
	}
	return false
}

// donor returns the pool with the largest surplus over its target, or nil if no other pool
// has one. A pool that instances are moving to gives none for late work.
func (p *planner) donor(to *poolState, t target, r Reason) (best *poolState) {
	for _, o := range p.pools {
		if r == LateWork && o.Incoming > 0 {
			continue
		}
		if o != to && o.surplus(t) > 0 && (best == nil || o.surplus(t) > best.surplus(t)) {
			best = o
		}
	}
	return best
}

// takeEndpoint takes an endpoint from a list: if possible, one whose maintenance is due or is
// not. An instance that moves to a pool shortly before its maintenance is out of service twice,
// and one of the spare pool has its maintenance while no pool needs it.
func takeEndpoint(list *[]Endpoint, due bool) (e Endpoint) {
	i := max(0, slices.IndexFunc(*list, func(e Endpoint) bool { return e.MaintenanceDue == due }))
	e = (*list)[i]
	*list = slices.Concat((*list)[:i], (*list)[i+1:])
	return e
}

// moveIdle moves an idle endpoint of a pool.
func (p *planner) moveIdle(from *poolState, to string, r Reason) {
	e := takeEndpoint(&from.Idle, to == p.fleet.Spare)
	from.Current--
	p.decision.Moves = append(p.decision.Moves, Move{Instance: e.Instance, Endpoint: e.ID, From: from.Name, To: to, Reason: r})
}

// cordon keeps new tasks from the endpoints that their pool does not require, those that
// become idle first. If pools still lack endpoints for jobs that can meet their objective,
// it also takes endpoints that others require for late jobs, which would otherwise keep
// them busy indefinitely.
func (p *planner) cordon() {
	p.decision.Cordoned = make(map[string]bool)
	lacking := 0
	for _, o := range p.pools {
		lacking += max(0, o.shortfall(onTime))
	}
	for _, o := range p.pools {
		slices.SortStableFunc(o.Busy, func(a, b Endpoint) int {
			return cmp.Or(a.IdleAt.Compare(b.IdleAt), cmp.Compare(a.ID, b.ID))
		})
		count := -o.shortfall(kept) - len(o.Idle)
		if lacking > 0 {
			count = max(count, min(lacking, -o.shortfall(onTime)))
		}
		count = max(0, min(count, len(o.Busy)))
		lacking -= count
		for _, e := range o.Busy[:count] {
			p.decision.Cordoned[e.ID] = true
		}
	}
}

// release moves endpoints that no pool has required for SurplusDelay to the spare pool.
func (p *planner) release() {
	p.decision.SurplusSince = make(map[string]time.Time)
	if p.fleet.Spare == "" || !p.fleet.MayRelease {
		return
	}
	released := 0
	for _, o := range p.pools {
		if o.surplus(kept) <= 0 {
			continue
		}
		since := o.SurplusSince
		if since.IsZero() {
			since = p.now
		}
		p.decision.SurplusSince[o.Name] = since
		for p.now.Sub(since) >= SurplusDelay && o.surplus(kept) > 0 && (p.fleet.MaxReleases == 0 || released < p.fleet.MaxReleases) {
			p.moveIdle(o, p.fleet.Spare, Surplus)
			released++
		}
	}
}
