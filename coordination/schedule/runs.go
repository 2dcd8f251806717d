package schedule

import (
	"cmp"
	"slices"
	"time"
)

// sortedRuns returns the runs of an endpoint in the order of the names of their tasks.
func sortedRuns(e *endpoint) []*run {
	return sortedRunsWhere(e, func(*run) bool { return true })
}

// sortedRunsWhere returns the runs of an endpoint that match, in the order of the names of their tasks.
func sortedRunsWhere(e *endpoint, matches func(r *run) bool) (runs []*run) {
	for _, r := range e.runs {
		if matches(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.task.name, b.task.name) })
	return runs
}

// addRun adds a run that may be active to its task, its step and its endpoint.
func (s *Scheduler) addRun(r *run) {
	t, e := r.task, r.endpoint
	st := t.stepState()
	if len(t.runs) == 0 {
		st.started++
	}
	t.runs = append(t.runs, r)
	st.running++
	st.occurrence.runs++
	if st.step.AntiAffinity > 0 {
		if st.byEndpoint == nil {
			st.byEndpoint = make(map[*endpoint]int)
		}
		st.byEndpoint[e]++
	}
	s.countRun(r, 1)
	t.job.runs++
	t.job.used = t.job.used.Plus(r.size)
	e.runs[t.name] = r
	e.used = e.used.Plus(r.size)
	if t.step.LongRunning {
		e.usedLongRunning = e.usedLongRunning.Plus(r.size)
	}
	s.countStart(r)
}

// removeRun removes a run that has ended from its task, its step and its endpoint.
func (s *Scheduler) removeRun(r *run) {
	t, e := r.task, r.endpoint
	st := t.stepState()
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 {
		st.started--
	}
	st.running--
	st.occurrence.runs--
	if st.byEndpoint != nil {
		if st.byEndpoint[e]--; st.byEndpoint[e] == 0 {
			delete(st.byEndpoint, e)
		}
	}
	s.countRun(r, -1)
	t.job.runs--
	t.job.used = t.job.used.Minus(r.size)
	delete(e.runs, t.name)
	e.used = e.used.Minus(r.size)
	if t.step.LongRunning {
		e.usedLongRunning = e.usedLongRunning.Minus(r.size)
	}
	s.countEnd(r)
}

// endRun removes a run from its task and its endpoint, and calls OnRunEnd. A later run
// of the task has a higher number, so that reports on the two are told apart.
func (s *Scheduler) endRun(r *run, reason string, now time.Time) {
	delete(s.pendingStops, r)
	s.removeRun(r)
	if r.task.job.runs == 0 {
		r.task.job.idleSince = now
	}
	if len(r.task.runs) == 0 {
		r.task.notRunningSince = now
	}
	r.task.lastEnd = reason
	if s.OnRunEnd != nil {
		s.OnRunEnd(RunEnd{
			Job: r.task.job.ID, Task: r.task.name, Endpoint: r.endpoint.ID, Reason: reason, Run: r.number, Duration: now.Sub(r.startedAt),
			Inferred: !EndReason(reason).reported(),
		})
	}
	r.task.release()
	s.releaseSteps(r.task.job)
}
