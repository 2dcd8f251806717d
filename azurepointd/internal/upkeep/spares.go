package upkeep

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
	"github.com/azurepoint/azurepoint/coordination/spare"
)

// firstMoveTakes is how long a move is taken to take before one was seen.
const firstMoveTakes = 30 * time.Second

// sampleEvery is how often demand is sampled: ten times in a window.
const sampleEvery = spare.WindowLength / 10

// spares is what the owner of the spare pool remembers.
type spares struct {
	demand    spare.Recorder
	sampledAt time.Time
	plannedAt time.Time
	// moveTakes is the running mean of the moves seen.
	moveTakes time.Duration
	holds     map[string]time.Time
	decision  spare.Decision
	worth     spare.Value
}

func (p *spares) start(now time.Time) {
	p.moveTakes = firstMoveTakes
	p.holds = make(map[string]time.Time)
	p.plannedAt = now
}

// moved learns from an instance that has come to another pool.
func (p *spares) moved(old, now fleet.Instance, began, at time.Time, settings Settings) {
	if old.Pool == now.Pool || old.Phase != fleet.Releasing {
		return
	}
	// A move that waited for the grants of a lost entry says nothing of others.
	if took := at.Sub(began); took < settings.LongestGrant {
		p.moveTakes += (took - p.moveTakes) / 4
	}
	p.holds[now.Name] = at.Add(spare.HoldMoves * p.moveTakes)
	moveMillis().Update(at.Sub(began).Milliseconds())
}

// planSpares samples the demand of each pool, and as the owner of the spare
// pool proposes moves.
func (u *Upkeep) planSpares(ctx context.Context, now time.Time) {
	p := &u.spares
	if u.Loads == nil || now.Before(p.sampledAt.Add(sampleEvery)) {
		return
	}
	p.sampledAt = now
	u.sample(now)
	if now.Before(p.plannedAt.Add(spare.WindowLength)) || !u.ownsSpare(now) {
		return
	}
	p.plannedAt = now
	o := u.observeSpares(now)
	p.decision = spare.Plan(u.state, o, now)
	p.worth = spare.Worth(u.state, o, now)
	for _, m := range p.decision.Moves {
		commands := []fleet.Command{{StartMove: &fleet.StartMove{Instance: m.Instance, Pool: m.To}}}
		if m.Swap != "" {
			commands = append(commands, fleet.Command{StartMove: &fleet.StartMove{Instance: m.Swap, Pool: m.From}})
		}
		fields := log.Fields{"instance": m.Instance, "from": m.From, "to": m.To, "swap": m.Swap, "reason": m.Reason}
		u.propose(ctx, u.mine("startMove/"+m.Instance), event.MoveStarted, fields, commands...)
	}
}

func (u *Upkeep) ownsSpare(now time.Time) bool {
	for name, p := range u.state.Pools {
		if p.Spare && u.owns(name, now) {
			return true
		}
	}
	return false
}

// sample records the slots that each pool uses or has requests waiting for.
func (u *Upkeep) sample(now time.Time) {
	slots := make(map[string]int)
	for _, s := range u.sights {
		if !maintenance.Unavailable(s.instance) {
			slots[s.instance.Pool] += s.instance.Slots
		}
	}
	for name := range u.state.Pools {
		if l, known := u.Loads.Load(name); known {
			u.spares.demand.Observe(name, float64(max(0, slots[name]-l.FreeSlots)+l.Queued), now)
		}
	}
}

func (u *Upkeep) observeSpares(now time.Time) (o spare.Observation) {
	o = spare.Observation{
		DataCentre: u.Peers.Self().DataCentre,
		Demand:     u.spares.demand.Demand(),
		Instances:  make(map[string]spare.InstanceLoad, len(u.sights)),
		MoveTakes:  u.spares.moveTakes,
	}
	for name, s := range u.sights {
		l := u.load(name, s, now)
		o.Instances[name] = spare.InstanceLoad{
			InFlight: l.InFlight, IdleAt: l.IdleAt, HoldUntil: u.spares.holds[name], Leaving: l.Leaving,
		}
	}
	for name, until := range u.spares.holds {
		if until.Before(now) {
			delete(u.spares.holds, name)
		}
	}
	return o
}
