package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// division is how caps are divided since a version.
type division struct {
	version int64
	// centres are the slots of each data centre, by name.
	centres []named
	// pools are the slots of each pool in the own data centre, by name.
	pools []named
	// confirmedAt is when every entry was known to have this version.
	confirmedAt time.Time
}

type named struct {
	name  string
	slots int
}

// part is a computed part with what it was computed from.
type part struct {
	slots int
	limit int
	// first and last are the versions of the divisions that it is the least of.
	first int64
	last  int64
}

// Observe takes over a version of the configuration; older ones are ignored.
func (l *Ledger) Observe(s *fleet.State) {
	if len(l.divisions) > 0 && s.Version <= l.version {
		return
	}
	l.version = s.Version
	l.caps = make(map[string]int, len(s.Members))
	for _, m := range s.Members {
		l.caps[m.Name] = m.Cap
	}
	d := divisionOf(s, l.DataCentre)
	if len(l.divisions) == 0 || !l.newest().same(d) {
		l.divisions = append(l.divisions, d)
	}
}

// Version returns the version that was observed last.
func (l *Ledger) Version() int64 {
	return l.version
}

// Confirm tells that every entry that may use a part of any cap has at least
// this version.
func (l *Ledger) Confirm(version int64, now time.Time) {
	oldest := 0
	for i := range l.divisions {
		d := &l.divisions[i]
		if d.version > version {
			break
		}
		if d.confirmedAt.IsZero() {
			d.confirmedAt = now
		}
		if !now.Before(d.confirmedAt.Add(l.hold() + 2*l.ClockError)) {
			oldest = i
		}
	}
	l.divisions = slices.Delete(l.divisions, 0, oldest)
}

// Part returns the account's part of the member's cap: the least by all
// divisions that are still in effect.
func (l *Ledger) Part(a Account) (slots int) {
	if len(l.divisions) == 0 {
		return 0
	}
	limit := l.caps[a.Member]
	first := l.divisions[0].version
	p, cached := l.parts[a]
	if !cached || p.limit != limit || p.first != first {
		p = part{slots: limit, limit: limit, first: first}
	}
	for i := len(l.divisions) - 1; i >= 0 && l.divisions[i].version > p.last; i-- {
		p.slots = min(p.slots, l.divisions[i].part(a, limit, l.DataCentre))
	}
	p.last = l.newest().version
	if l.parts == nil {
		l.parts = make(map[Account]part)
	}
	l.parts[a] = p
	return p.slots
}

// Minimum returns what a data centre guarantees of a member's minimum. Each of
// its pools guarantees that much, because the pools that a member sends work to
// are not known in advance.
func (l *Ledger) Minimum(member string, minimum int) (slots int) {
	if len(l.divisions) == 0 {
		return 0
	}
	split := func(weights []int) []int { return Split(minimum, weights) }
	return choose(rotated(l.newest().centres, rotation(member)), l.DataCentre, split)
}

// binding tells whether the member could exceed its cap at all: whether the cap
// is below the slots of the fleet by a division in effect.
func (l *Ledger) binding(member string) bool {
	for _, d := range l.divisions {
		if l.caps[member] < total(d.centres) {
			return true
		}
	}
	return false
}

func (l *Ledger) newest() division {
	return l.divisions[len(l.divisions)-1]
}

func divisionOf(s *fleet.State, dataCentre string) (d division) {
	d.version = s.Version
	centres, pools := make(map[string]int), make(map[string]int)
	for name := range s.Pools {
		pools[name] = 0
	}
	for _, i := range s.Instances {
		centres[i.DataCentre] += i.Slots
		if i.DataCentre == dataCentre {
			pools[i.Pool] += i.Slots
		}
	}
	d.centres, d.pools = byName(centres), byName(pools)
	return d
}

func byName(slots map[string]int) (list []named) {
	for name, n := range slots {
		list = append(list, named{name: name, slots: n})
	}
	slices.SortFunc(list, func(a, b named) int { return cmp.Compare(a.name, b.name) })
	return list
}

func (d division) same(other division) bool {
	return slices.Equal(d.centres, other.centres) && slices.Equal(d.pools, other.pools)
}

// part returns a pool's part of a member's cap in a data centre. The member's
// name decides where the slots go that cannot be divided evenly, so that they
// do not pile up in the first pool.
func (d division) part(a Account, limit int, dataCentre string) (slots int) {
	turn := rotation(a.Member)
	inCentre := choose(rotated(d.centres, turn), dataCentre, func(weights []int) []int { return Split(limit, weights) })
	return choose(rotated(d.pools, turn), a.Pool, func(most []int) []int { return Fill(inCentre, most) })
}

// choose returns the part of the named one.
func choose(list []named, name string, divide func(slots []int) []int) (slots int) {
	at := -1
	values := make([]int, len(list))
	for i, n := range list {
		values[i] = n.slots
		if n.name == name {
			at = i
		}
	}
	if at < 0 {
		return 0
	}
	return divide(values)[at]
}

func total(list []named) (slots int) {
	for _, n := range list {
		slots += n.slots
	}
	return slots
}

func rotation(member string) (turn int) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(member)) // never fails
	return int(h.Sum32() >> 1)
}

func rotated[T any](items []T, turn int) []T {
	if len(items) == 0 {
		return nil
	}
	at := turn % len(items)
	return slices.Concat(items[at:], items[:at])
}
