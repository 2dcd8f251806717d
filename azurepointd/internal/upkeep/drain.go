package upkeep

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

var errOtherInstance = errors.New("upkeep: another instance answers at this address")

// fenceMargin is how much later than the owner another entry steps in.
const fenceMargin = time.Second

// step does what comes next for an instance, if anything.
func (u *Upkeep) step(ctx context.Context, s *sight, now time.Time) {
	if s.busy {
		return
	}
	switch s.instance.Phase {
	case fleet.Draining:
		u.drain(ctx, s, now)
	case fleet.Releasing:
		u.release(ctx, s, now)
	case fleet.Serving:
		u.undo(ctx, s, now)
	}
}

// drain takes a granted drain one step further.
func (u *Upkeep) drain(ctx context.Context, s *sight, now time.Time) {
	if !u.fresh(s, now) {
		return
	}
	if s.instance.Rebooting {
		// The log refuses to give the drain back, so the only way is forward.
		s.handBack, s.givenBack = "", false
	}
	state := s.status.State
	draining := state == endpointapi.EndpointStateDraining
	serving := state == endpointapi.EndpointStateServing
	switch {
	case !s.owned:
		u.fence(ctx, s, now)
	case serving && s.rebooted():
		u.finish(ctx, s)
	case draining && (s.rebooted() || s.handBack != ""):
		u.serve(ctx, s, now)
	case serving && s.handBack != "":
		u.giveBack(ctx, s)
	case serving:
		u.begin(ctx, s, now)
	case draining:
		u.reboot(ctx, s, now)
	}
}

// begin makes the endpoint refuse new tasks once it is idle and no grant is
// left, or when entries that do not know of the drain could still send tasks.
func (u *Upkeep) begin(ctx context.Context, s *sight, now time.Time) {
	idle := len(s.status.Running) == 0 && u.quiet(s, now)
	if !u.current() || !idle && now.Before(s.seenAt.Add(u.settings.FenceAfter)) {
		return
	}
	u.refuse(ctx, s, now)
}

// fence does the same for an owner that does nothing, once for each drain and
// only at its beginning, when this entry has just heard of it.
func (u *Upkeep) fence(ctx context.Context, s *sight, now time.Time) {
	since := now.Sub(s.seenAt)
	due := since >= u.settings.FenceAfter+fenceMargin && since < u.fenceEnds()
	serving := s.status.State == endpointapi.EndpointStateServing
	if !due || !serving || s.rebooted() || s.fenced || !u.current() {
		return
	}
	s.fenced = true
	u.refuse(ctx, s, now)
}

func (u *Upkeep) fenceEnds() time.Duration {
	return 2*u.settings.FenceAfter + 2*fenceMargin
}

func (u *Upkeep) refuse(ctx context.Context, s *sight, now time.Time) {
	event.DrainBegun.Log(log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave, "running": len(s.status.Running)})
	drainsBegun().Inc(1)
	u.call(ctx, s, "drain", now.Add(u.settings.StallLimit), u.Endpoints.Drain)
}

// reboot reboots an endpoint that has refused new tasks for a while, runs none
// and for which no grant is left: a task sent to a rebooting endpoint would end
// without a known outcome.
func (u *Upkeep) reboot(ctx context.Context, s *sight, now time.Time) {
	if !u.refusing(s, now) || len(s.status.Running) > 0 || !u.quiet(s, now) || !u.current() {
		return
	}
	if !s.instance.Rebooting {
		u.startReboot(ctx, s)
		return
	}
	s.backBy = now.Add(u.settings.BackWithin)
	event.RebootCalled.Log(log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave, "backBy": s.backBy})
	reboots().Inc(1)
	u.call(ctx, s, "reboot", now.Add(u.settings.StallLimit), u.Endpoints.Reboot)
}

// refusing tells whether the endpoint has refused new tasks for a while.
func (u *Upkeep) refusing(s *sight, now time.Time) bool {
	return !s.drainedAt.IsZero() && !now.Before(s.drainedAt.Add(u.settings.Dwell)) && s.askedAt.After(s.drainedAt)
}

// startReboot records the reboot before it begins: from then on nobody can give
// the drain back, not even a record that is still on its way to the log.
func (u *Upkeep) startReboot(ctx context.Context, s *sight) {
	fields := log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave}
	u.propose(ctx, u.once("startReboot", s), event.RebootRecorded, fields,
		fleet.Command{StartReboot: &fleet.StartReboot{Instance: s.instance.Name}})
}

// finish records that the instance serves again.
func (u *Upkeep) finish(ctx context.Context, s *sight) {
	commands := []fleet.Command{{FinishDrain: &fleet.FinishDrain{Instance: s.instance.Name}}}
	if s.instance.Failed {
		alive := fleet.Command{MarkAlive: &fleet.MarkAlive{Instance: s.instance.Name}}
		commands = append([]fleet.Command{alive}, commands...)
	}
	u.propose(ctx, u.once("finishDrain", s), event.DrainFinished, log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave}, commands...)
}

// serve makes an endpoint take tasks again. For a drain that is given back this
// comes before the record, so that no reboot can follow the record.
func (u *Upkeep) serve(ctx context.Context, s *sight, now time.Time) {
	if !u.current() {
		return
	}
	u.call(ctx, s, "cancelDrain", now.Add(u.settings.StallLimit), u.Endpoints.CancelDrain)
}

func (u *Upkeep) giveBack(ctx context.Context, s *sight) {
	fields := log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave, "reason": s.handBack}
	sent := u.propose(ctx, u.once("cancelDrain", s), event.DrainGivenBack, fields,
		fleet.Command{CancelDrain: &fleet.CancelDrain{Instance: s.instance.Name}})
	s.givenBack = s.givenBack || sent
}

// undo makes an endpoint serve that drains without a grant, after a call by an
// entry with an old view. An endpoint that drains for another reason, such as
// its own stop, is left alone: only one that was in a drain, or whose last change
// was the end of a move, is touched.
func (u *Upkeep) undo(ctx context.Context, s *sight, now time.Time) {
	if !s.owned || !s.closedByUpkeep() || !u.fresh(s, now) || u.Fleet.Leaving(s.instance.Name) {
		return
	}
	if s.status.State != endpointapi.EndpointStateDraining {
		return
	}
	event.DrainUndone.Log(log.Fields{"instance": s.instance.Name})
	u.serve(ctx, s, now)
}

// closedByUpkeep tells whether a drain or a move made the endpoint refuse tasks.
func (s *sight) closedByUpkeep() bool {
	moved := s.instance.Moved != 0 && s.instance.Moved == s.instance.Since
	return s.wasDrained || moved
}

// quiet tells whether no task can come any more under a grant given before the
// drain: none is known here, every live entry has the version, and the grants
// of earlier owners have ended or every entry reports none.
func (u *Upkeep) quiet(s *sight, now time.Time) bool {
	settled := s.heldAt.Add(settleMargin)
	held := !s.heldAt.IsZero() && !now.Before(settled) && !s.askedAt.Before(settled)
	if !held || u.Grants.InFlight(s.instance.Name) > 0 {
		return false
	}
	// An earlier report may have been followed by a grant from an entry that
	// did not have the version yet.
	if u.Reports != nil && u.Reports.None(s.instance.Name, s.instance.Since, s.heldAt) {
		return true
	}
	longest := u.settings.LongestGrant + u.settings.ClockError
	ended := !now.Before(s.heldAt.Add(longest))
	known := u.Reports == nil && !now.Before(u.pools[s.instance.Pool].Add(longest))
	return ended || known
}
