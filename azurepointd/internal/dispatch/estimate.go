package dispatch

import (
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/health"
	"github.com/azurepoint/azurepoint/coordination/limit"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// Results of a task that a release reports.
const (
	resultDone    = "done"
	resultFailed  = "failed"
	resultRefused = "refused"
	resultUnused  = "unused"
	resultUnknown = "unknown"
)

const (
	// maxRunTime bounds run times if no setting does. It leaves room for the
	// grace period of the lease and the clock error within the hour for which
	// slots of a cap may be in use (quota.Ledger.MaxUse).
	maxRunTime = time.Hour - leaseMargin
	// leaseMargin covers the grace period of a lease (10 s) and the clock
	// error.
	leaseMargin = 20 * time.Second
	// minLongestRun keeps grants possible if the setting is too small for the
	// margins.
	minLongestRun = time.Second
)

// longestRun returns the longest run time whose grant ends within LongestGrant.
// Maintenance relies on that bound when it waits for the grants of entries that
// are down.
func (d *Dispatcher) longestRun() time.Duration {
	if d.LongestGrant <= 0 {
		return maxRunTime
	}
	return min(maxRunTime, max(minLongestRun, d.LongestGrant-leaseMargin/2-d.ClockError))
}

// estimate replaces the declared run time and slots of a request by the
// estimates for its kind.
func (p *pool) estimate(r share.Request, now time.Time) share.Request {
	declared := limit.Declared{Run: r.Run, Slots: r.Slots}
	e := p.estimator.Estimate(p.kind(r.Member), declared)
	p.declared[r.ID] = declared
	r.Run, r.LongestRun = e.Run, e.LongestRun
	if r.Run <= 0 {
		r.LongestRun = r.Deadline.Sub(now)
	}
	r.LongestRun = min(r.LongestRun, p.longestRun)
	if largest := p.largestEndpoint(); e.Slots > r.Slots && r.Slots <= largest {
		r.Slots = min(e.Slots, largest)
	}
	return r
}

func (p *pool) kind(member string) limit.Kind {
	return limit.Kind{Member: member, Pool: p.name}
}

// largestEndpoint returns the number of slots of the largest endpoint of the
// pool.
func (p *pool) largestEndpoint() (slots int) {
	for _, e := range p.endpoints {
		slots = max(slots, e.instance.Slots)
	}
	return slots
}

// observeResult passes the result of a task to the estimates of its kind, the
// limit of its endpoint and the failure detector.
func (p *pool) observeResult(g share.Grant, r *peerrpc.ReleaseRequest, now time.Time) {
	run := time.Duration(r.GetRunMillis()) * time.Millisecond
	declared := p.declared[r.GetId()]
	delete(p.declared, r.GetId())
	if r.GetResult() == resultDone {
		p.estimator.Observe(p.kind(g.Request.Member), declared, run)
		p.queue.ObserveRunTime(run)
	}
	e, found := p.endpoints[r.GetEndpoint()]
	if !found {
		return
	}
	switch r.GetResult() {
	case resultDone:
		_, slots := p.queue.Load(r.GetEndpoint())
		e.limiter.Observe(limit.Sample{Run: run, Expected: g.Request.Run, InUse: slots + g.Request.Slots})
		p.observeHealth(r.GetEndpoint(), g.Request.Member, false, now)
	case resultFailed, resultUnknown:
		p.observeHealth(r.GetEndpoint(), g.Request.Member, true, now)
	case resultRefused:
		e.recordRefusal(now, p.statusReadable)
	}
	p.updateEndpoints(now)
}

// observeHealth passes a result to the failure detector and logs its verdicts.
func (p *pool) observeHealth(endpoint, member string, failed bool, now time.Time) {
	for _, v := range p.detector.Observe(endpoint, member, failed, now) {
		p.logVerdict(v)
	}
}

func (p *pool) logVerdict(v health.Transition) {
	fields := log.Fields{"pool": p.name, "failureRate": v.Rate, "peerRate": v.PeerRate}
	switch {
	case v.Kind != "":
		fields["member"] = v.Kind
		event.MemberAtFault.Log(fields)
	case v.Until.IsZero():
		event.EndpointReadmitted.Log(log.Fields{"pool": p.name, "endpoint": v.Endpoint})
	default:
		fields["endpoint"], fields["until"] = v.Endpoint, v.Until
		countEjected.Inc(1)
		event.EndpointEjected.Log(fields)
	}
}

// observeUsage records the sizes that an endpoint reports of tasks granted
// here. The ID of a task begins with the ID of its grant.
func (p *pool) observeUsage(s *endpointapi.Status) {
	if len(s.Usage) == 0 {
		return
	}
	for _, g := range p.queue.Grants() {
		for _, u := range s.Usage {
			if strings.HasPrefix(u.Task, g.Request.ID) {
				p.estimator.ObserveUsage(p.kind(g.Request.Member), p.declared[g.Request.ID], u.Slots)
			}
		}
	}
}
