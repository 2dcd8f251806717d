package request

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/endpoint"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/register"
)

const (
	// maxAttempts is the maximum number of grants that one request may use.
	maxAttempts = 5
	// settleMargin is the time that the endpoint client may need beyond the end
	// of a lease.
	settleMargin = 5 * time.Second
)

var (
	errCancelled = errors.New(ReasonCancelled)
	errStopping  = errors.New(ReasonStopping)
)

// openRequest is a request at its primary whose outcome is open.
type openRequest struct {
	key      register.Key
	request  *peerrpc.SubmitRequest
	deadline time.Time
	// cancelGrantWait ends the wait for a grant; no further grant is requested.
	cancelGrantWait context.CancelCauseFunc
	// avoid lists the endpoints that refused or failed the request.
	avoid []string
	// claimSent is set once the backup may have stored a claim.
	claimSent bool
	// unreleased is the grant that has not been released to its dispatcher yet.
	unreleased *grant

	mutex       sync.Mutex
	cancelled   bool
	sentAttempt *register.Attempt

	// ended is closed after outcome is set.
	ended   chan struct{}
	outcome register.Outcome
}

// startRequest executes a request in the background; the caller holds the
// mutex. The execution does not end with the context of the call that started
// it, because further calls may wait for the same request.
func (h *Service) startRequest(ctx context.Context, k register.Key, q *peerrpc.SubmitRequest, deadline time.Time) (r *openRequest) {
	r = &openRequest{key: k, request: q, deadline: deadline, ended: make(chan struct{})}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(2*h.clockError()+settleMargin))
	queueCtx, cancelQueue := context.WithCancelCause(ctx)
	r.cancelGrantWait = cancelQueue
	if h.openRequests == nil {
		h.openRequests = make(map[string]*openRequest)
	}
	h.openRequests[k.String()] = r
	h.payloadBytes += len(q.GetPayload())
	go func() {
		defer cancel()
		defer cancelQueue(nil)
		h.concludeRequest(r, h.execute(ctx, queueCtx, r))
		h.releaseGrant(ctx, r)
		h.sendOutcomeToBackup(ctx, r)
		h.removeRequest(r)
	}()
	return r
}

// execute requests grants and sends tasks until the outcome is certain or no
// further attempt is allowed.
func (h *Service) execute(ctx, queueCtx context.Context, r *openRequest) register.Outcome {
	if err := h.checkBackup(r); err != nil {
		return notRun(err.Error())
	}
	mayHaveRun := false
	for n := 1; ; n++ {
		g, err := h.requestGrant(queueCtx, r, n)
		if err != nil {
			return outcomeWithoutAnswer(mayHaveRun, err.Error())
		}
		result, retryable := h.runAttempt(ctx, r, g)
		switch result.Kind {
		case endpoint.Done:
			return done(result.Answer)
		case endpoint.NotStarted:
			h.recordNotStarted(r, g)
		default:
			mayHaveRun = true
			retryable = r.request.GetRepeatable()
		}
		if queueCtx.Err() != nil {
			return outcomeWithoutAnswer(mayHaveRun, fmt.Sprintf("%s: %s", context.Cause(queueCtx), result.Reason))
		}
		if !retryable || n == maxAttempts || !h.spendRetry() {
			return outcomeWithoutAnswer(mayHaveRun, result.Reason)
		}
		r.avoid = append(r.avoid, g.endpoint)
		h.releaseGrant(ctx, r)
	}
}

// outcomeWithoutAnswer returns the outcome of a request that ended without an
// answer and is not attempted again.
func outcomeWithoutAnswer(mayHaveRun bool, reason string) register.Outcome {
	if mayHaveRun {
		return unknown(reason)
	}
	return notRun(reason)
}

