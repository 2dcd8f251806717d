package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/peer"
)

// handoverReason is why an owner hands the pools over, as it is logged.
type handoverReason string

// Reasons of a handover: the process stops, a stronger entry can serve, or only other entries
// reach the store.
const (
	reasonStop     handoverReason = "stop"
	reasonStronger handoverReason = "stronger"
	reasonStore    handoverReason = "store"
)

// Times and sizes of handovers. The owner's work grows with the fleet, so that a small entry
// serves callers late or not at all. It owns the pools if it was the first to claim them:
// after the first start, or after a restart of its own process.
const (
	// handoverRatio times the cores of the owner are the fewest that another entry has for a
	// handover to pay off; it costs callers a change of owner.
	handoverRatio = 2
	// handoverInterval is how often the owner looks for a stronger entry.
	handoverInterval = time.Second
	// handoverPause is how long an owner that has handed over does not do so again: as long
	// as entries that have ended stay in the list.
	handoverPause = entryLease
	// maxFailedRenewals is how many renewals in a row fail, and storeLossTime for how long,
	// before the owner hands over because of the store. A short overload of the store passes.
	maxFailedRenewals = 2
	storeLossTime     = 200 * time.Millisecond
	// storeHandoverPause is how long an entry that was part of a handover because of the store
	// does not hand over because of it again: what a change of owner without a handover takes,
	// so that a store that fails for all by turns does no more harm than without handovers.
	storeHandoverPause = 6 * time.Second
	// handoverTime bounds the messages of a handover: after that the owner's key has ended.
	handoverTime = ownerLease
	// maxSuccessors is how many entries are offered the pools one after the other.
	maxSuccessors = 3
)

// watchForHandover ends the term, so that the pools are handed over, once an entry that is much
// stronger than this one reaches the store and has read the term, or once others reach the
// store and this one does not.
func (n *Node) watchForHandover(ctx context.Context, t *heldTerm) {
	next := time.NewTimer(handoverInterval)
	defer next.Stop()
	for ctx.Err() == nil {
		reason, minimum, mayFrom := reasonStronger, handoverRatio*max(n.Cores, minCores), n.noHandoverUntil
		select {
		case <-ctx.Done():
			return
		case <-t.renewalFailed:
			reason, minimum, mayFrom = reasonStore, 0, n.noStoreHandoverUntil
		case <-next.C:
			next.Reset(handoverInterval)
		}
		if time.Now().Before(mayFrom) || !t.confirmed() {
			continue
		}
		var s []successor
		if reason == reasonStore {
			s = n.findIfStoreLost(ctx, t)
		} else {
			s = n.findSuccessors(ctx, t, minimum)
		}
		if len(s) == 0 {
			continue
		}
		if reason == reasonStronger {
			event.OwnershipHandedOver.Log(log.Fields{"term": t.number, "cores": n.Cores, "stronger": s[0].name})
			meter.Count("ownership.handedOver")
		}
		t.reason, t.successors = reason, s
		t.end()
		return
	}
}

// findIfStoreLost returns the entries that may take over because they read the store at a time
// at which this one cannot. A renewal may still wait for a store that answers again.
func (n *Node) findIfStoreLost(ctx context.Context, t *heldTerm) (found []successor) {
	ctx, cancel := context.WithCancel(ctx)
	answered := make(chan bool, 1)
	go func() {
		_, _, err := n.Store.Get(ctx, manager.OwnerKey)
		answered <- err == nil
	}()
	found = n.findSuccessors(ctx, t, 0)
	cancel()
	if <-answered || !t.storeLost() {
		return nil
	}
	return found
}

