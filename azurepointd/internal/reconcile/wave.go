package reconcile

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
)

// updateProgress records the progress of the waves, also while this entry owns no pool.
func (u *Controller) updateProgress(now time.Time) (o maintenance.Observation) {
	o = u.observation(now)
	u.waveProgress = maintenance.UpdateProgress(u.fleetState, o, now)
	o.Waves = u.waveProgress
	return o
}

// planWaves grants and cancels drains, and halts or ends waves.
func (u *Controller) planWaves(ctx context.Context, now time.Time) {
	o := u.updateProgress(now)
	u.waveDecision = maintenance.Decision{}
	if len(o.OwnedPools) == 0 {
		return
	}
	u.waveDecision = maintenance.Plan(u.fleetState, o, now)
	u.setCancelReasons(u.waveDecision.Cancellations)
	for _, w := range u.waveDecision.Waves {
		fields := log.Fields{"wave": w.Name, "state": string(w.State), "reason": w.Reason}
		u.propose(ctx, u.proposalPerEntry("setWave/"+w.Name), event.WaveStopped, fields, fleet.Command{SetWave: &w})
	}
	u.proposeGrants(ctx, u.waveDecision.Grants)
}

func (u *Controller) setCancelReasons(handBacks []maintenance.DrainCancellation) {
	for _, s := range u.instances {
		if !s.cancelProposed {
			s.cancelReason = ""
		}
	}
	for _, b := range handBacks {
		if s := u.instances[b.Instance]; s != nil {
			s.cancelReason = b.Reason
		}
	}
}

// proposeGrants proposes the drains of each wave and pool as one change.
func (u *Controller) proposeGrants(ctx context.Context, grants []maintenance.Grant) {
	for len(grants) > 0 {
		first := grants[0]
		var commands []fleet.Command
		var names []string
		for _, g := range grants {
			if g.Wave == first.Wave && g.Pool == first.Pool {
				names = append(names, g.Instance)
				commands = append(commands, fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: g.Instance, Wave: g.Wave}})
			}
		}
		fields := log.Fields{"wave": first.Wave, "pool": first.Pool, "instances": names}
		u.propose(ctx, u.proposalPerEntry("grantDrain/"+first.Wave+"/"+first.Pool), event.DrainsGranted, fields, commands...)
		grants = slices.DeleteFunc(grants, func(g maintenance.Grant) bool { return g.Wave == first.Wave && g.Pool == first.Pool })
	}
}

// observation returns the observed state that the configuration does not contain.
func (u *Controller) observation(now time.Time) (o maintenance.Observation) {
	o = maintenance.Observation{
		DataCentre:             u.Peers.Self().DataCentre,
		OwnedPools:             []string{},
		UnavailableDataCentres: u.absentDataCentres(now),
		Pools:                  make(map[string]maintenance.PoolObservation),
		Instances:              make(map[string]maintenance.InstanceObservation, len(u.instances)),
		Waves:                  u.waveProgress,
	}
	for name := range u.fleetState.Pools {
		if u.ownsPool(name, now) {
			o.OwnedPools = append(o.OwnedPools, name)
		}
		if u.Loads == nil {
			continue
		}
		if l, known := u.Loads.Load(name); known {
			o.Pools[name] = l
		}
	}
	slices.Sort(o.OwnedPools)
	for name, s := range u.instances {
		o.Instances[name] = u.instanceLoad(name, s, now)
	}
	return o
}

func (u *Controller) instanceLoad(name string, s *instanceStatus, now time.Time) (l maintenance.InstanceObservation) {
	l = maintenance.InstanceObservation{
		InFlight: u.Grants.InFlight(name),
		IdleAt:   u.Grants.LastGrantEnd(name),
		Step:     s.drainStep(),
		Failing:  u.Health != nil && u.Health.Failing(name),
		Leaving:  u.Fleet.Leaving(name),
	}
	if s.rebootOverdue(now) {
		l.RebootDeadline = s.rebootDeadline
	}
	if s.endpointStatus != nil {
		l.InFlight = max(l.InFlight, len(s.endpointStatus.Running))
		l.FreeSlots = max(0, s.endpointStatus.Slots-l.InFlight)
	}
	return l
}

// drainStep returns how far a drain has advanced, as far as this entry has observed it.
func (s *instanceStatus) drainStep() maintenance.Step {
	switch {
	case s.instance.Phase != fleet.Draining || s.endpointStatus == nil || s.requestedAt.Before(s.phaseSeenAt):
		return maintenance.StepUnknown
	case s.rebooted() || !s.rebootDeadline.IsZero() || s.endpointStatus.State == endpointapi.EndpointStateRebooting:
		return maintenance.StepRebooting
	case s.endpointStatus.State == endpointapi.EndpointStateDraining:
		return maintenance.StepDrained
	}
	return maintenance.StepWaiting
}
