package dispatch

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/quota"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// PoolUsage is the usage of a pool that this entry dispatches.
type PoolUsage struct {
	Pool string
	// Owned is false if the pool was handed over and only its grants remain.
	Owned bool
	// TakenAt is when this entry last took the pool over.
	TakenAt   time.Time
	Totals    share.Totals
	Members   []MemberUsage
	Endpoints []EndpointUsage
}

// MemberUsage is the usage of a pool by one member.
type MemberUsage struct {
	share.Usage
	// Cap is the maximum number of slots of the member in the whole fleet.
	Cap int
	// Part is the part of the cap that the pool may use without a loan.
	Part int
}

// EndpointUsage is the usage of one endpoint.
type EndpointUsage struct {
	Name  string
	Slots int
	// InUse is the number of slots that this dispatcher granted.
	InUse int
	// Busy is the number of slots in use by tasks that this dispatcher did not
	// grant.
	Busy int
	// Limit is how many slots may be in use at the same time.
	Limit int
	// Closed is the reason why the endpoint gets no new work; empty if it is
	// available.
	Closed string
}

// Usage returns the usage of each pool, sorted by name.
func (d *Dispatcher) Usage() (usage []PoolUsage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		usage = append(usage, d.poolUsage(p, time.Now()))
	}
	slices.SortFunc(usage, func(a, b PoolUsage) int { return cmp.Compare(a.Pool, b.Pool) })
	return usage
}

func (d *Dispatcher) poolUsage(p *pool, now time.Time) (u PoolUsage) {
	u = PoolUsage{Pool: p.name, Owned: !p.handedOver, TakenAt: p.takenAt, Totals: p.queue.Totals()}
	for _, m := range p.queue.Usage(now) {
		u.Members = append(u.Members, MemberUsage{
			Usage: m,
			Cap:   d.ledger.Cap(m.Member),
			Part:  d.ledger.Allocation(quota.Account{Member: m.Member, Pool: p.name}),
		})
	}
	for name, e := range p.endpoints {
		_, slots := p.queue.Load(name)
		u.Endpoints = append(u.Endpoints, EndpointUsage{
			Name: name, Slots: e.instance.Slots, InUse: slots, Busy: e.foreignSlots, Limit: e.limiter.Limit(), Closed: e.closedReason,
		})
	}
	slices.SortFunc(u.Endpoints, func(a, b EndpointUsage) int { return cmp.Compare(a.Name, b.Name) })
	return u
}

// InFlight returns the number of unreleased grants on an instance.
func (d *Dispatcher) InFlight(instance string) (grants int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		n, _ := p.queue.Load(instance)
		grants += n
	}
	return grants
}

// LastGrantEnd returns the time by which all grants on an instance have
// ended, with the clock error added. It is zero if there are none.
func (d *Dispatcher) LastGrantEnd(instance string) (end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		for _, g := range p.queue.Grants() {
			if g.Endpoint == instance && !g.Outside {
				end = laterOf(end, g.Until.Add(d.ClockError))
			}
		}
	}
	return end
}

// Dump writes the state of the dispatcher as text.
func (d *Dispatcher) Dump(w io.Writer) {
	var b strings.Builder
	for _, p := range d.Usage() {
		fmt.Fprintf(&b, "pool %s owned=%t since=%s slots=%d inUse=%d queued=%d bytes=%d ahead=%d long=%d away=%d\n",
			p.Pool, p.Owned, p.TakenAt.UTC().Format(time.RFC3339), p.Totals.Capacity, p.Totals.InUse,
			p.Totals.Queued, p.Totals.Bytes, p.Totals.AheadInUse, p.Totals.LongInUse, p.Totals.OutsideInUse)
		for _, m := range p.Members {
			fmt.Fprintf(&b, "  member %s inUse=%d share=%.1f minimum=%d cap=%d part=%d queued=%d granted=%d refused=%v\n",
				m.Member, m.InUse, m.Share, m.Minimum, m.Cap, m.Part, m.Queued, m.Granted, m.Refused)
		}
		for _, e := range p.Endpoints {
			fmt.Fprintf(&b, "  endpoint %s slots=%d limit=%d inUse=%d busy=%d closed=%s\n",
				e.Name, e.Slots, e.Limit, e.InUse, e.Busy, e.Closed)
		}
	}
	_, _ = io.WriteString(w, b.String()) // fails only if the connection of the reader is broken
}
