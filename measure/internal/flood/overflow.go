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

// Bounds of the dispatcher's use of the spare pool.
const (
	askLimit = 64
	askAgain = 200 * time.Millisecond
)

// overflowPrefix begins the IDs of asks.
const overflowPrefix = "overflow/"

// askKind is what requests have in common that can take each other's place.
type askKind struct {
	member  string
	urgency share.Urgency
	slots   int
}

// ask is a request for a slot that waits at the spare pool.
type ask struct {
	id        string
	home      *dispatcher
	kind      askKind
	cancelled bool
}

// askOf returns the ask with an ID; isAsk is false for other requests. The
// result is nil if the ask was cancelled.
func (x *centre) askOf(id string) (a *ask, isAsk bool) {
	return x.asked[id], strings.HasPrefix(id, overflowPrefix)
}

// askSpare starts and ends asks so that as many wait as the queue has use for.
func (d *dispatcher) askSpare() {
	if d == d.centre.spare {
		return
	}
	wanted := make(map[askKind]share.Wish)
	var order []askKind
	for _, w := range d.queue.Wishes(askLimit, d.now()) {
		k := askKind{member: w.First.Member, urgency: w.First.Urgency, slots: w.First.Slots}
		wanted[k] = w
		order = append(order, k)
	}
	for _, k := range sortedKinds(d.asks) {
		list := d.asks[k]
		for len(list) > wanted[k].Count {
			last := list[len(list)-1]
			last.cancel()
			list = list[:len(list)-1]
		}
		d.asks[k] = list
	}
	for _, k := range order {
		for len(d.asks[k]) < wanted[k].Count && !d.now().Before(d.pauses[k]) {
			d.startAsk(k, wanted[k].First)
		}
	}
}

func (d *dispatcher) startAsk(k askKind, first share.Request) {
	d.serial++
	a := &ask{id: fmt.Sprintf("%s%s/%d", overflowPrefix, d.name, d.serial), home: d, kind: k}
	d.asks[k] = append(d.asks[k], a)
	d.centre.asked[a.id] = a
	q := share.Request{
		ID:       a.id,
		Group:    d.name,
		Member:   k.member,
		Urgency:  k.urgency,
		Slots:    k.slots,
		Deadline: first.Deadline,
	}
	d.centre.policy.world.after(hop, func() {
		if !a.cancelled {
			d.centre.spare.push(q, first.Run)
		}
	})
}

// cancel takes the ask out of the spare pool's queue, or its grant back.
func (a *ask) cancel() {
	a.cancelled = true
	delete(a.home.centre.asked, a.id)
	spare := a.home.centre.spare
	a.home.centre.policy.world.after(hop, func() { spare.releaseAsk(a.id, nil) })
}

// granted gives the slot to a queued request, or back.
func (a *ask) granted(g share.Grant) {
	d := a.home
	if a.cancelled {
		return
	}
	d.drop(a)
	placed, found := d.queue.Place(share.Offer{
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
	d.soon()
}

func (a *ask) refused() {
	if a.cancelled {
		return
	}
	a.home.drop(a)
	until := a.home.now().Add(askAgain)
	a.home.pauses[a.kind] = until
	a.home.centre.policy.world.at(until, a.home.soon)
}

func (d *dispatcher) drop(a *ask) {
	delete(d.centre.asked, a.id)
	var rest []*ask
	for _, b := range d.asks[a.kind] {
		if b != a {
			rest = append(rest, b)
		}
	}
	d.asks[a.kind] = rest
}

func sortedKinds(asks map[askKind][]*ask) (kinds []askKind) {
	return slices.SortedFunc(maps.Keys(asks), func(a, b askKind) int {
		return cmp.Or(cmp.Compare(a.member, b.member), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.slots, b.slots))
	})
}
