package manager

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// contactEndpoints starts a poller for each stored endpoint. It polls the endpoint once while the
// jobs are being read, which raises the fence there.
func (m *Manager) contactEndpoints(ctx context.Context, stored []schedule.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range stored {
		if m.pollers[e.ID] != nil {
			continue
		}
		p := m.newPoller(e.ID)
		m.pollers[e.ID] = p
		go func() {
			p.contact(ctx, e)
			p.run(ctx)
			p.done <- nil
		}()
	}
}

// contact polls the endpoint once and returns when the jobs are loaded. The result is applied after
// that, because a run of a job that is not known would be stopped. The poll renews no lease, so that
// what the endpoint runs does not outlast the term of an owner that ends while it loads the jobs.
func (p *poller) contact(ctx context.Context, e schedule.Endpoint) {
	m := p.manager
	err := p.pollFirst(ctx, e)
	select {
	case <-m.jobsLoaded:
	case <-ctx.Done():
		return
	}
	if err != nil && !errors.Is(err, errUnconfirmed) && ctx.Err() == nil {
		p.recordFailure(err, 0)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyReceived()
}

// pollFirst polls the endpoint and keeps its report until it is applied.
func (p *poller) pollFirst(ctx context.Context, e schedule.Endpoint) (err error) {
	m := p.manager
	if !m.Term.Confirmed() {
		return errUnconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, silentPollTimeout)
	defer cancel()
	sent := time.Now()
	defer meter.RecordSince("look", sent)
	reply, err := m.Endpoints.Poll(ctx, Target{ID: e.ID, Address: e.Address}, PollCall{Fence: m.Term.Number})
	if err != nil {
		return err
	}
	reply.SentAt, reply.ReceivedAt = sent, time.Now()
	p.observeClock(reply)
	event.EndpointBack.Log(log.Fields{
		"endpoint": p.id, "pool": e.Pool, "running": len(reply.Running), "ended": len(reply.Ended), "fence": m.Term.Number,
	})
	m.receive(p.id, reply.Report)
	return nil
}
