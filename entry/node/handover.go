package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// Times and sizes of a handover to a stronger entry. The owner's work grows with the fleet,
// so that a small entry serves callers late or not at all. It owns the pools if it was the
// first to claim them: after the first start, or after a restart of its own process.
const (
	// handoverRatio times the cores of the owner are the fewest that another entry has for a
	// handover to pay off; it costs callers a change of owner.
	handoverRatio = 2
	// handoverInterval is how often the owner looks for a stronger entry.
	handoverInterval = time.Second
	// handoverPause is how long an owner that has handed over does not do so again: as long
	// as entries that have ended stay in the list.
	handoverPause = entryLease
)

// watchForHandover ends the term, so that the pools are released, once an entry that is much
// stronger than this one reaches the store and knows of the term.
func (n *Node) watchForHandover(ctx context.Context, t *heldTerm) {
	for ctx.Err() == nil {
		retry.Sleep(ctx, handoverInterval)
		if time.Now().Before(n.noHandoverUntil) || !n.ownership.confirmed(t) {
			continue
		}
		if name, found := n.findStronger(ctx, t); found {
			event.OwnershipHandedOver.Log(log.Fields{"term": t.number, "cores": n.Cores, "stronger": name})
			meter.Count("ownership.handedOver")
			n.noHandoverUntil = time.Now().Add(handoverPause)
			t.handedOver.Store(true)
			t.end()
			return
		}
	}
}

// findStronger returns a listed entry that has handoverRatio times the cores of this one or
// more and answers that it knows the term, which it has read from the store.
func (n *Node) findStronger(ctx context.Context, t *heldTerm) (name string, found bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for name, r := range n.entries.withCores(handoverRatio*max(n.Cores, minCores), lookupFanout) {
		v, err := n.Peers.Current(ctx, r.Address)
		if err == nil && v.Revision == t.revision {
			return name, true
		}
	}
	return "", false
}
