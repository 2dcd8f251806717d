package caller

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/register"
)

// DefaultClockError is the maximum clock difference between two instances; see
// section 11 of the design.
const DefaultClockError = 250 * time.Millisecond

// Handler implements the callers' API. Peers and Fleet must be set before use.
type Handler struct {
	Peers Peers
	Fleet Fleet
	// ClockError is the configured maximum clock difference; zero means
	// DefaultClockError.
	ClockError time.Duration
	// KeyLifetime is how long an issued key may be used; zero means
	// DefaultKeyLifetime.
	KeyLifetime time.Duration

	mutex        sync.Mutex
	sequence     int64
	roundRobin   int
	servingIndex servingIndex
}

// IssueKeys issues keys for requests to a pool, all with the same primary.
func (h *Handler) IssueKeys(_ context.Context, order *callerapi.KeyOrder) (list *callerapi.KeyList, err error) {
	chosen, err := h.chooseEntries(order.Pool)
	if err != nil {
		return nil, err
	}
	// Times in the API have a resolution of one second.
	expiresAt := time.Now().Add(h.keyLifetime()).Truncate(time.Second)
	list = &callerapi.KeyList{Keys: []string{}, ExpiresAt: expiresAt}
	for range order.Count.Or(1) {
		text := h.newKey(chosen, expiresAt).String()
		if len(text) > register.MaxKeyBytes {
			return nil, refusef(500, "", "the names of the entries are too long for a key of %d bytes", register.MaxKeyBytes)
		}
		list.Keys = append(list.Keys, text)
	}
	countKeys.Inc(int64(len(list.Keys)))
	return list, nil
}

// SubmitRequest runs a request and waits for its outcome until its deadline.
func (h *Handler) SubmitRequest(ctx context.Context, s *callerapi.Submission) (o *callerapi.Outcome, err error) {
	countSubmissions.Inc(1)
	now := time.Now()
	k, err := h.checkKey(s.Key, now)
	if err != nil {
		return nil, err
	}
	if err := h.checkSubmission(k, s, now); err != nil {
		return nil, err
	}
	q := newSubmitRequest(s)
	refusal := h.checkAdmission(k, s, now)
	if refusal != nil {
		// An earlier copy of the request may have been accepted before the
		// deadline passed or the configuration changed. Forwarding with a deadline
		// in the past makes the primary return the outcome of that copy, and
		// prevents a copy that is still in transit from running later.
		q.DeadlineUnixMillis = 1
	}
	outcome, err := h.submit(ctx, k, q)
	switch {
	case err != nil:
		return nil, err
	case refusal != nil && outcome.State == register.NotRun:
		return nil, refusal
	case outcome.State == register.Pending:
		outcome.State = register.Unknown
	}
	return toAPIOutcome(s.Key, outcome), nil
}

// LookupRequest returns the outcome that is recorded for a request.
func (h *Handler) LookupRequest(ctx context.Context, p callerapi.LookupRequestParams) (o *callerapi.Outcome, err error) {
	return h.keyOutcome(ctx, p.Key, peerrpc.Peer.Lookup)
}

// CancelRequest cancels a request and returns its outcome.
func (h *Handler) CancelRequest(ctx context.Context, p callerapi.CancelRequestParams) (o *callerapi.Outcome, err error) {
	return h.keyOutcome(ctx, p.Key, peerrpc.Peer.Cancel)
}

// Dump writes the state of the handler for a state dump.
func (h *Handler) Dump(w io.Writer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, _ = fmt.Fprintf(w, "caller: next sequence %d, %d pools with serving instances\n", h.sequence, len(h.servingIndex.byPool))
}

func (h *Handler) keyOutcome(ctx context.Context, key string, call keyCall) (o *callerapi.Outcome, err error) {
	k, err := h.checkKey(key, time.Now())
	if err != nil {
		return nil, err
	}
	outcome, err := h.callByKey(ctx, k, call)
	if err != nil {
		return nil, err
	}
	return toAPIOutcome(key, outcome), nil
}

func newSubmitRequest(s *callerapi.Submission) *peerrpc.SubmitRequest {
	return &peerrpc.SubmitRequest{
		Key:                s.Key,
		Member:             s.Member,
		Pool:               s.Pool,
		Urgency:            string(s.Urgency.Or(callerapi.UrgencyNormal)),
		Repeatable:         s.Repeatable.Or(false),
		DeadlineUnixMillis: s.Deadline.UnixMilli(),
		Slots:              int32(s.Slots.Or(1)),
		RunMillis:          int64(s.RunMillis.Or(0)),
		Payload:            s.Payload.Or(""),
	}
}

func toAPIOutcome(key string, o register.Outcome) *callerapi.Outcome {
	converted := &callerapi.Outcome{Key: key, State: callerapi.OutcomeState(o.State)}
	if o.Reason != "" {
		converted.Reason = callerapi.NewOptString(o.Reason)
	}
	switch o.State {
	case register.Done:
		converted.Answer = callerapi.NewOptString(o.Answer)
	case register.Unknown, register.Pending:
		converted.AskAt = callerapi.NewOptString("/v1/requests/" + key)
	case register.NotRun:
	}
	if o.State == register.Unknown {
		countUnknown.Inc(1)
	}
	return converted
}

func (h *Handler) keyLifetime() time.Duration {
	if h.KeyLifetime > 0 {
		return h.KeyLifetime
	}
	return DefaultKeyLifetime
}

func (h *Handler) clockError() time.Duration {
	if h.ClockError > 0 {
		return h.ClockError
	}
	return DefaultClockError
}
