package reconcile

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
)

// recordFailures proposes to mark instances that have failed and those that serve
// again.
//
// When most of the monitored endpoints are silent at once, this entry itself may be cut
// off. It then marks instances only until the budget of their pool is spent: that stops
// maintenance, as a real failure requires, and leaves the pool its other instances in
// case they are healthy. It marks one instance per pool and version, because the owners
// in other data centres may do the same.
func (u *Controller) recordFailures(ctx context.Context, now time.Time) {
	u.detectIsolation(now)
	budgets := u.remainingBudgets()
	for _, s := range u.sortedInstances {
		switch {
		case !s.owned:
		case s.instance.Failed:
			u.proposeMarkAlive(ctx, s, now)
		case s.hasFailed(now):
			u.proposeMarkFailed(ctx, s, budgets)
		}
	}
}

func (u *Controller) proposeMarkFailed(ctx context.Context, s *instanceStatus, budgets map[string]int) {
	p := u.proposalPerVersion("markFailed", s)
	if u.cutOff && !maintenance.Unavailable(s.instance) {
		if budgets[s.instance.Pool] <= 0 {
			return
		}
		budgets[s.instance.Pool] = 0
		p = u.proposalPerEntry("markFailed/" + s.instance.Pool)
	}
	u.propose(ctx, p, event.InstanceFailed, log.Fields{"instance": s.instance.Name, "problem": s.lastError},
		fleet.Command{MarkFailed: &fleet.MarkFailed{Instance: s.instance.Name}})
}

// detectIsolation decides whether this entry may be cut off from the endpoints. With
// fewer than three monitored instances it cannot tell.
func (u *Controller) detectIsolation(now time.Time) {
	monitored, silent := 0, 0
	for _, s := range u.instances {
		if !s.owned && !s.probe || s.instance.Failed || s.instance.Phase != fleet.Serving {
			continue
		}
		monitored++
		if s.hasFailed(now) {
			silent++
		}
	}
	cutOff := monitored >= 3 && 2*silent > monitored
	if cutOff && !u.cutOff {
		event.MostEndpointsUnreachable.Log(log.Fields{"silent": silent, "asked": monitored})
	}
	u.cutOff = cutOff
}

// remainingBudgets returns what is left of each pool's budget.
func (u *Controller) remainingBudgets() (budgets map[string]int) {
	budgets = make(map[string]int, len(u.fleetState.Pools))
	for name, p := range u.fleetState.Pools {
		budgets[name] = p.Budget
	}
	for _, i := range u.fleetState.Instances {
		if maintenance.Unavailable(i) {
			budgets[i.Pool]--
		}
	}
	return budgets
}

// missedStatusLimit is how many consecutive status calls have to get no answer before
// an instance counts as failed; one may be lost while this entry briefly does not run.
const missedStatusLimit = 2

// hasFailed reports whether the instance has been silent for too long, or is not back
// from its reboot in time.
func (s *instanceStatus) hasFailed(now time.Time) bool {
	if !s.rebootDeadline.IsZero() {
		return s.rebootOverdue(now)
	}
	return !s.failureDeadline.IsZero() && !now.Before(s.failureDeadline) && s.missedStatuses >= missedStatusLimit
}

// rebootOverdue reports whether the deadline of the reboot has passed and the instance
// is silent or still reboots.
func (s *instanceStatus) rebootOverdue(now time.Time) bool {
	rebooting := s.endpointStatus != nil && s.endpointStatus.State == endpointapi.EndpointStateRebooting && !s.respondingSince.IsZero()
	return !s.rebootDeadline.IsZero() && !now.Before(s.rebootDeadline) && (s.missedStatuses >= missedStatusLimit || rebooting)
}

// proposeMarkAlive records that a failed instance answers again. proposeFinishDrain
// records it too, at the end of a drain.
func (u *Controller) proposeMarkAlive(ctx context.Context, s *instanceStatus, now time.Time) {
	recovered := !s.respondingSince.IsZero() && !now.Before(s.respondingSince.Add(u.settings.RecoveryDelay))
	if !recovered || !u.hasFreshStatus(s, now) || s.endpointStatus.State != endpointapi.EndpointStateServing || s.rebooted() {
		return
	}
	u.propose(ctx, u.proposalPerVersion("markAlive", s), event.InstanceRecovered, log.Fields{"instance": s.instance.Name},
		fleet.Command{MarkAlive: &fleet.MarkAlive{Instance: s.instance.Name}})
}
