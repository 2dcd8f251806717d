package quota

import (
	"cmp"
	"slices"
	"time"
)

// idleLoanTimeout is how long an unused loan is kept for the next task.
const idleLoanTimeout = time.Second

// Loan is slots of a member's allocation that one quota holder lends to another
// until a deadline. Member, From, To and Until identify it.
type Loan struct {
	Member string
	// LenderPool is the pool of the lender in its data centre.
	LenderPool string
	// Borrower names the borrower: one quota holder of one pool in one data centre.
	Borrower string
	Slots    int
	Until    time.Time
	// Lender is the entry that granted the loan.
	Lender string
}

func (x Loan) sameID(y Loan) bool {
	return x.Member == y.Member && x.LenderPool == y.LenderPool && x.Borrower == y.Borrower && x.Until.Equal(y.Until)
}

// Lend lends free slots of the lender's allocation, at most the slots asked
// for, and returns how many. A request for a loan that already exists lowers it
// to the slots asked for and returns what is still lent; a borrower returns
// slots in this way.
func (l *Ledger) Lend(x Loan, now time.Time) (slots int) {
	a := Account{Member: x.Member, Pool: x.LenderPool}
	if !now.Before(x.Until) || x.Until.Sub(now) > l.maxLoan()+l.ClockError {
		return 0
	}
	b := l.ensureBalance(a)
	for i := range b.lent {
		if b.lent[i].sameID(x) {
			b.lent[i].Slots = min(b.lent[i].Slots, x.Slots)
			return b.lent[i].Slots
		}
	}
	x.Slots = max(0, min(x.Slots, l.allocationRoom(a, now)))
	// A loan of zero slots is recorded too: the request may be delivered again
	// after the borrower has abandoned it.
	b.lent = append(b.lent, x)
	return x.Slots
}

