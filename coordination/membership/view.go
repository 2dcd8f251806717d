package membership

import (
	"cmp"
	"slices"
	"time"
)

// Entry is an entry instance as seen by another one.
type Entry struct {
	Name       string
	DataCentre string
	// Address is the IP number and port of the entry's peer service.
	Address string
	// Incarnation rises with each start of an entry of this name.
	Incarnation int64
	// Version is the configuration version in force at the entry.
	Version int64
	// Leaving is set once the entry has begun a planned stop.
	Leaving bool
	// AliveUntil is when the entry counts as gone unless it is heard again.
	AliveUntil time.Time
}

// Alive tells whether the entry still counts as live.
func (e Entry) Alive(now time.Time) bool {
	return now.Before(e.AliveUntil)
}

// View is what one entry knows of all entries; the zero value knows none.
type View struct {
	entries map[string]Entry
}

// Observe records what an entry said of itself; news of an earlier incarnation
// is ignored, and changed tells whether the set of live entries is different.
func (v *View) Observe(e Entry, now time.Time) (changed bool) {
	if v.entries == nil {
		v.entries = make(map[string]Entry)
	}
	old, known := v.entries[e.Name]
	if known && old.Incarnation > e.Incarnation {
		return false
	}
	if known && old.Incarnation == e.Incarnation {
		e.Version = max(e.Version, old.Version)
		e.Leaving = e.Leaving || old.Leaving
		e.AliveUntil = latest(e.AliveUntil, old.AliveUntil)
	}
	v.entries[e.Name] = e
	wasLive := known && old.Alive(now) && old.Incarnation == e.Incarnation
	return wasLive != e.Alive(now) || (known && old.Leaving != e.Leaving)
}

// Expire forgets entries that have not been heard since before; it returns them.
func (v *View) Expire(before time.Time) (gone []Entry) {
	for name, e := range v.entries {
		if e.AliveUntil.Before(before) {
			gone = append(gone, e)
			delete(v.entries, name)
		}
	}
	slices.SortFunc(gone, byName)
	return gone
}

// Find returns the entry of that name, live or not.
func (v *View) Find(name string) (e Entry, found bool) {
	e, found = v.entries[name]
	return e, found
}

// All returns every known entry by name, live or not.
func (v *View) All() (entries []Entry) {
	for _, e := range v.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, byName)
	return entries
}

// Live returns the live entries of a data centre by name.
func (v *View) Live(dataCentre string, now time.Time) (entries []Entry) {
	for _, e := range v.entries {
		if e.DataCentre == dataCentre && e.Alive(now) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, byName)
	return entries
}

// DataCentres returns the names of the data centres of all known entries.
func (v *View) DataCentres() (names []string) {
	for _, e := range v.entries {
		if !slices.Contains(names, e.DataCentre) {
			names = append(names, e.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

func byName(a, b Entry) int {
	return cmp.Compare(a.Name, b.Name)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
