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

// askLimit bounds the requests of one pool that wait at the spare pool at once:
// as many as all slots of a spare pool of today's size.
const askLimit = 64

// askAgain is how long a kind of request is not sent to the spare pool after a
// refusal there.
const askAgain = 200 * time.Millisecond

// askKind is what requests have in common that can take each other's place at
// the spare pool.
type askKind struct {
	member  string
	urgency share.Urgency
	slots   int
}

// ask is a request for a slot that waits at the spare pool. Which queued
// request gets the slot is decided when it is granted, so that the order of the
// queue holds.
type ask struct {
	id     string
	kind   askKind
	cancel context.CancelFunc
}

// overflow is a pool's use of the spare pool.
type overflow struct {
	// spare is the spare pool; empty if there is none, or for the pool itself.
	spare  string
	asks   map[askKind][]*ask
	pauses map[askKind]time.Time
	// grants are the grants on endpoints of the spare pool by request.
	grants map[string]spareGrant
	serial int64
}

// spareGrant is a grant of the spare pool's dispatcher.
type spareGrant struct {
	id      string
	pool    string
	address string
	// fence is the endpoint's at the time of the grant.
	fence int64
	owner string
}

// followSpare takes over the spare pool of a version.
func (p *pool) followSpare(state *fleet.State, instances map[string][]fleet.Instance) {
	p.overflow.spare = ""
	for name, x := range state.Pools {
		if x.Spare && name != p.name && (p.overflow.spare == "" || name < p.overflow.spare) {
			p.overflow.spare = name
		}
	}
	if state.Pools[p.name].Spare {
		p.overflow.spare = ""
	}
	var o share.Overflow
	for _, i := range instances[p.overflow.spare] {
		if i.Phase == fleet.Serving && !i.Failed && p.overflow.spare != "" {
			o.Largest = max(o.Largest, i.Slots)
			o.Slots += i.Slots
		}
	}
	// Every pool is one group of the spare pool's queue.
	o.Slots /= max(1, len(state.Pools))
	p.queue.SetOverflow(o)
}

// askSpare starts and ends asks so that as many wait at the spare pool as the
// queue has use for; the caller holds the lock.
func (d *Dispatcher) askSpare(ctx context.Context, p *pool, now time.Time) {
	wanted := make(map[askKind]share.Wish)
	if p.overflow.spare != "" && !p.handedOver && !p.reading() {
		for _, w := range p.queue.Wishes(askLimit, now) {
			k := askKind{member: w.First.Member, urgency: w.First.Urgency, slots: w.First.Slots}
			wanted[k] = w
		}
	}
	for k, asks := range p.overflow.asks {
		for len(asks) > wanted[k].Count {
			last := len(asks) - 1
			asks[last].cancel()
			asks = asks[:last]
		}
		p.overflow.set(k, asks)
	}
	for k, w := range wanted {
		for len(p.overflow.asks[k]) < w.Count && !now.Before(p.overflow.pauses[k]) {
			d.startAsk(ctx, p, k, w.First)
		}
	}
}

func (o *overflow) set(k askKind, asks []*ask) {
	if o.asks == nil {
		o.asks = make(map[askKind][]*ask)
	}
	if len(asks) == 0 {
		delete(o.asks, k)
		return
	}
	o.asks[k] = asks
}

// drop takes an ask out of the waiting ones.
func (o *overflow) drop(x *ask) {
	var rest []*ask
	for _, y := range o.asks[x.kind] {
		if y != x {
			rest = append(rest, y)
		}
	}
	o.set(x.kind, rest)
}

func (d *Dispatcher) startAsk(ctx context.Context, p *pool, k askKind, first share.Request) {
	p.overflow.serial++
	self := d.Peers.Self()
	limited, cancel := context.WithCancel(ctx)
	x := &ask{
		id:     fmt.Sprintf("%s%s/%s/%d/%d", overflowPrefix, p.name, self.Name, self.Incarnation, p.overflow.serial),
		kind:   k,
		cancel: cancel,
	}
	p.overflow.set(k, append(p.overflow.asks[k], x))
	r := &peerrpc.GrantRequest{
		Id:                 x.id,
		Home:               self.Name,
		Incarnation:        self.Incarnation,
		Pool:               p.overflow.spare,
		Member:             k.member,
		Urgency:            k.urgency.String(),
		Slots:              int32(k.slots),
		RunMillis:          first.Run.Milliseconds(),
		DeadlineUnixMillis: first.Deadline.UnixMilli(),
		Version:            d.version,
		Avoid:              first.Avoid,
	}
	d.start(func() {
		defer cancel()
		d.runAsk(limited, p, x, r)
	})
}

