package schedule

import "time"

// servingPercent is the progress that endpoints report for a long-running task that
// serves.
const servingPercent = 100

// stopMargin is added to StopTimeout for the delay until the end of a run is reported.
const stopMargin = 100 * time.Millisecond

// evacuateReserved stops long-running tasks on endpoints that are reserved or
// draining, once there is capacity for them elsewhere. On reserved endpoints, it
// keeps to the number of tasks of a step that may be out of service at once.
func (s *Scheduler) evacuateReserved(now time.Time) {
	serving := make(stepsServing)
	for pool := range s.activeJobs {
		for _, e := range s.poolEndpoints(pool) {
			e.longRunningReserve = Capacity{}
		}
		for _, e := range s.poolEndpoints(pool) {
			if e.contacted && !e.unresponsive() && (e.reserved() || e.Draining) {
				s.evacuateEndpoint(e, serving, now)
			}
		}
	}
}

// stepsServing holds how many tasks of long-running steps are certain to be serving.
type stepsServing map[*stepState]int

// of returns the number for a step.
func (v stepsServing) of(s *Scheduler, st *stepState, now time.Time) (count int) {
	count, known := v[st]
	if !known {
		for _, t := range st.tasks.items {
			if s.isServing(t, now) {
				count++
			}
		}
		v[st] = count
	}
	return count
}

func (s *Scheduler) evacuateEndpoint(e *endpoint, serving stepsServing, now time.Time) {
	candidates := s.usableEndpoints(e.Pool, now)
	for _, r := range sortedRunsWhere(e, func(r *run) bool { return r.task.step.LongRunning && !r.stopRequested && r.state == confirmed }) {
		st := r.task.stepState()
		if s.chooseEndpoint(st, r.task, candidates, nil) == nil {
			reserveForLongRunning(st, r.task, candidates)
			continue
		}
		// The other tasks of the step that are not certain to be serving.
		unavailable := st.step.Count - serving.of(s, st, now)
		serves := s.isServing(r.task, now)
		if !serves {
			unavailable--
		}
		if e.Draining || unavailable < max(st.step.MaxUnavailable, 1) {
			s.requestStop(r)
			if serves && !s.isServing(r.task, now) {
				serving[st]--
			}
			r.evacuated = true
			s.reportEvacuation(r, unavailable)
		}
	}
}

// Evacuation describes a long-running task that is stopped so that it starts elsewhere; it is
// meant for logs.
type Evacuation struct {
	Job, Task, Endpoint string
	Run                 int
	// Draining is set if the endpoint leaves, and not reserved for maintenance or a move.
	Draining bool
	// Unavailable counts the other tasks of the step that are not certain to be serving, and
	// MaxUnavailable is how many tasks may be.
	Unavailable, MaxUnavailable int
	// OldestReport is the time of the oldest report by which another task counts as serving.
	OldestReport time.Time
}

func (s *Scheduler) reportEvacuation(r *run, unavailable int) {
	if s.OnEvacuation == nil {
		return
	}
	st := r.task.stepState()
	v := Evacuation{
		Job: r.task.job.ID, Task: r.task.name, Endpoint: r.endpoint.ID, Run: r.number, Draining: r.endpoint.Draining,
		Unavailable: unavailable, MaxUnavailable: max(st.step.MaxUnavailable, 1),
	}
	for _, t := range st.tasks.items {
		for _, o := range t.runs {
			if at := o.endpoint.reportedAt; t != r.task && (v.OldestReport.IsZero() || at.Before(v.OldestReport)) {
				v.OldestReport = at
			}
		}
	}
	s.OnEvacuation(v)
}

// reserveForLongRunning reserves the capacity that a long-running task needs on an
// endpoint, until enough of the other tasks there have ended. In a burst, short
// tasks would otherwise take all capacity that becomes free.
func reserveForLongRunning(st *stepState, t *task, candidates []*endpoint) (found bool) {
	need := taskSize(st.step)
	var best *endpoint
	for _, e := range candidates {
		if !e.permits(st, t, 0) || !e.Capacity.Minus(e.longRunningUsage()).Minus(e.longRunningReserve).CanFit(need) {
			continue
		}
		if best == nil || e.free().Minus(e.longRunningReserve).CPU > best.free().Minus(best.longRunningReserve).CPU {
			best = e
		}
	}
	if best != nil {
		best.longRunningReserve = best.longRunningReserve.Plus(need)
	}
	return best != nil
}

// stepState returns the step of the task.
func (t *task) stepState() *stepState {
	return t.of
}

// stopTime returns the longest local time until the end of a run is reported that is ordered to
// stop.
func (s *Scheduler) stopTime() time.Duration {
	return s.localDuration(s.Settings.StopTimeout) + stopMargin
}

// awaitsListing reports whether an earlier owner may have stopped a run that this one adopted,
// since no poll that was sent after stopTime lists it.
func (s *Scheduler) awaitsListing(r *run) bool {
	return !r.adoptedAt.IsZero() && r.listedAt.Sub(r.adoptedAt) <= s.stopTime()
}

// listingDue returns from when on a poll shows that an adopted long-running task on the endpoint
// goes on; zero if none awaits that.
func (s *Scheduler) listingDue(e *endpoint) (at time.Time) {
	for _, r := range e.runs {
		if !r.task.step.LongRunning || !s.awaitsListing(r) {
			continue
		}
		if due := r.adoptedAt.Add(s.stopTime()); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	return at
}

// countUnavailable returns how many tasks of a step, other than except, are not
// certain to be serving.
func (s *Scheduler) countUnavailable(st *stepState, except *task, now time.Time) (count int) {
	count = st.step.Count - len(st.tasks.items)
	for _, t := range st.tasks.items {
		if t != except && !s.isServing(t, now) {
			count++
		}
	}
	return count
}

// isServing reports whether a long-running task serves, has no stop pending, and goes on until
// a stop that is ordered now has ended another one. A run that this owner adopted counts once a
// poll lists it that was sent after StopTimeout, because an earlier owner may have ordered its
// stop.
func (s *Scheduler) isServing(t *task, now time.Time) bool {
	for _, r := range t.runs {
		if s.awaitsListing(r) || !now.Add(s.stopTime()).Before(r.endpoint.grantedUntil) {
			continue
		}
		if r.state == confirmed && !r.stopRequested && r.progressPercent >= servingPercent && !r.endpoint.unresponsive() {
			return true
		}
	}
	return false
}
