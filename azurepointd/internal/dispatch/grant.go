package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// catchUpLimit leaves urgent work two thirds of its 3 s when the configuration
// of its pool arrives late.
const catchUpLimit = time.Second

// Grant waits until a request is granted or refused. A repeated request with
// the same ID gets the grant that it already holds, or takes the place of the
// earlier call. When the context ends, the request leaves the queue.
func (d *Dispatcher) Grant(ctx context.Context, r *peerrpc.GrantRequest) (reply *peerrpc.GrantReply, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dispatch: grant %s: %w", r.GetId(), err)
		}
	}()
	d.catchUp(ctx, r)
	reply, waiter := d.enter(r, time.Now())
	if reply != nil {
		return reply, nil
	}
	select {
	case reply = <-waiter:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		d.leave(ctx, r, waiter)
		return nil, ctx.Err()
	}
	return reply, nil
}

// catchUp waits for the configuration of the home if the pool is not known
// here yet.
func (d *Dispatcher) catchUp(ctx context.Context, r *peerrpc.GrantRequest) {
	limited, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	for {
		changed := d.Fleet.Changed()
		state := d.Fleet.State()
		if state == nil || state.Version >= r.GetVersion() {
			return
		}
		if _, known := state.Pools[r.GetPool()]; known {
			return
		}
		select {
		case <-changed:
		case <-limited.Done():
			return
		}
	}
}

// enter queues a request; it returns the reply if there is one at once.
func (d *Dispatcher) enter(r *peerrpc.GrantRequest, now time.Time) (reply *peerrpc.GrantReply, waiter chan *peerrpc.GrantReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noticePause(now)
	if owner, own := d.owner(r.GetPool()); !own {
		return elsewhere(owner.Name), nil
	}
	request, err := parse(r)
	if err != nil {
		return &peerrpc.GrantReply{Reason: "invalid: " + err.Error()}, nil
	}
	p, found := d.pool(r.GetPool(), now)
	if !found {
		return &peerrpc.GrantReply{Reason: fmt.Sprintf("unknownPool: %q is not in version %d", r.GetPool(), d.version)}, nil
	}
	if m, known := d.Fleet.State().Members[r.GetMember()]; known && m.Cap == 0 {
		return &peerrpc.GrantReply{Reason: fmt.Sprintf("capIsZero: member %q may use no slots", m.Name)}, nil
	}
	if run := time.Duration(r.GetRunMillis()) * time.Millisecond; run > p.longest {
		return &peerrpc.GrantReply{Reason: fmt.Sprintf("runTooLong: %s declared, grants end after %s", run, p.longest)}, nil
	}
	if p.handedOver {
		d.takeOver(p, now)
	}
	if g, held := p.queue.Granted(request.ID); held {
		return p.reply(g), nil
	}
	return nil, d.wait(p, request, now)
}

// wait queues a request, or joins one that is queued, and returns the channel
// on which its reply comes.
func (d *Dispatcher) wait(p *pool, r share.Request, now time.Time) (waiter chan *peerrpc.GrantReply) {
	p.answer(r.ID, &peerrpc.GrantReply{Reason: "superseded by a repeated request"})
	waiter = make(chan *peerrpc.GrantReply, 1)
	p.waiters[r.ID] = waiter
	if !p.queue.Queued(r.ID) {
		p.refuse(p.queue.Push(p.estimate(r, now), now))
	}
	p.decide(now)
	d.kick()
	return waiter
}

// leave takes a request whose caller is gone out of the queue, and takes back
// a grant that the caller does not know of.
func (d *Dispatcher) leave(ctx context.Context, r *peerrpc.GrantRequest, waiter chan *peerrpc.GrantReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, found := d.pools[r.GetPool()]
	if !found {
		return
	}
	now := time.Now()
	if p.waiters[r.GetId()] == waiter {
		delete(p.waiters, r.GetId())
		p.queue.Cancel(r.GetId())
		delete(p.declared, r.GetId())
		cancelled.Inc(1)
		return
	}
	select {
	case reply := <-waiter:
		if reply.GetGranted() {
			d.release(ctx, p, &peerrpc.ReleaseRequest{Id: r.GetId(), Endpoint: reply.GetEndpoint(), Result: resultUnused}, now)
		}
	default:
	}
}

// elsewhere is the reply for a pool that another entry dispatches.
func elsewhere(owner string) *peerrpc.GrantReply {
	if owner == "" {
		return &peerrpc.GrantReply{Reason: "noDispatcher: this entry stops and no other is live"}
	}
	return &peerrpc.GrantReply{Reason: "the pool has another dispatcher", Owner: owner}
}

// parse checks a request and returns it as the queue takes it.
func parse(r *peerrpc.GrantRequest) (q share.Request, err error) {
	urgency, err := share.ParseUrgency(r.GetUrgency())
	switch {
	case err != nil:
		return q, err
	case r.GetId() == "":
		return q, fmt.Errorf("id is empty")
	case r.GetMember() == "":
		return q, fmt.Errorf("member is empty")
	case r.GetSlots() < 0 || r.GetRunMillis() < 0:
		return q, fmt.Errorf("slots %d or run time %d ms is negative", r.GetSlots(), r.GetRunMillis())
	case time.Duration(r.GetRunMillis())*time.Millisecond > longestLease:
		return q, fmt.Errorf("run time %d ms exceeds the longest lease %s", r.GetRunMillis(), longestLease)
	}
	return share.Request{
		ID:       r.GetId(),
		Group:    groupOf(r.GetId()),
		Member:   r.GetMember(),
		Urgency:  urgency,
		Slots:    max(1, int(r.GetSlots())),
		Run:      time.Duration(r.GetRunMillis()) * time.Millisecond,
		Deadline: time.UnixMilli(r.GetDeadlineUnixMillis()),
		Avoid:    r.GetAvoid(),
	}, nil
}
