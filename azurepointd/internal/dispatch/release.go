package dispatch

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
)

// Results of a task as a home reports them in a release.
const (
	resultDone    = "done"
	resultRefused = "refused"
)

// Release returns the slots of a grant and notes what was seen of the task; it
// is also served for pools that another entry owns by now, and for grants that
// this entry does not know.
func (d *Dispatcher) Release(_ context.Context, r *peerrpc.ReleaseRequest) (*peerrpc.Empty, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, found := d.pools[r.GetPool()]
	if !found {
		return &peerrpc.Empty{}, nil
	}
	now := time.Now()
	p.queue.Cancel(r.GetId())
	p.queue.Release(r.GetId())
	released.Inc(1)
	d.learn(p, r, now)
	p.decide(now)
	d.kick()
	return &peerrpc.Empty{}, nil
}

// learn notes what the result of a task tells of its endpoint.
func (d *Dispatcher) learn(p *pool, r *peerrpc.ReleaseRequest, now time.Time) {
	run := time.Duration(r.GetRunMillis()) * time.Millisecond
	if r.GetResult() == resultDone {
		p.queue.Observe(run)
	}
	e, found := p.endpoints[r.GetEndpoint()]
	if found && r.GetResult() == resultRefused {
		e.refuse(now, d.Endpoints != nil)
		p.reopen(d.Fleet, now)
	}
}
