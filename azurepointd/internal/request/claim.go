package request

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/register"
)

// needsClaim reports whether the backup must accept a claim before a task of
// the request is sent.
func (h *Service) needsClaim(r *openRequest) bool {
	return !r.request.GetRepeatable() && !h.SingleCopy && r.key.Backup != ""
}

// checkBackup returns an error if a claim cannot succeed because the backup is
// not live, so that the request does not wait for a grant first.
func (h *Service) checkBackup(r *openRequest) (err error) {
	if !h.needsClaim(r) {
		return nil
	}
	_, err = h.dialBackup(r.key)
	return err
}

// recordClaim records the attempt here and at the backup. After an error the
// task is never sent, whether or not the backup stored the claim.
func (h *Service) recordClaim(ctx context.Context, r *openRequest, a register.Attempt) (err error) {
	h.mutex.Lock()
	err = h.Register.Claim(r.key, a, time.Now())
	h.mutex.Unlock()
	if err != nil || !h.needsClaim(r) {
		return err
	}
	peer, err := h.dialBackup(r.key)
	if err != nil {
		return err
	}
	r.claimSent = true
	countClaims.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := peer.Claim(ctx, &peerrpc.ClaimRequest{
		Key: r.key.String(), Endpoint: a.Endpoint, Address: a.Address, Task: a.Task,
		LeaseUntilUnixMillis: a.LeaseUntil.UnixMilli(),
	})
	if err != nil {
		countClaimsUnanswered.Inc(1)
		event.ClaimUnanswered.Log(log.Fields{"key": r.key.String(), "backup": r.key.Backup, "error": err.Error()})
		return errors.Wrap(err, "the backup did not answer the claim")
	}
	if !reply.GetAccepted() {
		event.ClaimRefused.Log(log.Fields{"key": r.key.String(), "reason": reply.GetReason()})
		return errors.New("the backup refused the claim: " + reply.GetReason())
	}
	return nil
}

func (h *Service) dialBackup(k register.Key) (peer peerrpc.Peer, err error) {
	peer, err = h.Peers.Dial(k.Backup, k.BackupIncarnation)
	if err != nil {
		return nil, errors.Wrap(err, "the key's backup is gone; take a new key")
	}
	return peer, nil
}

// sendOutcomeToBackup reports the outcome of a request to the backup if a claim
// was sent there.
func (h *Service) sendOutcomeToBackup(ctx context.Context, r *openRequest) {
	if !r.claimSent {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	peer, err := h.dialBackup(r.key)
	if err == nil {
		_, err = peer.Conclude(ctx, outcomeMessage(r.key, r.outcome))
	}
	if err != nil {
		event.ConcludeFailed.Log(log.Fields{"key": r.key.String(), "error": err.Error()})
	}
}

func reportConflict(k register.Key, o register.Outcome) {
	countConflicts.Inc(1)
	event.OutcomeConflict.Log(log.Fields{"key": k.String(), "state": string(o.State), "reason": o.Reason})
}
