package request

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/endpoint"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/register"
)

const (
	// dispatcherCheckInterval is how often a waiting request checks that the
	// entry at which it is queued is still the dispatcher. It adds to the time
	// until a change of the live entries is observed.
	dispatcherCheckInterval = 500 * time.Millisecond
	// dispatcherCacheTTL is how long the dispatcher of a pool is cached for all
	// requests.
	dispatcherCacheTTL = 100 * time.Millisecond
	// dispatcherRetryDelay is the delay before an unreachable dispatcher is
	// called again.
	dispatcherRetryDelay = 100 * time.Millisecond
	// peerCallTimeout bounds calls to another entry that it answers without
	// waiting.
	peerCallTimeout = time.Second
)

// Results of a grant that are reported to its dispatcher.
const (
	releaseDone    = "done"
	releaseFailed  = "failed"
	releaseRefused = "refused"
	releaseUnused  = "unused"
	releaseUnknown = "unknown"
)

var errDispatcherChanged = errors.New("home: the pool has another dispatcher")

// grant is the permission to run one task on an endpoint, with the result that
// is reported when it is released.
type grant struct {
	id         string
	pool       string
	endpoint   string
	address    string
	leaseUntil time.Time
	// fence is the fencing token of the endpoint at the time of the grant; 0 if
	// unknown.
	fence int64
	// dispatcher is the entry that issued the grant and to which it is
	// released.
	dispatcher    membership.Entry
	taskID        string
	releaseResult string
	runTime       time.Duration
}

// requestGrant waits for a grant from the current dispatcher of the pool. The
// text of the error is the reason why there is none.
func (h *Service) requestGrant(queueCtx context.Context, r *openRequest, attempt int) (g *grant, err error) {
	queueCtx, cancel := context.WithDeadlineCause(queueCtx, r.deadline, errors.New(register.ReasonDeadline))
	defer cancel()
	id := fmt.Sprintf("%s~%d", r.key, attempt)
	redirect := ""
	for {
		dispatcher := h.dispatcherOf(r.request.GetPool())
		if redirect != "" {
			dispatcher = membership.Entry{Name: redirect}
		}
		reply, err := h.callDispatcher(queueCtx, r, id, dispatcher)
		if err == nil && reply.GetGranted() {
			return h.acceptGrant(r, id, dispatcher, reply), nil
		}
		if queueCtx.Err() != nil {
			// The dispatcher may have issued a grant at the same time.
			r.unreleased = &grant{id: id, pool: r.request.GetPool(), dispatcher: dispatcher, releaseResult: releaseUnused}
			return nil, context.Cause(queueCtx)
		}
		redirected := redirect != ""
		redirect = ""
		switch {
		case err != nil:
		case reply.GetOwner() == "":
			return nil, errors.New("no grant: " + reply.GetReason())
		case !redirected && reply.GetOwner() != dispatcher.Name:
			redirect = reply.GetOwner()
			continue
		}
		if err := sleep(queueCtx, dispatcherRetryDelay); err != nil {
			return nil, err
		}
	}
}

func (h *Service) acceptGrant(r *openRequest, id string, dispatcher membership.Entry, reply *peerrpc.GrantReply) (g *grant) {
	until := timeFromMillis(reply.GetUntilUnixMillis())
	if r.deadline.Before(until) {
		until = r.deadline
	}
	g = &grant{
		id: id, pool: r.request.GetPool(), endpoint: reply.GetEndpoint(), address: reply.GetAddress(),
		leaseUntil: until, fence: reply.GetFence(), dispatcher: dispatcher, releaseResult: releaseUnused,
	}
	r.unreleased = g
	h.adjustHeldGrants(g.endpoint, 1)
	return g
}

// Holds returns how many grants for the instance are held by this entry, from
// their receipt until no more task can be sent under them.
func (h *Service) Holds(instance string) (grants int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.heldGrants[instance]
}

