package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// slotLayout holds the slots by which caps are divided, as of a configuration
// version.
type slotLayout struct {
	version int64
	// dataCentres holds the slots of each data centre, sorted by name.
	dataCentres []namedSlots
	// pools holds the slots of each pool in the own data centre, sorted by name.
	pools []namedSlots
	// confirmedAt is when every entry was first known to have this version.
	confirmedAt time.Time
}

// namedSlots is the slots of a data centre or pool.
type namedSlots struct {
	name  string
	slots int
}

// cachedAllocation is an allocation with the values that it was computed from.
type cachedAllocation struct {
	slots int
	limit int
	// firstVersion and lastVersion are the versions of the first and the last
	// layout that it is the least of.
	firstVersion int64
	lastVersion  int64
}

// Observe applies a version of the configuration; older ones are ignored.
func (l *Ledger) Observe(s *fleet.State) {
	if len(l.layouts) > 0 && s.Version <= l.version {
		return
	}
	l.version = s.Version
	l.caps = make(map[string]int, len(s.Members))
	for _, m := range s.Members {
		l.caps[m.Name] = m.Cap
	}
	layout := layoutOf(s, l.DataCentre)
	if len(l.layouts) == 0 || !l.newestLayout().equal(layout) {
		l.layouts = append(l.layouts, layout)
	}
}

// Version returns the newest version that was observed.
func (l *Ledger) Version() int64 {
	return l.version
}

// ConfirmVersion records that every entry that may use an allocation of any cap has at
// least this version, and drops the layouts that no entry can use any more.
func (l *Ledger) ConfirmVersion(version int64, now time.Time) {
	superseded := 0
	for i := range l.layouts {
		layout := &l.layouts[i]
		if layout.version > version {
			break
		}
		if layout.confirmedAt.IsZero() {
			layout.confirmedAt = now
		}
		if !now.Before(layout.confirmedAt.Add(l.maxUse() + 2*l.ClockError)) {
			superseded = i
		}
	}
	l.layouts = slices.Delete(l.layouts, 0, superseded)
}

// Allocation returns the account's allocation of the member's cap: the least by all
// layouts that are still in effect.
func (l *Ledger) Allocation(a Account) (slots int) {
	if len(l.layouts) == 0 {
		return 0
	}
	limit := l.caps[a.Member]
	firstVersion := l.layouts[0].version
	p, cached := l.allocations[a]
	if !cached || p.limit != limit || p.firstVersion != firstVersion {
		p = cachedAllocation{slots: limit, limit: limit, firstVersion: firstVersion}
	}
	for i := len(l.layouts) - 1; i >= 0 && l.layouts[i].version > p.lastVersion; i-- {
		p.slots = min(p.slots, l.layouts[i].allocation(a, limit, l.DataCentre))
	}
	p.lastVersion = l.newestLayout().version
	if l.allocations == nil {
		l.allocations = make(map[Account]cachedAllocation)
	}
	l.allocations[a] = p
	return p.slots
}

// Minimum returns what a data centre guarantees of a member's minimum. Each of
// its pools guarantees that much, because it is not known in advance to which
// pools a member sends requests.
func (l *Ledger) Minimum(member string, minimum int) (slots int) {
	if len(l.layouts) == 0 {
		return 0
	}
	divide := func(weights []int) []int { return Split(minimum, weights) }
	return allocationOf(rotated(l.newestLayout().dataCentres, rotationOffset(member)), l.DataCentre, divide)
}

// capIsBinding reports whether the member could exceed its cap at all: whether
// the cap is below the slots of the fleet by a layout in effect.
func (l *Ledger) capIsBinding(member string) bool {
	for _, layout := range l.layouts {
		if l.caps[member] < totalSlots(layout.dataCentres) {
			return true
		}
	}
	return false
}

func (l *Ledger) newestLayout() slotLayout {
	return l.layouts[len(l.layouts)-1]
}

func layoutOf(s *fleet.State, dataCentre string) (layout slotLayout) {
	layout.version = s.Version
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
	layout.dataCentres, layout.pools = sortedByName(centres), sortedByName(pools)
	return layout
}

func sortedByName(slots map[string]int) (list []namedSlots) {
	for name, n := range slots {
		list = append(list, namedSlots{name: name, slots: n})
	}
	slices.SortFunc(list, func(a, b namedSlots) int { return cmp.Compare(a.name, b.name) })
	return list
}

func (s slotLayout) equal(other slotLayout) bool {
	return slices.Equal(s.dataCentres, other.dataCentres) && slices.Equal(s.pools, other.pools)
}

// allocation returns the part of a cap that is allocated to an account in a
// data centre. The name of the member determines where the remainder of the
// division goes, so that the remainders of all members do not go to the first
// pool.
func (s slotLayout) allocation(a Account, limit int, dataCentre string) (slots int) {
	offset := rotationOffset(a.Member)
	dataCentreSlots := allocationOf(rotated(s.dataCentres, offset), dataCentre, func(weights []int) []int { return Split(limit, weights) })
	return allocationOf(rotated(s.pools, offset), a.Pool, func(most []int) []int { return Fill(dataCentreSlots, most) })
}

// allocationOf divides by the slots of a list and returns the result for one
// name.
func allocationOf(list []namedSlots, name string, divide func(slots []int) []int) (slots int) {
	index := -1
	values := make([]int, len(list))
	for i, n := range list {
		values[i] = n.slots
		if n.name == name {
			index = i
		}
	}
	if index < 0 {
		return 0
	}
	return divide(values)[index]
}

func totalSlots(list []namedSlots) (slots int) {
	for _, n := range list {
		slots += n.slots
	}
	return slots
}

func rotationOffset(member string) (offset int) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(member)) // never fails
	return int(h.Sum32() >> 1)
}

func rotated[T any](items []T, offset int) []T {
	if len(items) == 0 {
		return nil
	}
	at := offset % len(items)
	return slices.Concat(items[at:], items[:at])
}
