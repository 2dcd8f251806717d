package schedule

import (
	"slices"
	"time"
)

// Signs of a run that lags.
const (
	// stuckAfter is how long a run may show no progress: two looks, and more than a
	// short task takes.
	stuckAfter = 1500 * time.Millisecond
	// slowFactor times the usual duration is the time left from which a run is given
	// up: a new run elsewhere takes the usual duration, and the way there.
	slowFactor = 2
	// lagPenalty is how long an endpoint counts as slow after a run lagged there.
	lagPenalty = 2 * time.Second
	// done is the progress of a task that is over, in percent.
	done = 100
)

// judgeProgress gives up a run that stands still or is far slower than others of
// its queue, if the task was not given up before.
func (s *Scheduler) judgeProgress(r *run, now time.Time) {
	t := r.task
	usual := s.learned[t.job.Queue]
	if t.step.LongRunning || t.step.Gang || t.rescued || r.stopWanted || usual == nil || usual.count < slowFactor {
		return
	}
	took := now.Sub(r.startedAt)
	if !lags(took, now.Sub(r.percentAt), r.percent, time.Duration(usual.mean)*time.Millisecond) {
		return
	}
	r.endpoint.lagsUntil = now.Add(lagPenalty)
	if !slices.Contains(t.avoid, r.endpoint.ID) {
		t.avoid = append(t.avoid, r.endpoint.ID)
	}
	t.rescued = true
	if t.step.AllowDuplicates {
		r.lags = true
		return
	}
	s.stop(r)
}

// lags tells whether a run lags by its age, the time without progress, its
// progress in percent and the usual duration.
func lags(took, still time.Duration, percent int, usual time.Duration) bool {
	if percent >= done || took < usual {
		return false
	}
	if still > stuckAfter && took > stuckAfter+usual/2 {
		return true
	}
	if percent <= 0 {
		return false
	}
	left := took * time.Duration(done-percent) / time.Duration(percent)
	return left > slowFactor*usual
}
