package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// task is one task of a job with its runs.
type task struct {
	ref  job.TaskRef
	name string
	job  *jobState
	step *job.Step
	// of is the step with its other tasks.
	of *stepState

	done bool
	// failures holds the numbers of the last failed runs, and dropped counts the earlier ones.
	failures []int
	dropped  job.Dropped
	// crashes holds the endpoints that were lost under the task since a run of it last
	// outlived crashWindow.
	crashes []crash
	// lastRun is the highest run number of the task.
	lastRun    int
	checkpoint string
	runs       []*run
	// lastEnd is how the last run ended that this owner knew.
	lastEnd string
	// avoidEndpoints lists the endpoints on which a run of the task failed or
	// lagged.
	avoidEndpoints []string
	// notBefore is the earliest time of the next run. It prevents a tight restart
	// loop if runs end at once.
	notBefore time.Time
	// restartedForLag is set once a run was given up because it lagged. This happens
	// at most once for a task, because a task that takes long by its nature lags on
	// every endpoint.
	restartedForLag bool
	// projected is the run time that the progress of that run led to expect.
	projected       time.Duration
	notRunningSince time.Time
}

// runState is what is known of the start of a run.
type runState int

const (
	// starting means that the order to start was sent and has no answer yet.
	starting runState = iota
	// uncertain means that the order to start got no answer, so that the run may be
	// active.
	uncertain
	// confirmed means that the endpoint accepted the order or lists the run.
	confirmed
)

// run is one execution of a task on an endpoint.
type run struct {
	task     *task
	endpoint *endpoint
	number   int
	state    runState
	size     Capacity

	startedAt time.Time
	// resumed is set if the run continued from a checkpoint.
	resumed bool
	// confirmedAt is the arrival time of the answer or report that confirmed the
	// run.
	confirmedAt time.Time
	// disconnected is set if the endpoint ended the connection on which it got the order.
	disconnected bool
	// startDeadline is the time after which the endpoint refuses the order to start.
	startDeadline time.Time
	// uncertainAt is when the order to start was found to have no answer, and absent is set once a
	// poll that was sent after that has not listed the run.
	uncertainAt time.Time
	absent      bool

	// adoptedAt is the time at which a run that this owner did not start was first
	// reported.
	adoptedAt time.Time

	stopRequested bool
	stopSent      bool
	// evacuated is set if the run of a long-running task is stopped so that the task starts
	// elsewhere, and stopTried once an order to stop may have been sent.
	evacuated, stopTried bool
	// stoppedAt is the arrival time of the answer to the order to stop.
	stoppedAt time.Time

	// lagging is set once a second run is likely to end earlier.
	lagging bool
	// judged is set once the run counts as slow or not.
	judged          bool
	progressPercent int
	progressAt      time.Time
	// listedAt is when the last poll was sent of which the answer lists the run.
	listedAt time.Time
	// metric is reported by the endpoint: the tail latency of a serving task in
	// milliseconds, the CPU usage of other tasks.
	metric int
	// pace is the share, in percent, at which the run may work. It starts at 100.
	pace     int
	paceSent int
}

// taskSize returns the capacity that a task of the step takes on an endpoint.
func taskSize(s *job.Step) Capacity {
	c := Capacity{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU}
	if s.BestEffort {
		c.CPU = 0
	}
	return c
}

// addFailure records a failed run. Earlier ones than the last few are only counted.
func (t *task) addFailure(run int) {
	t.failures = append(t.failures, run)
	for most := t.job.KeptFailures(); len(t.failures) > most; {
		t.dropped.Count++
		t.dropped.Last = max(t.dropped.Last, t.failures[0])
		t.failures = slices.Delete(t.failures, 0, 1)
	}
}

// hasFailure reports whether a failed run was recorded.
func (t *task) hasFailure(run int) bool {
	return run <= t.dropped.Last || slices.Contains(t.failures, run)
}

