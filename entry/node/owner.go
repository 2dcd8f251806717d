package node

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/peer"
)

// OwnerServer handles requests of other entries while this entry owns the pools.
type OwnerServer struct {
	Node *Node
}

// Submit stores a job, if this entry is the owner.
func (a OwnerServer) Submit(ctx context.Context, j job.Job, until time.Time) (r manager.Reply) {
	if m := a.Node.manager(); m != nil {
		return a.Node.correctOutcome(j.ID, m.Submit(ctx, j, until))
	}
	return manager.Reply{Outcome: manager.NotOwner}
}

// State returns the state of a job.
func (a OwnerServer) State(id string, caller job.Caller) (state job.State, known, owner bool) {
	if m := a.Node.manager(); m != nil {
		return m.State(id, caller)
	}
	return "", false, false
}

// Cancel cancels a job and returns its state, if this entry is the owner.
func (a OwnerServer) Cancel(ctx context.Context, id string, caller job.Caller) (state job.State, known, owner bool) {
	if m := a.Node.manager(); m != nil {
		return m.Cancel(ctx, id, caller)
	}
	return "", false, false
}

// Pending returns the number of jobs of a queue that have not started.
func (a OwnerServer) Pending(queue string) (count int, owner bool) {
	if m := a.Node.manager(); m != nil {
		return a.Node.pendingAtOwner(m, queue)
	}
	return 0, false
}

// MayTakeOver reports whether this entry may take over from the owner whose key has a revision.
func (a OwnerServer) MayTakeOver(ctx context.Context, revision int64) (reason string, may bool) {
	return a.Node.mayTakeOver(ctx, revision)
}

// TakeOver claims the pools from an owner that has stopped.
func (a OwnerServer) TakeOver(ctx context.Context, h peer.Handover) (r peer.HandoverReply) {
	return a.Node.takeOver(ctx, h)
}

// Current returns the owner as last read from the store. While the store is
// unreachable it only reports whether this entry itself serves the pools.
func (a OwnerServer) Current() (v peer.OwnerView) {
	if !a.Node.storeReach.lost() {
		v.Record, v.Revision = a.Node.ownership.stored()
	}
	// Without the store the owner takes no jobs, and entries without it have no other owner.
	v.Serving = a.Node.ownership.serving() && !a.Node.ownerLostStore()
	return v
}
