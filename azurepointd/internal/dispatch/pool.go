package dispatch

import (
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// pool is the queue of one pool with its waiting callers; the dispatcher's
// lock guards it.
type pool struct {
	name      string
	queue     share.Queue
	waiters   map[string]chan *peerrpc.GrantReply
	endpoints map[string]*endpoint
	// readsStatus tells whether the status of endpoints can be read.
	readsStatus bool
	// handedOver is set while another entry owns the pool.
	handedOver bool
	// takenAt is when this entry began to grant for the pool.
	takenAt time.Time
	// heldUntil is when grants are issued again after the process was paused.
	heldUntil time.Time
}

func newPool(name string, clockError time.Duration, readsStatus bool) (p *pool) {
	return &pool{
		name:        name,
		readsStatus: readsStatus,
		queue:       share.Queue{ClockError: clockError},
		waiters:     make(map[string]chan *peerrpc.GrantReply),
		endpoints:   make(map[string]*endpoint),
	}
}

// take begins to grant for the pool.
func (p *pool) take(now time.Time) {
	p.handedOver = false
	p.takenAt = now
	p.recount(now)
	for _, e := range p.endpoints {
		e.unread = p.readsStatus
	}
	event.PoolTaken.Log(log.Fields{"pool": p.name, "endpoints": len(p.endpoints)})
}

// recount reads again which slots are in use on every endpoint.
func (p *pool) recount(now time.Time) {
	for _, e := range p.endpoints {
		e.checkAt = now
	}
}

// follow takes over the instances and members of a version.
func (p *pool) follow(state *fleet.State, instances []fleet.Instance, now time.Time) {
	present := make(map[string]bool, len(instances))
	for _, i := range instances {
		present[i.Name] = true
		e, known := p.endpoints[i.Name]
		if !known {
			e = &endpoint{checkAt: now}
			p.endpoints[i.Name] = e
		}
		e.instance = i
	}
	for name := range p.endpoints {
		if !present[name] {
			delete(p.endpoints, name)
			p.queue.DropEndpoint(name)
		}
	}
	for _, m := range state.Members {
		p.queue.SetMember(share.Member{Name: m.Name, Weight: m.Share})
	}
}

// reopen tells the queue which endpoints may get new work.
func (p *pool) reopen(f Fleet, now time.Time) {
	for _, e := range p.endpoints {
		reason := e.closedFor(f, now)
		if reason != e.closed {
			e.log(p.name, reason)
			e.closed = reason
		}
		p.queue.SetEndpoint(share.Endpoint{
			Name:   e.instance.Name,
			Slots:  e.instance.Slots,
			Busy:   e.busy,
			Closed: reason != "",
			Held:   e.unread,
		})
	}
}

// expire takes back the grants that were not released in time.
func (p *pool) expire(now time.Time) {
	for _, g := range p.queue.Overdue(now) {
		takenBack.Inc(1)
		event.GrantTakenBack.Log(log.Fields{
			"pool": p.name, "endpoint": g.Endpoint, "member": g.Request.Member, "request": g.Request.ID,
		})
	}
}

// decide issues and refuses what the queue decides now.
func (p *pool) decide(now time.Time) {
	if now.Before(p.heldUntil) {
		return
	}
	grants, refused := p.queue.Decide(now)
	for _, g := range grants {
		p.grant(g, now)
	}
	p.refuse(refused)
}

func (p *pool) grant(g share.Grant, now time.Time) {
	granted.Inc(1)
	waited.Update(now.Sub(g.Request.Arrived))
	p.answer(g.Request.ID, p.reply(g))
}

func (p *pool) refuse(refused []share.Refusal) {
	for _, r := range refused {
		refusals.Inc(1)
		p.answer(r.Request.ID, &peerrpc.GrantReply{Reason: r.String()})
	}
}

// reply returns the message for a grant.
func (p *pool) reply(g share.Grant) *peerrpc.GrantReply {
	r := &peerrpc.GrantReply{
		Granted:         true,
		Endpoint:        g.Endpoint,
		UntilUnixMillis: g.Until.UnixMilli(),
	}
	if e, found := p.endpoints[g.Endpoint]; found {
		r.Address = e.instance.Address
	}
	return r
}

// answer hands a reply to the caller that waits for it.
func (p *pool) answer(id string, reply *peerrpc.GrantReply) {
	w, waits := p.waiters[id]
	if !waits {
		return
	}
	delete(p.waiters, id)
	w <- reply
}

// dismiss answers all waiting requests with the next owner.
func (p *pool) dismiss(owner string) {
	for id := range p.waiters {
		p.queue.Cancel(id)
		p.answer(id, elsewhere(owner))
	}
}

// idle tells whether nothing is queued or granted.
func (p *pool) idle() bool {
	t := p.queue.Totals()
	return t.Queued == 0 && t.InUse == 0
}
