package reconcile

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

// standbyFenceDelay is how much later than the owner another entry tells the endpoint
// of a drain to refuse new tasks.
const standbyFenceDelay = time.Second

// advance performs the next step for an instance, if any.
func (u *Controller) advance(ctx context.Context, s *instanceStatus, now time.Time) {
	if s.callPending {
		return
	}
	switch s.instance.Phase {
	case fleet.Draining:
		u.advanceDrain(ctx, s, now)
	case fleet.Releasing:
		u.advanceMove(ctx, s, now)
	case fleet.Serving:
		u.cancelUngrantedDrain(ctx, s, now)
	}
}

// advanceDrain performs the next step of a granted drain.
func (u *Controller) advanceDrain(ctx context.Context, s *instanceStatus, now time.Time) {
	if !u.hasFreshStatus(s, now) {
		return
	}
	if s.instance.Rebooting {
		// Once the reboot is recorded, the log refuses to cancel the drain.
		s.cancelReason, s.cancelProposed = "", false
	}
	state := s.endpointStatus.State
	draining := state == endpointapi.EndpointStateDraining
	serving := state == endpointapi.EndpointStateServing
	switch {
	case !s.owned:
		u.fenceForOwner(ctx, s, now)
	case serving && s.rebooted():
		u.proposeFinishDrain(ctx, s)
	case draining && (s.rebooted() || s.cancelReason != ""):
		u.cancelEndpointDrain(ctx, s, now)
	case serving && s.cancelReason != "":
		u.proposeCancelDrain(ctx, s)
	case serving:
		u.beginDrain(ctx, s, now)
	case draining:
		u.rebootEndpoint(ctx, s, now)
	}
}

// beginDrain tells the endpoint to refuse new tasks once it is idle and no grant is
// left. After FenceDelay it no longer waits for that, because entries that do not have
// the version of the drain could still send tasks.
func (u *Controller) beginDrain(ctx context.Context, s *instanceStatus, now time.Time) {
	idle := len(s.endpointStatus.Running) == 0 && u.grantsEnded(s, now)
	if !u.viewIsCurrent() || !idle && now.Before(s.phaseSeenAt.Add(u.settings.FenceDelay)) {
		return
	}
	u.drainEndpoint(ctx, s, now)
}

// fenceForOwner tells the endpoint to refuse new tasks if the owner has not done so. It
// does this once per drain and only within fenceWindow after this entry first saw the
// drain.
func (u *Controller) fenceForOwner(ctx context.Context, s *instanceStatus, now time.Time) {
	elapsed := now.Sub(s.phaseSeenAt)
	due := elapsed >= u.settings.FenceDelay+standbyFenceDelay && elapsed < u.fenceWindow()
	serving := s.endpointStatus.State == endpointapi.EndpointStateServing
	if !due || !serving || s.rebooted() || s.fencedForOwner || !u.viewIsCurrent() {
		return
	}
	s.fencedForOwner = true
	u.drainEndpoint(ctx, s, now)
}

// fenceWindow is how long after the beginning of a drain another entry may act for the
// owner.
func (u *Controller) fenceWindow() time.Duration {
	return 2*u.settings.FenceDelay + 2*standbyFenceDelay
}

func (u *Controller) drainEndpoint(ctx context.Context, s *instanceStatus, now time.Time) {
	event.DrainStarted.Log(log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave, "running": len(s.endpointStatus.Running)})
	drainsBegun().Inc(1)
	u.call(ctx, s, "drain", now.Add(u.settings.StallThreshold), u.Endpoints.Drain)
}

// rebootEndpoint reboots an endpoint that has refused new tasks for MinDrainingTime,
// runs none and has no grant left: a task sent to a rebooting endpoint would end
// without a known outcome.
func (u *Controller) rebootEndpoint(ctx context.Context, s *instanceStatus, now time.Time) {
	if !u.drainingLongEnough(s, now) || len(s.endpointStatus.Running) > 0 || !u.grantsEnded(s, now) || !u.viewIsCurrent() {
		return
	}
	if !s.instance.Rebooting {
		u.proposeStartReboot(ctx, s)
		return
	}
	s.rebootDeadline = now.Add(u.settings.RebootTimeout)
	event.RebootRequested.Log(log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave, "backBy": s.rebootDeadline})
	rebootsCalled().Inc(1)
	u.call(ctx, s, "reboot", now.Add(u.settings.StallThreshold), u.Endpoints.Reboot)
}

// drainingLongEnough reports whether the endpoint has refused new tasks for
// MinDrainingTime.
func (u *Controller) drainingLongEnough(s *instanceStatus, now time.Time) bool {
	return !s.drainingSince.IsZero() && !now.Before(s.drainingSince.Add(u.settings.MinDrainingTime)) && s.requestedAt.After(s.drainingSince)
}

