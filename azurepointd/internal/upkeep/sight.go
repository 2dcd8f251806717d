package upkeep

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

// settleMargin is how long after the last entry reported a version its own
// calls that began before it may still arrive; a call takes milliseconds.
const settleMargin = time.Second

// witnesses is how many instances of other owners are asked when an own one is
// silent, to tell whether this entry is cut off.
const witnesses = 8

// sight is what this entry has seen of one instance of its data centre.
type sight struct {
	instance fleet.Instance
	owned    bool
	witness  bool

	// The fields up to handBack are of the present phase.

	// seenAt is when this entry first saw the phase.
	seenAt time.Time
	// heldAt is since when every live entry has the version of the phase.
	heldAt time.Time
	// base is the endpoint's incarnation when the phase was first seen.
	base      int64
	baseKnown bool
	// drainedAt is when the endpoint was first seen to refuse new tasks.
	drainedAt time.Time
	// backBy is when the instance has to serve again after its reboot.
	backBy time.Time
	// fenced is set once this entry stepped in for the owner.
	fenced bool
	// handBack is why the drain is given back, and givenBack is set once that
	// was proposed: the record may take effect late, so nothing else may follow.
	handBack  string
	givenBack bool
	// actedAt is when a call other than for the status failed last; a status
	// that was asked for earlier may no longer hold.
	actedAt time.Time

	// wasDrained is set once this entry saw the instance in a drain.
	wasDrained bool
	status     *endpointapi.Status
	// askedAt and answeredAt are of the last answer.
	askedAt    time.Time
	answeredAt time.Time
	// aliveSince is since when the endpoint answers without a gap, or zero.
	aliveSince time.Time
	// missed counts the statuses that got no answer since the last that did.
	missed int
	// failAt is when the instance counts as failed unless it answers.
	failAt time.Time
	pollAt time.Time
	busy   bool
	// problem is why the last call failed, for the dump.
	problem string
}

// track brings the sights in line with the configuration.
func (u *Upkeep) track(now time.Time) {
	self := u.Peers.Self().DataCentre
	added := false
	for name, i := range u.state.Instances {
		if i.DataCentre != self {
			continue
		}
		s := u.sights[name]
		if s == nil {
			s = &sight{instance: i, seenAt: now}
			u.sights[name] = s
			added = true
		}
		u.update(s, i, now)
	}
	for name := range u.sights {
		if _, known := u.state.Instances[name]; !known {
			delete(u.sights, name)
		}
	}
	if len(u.order) != len(u.sights) || added {
		u.order = slices.SortedFunc(maps.Values(u.sights), func(a, b *sight) int {
			return strings.Compare(a.instance.Name, b.instance.Name)
		})
	}
}

func (u *Upkeep) update(s *sight, i fleet.Instance, now time.Time) {
	old := s.instance
	s.instance = i
	if old.Since != i.Since || old.Phase != i.Phase || old.Address != i.Address {
		u.spares.moved(old, i, s.seenAt, now, u.settings)
		s.seenAt, s.heldAt, s.drainedAt, s.backBy = now, time.Time{}, time.Time{}, time.Time{}
		s.base, s.baseKnown, s.fenced, s.handBack, s.givenBack = 0, false, false, "", false
		s.renew(now, u.settings)
	}
	s.wasDrained = s.wasDrained || i.Phase == fleet.Draining
	owned := u.owns(i.Pool, now)
	if owned && !s.owned {
		s.renew(now, u.settings)
	}
	s.owned = owned
	switch {
	case !u.allHave(i.Since):
		s.heldAt = time.Time{}
	case s.heldAt.IsZero():
		s.heldAt = now
	}
}

// renew lets the deadlines of an instance begin anew: its silence may be that
// of a phase which this entry has only just seen, or had other reasons while
// this entry did not watch.
func (s *sight) renew(now time.Time, settings Settings) {
	s.failAt, s.pollAt = now.Add(settings.FailAfter), now
	s.aliveSince, s.missed = time.Time{}, 0
	if !s.backBy.IsZero() {
		s.backBy = now.Add(settings.BackWithin)
	}
}

// poll asks the instances for their status that are due.
func (u *Upkeep) poll(ctx context.Context, now time.Time) {
	u.choose(now)
	for _, s := range u.order {
		if s.busy || now.Before(s.pollAt) || u.calls >= u.settings.Calls || !u.watches(s, now) {
			continue
		}
		s.pollAt = now.Add(u.every(s))
		u.call(ctx, s, "status", now.Add(u.settings.StallLimit), u.Endpoints.Status)
	}
}

// watches tells whether this entry asks the instance at all: its own, those of
// others at the beginning of a drain, and witnesses.
func (u *Upkeep) watches(s *sight, now time.Time) bool {
	if s.owned || s.witness {
		return true
	}
	return s.instance.Phase == fleet.Draining && now.Before(s.seenAt.Add(u.fenceEnds()))
}

