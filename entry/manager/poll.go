package manager

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/clock"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// poller polls one endpoint in a loop, which renews the lease of the runs there and
// collects their ends.
type poller struct {
	manager *Manager
	id      string
	done    chan error

	mu    sync.Mutex
	clock clock.Bound
}

func (m *Manager) newPoller(id string) *poller {
	return &poller{manager: m, id: id, done: make(chan error, 1), clock: clock.Bound{MaxRatio: maxClockRatio}}
}

// startPollers starts a poller for each endpoint that became known.
func (m *Manager) startPollers(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.pollersDue {
		if _, known := m.scheduler.EndpointStatus(id); known && m.pollers[id] == nil {
			p := m.newPoller(id)
			m.pollers[id] = p
			go func() {
				p.run(ctx)
				p.done <- nil
			}()
		}
	}
	clear(m.pollersDue)
}

func (p *poller) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		status, known := p.manager.endpointStatus(p.id)
		if !known {
			p.manager.removePoller(p)
			return
		}
		delayNext, err := p.pollOnce(ctx, status)
		switch {
		case err == nil:
			failures = 0
			if delayNext {
				retry.Sleep(ctx, p.manager.runEndBatchDelay())
			}
		case ctx.Err() != nil:
		default:
			p.recordFailure(err, failures)
			failures++
			retry.Sleep(ctx, min(minPollRetryDelay<<min(failures-1, 6), maxPollRetryDelay))
		}
	}
}

// Delays between polls of an endpoint that does not answer. The platform charges for
// each poll, and a crashed endpoint is back within seconds.
const (
	minPollRetryDelay = 50 * time.Millisecond
	maxPollRetryDelay = 800 * time.Millisecond
	// unconfirmedPollDelay separates polls while the ownership is not confirmed.
	unconfirmedPollDelay = 200 * time.Millisecond
)

// pollOnce polls the endpoint once. delayNext is set if the endpoint answered without
// waiting, so that run ends can accumulate before the next poll.
func (p *poller) pollOnce(ctx context.Context, status schedule.EndpointStatus) (delayNext bool, err error) {
	m := p.manager
	// The lease counts from before the ownership is checked, so that it does not outlast the
	// one that a successor assumes if the process is paused in between.
	checkedAt := time.Now()
	if !m.Term.Confirmed() {
		retry.Sleep(ctx, unconfirmedPollDelay)
		return false, nil
	}
	// An endpoint that did not answer may have restarted and counts its ends from 1 again,
	// so that none is acknowledged until it has reported.
	call := PollCall{Fence: m.Term.Number}
	timeout := silentPollTimeout
	if status.Contacted && !status.Unresponsive {
		call.Acknowledge, call.Incarnation = status.LastStoredEnd, status.Incarnation
		call.Wait = m.waitOfPoll(status, checkedAt)
		timeout = call.Wait + pollTimeoutMargin
		if m.mayRenewLease(status) {
			if until, incarnation := p.endpointDeadline(checkedAt.Add(m.scheduler.Settings.Lease), checkedAt); incarnation == call.Incarnation {
				call.Until = until
				m.recordLease(p.id)
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	defer meter.RecordSince("look", sent)
	reply, err := m.Endpoints.Poll(ctx, Target{ID: status.ID, Address: status.Address}, call)
	if err != nil {
		return false, err
	}
	reply.SentAt, reply.ReceivedAt = sent, time.Now()
	p.observeClock(reply)
	if call.Until != 0 && reply.Incarnation == call.Incarnation {
		reply.HeldUntil = p.heldUntil(call.Until)
		// The deadline may have reached another process than the one whose clock it is on.
		if most := checkedAt.Add(m.scheduler.Settings.Lease); reply.HeldUntil.After(most) {
			reply.HeldUntil = most
		}
	}
	if status.Unresponsive || !status.Contacted {
		event.EndpointBack.Log(log.Fields{
			"endpoint": p.id, "pool": status.Pool, "running": len(reply.Running), "ended": len(reply.Ended), "fence": m.Term.Number,
		})
	}
	m.applyReport(p.id, reply.Report)
	return len(reply.Ended) > 0 || status.HasUncertainRun, nil
}

// observeClock records the endpoint's clock from its answer.
func (p *poller) observeClock(reply PollReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock.Observe(reply.Incarnation, time.Duration(reply.Clock)*time.Millisecond, reply.SentAt, reply.ReceivedAt)
}

// heldUntil returns the time until which a lease lasts at least that has a deadline on the
// endpoint's clock. An endpoint gives its clock when it answers, so that what it gave in an answer
// without delay bounds it better than the answer to a poll that has waited.
func (p *poller) heldUntil(deadline int64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Reached(time.Duration(deadline) * time.Millisecond)
}

// endpointDeadline returns a deadline on the endpoint's clock. However long ago the endpoint has
// answered, it is reached within maxClockRatio times the duration from now to the deadline. It also
// returns the process that has this clock, or 0 if it is not known.
func (p *poller) endpointDeadline(deadline, now time.Time) (millis, incarnation int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Deadline(deadline, now).Milliseconds(), p.clock.Incarnation()
}

// recordFailure handles a failed poll: it ends the term if the endpoint has a higher
// fencing token, and marks the endpoint as ended if another one has its address.
func (p *poller) recordFailure(err error, failures int) {
	m := p.manager
	if failures == 0 {
		event.EndpointUnreachable.Log(log.Fields{"endpoint": p.id, "error": err.Error()})
	}
	switch {
	case errors.Is(err, ErrFenced):
		event.OrderFenced.Log(log.Fields{"endpoint": p.id, "term": m.Term.Number})
		m.endTerm()
	case errors.Is(err, ErrOtherEndpoint):
		m.endpointEnded(p.id, schedule.LossReplaced)
	}
	m.mu.Lock()
	if errors.Is(err, ErrDisconnected) {
		m.scheduler.RecordDisconnected(p.id, time.Now())
	} else {
		m.scheduler.RecordUnanswered(p.id, time.Now())
	}
	urgent := m.scheduler.HasUrgentWrites()
	m.mu.Unlock()
	if urgent {
		m.recordWriter.trigger()
	}
}

// runEndBatchDelay returns how long run ends accumulate before the next poll; it
// grows with the number of polls, up to a limit that grows with the number of endpoints.
func (m *Manager) runEndBatchDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	steps := min(float64(len(m.pollers)/endpointsPerBatchStep), m.endPolls.perSecond(time.Now())/pollsPerBatchStep)
	return time.Duration(float64(runEndBatchStep) * (1 + steps))
}

// waitOfPoll returns how long a poll that is sent now may wait for something to report. One that is
// due ends a wait: the wave or the drain of another endpoint waits for it.
func (m *Manager) waitOfPoll(status schedule.EndpointStatus, now time.Time) (wait time.Duration) {
	switch {
	case status.HasUncertainRun:
	case status.HasWarmingTask || status.Isolated:
		wait = warmingPollWait
	case status.Runs == 0:
		wait = m.idlePollWait()
	default:
		wait = pollWait
	}
	if !status.ListingDue.IsZero() {
		// Endpoints count whole milliseconds.
		wait = min(wait, max(0, status.ListingDue.Sub(now)+time.Millisecond))
	}
	return wait
}

// idlePollWait returns how long a poll of an endpoint without runs waits.
func (m *Manager) idlePollWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(pollWait, time.Duration(len(m.pollers))*idlePollWaitPerEndpoint), maxIdlePollWait)
}