// runAttempt records the claim of one task and sends it. retryable reports
// whether another grant may help after a task that did not start.
func (h *Service) runAttempt(ctx context.Context, r *openRequest, g *grant) (result endpoint.Result, retryable bool) {
	task, err := h.taskID(ctx, g)
	if err != nil {
		g.releaseResult = releaseFailed
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: err.Error()}, true
	}
	g.taskID = task
	a := register.Attempt{Task: task, Endpoint: g.endpoint, Address: g.address, LeaseUntil: g.leaseUntil}
	if err := h.recordClaim(ctx, r, a); err != nil {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: err.Error()}, false
	}
	if !r.markSent(a) {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: "not sent"}, false
	}
	if reason := h.whyNotServing(g); reason != "" {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: reason}, true
	}
	begun := time.Now()
	if !begun.Add(h.clockError()).Before(g.leaseUntil) {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: "the grant ended before the task was sent"}, true
	}
	result = h.Endpoints.Run(ctx, g.address, endpoint.Task{
		ID:         task,
		Member:     r.request.GetMember(),
		Slots:      int(r.request.GetSlots()),
		RunMillis:  r.request.GetRunMillis(),
		LeaseUntil: g.leaseUntil,
		Payload:    r.request.GetPayload(),
		Repeatable: r.request.GetRepeatable(),
	})
	g.releaseResult = releaseResultOf(result)
	g.runTime = time.Since(begun)
	return result, true
}

// whyNotServing returns the reason why the instance of a grant may get no task
// of the pool under the configuration in force here, or an empty string. The
// dispatcher may have issued the grant under an earlier version, before the
// instance began to drain or to move.
func (h *Service) whyNotServing(g *grant) (reason string) {
	if h.Fleet == nil {
		return ""
	}
	s := h.Fleet.State()
	i, known := s.Instances[g.endpoint]
	switch {
	case !known:
		return fmt.Sprintf("instance %q is not in version %d", g.endpoint, s.Version)
	case !i.Available():
		return fmt.Sprintf("instance %q is no longer serving at version %d", g.endpoint, s.Version)
	case i.Pool != g.pool && !s.Pools[i.Pool].Spare:
		return fmt.Sprintf("instance %q is in pool %q at version %d", g.endpoint, i.Pool, s.Version)
	}
	return ""
}

// taskID returns the ID of a task, which contains the fencing token that the
// dispatcher observed at the endpoint. The token of a later status could
// already belong to another pool to which the instance has moved since.
func (h *Service) taskID(ctx context.Context, g *grant) (id string, err error) {
	if g.fence != 0 {
		return endpoint.FencedTaskID(g.id, g.fence), nil
	}
	return h.Endpoints.TaskID(ctx, g.address, g.id)
}

// spendRetry takes one retry from the budget and returns false if none is left.
func (h *Service) spendRetry() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.Budget.TryRetry() {
		countRetriesRefused.Inc(1)
		return false
	}
	countRetries.Inc(1)
	return true
}

func (h *Service) recordNotStarted(r *openRequest, g *grant) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.Register.MarkNotStarted(r.key, g.taskID)
}

// concludeRequest records the outcome and returns it to the waiting callers.
func (h *Service) concludeRequest(r *openRequest, o register.Outcome) {
	h.mutex.Lock()
	err := h.Register.Conclude(r.key, o, time.Now())
	h.mutex.Unlock()
	if err != nil {
		reportConflict(r.key, o)
	}
	countOutcome(o)
	event.RequestConcluded.Log(log.Fields{"key": r.key.String(), "state": string(o.State), "reason": o.Reason})
	r.outcome = o
	close(r.ended)
}

func (h *Service) removeRequest(r *openRequest) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.openRequests, r.key.String())
	h.payloadBytes -= len(r.request.GetPayload())
	h.closeIfDrained()
}

// waitOutcome returns the outcome, or pending if ctx ends or the time is
// reached first.
func (r *openRequest) waitOutcome(ctx context.Context, until time.Time) register.Outcome {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-r.ended:
		return r.outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case <-r.ended:
		return r.outcome
	default:
		return pending("the request is waiting or running")
	}
}

// markSent records the attempt as sent and returns false if the request was
// cancelled before.
func (r *openRequest) markSent(a register.Attempt) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cancelled {
		return false
	}
	r.sentAttempt = &a
	return true
}

// cancel prevents the request from being sent. sent is true if a task was sent
// before, and a is then its attempt.
func (r *openRequest) cancel(cause error) (a register.Attempt, sent bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cancelled = true
	r.cancelGrantWait(cause)
	if r.sentAttempt == nil {
		return register.Attempt{}, false
	}
	return *r.sentAttempt, true
}
