package quota

import (
	"slices"
	"time"
)

// Default limits of a Ledger.
const (
	defaultMaxUse  = time.Hour
	defaultMaxLoan = 30 * time.Second
)

// Ledger records what is used, lent and borrowed of the allocations of the
// pools of one data centre whose dispatcher is this entry. It is not safe for
// concurrent use.
type Ledger struct {
	DataCentre string
	// ClockError is the largest difference between two clocks.
	ClockError time.Duration
	// MaxUse is the longest duration of a use; zero means 1 h. Slots that move to
	// another allocation cannot be used for that long.
	MaxUse time.Duration
	// MaxLoan is the longest duration of a loan; zero means 30 s. A new quota
	// holder has to count unknown loans for as long.
	MaxLoan time.Duration

	version int64
	caps    map[string]int
	layouts []slotLayout
	// allocations caches the allocation of each account.
	allocations map[Account]cachedAllocation
	balances    map[Account]*balance
	uses        map[string]*taskUse
	heldPools   map[string]*heldPool
	// loanCopies holds copies of the loans of other quota holders.
	loanCopies []Loan
	// lastDeadline makes the deadlines of the own loans unique.
	lastDeadline time.Time
}

// Account identifies a member's allocation in one pool of the data centre.
type Account struct {
	Member string
	Pool   string
}

// balance holds what is in use, lent and borrowed of one account.
type balance struct {
	// allocationInUse is how many slots of the allocation are in use here.
	allocationInUse int
	lent            []Loan
	borrowed        []*borrowedLoan
}

// borrowedLoan is a loan from another quota holder and its use.
type borrowedLoan struct {
	Loan
	used int
	// idleAt is the time since which no slot of the loan is in use.
	idleAt time.Time
}

// taskUse is the slots of one task and the sources that they are charged to.
type taskUse struct {
	balance        *balance
	fromAllocation int
	fromLoans      []loanCharge
}

type loanCharge struct {
	loan  *borrowedLoan
	slots int
}

// heldPool is a pool whose ledger is kept here, with the loans and tasks of its
// previous quota holder.
type heldPool struct {
	settled bool
	// inheritedLent is how many slots, of any member, may be lent until
	// inheritedUntil.
	inheritedLent  int
	inheritedUntil time.Time
	// untrackedInUse is the slots in use by tasks that the ledger has no record
	// of.
	untrackedInUse int
}

// OpenPool starts to keep the ledger of a pool. Until SetInheritedLoans, nothing may be used
// of its allocations, except by members whose cap is not below the slots of the
// fleet.
func (l *Ledger) OpenPool(pool string) {
	l.ensurePool(pool).settled = false
}

// SetInheritedLoans ends the wait after OpenPool: previous quota holders may have lent that
// many slots until a time.
func (l *Ledger) SetInheritedLoans(pool string, lent int, until time.Time) {
	p := l.ensurePool(pool)
	p.settled, p.inheritedLent, p.inheritedUntil = true, lent, until
}

// SetUntracked sets how many slots of a pool are in use by tasks that the ledger
// has no record of; they count as used by every member. It has no effect on a
// pool whose ledger is not kept here.
func (l *Ledger) SetUntracked(pool string, slots int) {
	if p, kept := l.heldPools[pool]; kept {
		p.untrackedInUse = slots
	}
}

// ClosePool stops keeping the ledger of a pool; its recorded uses remain until they
// are released.
func (l *Ledger) ClosePool(pool string) {
	delete(l.heldPools, pool)
}

// Cap returns the member's cap in the whole fleet.
func (l *Ledger) Cap(member string) (slots int) {
	return l.caps[member]
}

// Available returns how many slots are available to a task that ends by a time.
func (l *Ledger) Available(a Account, until, now time.Time) (slots int) {
	slots = l.allocationRoom(a, now)
	until = laterOf(until, now)
	if b, found := l.balances[a]; found {
		for _, x := range b.borrowed {
			slots += x.room(until, l.ClockError)
		}
	}
	return slots
}