// countFailures returns how many runs have failed.
func (t *task) countFailures() int {
	return t.dropped.Count + len(t.failures)
}

// jobState holds a job and its scheduling state.
type jobState struct {
	job.Job

	// number counts the jobs of the scheduler in the order in which they were added.
	number      int64
	state       job.State
	occurrences sequence[*occurrence]
	dependents  dependents
	// runs counts the runs that may be active, and used is what they take of endpoints.
	runs int
	used Capacity
	// idleSince is since when a job without runs has had none.
	idleSince time.Time
	// heldBytes is what the job counts in the scheduler's memory.
	heldBytes int64
	endedAt   int64
	// inherited is set for jobs that an earlier owner accepted. Endpoints that have
	// not reported to this owner may run their tasks.
	inherited bool
	// started is set once an endpoint is known to have started a task. An order that is refused, not
	// sent or not carried out does not count.
	started bool

	// version counts the changes of the record; storedVersion is the version in the
	// store.
	version       int
	storedVersion int
	// storedState is the state in the store, which is reported to callers, and
	// storedRevision the revision of the record there.
	storedState    job.State
	storedRevision int64
	// storedBytes is the length of that record, 0 if it is not known.
	storedBytes int
	writing     bool
	// refusals counts how often the store has refused the record for good since it was last stored, and
	// retryAt is when it is written again after that; zero if it is not held back.
	refusals   int
	retryAt    time.Time
	dirtySince time.Time
	urgent     bool
	// endsWait holds endpoints with ends that are acknowledged once the record is stored.
	endsWait []*endpoint

	acceptedAt time.Time
	// needs is what the tasks take.
	needs jobNeeds
	// remainingWork is the expected work of the tasks that are not done, in
	// milliseconds times thousandths of a core; it is -1 for long-running jobs, so
	// that they sort first. lateness is the class of the job by its objective:
	// onTime, late or tooLate.
	remainingWork float64
	lateness      int
	// cost is that of an estimate of one occurrence, and estimate the one that is kept, or nil.
	cost     int
	estimate *estimate
	// expectations caches the expected durations of the steps.
	expectations []expectation
	// overShare is set if the job's organisation has more of the full pool than its share.
	overShare bool
	// finishing is set if the job has started and needs little of the pool to go on, so that
	// it does not wait for the shares of others.
	finishing bool
	// startsIn is the data centre in which tasks may start by the stored record, and
	// inheritedIn the one in which earlier owners may have started tasks; empty means any.
	startsIn, inheritedIn string
	// pressed is set once the job has spent half of the time that it may wait.
	pressed bool
}

func newJobState(r job.Record, now time.Time) *jobState {
	j := &jobState{Job: r.Job, state: r.State, storedState: r.State, storedRevision: r.Revision, storedBytes: r.StoredBytes, acceptedAt: time.UnixMilli(r.AcceptedAt), endedAt: r.EndedAt, started: r.State == job.Running, idleSince: now}
	if d := now.Sub(j.acceptedAt); d < 0 || d > maxAcceptedAge {
		j.acceptedAt = now
	}
	if len(r.Steps) == 0 {
		return j
	}
	j.needs = needsOf(j.Steps)
	j.occurrences, j.dependents = newSequence[*occurrence](j.Occurrences()), newDependents(j)
	if r.Repeat == 0 {
		j.occurrence(0)
	}
	for _, p := range r.Progress {
		j.restoreProgress(p)
	}
	j.cost = costOf(j)
	return j
}

// markStarted records that an endpoint has started a task of the job.
func (j *jobState) markStarted() {
	j.started = true
	if j.state == job.Queued {
		j.state = job.Running
	}
}

// maxAcceptedAge limits the age of a job by its acceptance time. Beyond it, or if
// the time lies in the future, the job counts as accepted now, because the clocks of
// entries may differ.
const maxAcceptedAge = 10 * time.Minute

// hasRuns reports whether any run of the job may be active.
func (j *jobState) hasRuns() bool {
	return j.runs > 0
}
