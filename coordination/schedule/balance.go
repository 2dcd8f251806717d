package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand of a pool and how its size follows.
const (
	// demandWindow is the time over which arriving work is averaged: long enough to
	// smooth single jobs, short against the 8 s that a flood lasts.
	demandWindow = 1200 * time.Millisecond
	// drainShare is the share of a job's slack in which its waiting work should be
	// done.
	drainShare = 0.7
	// headroom times the arriving work is the room that it needs, as tasks do not
	// fill endpoints exactly.
	headroom = 1.15
	// spareEndpoints stay in a pool beside what it needs, for the first second of a
	// flood.
	spareEndpoints = 1
	// shrinkAfter is how long a pool must have had too many endpoints before one
	// leaves. Two moves cost as much as an endpoint in 2.6 s.
	shrinkAfter = 1200 * time.Millisecond
	// learnTime is how long the demand is watched before a pool shrinks.
	learnTime = 8 * time.Second
	// settleTime keeps an endpoint in the pool that it joined.
	settleTime = 3 * time.Second
)

// Move is an order to give an instance to another pool.
type Move struct {
	Instance, Endpoint, From, To string
}

// demand is what a pool has to carry.
type demand struct {
	// rate is the arriving work in cores, as of at.
	rate float64
	at   time.Time
	// surplusSince is since when the pool has had too many endpoints.
	surplusSince time.Time
}

// arrive adds a job's work to the demand of its pool.
func (s *Scheduler) arrive(j *jobState, now time.Time) {
	if j.lasting() {
		return
	}
	work := 0.0
	for i := range j.Steps {
		work += s.expected(j, &j.Steps[i]) * float64(j.Steps[i].CPU) * float64(j.Steps[i].Count)
	}
	d := s.demandOf(j.Pool)
	d.decay(now)
	d.rate += work / float64(demandWindow.Milliseconds())
}

func (s *Scheduler) demandOf(pool string) *demand {
	d := s.demands[pool]
	if d == nil {
		d = &demand{}
		s.demands[pool] = d
	}
	return d
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.rate *= math.Exp(-float64(now.Sub(d.at)) / float64(demandWindow))
	}
	d.at = now
}

// balance is a pool's size beside its need.
type balance struct {
	pool string
	// have are the endpoints that serve or are on their way; need are those that the
	// demand takes.
	have, need int
	// idle are endpoints that could leave at once.
	idle    []*endpoint
	waiting float64
}

// surplus is how many endpoints the pool can give away.
func (b *balance) surplus() int {
	return min(b.have-b.need, len(b.idle))
}

// PlanMoves returns the moves that bring pools to the size that their demand
// takes: from pools with too many endpoints, and to and from the spare pool, whose
// instances are off. Incoming counts the instances that are on their way to a
// pool.
func (s *Scheduler) PlanMoves(listed []InstanceSight, pools []string, spare string, incoming map[string]int, now time.Time) (moves []Move) {
	s.init()
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	balances := s.balances(pools, incoming, now)
	free := s.spareInstances(listed, spare)
	byEndpoint := make(map[string]string, len(listed))
	for _, l := range listed {
		if l.Up {
			byEndpoint[l.Endpoint] = l.Name
		}
	}
	slices.SortFunc(balances, func(a, b *balance) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), cmp.Compare(a.pool, b.pool))
	})
	for _, b := range balances {
		for short := b.need - b.have; short > 0; short-- {
			if m, found := s.take(b.pool, &free, spare, balances, byEndpoint); found {
				moves = append(moves, m)
				continue
			}
			break
		}
	}
	if now.Sub(s.startedAt) < learnTime || spare == "" {
		return moves
	}
	for _, b := range balances {
		moves = append(moves, s.shrink(b, spare, byEndpoint, now)...)
	}
	return moves
}

// take finds an instance for a pool: a spare one, else one of the pool with the
// largest surplus.
func (s *Scheduler) take(pool string, free *[]InstanceSight, spare string, balances []*balance, byEndpoint map[string]string) (m Move, found bool) {
	if len(*free) > 0 {
		i := (*free)[0]
		*free = (*free)[1:]
		return Move{Instance: i.Name, Endpoint: i.Endpoint, From: spare, To: pool}, true
	}
	donor := slices.MaxFunc(balances, func(a, b *balance) int { return cmp.Compare(a.surplus(), b.surplus()) })
	if donor.surplus() <= 0 || donor.pool == pool {
		return Move{}, false
	}
	return s.leave(donor, pool, byEndpoint)
}

// leave reserves an idle endpoint of a pool for a move.
func (s *Scheduler) leave(b *balance, to string, byEndpoint map[string]string) (m Move, found bool) {
	for len(b.idle) > 0 {
		e := b.idle[0]
		b.idle = b.idle[1:]
		name, known := byEndpoint[e.ID]
		if !known {
			continue
		}
		e.moving = true
		b.have--
		return Move{Instance: name, Endpoint: e.ID, From: b.pool, To: to}, true
	}
	return Move{}, false
}

// shrink gives endpoints to the spare pool that have not been needed for a while.
func (s *Scheduler) shrink(b *balance, spare string, byEndpoint map[string]string, now time.Time) (moves []Move) {
	d := s.demandOf(b.pool)
	if b.surplus() <= 0 {
		d.surplusSince = time.Time{}
		return nil
	}
	if d.surplusSince.IsZero() {
		d.surplusSince = now
	}
	if now.Sub(d.surplusSince) < shrinkAfter {
		return nil
	}
	for b.surplus() > 0 {
		m, found := s.leave(b, spare, byEndpoint)
		if !found {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// balances returns the size and need of each pool.
func (s *Scheduler) balances(pools []string, incoming map[string]int, now time.Time) (all []*balance) {
	loads := s.loads()
	for _, pool := range pools {
		b := &balance{pool: pool, have: incoming[pool]}
		l := loads[pool]
		if l == nil {
			l = &load{}
		}
		b.waiting = l.waiting
		lasting, size, withLasting := 0, 0, 0
		for _, e := range s.ofPool(pool) {
			if !e.listed || e.Draining || e.reserved() {
				continue
			}
			size = max(size, e.Capacity.CPU)
			if e.silent() {
				continue
			}
			b.have++
			held := e.lastingCPU()
			if held > 0 {
				withLasting++
			}
			lasting += held
			if e.seen && len(e.runs) == 0 && len(e.unknownRuns) == 0 && now.Sub(e.joinedAt) > settleTime {
				b.idle = append(b.idle, e)
			}
		}
		d := s.demandOf(pool)
		d.decay(now)
		b.need = needed(d.rate*headroom+l.urgent, lasting, size)
		b.need = max(b.need, withLasting+spareEndpoints)
		all = append(all, b)
	}
	return all
}

// needed returns how many endpoints of a size carry short and lasting work.
func needed(short float64, lasting, size int) (count int) {
	if size == 0 {
		return 1
	}
	return int(math.Ceil((short + float64(lasting)) / float64(size)))
}

// spareInstances returns the instances that a pool can get at once.
func (s *Scheduler) spareInstances(listed []InstanceSight, spare string) (free []InstanceSight) {
	for _, l := range listed {
		if spare != "" && l.Pool == spare && l.Up && !s.heldBack[l.Name] {
			free = append(free, l)
		}
	}
	return free
}

// lastingCPU returns the processors that lasting tasks take.
func (e *endpoint) lastingCPU() (cpu int) {
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			cpu += r.size.CPU
		}
	}
	return cpu
}
