package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// End is how a run has ended.
type End string

// Ends that endpoints list.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken"
	EndAlone   End = "alone"
)

// Listing is one run that an endpoint lists.
type Listing struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of a task that ends, or the pace of one that lasts.
	Percent int
	// Figure is a rough figure of the last half second.
	Figure int
}

// Ending is one end that an endpoint lists until it is acknowledged.
type Ending struct {
	Number     int64
	Task       string
	Run        int
	How        End
	Checkpoint string
}

// Report is what an endpoint answered to a look.
type Report struct {
	// Sent is when the look was sent; Arrived is when the answer arrived.
	Sent, Arrived time.Time
	// Born identifies the lifetime of the endpoint's process.
	Born    int64
	Running []Listing
	Ended   []Ending
}

// Retry delays of a task whose runs end at once.
const (
	// retryAfterFailure keeps a lasting task from being restarted in a tight loop.
	retryAfterFailure = 20 * time.Millisecond
	// avoidFirst is how long an endpoint gets no new work after its second failure
	// in a row; it doubles with each further one.
	avoidFirst = 500 * time.Millisecond
	// avoidLongest bounds the delay, so that a repaired endpoint is found soon.
	avoidLongest = 8 * time.Second
	// avoidAfter is how many failures in a row make an endpoint suspect. One in
	// 500 tasks fails by its own fault, so two in a row are rarely chance.
	avoidAfter = 2
)

// Report applies an endpoint's answer. Ends and runs of jobs that the owner does
// not know are kept until the job is known.
func (s *Scheduler) Report(id string, r Report) {
	e, known := s.endpoints[id]
	if !known {
		return
	}
	if e.born != 0 && r.Born != 0 && r.Born != e.born {
		s.dropRuns(e, r.Arrived)
		e.applied, e.acknowledged, e.unstored = 0, 0, nil
	}
	if r.Born != 0 {
		e.born = r.Born
	}
	e.seen = true
	e.reportedAt = r.Arrived
	e.silentSince = time.Time{}
	e.doubts = 0
	for _, n := range r.Ended {
		if n.Number > e.applied {
			s.applyEnd(e, n, r.Arrived)
			e.applied = n.Number
		}
	}
	listed := make(map[string]int, len(r.Running))
	earlier := e.unknownRuns
	e.unknownRuns = make(map[string]unknownRun)
	for _, l := range r.Running {
		listed[l.Task] = l.Run
		s.applyListing(e, l, r)
		if u, unknown := e.unknownRuns[l.Task]; unknown && earlier[l.Task].number == u.number {
			e.unknownRuns[l.Task] = earlier[l.Task]
		}
	}
	for _, run := range sortedRuns(e) {
		if number, present := listed[run.task.name]; present && number == run.number {
			continue
		}
		s.applyAbsence(run, r)
	}
	e.advanceAcknowledged()
}

// applyEnd records an end of a run on e.
func (s *Scheduler) applyEnd(e *endpoint, n Ending, now time.Time) {
	pending := appliedEnd{number: n.Number}
	t := s.taskNamed(n.Task)
	if t != nil {
		t.lastRun = max(t.lastRun, n.Run)
		if n.Checkpoint != "" && t.step.KeepCheckpoints {
			t.checkpoint = n.Checkpoint
		}
		r := e.runs[n.Task]
		if r != nil && r.number != n.Run {
			r = nil
		}
		s.judge(e, r, n.How, now)
		if r != nil {
			s.end(r, string(n.How), now)
		}
		s.count(e, t, n, now)
		pending.job, pending.version = t.job, t.job.version
	}
	e.unstored = append(e.unstored, pending)
}

// count changes the job's record by an end.
func (s *Scheduler) count(e *endpoint, t *task, n Ending, now time.Time) {
	j := t.job
	if j.state.Terminal() || t.done {
		return
	}
	switch n.How {
	case EndDone:
		if t.step.LongRunning {
			t.notBefore = now.Add(retryAfterFailure)
			return
		}
		s.markDone(j, t, now)
	case EndFailed:
		s.Counts.Failed++
		if !slices.Contains(t.avoid, e.ID) {
			t.avoid = append(t.avoid, e.ID)
		}
		t.notBefore = now.Add(retryAfterFailure)
		if t.step.LongRunning {
			return
		}
		if slices.Contains(t.failures, n.Run) {
			return
		}
		t.failures = append(t.failures, n.Run)
		s.touch(j, now, false)
		if j.MaxAttempts > 0 && len(t.failures) >= j.MaxAttempts {
			s.finish(j, job.Failed, now)
		}
	case EndStopped, EndLapsed, EndBroken, EndAlone:
		s.Counts.Stopped++
	}
}

