package reconcile

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// advanceMove moves a releasing instance into its next pool once no task of its current
// pool runs or can still arrive.
func (u *Controller) advanceMove(ctx context.Context, s *instanceStatus, now time.Time) {
	if !s.owned {
		return
	}
	if !u.canFinishMove(s, now) {
		u.drainReleasing(ctx, s, now)
		return
	}
	fields := log.Fields{"instance": s.instance.Name, "from": s.instance.Pool, "to": s.instance.NextPool}
	u.propose(ctx, u.proposalPerPhase("finishMove", s), event.MoveFinished, fields,
		fleet.Command{FinishMove: &fleet.FinishMove{Instance: s.instance.Name}})
}

// canFinishMove implements the rule of section 7 of the design. Departed entries count
// until their leases and grants have ended, even if they had the version, because such
// an entry may be suspended just before it sends a task. The endpoint also has to
// refuse new tasks, so that its fencing token has risen when the next pool gets it. A
// silent instance that is marked as failed runs no task once every lease has ended.
func (u *Controller) canFinishMove(s *instanceStatus, now time.Time) bool {
	if !u.departedGrantsExpired(now) {
		return false
	}
	if s.instance.Failed && !u.hasFreshStatus(s, now) {
		ended := s.propagatedAt.Add(u.settings.MaxGrantDuration + u.settings.ClockError)
		return !s.propagatedAt.IsZero() && !now.Before(ended)
	}
	return u.hasFreshStatus(s, now) && len(s.endpointStatus.Running) == 0 && u.drainingLongEnough(s, now) && u.grantsEnded(s, now)
}

// drainReleasing tells the endpoint of a releasing instance to refuse new tasks.
func (u *Controller) drainReleasing(ctx context.Context, s *instanceStatus, now time.Time) {
	if u.hasFreshStatus(s, now) && u.viewIsCurrent() && s.endpointStatus.State == endpointapi.EndpointStateServing {
		u.call(ctx, s, "drain", now.Add(u.settings.StallThreshold), u.Endpoints.Drain)
	}
}