func (u *Upkeep) every(s *sight) time.Duration {
	if s.instance.Phase == fleet.Serving && !s.instance.Failed {
		return u.settings.StatusEvery
	}
	return u.settings.ActiveEvery
}

// choose makes a few instances of other owners witnesses while an own one is
// silent.
func (u *Upkeep) choose(now time.Time) {
	silent, left := false, witnesses
	for _, s := range u.order {
		silent = silent || s.owned && now.After(s.failAt.Add(-u.settings.FailAfter/2))
		if s.witness {
			left--
		}
	}
	for _, s := range u.order {
		if !silent || s.owned {
			s.witness = false
			continue
		}
		if !s.witness && left > 0 && s.instance.Phase == fleet.Serving && !s.instance.Failed {
			s.witness = true
			s.failAt = now.Add(u.settings.FailAfter / 2)
			left--
		}
	}
}

// answer is the end of a call to an endpoint.
type answer struct {
	instance string
	what     string
	askedAt  time.Time
	status   *endpointapi.Status
	err      error
}

// call starts a call to an endpoint; it is not made after its deadline, when
// what it rests on may no longer hold.
func (u *Upkeep) call(ctx context.Context, s *sight, what string, until time.Time, f func(context.Context, string) (*endpointapi.Status, error)) {
	s.busy = true
	u.calls++
	name, address, timeout := s.instance.Name, s.instance.Address, u.settings.CallTimeout
	go func() {
		a := answer{instance: name, what: what, askedAt: time.Now()}
		if a.askedAt.After(until) {
			a.err = context.DeadlineExceeded
		} else {
			c, cancel := context.WithTimeout(ctx, timeout)
			a.status, a.err = f(c, address)
			cancel()
		}
		u.answers <- a
	}()
}

// answered takes in the end of a call and goes on with the instance.
func (u *Upkeep) answered(ctx context.Context, a answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.calls--
	s := u.sights[a.instance]
	if s == nil {
		return
	}
	s.busy = false
	if a.err == nil && a.status.Name != a.instance {
		a.err = errOtherInstance
	}
	if a.err != nil {
		u.unanswered(s, a, now)
		return
	}
	s.problem, s.missed = "", 0
	s.status, s.askedAt, s.answeredAt = a.status, a.askedAt, now
	if s.aliveSince.IsZero() {
		s.aliveSince = now
	}
	if a.status.State != endpointapi.EndpointStateRebooting {
		s.failAt = now.Add(u.settings.FailAfter)
	}
	u.learn(s, now)
	if ctx.Err() == nil && u.ready(now) {
		u.step(ctx, s, now)
	}
}

func (u *Upkeep) unanswered(s *sight, a answer, now time.Time) {
	s.problem = a.err.Error()
	if a.what != "status" {
		event.EndpointRefused.Log(log.Fields{"instance": a.instance, "call": a.what, "error": s.problem})
		s.actedAt = now
		return
	}
	s.aliveSince = time.Time{}
	s.missed++
	// A silent draining instance may have been rebooted by an earlier owner.
	if s.instance.Phase == fleet.Draining && s.owned && s.backBy.IsZero() {
		s.backBy = now.Add(u.settings.BackWithin)
	}
}

// learn remembers what a status says of the present phase.
func (u *Upkeep) learn(s *sight, now time.Time) {
	if s.instance.Phase == fleet.Serving || s.askedAt.Before(s.seenAt) {
		return
	}
	if !s.baseKnown {
		s.base, s.baseKnown = s.status.Incarnation, true
	}
	switch s.status.State {
	case endpointapi.EndpointStateDraining:
		if s.drainedAt.IsZero() {
			s.drainedAt = now
		}
		s.backBy = time.Time{}
	case endpointapi.EndpointStateServing:
		s.drainedAt = time.Time{}
		s.backBy = time.Time{}
	case endpointapi.EndpointStateRebooting:
		if s.backBy.IsZero() {
			s.backBy = now.Add(u.settings.BackWithin)
		}
	}
}

// rebooted tells whether the endpoint has a new incarnation in this drain.
func (s *sight) rebooted() bool {
	return s.baseKnown && s.status != nil && s.status.Incarnation > s.base
}

// fresh tells whether the last answer is recent and of the present phase.
func (u *Upkeep) fresh(s *sight, now time.Time) bool {
	limit := 2*u.every(s) + u.settings.CallTimeout
	return s.status != nil && !s.askedAt.Before(s.seenAt) && !s.askedAt.Before(s.actedAt) && now.Sub(s.answeredAt) <= limit && !s.aliveSince.IsZero()
}
