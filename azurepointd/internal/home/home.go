package home

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
	// DefaultClockError is how far the clocks of two instances differ at most;
	// see section 11 of the design.
	DefaultClockError = 250 * time.Millisecond
	// DefaultMaxPayloadBytes holds a thousand open requests of the largest size.
	DefaultMaxPayloadBytes = 64 << 20
	// expireEvery is how often records are dropped.
	expireEvery = 5 * time.Second
	// cancelWait is how long Cancel waits for a task that was told to stop.
	cancelWait = 2 * time.Second
)

// Home runs the requests of its keys; Peers and Endpoints are set before use.
type Home struct {
	Peers     Peers
	Endpoints Endpoints
	// Fleet may be nil; then a grant is used whatever became of its instance.
	Fleet Fleet
	// ClockError is a setting; zero means DefaultClockError.
	ClockError time.Duration
	// SingleCopy keeps claims at the home alone: no backup is asked, and every
	// open key of a home that ends is unknown. It must be the same at all
	// entries of a data centre, because a backup that expects claims takes a
	// missing one as proof that the request did not run.
	SingleCopy bool
	// MaxOpen is the most open requests; zero means no limit but the memory's.
	MaxOpen int
	// Register holds the records; its limits may be set before use.
	Register register.Register
	// MaxPayloadBytes is the most bytes of payloads of open requests; zero means
	// DefaultMaxPayloadBytes.
	MaxPayloadBytes int
	// Budget bounds second grants for the same request.
	Budget retry.Budget

	mutex        sync.Mutex
	runs         map[string]*run
	payloadBytes int
	held         map[string]int
	owners       ownerCache
	stopping     bool
	drained      chan struct{}
}