// LendAny lends from any of the pools whose ledger is kept here, starting with
// the most available slots, under one loan whose From is empty. It returns the
// loans that it consists of.
func (l *Ledger) LendAny(x Loan, now time.Time) (parts []Loan) {
	for _, pool := range l.poolNames() {
		part := x
		part.LenderPool = pool
		if b, found := l.balances[Account{Member: x.Member, Pool: pool}]; found && b.hasLent(part) {
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
	pools := l.poolNames()
	room := func(pool string) int { return l.allocationRoom(Account{Member: x.Member, Pool: pool}, now) }
	slices.SortStableFunc(pools, func(p, q string) int { return cmp.Compare(room(q), room(p)) })
	for i, pool := range pools {
		if x.Slots <= 0 && i > 0 {
			break
		}
		part := x
		part.LenderPool = pool
		part.Slots = l.Lend(part, now)
		x.Slots -= part.Slots
		parts = append(parts, part)
	}
	return parts
}

func (b *balance) hasLent(x Loan) bool {
	return slices.ContainsFunc(b.lent, x.sameID)
}

// StoreCopy stores a copy of a loan that another quota holder in the data centre
// made; a later copy with fewer slots replaces it. If the ledger of the pool is
// kept here too, as while a pool changes its owner, the loan is taken from the
// slots available here. stored is false if there are too few, and then the other
// quota holder must not make the loan.
func (l *Ledger) StoreCopy(x Loan, now time.Time) (stored bool) {
	if _, held := l.heldPools[x.LenderPool]; held && !slices.ContainsFunc(l.loanCopies, x.sameID) {
		if slots := l.Lend(x, now); slots >= x.Slots {
			return true
		}
		x.Slots = 0
		l.Lend(x, now)
		return false
	}
	l.loanCopies = slices.DeleteFunc(l.loanCopies, func(y Loan) bool {
		return y.sameID(x) || !now.Before(y.Until.Add(l.ClockError))
	})
	l.loanCopies = append(l.loanCopies, x)
	return true
}

// KnownLoans returns how many slots of a pool's allocations are lent, and until when,
// by the records of this entry as lender, as borrower in the same data centre
// and by its copies. The next quota holder passes the result to Settle.
func (l *Ledger) KnownLoans(pool string, now time.Time) (slots int, until time.Time) {
	addLoan := func(x Loan) {
		end := x.Until.Add(l.ClockError)
		if x.LenderPool == pool && x.Slots > 0 && now.Before(end) {
			slots += x.Slots
			until = laterOf(until, end)
		}
	}
	for _, b := range l.balances {
		for _, x := range b.lent {
			addLoan(x)
		}
		for _, x := range b.borrowed {
			addLoan(x.Loan)
		}
	}
	for _, x := range l.loanCopies {
		addLoan(x)
	}
	return slots, until
}

// NewLoanDeadline returns the deadline for a new loan, at most MaxLoan away, under
// which a task that ends by a time may run. It is unique among the loans of
// this ledger, and a whole millisecond because messages carry no more.
func (l *Ledger) NewLoanDeadline(taskEnds, now time.Time) (until time.Time) {
	until = taskEnds.Add(l.ClockError)
	if latest := now.Add(l.maxLoan()); until.After(latest) {
		until = latest
	}
	until = until.Truncate(time.Millisecond)
	if !until.After(l.lastDeadline) {
		until = l.lastDeadline.Add(time.Millisecond)
	}
	l.lastDeadline = until
	return until
}

// LatestLoanEnd returns when all loans that exist now have ended.
func (l *Ledger) LatestLoanEnd(now time.Time) (end time.Time) {
	return now.Add(l.maxLoan() + 2*l.ClockError)
}

// AddBorrowed records a loan to a pool whose ledger this entry keeps.
func (l *Ledger) AddBorrowed(pool string, x Loan, now time.Time) {
	if x.Slots <= 0 || !now.Before(x.Until) {
		return
	}
	b := l.ensureBalance(Account{Member: x.Member, Pool: pool})
	b.borrowed = append(b.borrowed, &borrowedLoan{Loan: x, idleAt: now})
	slices.SortStableFunc(b.borrowed, func(x, y *borrowedLoan) int { return x.Until.Compare(y.Until) })
}

// ReturnIdle removes the borrowed loans that have been unused for idleLoanTimeout
// and returns them with zero slots; the caller passes each to Lend of its
// lender.
func (l *Ledger) ReturnIdle(now time.Time) (returned []Loan) {
	for _, b := range l.balances {
		b.borrowed = slices.DeleteFunc(b.borrowed, func(x *borrowedLoan) bool {
			idle := x.used == 0 && now.Sub(x.idleAt) >= idleLoanTimeout
			if idle && now.Before(x.Until) {
				x.Slots = 0
				returned = append(returned, x.Loan)
			}
			return idle
		})
	}
	slices.SortFunc(returned, func(x, y Loan) int {
		return cmp.Or(cmp.Compare(x.Member, y.Member), cmp.Compare(x.LenderPool, y.LenderPool), x.Until.Compare(y.Until))
	})
	return returned
}

// Expire removes the loans that have ended.
func (l *Ledger) Expire(now time.Time) {
	ended := func(x Loan) bool { return !now.Before(x.Until.Add(l.ClockError)) }
	for a, b := range l.balances {
		b.lent = slices.DeleteFunc(b.lent, ended)
		b.borrowed = slices.DeleteFunc(b.borrowed, func(x *borrowedLoan) bool { return x.used == 0 && ended(x.Loan) })
		if b.allocationInUse == 0 && len(b.lent) == 0 && len(b.borrowed) == 0 {
			delete(l.balances, a)
		}
	}
	l.loanCopies = slices.DeleteFunc(l.loanCopies, ended)
}

// lentSlots returns how many slots of the account count as lent.
func (l *Ledger) lentSlots(b *balance, now time.Time) (slots int) {
	for _, x := range b.lent {
		if now.Before(x.Until.Add(l.ClockError)) {
			slots += x.Slots
		}
	}
	return slots
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
