package dispatch

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// maxSpareRequests bounds the requests of one pool that wait at the spare pool
// at the same time: as many as the slots of a spare pool of the present size.
const maxSpareRequests = 64

// spareRetryDelay is how long no request of a kind is sent to the spare pool
// after it refused one.
const spareRetryDelay = 200 * time.Millisecond

// spareRequestKind holds the properties by which a slot of the spare pool is
// requested. Requests with the same properties are interchangeable there.
type spareRequestKind struct {
	member  string
	urgency share.Urgency
	slots   int
}

// spareRequest is a request for a slot that waits at the spare pool. The queued
// request that gets the slot is chosen when the slot is granted, so that the
// order of the queue is kept.
type spareRequest struct {
	id     string
	kind   spareRequestKind
	cancel context.CancelFunc
}

// overflow is the use of the spare pool by one pool.
type overflow struct {
	// sparePool is the name of the spare pool; empty if there is none, or for the
	// spare pool itself.
	sparePool string
	requests  map[spareRequestKind][]*spareRequest
	retryAt   map[spareRequestKind]time.Time
	// grants holds the grants on endpoints of the spare pool, by request ID.
	grants map[string]spareGrant
	serial int64
}

// spareGrant is a grant issued by the dispatcher of the spare pool.
type spareGrant struct {
	id      string
	pool    string
	address string
	// fence is the fencing token of the endpoint at the time of the grant.
	fence      int64
	dispatcher string
}

// configureSparePool applies the spare pool of a version.
func (p *pool) configureSparePool(state *fleet.State, instances map[string][]fleet.Instance) {
	p.overflow.sparePool = ""
	for name, candidate := range state.Pools {
		if candidate.Spare && name != p.name && (p.overflow.sparePool == "" || name < p.overflow.sparePool) {
			p.overflow.sparePool = name
		}
	}
	if state.Pools[p.name].Spare {
		p.overflow.sparePool = ""
	}
	var o share.Overflow
	for _, i := range instances[p.overflow.sparePool] {
		if i.Phase == fleet.Serving && !i.Failed && p.overflow.sparePool != "" {
			o.Largest = max(o.Largest, i.Slots)
			o.Slots += i.Slots
		}
	}
	// Each pool is one group in the queue of the spare pool.
	o.Slots /= max(1, len(state.Pools))
	p.queue.SetOverflow(o)
}

// adjustSpareRequests starts and cancels requests to the spare pool so that as
// many wait there as the queue can use; the caller holds the lock.
func (d *Dispatcher) adjustSpareRequests(ctx context.Context, p *pool, now time.Time) {
	wanted := make(map[spareRequestKind]share.OverflowDemand)
	if p.overflow.sparePool != "" && !p.handedOver && !p.awaitsStatus() {
		for _, w := range p.queue.OverflowDemands(maxSpareRequests, now) {
			k := spareRequestKind{member: w.First.Member, urgency: w.First.Urgency, slots: w.First.Slots}
			wanted[k] = w
		}
	}
	for k, waiting := range p.overflow.requests {
		for len(waiting) > wanted[k].Count {
			last := len(waiting) - 1
			waiting[last].cancel()
			waiting = waiting[:last]
		}
		p.overflow.setRequests(k, waiting)
	}
	for k, w := range wanted {
		for len(p.overflow.requests[k]) < w.Count && !now.Before(p.overflow.retryAt[k]) {
			d.startSpareRequest(ctx, p, k, w.First)
		}
	}
}

func (o *overflow) setRequests(k spareRequestKind, requests []*spareRequest) {
	if o.requests == nil {
		o.requests = make(map[spareRequestKind][]*spareRequest)
	}
	if len(requests) == 0 {
		delete(o.requests, k)
		return
	}
	o.requests[k] = requests
}

// removeRequest removes a request from the waiting ones.
func (o *overflow) removeRequest(request *spareRequest) {
	var rest []*spareRequest
	for _, other := range o.requests[request.kind] {
		if other != request {
			rest = append(rest, other)
		}
	}
	o.setRequests(request.kind, rest)
}

func (d *Dispatcher) startSpareRequest(ctx context.Context, p *pool, k spareRequestKind, first share.Request) {
	p.overflow.serial++
	self := d.Peers.Self()
	requestCtx, cancel := context.WithCancel(ctx)
	request := &spareRequest{
		id:     fmt.Sprintf("%s%s/%s/%d/%d", overflowPrefix, p.name, self.Name, self.Incarnation, p.overflow.serial),
		kind:   k,
		cancel: cancel,
	}
	p.overflow.setRequests(k, append(p.overflow.requests[k], request))
	r := &peerrpc.GrantRequest{
		Id:                 request.id,
		Home:               self.Name,
		Incarnation:        self.Incarnation,
		Pool:               p.overflow.sparePool,
		Member:             k.member,
		Urgency:            k.urgency.String(),
		Slots:              int32(k.slots),
		RunMillis:          first.Run.Milliseconds(),
		DeadlineUnixMillis: first.Deadline.UnixMilli(),
		Version:            d.version,
		Avoid:              first.Avoid,
	}
	d.goBackground(func() {
		defer cancel()
		d.runSpareRequest(requestCtx, p, request, r)
	})
}

