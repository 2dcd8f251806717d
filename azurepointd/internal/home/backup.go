package home

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/twitchtv/twirp"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/endpoint"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/register"
)

// homeTimeout bounds the question to a home that may be gone.
const homeTimeout = 500 * time.Millisecond

// Claim stores the second copy of a claim.
func (h *Home) Claim(_ context.Context, q *peerrpc.ClaimRequest) (reply *peerrpc.ClaimReply, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if !h.isBackup(k) {
		return &peerrpc.ClaimReply{Reason: "the entry is not the key's backup, or has restarted"}, nil
	}
	a := register.Attempt{
		Task: q.GetTask(), Endpoint: q.GetEndpoint(), Address: q.GetAddress(),
		LeaseUntil: timeOf(q.GetLeaseUntilUnixMillis()),
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.Register.Claim(k, a, time.Now()); err != nil {
		return &peerrpc.ClaimReply{Reason: err.Error()}, nil
	}
	return &peerrpc.ClaimReply{Accepted: true}, nil
}

// Conclude stores the outcome of a claim.
func (h *Home) Conclude(_ context.Context, q *peerrpc.Outcome) (empty *peerrpc.Empty, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if !h.isBackup(k) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the entry is not the key's backup")
	}
	h.store(k, outcomeOf(q))
	return &peerrpc.Empty{}, nil
}

// Settle decides a key whose home the asking entry cannot reach. It is asked
// only for requests that may not be repeated, because a missing claim says
// nothing about the others.
func (h *Home) Settle(ctx context.Context, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if !h.isBackup(k) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the entry is not the key's backup, or has restarted")
	}
	return message(k, h.settle(ctx, k, true)), nil
}

// settle first asks the home. Without its answer it refuses further claims and
// asks the endpoints of those that it holds; without a claim the key is fenced
// if fenceUnclaimed is set.
func (h *Home) settle(ctx context.Context, k register.Key, fenceUnclaimed bool) register.Outcome {
	if record, found := h.record(k); found && record.Outcome.Final() {
		return record.Outcome
	}
	if o, answered := h.askHome(ctx, k); answered {
		return o
	}
	countSettled.Inc(1)
	o := h.decide(ctx, k, fenceUnclaimed)
	event.KeySettled.Log(log.Fields{"key": k.String(), "state": string(o.State), "reason": o.Reason})
	return o
}

// askHome returns what the home knows; a final outcome is kept here as well.
func (h *Home) askHome(ctx context.Context, k register.Key) (o register.Outcome, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	peer, err := h.Peers.Dial(k.Home, k.HomeIncarnation)
	if err != nil {
		return register.Outcome{}, false
	}
	answer, err := peer.Lookup(ctx, &peerrpc.KeyRequest{Key: k.String()})
	if err != nil {
		return register.Outcome{}, false
	}
	o = outcomeOf(answer)
	h.store(k, o)
	return o, true
}

func (h *Home) decide(ctx context.Context, k register.Key, fenceUnclaimed bool) register.Outcome {
	if h.SingleCopy {
		return unknown(ReasonSingleCopy)
	}
	record, found := h.fence(k)
	switch {
	case !found && !fenceUnclaimed:
		return unknown(ReasonNoClaim)
	case !found:
		_, o, err := h.refuse(k, ReasonSettled)
		if err != nil {
			return unknown(err.Error())
		}
		return o
	case record.Outcome.Final() || len(record.Attempts) == 0:
		return record.Outcome
	}
	return h.settleAttempts(ctx, record, h.Endpoints.Settle)
}

func (h *Home) cancelAsBackup(ctx context.Context, k register.Key, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	if peer, err := h.Peers.Dial(k.Home, k.HomeIncarnation); err == nil {
		asked, cancel := context.WithTimeout(ctx, cancelWait+homeTimeout)
		defer cancel()
		if o, err := peer.Cancel(asked, q); err == nil {
			return o, nil
		}
	}
	record, found := h.fence(k)
	switch {
	case !found:
		return message(k, unknown(ReasonNoClaim)), nil
	case record.Outcome.Final() || len(record.Attempts) == 0:
		return message(k, record.Outcome), nil
	}
	return message(k, h.settleAttempts(ctx, record, h.Endpoints.Stop)), nil
}

type settleCall func(ctx context.Context, address, id string, leaseUntil time.Time) endpoint.Result

// refresh asks the endpoints about an outcome that was unknown; a final answer
// replaces it.
func (h *Home) refresh(ctx context.Context, k register.Key, o register.Outcome, call settleCall) register.Outcome {
	record, found := h.record(k)
	if !found || len(record.Open()) == 0 {
		return o
	}
	if fresh := h.settleAttempts(ctx, record, call); fresh.Final() {
		return fresh
	}
	return o
}

// settleAttempts asks about every attempt that may have started. The key must
// be fenced or concluded, so that no attempt is added meanwhile.
func (h *Home) settleAttempts(ctx context.Context, record register.Record, call settleCall) register.Outcome {
	open := register.Outcome{}
	for _, a := range record.Open() {
		result := call(ctx, a.Address, a.Task, a.LeaseUntil)
		switch result.Kind {
		case endpoint.Done:
			return h.store(record.Key, done(result.Answer))
		case endpoint.Running:
			open = pending(result.Reason)
		case endpoint.NotStarted:
			h.mutex.Lock()
			h.Register.NotStarted(record.Key, a.Task)
			h.mutex.Unlock()
		case endpoint.Failed, endpoint.Open:
			if open.State == "" {
				open = unknown(result.Reason)
			}
		}
	}
	if open.State != "" {
		return open
	}
	return h.store(record.Key, notRun("fenced at its endpoints before it started"))
}

// store keeps a final outcome and returns it.
func (h *Home) store(k register.Key, o register.Outcome) register.Outcome {
	if !o.Final() {
		return o
	}
	h.mutex.Lock()
	err := h.Register.Conclude(k, o, time.Now())
	h.mutex.Unlock()
	if err != nil {
		reportConflict(k, o)
	}
	return o
}

func (h *Home) record(k register.Key) (record register.Record, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.Register.Lookup(k, time.Now())
}

func (h *Home) fence(k register.Key) (record register.Record, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.Register.Fence(k, time.Now())
}