func (h *Service) adjustHeldGrants(instance string, change int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.heldGrants == nil {
		h.heldGrants = make(map[string]int)
	}
	h.heldGrants[instance] += change
	if h.heldGrants[instance] == 0 {
		delete(h.heldGrants, instance)
	}
}

// callDispatcher sends a grant request to one entry and waits for the reply
// while that entry remains the dispatcher.
func (h *Service) callDispatcher(queueCtx context.Context, r *openRequest, id string, dispatcher membership.Entry) (reply *peerrpc.GrantReply, err error) {
	peer, err := h.Peers.Dial(dispatcher.Name, dispatcher.Incarnation)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(queueCtx)
	defer cancel(nil)
	self := h.Peers.Self()
	q := &peerrpc.GrantRequest{
		Id: id, Home: self.Name, Incarnation: self.Incarnation, Version: self.Version,
		Pool: r.request.GetPool(), Member: r.request.GetMember(), Urgency: r.request.GetUrgency(),
		Slots: r.request.GetSlots(), RunMillis: r.request.GetRunMillis(),
		DeadlineUnixMillis: r.request.GetDeadlineUnixMillis(), Avoid: r.avoid,
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		reply, err = peer.Grant(ctx, q)
	}()
	ticker := time.NewTicker(dispatcherCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-answered:
			return reply, err
		case <-ticker.C:
			if !h.isStillDispatcher(q.GetPool(), dispatcher) {
				cancel(errDispatcherChanged)
			}
		}
	}
}

// isStillDispatcher reports whether the entry is still the dispatcher of the
// pool. An entry that is known only from the redirect of another entry has no
// incarnation; for it, being live is enough.
func (h *Service) isStillDispatcher(pool string, dispatcher membership.Entry) bool {
	if dispatcher.Incarnation == 0 {
		_, err := h.Peers.Dial(dispatcher.Name, 0)
		return err == nil
	}
	current := h.dispatcherOf(pool)
	return current.Name == dispatcher.Name && current.Incarnation == dispatcher.Incarnation
}

// releaseGrant reports the result of the unreleased grant to its dispatcher, at
// most once.
func (h *Service) releaseGrant(ctx context.Context, r *openRequest) {
	g := r.unreleased
	if g == nil {
		return
	}
	r.unreleased = nil
	if g.endpoint != "" {
		h.adjustHeldGrants(g.endpoint, -1)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	peer, err := h.Peers.Dial(g.dispatcher.Name, g.dispatcher.Incarnation)
	if err == nil {
		_, err = peer.Release(ctx, &peerrpc.ReleaseRequest{
			Id: g.id, Pool: g.pool, Endpoint: g.endpoint, Result: g.releaseResult, RunMillis: g.runTime.Milliseconds(),
		})
	}
	if err != nil {
		event.ReleaseFailed.Log(log.Fields{"id": g.id, "error": err.Error()})
	}
}

func releaseResultOf(r endpoint.Result) string {
	if r.Unreachable {
		return releaseFailed
	}
	switch r.Kind {
	case endpoint.Done:
		return releaseDone
	case endpoint.Failed:
		return releaseFailed
	case endpoint.NotStarted:
		return releaseRefused
	case endpoint.Uncertain, endpoint.Running:
	}
	return releaseUnknown
}

// dispatcherCache holds the dispatcher of each pool for all waiting requests.
type dispatcherCache struct {
	byPool map[string]membership.Entry
	readAt time.Time
}

func (h *Service) dispatcherOf(pool string) membership.Entry {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	if h.dispatchers.byPool == nil || now.Sub(h.dispatchers.readAt) > dispatcherCacheTTL {
		h.dispatchers = dispatcherCache{byPool: make(map[string]membership.Entry), readAt: now}
	}
	dispatcher, known := h.dispatchers.byPool[pool]
	if !known {
		dispatcher = h.Peers.Owner("pool/" + pool)
		h.dispatchers.byPool[pool] = dispatcher
	}
	return dispatcher
}

func sleep(ctx context.Context, d time.Duration) (err error) {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
