package manager

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
)

// Times of moves.
const (
	// balanceInterval separates looks at the pools' sizes.
	balanceInterval = 250 * time.Millisecond
	// listInterval separates reads of the platform's list while nothing moves.
	listInterval = time.Second
	// moveSettled is when a move without an effect counts as not carried out: an
	// order that got no answer is carried out 12 s later at most, but is fenced by
	// the next order for the instance.
	moveSettled = 13 * time.Second
	// movesAtOnce bounds the orders under way. An order takes about 15 ms, so that a
	// flood's 100 moves would be spread over more than a second one after the other.
	movesAtOnce = 4
)

// Pools says which pools the operators have.
type Pools struct {
	// Serving are the pools that run jobs; Spare is the one whose instances are off,
	// or empty.
	Serving []string
	Spare   string
}

// moving is an instance on its way to another pool.
type moving struct {
	move      schedule.Move
	orderedAt time.Time
}

// balancer keeps the pools at the size that their demand takes.
type balancer struct {
	manager *Manager
	moving  map[string]*moving
	listed  []schedule.InstanceSight
	readAt  time.Time
}

// runMoves balances the pools until the context ends.
func (m *Manager) runMoves(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	b := &balancer{manager: m, moving: make(map[string]*moving)}
	go func() {
		for ctx.Err() == nil {
			if m.Term.Confirmed() {
				b.step(ctx)
			}
			retry.Pause(ctx, balanceInterval)
		}
		ended <- nil
	}()
	return ended
}

// step reads the list if it is old, and orders the moves that are due.
func (b *balancer) step(ctx context.Context) {
	pools := b.manager.Pools()
	if pools.Spare == "" && len(pools.Serving) < 2 {
		return
	}
	if now := time.Now(); len(b.moving) > 0 || now.Sub(b.readAt) >= listInterval {
		if !b.read(ctx, now) {
			return
		}
	}
	incoming := make(map[string]int)
	for _, v := range b.moving {
		incoming[v.move.To]++
	}
	m := b.manager
	m.mu.Lock()
	var free []schedule.InstanceSight
	for _, l := range b.listed {
		if b.moving[l.Name] == nil && !m.orders.blocked(l.Name) {
			free = append(free, l)
		}
	}
	moves := m.scheduler.PlanMoves(free, pools.Serving, pools.Spare, incoming, time.Now())
	m.mu.Unlock()
	if len(moves) == 0 {
		return
	}
	names := make([]string, 0, len(moves))
	for _, v := range moves {
		names = append(names, v.Instance)
	}
	if !m.orders.announce(ctx, m.Store, names) {
		for _, v := range moves {
			b.settle(&moving{move: v})
		}
		return
	}
	b.orderAll(ctx, moves)
}

// orderAll orders moves, several at a time, and returns once all are answered.
func (b *balancer) orderAll(ctx context.Context, moves []schedule.Move) {
	answers := make(chan moveAnswer)
	underWay := 0
	for len(moves) > 0 || underWay > 0 {
		if len(moves) == 0 || underWay == movesAtOnce {
			b.answered(<-answers)
			underWay--
			continue
		}
		v := moves[0]
		moves = moves[1:]
		if !b.manager.Term.Confirmed() {
			b.settle(&moving{move: v})
			continue
		}
		b.moving[v.Instance] = &moving{move: v, orderedAt: time.Now()}
		underWay++
		go func() { answers <- b.order(ctx, v) }()
	}
}

// read lists the instances and settles the moves that are over.
func (b *balancer) read(ctx context.Context, now time.Time) (read bool) {
	instances, err := b.manager.Machines.List(ctx)
	if err != nil {
		event.InstanceListFailed.Log(log.Fields{"error": err.Error()})
		return false
	}
	b.readAt = now
	b.manager.replaced(instances, b.manager.Pools().Spare)
	b.listed = b.listed[:0]
	present := make(map[string]bool, len(instances))
	for _, i := range instances {
		present[i.Name] = true
		b.listed = append(b.listed, schedule.InstanceSight{Name: i.Name, Pool: i.Pool, Endpoint: i.Endpoint, Up: i.Up})
		v := b.moving[i.Name]
		if v == nil || !v.orderedAt.Before(now) {
			continue
		}
		switch {
		case i.Pool == v.move.To && i.Up && b.arrived(i, v):
			delete(b.moving, i.Name)
		case i.Pool != v.move.To && now.Sub(v.orderedAt) > moveSettled:
			b.settle(v)
		}
	}
	for name, v := range b.moving {
		if !present[name] && now.Sub(v.orderedAt) > moveSettled {
			b.settle(v)
		}
	}
	return true
}

// arrived tells whether the instance's new endpoint is known, so that it is not
// counted twice or left out.
func (b *balancer) arrived(i Instance, v *moving) bool {
	if v.move.To == b.manager.Pools().Spare {
		return true
	}
	_, known := b.manager.sight(i.Endpoint)
	return known
}

// settle ends a move that had no effect.
func (b *balancer) settle(v *moving) {
	delete(b.moving, v.move.Instance)
	b.manager.mu.Lock()
	defer b.manager.mu.Unlock()
	b.manager.scheduler.Release(v.move.Endpoint)
}

// moveAnswer is what the order of a move led to.
type moveAnswer struct {
	move   schedule.Move
	answer MachineAnswer
	err    error
}

// order gives an idle instance to another pool.
func (b *balancer) order(ctx context.Context, v schedule.Move) (a moveAnswer) {
	m := b.manager
	a.move = v
	a.answer, a.err = m.Machines.Move(ctx, MachineCall{Instance: v.Instance, Holder: m.Holder, Fence: m.Term.Number, Pool: v.To})
	return a
}

// answered records what the order of a move led to.
func (b *balancer) answered(a moveAnswer) {
	m, v := b.manager, a.move
	fields := log.Fields{
		"instance": v.Instance, "endpoint": v.Endpoint, "from": v.From, "to": v.To, "term": m.Term.Number, "answer": a.answer.String(),
	}
	if a.err != nil {
		fields["error"] = a.err.Error()
	}
	switch a.answer {
	case MachineDone:
		event.MoveOrdered.Log(fields)
		m.gone(v.Endpoint)
		return
	case MachineUnknown:
	case MachineFenced:
		m.lose()
	case MachineBusy, MachineRefused, MachineLimited:
		b.settle(b.moving[v.Instance])
	}
	event.MoveRefused.Log(fields)
}
