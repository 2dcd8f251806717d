package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/coordination/job"
)

// durationEstimate is a moving average of the durations of the tasks of a queue. The sizes of
// pools follow it, and everything else with Settings.MeanDurations.
type durationEstimate struct {
	mean  float64
	count int
}

// versionRuns is how many finished runs share a version of the learned durations. Expected
// durations are cached for a version.
const versionRuns = 32

// learnedDurations is what finished runs have taught about the durations of tasks.
type learnedDurations struct {
	estimator duration.Estimator
	observed  int
	// restarts holds, by queue, how often a new run of a lagging task was faster.
	restarts map[string]*restartSuccess
	// stragglers holds, by queue, whether most runs are slower than was learned.
	stragglers map[string]*duration.Stragglers
}

// version returns a number that changes when cached expectations are outdated.
func (l *learnedDurations) version() (number int) {
	if l.observed < versionRuns {
		return l.observed + 1
	}
	return versionRuns + l.observed/versionRuns
}

// DurationState returns what is kept of the learned durations over a change of owner, and a
// number that changes when it does.
func (s *Scheduler) DurationState(queues int) (state duration.State, version int) {
	return s.durations.estimator.State(queues), s.durations.observed
}

// LoadDurations adds what an earlier owner has learned about queues of which no task has
// ended under this owner.
func (s *Scheduler) LoadDurations(state duration.State, now time.Time) (err error) {
	defer fault.Annotate(&err, "schedule: load durations")
	return s.durations.estimator.Load(state, now)
}

// expectation is what a job's step is expected to take, and its finished tasks.
type expectation struct {
	siblings duration.Siblings
	// mean is in milliseconds. It holds for a version, 0 if it is not known yet.
	mean    float64
	version int
}

// expected returns the expected duration of a task of a step, by its index, in milliseconds. With
// Settings.MeanDurations it is the moving average of the queue, or the declared duration
// if no task of the queue has ended yet.
func (s *Scheduler) expected(j *jobState, step int) float64 {
	if s.Settings.MeanDurations {
		return s.meanDuration(j, step)
	}
	x := j.expectation(step)
	if v := s.durations.version(); x.version != v {
		x.mean, x.version = max(millis(s.distribution(j, step).Mean()), 1), v
	}
	return x.mean
}

// meanDuration returns the moving average of the durations of the job's queue in
// milliseconds, or the declared duration if no task of the queue has ended yet.
func (s *Scheduler) meanDuration(j *jobState, step int) float64 {
	if d := s.durationEstimates[j.Queue]; d != nil {
		return d.mean
	}
	return float64(max(j.Steps[step].EstimateMillis, 1))
}

// expectedQuantile returns the duration in milliseconds that a task of the step does not
// exceed with probability q. With Settings.MeanDurations it is the expected duration.
func (s *Scheduler) expectedQuantile(j *jobState, step int, q float64) float64 {
	if s.Settings.MeanDurations {
		return s.expected(j, step)
	}
	return max(millis(s.distribution(j, step).Quantile(q)), 1)
}

// distribution returns the learned distribution of the duration of a task of a step.
func (s *Scheduler) distribution(j *jobState, step int) duration.Distribution {
	return s.durations.estimator.Expect(j.durationKey(step, true), declared(&j.Steps[step]))
}

func declared(st *job.Step) time.Duration {
	return time.Duration(st.EstimateMillis) * time.Millisecond
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// expectation returns the expectation of a step of the job.
func (j *jobState) expectation(step int) *expectation {
	if len(j.expectations) != len(j.Steps) {
		j.expectations = make([]expectation, len(j.Steps))
	}
	return &j.expectations[step]
}

// durationKey returns what the duration of a task of a step may depend on. Local is false
// for a run that is not at the task's data.
func (j *jobState) durationKey(step int, local bool) (k duration.Key) {
	st := &j.Steps[step]
	return duration.Key{
		Queue: j.Queue, Step: step, Image: st.Image, Organisation: j.Organisation, CPU: st.CPU, MemoryMB: st.MemoryMB,
		Remote: st.DataRack != "" && !local, Siblings: &j.expectation(step).siblings,
	}
}

// updateDurationEstimate learns from a run that is done.
func (s *Scheduler) updateDurationEstimate(r *run, now time.Time) {
	s.updateMeanDuration(r, now)
	if s.Settings.MeanDurations {
		return
	}
	t := r.task
	s.recordRestart(r, now)
	s.judge(r, false)
	if !r.fullRun() {
		s.observeBound(r, now)
		return
	}
	if r.endpoint.slowUntil.After(now) || r.pace != fullPace {
		return
	}
	k := t.job.durationKey(t.ref.Step, r.endpoint.Rack == t.step.DataRack)
	s.durations.estimator.Observe(k, declared(t.step), now.Sub(r.startedAt), now)
	s.durations.observed++
	t.job.expectation(t.ref.Step).version = 0
}

// fullRun reports whether the owner has the whole time of the run from its beginning, without
// a part that an earlier run has done.
func (r *run) fullRun() bool {
	return !r.task.step.LongRunning && r.adoptedAt.IsZero() && !r.resumed
}

// observeBound learns from a run that has ended without being done that the task takes
// longer.
func (s *Scheduler) observeBound(r *run, now time.Time) {
	if s.Settings.MeanDurations || r == nil || r.task.step.LongRunning || r.endpoint.slowUntil.After(now) || r.pace != fullPace {
		return
	}
	t := r.task
	k := t.job.durationKey(t.ref.Step, r.endpoint.Rack == t.step.DataRack)
	s.durations.estimator.ObserveBound(k, declared(t.step), now.Sub(r.startedAt), now)
}

// updateMeanDuration updates the moving average of the queue by a run that is done.
func (s *Scheduler) updateMeanDuration(r *run, now time.Time) {
	took := float64(now.Sub(r.startedAt).Milliseconds())
	key := r.task.job.Queue
	d := s.durationEstimates[key]
	if d == nil {
		d = &durationEstimate{mean: took}
		s.durationEstimates[key] = d
	}
	d.count++
	const weight = 0.05
	d.mean += weight * (took - d.mean)
}

// remainingOfStep returns how long, in milliseconds, the step is expected to take until all
// its tasks are done, if a task takes the given time.
func (s *Scheduler) remainingOfStep(j *jobState, st *stepState, task float64, now time.Time) float64 {
	if s.Settings.MeanDurations || st.running == 0 || st.tasks.untouched > 0 {
		return task
	}
	latest := time.Time{}
	for _, t := range st.tasks.items {
		switch {
		case t.done:
			continue
		case len(t.runs) == 0:
			return task
		}
		if r := t.runs[0]; r.startedAt.After(latest) {
			latest = r.startedAt
		}
	}
	return millis(s.distribution(j, st.index).Remaining(now.Sub(latest)))
}
