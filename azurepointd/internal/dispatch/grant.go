package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// configurationTimeout leaves urgent work two thirds of its 3 s if the
// configuration of its pool arrives late.
const configurationTimeout = time.Second

// Grant waits until a request is granted or refused. A repeated request with
// the same ID gets the grant that the ID already holds, or replaces the earlier
// call. When the context ends, the request is removed from the queue.
func (d *Dispatcher) Grant(ctx context.Context, r *peerrpc.GrantRequest) (reply *peerrpc.GrantReply, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dispatch: grant %s: %w", r.GetId(), err)
		}
	}()
	d.awaitConfiguration(ctx, r)
	reply, waiter := d.enqueue(r, time.Now())
	if reply != nil {
		return reply, nil
	}
	select {
	case reply = <-waiter:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		d.abandon(ctx, r, waiter)
		return nil, ctx.Err()
	}
	return reply, nil
}

// awaitConfiguration waits for the version of the sender's configuration if the
// pool is not in the version in force here.
func (d *Dispatcher) awaitConfiguration(ctx context.Context, r *peerrpc.GrantRequest) {
	waitCtx, cancel := context.WithTimeout(ctx, configurationTimeout)
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
		case <-waitCtx.Done():
			return
		}
	}
}

// enqueue adds a request to its queue, or returns the reply if there is one at
// once.
func (d *Dispatcher) enqueue(r *peerrpc.GrantRequest, now time.Time) (reply *peerrpc.GrantReply, waiter chan *peerrpc.GrantReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	if dispatcher, isSelf := d.dispatcherOf(r.GetPool()); !isSelf {
		// The pool may be assigned back before the next refresh.
		if p, open := d.pools[r.GetPool()]; open {
			d.handOver(p)
		}
		return redirectReply(dispatcher.Name), nil
	}
	request, err := parseRequest(r)
	if err != nil {
		return &peerrpc.GrantReply{Reason: "invalid: " + err.Error()}, nil
	}
	p, found := d.openPool(r.GetPool(), now)
	if !found {
		return &peerrpc.GrantReply{Reason: fmt.Sprintf("unknownPool: %q is not in version %d", r.GetPool(), d.version)}, nil
	}
	if m, known := d.Fleet.State().Members[r.GetMember()]; known && m.Cap == 0 {
		return &peerrpc.GrantReply{Reason: fmt.Sprintf("capIsZero: member %q may use no slots", m.Name)}, nil
	}
	if run := time.Duration(r.GetRunMillis()) * time.Millisecond; run > p.longestRun {
		return &peerrpc.GrantReply{Reason: fmt.Sprintf("runTooLong: %s declared, grants end after %s", run, p.longestRun)}, nil
	}
	if p.handedOver {
		d.takeOver(p, now)
	}
	if g, held := p.queue.Granted(request.ID); held {
		return p.grantReply(g), nil
	}
	return nil, d.addWaiter(p, request, now)
}

// addWaiter queues a request unless it is queued already, and returns the
// channel on which its reply is sent. An earlier call with the same ID is
// answered that it is superseded.
func (d *Dispatcher) addWaiter(p *pool, r share.Request, now time.Time) (waiter chan *peerrpc.GrantReply) {
	p.sendReply(r.ID, &peerrpc.GrantReply{Reason: "superseded by a repeated request"})
	waiter = make(chan *peerrpc.GrantReply, 1)
	p.waiters[r.ID] = waiter
	if !p.queue.Queued(r.ID) {
		p.sendRefusals(p.queue.Push(p.estimate(r, now), now))
	}
	p.decideQueue(now)
	d.wakeLoop()
	return waiter
}

// abandon removes a request from the queue after its call has ended, and
// reclaims a grant that the caller did not receive.
func (d *Dispatcher) abandon(ctx context.Context, r *peerrpc.GrantRequest, waiter chan *peerrpc.GrantReply) {
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
		countCancelled.Inc(1)
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

// redirectReply returns the reply for a pool that another entry dispatches.
func redirectReply(dispatcher string) *peerrpc.GrantReply {
	if dispatcher == "" {
		return &peerrpc.GrantReply{Reason: "noDispatcher: this entry stops and no other is live"}
	}
	return &peerrpc.GrantReply{Reason: "the pool has another dispatcher", Owner: dispatcher}
}

// parseRequest validates a request and converts it for the queue.
func parseRequest(r *peerrpc.GrantRequest) (q share.Request, err error) {
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
	case r.GetRunMillis() > maxRunTime.Milliseconds():
		return q, fmt.Errorf("run time %d ms exceeds the longest lease %s", r.GetRunMillis(), maxRunTime)
	}
	return share.Request{
		ID:       r.GetId(),
		Group:    overflowGroup(r.GetId()),
		Member:   r.GetMember(),
		Urgency:  urgency,
		Slots:    max(1, int(r.GetSlots())),
		Run:      time.Duration(r.GetRunMillis()) * time.Millisecond,
		Deadline: time.UnixMilli(r.GetDeadlineUnixMillis()),
		Avoid:    r.GetAvoid(),
	}, nil
}
