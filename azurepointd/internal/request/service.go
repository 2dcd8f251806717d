package request

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/register"
	"github.com/azurepoint/azurepoint/coordination/retry"
)

const (
	// DefaultClockError is the largest difference between the clocks of two
	// instances that is allowed for by default; see section 11 of the design.
	DefaultClockError = 250 * time.Millisecond
	// DefaultMaxPayloadBytes has room for a thousand open requests with the
	// largest payload.
	DefaultMaxPayloadBytes = 64 << 20
	// expireInterval is the time between two removals of expired records.
	expireInterval = 5 * time.Second
	// cancelTimeout bounds the wait in Cancel for the outcome of a stopped
	// task.
	cancelTimeout = 2 * time.Second
)

// Service executes the requests of its keys. Peers and Endpoints must be set
// before use.
type Service struct {
	Peers     Peers
	Endpoints Endpoints
	// Fleet may be nil; then a task is sent under its grant without a check
	// whether the instance still serves the pool.
	Fleet Fleet
	// ClockError is the largest difference between two clocks; zero means
	// DefaultClockError.
	ClockError time.Duration
	// SingleCopy stores claims at the primary only: no claim is sent to the
	// backup, and the outcome of every key that is open when its primary ends
	// is unknown. It must be set alike at all entries of a data centre, because
	// a backup that expects claims takes a missing one as proof that the
	// request did not run.
	SingleCopy bool
	// MaxOpen is the maximum number of open requests; zero means that only
	// MaxPayloadBytes and the limits of Register apply.
	MaxOpen int
	// Register holds the records of keys; its limits may be set before use.
	Register register.Register
	// MaxPayloadBytes is the maximum size of the payloads of all open requests;
	// zero means DefaultMaxPayloadBytes.
	MaxPayloadBytes int
	// Budget limits the further grants that are requested after a failed
	// attempt.
	Budget retry.Budget

	mutex        sync.Mutex
	openRequests map[string]*openRequest
	payloadBytes int
	heldGrants   map[string]int
	dispatchers  dispatcherCache
	stopping     bool
	drained      chan struct{}
}

