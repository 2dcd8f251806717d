package request

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

// primaryTimeout bounds a call to a primary that may be down.
const primaryTimeout = 500 * time.Millisecond

// Claim stores the second copy of a claim.
func (h *Service) Claim(_ context.Context, q *peerrpc.ClaimRequest) (reply *peerrpc.ClaimReply, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if !h.isBackup(k) {
		return &peerrpc.ClaimReply{Reason: "the entry is not the key's backup, or has restarted"}, nil
	}
	a := register.Attempt{
		Task: q.GetTask(), Endpoint: q.GetEndpoint(), Address: q.GetAddress(),
		LeaseUntil: timeFromMillis(q.GetLeaseUntilUnixMillis()),
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.Register.Claim(k, a, time.Now()); err != nil {
		return &peerrpc.ClaimReply{Reason: err.Error()}, nil
	}
	return &peerrpc.ClaimReply{Accepted: true}, nil
}

// Conclude stores the outcome of a claimed key.
func (h *Service) Conclude(_ context.Context, q *peerrpc.Outcome) (empty *peerrpc.Empty, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if !h.isBackup(k) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the entry is not the key's backup")
	}
	h.storeOutcome(k, outcomeFromMessage(q))
	return &peerrpc.Empty{}, nil
}

// Settle decides a key whose primary the calling entry cannot reach. It is
// called only for requests that may not be repeated: no claim is sent for the
// others, so that a missing claim says nothing about them.
func (h *Service) Settle(ctx context.Context, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if !h.isBackup(k) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the entry is not the key's backup, or has restarted")
	}
	return outcomeMessage(k, h.settleAsBackup(ctx, k, true)), nil
}

// settleAsBackup looks the key up at its primary. If the primary does not
// answer, it refuses further claims of the key and settles the stored ones at
// their endpoints. A key without a claim is fenced if fenceUnclaimed is set.
func (h *Service) settleAsBackup(ctx context.Context, k register.Key, fenceUnclaimed bool) register.Outcome {
	if record, found := h.lookUpRecord(k); found && record.Outcome.Final() {
		return record.Outcome
	}
	if o, answered := h.lookUpAtPrimary(ctx, k); answered {
		return o
	}
	countSettled.Inc(1)
	o := h.decideAsBackup(ctx, k, fenceUnclaimed)
	event.KeySettled.Log(log.Fields{"key": k.String(), "state": string(o.State), "reason": o.Reason})
	return o
}

// lookUpAtPrimary returns the outcome stored at the primary; a final one is
// stored here as well.
func (h *Service) lookUpAtPrimary(ctx context.Context, k register.Key) (o register.Outcome, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, primaryTimeout)
	defer cancel()
	peer, err := h.Peers.Dial(k.Primary, k.PrimaryIncarnation)
	if err != nil {
		return register.Outcome{}, false
	}
	answer, err := peer.Lookup(ctx, &peerrpc.KeyRequest{Key: k.String()})
	if err != nil {
		return register.Outcome{}, false
	}
	o = outcomeFromMessage(answer)
	h.storeOutcome(k, o)
	return o, true
}

// decideAsBackup decides a key without its primary.
func (h *Service) decideAsBackup(ctx context.Context, k register.Key, fenceUnclaimed bool) register.Outcome {
	if h.SingleCopy {
		return unknown(ReasonSingleCopy)
	}
	record, found := h.fenceKey(k)
	switch {
	case !found && !fenceUnclaimed:
		return unknown(ReasonNoClaim)
	case !found:
		_, o, err := h.refuseKey(k, ReasonSettled)
		if err != nil {
			return unknown(err.Error())
		}
		return o
	case record.Outcome.Final() || len(record.Attempts) == 0:
		return record.Outcome
	}
	return h.settleAttempts(ctx, record, h.Endpoints.Settle)
}

// cancelAsBackup forwards the cancellation to the primary. If the primary does
// not answer, it stops the claimed tasks at their endpoints.
func (h *Service) cancelAsBackup(ctx context.Context, k register.Key, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	if peer, err := h.Peers.Dial(k.Primary, k.PrimaryIncarnation); err == nil {
		callCtx, cancel := context.WithTimeout(ctx, cancelTimeout+primaryTimeout)
		defer cancel()
		if o, err := peer.Cancel(callCtx, q); err == nil {
			return o, nil
		}
	}
	record, found := h.fenceKey(k)
	switch {
	case !found:
		return outcomeMessage(k, unknown(ReasonNoClaim)), nil
	case record.Outcome.Final() || len(record.Attempts) == 0:
		return outcomeMessage(k, record.Outcome), nil
	}
	return outcomeMessage(k, h.settleAttempts(ctx, record, h.Endpoints.Stop)), nil
}

// settleFunc settles or stops one task at its endpoint.
type settleFunc func(ctx context.Context, address, id string, leaseUntil time.Time) endpoint.Result

// resolveUnknown queries the endpoints about a key whose outcome is unknown and
// returns the new outcome if it is final.
func (h *Service) resolveUnknown(ctx context.Context, k register.Key, o register.Outcome, call settleFunc) register.Outcome {
	record, found := h.lookUpRecord(k)
	if !found || len(record.OpenAttempts()) == 0 {
		return o
	}
	if resolved := h.settleAttempts(ctx, record, call); resolved.Final() {
		return resolved
	}
	return o
}

// settleAttempts queries the endpoint of every attempt that may have started.
// The key must be fenced or concluded before, so that no attempt is added
// meanwhile.
func (h *Service) settleAttempts(ctx context.Context, record register.Record, call settleFunc) register.Outcome {
	unresolved := register.Outcome{}
	for _, a := range record.OpenAttempts() {
		result := call(ctx, a.Address, a.Task, a.LeaseUntil)
		switch result.Kind {
		case endpoint.Done:
			return h.storeOutcome(record.Key, done(result.Answer))
		case endpoint.Running:
			unresolved = pending(result.Reason)
		case endpoint.NotStarted:
			h.mutex.Lock()
			h.Register.MarkNotStarted(record.Key, a.Task)
			h.mutex.Unlock()
		case endpoint.Failed, endpoint.Uncertain:
			if unresolved.State == "" {
				unresolved = unknown(result.Reason)
			}
		}
	}
	if unresolved.State != "" {
		return unresolved
	}
	return h.storeOutcome(record.Key, notRun("fenced at its endpoints before it started"))
}

// storeOutcome stores an outcome if it is final, and returns it.
func (h *Service) storeOutcome(k register.Key, o register.Outcome) register.Outcome {
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

func (h *Service) lookUpRecord(k register.Key) (record register.Record, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.Register.Lookup(k, time.Now())
}

func (h *Service) fenceKey(k register.Key) (record register.Record, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.Register.Fence(k, time.Now())
}
