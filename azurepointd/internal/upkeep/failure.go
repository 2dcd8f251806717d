package upkeep

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
)

// mark records failures and returns.
//
// When most of the endpoints that this entry asks are silent at once, it may
// be the one that is cut off. It then marks instances only until the budget of
// their pool is spent: that stops maintenance, which is what a real failure
// calls for, and leaves the pool its other instances in case they are well. It
// marks one of a pool for each version, because the owners in other data centres
// may do the same.
func (u *Upkeep) mark(ctx context.Context, now time.Time) {
	u.judgeSelf(now)
	left := u.budgets()
	for _, s := range u.order {
		switch {
		case !s.owned:
		case s.instance.Failed:
			u.revive(ctx, s, now)
		case s.failed(now):
			u.markFailed(ctx, s, left)
		}
	}
}

func (u *Upkeep) markFailed(ctx context.Context, s *sight, left map[string]int) {
	p := u.now("markFailed", s)
	if u.cutOff && !maintenance.Unavailable(s.instance) {
		if left[s.instance.Pool] <= 0 {
			return
		}
		left[s.instance.Pool] = 0
		p = u.mine("markFailed/" + s.instance.Pool)
	}
	u.propose(ctx, p, event.InstanceFailed, log.Fields{"instance": s.instance.Name, "problem": s.problem},
		fleet.Command{MarkFailed: &fleet.MarkFailed{Instance: s.instance.Name}})
}

// judgeSelf decides whether this entry may be cut off from the endpoints; with
// fewer than three it cannot tell.
func (u *Upkeep) judgeSelf(now time.Time) {
	asked, silent := 0, 0
	for _, s := range u.sights {
		if !s.owned && !s.witness || s.instance.Failed || s.instance.Phase != fleet.Serving {
			continue
		}
		asked++
		if s.failed(now) {
			silent++
		}
	}
	cutOff := asked >= 3 && 2*silent > asked
	if cutOff && !u.cutOff {
		event.MostUnreachable.Log(log.Fields{"silent": silent, "asked": asked})
	}
	u.cutOff = cutOff
}

// budgets returns what is left of each pool's budget.
func (u *Upkeep) budgets() (left map[string]int) {
	left = make(map[string]int, len(u.state.Pools))
	for name, p := range u.state.Pools {
		left[name] = p.Budget
	}
	for _, i := range u.state.Instances {
		if maintenance.Unavailable(i) {
			left[i.Pool]--
		}
	}
	return left
}

// missedLimit is how many statuses in a row get no answer before an instance
// counts as failed; one may be lost in a short stop of this entry.
const missedLimit = 2

// failed tells whether the instance is silent for too long, or not back from
// its reboot in time.
func (s *sight) failed(now time.Time) bool {
	if !s.backBy.IsZero() {
		return s.overdue(now)
	}
	return !s.failAt.IsZero() && !now.Before(s.failAt) && s.missed >= missedLimit
}

// overdue tells whether the instance should be back from its reboot but is
// silent or still reboots.
func (s *sight) overdue(now time.Time) bool {
	rebooting := s.status != nil && s.status.State == endpointapi.EndpointStateRebooting && !s.aliveSince.IsZero()
	return !s.backBy.IsZero() && !now.Before(s.backBy) && (s.missed >= missedLimit || rebooting)
}

// revive records that a failed instance answers again. The end of a drain
// records it too.
func (u *Upkeep) revive(ctx context.Context, s *sight, now time.Time) {
	steady := !s.aliveSince.IsZero() && !now.Before(s.aliveSince.Add(u.settings.AliveAfter))
	if !steady || !u.fresh(s, now) || s.status.State != endpointapi.EndpointStateServing || s.rebooted() {
		return
	}
	u.propose(ctx, u.now("markAlive", s), event.InstanceBack, log.Fields{"instance": s.instance.Name},
		fleet.Command{MarkAlive: &fleet.MarkAlive{Instance: s.instance.Name}})
}
