package caller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/register"
)

const (
	// livenessInterval is how often a pending call checks that the called entry is
	// still live; the connection to a frozen entry stays open.
	livenessInterval = 500 * time.Millisecond
	// pendingRetryInterval is the delay before a request whose outcome is
	// pending is submitted again.
	pendingRetryInterval = 200 * time.Millisecond
	// keyCallTimeout bounds a call that does not wait for a request to end. It
	// leaves time for a backup that calls the primary and then the endpoint of each
	// claim.
	keyCallTimeout = 4 * time.Second
)

var errNotLive = errors.New("caller: the entry is not live")

type keyCall func(peer peerrpc.Peer, ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error)

// submit forwards a request to its primary and has the backup settle it while the
// primary is unreachable, until the outcome is certain or the deadline passes.
func (h *Handler) submit(ctx context.Context, k register.Key, q *peerrpc.SubmitRequest) (o register.Outcome, err error) {
	deadline := time.UnixMilli(q.GetDeadlineUnixMillis())
	settle := peerrpc.Peer.Settle
	if q.GetRepeatable() {
		// Repeatable requests are not claimed, so a missing claim at the backup
		// does not prove that the request did not run.
		settle = peerrpc.Peer.Lookup
	}
	for {
		o, err = h.callPrimary(ctx, k, callDeadline(deadline, 2*h.clockError()), func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error) {
			return p.Submit(ctx, q)
		})
		if refusal := refusalOf(err); refusal != nil {
			return o, refusal
		}
		if err != nil {
			o = h.callBackup(ctx, k, err, settle)
		}
		if o.State != register.Pending || time.Now().After(deadline) || ctx.Err() != nil {
			return o, nil
		}
		select {
		case <-time.After(pendingRetryInterval):
		case <-ctx.Done():
		}
	}
}

// callByKey calls the primary of a key, and the backup if the primary is
// unreachable.
func (h *Handler) callByKey(ctx context.Context, k register.Key, call keyCall) (o register.Outcome, err error) {
	o, err = h.callPrimary(ctx, k, time.Now().Add(keyCallTimeout), func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error) {
		return call(p, ctx, &peerrpc.KeyRequest{Key: k.String()})
	})
	if refusal := refusalOf(err); refusal != nil {
		return o, refusal
	}
	if err != nil {
		o = h.callBackup(ctx, k, err, call)
	}
	return o, nil
}

func (h *Handler) callPrimary(ctx context.Context, k register.Key, deadline time.Time, call peerCall) (o register.Outcome, err error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return h.callEntry(ctx, k.DataCentre, k.Primary, k.PrimaryIncarnation, call)
}

// callBackup calls the backup of a key; if the backup is missing or unreachable, the
// outcome is unknown.
func (h *Handler) callBackup(ctx context.Context, k register.Key, cause error, call keyCall) (o register.Outcome) {
	countBackupCalls.Inc(1)
	event.PrimaryUnreachable.Log(log.Fields{"key": k.String(), "error": cause.Error()})
	if k.Backup == "" {
		return unknownOutcome("the home is unreachable and the key has no backup: " + cause.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	o, err := h.callEntry(ctx, k.DataCentre, k.Backup, k.BackupIncarnation, func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error) {
		return call(p, ctx, &peerrpc.KeyRequest{Key: k.String()})
	})
	if err != nil {
		return unknownOutcome("neither the home nor the backup could be reached: " + err.Error())
	}
	return o
}

type peerCall func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error)

// callEntry calls an entry and cancels the call as soon as the entry is not live.
func (h *Handler) callEntry(ctx context.Context, dataCentre, name string, incarnation int64, call peerCall) (o register.Outcome, err error) {
	peer, err := h.Peers.Dial(name, incarnation)
	if err != nil {
		return register.Outcome{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	returned := make(chan struct{})
	var reply *peerrpc.Outcome
	go func() {
		defer close(returned)
		reply, err = call(ctx, peer)
	}()
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-returned:
			return outcomeFromMessage(reply), err
		case <-ticker.C:
			if !h.isLive(dataCentre, name, incarnation) {
				cancel(errNotLive)
			}
		}
	}
}

func (h *Handler) isLive(dataCentre, name string, incarnation int64) bool {
	entries := h.Peers.Live()
	if dataCentre != h.Peers.Self().DataCentre {
		entries = h.Peers.Remote(dataCentre)
	}
	return slices.ContainsFunc(entries, func(e membership.Entry) bool {
		return e.Name == name && e.Incarnation == incarnation
	})
}

// refusalOf converts an error by which the primary refused this request into a
// response for the caller. Any other error does not decide the outcome; it returns
// nil then.
func refusalOf(err error) (refusal error) {
	var rpcErr twirp.Error
	if !errors.As(err, &rpcErr) {
		return nil
	}
	switch rpcErr.Code() {
	case twirp.InvalidArgument:
		return refusef(http.StatusBadRequest, "key", "key: %s", rpcErr.Msg())
	case twirp.AlreadyExists:
		return refusef(http.StatusConflict, "key", "key: already used by a different request")
	case twirp.ResourceExhausted:
		return refusef(http.StatusServiceUnavailable, "", "%s", rpcErr.Msg())
	}
	return nil
}

func outcomeFromMessage(m *peerrpc.Outcome) register.Outcome {
	return register.Outcome{State: register.State(m.GetState()), Reason: m.GetReason(), Answer: m.GetAnswer()}
}

func unknownOutcome(reason string) register.Outcome {
	return register.Outcome{State: register.Unknown, Reason: reason}
}

// callDeadline returns the time limit of a call for a request with a deadline; a
// deadline in the past is replaced by keyCallTimeout from now.
func callDeadline(deadline time.Time, margin time.Duration) time.Time {
	if now := time.Now(); deadline.Before(now) {
		deadline = now.Add(keyCallTimeout)
	}
	return deadline.Add(margin)
}
