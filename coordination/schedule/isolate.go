package schedule

import "time"

// maxHeldFraction limits the endpoints of a pool that are held for suspected tasks, so that
// many lost endpoints do not keep all others from starting tasks.
const maxHeldFraction = 0.25

// holdTime is how long an endpoint is held for a task that no plan reaches any more.
const holdTime = time.Second

// isolation returns how long a run of the task has to be known to be active until other jobs may
// start tasks on its endpoint, so that a crash shows who caused it. It is 0 for a task that
// is not suspected. The tasks of a gang are started together and suspected together.
func (t *task) isolation(st *stepState) (d time.Duration) {
	if !st.step.Gang {
		return t.ownIsolation()
	}
	if !st.isolationKnown {
		st.isolationKnown, st.gangIsolation = true, 0
		for _, m := range st.tasks.items {
			st.gangIsolation = max(st.gangIsolation, m.ownIsolation())
		}
	}
	return st.gangIsolation
}

func (t *task) ownIsolation() time.Duration {
	if len(t.crashes) >= maxStartCrashes {
		return crashWindow
	}
	for _, c := range t.crashes {
		if c.AtStart {
			return startupPeriod
		}
	}
	return 0
}

// updateIsolation clears the crashes of tasks that have outlived the crash window, and
// determines which endpoints take no starts of other jobs.
func (s *Scheduler) updateIsolation(now time.Time) {
	for e := range s.isolatedEndpoints {
		e.exclusiveTo = nil
		if e.heldFor != nil && (!e.heldFor.waitsIsolated() || now.After(e.heldUntil)) {
			e.heldFor = nil
		}
		if e.heldFor == nil {
			delete(s.isolatedEndpoints, e)
		}
	}
	for id, tasks := range s.unconfirmedCrashes {
		if !s.anySuspect(tasks) {
			delete(s.unconfirmedCrashes, id)
		}
	}
	// Of two suspected tasks on an endpoint, the last one by name has it for its job.
	for _, t := range sortedTasks(s.suspectTasks) {
		if t.done || t.job.state.Terminal() {
			delete(s.suspectTasks, t)
			continue
		}
		isolation := t.isolation(t.stepState())
		for _, r := range t.runs {
			switch {
			case r.outlived(crashWindow):
				s.removeCrashes(t, now, func(c crash) bool { return c.Confirmed })
			case !r.outlived(isolation):
				s.isolate(r.endpoint, t.job)
			}
		}
	}
}

// anySuspect reports whether a task of the set is still suspected.
func (s *Scheduler) anySuspect(tasks map[*task]bool) bool {
	for t := range tasks {
		if s.suspectTasks[t] {
			return true
		}
	}
	return false
}

// isolate keeps starts of other jobs from an endpoint.
func (s *Scheduler) isolate(e *endpoint, j *jobState) {
	e.exclusiveTo = j
	s.isolatedEndpoints[e] = true
}

// waitsIsolated reports whether a task waits to be started in isolation.
func (t *task) waitsIsolated() bool {
	return !t.done && !t.job.state.Terminal() && len(t.runs) == 0 && t.isolation(t.stepState()) > 0
}

// closedTo reports whether the endpoint takes no starts of a job because of an isolated
// task.
func (e *endpoint) closedTo(j *jobState) bool {
	return e.exclusiveTo != nil && e.exclusiveTo != j || e.heldFor != nil && e.heldFor.job != j
}

// settledFor reports whether all runs of other jobs on the endpoint have outlived their
// start.
func (e *endpoint) settledFor(j *jobState) bool {
	for _, r := range e.runs {
		if r.task.job != j && !r.outlived(startupPeriod) {
			return false
		}
	}
	return true
}

// holdEndpoint keeps starts of other jobs from an endpoint that a suspected task could use
// if the runs there had outlived their start. A busy pool would offer no such endpoint.
func (s *Scheduler) holdEndpoint(st *stepState, t *task, candidates []*endpoint, now time.Time) (found bool) {
	need := taskSize(st.step)
	held := 0
	var best *endpoint
	for _, e := range candidates {
		switch {
		case e.heldFor == t:
			e.heldUntil = now.Add(holdTime)
			return true
		case e.heldFor != nil:
			held++
		case !t.job.mayStartIn(e.DataCentre) || e.closedTo(t.job) || !e.freeFor(st).CanFit(need) || !e.permits(st, t, 0):
		case best == nil || len(e.runs) < len(best.runs):
			best = e
		}
	}
	if best == nil || float64(held) >= max(1, maxHeldFraction*float64(len(candidates))) {
		return false
	}
	best.heldFor, best.heldUntil = t, now.Add(holdTime)
	s.isolatedEndpoints[best] = true
	return true
}
