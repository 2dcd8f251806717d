package home

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
	// ownerPoll is how often a waiting request checks that the entry that it
	// waits at is still the dispatcher; it adds to the time that the view of
	// live entries takes to change.
	ownerPoll = 500 * time.Millisecond
	// ownerFresh is how long the answer to that check is shared by all requests.
	ownerFresh = 100 * time.Millisecond
	// dispatcherPause is the wait before an unreachable dispatcher is asked again.
	dispatcherPause = 100 * time.Millisecond
	// messageTimeout bounds a message that needs no waiting at its receiver.
	messageTimeout = time.Second
)

// Results of a grant, as the dispatcher is told.
const (
	releaseDone    = "done"
	releaseFailed  = "failed"
	releaseRefused = "refused"
	releaseUnused  = "unused"
	releaseUnknown = "unknown"
)

var errOwnerChanged = errors.New("home: the pool has another dispatcher")

// grant is a permission to run one task, and what became of it.
type grant struct {
	id       string
	pool     string
	endpoint string
	address  string
	until    time.Time
	// fence is the endpoint's at the time of the grant; 0 if unknown.
	fence int64
	// dispatcher is the entry that gave the grant and gets it back.
	dispatcher membership.Entry
	task       string
	result     string
	ran        time.Duration
}

// grant waits for a grant from whichever entry is the pool's dispatcher; the
// error is the reason why there is none.
func (h *Home) grant(queue context.Context, r *run, n int) (g *grant, err error) {
	queue, cancel := context.WithDeadlineCause(queue, r.deadline, errors.New(register.ReasonDeadline))
	defer cancel()
	id := fmt.Sprintf("%s~%d", r.key, n)
	hint := ""
	for {
		owner := h.owner(r.request.GetPool())
		if hint != "" {
			owner = membership.Entry{Name: hint}
		}
		reply, err := h.ask(queue, r, id, owner)
		if err == nil && reply.GetGranted() {
			return h.accept(r, id, owner, reply), nil
		}
		if queue.Err() != nil {
			// The dispatcher may have granted at the same moment.
			r.last = &grant{id: id, pool: r.request.GetPool(), dispatcher: owner, result: releaseUnused}
			return nil, context.Cause(queue)
		}
		redirected := hint != ""
		hint = ""
		switch {
		case err != nil:
		case reply.GetOwner() == "":
			return nil, errors.New("no grant: " + reply.GetReason())
		case !redirected && reply.GetOwner() != owner.Name:
			hint = reply.GetOwner()
			continue
		}
		if err := pause(queue, dispatcherPause); err != nil {
			return nil, err
		}
	}
}

func (h *Home) accept(r *run, id string, owner membership.Entry, reply *peerrpc.GrantReply) (g *grant) {
	until := timeOf(reply.GetUntilUnixMillis())
	if r.deadline.Before(until) {
		until = r.deadline
	}
	g = &grant{
		id: id, pool: r.request.GetPool(), endpoint: reply.GetEndpoint(), address: reply.GetAddress(),
		until: until, fence: reply.GetFence(), dispatcher: owner, result: releaseUnused,
	}
	r.last = g
	h.hold(g.endpoint, 1)
	return g
}

// Holds returns how many grants for the instance are held here, from their
// arrival until no task can be sent under them any more.
func (h *Home) Holds(instance string) (grants int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.held[instance]
}

func (h *Home) hold(instance string, change int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.held == nil {
		h.held = make(map[string]int)
	}
	h.held[instance] += change
	if h.held[instance] == 0 {
		delete(h.held, instance)
	}
}

// ask waits for the answer of one dispatcher, as long as it is the dispatcher.
func (h *Home) ask(queue context.Context, r *run, id string, owner membership.Entry) (reply *peerrpc.GrantReply, err error) {
	peer, err := h.Peers.Dial(owner.Name, owner.Incarnation)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(queue)
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
	ticker := time.NewTicker(ownerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-answered:
			return reply, err
		case <-ticker.C:
			if !h.stillOwner(q.GetPool(), owner) {
				cancel(errOwnerChanged)
			}
		}
	}
}

// stillOwner tells whether to go on waiting at an entry; one that was only
// named by another entry has no incarnation and must be live.
func (h *Home) stillOwner(pool string, owner membership.Entry) bool {
	if owner.Incarnation == 0 {
		_, err := h.Peers.Dial(owner.Name, 0)
		return err == nil
	}
	current := h.owner(pool)
	return current.Name == owner.Name && current.Incarnation == owner.Incarnation
}

// returnGrant tells the dispatcher what became of the last grant, once.
func (h *Home) returnGrant(ctx context.Context, r *run) {
	g := r.last
	if g == nil {
		return
	}
	r.last = nil
	if g.endpoint != "" {
		h.hold(g.endpoint, -1)
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	peer, err := h.Peers.Dial(g.dispatcher.Name, g.dispatcher.Incarnation)
	if err == nil {
		_, err = peer.Release(ctx, &peerrpc.ReleaseRequest{
			Id: g.id, Pool: g.pool, Endpoint: g.endpoint, Result: g.result, RunMillis: g.ran.Milliseconds(),
		})
	}
	if err != nil {
		event.ReleaseLost.Log(log.Fields{"id": g.id, "error": err.Error()})
	}
}

func releaseOf(r endpoint.Result) string {
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
	case endpoint.Open, endpoint.Running:
	}
	return releaseUnknown
}

// ownerCache shares the dispatcher of each pool between the waiting requests.
type ownerCache struct {
	owners map[string]membership.Entry
	readAt time.Time
}

func (h *Home) owner(pool string) membership.Entry {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	if h.owners.owners == nil || now.Sub(h.owners.readAt) > ownerFresh {
		h.owners = ownerCache{owners: make(map[string]membership.Entry), readAt: now}
	}
	owner, known := h.owners.owners[pool]
	if !known {
		owner = h.Peers.Owner("pool/" + pool)
		h.owners.owners[pool] = owner
	}
	return owner
}

func pause(ctx context.Context, d time.Duration) (err error) {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
