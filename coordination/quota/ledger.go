package quota

import (
	"slices"
	"time"
)

// Default bounds of a Ledger.
const (
	defaultHold    = time.Hour
	defaultMaxLoan = 30 * time.Second
)

// Ledger keeps the books of the holders of one data centre that an entry is the
// dispatcher of. It is not safe for concurrent use.
type Ledger struct {
	DataCentre string
	// ClockError is the largest difference between two clocks.
	ClockError time.Duration
	// Hold is how long a use may last at most; zero counts as 1 h. Parts that
	// move to another holder are idle for that long.
	Hold time.Duration
	// MaxLoan is how long a loan may last at most; zero counts as 30 s, which
	// is also how long a new keeper has to count unknown loans.
	MaxLoan time.Duration

	version   int64
	caps      map[string]int
	divisions []division
	// parts caches the part of each account.
	parts   map[Account]part
	books   map[Account]*book
	uses    map[string]*use
	keeping map[string]*keeping
	// mirrors are loans of other keepers that this entry has a copy of.
	mirrors []Loan
	// lastUntil makes the deadline of each own loan unique.
	lastUntil time.Time
}

// Account is a member's part in one pool of the data centre.
type Account struct {
	Member string
	Pool   string
}

// book is what is in use and lent of one account.
type book struct {
	// own is the slots of the part that are in use here.
	own      int
	lent     []Loan
	borrowed []*borrowed
}

// borrowed is a loan of another holder, with what is in use of it.
type borrowed struct {
	Loan
	used int
	// idleAt is since when nothing of it is in use.
	idleAt time.Time
}

// use is the slots of one task with the sources that they are charged to.
type use struct {
	book  *book
	own   int
	loans []charge
}

type charge struct {
	loan  *borrowed
	slots int
}

// keeping is what a keeper knows of a pool's books before its time.
type keeping struct {
	settled bool
	// unknown is the slots that may be lent until a time, of any member.
	unknown int
	until   time.Time
	// foreign is the slots in use by tasks that are not in the books.
	foreign int
}

// Open begins to keep the books of a pool. Until Settle, nothing may be used of
// its parts, except by members whose cap is not below the slots of the fleet.
func (l *Ledger) Open(pool string) {
	l.keep(pool).settled = false
}

// Settle ends the wait after Open: that many slots may be lent out until a
// time by an earlier keeper.
func (l *Ledger) Settle(pool string, lent int, until time.Time) {
	k := l.keep(pool)
	k.settled, k.unknown, k.until = true, lent, until
}

// SetForeign tells how many slots are in use in a pool by tasks that are not in
// the books; they count as used by every member. It does nothing for a pool whose
// books are not kept here.
func (l *Ledger) SetForeign(pool string, slots int) {
	if k, kept := l.keeping[pool]; kept {
		k.foreign = slots
	}
}

// Close ends the keeping of a pool; uses in its books stay until released.
func (l *Ledger) Close(pool string) {
	delete(l.keeping, pool)
}

// Cap returns the member's cap in the whole fleet.
func (l *Ledger) Cap(member string) (slots int) {
	return l.caps[member]
}

// Room returns how many slots a task that lasts until a time may take.
func (l *Ledger) Room(a Account, until, now time.Time) (slots int) {
	slots = l.ownRoom(a, now)
	until = latest(until, now)
	if b, found := l.books[a]; found {
		for _, x := range b.borrowed {
			slots += x.room(until, l.ClockError)
		}
	}
	return slots
}

// Use takes slots for a task that ends by a time, first of the part and then of
// loans that last as long; allowed is false if they are not enough, or if the
// task lasts longer than Hold.
func (l *Ledger) Use(id string, a Account, slots int, until, now time.Time) (allowed bool) {
	until = latest(until, now)
	if _, known := l.uses[id]; known || until.Sub(now) > l.hold()+l.ClockError {
		return false
	}
	if l.Room(a, until, now) < slots {
		return false
	}
	b := l.book(a)
	u := &use{book: b, own: min(slots, l.ownRoom(a, now))}
	b.own += u.own
	u.charge(slots-u.own, until, l.ClockError)
	if l.uses == nil {
		l.uses = make(map[string]*use)
	}
	l.uses[id] = u
	return true
}

// Release gives back what a task used.
func (l *Ledger) Release(id string, now time.Time) {
	u, found := l.uses[id]
	if !found {
		return
	}
	delete(l.uses, id)
	u.book.own -= u.own
	for _, c := range u.loans {
		c.loan.used -= c.slots
		if c.loan.used == 0 {
			c.loan.idleAt = now
		}
	}
}

// InUse returns the slots of an account in use, on its part and on loans.
func (l *Ledger) InUse(a Account) (slots int) {
	b, found := l.books[a]
	if !found {
		return 0
	}
	slots = b.own
	for _, x := range b.borrowed {
		slots += x.used
	}
	return slots
}

// charge takes slots of the loans that last long enough, the first to end first.
func (u *use) charge(slots int, until time.Time, clockError time.Duration) {
	for _, x := range u.book.borrowed {
		n := min(slots, x.room(until, clockError))
		if n <= 0 {
			continue
		}
		x.used += n
		slots -= n
		u.loans = append(u.loans, charge{loan: x, slots: n})
	}
}

// room returns the free slots of the loan for a task that ends by a time.
func (x *borrowed) room(until time.Time, clockError time.Duration) (slots int) {
	if until.After(x.Until.Add(-clockError)) {
		return 0
	}
	return x.Slots - x.used
}

// ownRoom returns the slots of the part that are neither in use nor lent.
func (l *Ledger) ownRoom(a Account, now time.Time) (slots int) {
	k, kept := l.keeping[a.Pool]
	if !kept {
		return 0
	}
	slots = l.Part(a) - k.foreign
	if l.binding(a.Member) {
		slots -= k.hidden(slots, now)
	}
	if b, found := l.books[a]; found {
		slots -= b.own + l.lent(b, now)
	}
	return max(0, slots)
}

// hidden returns how many slots an earlier keeper may have lent.
func (k *keeping) hidden(slots int, now time.Time) int {
	switch {
	case !k.settled:
		return slots
	case now.Before(k.until):
		return k.unknown
	default:
		return 0
	}
}

func (l *Ledger) keep(pool string) (k *keeping) {
	k, found := l.keeping[pool]
	if !found {
		if l.keeping == nil {
			l.keeping = make(map[string]*keeping)
		}
		k = &keeping{}
		l.keeping[pool] = k
	}
	return k
}

func (l *Ledger) book(a Account) (b *book) {
	b, found := l.books[a]
	if !found {
		if l.books == nil {
			l.books = make(map[Account]*book)
		}
		b = &book{}
		l.books[a] = b
	}
	return b
}

// pools returns the pools whose books are kept here, by name.
func (l *Ledger) pools() (names []string) {
	for name := range l.keeping {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (l *Ledger) hold() time.Duration {
	if l.Hold == 0 {
		return defaultHold
	}
	return l.Hold
}

func (l *Ledger) maxLoan() time.Duration {
	if l.MaxLoan == 0 {
		return defaultMaxLoan
	}
	return l.MaxLoan
}