// handOver passes the pools on to another entry, after the term has ended, and reports whether
// one has taken them over. The term must not act again, whatever the result.
func (n *Node) handOver(ctx context.Context, t *heldTerm, m *manager.Manager, reason handoverReason) (taken bool) {
	stopped := time.Now()
	meter.Count("handover.begun")
	found := make(chan []successor, 1)
	go func() {
		if len(t.successors) == 0 {
			found <- n.findSuccessors(ctx, t, 0)
			return
		}
		found <- t.successors
	}()
	known, loaded := m.HandOver(ctx, reason != reasonStore && !n.storeReach.lost())
	successors := <-found
	n.pauseHandovers(reason)
	runs, unread := known.CountRuns()
	event.HandoverBegun.Log(log.Fields{
		"term": t.number, "reason": string(reason), "runs": runs, "unread": unread, "jobs": len(known.Jobs), "successors": len(successors),
		"tookMillis": time.Since(stopped).Milliseconds(),
	})
	if !loaded {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	for _, s := range successors[:min(len(successors), maxSuccessors)] {
		if n.offer(ctx, s, t, known) {
			meter.RecordSince("handover", stopped)
			meter.Add("handover.runs", int64(runs))
			meter.Add("handover.unread", int64(unread))
			event.HandoverAccepted.Log(log.Fields{"term": t.number, "successor": s.name, "runs": runs, "unread": unread, "tookMillis": time.Since(stopped).Milliseconds()})
			return true
		}
	}
	return false
}

// pauseHandovers keeps this entry from handing over again soon.
func (n *Node) pauseHandovers(reason handoverReason) {
	switch reason {
	case reasonStore:
		n.noStoreHandoverUntil = time.Now().Add(storeHandoverPause)
	case reasonStronger:
		n.noHandoverUntil = time.Now().Add(handoverPause)
	case reasonStop:
	}
}

// offer sends a handover to an entry and reports whether it has claimed the pools. An entry
// that gives no answer may have claimed them: then no other claim succeeds, since the owner's
// key has another revision.
func (n *Node) offer(ctx context.Context, s successor, t *heldTerm, known schedule.Handover) (taken bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r, err := n.Peers.HandOver(ctx, s.address, peer.Handover{From: n.Name, Reason: string(t.reason), Term: t.number, Revision: t.revision, Known: known})
	switch {
	case err != nil:
		meter.Count("handover.unanswered")
		event.HandoverFailed.Log(log.Fields{"term": t.number, "successor": s.name, "error": err.Error()})
		return false
	case !r.Taken:
		meter.Count("handover.refused")
		event.HandoverFailed.Log(log.Fields{"term": t.number, "successor": s.name, "reason": r.Reason})
		return false
	}
	meter.Count("handover.accepted")
	if n.ownership.applyReported(r.Record, r.Revision) {
		n.resetOwnerReach()
	}
	return true
}

// received is a handover that this entry has received, until it has claimed the pools or
// failed to.
type received struct {
	peer.Handover

	at     time.Time
	result chan peer.HandoverReply
}

// takeOver passes a handover to the goroutine that claims the pools, and returns the result.
func (n *Node) takeOver(ctx context.Context, h peer.Handover) (r peer.HandoverReply) {
	o := &received{Handover: h, at: time.Now(), result: make(chan peer.HandoverReply, 1)}
	if n.stopping.Load() {
		return peer.HandoverReply{Reason: "stopping"}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	select {
	case n.handovers <- o:
	case <-ctx.Done():
		return peer.HandoverReply{Reason: "busy"}
	}
	select {
	case r = <-o.result:
		return r
	case <-ctx.Done():
		return peer.HandoverReply{Reason: "the claim takes too long"}
	}
}

// claimHandedOver claims the pools from the owner that has handed them over, and manages them
// until the term or the context ends. The claim fails if the owner's key has changed, so that
// an outdated handover is dropped.
func (n *Node) claimHandedOver(ctx context.Context, o *received) {
	if ctx.Err() != nil {
		o.result <- peer.HandoverReply{Reason: "stopping"}
		return
	}
	t, err := n.ownership.claim(ctx, o.Revision)
	if err != nil {
		event.ClaimFailed.Log(log.Fields{"error": err.Error(), "from": o.From})
		o.result <- peer.HandoverReply{Reason: err.Error()}
		n.ownership.awaitRetry(ctx, claimRetryDelay)
		return
	}
	record, revision := n.ownership.stored()
	o.result <- peer.HandoverReply{Taken: true, Record: record, Revision: revision}
	runs, unread := o.Known.CountRuns()
	event.HandoverReceived.Log(log.Fields{"term": t.number, "from": o.From, "runs": runs, "unread": unread, "jobs": len(o.Known.Jobs)})
	if o.Reason == string(reasonStore) {
		n.pauseHandovers(reasonStore)
	}
	n.runTerm(ctx, t, &manager.Inheritance{Handover: o.Known, ReceivedAt: o.at})
}
