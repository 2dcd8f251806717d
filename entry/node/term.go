package node

import (
	"context"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// runTerm manages the pools until the term or the context ends; inherited is what the previous
// owner has handed over, or nil.
func (n *Node) runTerm(ctx context.Context, t *heldTerm, inherited *manager.Inheritance) {
	event.OwnershipTaken.Log(log.Fields{"term": t.number, "revision": t.revision})
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	cancelsDone := n.followCancels(termCtx)
	m := n.newManager(t, inherited)
	ended := m.Run(termCtx)
	n.setActive(m)
	leaseDone := make(chan error, 1)
	go func() {
		n.ownership.keepLease(termCtx, t)
		leaseDone <- nil
	}()
	handoverDone := make(chan error, 1)
	go func() {
		n.watchForHandover(termCtx, t)
		handoverDone <- nil
	}()
	n.serveControl(termCtx, t, m)
	n.setActive(nil)
	planned := ctx.Err() != nil && !t.over()
	t.end()
	cancel()
	<-leaseDone
	<-handoverDone
	<-cancelsDone
	reason := t.reason
	if planned && reason == "" {
		reason = reasonStop
	}
	taken := reason != "" && n.handOver(context.WithoutCancel(ctx), t, m, reason)
	if err := <-ended; err != nil {
		event.ComponentFailed.Log(log.Fields{"part": "manager", "error": err.Error()})
	}
	lost := reason == "" && ctx.Err() == nil
	if lost {
		event.OwnershipLost.Log(log.Fields{"term": t.number})
	}
	if taken || lost {
		n.ownership.dropTerm(t)
		return
	}
	if err := n.ownership.releaseTerm(context.WithoutCancel(ctx), t); err != nil {
		event.OwnershipLost.Log(log.Fields{"term": t.number, "error": err.Error()})
	}
}

// newManager returns the manager of the pools in a term.
func (n *Node) newManager(t *heldTerm, inherited *manager.Inheritance) (m *manager.Manager) {
	m = &manager.Manager{
		Settings: n.managerSettings(), Store: n.Store, Endpoints: n.Endpoints, Directory: n.Directory, Machines: n.Machines, Reports: n.Reports, Holder: n.Name,
		Pools: n.pools, Organisations: n.organisations, CancelMarks: n.cancelMarks, IsCancelled: n.isCancelled, CancelsAsOf: n.cancelsAsOf, Inherited: inherited,
		Term: manager.Term{
			Owner:  store.Condition{Key: manager.OwnerKey, Revision: t.revision},
			Number: t.number, ConfinedSince: t.confinedSince,
			Confirmed: t.confirmed,
			StoreLost: n.ownerLostStore,
			Lost:      t.end,
		},
	}
	m.Init()
	return m
}
