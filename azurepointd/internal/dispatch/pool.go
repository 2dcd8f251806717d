package dispatch

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/health"
	"github.com/azurepoint/azurepoint/coordination/limit"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// pool is the queue of one pool with its waiting callers; the dispatcher's
// lock guards it.
type pool struct {
	name      string
	fleet     Fleet
	estimator *limit.Estimator
	detector  health.Detector
	overflow  overflow
	// declared is what the queued and granted requests declare, by request.
	declared  map[string]limit.Declared
	queue     share.Queue
	waiters   map[string]chan *peerrpc.GrantReply
	endpoints map[string]*endpoint
	// longest is the longest run time for which a grant is given.
	longest time.Duration
	// readsStatus tells whether the status of endpoints can be read.
	readsStatus bool
	// handedOver is set while another entry owns the pool.
	handedOver bool
	// takenAt is when this entry began to grant for the pool.
	takenAt time.Time
	// heldUntil is when grants are issued again after the process was paused.
	heldUntil time.Time
	// settling is set while the other entries are asked for loans of the pool;
	// settled once they were.
	settling bool
	settled  bool
}

func (d *Dispatcher) newPool(name string) (p *pool) {
	return &pool{
		name:        name,
		fleet:       d.Fleet,
		estimator:   &d.estimator,
		readsStatus: d.Endpoints != nil,
		queue: share.Queue{
			ClockError: d.ClockError, Quota: members{d: d, pool: name}, Room: share.Room{Requests: d.QueueLength},
		},
		longest:   d.longestRun(),
		declared:  make(map[string]limit.Declared),
		waiters:   make(map[string]chan *peerrpc.GrantReply),
		endpoints: make(map[string]*endpoint),
	}
}

// take begins to grant for the pool.
func (p *pool) take(now time.Time) {
	p.handedOver, p.settled = false, false
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

// follow takes over the instances of a version.
func (p *pool) follow(instances []fleet.Instance, now time.Time) {
	names := make([]string, 0, len(instances))
	for _, i := range instances {
		names = append(names, i.Name)
		e, known := p.endpoints[i.Name]
		if !known {
			e = &endpoint{checkAt: now}
			p.endpoints[i.Name] = e
		}
		if known && e.instance.Since != i.Since {
			// The fence rises with a drain, and grants carry it.
			e.unread, e.checkAt = p.readsStatus, now
		}
		e.instance = i
		e.limiter.Slots = i.Slots
	}
	for name := range p.endpoints {
		if !slices.Contains(names, name) {
			delete(p.endpoints, name)
			p.queue.DropEndpoint(name)
		}
	}
	p.detector.SetEndpoints(names)
}

// reopen tells the queue which endpoints may get new work, and how much.
func (p *pool) reopen(now time.Time) {
	for _, e := range p.endpoints {
		state := p.detector.State(e.instance.Name, now)
		reason := e.closedFor(p.fleet, state, now)
		if reason != e.closed {
			e.log(p.name, reason)
			e.closed = reason
		}
		slots := e.limiter.Limit()
		if state == health.Probing {
			slots = 1
		}
		p.queue.SetEndpoint(share.Endpoint{
			Name:   e.instance.Name,
			Slots:  e.instance.Slots,
			Limit:  slots,
			Busy:   e.busy,
			Closed: reason != "",
			Held:   e.unread,
		})
	}
}

// reading tells whether endpoints get no work only until their status is read.
func (p *pool) reading() bool {
	for _, e := range p.endpoints {
		if e.unread && e.closed == "" {
			return true
		}
	}
	return false
}

// busy returns the slots in use on the endpoints by unknown tasks.
func (p *pool) busy() (slots int) {
	for _, e := range p.endpoints {
		slots += e.busy
	}
	return slots
}

// expire takes back the grants that were not released in time.
func (p *pool) expire(now time.Time) {
	for _, g := range p.queue.Overdue(now) {
		takenBack.Inc(1)
		delete(p.declared, g.Request.ID)
		delete(p.overflow.grants, g.Request.ID)
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
		delete(p.declared, r.Request.ID)
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
		r.Fence = e.fence
	}
	if s, away := p.overflow.grants[g.Request.ID]; away {
		r.Address = s.address
		r.Fence = s.fence
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
		delete(p.declared, id)
		p.answer(id, elsewhere(owner))
	}
}

// idle tells whether nothing is queued or granted.
func (p *pool) idle() bool {
	t := p.queue.Totals()
	return t.Queued == 0 && t.InUse == 0
}