// markDone records a done task; one done member stands for its whole gang.
func (s *Scheduler) markDone(j *jobState, t *task, now time.Time) {
	st := j.occurrences[t.ref.Occurrence].steps[t.ref.Step]
	members := []*task{t}
	if t.step.Gang {
		members = st.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		st.done++
		s.Counts.Done++
		for _, r := range m.runs {
			if !t.step.Gang {
				s.stop(r)
			}
		}
	}
	j.begun = true
	s.touch(j, now, false)
	s.settle(j, now)
}

// judge learns from the end of a run how an endpoint does.
func (s *Scheduler) judge(e *endpoint, r *run, how End, now time.Time) {
	switch how {
	case EndDone:
		e.failures = 0
		e.avoidUntil = time.Time{}
		if r != nil {
			s.learn(r, now)
		}
	case EndFailed:
		e.failures++
		if e.failures >= avoidAfter {
			wait := avoidFirst << min(e.failures-avoidAfter, 10)
			e.avoidUntil = now.Add(min(wait, avoidLongest))
		}
	case EndStopped, EndLapsed, EndBroken, EndAlone:
	}
}

func (s *Scheduler) learn(r *run, now time.Time) {
	took := float64(now.Sub(r.startedAt).Milliseconds())
	key := r.task.job.Queue
	d := s.learned[key]
	if d == nil {
		d = &duration{mean: took}
		s.learned[key] = d
	}
	d.count++
	const weight = 0.05
	d.mean += weight * (took - d.mean)
}

// taskNamed returns the task of a name, or nil if its job is not known.
func (s *Scheduler) taskNamed(name string) *task {
	id, ref, err := job.ParseName(name)
	if err != nil {
		return nil
	}
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	return j.task(ref)
}

// applyListing records a run that the endpoint lists.
func (s *Scheduler) applyListing(e *endpoint, l Listing, r Report) {
	known := e.runs[l.Task]
	if known != nil && known.number == l.Run {
		s.refresh(known, l, r)
		return
	}
	t := s.taskNamed(l.Task)
	if t == nil || known != nil {
		e.unknownRuns[l.Task] = unknownRun{number: l.Run}
		return
	}
	t.lastRun = max(t.lastRun, l.Run)
	adopted := &run{
		task: t, endpoint: e, number: l.Run, state: confirmed, size: size(t.step),
		startedAt: r.Arrived, confirmedAt: r.Arrived, adoptedAt: r.Arrived, pace: fullPace, paceSent: fullPace,
	}
	if t.job.state.Terminal() || t.done || (len(t.runs) > 0 && !t.step.AllowDuplicates) {
		s.stop(adopted)
	}
	t.job.begun = true
	e.runs[l.Task] = adopted
	e.used = e.used.plus(adopted.size)
	t.runs = append(t.runs, adopted)
	if t.step.Gang {
		st := t.job.occurrences[t.ref.Occurrence].steps[t.ref.Step]
		st.gangRun = max(st.gangRun, l.Run)
	}
	s.refresh(adopted, l, r)
}

// refresh updates a run from its listing.
func (s *Scheduler) refresh(known *run, l Listing, r Report) {
	if known.state != confirmed {
		known.state = confirmed
		known.confirmedAt = r.Arrived
	}
	if l.Checkpoint != "" && known.task.step.KeepCheckpoints {
		known.task.checkpoint = l.Checkpoint
	}
	if l.Percent != known.percent || known.percentAt.IsZero() {
		known.percent = l.Percent
		known.percentAt = r.Arrived
	}
	known.figure = l.Figure
	s.judgeProgress(known, r.Arrived)
}

// applyAbsence ends a run that a report does not list although the endpoint must
// have known it when the look was sent.
func (s *Scheduler) applyAbsence(run *run, r Report) {
	switch {
	case run.state == confirmed && r.Sent.After(run.confirmedAt):
		s.Counts.Lost++
		s.end(run, "absent", r.Arrived)
	case run.state == uncertain && !run.stoppedAt.IsZero() && r.Sent.After(run.stoppedAt):
		s.end(run, "notStarted", r.Arrived)
	case run.state == uncertain && r.Sent.After(run.startUntil):
		s.end(run, "notStarted", r.Arrived)
	}
}
