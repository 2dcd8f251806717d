package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/duration"
)

// Thresholds for lagging runs with learned durations.
const (
	// lagQuantile is the quantile of the duration that a run has to exceed by its progress so
	// that it counts as lagging. Its progress is used once the run has lasted as long as
	// half of the runs, at progressQuantile.
	lagQuantile      = 0.95
	progressQuantile = 0.5
	// minLagRuns is how many runs of the queue have to be known.
	minLagRuns = 8
	// stallSteps is the number of percent that a run would have progressed, at its speed so
	// far, before it counts as stalled.
	stallSteps = 5
	// restartPrior is the number of successful and of useless restarts that a queue begins
	// with, and maxRestarts the number at which the earlier ones count half.
	restartPrior = 1.0
	maxRestarts  = 32
)

// restartSuccess counts the new runs of lagging tasks that were faster than the runs that
// they replaced, and all of them.
type restartSuccess struct {
	faster, all float64
}

// probability returns how likely a new run is faster. The rest of the tasks take long by
// their nature and lag on every endpoint.
func (r *restartSuccess) probability() (p float64) {
	if r == nil {
		r = &restartSuccess{}
	}
	return (r.faster + restartPrior) / (r.all + 2*restartPrior)
}

// wouldEndEarlier reports whether a run will take longer than almost all others, and a new
// run of the task, with its start, is expected to end earlier.
func (s *Scheduler) wouldEndEarlier(r *run, now time.Time) bool {
	t := r.task
	d := s.distribution(t.job, t.ref.Step)
	elapsed := now.Sub(r.startedAt)
	if d.Samples() < minLagRuns || r.progressPercent >= completePercent || elapsed < d.Quantile(progressQuantile) {
		return false
	}
	if r.stalled(now) {
		return true
	}
	remaining := r.remaining(d, now)
	projected, fresh := elapsed+remaining, d.Mean()
	if projected <= d.Quantile(lagQuantile) {
		return false
	}
	if s.judge(r, true).Common() {
		return false
	}
	// A second run beside the first one loses none of its work.
	if !t.step.AllowDuplicates {
		p := s.durations.restarts[t.job.Queue].probability()
		fresh = time.Duration(p*float64(fresh)+(1-p)*float64(projected)) + s.Settings.StopTimeout
	}
	if remaining <= fresh {
		return false
	}
	t.projected = projected
	return true
}

// judge records whether a run takes longer than almost all others, unless it was judged before,
// and returns what is known of the other runs of its queue.
func (s *Scheduler) judge(r *run, slow bool) *duration.Stragglers {
	queue := r.task.job.Queue
	if s.durations.stragglers == nil {
		s.durations.stragglers = make(map[string]*duration.Stragglers)
	}
	q := s.durations.stragglers[queue]
	if q == nil {
		q = &duration.Stragglers{}
		s.durations.stragglers[queue] = q
	}
	if !r.judged {
		r.judged = true
		q.Observe(slow)
	}
	return q
}

// stalled reports whether the run shows no progress although it should have by its progress
// so far.
func (r *run) stalled(now time.Time) bool {
	limit := stallTimeout
	if r.progressPercent > 0 {
		limit = max(limit, stallSteps*r.progressAt.Sub(r.startedAt)/time.Duration(r.progressPercent))
	}
	return now.Sub(r.progressAt) > limit
}

// remaining returns the expected remaining time of a run by its progress, or by the
// durations of other runs if it shows none.
func (r *run) remaining(d duration.Distribution, now time.Time) time.Duration {
	if r.progressPercent <= 0 {
		return d.Remaining(now.Sub(r.startedAt))
	}
	shown := r.progressAt.Sub(r.startedAt)
	return max(0, shown*time.Duration(completePercent-r.progressPercent)/time.Duration(r.progressPercent)-now.Sub(r.progressAt))
}

// recordRestart records whether the run of a task that lagged was faster than its earlier
// run was projected to be.
func (s *Scheduler) recordRestart(r *run, now time.Time) {
	t := r.task
	if t.projected == 0 || r.number != t.lastRun || len(t.runs) > 0 && t.runs[0] != r {
		return
	}
	if s.durations.restarts == nil {
		s.durations.restarts = make(map[string]*restartSuccess)
	}
	c := s.durations.restarts[t.job.Queue]
	if c == nil {
		c = &restartSuccess{}
		s.durations.restarts[t.job.Queue] = c
	}
	if c.all >= maxRestarts {
		c.faster, c.all = c.faster/2, c.all/2
	}
	c.all++
	if now.Sub(r.startedAt) < t.projected/2 {
		c.faster++
	}
	t.projected = 0
}
