package schedule

import "time"

// minStartTimeout is the shortest time in which an order to start is to be carried out: the call
// takes as much of it as it may before it counts as unanswered.
const minStartTimeout = 700 * time.Millisecond

// ConfirmCancels records that all cancellations which were acknowledged before a time have been
// passed to CancelJob.
func (s *Scheduler) ConfirmCancels(asOf time.Time) {
	s.cancelsAsOf = latest(s.cancelsAsOf, asOf)
}

// StartsWithheld reports whether no task starts because the job of any may have been cancelled too
// long ago.
func (s *Scheduler) StartsWithheld(now time.Time) bool {
	return s.startTimeout(now) < minStartTimeout
}

// startTimeout returns how long after its creation an order to start may still be carried out.
func (s *Scheduler) startTimeout(now time.Time) (d time.Duration) {
	d = s.Settings.StartTimeout
	if s.Settings.CancelTimeout > 0 {
		d = min(d, s.Settings.CancelTimeout-now.Sub(s.cancelsAsOf))
	}
	return d
}
