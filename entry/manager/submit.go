package manager

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// Limits of job submission.
const (
	// maxActiveJobs bounds the unfinished jobs of all pools.
	maxActiveJobs = 20_000
	// maxHeldBytes bounds the memory of the jobs, a third of that of the smallest entry of the
	// deployments. It does not depend on this entry's memory, since any other may own the pools next and
	// has to load all jobs.
	maxHeldBytes = 64 << 20
	// refusedRetryDelay is when a caller may retry a job that was not stored: by then
	// a store with a short outage is back, or a new owner has taken over.
	refusedRetryDelay = time.Second
	// limitRetryDelay is when a caller may retry a job that the limit of its organisation
	// never admits; only a new configuration can change that.
	limitRetryDelay = time.Minute
	// lostStoreRetryDelay is when an entry may call an owner again that has lost the store: its
	// lease ends after that time at the latest, and another entry takes over.
	lostStoreRetryDelay = time.Second
	// lostStoreCheckInterval is how often a submission that waits checks whether the store is
	// lost, a tenth of the time that a caller is held at most.
	lostStoreCheckInterval = 50 * time.Millisecond
)

// lostStoreReason is the reason given by an owner that has lost the store.
const lostStoreReason = "the owner has lost the store"

// Reply is the answer to a submission.
type Reply struct {
	Outcome Outcome
	// RetryAfter is when the caller may try again, and with the outcome NotOwner when the entry
	// may: zero if the owner may be another one in a moment.
	RetryAfter time.Duration
	Reason     string
}

// Submit stores a job and returns once its outcome is known, or when the context
// ends.
func (m *Manager) Submit(ctx context.Context, j job.Job, until time.Time) (r Reply) {
	if r, decided := m.admit(&j); decided {
		return r
	}
	size := schedule.MemoryBytes(&j)
	r = m.storeNew(ctx, j, until)
	m.submittedBytes.Add(-size)
	if r.Outcome == Refused || r.Outcome == NotOwner {
		m.mu.Lock()
		m.scheduler.ForgetAdmission(j.ID)
		m.mu.Unlock()
	}
	return r
}

// admit decides on a job, and reports whether the reply is final: a new job that is accepted
// has to be stored first.
func (m *Manager) admit(j *job.Job) (r Reply, decided bool) {
	confirmed := m.Term.Confirmed()
	m.mu.Lock()
	defer m.mu.Unlock()
	known, now := m.scheduler.HasJob(j.ID), time.Now()
	tooMany, later := m.scheduler.TooManySmallTasks(j)
	switch {
	case !m.loaded:
		return Reply{Outcome: NotOwner, Reason: "the jobs are being loaded"}, true
	case known && !job.MayBeSameJob(m.scheduler.JobOrganisation(j.ID), j.Organisation):
		return Reply{Outcome: Refused, RetryAfter: refusedRetryDelay, Reason: errOtherOrganisation.Error()}, true
	case known:
		return Reply{Outcome: Accepted}, true
	case !m.scheduler.CanEverStart(j):
		meter.Count("refusals.gang")
		return Reply{Outcome: Refused, RetryAfter: limitRetryDelay, Reason: "the limit of the organisation admits no gang of this size"}, true
	case tooMany && !later:
		meter.Count("refusals.smallTasks")
		return Reply{Outcome: Refused, RetryAfter: limitRetryDelay, Reason: "more small tasks that have to run at once than an endpoint holds"}, true
	case !confirmed:
		// Another entry may own the pools by now. A write that gets no answer would
		// leave the job unsettled, so none is attempted.
		return Reply{Outcome: NotOwner, Reason: "the ownership cannot be confirmed"}, true
	case m.storeLost():
		meter.Count("refusals.ownerLostStore")
		return Reply{Outcome: NotOwner, RetryAfter: lostStoreRetryDelay, Reason: lostStoreReason}, true
	case m.scheduler.CountActiveJobs() >= maxActiveJobs:
		meter.Count("refusals.count")
		excess := m.scheduler.CountActiveJobs() - maxActiveJobs
		return Reply{Outcome: Refused, RetryAfter: m.scheduler.RetryWhenFull(j.ID, excess, m.pace.Limit(now), now), Reason: "too many jobs"}, true
	case tooMany:
		meter.Count("refusals.smallTasks")
		return Reply{Outcome: Refused, RetryAfter: m.scheduler.RetryWithoutMemory(j.ID, now), Reason: "too many small long-running tasks"}, true
	case m.scheduler.HeldBytes()+m.submittedBytes.Load()+schedule.MemoryBytes(j) > maxHeldBytes:
		meter.Count("refusals.memory")
		return Reply{Outcome: Refused, RetryAfter: m.scheduler.RetryWithoutMemory(j.ID, now), Reason: "the jobs take too much memory"}, true
	}
	if m.Settings.RefuseLate {
		if refusal, accepted := m.scheduler.Admit(j, m.pace.Limit(now), now); !accepted {
			meter.Count("refusals." + string(refusal.Reason))
			return Reply{Outcome: Refused, RetryAfter: refusal.RetryAfter, Reason: refusalText(refusal, now)}, true
		}
	} else {
		j.Surplus = !m.scheduler.TakeRate(j.Organisation, now)
	}
	m.scheduler.Confine(j)
	m.submittedBytes.Add(schedule.MemoryBytes(j))
	return Reply{}, false
}

