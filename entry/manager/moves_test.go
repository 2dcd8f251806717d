package manager

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// slowMachines answers orders once several are under way, or after a while.
type slowMachines struct {
	Machines

	mu       sync.Mutex
	underWay int
	most     int
	ordered  map[string]int
	full     chan struct{}
	answer   MachineAnswer
}

// Move waits until as many orders are under way as may be.
func (s *slowMachines) Move(ctx context.Context, c MachineCall) (answer MachineAnswer, err error) {
	s.mu.Lock()
	s.underWay++
	s.most = max(s.most, s.underWay)
	s.ordered[c.Instance]++
	if s.underWay == movesAtOnce {
		select {
		case <-s.full:
		default:
			close(s.full)
		}
	}
	s.mu.Unlock()
	select {
	case <-s.full:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay--
	return s.answer, nil
}

func moveWorld(answer MachineAnswer, confirmed func() bool) (b *balancer, machines *slowMachines, moves []schedule.Move) {
	machines = &slowMachines{ordered: make(map[string]int), full: make(chan struct{}), answer: answer}
	m := &Manager{Machines: machines, Term: Term{Number: 1, Confirmed: confirmed, Lost: func() {}}}
	var listed []schedule.Endpoint
	for i := range 30 {
		id := fmt.Sprintf("e%02d", i)
		listed = append(listed, schedule.Endpoint{ID: id, Pool: "p"})
		moves = append(moves, schedule.Move{Instance: "m-" + id, Endpoint: id, From: "p", To: "q"})
	}
	m.scheduler.List(listed, time.Now())
	return &balancer{manager: m, moving: make(map[string]*moving)}, machines, moves
}

// Guards against a flood that waits for its instances, as each order of a move waits
// for the answer to the one before: a hundred take more than a second that way.
func TestMovesAreOrderedSeveralAtATime(t *testing.T) {
	b, machines, moves := moveWorld(MachineDone, func() bool { return true })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	b.orderAll(ctx, moves)
	if machines.most != movesAtOnce {
		t.Errorf("%d orders under way at most, want %d", machines.most, movesAtOnce)
	}
	for _, v := range moves {
		if machines.ordered[v.Instance] != 1 || b.moving[v.Instance] == nil {
			t.Errorf("%s: %d orders, moving %v", v.Instance, machines.ordered[v.Instance], b.moving[v.Instance] != nil)
		}
	}
}

// Guards against instances that count as moving although the order was refused, or
// was not given as the ownership could not be confirmed.
func TestMovesThatAreNotOrderedAreSettled(t *testing.T) {
	orders := 0
	for name, w := range map[string]struct {
		answer    MachineAnswer
		confirmed func() bool
		orders    int
	}{
		"busy":           {MachineBusy, func() bool { return true }, 30},
		"unconfirmed":    {MachineDone, func() bool { return false }, 0},
		"not any longer": {MachineLimited, func() bool { orders++; return orders <= 10 }, 10},
	} {
		t.Run(name, func(t *testing.T) {
			b, machines, moves := moveWorld(w.answer, w.confirmed)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			b.orderAll(ctx, moves)
			if len(b.moving) > 0 || len(machines.ordered) != w.orders {
				t.Errorf("%d instances count as moving after %d orders, want 0 and %d", len(b.moving), len(machines.ordered), w.orders)
			}
		})
	}
}
