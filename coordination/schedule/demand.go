package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/sizing"
)

// learnedSizes reports whether pools are sized by learned run times.
func (s *Scheduler) learnedSizes() bool {
	return s.Settings.LearnedSizes && !s.Settings.MeanDurations
}

// sizingDuration returns the expected duration of a task of a step, in milliseconds, for the
// sizes of pools: the learned mean, or the moving average of the queue.
func (s *Scheduler) sizingDuration(j *jobState, step int) float64 {
	if s.learnedSizes() {
		return s.expected(j, step)
	}
	return s.meanDuration(j, step)
}

// arrival returns the expected work of a job that arrives. Its run times count as learned if
// tasks of its queue have ended.
func (s *Scheduler) arrival(j *jobState) (a sizing.Arrival) {
	ends := make([]time.Duration, len(j.Steps))
	endpointCPU, lag := 0, 0.0
	for _, e := range s.poolEndpoints(j.Pool) {
		endpointCPU = max(endpointCPU, e.Capacity.CPU)
	}
	for i := range j.Steps {
		st := &j.Steps[i]
		work := s.sizingDuration(j, i) / 1000 * float64(st.CPU) * float64(st.Count)
		a.Work += work
		if !s.learnedSizes() {
			continue
		}
		d := s.distribution(j, i)
		start := time.Duration(0)
		for _, o := range st.DependsOn {
			if o < i {
				start = max(start, ends[o])
			}
		}
		// A step ends with its longest task.
		ends[i] = start + d.Quantile(float64(st.Count)/float64(st.Count+1))
		lag += work * (start + d.Residual()).Seconds()
		a.Fill += work * sizing.Fill(st.CPU, endpointCPU)
		a.Learned = d.Samples() > 0
	}
	if a.Work > 0 {
		a.Lag, a.Fill = time.Duration(lag/a.Work*float64(time.Second)), a.Fill/a.Work
	}
	return a
}

// remainingWork returns the expected work that is left of the job's running tasks and of the
// steps that follow them, in milliseconds times thousandths of a core. It is 0 for a late job and
// without Settings.LearnedSizes, where nothing depends on it.
func (s *Scheduler) remainingWork(j *jobState, now time.Time) (work float64) {
	if j.lateness != onTime || !s.learnedSizes() {
		return 0
	}
	if e := s.keptEstimate(j, now); e != nil {
		return e.remainingWork
	}
	return s.estimateRemainingWork(j, now)
}

func (s *Scheduler) estimateRemainingWork(j *jobState, now time.Time) (work float64) {
	for _, o := range j.occurrences.items {
		runs, follows := 0.0, 0.0
		for _, st := range o.steps {
			switch {
			case st.complete():
			case st.running > 0:
				runs += s.remainingOfRuns(j, st, now)
			case !st.dependenciesDone():
				follows += s.expected(j, st.index) * float64(st.step.CPU) * float64(st.left())
			}
		}
		if runs > 0 {
			work += runs + follows
		}
	}
	return work
}

// remainingOfRuns returns the expected work that is left of the running tasks of a step.
func (s *Scheduler) remainingOfRuns(j *jobState, st *stepState, now time.Time) (work float64) {
	elapsed, cpu, runs := time.Duration(0), 0.0, 0
	for _, t := range st.tasks.items {
		for _, r := range t.runs {
			elapsed += now.Sub(r.startedAt)
			cpu += float64(r.size.CPU)
			runs++
		}
	}
	if runs == 0 {
		return 0
	}
	return cpu * millis(s.distribution(j, st.index).Remaining(elapsed/time.Duration(runs)))
}