// refusalText names what the job would wait for, the estimate and the limit.
func refusalText(r schedule.Refusal, now time.Time) string {
	return fmt.Sprintf("%s: would end in %.1f s, limit %.1f s", r.Reason, r.EndsAt.Sub(now).Seconds(), r.Limit.Sub(now).Seconds())
}

// storeNew stores an accepted job and returns once its outcome is known, or when the context
// ends.
func (m *Manager) storeNew(ctx context.Context, j job.Job, until time.Time) (r Reply) {
	c, err := m.recordWriter.create(job.Record{Job: j, State: job.Queued}, until)
	switch {
	case errors.Is(err, errEnded):
		return Reply{Outcome: NotOwner, Reason: err.Error()}
	case err != nil:
		return Reply{Outcome: Refused, RetryAfter: refusedRetryDelay, Reason: err.Error()}
	}
	check := time.NewTicker(lostStoreCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-c.done:
			return c.reply()
		case <-ctx.Done():
			return Reply{Outcome: m.recordWriter.withdraw(c, j.ID), RetryAfter: refusedRetryDelay, Reason: "the caller's deadline"}
		case <-m.over:
			return m.overReply(c)
		case <-check.C:
			if m.storeLost() {
				return m.lostStoreReply(c, j.ID)
			}
		}
	}
}

// reply returns the reply to a submission whose outcome is known.
func (c *creation) reply() (r Reply) {
	if c.tombstone {
		return TombstoneReply()
	}
	return Reply{Outcome: c.outcome, RetryAfter: refusedRetryDelay, Reason: "the store does not take the job"}
}

// lostStoreReply returns the reply to a submission that waits while the store is lost. An entry
// that reaches the store can store the job itself, also if a transaction of this owner may do so:
// both add the same record, and only if there is none.
func (m *Manager) lostStoreReply(c *creation, id string) (r Reply) {
	r = Reply{Outcome: m.recordWriter.withdraw(c, id), RetryAfter: lostStoreRetryDelay, Reason: lostStoreReason}
	if r.Outcome == Refused {
		meter.Count("refusals.ownerLostStore")
		r.Outcome = NotOwner
	}
	return r
}

func (m *Manager) storeLost() bool {
	return m.Term.StoreLost != nil && m.Term.StoreLost()
}

// overReply returns the reply to a submission after the end of the term, by which the record
// writer has settled its creations.
func (m *Manager) overReply(c *creation) (r Reply) {
	select {
	case <-c.done:
		return Reply{Outcome: c.outcome, RetryAfter: refusedRetryDelay, Reason: "the term has ended"}
	default:
		return Reply{Outcome: Unsettled, Reason: "the term has ended"}
	}
}

// State returns the stored state of a job; owner is false until the jobs are loaded.
func (m *Manager) State(id string, caller job.Caller) (state job.State, known, owner bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return "", false, false
	}
	if !caller.MaySee(m.scheduler.JobOrganisation(id)) {
		return "", false, true
	}
	state, known = m.scheduler.JobState(id)
	return state, known, true
}

// Pending returns the number of jobs of a queue that have not started, with those of the
// marked ones that are stored and not adopted yet; owner is false until the jobs are loaded.
func (m *Manager) Pending(queue string, marked []string) (count int, owner bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count = m.scheduler.PendingJobs(queue)
	for _, id := range marked {
		if !m.scheduler.HasJob(id) {
			count++
		}
	}
	return count, m.loaded
}

// HasJob reports whether the owner knows the job.
func (m *Manager) HasJob(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.scheduler.HasJob(id)
}

// Cancel cancels a job and returns its stored state once the cancellation is stored
// or the context ends; owner is false until the jobs are loaded, and if the term ends.
func (m *Manager) Cancel(ctx context.Context, id string, caller job.Caller) (state job.State, known, owner bool) {
	m.mu.Lock()
	if !m.loaded {
		m.mu.Unlock()
		return "", false, false
	}
	if !caller.MaySee(m.scheduler.JobOrganisation(id)) {
		m.mu.Unlock()
		return "", false, true
	}
	known = m.scheduler.CancelJob(id, time.Now())
	state, _ = m.scheduler.JobState(id)
	if !known {
		m.mu.Unlock()
		return m.cancelNewJob(ctx, id, caller)
	}
	if state.Terminal() {
		m.mu.Unlock()
		return state, known, true
	}
	stored := make(chan struct{})
	m.waiters[id] = append(m.waiters[id], stored)
	m.mu.Unlock()
	m.trigger()
	m.recordWriter.trigger()
	select {
	case <-stored:
		event.JobCancelled.Log(log.Fields{"job": id, "term": m.Term.Number})
	case <-ctx.Done():
	case <-m.over:
		return "", false, false
	}
	state, known, owner = m.State(id, caller)
	return state, known, owner
}

// cancelNewJob cancels a job whose creation is pending, as Cancel does. That there is none does not show
// that no job will be stored: a creation without an answer, or one of another entry, still may be.
func (m *Manager) cancelNewJob(ctx context.Context, id string, caller job.Caller) (state job.State, known, owner bool) {
	c, pending := m.recordWriter.cancelCreation(id, caller)
	if !pending {
		return "", false, true
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return job.Queued, true, true
	case <-m.over:
		return "", false, false
	}
	if c.outcome != Accepted {
		return "", false, c.outcome == Refused
	}
	return m.Cancel(ctx, id, caller)
}

// Loaded reports whether the jobs of the previous owner are loaded.
func (m *Manager) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}
