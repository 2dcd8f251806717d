package quota

import (
	"cmp"
	"slices"
	"time"
)

// idleReturn is how long an unused loan is kept for the next task.
const idleReturn = time.Second

// Loan is slots of a member's part that one holder lends to another until a
// deadline. Member, From, To and Until identify it.
type Loan struct {
	Member string
	// From is the pool of the lender, in the data centre of the lender.
	From string
	// To names the borrower: one keeper of one holder.
	To    string
	Slots int
	Until time.Time
	// Lender is the entry that the borrower got the loan from.
	Lender string
}

func (x Loan) same(y Loan) bool {
	return x.Member == y.Member && x.From == y.From && x.To == y.To && x.Until.Equal(y.Until)
}

// Lend lends what is free of the lender's part, at most the slots asked for,
// and returns how many. The same loan again returns what is still lent of it,
// lowered to the slots asked for: a borrower gives slots back in this way.
func (l *Ledger) Lend(x Loan, now time.Time) (slots int) {
	a := Account{Member: x.Member, Pool: x.From}
	if !now.Before(x.Until) || x.Until.Sub(now) > l.maxLoan()+l.ClockError {
		return 0
	}
	b := l.book(a)
	for i := range b.lent {
		if b.lent[i].same(x) {
			b.lent[i].Slots = min(b.lent[i].Slots, x.Slots)
			return b.lent[i].Slots
		}
	}
	x.Slots = max(0, min(x.Slots, l.ownRoom(a, now)))
	// A loan of no slots is kept as well: the request may come a second time
	// after the borrower gave up.
	b.lent = append(b.lent, x)
	return x.Slots
}

// LendAny lends from any of the pools that are kept here, those with the most
// room first, under one loan whose From is empty. It returns the loans that it
// consists of.
func (l *Ledger) LendAny(x Loan, now time.Time) (parts []Loan) {
	for _, pool := range l.pools() {
		part := x
		part.From = pool
		if b, found := l.books[Account{Member: x.Member, Pool: pool}]; found && b.knows(part) {
			part.Slots = l.Lend(part, now)
			x.Slots -= part.Slots
			parts = append(parts, part)
		}
	}
	if len(parts) > 0 {
		return parts
	}
	return l.lendNew(x, now)
}

func (l *Ledger) lendNew(x Loan, now time.Time) (parts []Loan) {
	pools := l.pools()
	room := func(pool string) int { return l.ownRoom(Account{Member: x.Member, Pool: pool}, now) }
	slices.SortStableFunc(pools, func(p, q string) int { return cmp.Compare(room(q), room(p)) })
	for i, pool := range pools {
		if x.Slots <= 0 && i > 0 {
			break
		}
		part := x
		part.From = pool
		part.Slots = l.Lend(part, now)
		x.Slots -= part.Slots
		parts = append(parts, part)
	}
	return parts
}

func (b *book) knows(x Loan) bool {
	return slices.ContainsFunc(b.lent, x.same)
}

// Mirror keeps a copy of a loan that another keeper in the data centre made; a
// later copy with fewer slots replaces it. If the pool is kept here as well, as
// while it changes hands, the loan is taken from the room here; kept is false if
// there is too little, and the other keeper must not make the loan.
func (l *Ledger) Mirror(x Loan, now time.Time) (kept bool) {
	if _, keeping := l.keeping[x.From]; keeping && !slices.ContainsFunc(l.mirrors, x.same) {
		if slots := l.Lend(x, now); slots >= x.Slots {
			return true
		}
		x.Slots = 0
		l.Lend(x, now)
		return false
	}
	l.mirrors = slices.DeleteFunc(l.mirrors, func(y Loan) bool {
		return y.same(x) || !now.Before(y.Until.Add(l.ClockError))
	})
	l.mirrors = append(l.mirrors, x)
	return true
}

// Known returns how many slots of a pool's parts this entry knows to be lent,
// as lender, as borrower in the same data centre and by its copies, and until
// when; Settle of the next keeper takes it in.
func (l *Ledger) Known(pool string, now time.Time) (slots int, until time.Time) {
	add := func(x Loan) {
		end := x.Until.Add(l.ClockError)
		if x.From == pool && x.Slots > 0 && now.Before(end) {
			slots += x.Slots
			until = latest(until, end)
		}
	}
	for _, b := range l.books {
		for _, x := range b.lent {
			add(x)
		}
		for _, x := range b.borrowed {
			add(x.Loan)
		}
	}
	for _, x := range l.mirrors {
		add(x)
	}
	return slots, until
}

// Deadline returns the deadline for a new loan under which a task that ends by
// a time may run, at most MaxLoan away. No two loans of this keeper share one,
// and it is a whole millisecond as in the messages.
func (l *Ledger) Deadline(taskEnds, now time.Time) (until time.Time) {
	until = taskEnds.Add(l.ClockError)
	if most := now.Add(l.maxLoan()); until.After(most) {
		until = most
	}
	until = until.Truncate(time.Millisecond)
	if !until.After(l.lastUntil) {
		until = l.lastUntil.Add(time.Millisecond)
	}
	l.lastUntil = until
	return until
}

// LoansEnd returns when all loans that exist now have ended.
func (l *Ledger) LoansEnd(now time.Time) (end time.Time) {
	return now.Add(l.maxLoan() + 2*l.ClockError)
}

// Borrowed takes a loan into the books of a pool, kept by this entry.
func (l *Ledger) Borrowed(pool string, x Loan, now time.Time) {
	if x.Slots <= 0 || !now.Before(x.Until) {
		return
	}
	b := l.book(Account{Member: x.Member, Pool: pool})
	b.borrowed = append(b.borrowed, &borrowed{Loan: x, idleAt: now})
	slices.SortStableFunc(b.borrowed, func(x, y *borrowed) int { return x.Until.Compare(y.Until) })
}

// GiveBack takes the loans out of the books that were not in use for a second
// and returns them with no slots; the caller passes each to Lend of its lender.
func (l *Ledger) GiveBack(now time.Time) (returned []Loan) {
	for _, b := range l.books {
		b.borrowed = slices.DeleteFunc(b.borrowed, func(x *borrowed) bool {
			idle := x.used == 0 && now.Sub(x.idleAt) >= idleReturn
			if idle && now.Before(x.Until) {
				x.Slots = 0
				returned = append(returned, x.Loan)
			}
			return idle
		})
	}
	slices.SortFunc(returned, func(x, y Loan) int {
		return cmp.Or(cmp.Compare(x.Member, y.Member), cmp.Compare(x.From, y.From), x.Until.Compare(y.Until))
	})
	return returned
}

// Expire drops what has ended from the books.
func (l *Ledger) Expire(now time.Time) {
	over := func(x Loan) bool { return !now.Before(x.Until.Add(l.ClockError)) }
	for a, b := range l.books {
		b.lent = slices.DeleteFunc(b.lent, over)
		b.borrowed = slices.DeleteFunc(b.borrowed, func(x *borrowed) bool { return x.used == 0 && over(x.Loan) })
		if b.own == 0 && len(b.lent) == 0 && len(b.borrowed) == 0 {
			delete(l.books, a)
		}
	}
	l.mirrors = slices.DeleteFunc(l.mirrors, over)
}

// lent returns the slots that count as lent.
func (l *Ledger) lent(b *book, now time.Time) (slots int) {
	for _, x := range b.lent {
		if now.Before(x.Until.Add(l.ClockError)) {
			slots += x.Slots
		}
	}
	return slots
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
