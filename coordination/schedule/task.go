package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// task is one task of a job.
type task struct {
	ref  job.Ref
	name string
	job  *jobState
	step *job.Step

	done bool
	// failures are the numbers of the failed runs.
	failures []int
	// lastRun is the highest number of a run of the task.
	lastRun    int
	checkpoint string
	runs       []*run
	// avoid lists the endpoints on which a run failed.
	avoid []string
	// notBefore delays the next run of a task that ends at once.
	notBefore time.Time
	// rescued is set once a run was stopped because it lagged; long tasks lag too,
	// and must not be restarted again and again.
	rescued   bool
	awaySince time.Time
}

// runState is how far a run has come.
type runState int

const (
	// starting means that the order was sent and not answered.
	starting runState = iota
	// uncertain means that the order got no answer.
	uncertain
	// confirmed means that the endpoint has taken the order or lists the run.
	confirmed
)

// run is one start of a task on an endpoint.
type run struct {
	task     *task
	endpoint *endpoint
	number   int
	state    runState
	size     Capacity

	startedAt time.Time
	// confirmedAt is when the endpoint's answer arrived.
	confirmedAt time.Time
	// startUntil is when the endpoint refuses the order if it comes late.
	startUntil time.Time

	// adoptedAt is when a run of an earlier owner was first seen.
	adoptedAt time.Time

	stopWanted bool
	stopSent   bool
	// stoppedAt is when the endpoint's answer to the stop arrived.
	stoppedAt time.Time

	// lags is set once the run makes far less progress than others do.
	lags      bool
	percent   int
	percentAt time.Time
	// figure is the endpoint's figure of the run: tail latency of a serving task
	// in milliseconds, else processor use.
	figure int
	// pace is the share, in percent, at which the run may work; pace is 100 at
	// the start.
	pace     int
	paceSent int
}

// size returns the room that a task of the step takes on an endpoint.
func size(s *job.Step) Capacity {
	c := Capacity{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU}
	if s.Fills {
		c.CPU = 0
	}
	return c
}

// stepState is a step of one occurrence.
type stepState struct {
	step  *job.Step
	index int
	tasks []*task
	done  int
	// gangRun is the number of the gang's present run.
	gangRun int
}

func (s *stepState) complete() bool {
	return s.done == len(s.tasks)
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	index int
	due   int64
	steps []*stepState
}

// ready tells whether the steps before s are done.
func (o *occurrence) ready(s *stepState) bool {
	for _, a := range s.step.After {
		if !o.steps[a].complete() {
			return false
		}
	}
	return true
}

// jobState is a job with what the scheduler knows of it.
type jobState struct {
	job.Job

	state       job.State
	occurrences []*occurrence
	endedAt     int64
	// inherited is set for jobs of an earlier owner, which may run on endpoints
	// that this owner has not seen.
	inherited bool
	begun     bool

	// version counts changes of the record; stored is the version in the store.
	version int
	stored  int
	// storedState is the state in the store, which callers are told.
	storedState job.State
	writing     bool
	dirtySince  time.Time
	urgent      bool

	acceptedAt time.Time
	// remaining is the work left, in core-milliseconds.
	order float64
	late  int
}

func newJobState(r job.Record, now time.Time) *jobState {
	j := &jobState{Job: r.Job, state: r.State, storedState: r.State, acceptedAt: time.UnixMilli(r.Accepted), endedAt: r.EndedAt}
	if d := now.Sub(j.acceptedAt); d < 0 || d > maxClockStep {
		j.acceptedAt = now
	}
	if len(r.Steps) == 0 {
		return j
	}
	for k := range r.Occurrences() {
		o := &occurrence{index: k}
		if r.Repeat > 0 {
			o.due = r.StartAt + int64(k)*r.IntervalMillis
		}
		for i := range j.Steps {
			o.steps = append(o.steps, newStepState(j, k, i))
		}
		j.occurrences = append(j.occurrences, o)
	}
	for _, p := range r.Progress {
		j.restore(p)
	}
	return j
}

// maxClockStep bounds how far an acceptance in the past is believed, as clocks of
// entries may differ.
const maxClockStep = 10 * time.Minute

func newStepState(j *jobState, occurrence, index int) *stepState {
	s := &stepState{step: &j.Steps[index], index: index}
	s.tasks = make([]*task, s.step.Count)
	for i := range s.tasks {
		ref := job.Ref{Occurrence: occurrence, Step: index, Index: i}
		s.tasks[i] = &task{ref: ref, name: ref.Name(j.ID), job: j, step: s.step}
	}
	return s
}

func (j *jobState) restore(p job.Progress) {
	if p.Occurrence >= len(j.occurrences) || p.Step >= len(j.Steps) {
		return
	}
	s := j.occurrences[p.Occurrence].steps[p.Step]
	for _, i := range p.Done {
		if i < len(s.tasks) && !s.tasks[i].done {
			s.tasks[i].done = true
			s.done++
		}
	}
	for i, n := range p.Failures {
		if i < len(s.tasks) {
			s.tasks[i].failures = n
		}
	}
	j.begun = true
}

// task returns the task of a reference, or nil.
func (j *jobState) task(r job.Ref) *task {
	if r.Occurrence < 0 || r.Occurrence >= len(j.occurrences) || r.Step < 0 || r.Step >= len(j.Steps) {
		return nil
	}
	s := j.occurrences[r.Occurrence].steps[r.Step]
	if r.Index < 0 || r.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[r.Index]
}

// record returns what is to be stored of the job.
func (j *jobState) record() job.Record {
	r := job.Record{Job: j.Job, State: j.state, EndedAt: j.endedAt}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if p := s.progress(o.index); len(p.Done) > 0 || len(p.Failures) > 0 {
				r.Progress = append(r.Progress, p)
			}
		}
	}
	return r
}

// progress returns what is to be stored of a step.
func (s *stepState) progress(occurrence int) (p job.Progress) {
	p = job.Progress{Occurrence: occurrence, Step: s.index}
	for i, t := range s.tasks {
		if t.done {
			p.Done = append(p.Done, i)
		}
		if len(t.failures) > 0 {
			if p.Failures == nil {
				p.Failures = make(map[int][]int)
			}
			p.Failures[i] = t.failures
		}
	}
	return p
}

// complete tells whether all tasks have ended as done.
func (j *jobState) complete() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.complete() {
				return false
			}
		}
	}
	return len(j.occurrences) > 0
}

// runningCPU returns the processors, in thousandths, that the job's runs take.
func (j *jobState) runningCPU() (cpu float64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					cpu += float64(r.size.CPU)
				}
			}
		}
	}
	return cpu
}

// running tells whether any run of the job may be going on.
func (j *jobState) running() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}
