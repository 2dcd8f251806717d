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

// pool is the queue of one pool with its waiting calls and the state of its
// endpoints. The dispatcher's lock guards it.
type pool struct {
	name      string
	fleet     Fleet
	estimator *limit.Estimator
	detector  health.Detector
	overflow  overflow
	// declared holds the run time and slots that queued and granted requests
	// declare, by request ID.
	declared  map[string]limit.Declared
	queue     share.Queue
	waiters   map[string]chan *peerrpc.GrantReply
	endpoints map[string]*endpointStatus
	// longestRun is the maximum run time that a grant covers.
	longestRun time.Duration
	// statusReadable is set if the status of endpoints can be read.
	statusReadable bool
	// handedOver is set while another entry dispatches the pool.
	handedOver bool
	// takenAt is when this entry last took the pool over.
	takenAt time.Time
	// noGrantsUntil is when grants may be issued again after a pause of the
	// process.
	noGrantsUntil time.Time
	// collectingLoans is set while the other entries are queried for loans of
	// the pool. loanQueryStarted is set from the start of that query until the
	// next takeover.
	collectingLoans  bool
	loanQueryStarted bool
}

func (d *Dispatcher) newPool(name string) (p *pool) {
	return &pool{
		name:           name,
		fleet:          d.Fleet,
		estimator:      &d.estimator,
		statusReadable: d.Endpoints != nil,
		queue: share.Queue{
			ClockError: d.ClockError, Quota: memberQuota{d: d, pool: name}, SizeLimits: share.SizeLimits{Requests: d.QueueLength},
		},
		longestRun: d.longestRun(),
		declared:   make(map[string]limit.Declared),
		waiters:    make(map[string]chan *peerrpc.GrantReply),
		endpoints:  make(map[string]*endpointStatus),
	}
}

// beginGranting resets the pool for a takeover and schedules a read of the
// status of each endpoint.
func (p *pool) beginGranting(now time.Time) {
	p.handedOver, p.loanQueryStarted = false, false
	p.takenAt = now
	p.scheduleStatusReads(now)
	for _, e := range p.endpoints {
		e.statusPending = p.statusReadable
	}
	event.PoolTakenOver.Log(log.Fields{"pool": p.name, "endpoints": len(p.endpoints)})
}

// scheduleStatusReads makes the status reads of all endpoints due now.
func (p *pool) scheduleStatusReads(now time.Time) {
	for _, e := range p.endpoints {
		e.scheduleStatusRead(now)
	}
}

// setInstances applies the instances of a new version.
func (p *pool) setInstances(instances []fleet.Instance, now time.Time) {
	names := make([]string, 0, len(instances))
	for _, i := range instances {
		names = append(names, i.Name)
		e, known := p.endpoints[i.Name]
		if !known {
			e = &endpointStatus{statusDueAt: now}
			p.endpoints[i.Name] = e
		}
		if known && e.instance.PhaseVersion != i.PhaseVersion {
			// A drain increments the fencing token that grants carry.
			e.statusPending = p.statusReadable
			e.scheduleStatusRead(now)
		}
		e.instance = i
		e.limiter.Slots = i.Slots
	}
	for name := range p.endpoints {
		if !slices.Contains(names, name) {
			delete(p.endpoints, name)
			p.queue.RemoveEndpoint(name)
		}
	}
	p.detector.SetEndpoints(names)
}

// updateEndpoints passes the availability and the slot limit of each endpoint
// to the queue.
func (p *pool) updateEndpoints(now time.Time) {
	for _, e := range p.endpoints {
		state := p.detector.State(e.instance.Name, now)
		reason := e.whyUnavailable(p.fleet, state, now)
		if reason != e.closedReason {
			e.logAvailability(p.name, reason)
			e.closedReason = reason
		}
		slots := e.limiter.Limit()
		if state == health.Probing {
			slots = 1
		}
		p.queue.SetEndpoint(share.Endpoint{
			Name:   e.instance.Name,
			Slots:  e.instance.Slots,
			Limit:  slots,
			Busy:   e.foreignSlots,
			Closed: reason != "",
			Paused: e.statusPending,
		})
	}
}

// awaitsStatus reports whether an endpoint is otherwise available and only
// lacks its first status.
func (p *pool) awaitsStatus() bool {
	for _, e := range p.endpoints {
		if e.statusPending && e.closedReason == "" {
			return true
		}
	}
	return false
}

// foreignSlots returns the slots in use by tasks that this dispatcher did not
// grant.
func (p *pool) foreignSlots() (slots int) {
	for _, e := range p.endpoints {
		slots += e.foreignSlots
	}
	return slots
}

// expireGrants reclaims the slots of grants that were not released by their
// deadline.
func (p *pool) expireGrants(now time.Time) {
	for _, g := range p.queue.ExpireGrants(now) {
		countExpired.Inc(1)
		delete(p.declared, g.Request.ID)
		delete(p.overflow.grants, g.Request.ID)
		event.GrantReclaimed.Log(log.Fields{
			"pool": p.name, "endpoint": g.Endpoint, "member": g.Request.Member, "request": g.Request.ID,
		})
	}
}

// decideQueue sends the grants and refusals that the queue decides now.
func (p *pool) decideQueue(now time.Time) {
	if now.Before(p.noGrantsUntil) {
		return
	}
	grants, refused := p.queue.Decide(now)
	for _, g := range grants {
		p.sendGrant(g, now)
	}
	p.sendRefusals(refused)
}

func (p *pool) sendGrant(g share.Grant, now time.Time) {
	countGranted.Inc(1)
	timerWait.Update(now.Sub(g.Request.Arrived))
	p.sendReply(g.Request.ID, p.grantReply(g))
}

func (p *pool) sendRefusals(refused []share.Refusal) {
	for _, r := range refused {
		countRefused.Inc(1)
		delete(p.declared, r.Request.ID)
		p.sendReply(r.Request.ID, &peerrpc.GrantReply{Reason: r.String()})
	}
}

// grantReply returns the reply for a grant.
func (p *pool) grantReply(g share.Grant) *peerrpc.GrantReply {
	r := &peerrpc.GrantReply{
		Granted:         true,
		Endpoint:        g.Endpoint,
		UntilUnixMillis: g.Until.UnixMilli(),
	}
	if e, found := p.endpoints[g.Endpoint]; found {
		r.Address = e.instance.Address
		r.Fence = e.fence
	}
	if s, overflowed := p.overflow.grants[g.Request.ID]; overflowed {
		r.Address = s.address
		r.Fence = s.fence
	}
	return r
}

// sendReply sends a reply to the call that waits for it, if there is one.
func (p *pool) sendReply(id string, reply *peerrpc.GrantReply) {
	waiter, found := p.waiters[id]
	if !found {
		return
	}
	delete(p.waiters, id)
	waiter <- reply
}

// redirectWaiters redirects all waiting requests to the next dispatcher.
func (p *pool) redirectWaiters(dispatcher string) {
	for id := range p.waiters {
		p.queue.Cancel(id)
		delete(p.declared, id)
		p.sendReply(id, redirectReply(dispatcher))
	}
}

// isIdle reports whether no request is queued or granted.
func (p *pool) isIdle() bool {
	t := p.queue.Totals()
	return t.Queued == 0 && t.InUse == 0
}
