package reconcile

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// inFlightCallMargin is how long after an entry has reported a version its earlier calls
// may still reach an endpoint; a call takes milliseconds.
const inFlightCallMargin = time.Second

// maxProbes bounds the instances of other owners whose status is requested while an
// owned instance is silent, to tell whether this entry is cut off.
const maxProbes = 8

// instanceStatus is the observed state of one instance of this data centre.
type instanceStatus struct {
	instance fleet.Instance
	owned    bool
	probe    bool

	// The fields up to cancelProposed are reset when the phase changes.

	// phaseSeenAt is when this entry first saw the current phase.
	phaseSeenAt time.Time
	// propagatedAt is when every live entry first had the version at which the phase
	// began, or zero.
	propagatedAt time.Time
	// initialIncarnation is the incarnation of the endpoint when the phase was first
	// seen; a higher one shows a reboot.
	initialIncarnation      int64
	initialIncarnationKnown bool
	// drainingSince is when the endpoint was first seen to refuse new tasks.
	drainingSince time.Time
	// rebootDeadline is when the instance has to serve again after its reboot.
	rebootDeadline time.Time
	// fencedForOwner is set once this entry has told the endpoint to drain in place of
	// the owner.
	fencedForOwner bool
	// cancelReason is why the drain is cancelled. cancelProposed is set once the
	// cancellation was proposed: the record may take effect late, so no other step may
	// follow.
	cancelReason   string
	cancelProposed bool
	// callFailedAt is when a call other than a status call last failed; a status that
	// was requested earlier may be outdated.
	callFailedAt time.Time

	// wasDrained is set once this entry has seen the instance in a drain.
	wasDrained     bool
	endpointStatus *endpointapi.Status
	// requestedAt and receivedAt are the times of the last answered call.
	requestedAt time.Time
	receivedAt  time.Time
	// respondingSince is since when the endpoint answers without a gap, or zero.
	respondingSince time.Time
	// missedStatuses counts the status calls without an answer since the last answer.
	missedStatuses int
	// failureDeadline is when the instance counts as failed unless it answers.
	failureDeadline time.Time
	nextStatusAt    time.Time
	callPending     bool
	// lastError is why the last call failed, for the dump.
	lastError string
}

// updateInstances creates, updates and deletes instance statuses to match the
// configuration.
func (u *Controller) updateInstances(now time.Time) {
	self := u.Peers.Self().DataCentre
	added := false
	for name, i := range u.fleetState.Instances {
		if i.DataCentre != self {
			continue
		}
		s := u.instances[name]
		if s == nil {
			s = &instanceStatus{instance: i, phaseSeenAt: now}
			u.instances[name] = s
			added = true
		}
		u.updateInstance(s, i, now)
	}
	for name := range u.instances {
		if _, known := u.fleetState.Instances[name]; !known {
			delete(u.instances, name)
		}
	}
	if len(u.sortedInstances) != len(u.instances) || added {
		u.sortedInstances = slices.SortedFunc(maps.Values(u.instances), func(a, b *instanceStatus) int {
			return strings.Compare(a.instance.Name, b.instance.Name)
		})
	}
}

func (u *Controller) updateInstance(s *instanceStatus, i fleet.Instance, now time.Time) {
	previous := s.instance
	s.instance = i
	if previous.PhaseVersion != i.PhaseVersion || previous.Phase != i.Phase || previous.Address != i.Address {
		u.spares.recordMove(previous, i, s.phaseSeenAt, now, u.settings)
		s.phaseSeenAt, s.propagatedAt, s.drainingSince, s.rebootDeadline = now, time.Time{}, time.Time{}, time.Time{}
		s.initialIncarnation, s.initialIncarnationKnown, s.fencedForOwner, s.cancelReason, s.cancelProposed = 0, false, false, "", false
		s.resetDeadlines(now, u.settings)
	}
	s.wasDrained = s.wasDrained || i.Phase == fleet.Draining
	owned := u.ownsPool(i.Pool, now)
	if owned && !s.owned {
		s.resetDeadlines(now, u.settings)
	}
	s.owned = owned
	switch {
	case !u.allEntriesHave(i.PhaseVersion):
		s.propagatedAt = time.Time{}
	case s.propagatedAt.IsZero():
		s.propagatedAt = now
	}
}

// resetDeadlines restarts the deadlines of an instance: its silence may belong to a
// phase that this entry has only just seen, or may have had other causes while this
// entry did not monitor it.
func (s *instanceStatus) resetDeadlines(now time.Time, settings Settings) {
	s.failureDeadline, s.nextStatusAt = now.Add(settings.FailureTimeout), now
	s.respondingSince, s.missedStatuses = time.Time{}, 0
	if !s.rebootDeadline.IsZero() {
		s.rebootDeadline = now.Add(settings.RebootTimeout)
	}
}

// requestStatuses requests the status of each monitored instance that is due.
func (u *Controller) requestStatuses(ctx context.Context, now time.Time) {
	u.chooseProbes(now)
	for _, s := range u.sortedInstances {
		if s.callPending || now.Before(s.nextStatusAt) || u.pendingCalls >= u.settings.MaxConcurrentCalls || !u.monitors(s, now) {
			continue
		}
		s.nextStatusAt = now.Add(u.statusInterval(s))
		u.call(ctx, s, "status", now.Add(u.settings.StallThreshold), u.Endpoints.Status)
	}
}

// monitors reports whether this entry requests the status of the instance: it does for
// instances that it owns, for probes, and for instances of other owners at the
// beginning of a drain.
func (u *Controller) monitors(s *instanceStatus, now time.Time) bool {
	if s.owned || s.probe {
		return true
	}
	return s.instance.Phase == fleet.Draining && now.Before(s.phaseSeenAt.Add(u.fenceWindow()))
}

