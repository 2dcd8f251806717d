package dispatch

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
)

// Release returns the slots of a grant and notes what was seen of the task; it
// is also served for pools that another entry owns by now, and for grants that
// this entry does not know.
func (d *Dispatcher) Release(ctx context.Context, r *peerrpc.ReleaseRequest) (*peerrpc.Empty, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, found := d.pools[r.GetPool()]; found {
		released.Inc(1)
		d.release(ctx, p, r, time.Now())
	}
	return &peerrpc.Empty{}, nil
}

// release gives the slots of a grant to the next request; the caller holds the
// lock.
func (d *Dispatcher) release(ctx context.Context, p *pool, r *peerrpc.ReleaseRequest, now time.Time) {
	if p.queue.Cancel(r.GetId()) {
		p.answer(r.GetId(), &peerrpc.GrantReply{Reason: "released before it was granted"})
	}
	g, _ := p.queue.Release(r.GetId())
	if s, away := p.overflow.grants[r.GetId()]; away {
		delete(p.overflow.grants, r.GetId())
		d.releaseSpare(ctx, s, r)
	}
	p.learn(g, r, now)
	p.decide(now)
	d.kick()
}