// runSpareRequest sends a request to the dispatcher of the spare pool and
// handles the reply.
func (d *Dispatcher) runSpareRequest(ctx context.Context, p *pool, request *spareRequest, r *peerrpc.GrantRequest) {
	dispatcher := d.Peers.Owner("pool/" + r.GetPool())
	reply, err := d.grantAt(ctx, dispatcher.Name, r)

	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p.overflow.removeRequest(request)
	switch {
	case err != nil && ctx.Err() == nil, err == nil && !reply.GetGranted():
		if p.overflow.retryAt == nil {
			p.overflow.retryAt = make(map[spareRequestKind]time.Time)
		}
		p.overflow.retryAt[request.kind] = now.Add(spareRetryDelay)
	case err != nil:
		// The grant may have been issued before the call ended.
		d.releaseSpareGrant(ctx, spareGrant{id: request.id, pool: r.GetPool(), dispatcher: dispatcher.Name}, &peerrpc.ReleaseRequest{Result: resultUnused})
	default:
		d.placeSpareGrant(ctx, p, request, reply, spareGrant{id: request.id, pool: r.GetPool(), address: reply.GetAddress(), fence: reply.GetFence(), dispatcher: dispatcher.Name}, now)
	}
}

// placeSpareGrant assigns a slot of the spare pool to a queued request, or
// returns it if no request needs it.
func (d *Dispatcher) placeSpareGrant(ctx context.Context, p *pool, request *spareRequest, reply *peerrpc.GrantReply, s spareGrant, now time.Time) {
	g, placed := p.queue.PlaceOverflow(share.OverflowOffer{
		Member:   request.kind.member,
		Urgency:  request.kind.urgency,
		Slots:    request.kind.slots,
		Endpoint: reply.GetEndpoint(),
		Until:    time.UnixMilli(reply.GetUntilUnixMillis()),
	}, now)
	if !placed {
		d.releaseSpareGrant(ctx, s, &peerrpc.ReleaseRequest{Endpoint: reply.GetEndpoint(), Result: resultUnused})
		return
	}
	if p.overflow.grants == nil {
		p.overflow.grants = make(map[string]spareGrant)
	}
	p.overflow.grants[g.Request.ID] = s
	countOverflowed.Inc(1)
	p.sendGrant(g, now)
	d.wakeLoop()
}

// releaseSpareGrant returns a slot to the dispatcher that granted it; the
// caller holds the lock.
func (d *Dispatcher) releaseSpareGrant(ctx context.Context, s spareGrant, r *peerrpc.ReleaseRequest) {
	forwarded := &peerrpc.ReleaseRequest{
		Id:        s.id,
		Pool:      s.pool,
		Endpoint:  r.GetEndpoint(),
		Result:    r.GetResult(),
		RunMillis: r.GetRunMillis(),
	}
	d.goBackground(func() {
		// The release is sent even after ctx has ended.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
		defer cancel()
		_ = d.releaseAt(callCtx, s.dispatcher, forwarded) // otherwise the grant ends at its deadline
	})
}

func (d *Dispatcher) grantAt(ctx context.Context, entry string, r *peerrpc.GrantRequest) (*peerrpc.GrantReply, error) {
	if entry == d.Peers.Self().Name {
		return d.Grant(ctx, r)
	}
	peer, err := d.Peers.Dial(entry, 0)
	if err != nil {
		return nil, err
	}
	return peer.Grant(ctx, r)
}

func (d *Dispatcher) releaseAt(ctx context.Context, entry string, r *peerrpc.ReleaseRequest) (err error) {
	if entry == d.Peers.Self().Name {
		_, err = d.Release(ctx, r)
		return err
	}
	peer, err := d.Peers.Dial(entry, 0)
	if err != nil {
		return err
	}
	_, err = peer.Release(ctx, r)
	return err
}

// overflowGroup returns the name of the pool from which a request overflowed,
// or an empty string.
func overflowGroup(id string) (group string) {
	rest, found := strings.CutPrefix(id, overflowPrefix)
	if !found {
		return ""
	}
	group, _, _ = strings.Cut(rest, "/")
	return group
}
