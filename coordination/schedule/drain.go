package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/admission"
	"github.com/azurepoint/azurepoint/coordination/input"
)

// RetryWhenFull returns when a job may return that is refused because there are too many jobs,
// by how many. Starts is the number of starts a second that the owner can send, or 0 if that is
// not the limit.
func (s *Scheduler) RetryWhenFull(id string, excess int, starts float64, now time.Time) time.Duration {
	s.init()
	a := &s.admissions
	s.updateBacklogs(starts, now)
	if a.drainedAt != a.validUntil {
		a.drain, a.drainedAt = s.drainOfJobs(now), a.validUntil
	}
	return a.returns.RetryWhenFull(id, excess, a.drain, now)
}

// drainOfJobs returns how fast the jobs end.
func (s *Scheduler) drainOfJobs(now time.Time) (d admission.Drain) {
	d = admission.NewDrain(now)
	for _, pool := range sortedKeys(s.activeJobs) {
		for _, t := range s.turns(pool, now) {
			d.Add(t.endsAt)
		}
	}
	return d
}

// turn is when a job is expected to start and to end.
type turn struct {
	job              *jobState
	startsAt, endsAt time.Time
}

// turns returns the turns of the jobs of a pool in the order in which they go, by the backlogs
// that are valid now. Long-running jobs have none, nor have those of a pool without endpoints.
func (s *Scheduler) turns(pool string, now time.Time) (turns []turn) {
	b := s.admissions.backlogs[pool]
	if b == nil {
		return nil
	}
	jobs := slices.DeleteFunc(slices.Clone(s.activeJobs[pool]), (*jobState).longRunning)
	slices.SortFunc(jobs, func(a, b *jobState) int {
		return cmp.Or(a.backlogRank().Compare(b.backlogRank()), a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.ID, b.ID))
	})
	ahead := admission.Amount{}
	for _, j := range jobs {
		work := s.workLeft(j, now)
		due, run := s.remainingRun(j, now)
		t := turn{job: j}
		t.startsAt, t.endsAt = b.Turn(ahead, work, run, now)
		t.startsAt, t.endsAt = latest(t.startsAt, due), latest(t.endsAt, due.Add(run))
		turns = append(turns, t)
		ahead = ahead.Plus(work)
	}
	return turns
}

// backlogRank returns the rank of the job in the backlog of its pool.
func (j *jobState) backlogRank() admission.Rank {
	return admission.Rank{Class: j.lateness, Priority: j.Priority, OverShare: j.overShare, RemainingWork: j.remainingWork}
}

// remainingRun returns how long the last repetition of a job is expected to take if its tasks
// never wait, and when it is due.
func (s *Scheduler) remainingRun(j *jobState, now time.Time) (due time.Time, run time.Duration) {
	due = now
	last := j.occurrences.total - 1
	if last < 0 {
		return due, 0
	}
	if at := j.dueAt(last); at > 0 {
		due = latest(due, time.UnixMilli(at))
	}
	left := 0.0
	o, used := j.occurrences.find(last)
	switch {
	case !used && j.occurrences.isClosed(last):
		return due, 0
	case !used:
		for i := range j.Steps {
			left += s.expected(j, i)
		}
		return due, input.Milliseconds(left)
	}
	for _, st := range o.steps {
		if !st.complete() {
			left += s.remainingOfStep(j, st, s.expected(j, st.index), now)
		}
	}
	return due, input.Milliseconds(left)
}

// runningPart returns the part of their work that the running tasks of a step have left.
func (s *Scheduler) runningPart(j *jobState, st *stepState, now time.Time) (part float64) {
	if s.Settings.MeanDurations {
		return meanRunningPart
	}
	elapsed, runs := time.Duration(0), 0
	for _, t := range st.tasks.items {
		for _, r := range t.runs {
			elapsed += now.Sub(r.startedAt)
			runs++
		}
	}
	if runs == 0 {
		return meanRunningPart
	}
	return millis(s.distribution(j, st.index).Remaining(elapsed/time.Duration(runs))) / s.expected(j, st.index)
}
