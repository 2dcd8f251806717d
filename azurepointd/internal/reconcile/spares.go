package reconcile

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
	"github.com/azurepoint/azurepoint/coordination/spare"
)

// initialMoveTime is the assumed duration of a move until one has been observed.
const initialMoveTime = 30 * time.Second

// sampleInterval is how often demand is sampled: ten times per window.
const sampleInterval = spare.WindowLength / 10

// spareState holds the observations and the last plan for moves between pools.
type spareState struct {
	demand    spare.Recorder
	sampledAt time.Time
	plannedAt time.Time
	// meanMoveTime is the running mean of the observed moves.
	meanMoveTime time.Duration
	// holdUntil is until when an instance that has moved is not moved again, by name.
	holdUntil map[string]time.Time
	decision  spare.Decision
	// instanceValue is the estimated value of one more instance.
	instanceValue spare.Value
}

func (s *spareState) initialise(now time.Time) {
	s.meanMoveTime = initialMoveTime
	s.holdUntil = make(map[string]time.Time)
	s.plannedAt = now
}

// recordMove records an instance that has arrived in another pool.
func (s *spareState) recordMove(before, after fleet.Instance, startedAt, finishedAt time.Time, settings Settings) {
	if before.Pool == after.Pool || before.Phase != fleet.Releasing {
		return
	}
	// A move that waited for the grants of a lost entry to end says nothing about other
	// moves.
	if moveTime := finishedAt.Sub(startedAt); moveTime < settings.MaxGrantDuration {
		s.meanMoveTime += (moveTime - s.meanMoveTime) / 4
	}
	s.holdUntil[after.Name] = finishedAt.Add(spare.HoldFactor * s.meanMoveTime)
	moveMillis().Update(finishedAt.Sub(startedAt).Milliseconds())
}

// planSpares samples the demand of each pool and, if this entry owns the spare pool,
// proposes moves.
func (u *Controller) planSpares(ctx context.Context, now time.Time) {
	spares := &u.spares
	if u.Loads == nil || now.Before(spares.sampledAt.Add(sampleInterval)) {
		return
	}
	spares.sampledAt = now
	u.sampleDemand(now)
	if now.Before(spares.plannedAt.Add(spare.WindowLength)) || !u.ownsSparePool(now) {
		return
	}
	spares.plannedAt = now
	o := u.spareObservation(now)
	spares.decision = spare.Plan(u.fleetState, o, now)
	spares.instanceValue = spare.EstimateValue(u.fleetState, o, now)
	for _, m := range spares.decision.Moves {
		commands := []fleet.Command{{StartMove: &fleet.StartMove{Instance: m.Instance, Pool: m.To}}}
		if m.Swap != "" {
			commands = append(commands, fleet.Command{StartMove: &fleet.StartMove{Instance: m.Swap, Pool: m.From}})
		}
		fields := log.Fields{"instance": m.Instance, "from": m.From, "to": m.To, "swap": m.Swap, "reason": m.Reason}
		u.propose(ctx, u.proposalPerEntry("startMove/"+m.Instance), event.MoveStarted, fields, commands...)
	}
}

func (u *Controller) ownsSparePool(now time.Time) bool {
	for name, p := range u.fleetState.Pools {
		if p.Spare && u.ownsPool(name, now) {
			return true
		}
	}
	return false
}

// sampleDemand records the slots that each pool uses or has requests queued for.
func (u *Controller) sampleDemand(now time.Time) {
	slots := make(map[string]int)
	for _, s := range u.instances {
		if !maintenance.Unavailable(s.instance) {
			slots[s.instance.Pool] += s.instance.Slots
		}
	}
	for name := range u.fleetState.Pools {
		if l, known := u.Loads.Load(name); known {
			u.spares.demand.Observe(name, float64(max(0, slots[name]-l.FreeSlots)+l.Queued), now)
		}
	}
}

func (u *Controller) spareObservation(now time.Time) (o spare.Observation) {
	o = spare.Observation{
		DataCentre:   u.Peers.Self().DataCentre,
		Demand:       u.spares.demand.Demand(),
		Instances:    make(map[string]spare.InstanceLoad, len(u.instances)),
		MoveDuration: u.spares.meanMoveTime,
	}
	for name, s := range u.instances {
		l := u.instanceLoad(name, s, now)
		o.Instances[name] = spare.InstanceLoad{
			InFlight: l.InFlight, IdleAt: l.IdleAt, HoldUntil: u.spares.holdUntil[name], PlannedRemoval: l.Leaving,
		}
	}
	for name, until := range u.spares.holdUntil {
		if until.Before(now) {
			delete(u.spares.holdUntil, name)
		}
	}
	return o
}
