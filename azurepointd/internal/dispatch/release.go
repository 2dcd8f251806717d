package dispatch

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
)

// Release frees the slots of a grant and records the observed result of its
// task. It also handles releases for pools that another entry dispatches by
// now, and ignores grants that are not known.
func (d *Dispatcher) Release(ctx context.Context, r *peerrpc.ReleaseRequest) (*peerrpc.Empty, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, found := d.pools[r.GetPool()]; found {
		countReleased.Inc(1)
		d.release(ctx, p, r, time.Now())
	}
	return &peerrpc.Empty{}, nil
}

// release frees the slots of a grant for the next request; the caller holds the
// lock.
func (d *Dispatcher) release(ctx context.Context, p *pool, r *peerrpc.ReleaseRequest, now time.Time) {
	if p.queue.Cancel(r.GetId()) {
		p.sendReply(r.GetId(), &peerrpc.GrantReply{Reason: "released before it was granted"})
	}
	g, _ := p.queue.Release(r.GetId())
	if s, overflowed := p.overflow.grants[r.GetId()]; overflowed {
		delete(p.overflow.grants, r.GetId())
		d.releaseSpareGrant(ctx, s, r)
	}
	p.observeResult(g, r, now)
	p.decideQueue(now)
	d.wakeLoop()
}
