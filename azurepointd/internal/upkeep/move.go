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

// released is the rule of section 7. Entries that are gone count until their
// lease and their grants have ended even if they had the version, because such
// an entry may be stopped with a task that it is about to send. The endpoint also
// refuses new tasks, so that its fence has risen when the next pool gets it. A
// silent instance that is marked as failed runs no task once every lease has
// ended.
func (u *Upkeep) released(s *sight, now time.Time) bool {
	if !u.goneEnded(now) {
		return false
	}
	if s.instance.Failed && !u.fresh(s, now) {
		ended := s.heldAt.Add(u.settings.LongestGrant + u.settings.ClockError)
		return !s.heldAt.IsZero() && !now.Before(ended)
	}
	return u.fresh(s, now) && len(s.status.Running) == 0 && u.refusing(s, now) && u.quiet(s, now)
}

// close makes the endpoint of a releasing instance refuse new tasks.
func (u *Upkeep) close(ctx context.Context, s *sight, now time.Time) {
	if u.fresh(s, now) && u.current() && s.status.State == endpointapi.EndpointStateServing {
		u.call(ctx, s, "drain", now.Add(u.settings.StallLimit), u.Endpoints.Drain)
	}
}
