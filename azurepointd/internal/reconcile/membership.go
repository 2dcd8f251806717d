package reconcile

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/membership"
)

// membershipView is the observed state of the other entries, live or departed.
type membershipView struct {
	live []membership.Entry
	// departed holds the last record of each entry of the data centre that is no longer
	// live, by name.
	departed map[string]membership.Entry
	// unobservedUntil is until when other entries may have been live without being
	// observed, because this one had not started or did not run.
	unobservedUntil time.Time
	// othersReachable is set while another entry is live, in any data centre;
	// othersSeen is set once one has been.
	othersReachable bool
	othersSeen      bool
	// highestVersion is the highest version that another live entry has reported.
	highestVersion int64
}

// updateMembership updates the view of the other entries and the pools that this one
// owns.
func (u *Controller) updateMembership(now time.Time) {
	v := &u.membership
	previous := v.live
	v.live = u.Peers.Live()
	v.othersReachable, v.highestVersion = false, 0
	self := u.Peers.Self()
	for _, l := range v.live {
		if l.Name != self.Name {
			v.recordEntry(l)
		}
	}
	for _, dataCentre := range u.remoteDataCentres() {
		u.recordDataCentre(dataCentre, now)
	}
	v.updateDeparted(previous, now.Add(-u.settings.MaxGrantDuration-u.settings.ClockError))
	u.updateOwnership(self, now)
}

func (v *membershipView) recordEntry(l membership.Entry) {
	v.othersReachable, v.othersSeen = true, true
	v.highestVersion = max(v.highestVersion, l.Version)
}

// updateDeparted keeps the entries that are no longer live until their grants have
// ended.
func (v *membershipView) updateDeparted(previous []membership.Entry, expiredBefore time.Time) {
	if v.departed == nil {
		v.departed = make(map[string]membership.Entry)
	}
	for _, b := range previous {
		v.departed[b.Name] = b
	}
	for _, l := range v.live {
		delete(v.departed, l.Name)
	}
	for name, g := range v.departed {
		if g.AliveUntil.Before(expiredBefore) {
			delete(v.departed, name)
		}
	}
}

func (u *Controller) remoteDataCentres() (names []string) {
	seen := make(map[string]bool)
	own := u.Peers.Self().DataCentre
	for _, i := range u.fleetState.Instances {
		if i.DataCentre != own && !seen[i.DataCentre] {
			seen[i.DataCentre] = true
			names = append(names, i.DataCentre)
		}
	}
	return names
}

func (u *Controller) recordDataCentre(dataCentre string, now time.Time) {
	version := int64(-1)
	for _, r := range u.Peers.Remote(dataCentre) {
		u.membership.recordEntry(r)
		version = max(version, r.Version)
	}
	l := u.remoteVersions[dataCentre]
	switch {
	case version < 0:
		u.remoteVersions[dataCentre] = &remoteVersion{version: version, absentFrom: now}
	case l == nil || version > l.version || version >= u.fleetState.Version:
		u.remoteVersions[dataCentre] = &remoteVersion{version: version, absentFrom: now.Add(u.settings.AbsenceTimeout)}
	}
}

// absentDataCentres returns the data centres that cannot grant drains now.
func (u *Controller) absentDataCentres(now time.Time) (names []string) {
	for name, l := range u.remoteVersions {
		if !now.Before(l.absentFrom) {
			names = append(names, name)
		}
	}
	return names
}

func (u *Controller) updateOwnership(self membership.Entry, now time.Time) {
	for name := range u.fleetState.Pools {
		owner := u.Peers.Owner("pool/" + name)
		mine := owner.Name == self.Name && owner.Incarnation == self.Incarnation
		_, owned := u.ownedSince[name]
		switch {
		case !mine:
			delete(u.ownedSince, name)
		case !owned:
			u.ownedSince[name] = now
		}
	}
}

// ownsPool reports whether this entry has owned the pool for long enough to act.
func (u *Controller) ownsPool(pool string, now time.Time) bool {
	since, owned := u.ownedSince[pool]
	return owned && !now.Before(since.Add(u.settings.TakeoverDelay))
}

// viewIsCurrent reports whether no reachable entry has a later version. An entry that
// no longer reaches any other may be the one that is cut off, for any length of time,
// so its view is not current until it reaches one again.
func (u *Controller) viewIsCurrent() bool {
	alone := u.membership.othersSeen && !u.membership.othersReachable
	return !alone && u.membership.highestVersion <= u.fleetState.Version
}

// allEntriesHave reports whether every live entry of the data centre has the version,
// so that none issues a grant that the version rules out.
func (u *Controller) allEntriesHave(version int64) bool {
	self := u.Peers.Self().Name
	for _, l := range u.membership.live {
		if l.Name != self && l.Version < version {
			return false
		}
	}
	return u.fleetState.Version >= version
}

// departedGrantsExpired reports whether the leases of the departed entries, and the
// grants that they may hold, have ended.
func (u *Controller) departedGrantsExpired(now time.Time) bool {
	last := u.membership.unobservedUntil
	for _, g := range u.membership.departed {
		if g.AliveUntil.After(last) {
			last = g.AliveUntil
		}
	}
	return !now.Before(last.Add(u.settings.MaxGrantDuration + u.settings.ClockError))
}