// Use takes slots for a task that ends by a time, first of the allocation and
// then of loans that last as long. allowed is false if there are not enough
// slots, if the task ID is in use, or if the task lasts longer than MaxUse.
func (l *Ledger) Use(id string, a Account, slots int, until, now time.Time) (allowed bool) {
	until = laterOf(until, now)
	if _, known := l.uses[id]; known || until.Sub(now) > l.maxUse()+l.ClockError {
		return false
	}
	if l.Available(a, until, now) < slots {
		return false
	}
	b := l.ensureBalance(a)
	u := &taskUse{balance: b, fromAllocation: min(slots, l.allocationRoom(a, now))}
	b.allocationInUse += u.fromAllocation
	u.chargeLoans(slots-u.fromAllocation, until, l.ClockError)
	if l.uses == nil {
		l.uses = make(map[string]*taskUse)
	}
	l.uses[id] = u
	return true
}

// Release frees the slots of a task.
func (l *Ledger) Release(id string, now time.Time) {
	u, found := l.uses[id]
	if !found {
		return
	}
	delete(l.uses, id)
	u.balance.allocationInUse -= u.fromAllocation
	for _, c := range u.fromLoans {
		c.loan.used -= c.slots
		if c.loan.used == 0 {
			c.loan.idleAt = now
		}
	}
}

// InUse returns how many slots of an account are in use, both of its allocation
// and of loans.
func (l *Ledger) InUse(a Account) (slots int) {
	b, found := l.balances[a]
	if !found {
		return 0
	}
	slots = b.allocationInUse
	for _, x := range b.borrowed {
		slots += x.used
	}
	return slots
}

// chargeLoans takes slots of the loans that last long enough, starting with the
// loan that ends first.
func (u *taskUse) chargeLoans(slots int, until time.Time, clockError time.Duration) {
	for _, x := range u.balance.borrowed {
		n := min(slots, x.room(until, clockError))
		if n <= 0 {
			continue
		}
		x.used += n
		slots -= n
		u.fromLoans = append(u.fromLoans, loanCharge{loan: x, slots: n})
	}
}

// room returns how many slots of the loan are free for a task that ends by a
// time.
func (x *borrowedLoan) room(until time.Time, clockError time.Duration) (slots int) {
	if until.After(x.Until.Add(-clockError)) {
		return 0
	}
	return x.Slots - x.used
}

// allocationRoom returns how many slots of the allocation are neither in use
// nor lent.
func (l *Ledger) allocationRoom(a Account, now time.Time) (slots int) {
	p, kept := l.heldPools[a.Pool]
	if !kept {
		return 0
	}
	slots = l.Allocation(a) - p.untrackedInUse
	if l.capIsBinding(a.Member) {
		slots -= p.possiblyLent(slots, now)
	}
	if b, found := l.balances[a]; found {
		slots -= b.allocationInUse + l.lentSlots(b, now)
	}
	return max(0, slots)
}

// possiblyLent returns how many slots a previous quota holder may have lent.
func (p *heldPool) possiblyLent(slots int, now time.Time) int {
	switch {
	case !p.settled:
		return slots
	case now.Before(p.inheritedUntil):
		return p.inheritedLent
	default:
		return 0
	}
}

func (l *Ledger) ensurePool(pool string) (p *heldPool) {
	p, found := l.heldPools[pool]
	if !found {
		if l.heldPools == nil {
			l.heldPools = make(map[string]*heldPool)
		}
		p = &heldPool{}
		l.heldPools[pool] = p
	}
	return p
}

func (l *Ledger) ensureBalance(a Account) (b *balance) {
	b, found := l.balances[a]
	if !found {
		if l.balances == nil {
			l.balances = make(map[Account]*balance)
		}
		b = &balance{}
		l.balances[a] = b
	}
	return b
}

// poolNames returns the pools whose ledger is kept here, sorted by name.
func (l *Ledger) poolNames() (names []string) {
	for name := range l.heldPools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (l *Ledger) maxUse() time.Duration {
	if l.MaxUse == 0 {
		return defaultMaxUse
	}
	return l.MaxUse
}

func (l *Ledger) maxLoan() time.Duration {
	if l.MaxLoan == 0 {
		return defaultMaxLoan
	}
	return l.MaxLoan
}
