package upkeep

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/membership"
)

// entries remembers the other entries of the data centre, live or gone.
type entries struct {
	live []membership.Entry
	// gone are the entries that are no longer heard, by name, as last heard.
	gone map[string]membership.Entry
	// missedUntil is until when other entries may have lived unheard, because
	// this one had not started or did not run.
	missedUntil time.Time
	// others tells whether any other entry is heard now, in any data centre, and
	// known whether one ever was.
	others bool
	known  bool
	// highest is the highest version that another entry reported.
	highest int64
}

// meet updates what is known of the entries and of the pools that this one owns.
func (u *Upkeep) meet(now time.Time) {
	e := &u.entries
	before := e.live
	e.live = u.Peers.Live()
	e.others, e.highest = false, 0
	self := u.Peers.Self()
	for _, l := range e.live {
		if l.Name != self.Name {
			e.hear(l)
		}
	}
	for _, dataCentre := range u.dataCentres() {
		u.hearRemote(dataCentre, now)
	}
	e.part(before, now.Add(-u.settings.LongestGrant-u.settings.ClockError))
	u.own(self, now)
}

func (e *entries) hear(l membership.Entry) {
	e.others, e.known = true, true
	e.highest = max(e.highest, l.Version)
}

// part keeps the entries that are no longer live until their grants have ended.
func (e *entries) part(before []membership.Entry, ended time.Time) {
	if e.gone == nil {
		e.gone = make(map[string]membership.Entry)
	}
	for _, b := range before {
		e.gone[b.Name] = b
	}
	for _, l := range e.live {
		delete(e.gone, l.Name)
	}
	for name, g := range e.gone {
		if g.AliveUntil.Before(ended) {
			delete(e.gone, name)
		}
	}
}

func (u *Upkeep) dataCentres() (names []string) {
	seen := make(map[string]bool)
	own := u.Peers.Self().DataCentre
	for _, i := range u.state.Instances {
		if i.DataCentre != own && !seen[i.DataCentre] {
			seen[i.DataCentre] = true
			names = append(names, i.DataCentre)
		}
	}
	return names
}

func (u *Upkeep) hearRemote(dataCentre string, now time.Time) {
	version := int64(-1)
	for _, r := range u.Peers.Remote(dataCentre) {
		u.entries.hear(r)
		version = max(version, r.Version)
	}
	l := u.behind[dataCentre]
	switch {
	case version < 0:
		u.behind[dataCentre] = &lag{version: version, absentAt: now}
	case l == nil || version > l.version || version >= u.state.Version:
		u.behind[dataCentre] = &lag{version: version, absentAt: now.Add(u.settings.AbsentAfter)}
	}
}

// absent returns the data centres that cannot grant now.
func (u *Upkeep) absent(now time.Time) (names []string) {
	for name, l := range u.behind {
		if !now.Before(l.absentAt) {
			names = append(names, name)
		}
	}
	return names
}

func (u *Upkeep) own(self membership.Entry, now time.Time) {
	for name := range u.state.Pools {
		owner := u.Peers.Owner("pool/" + name)
		mine := owner.Name == self.Name && owner.Incarnation == self.Incarnation
		_, owned := u.pools[name]
		switch {
		case !mine:
			delete(u.pools, name)
		case !owned:
			u.pools[name] = now
		}
	}
}

// owns tells whether this entry has owned the pool for long enough to act.
func (u *Upkeep) owns(pool string, now time.Time) bool {
	since, owned := u.pools[pool]
	return owned && !now.Before(since.Add(u.settings.Takeover))
}

// current tells whether no entry that is heard has a later version. An entry
// that no longer hears any may be the one that is cut off, for however long, and
// is not current until it hears one again.
func (u *Upkeep) current() bool {
	alone := u.entries.known && !u.entries.others
	return !alone && u.entries.highest <= u.state.Version
}

// allHave tells whether every live entry of the data centre has the version,
// so that none gives a grant that the version rules out.
func (u *Upkeep) allHave(version int64) bool {
	self := u.Peers.Self().Name
	for _, l := range u.entries.live {
		if l.Name != self && l.Version < version {
			return false
		}
	}
	return u.state.Version >= version
}

// goneEnded tells whether the leases of the entries that are gone, and the
// grants that they may hold, have ended.
func (u *Upkeep) goneEnded(now time.Time) bool {
	last := u.entries.missedUntil
	for _, g := range u.entries.gone {
		if g.AliveUntil.After(last) {
			last = g.AliveUntil
		}
	}
	return !now.Before(last.Add(u.settings.LongestGrant + u.settings.ClockError))
}
