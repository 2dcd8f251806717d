package schedule

import (
	"slices"
	"time"
)

// LossCause is how it became known that all runs of an endpoint have ended.
type LossCause string

// Causes of a loss.
const (
	// LossLeaseExpired means that the endpoint did not answer until its lease had expired.
	// It may have crashed or only be unreachable.
	LossLeaseExpired LossCause = "leaseExpired"
	// LossRestarted means that another process answers under the endpoint's identifier.
	LossRestarted LossCause = "restarted"
	// LossReplaced means that another endpoint has the address or the instance.
	LossReplaced LossCause = "replaced"
	// LossReleased means that the platform has moved or maintained the instance by order.
	LossReleased LossCause = "released"
)

// EndpointLoss describes an endpoint whose runs have ended with it; it is meant for logs
// and metrics.
type EndpointLoss struct {
	Endpoint, Pool, Instance string
	Cause                    LossCause
	Runs                     int
	// UnresponsiveSince is the time of the first unanswered call; zero if there is none.
	UnresponsiveSince time.Time
}

// endLostRuns ends all runs of an endpoint as lost.
func (s *Scheduler) endLostRuns(e *endpoint, cause LossCause, now time.Time) {
	s.endRuns(e, cause, now, func(*run) bool { return true })
}

// endRuns ends those runs of an endpoint as lost that match.
func (s *Scheduler) endRuns(e *endpoint, cause LossCause, now time.Time, matches func(r *run) bool) {
	lost := slices.DeleteFunc(sortedRuns(e), func(r *run) bool { return !matches(r) })
	if len(lost) > 0 && s.OnEndpointLoss != nil {
		s.OnEndpointLoss(EndpointLoss{
			Endpoint: e.ID, Pool: e.Pool, Instance: e.Instance, Cause: cause, Runs: len(lost), UnresponsiveSince: e.unresponsiveSince,
		})
	}
	for _, r := range lost {
		s.Counts.Lost++
		s.endRun(r, "lost", now)
	}
	clear(e.unknownRuns)
}
