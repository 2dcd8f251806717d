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
	// livePoll is how often a waiting call checks that the entry that it waits
	// for is still live; a frozen entry breaks no connection.
	livePoll = 500 * time.Millisecond
	// askAgain is the wait before an open request is asked about again.
	askAgain = 200 * time.Millisecond
	// inquiryTimeout bounds a call that does not wait for a request's end; a
	// backup asks the home and then the endpoint of each claim.
	inquiryTimeout = 4 * time.Second
)

var errNotLive = errors.New("caller: the entry is not live")

type keyCall func(peer peerrpc.Peer, ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error)

// submit forwards a request to its home, and has its backup settle it when the
// home cannot be reached, until the outcome is certain or the deadline passes.
func (h *Handler) submit(ctx context.Context, k register.Key, q *peerrpc.SubmitRequest) (o register.Outcome, err error) {
	deadline := time.UnixMilli(q.GetDeadlineUnixMillis())
	settle := peerrpc.Peer.Settle
	if q.GetRepeatable() {
		// A missing claim says nothing about a request that skips the claim.
		settle = peerrpc.Peer.Lookup
	}
	for {
		o, err = h.atHome(ctx, k, until(deadline, 2*h.clockError()), func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error) {
			return p.Submit(ctx, q)
		})
		if refusal := refusalOf(err); refusal != nil {
			return o, refusal
		}
		if err != nil {
			o = h.atBackup(ctx, k, err, settle)
		}
		if o.State != register.Pending || time.Now().After(deadline) || ctx.Err() != nil {
			return o, nil
		}
		select {
		case <-time.After(askAgain):
		case <-ctx.Done():
		}
	}
}

// inquire asks the home about a key, and the backup when the home cannot be
// reached.
func (h *Handler) inquire(ctx context.Context, k register.Key, call keyCall) (o register.Outcome, err error) {
	o, err = h.atHome(ctx, k, time.Now().Add(inquiryTimeout), func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error) {
		return call(p, ctx, &peerrpc.KeyRequest{Key: k.String()})
	})
	if refusal := refusalOf(err); refusal != nil {
		return o, refusal
	}
	if err != nil {
		o = h.atBackup(ctx, k, err, call)
	}
	return o, nil
}

func (h *Handler) atHome(ctx context.Context, k register.Key, until time.Time, call peerCall) (o register.Outcome, err error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return h.at(ctx, k.DataCentre, k.Home, k.HomeIncarnation, call)
}

// atBackup asks the backup; an outcome that it cannot give is unknown.
func (h *Handler) atBackup(ctx context.Context, k register.Key, cause error, call keyCall) (o register.Outcome) {
	countAskedBackup.Inc(1)
	event.HomeUnreachable.Log(log.Fields{"key": k.String(), "error": cause.Error()})
	if k.Backup == "" {
		return unknown("the home is unreachable and the key has no backup: " + cause.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	o, err := h.at(ctx, k.DataCentre, k.Backup, k.BackupIncarnation, func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error) {
		return call(p, ctx, &peerrpc.KeyRequest{Key: k.String()})
	})
	if err != nil {
		return unknown("neither the home nor the backup could be reached: " + err.Error())
	}
	return o
}

type peerCall func(ctx context.Context, p peerrpc.Peer) (*peerrpc.Outcome, error)

// at calls an entry and gives up as soon as it is no longer live.
func (h *Handler) at(ctx context.Context, dataCentre, name string, incarnation int64, call peerCall) (o register.Outcome, err error) {
	peer, err := h.Peers.Dial(name, incarnation)
	if err != nil {
		return register.Outcome{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answered := make(chan struct{})
	var message *peerrpc.Outcome
	go func() {
		defer close(answered)
		message, err = call(ctx, peer)
	}()
	ticker := time.NewTicker(livePoll)
	defer ticker.Stop()
	for {
		select {
		case <-answered:
			return outcomeOf(message), err
		case <-ticker.C:
			if !h.live(dataCentre, name, incarnation) {
				cancel(errNotLive)
			}
		}
	}
}

func (h *Handler) live(dataCentre, name string, incarnation int64) bool {
	entries := h.Peers.Live()
	if dataCentre != h.Peers.Self().DataCentre {
		entries = h.Peers.Remote(dataCentre)
	}
	return slices.ContainsFunc(entries, func(e membership.Entry) bool {
		return e.Name == name && e.Incarnation == incarnation
	})
}

// refusalOf turns an error of the home that certainly concerns this request
// into an answer to the caller; any other error leaves the outcome open.
func refusalOf(err error) (refusal error) {
	var refused twirp.Error
	if !errors.As(err, &refused) {
		return nil
	}
	switch refused.Code() {
	case twirp.InvalidArgument:
		return refusef(http.StatusBadRequest, "key", "key: %s", refused.Msg())
	case twirp.AlreadyExists:
		return refusef(http.StatusConflict, "key", "key: already used by a different request")
	case twirp.ResourceExhausted:
		return refusef(http.StatusServiceUnavailable, "", "%s", refused.Msg())
	}
	return nil
}

func outcomeOf(m *peerrpc.Outcome) register.Outcome {
	return register.Outcome{State: register.State(m.GetState()), Reason: m.GetReason(), Answer: m.GetAnswer()}
}

func unknown(reason string) register.Outcome {
	return register.Outcome{State: register.Unknown, Reason: reason}
}

// until returns when a call about a deadline ends at the latest.
func until(deadline time.Time, margin time.Duration) time.Time {
	if now := time.Now(); deadline.Before(now) {
		deadline = now.Add(inquiryTimeout)
	}
	return deadline.Add(margin)
}
