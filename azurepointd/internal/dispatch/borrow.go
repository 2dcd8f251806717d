package dispatch

import (
	"context"
	"fmt"
	"math"
	"net/url"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/quota"
)

// Operations of Borrow. BorrowRequest.Borrower carries them with their
// arguments as an URL query, because the message has no fields for them.
const (
	// opLend asks for a loan, or returns it with no slots. "from" is the pool
	// of a lender in the same data centre; without it any pool lends.
	opLend = "lend"
	// opMirror gives a copy of a loan to another entry of the data centre.
	opMirror = "mirror"
	// opKnown asks how much is known to be lent of the pool "from".
	opKnown = "known"
)

// peerTimeout bounds one call to another entry; the entries of a region are a
// few milliseconds apart.
const peerTimeout = 500 * time.Millisecond

// lenderPause is how long a data centre is not asked for loans after a failure.
const lenderPause = 2 * time.Second

// loanAmple is how many slots are asked for at least, so that the next tasks of
// the member need no further loan.
const loanAmple = 4

// Borrow lends slots of a member's cap to another dispatcher, and serves the
// other operations that keep the books on loans.
func (d *Dispatcher) Borrow(ctx context.Context, r *peerrpc.BorrowRequest) (reply *peerrpc.BorrowReply, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dispatch: borrow %q: %w", r.GetBorrower(), err)
		}
	}()
	args, err := url.ParseQuery(r.GetBorrower())
	if err != nil {
		return nil, err
	}
	x := quota.Loan{
		Member: r.GetMember(),
		From:   args.Get("from"),
		To:     args.Get("to"),
		Slots:  int(r.GetSlots()),
		Until:  time.UnixMilli(r.GetUntilUnixMillis()),
	}
	switch args.Get("op") {
	case opLend:
		return d.lend(ctx, x)
	case opMirror:
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.ledger.Mirror(x, time.Now()) {
			return &peerrpc.BorrowReply{}, nil
		}
		return &peerrpc.BorrowReply{Slots: r.GetSlots()}, nil
	case opKnown:
		d.mu.Lock()
		defer d.mu.Unlock()
		slots, until := d.ledger.Known(x.From, time.Now())
		return loanReply(slots, until), nil
	default:
		return nil, fmt.Errorf("operation %q is none of lend, mirror, known", args.Get("op"))
	}
}

func loanReply(slots int, until time.Time) *peerrpc.BorrowReply {
	reply := &peerrpc.BorrowReply{Slots: int32(slots)}
	if !until.IsZero() {
		reply.UntilUnixMillis = until.UnixMilli()
	}
	return reply
}

// lend lends to a borrower in the same data centre, which knows the pool that
// it borrows from, or to one in another data centre, which does not.
func (d *Dispatcher) lend(ctx context.Context, x quota.Loan) (reply *peerrpc.BorrowReply, err error) {
	if x.From != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		return loanReply(d.ledger.Lend(x, time.Now()), x.Until), nil
	}
	d.mu.Lock()
	parts := d.ledger.LendAny(x, time.Now())
	d.mu.Unlock()
	slots := 0
	for _, part := range parts {
		if part.Slots > 0 && x.Slots > 0 && !d.mirror(ctx, part) {
			part.Slots = 0
			d.mu.Lock()
			d.ledger.Lend(part, time.Now())
			d.mu.Unlock()
		}
		slots += part.Slots
	}
	lent.Inc(int64(slots))
	return loanReply(slots, x.Until), nil
}

// mirror gives a copy of a loan to the entry that would be the next keeper of
// its pool; a loan that no other entry knows would be lost with this one. An entry
// that keeps the pool as well refuses what it has no room for.
func (d *Dispatcher) mirror(ctx context.Context, x quota.Loan) (known bool) {
	next, found := membership.Rendezvous(d.others(), "pool/"+x.From)
	if !found {
		return false
	}
	reply, err := d.callBorrow(ctx, next, x, opMirror)
	return err == nil && int(reply.GetSlots()) >= x.Slots
}

// others returns the other live entries of the data centre that do not leave.
func (d *Dispatcher) others() (entries []membership.Entry) {
	self := d.Peers.Self()
	for _, e := range d.Peers.Live() {
		if e.Name != self.Name && !e.Leaving {
			entries = append(entries, e)
		}
	}
	return entries
}

func (d *Dispatcher) callBorrow(ctx context.Context, e membership.Entry, x quota.Loan, op string) (*peerrpc.BorrowReply, error) {
	r := &peerrpc.BorrowRequest{
		Member:          x.Member,
		Slots:           int32(x.Slots),
		Borrower:        url.Values{"op": {op}, "from": {x.From}, "to": {x.To}}.Encode(),
		UntilUnixMillis: x.Until.UnixMilli(),
	}
	if e.Name == d.Peers.Self().Name {
		return d.Borrow(ctx, r)
	}
	p, err := d.Peers.Dial(e.Name, e.Incarnation)
	if err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.Borrow(limited, r)
}

// lender is where a loan can be asked for.
type lender struct {
	entry membership.Entry
	pool  string
}

// lenders returns where slots of a member's cap can be borrowed: from the other
// pools of the data centre first, then from the entries of the other ones. The
// caller holds the lock.
func (d *Dispatcher) lenders(a quota.Account, now time.Time) (list []lender) {
	state := d.Fleet.State()
	for name := range state.Pools {
		if name != a.Pool {
			list = append(list, lender{entry: d.Peers.Owner("pool/" + name), pool: name})
		}
	}
	slices.SortFunc(list, func(x, y lender) int { return d.order(a, x.pool, y.pool) })
	for _, dc := range d.otherCentres(state) {
		if now.Before(d.lenderPauses[dc]) {
			continue
		}
		for _, e := range d.Peers.Remote(dc) {
			list = append(list, lender{entry: e})
		}
	}
	return list
}

