package schedule

import (
	"slices"
	"time"
)

// Thresholds for lagging runs.
const (
	// stallTimeout is how long a run may show no progress. It spans two polls and
	// exceeds the duration of a short task.
	stallTimeout = 1500 * time.Millisecond
	// slowFactor times the usual duration is the remaining time above which a run is
	// given up: a new run on another endpoint takes the usual duration and the time
	// to start it. The usual duration is used only if it is the average of at least
	// slowFactor runs.
	slowFactor = 2
	// slowDuration is how long an endpoint counts as slow after a run lagged there.
	slowDuration = 2 * time.Second
	// completePercent is the progress of a finished task.
	completePercent = 100
)

// checkProgress gives up a run that lags, unless an earlier run of the task was given up
// for that reason.
func (s *Scheduler) checkProgress(r *run, now time.Time) {
	t := r.task
	if t.step.LongRunning || t.step.Gang || t.restartedForLag || r.stopRequested || !s.lags(r, now) {
		return
	}
	r.endpoint.slowUntil = now.Add(slowDuration)
	if !slices.Contains(t.avoidEndpoints, r.endpoint.ID) {
		t.avoidEndpoints = append(t.avoidEndpoints, r.endpoint.ID)
	}
	t.restartedForLag = true
	if t.step.AllowDuplicates {
		r.lagging = true
		return
	}
	s.requestStop(r)
}

// lags reports whether a run stalls or is so slow that a new run is likely to end earlier.
func (s *Scheduler) lags(r *run, now time.Time) bool {
	if !s.Settings.MeanDurations {
		return s.wouldEndEarlier(r, now)
	}
	usual := s.durationEstimates[r.task.job.Queue]
	return usual != nil && usual.count >= slowFactor &&
		isLagging(now.Sub(r.startedAt), now.Sub(r.progressAt), r.progressPercent, time.Duration(usual.mean)*time.Millisecond)
}

// isLagging reports whether a run lags, given its age, the time since its last
// progress, its progress in percent and the usual duration.
func isLagging(elapsed, sinceProgress time.Duration, percent int, usual time.Duration) bool {
	if percent >= completePercent || elapsed < usual {
		return false
	}
	if sinceProgress > stallTimeout && elapsed > stallTimeout+usual/2 {
		return true
	}
	if percent <= 0 {
		return false
	}
	remaining := elapsed * time.Duration(completePercent-percent) / time.Duration(percent)
	return remaining > slowFactor*usual
}