// Submit executes a request at its primary and waits for the outcome until the
// deadline of the request. A second request with the same key waits for the
// outcome of the first. If the outcome is still open after the deadline, Submit
// returns pending.
func (h *Service) Submit(ctx context.Context, q *peerrpc.SubmitRequest) (o *peerrpc.Outcome, err error) {
	k, err := h.parsePrimaryKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	deadline := timeFromMillis(q.GetDeadlineUnixMillis())
	r, outcome, err := h.admit(ctx, k, q, deadline)
	switch {
	case errors.Is(err, register.ErrDifferentRequest):
		return nil, twirp.NewError(twirp.AlreadyExists, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	case r != nil:
		outcome = r.waitOutcome(ctx, deadline.Add(h.clockError()))
	case outcome.State == register.Unknown:
		outcome = h.resolveUnknown(ctx, k, outcome, h.Endpoints.Settle)
	}
	return outcomeMessage(k, outcome), nil
}

// Lookup returns the outcome stored at this entry for a key that names it as
// primary or backup. It starts no request. At the backup, an unreachable
// primary makes Lookup settle the claims that are stored; a key without a claim
// is not fenced.
func (h *Service) Lookup(ctx context.Context, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if h.isBackup(k) {
		return outcomeMessage(k, h.settleAsBackup(ctx, k, false)), nil
	}
	if err := h.checkPrimary(k); err != nil {
		return nil, err
	}
	outcome := h.recordedOutcome(k)
	if outcome.State == register.Unknown {
		outcome = h.resolveUnknown(ctx, k, outcome, h.Endpoints.Settle)
	}
	return outcomeMessage(k, outcome), nil
}

// Cancel cancels a request. A request that was not sent becomes notRun. One
// that was sent is stopped at its endpoint, and the outcome says how it ended.
func (h *Service) Cancel(ctx context.Context, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if h.isBackup(k) {
		return h.cancelAsBackup(ctx, k, q)
	}
	if err := h.checkPrimary(k); err != nil {
		return nil, err
	}
	countCancelled.Inc(1)
	r, outcome, err := h.refuseKey(k, ReasonCancelled)
	switch {
	case err != nil:
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	case r == nil && outcome.State == register.Unknown:
		outcome = h.resolveUnknown(ctx, k, outcome, h.Endpoints.Stop)
	case r != nil:
		if a, sent := r.cancel(errCancelled); sent {
			h.Endpoints.Stop(ctx, a.Address, a.Task, a.LeaseUntil)
		}
		outcome = r.waitOutcome(ctx, time.Now().Add(cancelTimeout))
	}
	return outcomeMessage(k, outcome), nil
}

// Run removes expired records until ctx ends.
func (h *Service) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(expireInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				h.expireRecords(time.Now())
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// Stop performs a planned stop. New requests are refused at once and requests
// that were sent run to their end. Requests that wait for a grant go on waiting
// until ctx ends, and those left become notRun. Stop returns when no request is
// open, which is at most shortly after the end of the last lease.
func (h *Service) Stop(ctx context.Context) {
	event.StopStarted.Log(log.Fields{"open": h.openCount()})
	drained := h.beginStop()
	select {
	case <-drained:
	case <-ctx.Done():
		event.QueuedRequestsRefused.Log(log.Fields{"open": h.openCount()})
		h.cancelGrantWaits()
		<-drained
	}
	event.StopEnded.Log(log.Fields{})
}

// Dump writes a summary of the open requests and the records as text.
func (h *Service) Dump(w io.Writer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, _ = fmt.Fprintf(w, "home: %d open requests, stopping=%t, singleCopy=%t, %.1f retries left\n",
		len(h.openRequests), h.stopping, h.SingleCopy, h.Budget.Remaining())
	h.Register.Dump(w)
}

// admit starts a request, or returns the open request with the same key. r is
// nil if o already is the outcome.
func (h *Service) admit(ctx context.Context, k register.Key, q *peerrpc.SubmitRequest, deadline time.Time) (r *openRequest, o register.Outcome, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	if reason := h.admissionRefusal(q); reason != "" {
		if _, known := h.Register.Lookup(k, now); !known {
			o, err = h.Register.Refuse(k, reason, now)
			return nil, o, err
		}
	}
	o, begun, err := h.Register.Begin(k, requestDigest(q), deadline, now)
	if err != nil {
		return nil, o, err
	}
	if o.Reason == register.ReasonFull {
		event.RegisterFull.Log(log.Fields{"records": h.Register.Len(), "bytes": h.Register.Bytes()})
	}
	if begun {
		h.Budget.RecordFirst()
		return h.startRequest(ctx, k, q, deadline), o, nil
	}
	return h.openRequests[k.String()], o, nil
}

// admissionRefusal returns the reason why a new request is refused, or an empty
// string if it is admitted. The caller holds the mutex.
func (h *Service) admissionRefusal(q *peerrpc.SubmitRequest) (reason string) {
	limit := h.MaxPayloadBytes
	if limit == 0 {
		limit = DefaultMaxPayloadBytes
	}
	switch {
	case h.stopping:
		return ReasonStopping
	case h.MaxOpen > 0 && len(h.openRequests) >= h.MaxOpen:
		return register.ReasonFull
	case h.payloadBytes+len(q.GetPayload()) > limit:
		return register.ReasonFull
	}
	return ""
}

// refuseKey marks a key so that a request that has not arrived yet never runs.
// r is the request of the key if one is open.
func (h *Service) refuseKey(k register.Key, reason string) (r *openRequest, o register.Outcome, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	o, err = h.Register.Refuse(k, reason, time.Now())
	return h.openRequests[k.String()], o, err
}

// recordedOutcome returns the current outcome of a key that names this entry as
// its primary.
func (h *Service) recordedOutcome(k register.Key) register.Outcome {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	record, found := h.Register.Lookup(k, now)
	switch {
	case found:
		return record.Outcome
	case k.Expired(now):
		return notRun(register.ReasonExpired)
	}
	return pending(ReasonNotArrived)
}

func (h *Service) expireRecords(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.Register.Expire(now)
	gaugeRecords.Update(int64(h.Register.Len()))
	gaugeRecordBytes.Update(int64(h.Register.Bytes()))
	gaugeOpenRequests.Update(int64(len(h.openRequests)))
}

func (h *Service) openCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.openRequests)
}

func (h *Service) beginStop() (drained <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.stopping {
		h.stopping = true
		h.drained = make(chan struct{})
		h.closeIfDrained()
	}
	return h.drained
}

// closeIfDrained ends a planned stop once no request is open. The caller holds
// the mutex.
func (h *Service) closeIfDrained() {
	if !h.stopping || len(h.openRequests) > 0 {
		return
	}
	select {
	case <-h.drained:
	default:
		close(h.drained)
	}
}

func (h *Service) cancelGrantWaits() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, r := range h.openRequests {
		r.cancelGrantWait(errStopping)
	}
}

// parsePrimaryKey parses a key that must name this entry as its primary.
func (h *Service) parsePrimaryKey(text string) (k register.Key, err error) {
	k, err = parseKey(text)
	if err != nil {
		return register.Key{}, err
	}
	return k, h.checkPrimary(k)
}

// checkPrimary returns an error unless the key names this incarnation of the
// entry as its primary. The entry that sent the request then calls the backup.
func (h *Service) checkPrimary(k register.Key) (err error) {
	self := h.Peers.Self()
	if k.Primary != self.Name {
		return twirp.NewError(twirp.FailedPrecondition, "the key names another home")
	}
	if k.PrimaryIncarnation != self.Incarnation {
		return twirp.NewError(twirp.FailedPrecondition, "the entry has restarted since the key was issued")
	}
	return nil
}

func (h *Service) isBackup(k register.Key) bool {
	self := h.Peers.Self()
	return k.Backup == self.Name && k.BackupIncarnation == self.Incarnation
}

func (h *Service) clockError() time.Duration {
	if h.ClockError > 0 {
		return h.ClockError
	}
	return DefaultClockError
}
