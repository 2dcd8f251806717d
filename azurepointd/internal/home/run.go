package home

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
	// maxTries bounds the grants of one request.
	maxTries = 5
	// settleTime covers what the endpoint client does beyond a lease.
	settleTime = 5 * time.Second
)

var (
	errCancelled = errors.New(ReasonCancelled)
	errStopping  = errors.New(ReasonStopping)
)

// run is one open request at its home.
type run struct {
	key      register.Key
	request  *peerrpc.SubmitRequest
	deadline time.Time
	// leaveQueue ends the wait for a grant, now and later.
	leaveQueue context.CancelCauseFunc
	// avoid are the endpoints that refused or failed the request.
	avoid []string
	// claimed is set once the backup may hold a claim.
	claimed bool
	// last is the grant that is still to be returned.
	last *grant

	mutex     sync.Mutex
	cancelled bool
	sent      *register.Attempt

	// ended is closed once outcome is set.
	ended   chan struct{}
	outcome register.Outcome
}

// start begins a run; the mutex is held. The run outlives the call that began
// it, because other callers may join it.
func (h *Home) start(ctx context.Context, k register.Key, q *peerrpc.SubmitRequest, deadline time.Time) (r *run) {
	r = &run{key: k, request: q, deadline: deadline, ended: make(chan struct{})}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(2*h.clockError()+settleTime))
	queue, leave := context.WithCancelCause(ctx)
	r.leaveQueue = leave
	if h.runs == nil {
		h.runs = make(map[string]*run)
	}
	h.runs[k.String()] = r
	h.payloadBytes += len(q.GetPayload())
	go func() {
		defer cancel()
		defer leave(nil)
		h.conclude(r, h.execute(ctx, queue, r))
		h.returnGrant(ctx, r)
		h.tellBackup(ctx, r)
		h.remove(r)
	}()
	return r
}

// execute tries grants until the outcome is certain, or until no further try is
// allowed.
func (h *Home) execute(ctx, queue context.Context, r *run) register.Outcome {
	if err := h.checkBackup(r); err != nil {
		return notRun(err.Error())
	}
	mayHaveRun := false
	for n := 1; ; n++ {
		g, err := h.grant(queue, r, n)
		if err != nil {
			return withoutAnswer(mayHaveRun, err.Error())
		}
		result, again := h.try(ctx, r, g)
		switch result.Kind {
		case endpoint.Done:
			return done(result.Answer)
		case endpoint.NotStarted:
			h.noteNotStarted(r, g)
		default:
			mayHaveRun = true
			again = r.request.GetRepeatable()
		}
		if queue.Err() != nil {
			return withoutAnswer(mayHaveRun, fmt.Sprintf("%s: %s", context.Cause(queue), result.Reason))
		}
		if !again || n == maxTries || !h.mayRetry() {
			return withoutAnswer(mayHaveRun, result.Reason)
		}
		r.avoid = append(r.avoid, g.endpoint)
		h.returnGrant(ctx, r)
	}
}

// withoutAnswer is the outcome of a request that is not tried again.
func withoutAnswer(mayHaveRun bool, reason string) register.Outcome {
	if mayHaveRun {
		return unknown(reason)
	}
	return notRun(reason)
}

// try claims and sends one task; again tells whether another grant could help
// after a task that did not start.
func (h *Home) try(ctx context.Context, r *run, g *grant) (result endpoint.Result, again bool) {
	task, err := h.taskID(ctx, g)
	if err != nil {
		g.result = releaseFailed
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: err.Error()}, true
	}
	g.task = task
	a := register.Attempt{Task: task, Endpoint: g.endpoint, Address: g.address, LeaseUntil: g.until}
	if err := h.claim(ctx, r, a); err != nil {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: err.Error()}, false
	}
	if !r.send(a) {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: "not sent"}, false
	}
	if reason := h.whyNotSend(g); reason != "" {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: reason}, true
	}
	begun := time.Now()
	if !begun.Add(h.clockError()).Before(g.until) {
		return endpoint.Result{Kind: endpoint.NotStarted, Reason: "the grant ended before the task was sent"}, true
	}
	result = h.Endpoints.Run(ctx, g.address, endpoint.Task{
		ID:         task,
		Member:     r.request.GetMember(),
		Slots:      int(r.request.GetSlots()),
		RunMillis:  r.request.GetRunMillis(),
		LeaseUntil: g.until,
		Payload:    r.request.GetPayload(),
		Repeatable: r.request.GetRepeatable(),
	})
	g.result = releaseOf(result)
	g.ran = time.Since(begun)
	return result, true
}

// whyNotSend returns why the instance of a grant may get no task of the pool by
// the version in force here. The dispatcher may have given the grant at an earlier
// version, before the instance began to drain or to move.
func (h *Home) whyNotSend(g *grant) (reason string) {
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

// taskID names the fence that the dispatcher saw. The fence of a later status
// could be that of another pool, to which the instance has moved since.
func (h *Home) taskID(ctx context.Context, g *grant) (id string, err error) {
	if g.fence != 0 {
		return endpoint.FencedID(g.id, g.fence), nil
	}
	return h.Endpoints.TaskID(ctx, g.address, g.id)
}

func (h *Home) mayRetry() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.Budget.Retry() {
		countNoRetry.Inc(1)
		return false
	}
	countRetries.Inc(1)
	return true
}

func (h *Home) noteNotStarted(r *run, g *grant) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.Register.NotStarted(r.key, g.task)
}

// conclude records the outcome and lets the waiting callers go.
func (h *Home) conclude(r *run, o register.Outcome) {
	h.mutex.Lock()
	err := h.Register.Conclude(r.key, o, time.Now())
	h.mutex.Unlock()
	if err != nil {
		reportConflict(r.key, o)
	}
	count(o)
	event.RequestConcluded.Log(log.Fields{"key": r.key.String(), "state": string(o.State), "reason": o.Reason})
	r.outcome = o
	close(r.ended)
}

func (h *Home) remove(r *run) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.runs, r.key.String())
	h.payloadBytes -= len(r.request.GetPayload())
	h.closeIfDrained()
}

// wait returns the outcome, or pending when ctx or the time ends first.
func (r *run) wait(ctx context.Context, until time.Time) register.Outcome {
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

// send marks the attempt as sent unless the request was cancelled before.
func (r *run) send(a register.Attempt) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cancelled {
		return false
	}
	r.sent = &a
	return true
}

// cancel keeps the request from being sent; sent tells that it already was.
func (r *run) cancel(cause error) (a register.Attempt, sent bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cancelled = true
	r.leaveQueue(cause)
	if r.sent == nil {
		return register.Attempt{}, false
	}
	return *r.sent, true
}
