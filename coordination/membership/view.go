package membership

import (
	"cmp"
	"slices"
	"time"
)

// Entry is the observed state of an entry.
type Entry struct {
	Name       string
	DataCentre string
	// Address is the IP address and port of the entry's peer service.
	Address string
	// Incarnation increases with each start of the entry with this name.
	Incarnation int64
	// Version is the configuration version in force at the entry.
	Version int64
	// Leaving is set once the entry has begun a planned stop.
	Leaving bool
	// AliveUntil is when the entry is considered dead unless a newer observation
	// arrives.
	AliveUntil time.Time
}

// Alive reports whether the entry is still considered live.
func (e Entry) Alive(now time.Time) bool {
	return now.Before(e.AliveUntil)
}

// View holds the observed state of all entries. The zero value is empty.
type View struct {
	entries map[string]Entry
}

// Observe records the observed state of an entry and ignores observations of an
// earlier incarnation. It reports whether the entry became live or dead, restarted,
// or changed its Leaving flag.
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

// Expire removes and returns the entries whose AliveUntil is before the given time.
func (v *View) Expire(before time.Time) (expired []Entry) {
	for name, e := range v.entries {
		if e.AliveUntil.Before(before) {
			expired = append(expired, e)
			delete(v.entries, name)
		}
	}
	slices.SortFunc(expired, compareNames)
	return expired
}

// Find returns the entry with the given name, whether live or not.
func (v *View) Find(name string) (e Entry, found bool) {
	e, found = v.entries[name]
	return e, found
}

// All returns every known entry sorted by name, whether live or not.
func (v *View) All() (entries []Entry) {
	for _, e := range v.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, compareNames)
	return entries
}

// Live returns the live entries of a data centre sorted by name.
func (v *View) Live(dataCentre string, now time.Time) (entries []Entry) {
	for _, e := range v.entries {
		if e.DataCentre == dataCentre && e.Alive(now) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, compareNames)
	return entries
}

// DataCentres returns the sorted names of the data centres of all known entries.
func (v *View) DataCentres() (names []string) {
	for _, e := range v.entries {
		if !slices.Contains(names, e.DataCentre) {
			names = append(names, e.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

func compareNames(a, b Entry) int {
	return cmp.Compare(a.Name, b.Name)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
