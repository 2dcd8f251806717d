package schedule

import "time"

// atWork is what endpoints report as the progress of a lasting task that serves.
const atWork = 100

// stopMargin is added to the time that a stop takes, for the way of its end to us.
const stopMargin = 100 * time.Millisecond

// evacuate stops lasting tasks on endpoints that leave or have their upkeep, once
// there is room for them elsewhere. Of one step, no more tasks are away at once
// than its job allows.
func (s *Scheduler) evacuate(now time.Time) {
	for pool := range s.active {
		for _, e := range s.ofPool(pool) {
			e.kept = Capacity{}
		}
		for _, e := range s.ofPool(pool) {
			if e.seen && !e.silent() && (e.reserved() || e.Draining) {
				s.evacuateEndpoint(e, now)
			}
		}
	}
}

func (s *Scheduler) evacuateEndpoint(e *endpoint, now time.Time) {
	for _, r := range sortedRuns(e) {
		if r.stopWanted || !r.task.step.LongRunning || r.state != confirmed {
			continue
		}
		st := r.task.stepState()
		candidates, _ := s.candidates(e.Pool, now)
		if s.choose(st, r.task, candidates, nil) == nil {
			keepRoom(st, r.task, candidates)
			continue
		}
		if e.Draining || s.away(st, r.task, now) < max(st.step.MayMiss, 1) {
			s.stop(r)
		}
	}
}

// keepRoom keeps other tasks out of the room that a lasting task needs on an
// endpoint, until enough of them have ended there. In a flood, short tasks would
// take every room that becomes free.
func keepRoom(st *stepState, t *task, candidates []*endpoint) (found bool) {
	need := size(st.step)
	var best *endpoint
	for _, e := range candidates {
		if !e.takes(st, t, 0) || !e.Capacity.minus(e.lasting()).minus(e.kept).holds(need) {
			continue
		}
		if best == nil || e.free().minus(e.kept).CPU > best.free().minus(best.kept).CPU {
			best = e
		}
	}
	if best != nil {
		best.kept = best.kept.plus(need)
	}
	return best != nil
}

// stepState returns the task's step.
func (t *task) stepState() *stepState {
	return t.job.occurrences[t.ref.Occurrence].steps[t.ref.Step]
}

// away counts the other tasks of a step that are not at work for certain.
func (s *Scheduler) away(st *stepState, except *task, now time.Time) (count int) {
	for _, t := range st.tasks {
		if t != except && !s.atWork(t, now) {
			count++
		}
	}
	return count
}

// atWork tells whether a lasting task serves and is not about to be stopped. A run of
// an earlier owner may be about to stop by its order for as long as a stop takes.
func (s *Scheduler) atWork(t *task, now time.Time) bool {
	for _, r := range t.runs {
		if !r.adoptedAt.IsZero() && now.Sub(r.adoptedAt) <= s.onOurClock(s.Settings.StopTime)+stopMargin {
			continue
		}
		if r.state == confirmed && !r.stopWanted && r.percent >= atWork && !r.endpoint.silent() {
			return true
		}
	}
	return false
}
