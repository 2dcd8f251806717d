package upkeep

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

// follow remembers how the waves go on, also while this entry owns no pool.
func (u *Upkeep) follow(now time.Time) (o maintenance.Observation) {
	o = u.observe(now)
	u.progress = maintenance.Follow(u.state, o, now)
	o.Waves = u.progress
	return o
}

// plan grants drains, gives them back and stops waves.
func (u *Upkeep) plan(ctx context.Context, now time.Time) {
	o := u.follow(now)
	u.decision = maintenance.Decision{}
	if len(o.Owned) == 0 {
		return
	}
	u.decision = maintenance.Plan(u.state, o, now)
	u.setHandBacks(u.decision.HandBacks)
	for _, w := range u.decision.Waves {
		fields := log.Fields{"wave": w.Name, "state": string(w.State), "reason": w.Reason}
		u.propose(ctx, u.mine("setWave/"+w.Name), event.WaveStopped, fields, fleet.Command{SetWave: &w})
	}
	u.grant(ctx, u.decision.Grants)
}

func (u *Upkeep) setHandBacks(backs []maintenance.HandBack) {
	for _, s := range u.sights {
		if !s.givenBack {
			s.handBack = ""
		}
	}
	for _, b := range backs {
		if s := u.sights[b.Instance]; s != nil {
			s.handBack = b.Reason
		}
	}
}

// grant proposes the drains of each wave and pool as one change.
func (u *Upkeep) grant(ctx context.Context, grants []maintenance.Grant) {
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
		u.propose(ctx, u.mine("grantDrain/"+first.Wave+"/"+first.Pool), event.DrainsGranted, fields, commands...)
		grants = slices.DeleteFunc(grants, func(g maintenance.Grant) bool { return g.Wave == first.Wave && g.Pool == first.Pool })
	}
}

// observe says what this entry sees beyond the configuration.
func (u *Upkeep) observe(now time.Time) (o maintenance.Observation) {
	o = maintenance.Observation{
		DataCentre: u.Peers.Self().DataCentre,
		Owned:      []string{},
		Absent:     u.absent(now),
		Pools:      make(map[string]maintenance.PoolLoad),
		Instances:  make(map[string]maintenance.InstanceLoad, len(u.sights)),
		Waves:      u.progress,
	}
	for name := range u.state.Pools {
		if u.owns(name, now) {
			o.Owned = append(o.Owned, name)
		}
		if u.Loads == nil {
			continue
		}
		if l, known := u.Loads.Load(name); known {
			o.Pools[name] = l
		}
	}
	slices.Sort(o.Owned)
	for name, s := range u.sights {
		o.Instances[name] = u.load(name, s, now)
	}
	return o
}

func (u *Upkeep) load(name string, s *sight, now time.Time) (l maintenance.InstanceLoad) {
	l = maintenance.InstanceLoad{
		InFlight: u.Grants.InFlight(name),
		IdleAt:   u.Grants.OldestGrantEnds(name),
		Step:     s.drainStep(),
		Failing:  u.Health != nil && u.Health.Failing(name),
		Leaving:  u.Fleet.Leaving(name),
	}
	if s.overdue(now) {
		l.BackBy = s.backBy
	}
	if s.status != nil {
		l.InFlight = max(l.InFlight, len(s.status.Running))
		l.FreeSlots = max(0, s.status.Slots-l.InFlight)
	}
	return l
}

// drainStep is how far the drain is, as far as this entry can tell.
func (s *sight) drainStep() maintenance.Step {
	switch {
	case s.instance.Phase != fleet.Draining || s.status == nil || s.askedAt.Before(s.seenAt):
		return maintenance.StepUnknown
	case s.rebooted() || !s.backBy.IsZero() || s.status.State == endpointapi.EndpointStateRebooting:
		return maintenance.StepRebooting
	case s.status.State == endpointapi.EndpointStateDraining:
		return maintenance.StepDrained
	}
	return maintenance.StepWaiting
}