// runAsk waits for the answer of the spare pool's dispatcher.
func (d *Dispatcher) runAsk(ctx context.Context, p *pool, x *ask, r *peerrpc.GrantRequest) {
	owner := d.Peers.Owner("pool/" + r.GetPool())
	reply, err := d.grantAt(ctx, owner.Name, r)

	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p.overflow.drop(x)
	switch {
	case err != nil && ctx.Err() == nil, err == nil && !reply.GetGranted():
		if p.overflow.pauses == nil {
			p.overflow.pauses = make(map[askKind]time.Time)
		}
		p.overflow.pauses[x.kind] = now.Add(askAgain)
	case err != nil:
		// The grant may have been issued before the call ended.
		d.releaseSpare(ctx, spareGrant{id: x.id, pool: r.GetPool(), owner: owner.Name}, &peerrpc.ReleaseRequest{Result: resultUnused})
	default:
		d.placeSpare(ctx, p, x, reply, spareGrant{id: x.id, pool: r.GetPool(), address: reply.GetAddress(), fence: reply.GetFence(), owner: owner.Name}, now)
	}
}

// placeSpare gives a slot of the spare pool to a queued request, or back.
func (d *Dispatcher) placeSpare(ctx context.Context, p *pool, x *ask, reply *peerrpc.GrantReply, s spareGrant, now time.Time) {
	g, placed := p.queue.Place(share.Offer{
		Member:   x.kind.member,
		Urgency:  x.kind.urgency,
		Slots:    x.kind.slots,
		Endpoint: reply.GetEndpoint(),
		Until:    time.UnixMilli(reply.GetUntilUnixMillis()),
	}, now)
	if !placed {
		d.releaseSpare(ctx, s, &peerrpc.ReleaseRequest{Endpoint: reply.GetEndpoint(), Result: resultUnused})
		return
	}
	if p.overflow.grants == nil {
		p.overflow.grants = make(map[string]spareGrant)
	}
	p.overflow.grants[g.Request.ID] = s
	overflowed.Inc(1)
	p.grant(g, now)
	d.kick()
}

// releaseSpare returns a slot to the dispatcher that granted it; the caller
// holds the lock.
func (d *Dispatcher) releaseSpare(ctx context.Context, s spareGrant, r *peerrpc.ReleaseRequest) {
	forwarded := &peerrpc.ReleaseRequest{
		Id:        s.id,
		Pool:      s.pool,
		Endpoint:  r.GetEndpoint(),
		Result:    r.GetResult(),
		RunMillis: r.GetRunMillis(),
	}
	d.start(func() {
		// The release of a call that ended is still due.
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
		defer cancel()
		_ = d.releaseAt(limited, s.owner, forwarded) // the grant ends by its deadline otherwise
	})
}

func (d *Dispatcher) grantAt(ctx context.Context, owner string, r *peerrpc.GrantRequest) (*peerrpc.GrantReply, error) {
	if owner == d.Peers.Self().Name {
		return d.Grant(ctx, r)
	}
	peer, err := d.Peers.Dial(owner, 0)
	if err != nil {
		return nil, err
	}
	return peer.Grant(ctx, r)
}

func (d *Dispatcher) releaseAt(ctx context.Context, owner string, r *peerrpc.ReleaseRequest) (err error) {
	if owner == d.Peers.Self().Name {
		_, err = d.Release(ctx, r)
		return err
	}
	peer, err := d.Peers.Dial(owner, 0)
	if err != nil {
		return err
	}
	_, err = peer.Release(ctx, r)
	return err
}

// groupOf returns the pool that a request overflowed from, or nothing.
func groupOf(id string) (group string) {
	rest, found := strings.CutPrefix(id, overflowPrefix)
	if !found {
		return ""
	}
	group, _, _ = strings.Cut(rest, "/")
	return group
}
