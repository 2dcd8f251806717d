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

// Results of a task as a home reports them in a release.
const (
	resultDone    = "done"
	resultFailed  = "failed"
	resultRefused = "refused"
	resultUnused  = "unused"
	resultUnknown = "unknown"
)

const (
	// longestLease bounds run times where no setting does; it leaves room for the
	// grace of the lease and the clock error below the hour that a use of a cap
	// may last (quota.Ledger.Hold).
	longestLease = time.Hour - leaseMargin
	// leaseMargin covers the grace of a lease (10 s) and the clock error.
	leaseMargin = 20 * time.Second
	// shortestLongest keeps grants possible where the setting leaves no run time.
	shortestLongest = time.Second
)

// longestRun returns the longest run time whose grant meets the setting. Upkeep
// counts on it when it waits for the grants of entries that are gone.
func (d *Dispatcher) longestRun() time.Duration {
	if d.LongestGrant <= 0 {
		return longestLease
	}
	return min(longestLease, max(shortestLongest, d.LongestGrant-leaseMargin/2-d.ClockError))
}

// estimate replaces what a request declares by what is known of its kind.
func (p *pool) estimate(r share.Request, now time.Time) share.Request {
	declared := limit.Declared{Run: r.Run, Slots: r.Slots}
	e := p.estimator.Estimate(p.kind(r.Member), declared)
	p.declared[r.ID] = declared
	r.Run, r.Longest = e.Run, e.Longest
	if r.Run <= 0 {
		r.Longest = r.Deadline.Sub(now)
	}
	r.Longest = min(r.Longest, p.longest)
	if largest := p.largest(); e.Slots > r.Slots && r.Slots <= largest {
		r.Slots = min(e.Slots, largest)
	}
	return r
}

func (p *pool) kind(member string) limit.Kind {
	return limit.Kind{Member: member, Pool: p.name}
}

// largest returns the slots of the largest endpoint of the pool.
func (p *pool) largest() (slots int) {
	for _, e := range p.endpoints {
		slots = max(slots, e.instance.Slots)
	}
	return slots
}

// learn notes what the result of a task tells of its kind and its endpoint.
func (p *pool) learn(g share.Grant, r *peerrpc.ReleaseRequest, now time.Time) {
	run := time.Duration(r.GetRunMillis()) * time.Millisecond
	declared := p.declared[r.GetId()]
	delete(p.declared, r.GetId())
	if r.GetResult() == resultDone {
		p.estimator.Observe(p.kind(g.Request.Member), declared, run)
		p.queue.Observe(run)
	}
	e, found := p.endpoints[r.GetEndpoint()]
	if !found {
		return
	}
	switch r.GetResult() {
	case resultDone:
		_, slots := p.queue.Load(r.GetEndpoint())
		e.limiter.Observe(limit.Sample{Run: run, Expected: g.Request.Run, InUse: slots + g.Request.Slots})
		p.judge(r.GetEndpoint(), g.Request.Member, false, now)
	case resultFailed, resultUnknown:
		p.judge(r.GetEndpoint(), g.Request.Member, true, now)
	case resultRefused:
		e.refuse(now, p.readsStatus)
	}
	p.reopen(now)
}

// judge passes a result on to the detector and reports its verdicts.
func (p *pool) judge(endpoint, member string, failed bool, now time.Time) {
	for _, v := range p.detector.Observe(endpoint, member, failed, now) {
		p.report(v)
	}
}

func (p *pool) report(v health.Verdict) {
	fields := log.Fields{"pool": p.name, "failureRate": v.Rate, "peerRate": v.PeerRate}
	switch {
	case v.Kind != "":
		fields["member"] = v.Kind
		event.KindAtFault.Log(fields)
	case v.Until.IsZero():
		event.EndpointReturned.Log(log.Fields{"pool": p.name, "endpoint": v.Endpoint})
	default:
		fields["endpoint"], fields["until"] = v.Endpoint, v.Until
		ejections.Inc(1)
		event.EndpointEjected.Log(fields)
	}
}

// learnUsage notes the sizes that an endpoint reports of tasks granted here;
// the task of a grant is named after the grant.
func (p *pool) learnUsage(s *endpointapi.Status) {
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