func (u *Controller) statusInterval(s *instanceStatus) time.Duration {
	if s.instance.Phase == fleet.Serving && !s.instance.Failed {
		return u.settings.StatusInterval
	}
	return u.settings.ActiveStatusInterval
}

// chooseProbes makes a few instances of other owners probes while an owned instance is
// silent.
func (u *Controller) chooseProbes(now time.Time) {
	silent, available := false, maxProbes
	for _, s := range u.sortedInstances {
		silent = silent || s.owned && now.After(s.failureDeadline.Add(-u.settings.FailureTimeout/2))
		if s.probe {
			available--
		}
	}
	for _, s := range u.sortedInstances {
		if !silent || s.owned {
			s.probe = false
			continue
		}
		if !s.probe && available > 0 && s.instance.Phase == fleet.Serving && !s.instance.Failed {
			s.probe = true
			s.failureDeadline = now.Add(u.settings.FailureTimeout / 2)
			available--
		}
	}
}

// callResult is the result of a call to an endpoint.
type callResult struct {
	instance       string
	operation      string
	requestedAt    time.Time
	endpointStatus *endpointapi.Status
	err            error
}

// call starts a call to an endpoint. The call is not sent after notAfter, when the
// observations behind it may no longer hold.
func (u *Controller) call(ctx context.Context, s *instanceStatus, operation string, notAfter time.Time, send func(context.Context, string) (*endpointapi.Status, error)) {
	s.callPending = true
	u.pendingCalls++
	name, address, timeout := s.instance.Name, s.instance.Address, u.settings.CallTimeout
	go func() {
		r := callResult{instance: name, operation: operation, requestedAt: time.Now()}
		if r.requestedAt.After(notAfter) {
			r.err = context.DeadlineExceeded
		} else {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			r.endpointStatus, r.err = send(callCtx, address)
			cancel()
		}
		u.callResults <- r
	}()
}

// handleCallResult records the result of a call and advances the instance.
func (u *Controller) handleCallResult(ctx context.Context, r callResult) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.pendingCalls--
	s := u.instances[r.instance]
	if s == nil {
		return
	}
	s.callPending = false
	if r.err == nil && r.endpointStatus.Name != r.instance {
		r.err = errOtherInstance
	}
	if r.err != nil {
		u.handleCallFailure(s, r, now)
		return
	}
	s.lastError, s.missedStatuses = "", 0
	s.endpointStatus, s.requestedAt, s.receivedAt = r.endpointStatus, r.requestedAt, now
	if s.respondingSince.IsZero() {
		s.respondingSince = now
	}
	if r.endpointStatus.State != endpointapi.EndpointStateRebooting {
		s.failureDeadline = now.Add(u.settings.FailureTimeout)
	}
	u.recordEndpointStatus(s, now)
	if ctx.Err() == nil && u.isReady(now) {
		u.advance(ctx, s, now)
	}
}

func (u *Controller) handleCallFailure(s *instanceStatus, r callResult, now time.Time) {
	s.lastError = r.err.Error()
	if r.operation != "status" {
		event.EndpointCallFailed.Log(log.Fields{"instance": r.instance, "call": r.operation, "error": s.lastError})
		s.callFailedAt = now
		return
	}
	s.respondingSince = time.Time{}
	s.missedStatuses++
	// An earlier owner may have rebooted a draining instance that does not answer.
	if s.instance.Phase == fleet.Draining && s.owned && s.rebootDeadline.IsZero() {
		s.rebootDeadline = now.Add(u.settings.RebootTimeout)
	}
}

// recordEndpointStatus records what a status shows about the current phase.
func (u *Controller) recordEndpointStatus(s *instanceStatus, now time.Time) {
	if s.instance.Phase == fleet.Serving || s.requestedAt.Before(s.phaseSeenAt) {
		return
	}
	if !s.initialIncarnationKnown {
		s.initialIncarnation, s.initialIncarnationKnown = s.endpointStatus.Incarnation, true
	}
	switch s.endpointStatus.State {
	case endpointapi.EndpointStateDraining:
		if s.drainingSince.IsZero() {
			s.drainingSince = now
		}
		s.rebootDeadline = time.Time{}
	case endpointapi.EndpointStateServing:
		s.drainingSince = time.Time{}
		s.rebootDeadline = time.Time{}
	case endpointapi.EndpointStateRebooting:
		if s.rebootDeadline.IsZero() {
			s.rebootDeadline = now.Add(u.settings.RebootTimeout)
		}
	}
}

// rebooted reports whether the incarnation of the endpoint has risen in this phase. The
// incarnation that was recorded with the reboot goes before the one that this entry saw
// first, which may be that of after the reboot.
func (s *instanceStatus) rebooted() bool {
	switch {
	case s.endpointStatus == nil:
		return false
	case s.instance.RebootingFrom > 0:
		return s.endpointStatus.Incarnation > s.instance.RebootingFrom
	}
	return s.initialIncarnationKnown && s.endpointStatus.Incarnation > s.initialIncarnation
}

// hasFreshStatus reports whether the last status is recent, and was requested in the
// current phase and not before a failed call.
func (u *Controller) hasFreshStatus(s *instanceStatus, now time.Time) bool {
	limit := 2*u.statusInterval(s) + u.settings.CallTimeout
	return s.endpointStatus != nil && !s.requestedAt.Before(s.phaseSeenAt) && !s.requestedAt.Before(s.callFailedAt) && now.Sub(s.receivedAt) <= limit && !s.respondingSince.IsZero()
}
