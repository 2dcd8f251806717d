package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand of a pool and how its size follows.
const (
	// demandWindow and trendWindow are the times over which arriving work is averaged.
	// A flood rises for about 4 s; what the short average is above the long one tells
	// how fast.
	demandWindow = 500 * time.Millisecond
	trendWindow  = 1500 * time.Millisecond
	// moveLead is how far ahead the demand is foreseen: the time from the order of a
	// move to the first task, and the half of the short window by which it lags.
	moveLead = 2500 * time.Millisecond
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
	// leaves: more than one look at the pools, so that a single job does not decide.
	shrinkAfter = 300 * time.Millisecond
	// learnTime is how long the demand is watched from the first job on before a pool
	// shrinks: a flood under way shows within it.
	learnTime = 3 * time.Second
	// quietTime is how long pools keep their size if no job arrives at all.
	quietTime = 30 * time.Second
	// settleTime keeps an endpoint in the pool that it joined until tasks that wait for
	// it are placed. Two moves cost as much as an endpoint in 2.6 s.
	settleTime = time.Second
)

// Move is an order to give an instance to another pool.
type Move struct {
	Instance, Endpoint, From, To string
}

// demand is what a pool has to carry.
type demand struct {
	// rate and trendRate are the arriving work in cores over the short and the long
	// window, as of at.
	rate, trendRate float64
	at              time.Time
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
	if s.firstArrival.IsZero() {
		s.firstArrival = now
	}
	d := s.demandOf(j.Pool)
	d.decay(now)
	d.rate += work / float64(demandWindow.Milliseconds())
	d.trendRate += work / float64(trendWindow.Milliseconds())
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
		d.trendRate *= math.Exp(-float64(now.Sub(d.at)) / float64(trendWindow))
	}
	d.at = now
}

// foreseen returns the work that will arrive, in cores, when an instance that is
// ordered now takes its first task. A demand that falls is not foreseen, as an
// instance that left too early costs two moves.
func (d *demand) foreseen() (cores float64) {
	rise := max(0, d.rate-d.trendRate) / (trendWindow - demandWindow).Seconds()
	return d.rate + rise*moveLead.Seconds()
}

// balance is a pool's size beside its need.
type balance struct {
	pool string
	// have are the endpoints that serve or are on their way; need are those that the
	// demand takes, and firm those of them that jobs in time take.
	have, need, firm int
	// size is the processor of the largest endpoint. lasting are the processors that
	// lasting tasks take, and withLasting the endpoints on which they run.
	size, lasting, withLasting int
	// idle are endpoints that could leave at once, and busy those that could once
	// their tasks have ended.
	idle, busy []*endpoint
}

// surplus is how many endpoints beyond a target the pool can give away at once.
func (b *balance) surplus(target func(*balance) int) int {
	return min(b.have-target(b), len(b.idle))
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
		return cmp.Or(cmp.Compare(b.firm-b.have, a.firm-a.have), cmp.Compare(b.need-b.have, a.need-a.have), cmp.Compare(a.pool, b.pool))
	})
	missing := 0
	// Jobs in time come first in all pools.
	for _, target := range []func(*balance) int{(*balance).firmNeed, (*balance).wholeNeed} {
		for _, b := range balances {
			for b.have < target(b) {
				m, found := s.take(b.pool, &free, spare, balances, target, byEndpoint)
				if !found {
					break
				}
				b.have++
				moves = append(moves, m)
			}
		}
	}
	for _, b := range balances {
		missing += max(0, b.firm-b.have)
	}
	clearOut(balances, missing)
	if spare == "" || !s.demandKnown(now) {
		return moves
	}
	for _, b := range balances {
		moves = append(moves, s.shrink(b, spare, byEndpoint, now)...)
	}
	return moves
}

// demandKnown tells whether the demand was watched for long enough to shrink pools.
func (s *Scheduler) demandKnown(now time.Time) bool {
	if s.firstArrival.IsZero() {
		return now.Sub(s.startedAt) >= quietTime
	}
	return now.Sub(s.firstArrival) >= learnTime
}

func (b *balance) firmNeed() int  { return b.firm }
func (b *balance) wholeNeed() int { return b.need }

// clearOut keeps new tasks from as many endpoints as other pools miss for jobs in
// time, in the pools that have more than their own jobs in time take; late jobs
// would keep them busy for good. They move once they are idle.
func clearOut(balances []*balance, missing int) {
	for _, b := range balances {
		slices.SortStableFunc(b.busy, func(x, y *endpoint) int {
			return cmp.Or(cmp.Compare(len(x.runs), len(y.runs)), cmp.Compare(x.ID, y.ID))
		})
		extra := max(0, min(missing, b.have-b.firm, len(b.busy)))
		missing -= extra
		for i, e := range b.busy {
			e.clearing = i < extra
		}
		for _, e := range b.idle {
			e.clearing = false
		}
	}
}

// take finds an instance for a pool: a spare one, else one of the pool with the
// largest surplus over its target.
func (s *Scheduler) take(pool string, free *[]InstanceSight, spare string, balances []*balance, target func(*balance) int, byEndpoint map[string]string) (m Move, found bool) {
	if len(*free) > 0 {
		i := (*free)[0]
		*free = (*free)[1:]
		return Move{Instance: i.Name, Endpoint: i.Endpoint, From: spare, To: pool}, true
	}
	donor := slices.MaxFunc(balances, func(a, b *balance) int { return cmp.Compare(a.surplus(target), b.surplus(target)) })
	if donor.surplus(target) <= 0 || donor.pool == pool {
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
	if b.surplus((*balance).wholeNeed) <= 0 {
		d.surplusSince = time.Time{}
		return nil
	}
	if d.surplusSince.IsZero() {
		d.surplusSince = now
	}
	if now.Sub(d.surplusSince) < shrinkAfter {
		return nil
	}
	for b.surplus((*balance).wholeNeed) > 0 {
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
	loads := s.loads(now)
	for _, pool := range pools {
		b := &balance{pool: pool, have: incoming[pool]}
		l := loads[pool]
		if l == nil {
			l = &load{}
		}
		for _, e := range s.ofPool(pool) {
			b.add(e, now)
		}
		d := s.demandOf(pool)
		d.decay(now)
		inTime := max(d.foreseen()*headroom, l.running) + l.urgent
		b.firm = max(needed(inTime, b.lasting, b.size), b.withLasting+spareEndpoints)
		b.need = max(needed(inTime+l.overdue, b.lasting, b.size), b.firm)
		all = append(all, b)
	}
	return all
}

// add counts an endpoint of the pool.
func (b *balance) add(e *endpoint, now time.Time) {
	stays := e.listed && !e.Draining && !e.reserved()
	if stays {
		b.size = max(b.size, e.Capacity.CPU)
		if e.silent() {
			return
		}
		b.have++
	}
	// The lasting tasks of an endpoint that leaves need another place first.
	held := e.lasting().CPU
	if held > 0 {
		b.withLasting++
	}
	b.lasting += held
	switch {
	case !stays:
	case !e.seen || len(e.unknownRuns) > 0 || held > 0 || now.Sub(e.joinedAt) <= settleTime:
		e.clearing = false
	case len(e.runs) == 0:
		b.idle = append(b.idle, e)
	default:
		b.busy = append(b.busy, e)
	}
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
