package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// EndReason is the way in which a run ended on the endpoint.
type EndReason string

// Ends that endpoints report. Only EndDone and EndFailed change the record of a job.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	EndBroken       EndReason = "broken"
	EndAlone        EndReason = "alone"
)

// reported reports whether endpoints report the end; others are inferred.
func (r EndReason) reported() bool {
	switch r {
	case EndDone, EndFailed, EndStopped, EndLeaseExpired, EndBroken, EndAlone:
		return true
	default:
		return false
	}
}

// ListedRun is an active run that an endpoint reports.
type ListedRun struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of a task that ends by itself, or the pace of a
	// long-running one (100 while it serves).
	Percent int
	// Metric is an approximate measurement over the last half second: the tail
	// latency of a serving task in milliseconds, the CPU usage of other tasks.
	Metric int
}

// EndedRun is the end of a run, which an endpoint reports until it is acknowledged.
type EndedRun struct {
	Number     int64
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Report is the answer of an endpoint to a poll.
type Report struct {
	// SentAt is the time at which the poll was sent, and ReceivedAt the time at which its
	// answer arrived.
	SentAt, ReceivedAt time.Time
	// HeldUntil is the time until which the lease lasts at least that the poll has renewed; zero if
	// it has renewed none.
	HeldUntil time.Time
	// Truncated is set if the endpoint may have more ends than it lists.
	Truncated bool
	// Incarnation identifies the process of the endpoint; it changes with a restart.
	Incarnation int64
	Running     []ListedRun
	Ended       []EndedRun
}

// Delays after failed runs.
const (
	// taskRetryDelay prevents a tight restart loop of a task whose runs fail or end
	// at once.
	taskRetryDelay = 20 * time.Millisecond
	// initialBackoff is how long an endpoint gets no new tasks after
	// backoffThreshold failures in a row. The time doubles with each further
	// failure.
	initialBackoff = 500 * time.Millisecond
	// maxBackoff limits the backoff, so that a repaired endpoint is used again soon.
	maxBackoff = 8 * time.Second
	// backoffThreshold is the number of failures in a row at which backoff begins.
	// One in 500 tasks fails by its own fault, so that two failures in a row are
	// rarely chance.
	backoffThreshold = 2
)

// ApplyReport applies the report of an endpoint. The end of an unknown task changes no
// job; an unknown run is ordered to stop.
func (s *Scheduler) ApplyReport(id string, r Report) {
	e, known := s.endpoints[id]
	if !known {
		return
	}
	if e.incarnation != 0 && r.Incarnation != 0 && r.Incarnation != e.incarnation {
		s.applyRestart(e, r)
	}
	if r.Incarnation != 0 {
		e.incarnation = r.Incarnation
	}
	if !e.contacted {
		s.endReplaced(e, r.ReceivedAt)
	}
	if len(s.unconfirmedCrashes[id]) > 0 {
		s.resolveCrashes(id, r.Incarnation, r.ReceivedAt)
	}
	e.contacted = true
	e.grantedUntil = latest(e.grantedUntil, r.HeldUntil)
	e.reportedAt = r.ReceivedAt
	e.aliveAt = latest(e.aliveAt, r.ReceivedAt)
	e.unresponsiveSince, e.silent = time.Time{}, false
	e.unansweredOrders = 0
	for _, ending := range r.Ended {
		if ending.Number > e.lastAppliedEnd {
			s.applyEnd(e, ending, r.ReceivedAt)
			e.lastAppliedEnd = ending.Number
		}
	}
	listed := make(map[string]int, len(r.Running))
	previouslyUnknown := e.unknownRuns
	e.unknownRuns = make(map[string]unknownRun)
	for _, l := range r.Running {
		listed[l.Task] = l.Run
		s.applyListedRun(e, l, r)
		if u, unknown := e.unknownRuns[l.Task]; unknown && previouslyUnknown[l.Task].number == u.number {
			e.unknownRuns[l.Task] = previouslyUnknown[l.Task]
		}
	}
	// The end of an unlisted run may be among those that the endpoint has not listed yet.
	if !r.Truncated {
		unlisted := func(o *run) bool {
			number, present := listed[o.task.name]
			return !present || number != o.number
		}
		for _, run := range sortedRunsWhere(e, unlisted) {
			s.applyUnlistedRun(run, r)
		}
	}
	s.updateStoredEnds(e)
	if e.Draining || r.Truncated {
		// The endpoint leaves with the ends that it lists, or lists no others until these are acknowledged.
		s.storeEnds(e)
	}
}

// applyRestart ends the runs of the process that an endpoint had before, which counted its ends
// and its time from another start. The next process may have carried out orders since, or may still do
// so: it has the same identifier, and its clock does not reach the deadline of an order.
func (s *Scheduler) applyRestart(e *endpoint, r Report) {
	granted := r.ReceivedAt.Add(s.localDuration(s.Settings.MaxLease))
	if !e.unresponsive() {
		e.leaseUntil = latest(e.leaseUntil, granted)
	}
	listed := make(map[string]int, len(r.Running))
	for _, l := range r.Running {
		listed[l.Task] = l.Run
	}
	suspects, ended := crashSuspects(e), make(map[*run]bool)
	likely := make(map[*run]bool)
	for _, o := range likelySuspects(e) {
		likely[o] = true
	}
	for _, o := range sortedRuns(e) {
		switch {
		case o.state == starting, o.confirmedAt.After(r.SentAt), listed[o.task.name] == o.number:
			o.startDeadline = latest(o.startDeadline, granted)
			continue
		case o.state == uncertain:
			o.startDeadline, o.absent = latest(o.startDeadline, granted), false
		default:
			ended[o] = true
		}
		if likely[o] {
			s.suspectRun(o, suspects, r.ReceivedAt)
		}
	}
	s.endRuns(e, LossRestarted, r.ReceivedAt, func(o *run) bool { return ended[o] })
	e.lastAppliedEnd, e.lastStoredEnd, e.unstoredEnds, e.grantedUntil = 0, 0, nil, time.Time{}
}

// applyEnd applies the end of a run on an endpoint.
func (s *Scheduler) applyEnd(e *endpoint, ending EndedRun, now time.Time) {
	pending := appliedEnd{number: ending.Number, readAt: now}
	t := s.taskByName(ending.Task)
	if t != nil {
		t.recordRunNumber(ending.Run)
		t.job.markStarted()
		if ending.Checkpoint != "" && t.step.KeepCheckpoints {
			t.checkpoint = ending.Checkpoint
		}
		r := e.runs[ending.Task]
		if r != nil && r.number != ending.Run {
			r = nil
		}
		s.updateEndpointHealth(e, r, ending.Reason, now)
		if r != nil {
			s.endRun(r, string(ending.Reason), now)
		}
		s.recordEnd(e, t, ending, now)
		pending.job, pending.version = t.job, t.job.version
		pending.waited = t.job.storedVersion < t.job.version
		t.release()
	}
	e.unstoredEnds = append(e.unstoredEnds, pending)
}

// recordEnd updates the job by the end of a run.
func (s *Scheduler) recordEnd(e *endpoint, t *task, ending EndedRun, now time.Time) {
	j := t.job
	if j.state.Terminal() || t.done {
		return
	}
	switch ending.Reason {
	case EndDone:
		if t.step.LongRunning {
			t.notBefore = now.Add(taskRetryDelay)
			return
		}
		s.markDone(j, t, now)
	case EndFailed:
		s.Counts.Failed++
		if !slices.Contains(t.avoidEndpoints, e.ID) {
			t.avoidEndpoints = append(t.avoidEndpoints, e.ID)
		}
		t.notBefore = now.Add(taskRetryDelay)
		if t.step.LongRunning {
			return
		}
		if j.MaxAttempts <= 0 || t.hasFailure(ending.Run) {
			// Without a limit nothing depends on how many there are.
			return
		}
		t.addFailure(ending.Run)
		s.markDirty(j, now, false)
		if t.countFailures() >= j.MaxAttempts {
			s.finishJob(j, job.Failed, now)
		}
	case EndStopped, EndLeaseExpired, EndBroken, EndAlone:
		s.Counts.Stopped++
	}
}

// markDone records that a task is done. One done task completes its whole gang.
func (s *Scheduler) markDone(j *jobState, t *task, now time.Time) {
	members := []*task{t}
	if t.step.Gang {
		members = slices.Clone(t.of.tasks.items)
	}
	s.Counts.Done += int64(t.of.markDone(members))
	if !t.step.Gang {
		for _, r := range t.runs {
			s.requestStop(r)
		}
	}
	s.markDirty(j, now, false)
	for _, m := range members {
		m.release()
	}
	s.finishIfComplete(j, now)
}

// updateEndpointHealth updates the failure count and backoff of an endpoint, and the
// duration estimate, by the end of a run.
func (s *Scheduler) updateEndpointHealth(e *endpoint, r *run, end EndReason, now time.Time) {
	switch end {
	case EndDone:
		e.consecutiveFailures = 0
		e.backoffUntil = time.Time{}
		if r != nil {
			s.updateDurationEstimate(r, now)
		}
	case EndFailed:
		s.observeBound(r, now)
		e.consecutiveFailures++
		if e.consecutiveFailures >= backoffThreshold {
			wait := initialBackoff << min(e.consecutiveFailures-backoffThreshold, 10)
			e.backoffUntil = now.Add(min(wait, maxBackoff))
		}
	case EndStopped, EndLeaseExpired, EndBroken, EndAlone:
		s.observeBound(r, now)
	}
}

// taskByName returns the task with a name, or nil if its job is not known.
func (s *Scheduler) taskByName(name string) *task {
	id, ref, err := job.ParseTaskName(name)
	if err != nil {
		return nil
	}
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	return j.findTask(ref)
}

// applyListedRun applies a run that the endpoint reports as active. A run that this
// owner did not start is adopted.
func (s *Scheduler) applyListedRun(e *endpoint, l ListedRun, r Report) {
	known := e.runs[l.Task]
	if known != nil && known.number == l.Run {
		s.updateRun(known, l, r)
		return
	}
	t := s.taskByName(l.Task)
	if t == nil || known != nil {
		e.unknownRuns[l.Task] = unknownRun{number: l.Run}
		return
	}
	t.recordRunNumber(l.Run)
	adopted := &run{
		task: t, endpoint: e, number: l.Run, state: confirmed, size: taskSize(t.step),
		startedAt: r.ReceivedAt, confirmedAt: r.ReceivedAt, adoptedAt: r.ReceivedAt, pace: fullPace, paceSent: fullPace,
	}
	if t.job.state.Terminal() || t.done || (len(t.runs) > 0 && !t.step.AllowDuplicates) {
		s.requestStop(adopted)
	}
	t.job.markStarted()
	s.addRun(adopted)
	if t.step.Gang {
		st := t.of
		st.gangRunNumber = max(st.gangRunNumber, l.Run)
	}
	s.updateRun(adopted, l, r)
}

// updateRun updates a run from its listing.
func (s *Scheduler) updateRun(known *run, l ListedRun, r Report) {
	s.confirmRun(known, r.ReceivedAt)
	known.listedAt = r.SentAt
	if l.Checkpoint != "" && known.task.step.KeepCheckpoints {
		known.task.checkpoint = l.Checkpoint
	}
	if l.Percent != known.progressPercent || known.progressAt.IsZero() {
		known.progressPercent = l.Percent
		known.progressAt = r.ReceivedAt
	}
	known.metric = l.Metric
	s.checkProgress(known, r.ReceivedAt)
}

// applyUnlistedRun ends a run that a report does not list although the endpoint
// would list it, had it been active when the poll was sent.
func (s *Scheduler) applyUnlistedRun(run *run, r Report) {
	switch {
	case run.state == confirmed && r.SentAt.After(run.confirmedAt):
		s.Counts.Lost++
		s.endRun(run, "absent", r.ReceivedAt)
	case run.state == uncertain && !run.stoppedAt.IsZero() && r.SentAt.After(run.stoppedAt):
		s.endRun(run, "notStarted", r.ReceivedAt)
	case run.state == uncertain && r.SentAt.After(run.startDeadline):
		s.endRun(run, "notStarted", r.ReceivedAt)
	case run.state == uncertain && r.SentAt.After(run.uncertainAt):
		run.absent = true
	}
}
