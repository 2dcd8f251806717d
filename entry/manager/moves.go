package manager

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/coordination/sizing"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// Intervals and limits of moves.
const (
	// balanceInterval is the time between two checks of the pools' sizes.
	balanceInterval = 250 * time.Millisecond
	// listInterval is the time between reads of the platform's instance list while
	// nothing moves.
	listInterval = time.Second
	// lateOrderTime is how long after the answer was due the platform may carry out an order for an
	// instance, with a second to spare, unless a later order for the instance fences it.
	lateOrderTime = 13 * time.Second
	// maxConcurrentMoves bounds the orders in flight. An order takes about 15 ms, so
	// sending the 100 moves of a flood sequentially would take more than a second. More
	// at once than four give a small owner more new endpoints than it can serve.
	maxConcurrentMoves = 4
	// maxStoreWait is how long moves wait until the ends of their endpoints are stored, and
	// storeCheckInterval the time between two checks. A transaction takes about 10 ms.
	maxStoreWait       = 500 * time.Millisecond
	storeCheckInterval = 5 * time.Millisecond
)

// Pools names the pools that the operators have configured.
type Pools struct {
	// Serving are the pools that run jobs; Spare is the pool whose instances are
	// powered off, or empty.
	Serving []string
	Spare   string
}

// pendingMove is a move that was ordered and has not finished.
type pendingMove struct {
	move      schedule.Move
	orderedAt time.Time
}

// balancer moves instances so that each pool has the size that its demand requires.
type balancer struct {
	manager   *Manager
	pending   map[string]*pendingMove
	instances []schedule.InstanceObservation
	readAt    time.Time
}

// runMoves balances the pools until the context ends.
func (m *Manager) runMoves(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	b := &balancer{manager: m, pending: make(map[string]*pendingMove)}
	go func() {
		for ctx.Err() == nil {
			if m.Term.Confirmed() {
				b.balance(ctx)
			}
			retry.Sleep(ctx, balanceInterval)
		}
		ended <- nil
	}()
	return ended
}

// balance reads the instance list if it is outdated, and orders the moves that are
// due.
func (b *balancer) balance(ctx context.Context) {
	pools := b.manager.Pools()
	if pools.Spare == "" && len(pools.Serving) < 2 {
		return
	}
	if now := time.Now(); len(b.pending) > 0 || now.Sub(b.readAt) >= listInterval {
		if !b.readInstances(ctx, now) {
			return
		}
	}
	incoming := make(map[string]int)
	for _, v := range b.pending {
		incoming[v.move.To]++
	}
	m := b.manager
	m.mu.Lock()
	var free []schedule.InstanceObservation
	for _, l := range b.instances {
		if b.pending[l.Name] == nil && !m.orders.blocked(l.Name) {
			free = append(free, l)
		}
	}
	m.scheduler.SetInstances(schedule.Instances{Incoming: incoming, Spare: countSpare(free, pools.Spare)})
	moves := m.scheduler.PlanMoves(free, pools.Serving, pools.Spare, incoming, time.Now())
	sizes, urgent := m.scheduler.PoolSizes(), m.scheduler.HasUrgentWrites()
	m.mu.Unlock()
	if urgent {
		m.recordWriter.trigger()
	}
	recordSizes(sizes)
	if len(moves) == 0 {
		return
	}
	names := make([]string, 0, len(moves))
	for _, v := range moves {
		names = append(names, v.Instance)
	}
	if !m.orders.storeNames(ctx, m.Store, names) {
		for _, v := range moves {
			b.releaseMove(&pendingMove{move: v})
		}
		return
	}
	b.orderMoves(ctx, moves)
}

// countSpare returns how many instances of the spare pool are up.
func countSpare(instances []schedule.InstanceObservation, spare string) (count int) {
	for _, i := range instances {
		if spare != "" && i.Pool == spare && i.Up {
			count++
		}
	}
	return count
}

// recordSizes sets the gauges of the pools' sizes.
func recordSizes(sizes []sizing.Size) {
	for _, o := range sizes {
		meter.SetGauge("pools."+o.Pool+".size", int64(o.Current))
		meter.SetGauge("pools."+o.Pool+".required", int64(o.Required))
		meter.SetGauge("pools."+o.Pool+".requiredOnTime", int64(o.RequiredOnTime))
		meter.SetGauge("pools."+o.Pool+".kept", int64(o.Kept))
	}
}

// orderMoves sends the orders of moves, up to maxConcurrentMoves at a time, and
// returns once all are answered.
func (b *balancer) orderMoves(ctx context.Context, moves []schedule.Move) {
	results := make(chan moveResult)
	inFlight := 0
	storeUntil := time.Now().Add(maxStoreWait)
	for len(moves) > 0 || inFlight > 0 {
		moves = b.awaitStore(ctx, moves, storeUntil)
		if len(moves) == 0 || inFlight == maxConcurrentMoves {
			b.applyMoveResult(<-results)
			inFlight--
			continue
		}
		v := moves[0]
		moves = moves[1:]
		if !b.manager.Term.Confirmed() || !b.mayOrder(v) {
			b.releaseMove(&pendingMove{move: v})
			continue
		}
		b.pending[v.Instance] = &pendingMove{move: v, orderedAt: time.Now()}
		inFlight++
		go func() { results <- b.orderMove(ctx, v) }()
	}
}

