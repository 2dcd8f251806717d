package manager

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/event"
)

// Bounds of acceptance.
const (
	// mostActive bounds the jobs of all pools that have not ended. A job of 16 tasks
	// takes 5 KB (BenchmarkJobMemory), so that 20,000 take 100 MB, about half of the
	// smallest entry of the deployments.
	mostActive = 20_000
	// refusedRetry is when a caller may come back after its job was not stored: the
	// time in which a store that is away for a moment, or a new owner, is back.
	refusedRetry = time.Second
)

// Reply is the answer to a submission.
type Reply struct {
	Outcome    Outcome
	RetryAfter time.Duration
	Reason     string
}

// Submit stores a job and returns once its outcome is known, or the deadline
// passes.
func (m *Manager) Submit(ctx context.Context, j job.Job, until time.Time) (r Reply) {
	m.mu.Lock()
	loaded, known, active := m.loaded, m.scheduler.Known(j.ID), m.scheduler.Active()
	m.mu.Unlock()
	switch {
	case !loaded:
		return Reply{Outcome: NotOwner, Reason: "the jobs are being loaded"}
	case known:
		return Reply{Outcome: Accepted}
	case !m.Term.Confirmed():
		// Another entry may own the pools by now, and no write is tried that would leave
		// the job open.
		return Reply{Outcome: NotOwner, Reason: "the ownership cannot be confirmed"}
	case active >= mostActive:
		return Reply{Outcome: Refused, RetryAfter: refusedRetry, Reason: "too many jobs"}
	}
	c, err := m.register.create(job.Record{Job: j, State: job.Queued}, until)
	if err != nil {
		return Reply{Outcome: Refused, Reason: err.Error()}
	}
	select {
	case <-c.done:
		return Reply{Outcome: c.outcome, RetryAfter: refusedRetry, Reason: "the store does not take the job"}
	case <-ctx.Done():
		return Reply{Outcome: Unsettled, Reason: "the caller's deadline"}
	}
}

// State returns the stored state of a job; owner is false while the jobs are not
// loaded.
func (m *Manager) State(id string) (state job.State, known, owner bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return "", false, false
	}
	state, known = m.scheduler.State(id)
	return state, known, true
}

// Pending counts the jobs of a queue that have not begun.
func (m *Manager) Pending(queue string) (count int, owner bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.scheduler.Pending(queue), m.loaded
}

// Cancel cancels a job and returns once that is stored. The state is the stored
// one; owner is false while the jobs are not loaded.
func (m *Manager) Cancel(ctx context.Context, id string) (state job.State, known, owner bool) {
	m.mu.Lock()
	if !m.loaded {
		m.mu.Unlock()
		return "", false, false
	}
	known = m.scheduler.Cancel(id, time.Now())
	state, _ = m.scheduler.State(id)
	if !known || state.Terminal() {
		m.mu.Unlock()
		return state, known, true
	}
	stored := make(chan struct{})
	m.waiters[id] = append(m.waiters[id], stored)
	m.mu.Unlock()
	m.kick()
	m.register.kick()
	select {
	case <-stored:
		event.JobCancelled.Log(log.Fields{"job": id, "term": m.Term.Number})
	case <-ctx.Done():
	}
	state, known, owner = m.State(id)
	return state, known, owner
}

// Loaded tells whether the jobs of the earlier owner are loaded.
func (m *Manager) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}
