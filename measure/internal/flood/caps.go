package flood

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/quota"
)

// Pauses and sizes of the dispatcher's loans.
const (
	borrowAgain   = 500 * time.Millisecond
	expectNoLoans = time.Second
	loanAmple     = 4
	// betweenCentres is a call to another data centre and back.
	betweenCentres = 2 * 1400 * time.Microsecond
)

// caps is the quota of a dispatcher's members by the ledger.
type caps struct{ d *dispatcher }

// Expected returns the cap, or what is usable if no loan was to be had lately.
func (c caps) Expected(member string, now time.Time) (slots int) {
	l := &c.d.centre.ledger
	s, short := c.d.shortages[member]
	if !short || !now.Before(s.failedUntil) {
		return l.Cap(member)
	}
	a := c.d.account(member)
	return l.InUse(a) + l.Room(a, now, now)
}

// Use charges a task to the member's account.
func (c caps) Use(id, member string, slots int, until, now time.Time) (allowed bool) {
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

// Release gives back what Use charged.
func (c caps) Release(id string) {
	c.d.centre.ledger.Release(id, c.d.now())
}

// shortage is a member that needs a loan.
type shortage struct {
	slots       int
	until       time.Time
	retryAt     time.Time
	failedUntil time.Time
	asking      bool
}

func (d *dispatcher) account(member string) quota.Account {
	return quota.Account{Member: member, Pool: d.name}
}

// borrow starts to ask for the loans that are needed, and returns idle ones.
func (d *dispatcher) borrow() {
	for _, m := range slices.Sorted(maps.Keys(d.shortages)) {
		s, found := d.shortages[m]
		if found && s.slots > 0 && !s.asking && !d.now().Before(s.retryAt) {
			s.asking = true
			d.borrowNext(m, s, d.lenders())
		}
	}
	for _, x := range d.centre.ledger.GiveBack(d.now()) {
		for _, c := range d.centre.policy.centres {
			if x.From != "" && c != d.centre {
				continue
			}
			d.centre.policy.world.after(betweenCentres/2, func() { c.lend(x) })
		}
	}
}

// lender is where a loan can be asked for.
type lender struct {
	centre *centre
	pool   string
}

// lenders returns the other pools of the data centre and then the other ones.
func (d *dispatcher) lenders() (list []lender) {
	for _, p := range d.centre.pools {
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

// borrowNext asks the first lender and goes on until there is enough room.
func (d *dispatcher) borrowNext(member string, s *shortage, list []lender) {
	l, a := &d.centre.ledger, d.account(member)
	need := s.slots - l.Room(a, s.until, d.now())
	until := l.Deadline(d.now().Add(time.Hour), d.now())
	if need <= 0 || len(list) == 0 || until.Add(-clockError).Before(s.until) {
		d.borrowed(a, s)
		return
	}
	from := list[0]
	x := quota.Loan{Member: member, From: from.pool, To: d.centre.name + "/" + d.name, Slots: max(need, loanAmple), Until: until}
	delay := hop
	if from.pool == "" {
		delay = betweenCentres / 2
	}
	w := d.centre.policy.world
	w.after(delay, func() {
		x.Slots = from.centre.lend(x)
		w.after(delay, func() {
			l.Borrowed(d.name, x, w.now)
			d.decide()
			d.borrowNext(member, s, list[1:])
		})
	})
}

// lend lends from one pool or from any.
func (x *centre) lend(l quota.Loan) (slots int) {
	now := x.policy.world.now
	if l.From != "" {
		return x.ledger.Lend(l, now)
	}
	for _, part := range x.ledger.LendAny(l, now) {
		slots += part.Slots
	}
	return slots
}

// borrowed ends the search for a loan.
func (d *dispatcher) borrowed(a quota.Account, s *shortage) {
	now := d.now()
	s.asking = false
	s.retryAt = now.Add(borrowAgain)
	if d.centre.ledger.Room(a, s.until, now) < s.slots {
		s.failedUntil = now.Add(expectNoLoans)
	}
	s.slots = 0
	d.centre.ledger.Expire(now)
	d.decide()
}