// awaitStore moves those to the end that wait until ends are stored. If all do, it waits for the
// first one, but not longer than until a time.
func (b *balancer) awaitStore(ctx context.Context, moves []schedule.Move, until time.Time) (ready []schedule.Move) {
	for ctx.Err() == nil {
		var waiting []schedule.Move
		ready = ready[:0]
		b.manager.mu.Lock()
		for _, v := range moves {
			if b.manager.scheduler.AwaitsStore(v) {
				waiting = append(waiting, v)
			} else {
				ready = append(ready, v)
			}
		}
		b.manager.mu.Unlock()
		if len(ready) > 0 || len(waiting) == 0 || !time.Now().Before(until) {
			return append(ready, waiting...)
		}
		b.manager.recordWriter.trigger()
		retry.Sleep(ctx, storeCheckInterval)
	}
	return moves
}

// mayOrder reports whether a planned move may be ordered now. Hundreds of moves that are planned at
// once take seconds to order.
func (b *balancer) mayOrder(v schedule.Move) bool {
	b.manager.mu.Lock()
	defer b.manager.mu.Unlock()
	return b.manager.scheduler.MayMove(v) && b.manager.orders.renew(v.Instance)
}

// readInstances reads the instance list, and ends the moves that are finished or had
// no effect.
func (b *balancer) readInstances(ctx context.Context, now time.Time) (read bool) {
	instances, err := b.manager.Machines.List(ctx)
	if err != nil {
		event.InstanceListFailed.Log(log.Fields{"error": err.Error()})
		return false
	}
	b.readAt = now
	b.manager.removeReplacedEndpoints(instances, b.manager.Pools().Spare)
	b.instances = b.instances[:0]
	present := make(map[string]bool, len(instances))
	for _, i := range instances {
		present[i.Name] = true
		b.instances = append(b.instances, schedule.InstanceObservation{Name: i.Name, Pool: i.Pool, Endpoint: i.Endpoint, Up: i.Up})
		v := b.pending[i.Name]
		if v == nil || !v.orderedAt.Before(now) {
			continue
		}
		switch {
		case i.Pool == v.move.To && i.Up && b.endpointKnown(i, v):
			delete(b.pending, i.Name)
		case i.Pool != v.move.To && now.Sub(v.orderedAt) > lateOrderTime:
			b.releaseMove(v)
		}
	}
	for name, v := range b.pending {
		if !present[name] && now.Sub(v.orderedAt) > lateOrderTime {
			b.releaseMove(v)
		}
	}
	return true
}

// endpointKnown reports whether the scheduler knows the instance's new endpoint.
// Until then the move stays pending, so that the endpoint is counted exactly once.
func (b *balancer) endpointKnown(i Instance, v *pendingMove) bool {
	if v.move.To == b.manager.Pools().Spare {
		return true
	}
	_, known := b.manager.endpointStatus(i.Endpoint)
	return known
}

// releaseMove ends a move that had no effect, and makes its endpoint available again.
func (b *balancer) releaseMove(v *pendingMove) {
	delete(b.pending, v.move.Instance)
	b.manager.mu.Lock()
	defer b.manager.mu.Unlock()
	b.manager.scheduler.CancelMove(v.move.Endpoint)
}

// moveResult is the result of the order of a move.
type moveResult struct {
	move   schedule.Move
	answer InstanceOrderResult
	err    error
}

// orderMove orders the platform to move an idle instance to another pool.
func (b *balancer) orderMove(ctx context.Context, v schedule.Move) (a moveResult) {
	m := b.manager
	a.move = v
	a.answer, a.err = m.Machines.Move(ctx, InstanceOrder{Instance: v.Instance, Holder: m.Holder, Fence: m.Term.Number, Pool: v.To})
	return a
}

// applyMoveResult records and logs the result of the order of a move.
func (b *balancer) applyMoveResult(a moveResult) {
	m, v := b.manager, a.move
	fields := log.Fields{
		"instance": v.Instance, "endpoint": v.Endpoint, "from": v.From, "to": v.To, "reason": string(v.Reason), "term": m.Term.Number, "answer": a.answer.String(),
	}
	if a.err != nil {
		fields["error"] = a.err.Error()
	}
	switch a.answer {
	case InstanceOrderDone:
		event.MoveOrdered.Log(fields)
		m.endpointEnded(v.Endpoint, schedule.LossReleased)
		return
	case InstanceOrderUnknown:
		b.pending[v.Instance].orderedAt = time.Now()
	case InstanceOrderFenced:
		m.endTerm()
	case InstanceOrderBusy, InstanceOrderRefused, InstanceOrderLimited:
		b.releaseMove(b.pending[v.Instance])
	}
	event.MoveRefused.Log(fields)
}