func (m *Manager) endpointStatus(id string) (s schedule.EndpointStatus, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.scheduler.EndpointStatus(id)
}

// mayRenewLease reports whether the lease of an endpoint that answers is still renewed:
// while it is listed or runs tasks, and for unlistedGrace after that, because list items
// expire during an outage of the store. An endpoint that only fails to report to the list
// continues with what it runs.
func (m *Manager) mayRenewLease(s schedule.EndpointStatus) bool {
	if s.Listed || s.Runs > 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	since, known := m.unlisted[s.ID]
	return known && time.Since(since) < unlistedGrace
}

func (m *Manager) recordLease(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.ExtendLease(id, time.Now())
}

// receivedReport is a report that has not been applied yet.
type receivedReport struct {
	endpoint string
	schedule.Report
}

// receive keeps a report until it is applied. Hundreds of reports may wait for the manager's lock.
func (m *Manager) receive(id string, r schedule.Report) {
	m.receivedMu.Lock()
	defer m.receivedMu.Unlock()
	m.received = append(m.received, receivedReport{endpoint: id, Report: r})
}

// applyReceived applies the reports that have arrived; m.mu is held. It comes before every
// decision that takes an endpoint for silent or a task for unfinished.
func (m *Manager) applyReceived() {
	m.receivedMu.Lock()
	received := m.received
	m.received = nil
	m.receivedMu.Unlock()
	for _, r := range received {
		m.scheduler.ApplyReport(r.endpoint, r.Report)
		if len(r.Ended) > 0 {
			m.endPolls.count(time.Now())
		}
	}
}

func (m *Manager) applyReport(id string, r schedule.Report) {
	m.receive(id, r)
	m.mu.Lock()
	m.applyReceived()
	urgent := m.scheduler.HasUrgentWrites()
	m.mu.Unlock()
	if len(r.Ended) > 0 {
		m.trigger()
	}
	if urgent {
		m.recordWriter.trigger()
	}
}

func (m *Manager) endpointEnded(id string, cause schedule.LossCause) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyReceived()
	m.scheduler.RecordTermination(id, cause, time.Now())
}

func (m *Manager) removePoller(p *poller) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pollers[p.id] == p {
		delete(m.pollers, p.id)
		delete(m.unlisted, p.id)
		// The endpoint may have been listed again after the poller missed it.
		m.pollersDue[p.id] = true
	}
}
