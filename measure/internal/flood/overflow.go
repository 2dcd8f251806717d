package flood

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/share"
)

// Limits of the dispatcher's overflow requests to the spare pool.
const (
	maxOverflowRequests = 64
	overflowRetryDelay  = 200 * time.Millisecond
)

// overflowPrefix is the prefix of the IDs of overflow requests.
const overflowPrefix = "overflow/"

// overflowKind has the properties in which requests must agree to use the same
// overflow slot.
type overflowKind struct {
	member  string
	urgency share.Urgency
	slots   int
}

// overflowRequest asks the spare pool for the slots of one request of another pool.
type overflowRequest struct {
	id        string
	origin    *dispatcher
	kind      overflowKind
	cancelled bool
}

// overflowRequestOf returns the overflow request with an ID, nil if it was
// cancelled; isOverflow is false if the ID is not that of an overflow request.
func (x *dataCentre) overflowRequestOf(id string) (a *overflowRequest, isOverflow bool) {
	return x.overflowByID[id], strings.HasPrefix(id, overflowPrefix)
}

// reconcileOverflow starts and cancels overflow requests until their number matches
// the number of requests that the queue would place in the spare pool.
func (d *dispatcher) reconcileOverflow() {
	if d == d.centre.spare {
		return
	}
	wanted := make(map[overflowKind]share.OverflowDemand)
	var order []overflowKind
	for _, w := range d.queue.OverflowDemands(maxOverflowRequests, d.now()) {
		k := overflowKind{member: w.First.Member, urgency: w.First.Urgency, slots: w.First.Slots}
		wanted[k] = w
		order = append(order, k)
	}
	for _, k := range sortedKinds(d.overflow) {
		list := d.overflow[k]
		for len(list) > wanted[k].Count {
			last := list[len(list)-1]
			last.cancel()
			list = list[:len(list)-1]
		}
		d.overflow[k] = list
	}
	for _, k := range order {
		for len(d.overflow[k]) < wanted[k].Count && !d.now().Before(d.overflowRetryAt[k]) {
			d.startOverflow(k, wanted[k].First)
		}
	}
}

func (d *dispatcher) startOverflow(k overflowKind, first share.Request) {
	d.serial++
	a := &overflowRequest{id: fmt.Sprintf("%s%s/%d", overflowPrefix, d.name, d.serial), origin: d, kind: k}
	d.overflow[k] = append(d.overflow[k], a)
	d.centre.overflowByID[a.id] = a
	q := share.Request{
		ID:       a.id,
		Group:    d.name,
		Member:   k.member,
		Urgency:  k.urgency,
		Slots:    k.slots,
		Deadline: first.Deadline,
	}
	d.centre.policy.sim.after(messageDelay, func() {
		if !a.cancelled {
			d.centre.spare.push(q, first.Run)
		}
	})
}

// cancel removes the overflow request from the spare pool's queue, or returns its
// grant.
func (a *overflowRequest) cancel() {
	a.cancelled = true
	delete(a.origin.centre.overflowByID, a.id)
	spare := a.origin.centre.spare
	a.origin.centre.policy.sim.after(messageDelay, func() { spare.releaseOverflow(a.id, nil) })
}

// granted assigns the slots to a queued request of the same kind, or returns them
// if there is none.
func (a *overflowRequest) granted(g share.Grant) {
	d := a.origin
	if a.cancelled {
		return
	}
	d.removeOverflow(a)
	placed, found := d.queue.PlaceOverflow(share.OverflowOffer{
		Member:   a.kind.member,
		Urgency:  a.kind.urgency,
		Slots:    a.kind.slots,
		Endpoint: g.Endpoint,
		Until:    g.Until,
	}, d.now())
	if !found {
		a.cancel()
		return
	}
	d.spareIDs[placed.Request.ID] = a.id
	d.grant(placed)
	d.scheduleStep()
}

func (a *overflowRequest) refused() {
	if a.cancelled {
		return
	}
	a.origin.removeOverflow(a)
	until := a.origin.now().Add(overflowRetryDelay)
	a.origin.overflowRetryAt[a.kind] = until
	a.origin.centre.policy.sim.at(until, a.origin.scheduleStep)
}

func (d *dispatcher) removeOverflow(a *overflowRequest) {
	delete(d.centre.overflowByID, a.id)
	var rest []*overflowRequest
	for _, b := range d.overflow[a.kind] {
		if b != a {
			rest = append(rest, b)
		}
	}
	d.overflow[a.kind] = rest
}

func sortedKinds(requests map[overflowKind][]*overflowRequest) (kinds []overflowKind) {
	return slices.SortedFunc(maps.Keys(requests), func(a, b overflowKind) int {
		return cmp.Or(cmp.Compare(a.member, b.member), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.slots, b.slots))
	})
}
