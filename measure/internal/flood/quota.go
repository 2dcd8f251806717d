package flood

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/quota"
)

// Delays and sizes of the dispatcher's loans of quota.
const (
	borrowRetryDelay    = 500 * time.Millisecond
	borrowFailureWindow = time.Second
	minLoanSlots        = 4
	// interCentreRoundTrip is the round-trip time between two data centres.
	interCentreRoundTrip = 2 * 1400 * time.Microsecond
)

// memberQuota implements the quota of a dispatcher's queue with the quota ledger
// of its data centre.
type memberQuota struct{ d *dispatcher }

// Expected returns the member's cap, or only the slots that are usable without a
// further loan if borrowing failed recently.
func (c memberQuota) Expected(member string, now time.Time) (slots int) {
	l := &c.d.centre.ledger
	s, short := c.d.shortages[member]
	if !short || !now.Before(s.failedUntil) {
		return l.Cap(member)
	}
	a := c.d.account(member)
	return l.InUse(a) + l.Available(a, now, now)
}

// Use charges a task to the member's account and records a shortage if the quota
// is not enough. Overflow requests are not charged at the spare pool, because the
// dispatcher that sent them charges the task.
func (c memberQuota) Use(id, member string, slots int, until, now time.Time) (allowed bool) {
	if strings.HasPrefix(id, overflowPrefix) || c.d.centre.ledger.Use(id, c.d.account(member), slots, until, now) {
		return true
	}
	s, found := c.d.shortages[member]
	if !found {
		s = &shortage{}
		c.d.shortages[member] = s
	}
	s.slots, s.until = max(s.slots, slots), until
	return false
}

// Release returns the slots that Use charged.
func (c memberQuota) Release(id string) {
	c.d.centre.ledger.Release(id, c.d.now())
}

// shortage is the lack of quota of one member, for which a loan is requested.
type shortage struct {
	slots       int
	until       time.Time
	retryAt     time.Time
	failedUntil time.Time
	borrowing   bool
}

func (d *dispatcher) account(member string) quota.Account {
	return quota.Account{Member: member, Pool: d.name}
}

// borrow requests the loans that are needed and returns idle ones.
func (d *dispatcher) borrow() {
	for _, m := range slices.Sorted(maps.Keys(d.shortages)) {
		s, found := d.shortages[m]
		if found && s.slots > 0 && !s.borrowing && !d.now().Before(s.retryAt) {
			s.borrowing = true
			d.borrowFrom(m, s, d.lenders())
		}
	}
	for _, x := range d.centre.ledger.ReturnIdle(d.now()) {
		for _, c := range d.centre.policy.centres {
			if x.LenderPool != "" && c != d.centre {
				continue
			}
			d.centre.policy.sim.after(interCentreRoundTrip/2, func() { c.lend(x) })
		}
	}
}

// lender is a pool, or any pool of a data centre, that a loan is requested from.
type lender struct {
	centre *dataCentre
	pool   string
}

// lenders returns the other pools of this data centre, followed by the other data
// centres.
func (d *dispatcher) lenders() (list []lender) {
	for _, p := range d.centre.dispatchers {
		if p != d {
			list = append(list, lender{centre: d.centre, pool: p.name})
		}
	}
	for i := range d.centre.policy.centres {
		c := d.centre.policy.centres[(d.centre.index+i)%len(d.centre.policy.centres)]
		if c != d.centre {
			list = append(list, lender{centre: c})
		}
	}
	return list
}

// borrowFrom requests a loan from the first lender and continues with the others
// until there is enough quota.
func (d *dispatcher) borrowFrom(member string, s *shortage, list []lender) {
	l, a := &d.centre.ledger, d.account(member)
	need := s.slots - l.Available(a, s.until, d.now())
	until := l.NewLoanDeadline(d.now().Add(time.Hour), d.now())
	if need <= 0 || len(list) == 0 || until.Add(-clockError).Before(s.until) {
		d.finishBorrowing(a, s)
		return
	}
	from := list[0]
	x := quota.Loan{Member: member, LenderPool: from.pool, Borrower: d.centre.name + "/" + d.name, Slots: max(need, minLoanSlots), Until: until}
	delay := messageDelay
	if from.pool == "" {
		delay = interCentreRoundTrip / 2
	}
	sim := d.centre.policy.sim
	sim.after(delay, func() {
		x.Slots = from.centre.lend(x)
		sim.after(delay, func() {
			l.AddBorrowed(d.name, x, sim.now)
			d.decide()
			d.borrowFrom(member, s, list[1:])
		})
	})
}

// lend lends slots from the named pool, or from any pool if none is named.
func (x *dataCentre) lend(l quota.Loan) (slots int) {
	now := x.policy.sim.now
	if l.LenderPool != "" {
		return x.ledger.Lend(l, now)
	}
	for _, part := range x.ledger.LendAny(l, now) {
		slots += part.Slots
	}
	return slots
}

// finishBorrowing ends the requests for a loan and records whether they failed.
func (d *dispatcher) finishBorrowing(a quota.Account, s *shortage) {
	now := d.now()
	s.borrowing = false
	s.retryAt = now.Add(borrowRetryDelay)
	if d.centre.ledger.Available(a, s.until, now) < s.slots {
		s.failedUntil = now.Add(borrowFailureWindow)
	}
	s.slots = 0
	d.centre.ledger.Expire(now)
	d.decide()
}