// Submit runs a request at its home and waits for the outcome until the
// request's deadline; a second request with the same key joins the first. After
// the deadline it answers pending if the outcome is still open.
func (h *Home) Submit(ctx context.Context, q *peerrpc.SubmitRequest) (o *peerrpc.Outcome, err error) {
	k, err := h.ownKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	deadline := timeOf(q.GetDeadlineUnixMillis())
	r, outcome, err := h.begin(ctx, k, q, deadline)
	switch {
	case errors.Is(err, register.ErrOther):
		return nil, twirp.NewError(twirp.AlreadyExists, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	case r != nil:
		outcome = r.wait(ctx, deadline.Add(h.clockError()))
	case outcome.State == register.Unknown:
		outcome = h.refresh(ctx, k, outcome, h.Endpoints.Settle)
	}
	return message(k, outcome), nil
}

// Lookup returns what this entry knows of a key that names it as its home or as
// its backup; it begins nothing and fences no key.
func (h *Home) Lookup(ctx context.Context, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if h.isBackup(k) {
		return message(k, h.settle(ctx, k, false)), nil
	}
	if err := h.checkHome(k); err != nil {
		return nil, err
	}
	outcome := h.known(k)
	if outcome.State == register.Unknown {
		outcome = h.refresh(ctx, k, outcome, h.Endpoints.Settle)
	}
	return message(k, outcome), nil
}

// Cancel cancels a request. One that has not been sent is notRun; one that has
// is stopped at its endpoint, and the outcome tells what became of it.
func (h *Home) Cancel(ctx context.Context, q *peerrpc.KeyRequest) (o *peerrpc.Outcome, err error) {
	k, err := parseKey(q.GetKey())
	if err != nil {
		return nil, err
	}
	if h.isBackup(k) {
		return h.cancelAsBackup(ctx, k, q)
	}
	if err := h.checkHome(k); err != nil {
		return nil, err
	}
	countCancelled.Inc(1)
	r, outcome, err := h.refuse(k, ReasonCancelled)
	switch {
	case err != nil:
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	case r == nil && outcome.State == register.Unknown:
		outcome = h.refresh(ctx, k, outcome, h.Endpoints.Stop)
	case r != nil:
		if a, sent := r.cancel(errCancelled); sent {
			h.Endpoints.Stop(ctx, a.Address, a.Task, a.LeaseUntil)
		}
		outcome = r.wait(ctx, time.Now().Add(cancelWait))
	}
	return message(k, outcome), nil
}

// Run drops old records until ctx ends.
func (h *Home) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(expireEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				h.expire(time.Now())
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// Stop is the planned stop: new requests are refused at once, requests that
// were sent are finished, and so are those that wait for a grant until ctx
// ends, which makes the rest notRun. It returns when no request is left, at
// most a little after the last lease.
func (h *Home) Stop(ctx context.Context) {
	event.StopBegun.Log(log.Fields{"open": h.open()})
	drained := h.beginStop()
	select {
	case <-drained:
	case <-ctx.Done():
		event.QueueLeft.Log(log.Fields{"open": h.open()})
		h.leaveQueues()
		<-drained
	}
	event.StopEnded.Log(log.Fields{})
}

// Dump writes the open requests and the records as text.
func (h *Home) Dump(w io.Writer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, _ = fmt.Fprintf(w, "home: %d open requests, stopping=%t, singleCopy=%t, %.1f retries left\n",
		len(h.runs), h.stopping, h.SingleCopy, h.Budget.Left())
	h.Register.Dump(w)
}

// begin enters a request; r is nil when the outcome needs no waiting for.
func (h *Home) begin(ctx context.Context, k register.Key, q *peerrpc.SubmitRequest, deadline time.Time) (r *run, o register.Outcome, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	if reason := h.refusal(q); reason != "" {
		if _, known := h.Register.Lookup(k, now); !known {
			o, err = h.Register.Refuse(k, reason, now)
			return nil, o, err
		}
	}
	o, begun, err := h.Register.Begin(k, digestOf(q), deadline, now)
	if err != nil {
		return nil, o, err
	}
	if o.Reason == register.ReasonFull {
		event.RegisterFull.Log(log.Fields{"records": h.Register.Len(), "bytes": h.Register.Bytes()})
	}
	if begun {
		h.Budget.First()
		return h.start(ctx, k, q, deadline), o, nil
	}
	return h.runs[k.String()], o, nil
}

// refusal returns why no new request is taken now.
func (h *Home) refusal(q *peerrpc.SubmitRequest) (reason string) {
	limit := h.MaxPayloadBytes
	if limit == 0 {
		limit = DefaultMaxPayloadBytes
	}
	switch {
	case h.stopping:
		return ReasonStopping
	case h.MaxOpen > 0 && len(h.runs) >= h.MaxOpen:
		return register.ReasonFull
	case h.payloadBytes+len(q.GetPayload()) > limit:
		return register.ReasonFull
	}
	return ""
}

// refuse makes sure that a request that has not arrived never runs; r is the
// run of one that has and is open.
func (h *Home) refuse(k register.Key, reason string) (r *run, o register.Outcome, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	o, err = h.Register.Refuse(k, reason, time.Now())
	return h.runs[k.String()], o, err
}

// known returns the outcome so far of a key that names this entry as its home.
func (h *Home) known(k register.Key) register.Outcome {
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

func (h *Home) expire(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.Register.Expire(now)
	gaugeRecords.Update(int64(h.Register.Len()))
	gaugeBytes.Update(int64(h.Register.Bytes()))
	gaugeOpen.Update(int64(len(h.runs)))
}

func (h *Home) open() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.runs)
}

func (h *Home) beginStop() (drained <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.stopping {
		h.stopping = true
		h.drained = make(chan struct{})
		h.closeIfDrained()
	}
	return h.drained
}

// closeIfDrained is called with the mutex held.
func (h *Home) closeIfDrained() {
	if !h.stopping || len(h.runs) > 0 {
		return
	}
	select {
	case <-h.drained:
	default:
		close(h.drained)
	}
}

func (h *Home) leaveQueues() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, r := range h.runs {
		r.leaveQueue(errStopping)
	}
}

// ownKey reads a key that must name this entry as its home.
func (h *Home) ownKey(text string) (k register.Key, err error) {
	k, err = parseKey(text)
	if err != nil {
		return register.Key{}, err
	}
	return k, h.checkHome(k)
}

// checkHome returns an error unless the key names this incarnation as its home;
// the entry that asks then turns to the backup.
func (h *Home) checkHome(k register.Key) (err error) {
	self := h.Peers.Self()
	if k.Home != self.Name {
		return twirp.NewError(twirp.FailedPrecondition, "the key names another home")
	}
	if k.HomeIncarnation != self.Incarnation {
		return twirp.NewError(twirp.FailedPrecondition, "the entry has restarted since the key was issued")
	}
	return nil
}

func (h *Home) isBackup(k register.Key) bool {
	self := h.Peers.Self()
	return k.Backup == self.Name && k.BackupIncarnation == self.Incarnation
}

func (h *Home) clockError() time.Duration {
	if h.ClockError > 0 {
		return h.ClockError
	}
	return DefaultClockError
}
