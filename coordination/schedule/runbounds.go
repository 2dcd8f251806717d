package schedule

import (
	"slices"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Bounds of the runs that an endpoint and an owner hold. The capacity of an endpoint bounds the runs of larger
// tasks, and would let any number of small ones run there: each is a row of every report.
const (
	// smallCPU, in thousandths of a core, and smallMemoryMB are the most that a small task takes; it takes no
	// GPU either.
	smallCPU      = 50
	smallMemoryMB = 128
	// maxSmallRuns is how many small tasks run on an endpoint, and maxOwnerSmallRuns how many run in all
	// pools, before only reserved ones are started.
	maxSmallRuns      = 1024
	maxOwnerSmallRuns = 8192
	// maxReservedSmallRuns is how many small tasks run on an endpoint with those that are reserved: of jobs of
	// which nothing runs, long-running ones and gangs.
	maxReservedSmallRuns = 8192
	// maxSmallGang limits a gang of small tasks, and maxSmallLongRunning the small long-running tasks of all
	// jobs, so that one endpoint can hold them.
	maxSmallGang        = 4096
	maxSmallLongRunning = 4096
	// maxUnconfirmedRuns is how many starts on an endpoint may be without an answer. Only a gang may exceed
	// it.
	maxUnconfirmedRuns = 64
)

// isSmall reports whether the capacity of an endpoint does not bound the runs of a step's tasks.
func isSmall(s *job.Step) bool {
	size := taskSize(s)
	return size.CPU <= smallCPU && size.MemoryMB <= smallMemoryMB && size.GPU == 0
}

// reserved reports whether the tasks of a step may be started where jobs with runs already have as many small
// ones as they may.
func (s *stepState) reserved() bool {
	return s.step.LongRunning || s.step.Gang || s.job.runs == 0
}

// mayHold reports whether the bounds of runs allow one more task of a step on an endpoint, beside those of its
// gang that are planned there.
func (s *Scheduler) mayHold(e *endpoint, st *stepState, planned int) bool {
	switch {
	case !st.step.Gang && e.unconfirmedRuns >= maxUnconfirmedRuns:
		return false
	case !st.small:
		return true
	case st.reserved():
		return e.smallRuns+planned < maxReservedSmallRuns
	}
	return e.smallRuns < maxSmallRuns && s.smallRuns < maxOwnerSmallRuns
}

// holdsMore reports whether the bounds of runs allow a task of a step on any endpoint of the room.
func (r *room) holdsMore(s *Scheduler, st *stepState) bool {
	if st.reserved() {
		return true
	}
	full := &r.fullOfRuns
	if st.small {
		full = &r.fullOfSmallRuns
	}
	*full = *full || !slices.ContainsFunc(r.endpoints, func(e *endpoint) bool { return s.mayHold(e, st, 0) })
	return !*full
}

// countRun counts a run that was added, or with -1 one that has ended, against the bounds.
func (s *Scheduler) countRun(r *run, count int) {
	if r.state != confirmed {
		r.endpoint.unconfirmedRuns += count
	}
	if r.task.of.small {
		r.endpoint.smallRuns += count
		s.smallRuns += count
	}
}

// TooManySmallTasks reports whether a new job has more small long-running tasks or a larger gang of small tasks
// than can ever run; later is set if other jobs take up what it needs.
func (s *Scheduler) TooManySmallTasks(j *job.Job) (refused, later bool) {
	longRunning := smallLongRunning(j)
	for i := range j.Steps {
		if st := &j.Steps[i]; st.Gang && st.Count > maxSmallGang && isSmall(st) {
			return true, false
		}
	}
	if longRunning > maxSmallLongRunning {
		return true, false
	}
	later = longRunning > 0 && s.smallLongRunning+longRunning > maxSmallLongRunning
	return later, later
}

// smallLongRunning returns how many small long-running tasks a job has.
func smallLongRunning(j *job.Job) (count int) {
	for i := range j.Steps {
		if st := &j.Steps[i]; st.LongRunning && isSmall(st) {
			count += st.Count
		}
	}
	return count * j.Occurrences()
}

// RunBounds counts the runs that the bounds limit; it is meant for metrics.
type RunBounds struct {
	// SmallRuns counts the runs of small tasks, and SmallLongRunning the long-running small tasks of all jobs.
	SmallRuns, SmallLongRunning int
	// FullEndpoints counts the endpoints that take small tasks of jobs with runs no more.
	FullEndpoints int
}

// RunBounds returns what counts against the bounds of runs.
func (s *Scheduler) RunBounds() (b RunBounds) {
	b = RunBounds{SmallRuns: s.smallRuns, SmallLongRunning: s.smallLongRunning}
	for _, e := range s.endpoints {
		if e.smallRuns >= maxSmallRuns {
			b.FullEndpoints++
		}
	}
	return b
}