// order spreads the accounts over the pools that they borrow from.
func (d *Dispatcher) order(a quota.Account, x, y string) int {
	first := membership.Entry{Name: x}
	best, _ := membership.Rendezvous([]membership.Entry{first, {Name: y}}, a.Member+"/"+a.Pool)
	if best.Name == x {
		return -1
	}
	return 1
}

// borrowAll starts asking for the loans that are needed; the caller holds the
// lock.
func (d *Dispatcher) borrowAll(ctx context.Context, now time.Time) {
	for a, s := range d.shortages {
		p, found := d.pools[a.Pool]
		switch {
		case s.asking, found && p.settling:
		case !found || p.handedOver || (s.slots == 0 && now.After(s.failedUntil)):
			delete(d.shortages, a)
		case s.slots > 0 && !now.Before(s.retryAt):
			s.asking = true
			d.start(func() { d.borrow(ctx, p, a, s) })
		}
	}
}

// borrow asks one lender after the other until the account has what it needs.
func (d *Dispatcher) borrow(ctx context.Context, p *pool, a quota.Account, s *shortage) {
	d.mu.Lock()
	list := d.lenders(a, time.Now())
	d.mu.Unlock()
	for _, x := range list {
		if ctx.Err() != nil || !d.borrowFrom(ctx, p, a, s, x) {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s.asking = false
	s.retryAt = now.Add(borrowAgain)
	if d.ledger.Room(a, s.until, now) < s.slots {
		s.failedUntil = now.Add(expectNoLoans)
	}
	s.slots = 0
	p.decide(now)
	d.kick()
}

// borrowFrom asks one lender; more tells whether further loans are needed.
func (d *Dispatcher) borrowFrom(ctx context.Context, p *pool, a quota.Account, s *shortage, from lender) (more bool) {
	d.mu.Lock()
	now := time.Now()
	need := s.slots - d.ledger.Room(a, s.until, now)
	x := quota.Loan{
		Member: a.Member,
		From:   from.pool,
		To:     d.borrower(a.Pool),
		Slots:  max(need, loanAmple),
		Until:  d.ledger.Deadline(now.Add(time.Hour), now),
		Lender: from.entry.Name,
	}
	tooLong := x.Until.Add(-d.ClockError).Before(s.until)
	d.mu.Unlock()
	if need <= 0 || tooLong {
		return false
	}
	reply, err := d.callBorrow(ctx, from.entry, x, opLend)

	d.mu.Lock()
	defer d.mu.Unlock()
	now = time.Now()
	if err != nil {
		d.giveUp(ctx, from, x, now)
		return true
	}
	if x.Slots = min(x.Slots, int(reply.GetSlots())); x.Slots > 0 {
		borrowedSlots.Inc(int64(x.Slots))
		d.ledger.Borrowed(a.Pool, x, now)
		p.decide(now)
	}
	return d.ledger.Room(a, s.until, now) < s.slots
}

// giveUp returns a loan whose request got no answer, since it may have been
// granted; the caller holds the lock.
func (d *Dispatcher) giveUp(ctx context.Context, from lender, x quota.Loan, now time.Time) {
	if from.pool == "" {
		if d.lenderPauses == nil {
			d.lenderPauses = make(map[string]time.Time)
		}
		d.lenderPauses[from.entry.DataCentre] = now.Add(lenderPause)
	}
	x.Slots = 0
	d.start(func() { _, _ = d.callBorrow(ctx, from.entry, x, opLend) })
}

// borrower names this keeper of a pool.
func (d *Dispatcher) borrower(pool string) string {
	self := d.Peers.Self()
	return fmt.Sprintf("%s/%s/%s/%d", self.DataCentre, pool, self.Name, self.Incarnation)
}

// returnLoans gives back loans that are not used; the caller holds the lock.
func (d *Dispatcher) returnLoans(ctx context.Context, now time.Time) {
	for _, x := range d.ledger.GiveBack(now) {
		to := membership.Entry{Name: x.Lender}
		d.start(func() {
			_, _ = d.callBorrow(ctx, to, x, opLend) // the loan ends by its deadline otherwise
		})
	}
}

// settle asks the other entries what an earlier keeper of the pool lent.
func (d *Dispatcher) settle(ctx context.Context, p *pool) {
	d.mu.Lock()
	total, until := d.ledger.Known(p.name, time.Now())
	d.mu.Unlock()
	complete := true
	for _, e := range d.Peers.Live() {
		if e.Name == d.Peers.Self().Name {
			continue
		}
		reply, err := d.callBorrow(ctx, e, quota.Loan{From: p.name, Until: time.UnixMilli(0)}, opKnown)
		if err != nil {
			complete = false
			continue
		}
		total += int(reply.GetSlots())
		until = latest(until, time.UnixMilli(reply.GetUntilUnixMillis()))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !complete {
		total, until = math.MaxInt32, d.ledger.LoansEnd(now)
		event.BooksIncomplete.Log(log.Fields{"pool": p.name, "until": until})
	}
	p.settling = false
	if !p.handedOver {
		d.ledger.Settle(p.name, total, until)
		p.decide(now)
	}
	d.kick()
}
