package manager

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// holder looks at one endpoint again and again, and so renews the lease of what
// runs there.
type holder struct {
	manager *Manager
	id      string
	ended   chan error

	mu sync.Mutex
	// clock is the endpoint's clock, in milliseconds, at clockAt or a little
	// before.
	clock   int64
	clockAt time.Time
}

// startHolders begins to look at endpoints that became known.
func (m *Manager) startHolders(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holdersDue {
		return
	}
	m.holdersDue = false
	for _, s := range m.scheduler.Endpoints() {
		if m.holders[s.ID] == nil {
			h := &holder{manager: m, id: s.ID, ended: make(chan error, 1)}
			m.holders[s.ID] = h
			go func() {
				h.run(ctx)
				h.ended <- nil
			}()
		}
	}
}

func (h *holder) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		sight, known := h.manager.sight(h.id)
		if !known {
			h.manager.forgetHolder(h)
			return
		}
		ended, err := h.look(ctx, sight)
		switch {
		case err == nil:
			failures = 0
			if ended {
				retry.Pause(ctx, h.manager.gather())
			}
		case ctx.Err() != nil:
		default:
			h.fail(err, failures)
			failures++
			retry.Pause(ctx, min(firstLookRetry<<min(failures-1, 6), longestLookRetry))
		}
	}
}

// Delays between looks at an endpoint that does not answer. Each look is priced,
// and an endpoint that crashed is back within seconds.
const (
	firstLookRetry   = 50 * time.Millisecond
	longestLookRetry = 800 * time.Millisecond
	// unconfirmedDelay separates looks while the ownership is not confirmed.
	unconfirmedDelay = 200 * time.Millisecond
)

// look asks the endpoint once, and tells whether the next look should wait a
// little, as this one was answered at once.
func (h *holder) look(ctx context.Context, sight schedule.Sight) (ended bool, err error) {
	m := h.manager
	if !m.Term.Confirmed() {
		retry.Pause(ctx, unconfirmedDelay)
		return false, nil
	}
	call := HoldCall{Fence: m.Term.Number, Acknowledge: sight.Acknowledge}
	timeout := lookTimeout
	if sight.Seen && !sight.Silent {
		switch {
		case sight.Unsettled:
		case sight.Warming:
			call.Wait = warmingWait
		default:
			call.Wait = holdWait
		}
		timeout = call.Wait + holdTimeout
		if m.mayExtend(sight) {
			call.Until = h.deadline(m.scheduler.Settings.Lease)
			m.leased(h.id)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	defer meter.RecordSince("look", sent)
	look, err := m.Endpoints.Hold(ctx, Target{ID: sight.ID, Address: sight.Address}, call)
	if err != nil {
		return false, err
	}
	look.Sent, look.Arrived = sent, time.Now()
	h.mu.Lock()
	h.clock, h.clockAt = look.Clock, look.Arrived
	h.mu.Unlock()
	if sight.Silent || !sight.Seen {
		event.EndpointBack.Log(log.Fields{
			"endpoint": h.id, "pool": sight.Pool, "running": len(look.Running), "ended": len(look.Ended), "fence": m.Term.Number,
		})
	}
	m.report(h.id, look.Report)
	return len(look.Ended) > 0 || sight.Unsettled, nil
}

// deadline returns the time on the endpoint's clock after a duration from now.
func (h *holder) deadline(d time.Duration) (millis int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock + time.Since(h.clockAt).Milliseconds() + d.Milliseconds()
}

// fail records an unanswered look.
func (h *holder) fail(err error, failures int) {
	m := h.manager
	if failures == 0 {
		event.EndpointUnreachable.Log(log.Fields{"endpoint": h.id, "error": err.Error()})
	}
	switch {
	case errors.Is(err, ErrFenced):
		event.OrderFenced.Log(log.Fields{"endpoint": h.id, "term": m.Term.Number})
		m.lose()
	case errors.Is(err, ErrOtherEndpoint):
		m.gone(h.id)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.Unanswered(h.id, time.Now())
}

// gather returns how long ends are gathered before the next look.
func (m *Manager) gather() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return gatherEnds * time.Duration(1+len(m.holders)/gatherEndpoints)
}

func (m *Manager) sight(id string) (s schedule.Sight, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.scheduler.Endpoint(id)
}

// mayExtend tells whether leases on the endpoint are still renewed: while it is
// listed, and shortly after, as entries lapse with the store.
func (m *Manager) mayExtend(s schedule.Sight) bool {
	if s.Listed {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	since, known := m.unlisted[s.ID]
	return known && time.Since(since) < unlistedGrace
}

func (m *Manager) leased(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.Leased(id, time.Now())
}

func (m *Manager) report(id string, r schedule.Report) {
	m.mu.Lock()
	m.scheduler.Report(id, r)
	urgent := m.scheduler.Urgent()
	m.mu.Unlock()
	if len(r.Ended) > 0 {
		m.kick()
	}
	if urgent {
		m.register.kick()
	}
}

func (m *Manager) gone(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.Gone(id, time.Now())
}

func (m *Manager) forgetHolder(h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holders[h.id] == h {
		delete(m.holders, h.id)
		delete(m.unlisted, h.id)
	}
}