// proposeStartReboot records the reboot before it begins. From then on the drain cannot
// be cancelled, not even by a change that was proposed earlier and has not reached the
// log yet.
func (u *Controller) proposeStartReboot(ctx context.Context, s *instanceStatus) {
	fields := log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave}
	incarnation := s.endpointStatus.Incarnation
	u.propose(ctx, u.proposalPerIncarnation("startReboot", s), event.RebootRecorded, fields,
		fleet.Command{StartReboot: &fleet.StartReboot{Instance: s.instance.Name, Incarnation: incarnation}})
}

// proposeFinishDrain records that the instance serves again after its reboot.
func (u *Controller) proposeFinishDrain(ctx context.Context, s *instanceStatus) {
	incarnation := s.endpointStatus.Incarnation
	commands := []fleet.Command{{FinishDrain: &fleet.FinishDrain{Instance: s.instance.Name, Incarnation: incarnation}}}
	if s.instance.Failed {
		markAlive := fleet.Command{MarkAlive: &fleet.MarkAlive{Instance: s.instance.Name}}
		commands = append([]fleet.Command{markAlive}, commands...)
	}
	u.propose(ctx, u.proposalPerIncarnation("finishDrain", s), event.DrainFinished, log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave}, commands...)
}

// cancelEndpointDrain tells an endpoint to take tasks again. When a drain is cancelled,
// this precedes the record, so that no reboot can follow the record.
func (u *Controller) cancelEndpointDrain(ctx context.Context, s *instanceStatus, now time.Time) {
	if !u.viewIsCurrent() {
		return
	}
	u.call(ctx, s, "cancelDrain", now.Add(u.settings.StallThreshold), u.Endpoints.CancelDrain)
}

func (u *Controller) proposeCancelDrain(ctx context.Context, s *instanceStatus) {
	fields := log.Fields{"instance": s.instance.Name, "wave": s.instance.Wave, "reason": s.cancelReason}
	sent := u.propose(ctx, u.proposalPerPhase("cancelDrain", s), event.DrainCancelled, fields,
		fleet.Command{CancelDrain: &fleet.CancelDrain{Instance: s.instance.Name}})
	s.cancelProposed = s.cancelProposed || sent
}

// cancelUngrantedDrain makes an endpoint serve that drains without a grant, after a
// call by an entry with an outdated view. An endpoint that drains for another reason,
// such as its own shutdown, is left alone: only one that was in a drain, or whose last
// change was the end of a move, is told to serve.
func (u *Controller) cancelUngrantedDrain(ctx context.Context, s *instanceStatus, now time.Time) {
	if !s.owned || !s.drainedByMaintenance() || !u.hasFreshStatus(s, now) || u.Fleet.Leaving(s.instance.Name) {
		return
	}
	if s.endpointStatus.State != endpointapi.EndpointStateDraining {
		return
	}
	event.UngrantedDrainCancelled.Log(log.Fields{"instance": s.instance.Name})
	u.cancelEndpointDrain(ctx, s, now)
}

// drainedByMaintenance reports whether a drain or a move may have made the endpoint refuse
// tasks. A drain that this entry has not seen left its wave in the configuration.
func (s *instanceStatus) drainedByMaintenance() bool {
	moved := s.instance.MovedVersion != 0 && s.instance.MovedVersion == s.instance.PhaseVersion
	return s.wasDrained || s.instance.CompletedWave != "" || moved
}

// grantsEnded reports whether no task can arrive any more under a grant issued before
// the drain: no grant is in flight here, every live entry has the version, and the
// grants of earlier owners have ended or every entry reports that it holds none.
func (u *Controller) grantsEnded(s *instanceStatus, now time.Time) bool {
	callsEndedAt := s.propagatedAt.Add(inFlightCallMargin)
	propagated := !s.propagatedAt.IsZero() && !now.Before(callsEndedAt) && !s.requestedAt.Before(callsEndedAt)
	if !propagated || u.Grants.InFlight(s.instance.Name) > 0 {
		return false
	}
	// An earlier report may have been followed by a grant from an entry that
	// did not have the version yet.
	if u.Reports != nil && u.Reports.None(s.instance.Name, s.instance.PhaseVersion, s.propagatedAt) {
		return true
	}
	maxGrant := u.settings.MaxGrantDuration + u.settings.ClockError
	ended := !now.Before(s.propagatedAt.Add(maxGrant))
	ownedLongEnough := u.Reports == nil && !now.Before(u.ownedSince[s.instance.Pool].Add(maxGrant))
	return ended || ownedLongEnough
}
