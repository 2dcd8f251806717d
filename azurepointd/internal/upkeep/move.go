package upkeep

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// release puts a releasing instance into its next pool once no task of the
// present pool runs or can still come.
func (u *Upkeep) release(ctx context.Context, s *sight, now time.Time) {
	if !s.owned {
		return
	}
	if !u.released(s, now) {
		u.close(ctx, s, now)
		return
	}
	fields := log.Fields{"instance": s.instance.Name, "from": s.instance.Pool, "to": s.instance.NextPool}
	u.propose(ctx, u.once("finishMove", s), event.MoveFinished, fields,
		fleet.Command{FinishMove: &fleet.FinishMove{Instance: s.instance.Name}})
}

// released tells whether no task of the present pool runs or can still start: the
// endpoint refuses new tasks and is idle, and the fence that rises when it takes
// tasks again keeps out those that are sent late. A silent instance that is marked
// as failed runs no task once every lease has ended.
func (u *Upkeep) released(s *sight, now time.Time) bool {
	if s.instance.Failed && !u.fresh(s, now) {
		ended := s.heldAt.Add(u.settings.LongestGrant + u.settings.ClockError)
		return u.goneEnded(now) && !s.heldAt.IsZero() && !now.Before(ended)
	}
	return u.fresh(s, now) && len(s.status.Running) == 0 && u.refusing(s, now)
}

// close makes the endpoint of a releasing instance refuse new tasks.
func (u *Upkeep) close(ctx context.Context, s *sight, now time.Time) {
	if u.fresh(s, now) && u.current() && s.status.State == endpointapi.EndpointStateServing {
		u.call(ctx, s, "drain", now.Add(u.settings.StallLimit), u.Endpoints.Drain)
	}
}
