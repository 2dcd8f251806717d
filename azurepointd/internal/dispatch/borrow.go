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

// Operations of Borrow. They are sent with their arguments as a URL query in
// BorrowRequest.Borrower, because the message has no fields for them.
const (
	// opLend requests a loan, or returns it if the number of slots is zero.
	// "from" is the lending pool in the same data centre; without it any pool
	// may lend.
	opLend = "lend"
	// opMirror stores a copy of a loan at another entry of the data centre.
	opMirror = "mirror"
	// opKnown queries how many slots of the pool "from" are lent according to
	// the ledger of the entry.
	opKnown = "known"
)

// peerTimeout bounds one call to another entry. The entries of a region are a
// few milliseconds apart.
const peerTimeout = 500 * time.Millisecond

// lenderRetryDelay is how long a data centre is not asked for loans after a
// call to it failed.
const lenderRetryDelay = 2 * time.Second

// minLoanSlots is the smallest loan that is requested, so that the next tasks
// of the member need no further loan.
const minLoanSlots = 4

// Borrow lends slots of a member's cap to another dispatcher, and handles the
// other operations on the quota ledger.
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
	loan := quota.Loan{
		Member:     r.GetMember(),
		LenderPool: args.Get("from"),
		Borrower:   args.Get("to"),
		Slots:      int(r.GetSlots()),
		Until:      time.UnixMilli(r.GetUntilUnixMillis()),
	}
	switch args.Get("op") {
	case opLend:
		return d.lend(ctx, loan)
	case opMirror:
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.ledger.StoreCopy(loan, time.Now()) {
			return &peerrpc.BorrowReply{}, nil
		}
		return &peerrpc.BorrowReply{Slots: r.GetSlots()}, nil
	case opKnown:
		d.mu.Lock()
		defer d.mu.Unlock()
		slots, until := d.ledger.KnownLoans(loan.LenderPool, time.Now())
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

// lend grants a loan to a borrower in the same data centre, which names the
// lending pool, or in another data centre, which names none.
func (d *Dispatcher) lend(ctx context.Context, loan quota.Loan) (reply *peerrpc.BorrowReply, err error) {
	if loan.LenderPool != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		return loanReply(d.ledger.Lend(loan, time.Now()), loan.Until), nil
	}
	d.mu.Lock()
	parts := d.ledger.LendAny(loan, time.Now())
	d.mu.Unlock()
	slots := 0
	for _, part := range parts {
		if part.Slots > 0 && loan.Slots > 0 && !d.mirrorLoan(ctx, part) {
			part.Slots = 0
			d.mu.Lock()
			d.ledger.Lend(part, time.Now())
			d.mu.Unlock()
		}
		slots += part.Slots
	}
	countLentSlots.Inc(int64(slots))
	return loanReply(slots, loan.Until), nil
}

// mirrorLoan stores a copy of a loan at the entry that would be the next quota
// holder of its pool, because a loan known to one entry only would be lost with
// that entry. An entry that is a quota holder of the pool as well refuses a
// loan for which it has no room.
func (d *Dispatcher) mirrorLoan(ctx context.Context, loan quota.Loan) (stored bool) {
	next, found := membership.Rendezvous(d.otherEntries(), "pool/"+loan.LenderPool)
	if !found {
		return false
	}
	reply, err := d.callBorrow(ctx, next, loan, opMirror)
	return err == nil && int(reply.GetSlots()) >= loan.Slots
}

// otherEntries returns the other live entries of the data centre that are not
// leaving.
func (d *Dispatcher) otherEntries() (entries []membership.Entry) {
	self := d.Peers.Self()
	for _, e := range d.Peers.Live() {
		if e.Name != self.Name && !e.Leaving {
			entries = append(entries, e)
		}
	}
	return entries
}

func (d *Dispatcher) callBorrow(ctx context.Context, e membership.Entry, loan quota.Loan, op string) (*peerrpc.BorrowReply, error) {
	r := &peerrpc.BorrowRequest{
		Member:          loan.Member,
		Slots:           int32(loan.Slots),
		Borrower:        url.Values{"op": {op}, "from": {loan.LenderPool}, "to": {loan.Borrower}}.Encode(),
		UntilUnixMillis: loan.Until.UnixMilli(),
	}
	if e.Name == d.Peers.Self().Name {
		return d.Borrow(ctx, r)
	}
	p, err := d.Peers.Dial(e.Name, e.Incarnation)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.Borrow(callCtx, r)
}

// lender is an entry, and in the same data centre a pool, that may grant a
// loan.
type lender struct {
	entry membership.Entry
	pool  string
}

// lenders returns the possible lenders of slots of a member's cap: first the
// other pools of the data centre, then the entries of the other data centres.
// The caller holds the lock.
func (d *Dispatcher) lenders(a quota.Account, now time.Time) (list []lender) {
	state := d.Fleet.State()
	for name := range state.Pools {
		if name != a.Pool {
			list = append(list, lender{entry: d.Peers.Owner("pool/" + name), pool: name})
		}
	}
	slices.SortFunc(list, func(x, y lender) int { return d.compareLenders(a, x.pool, y.pool) })
	for _, dc := range d.otherDataCentres(state) {
		if now.Before(d.lenderRetryAt[dc]) {
			continue
		}
		for _, e := range d.Peers.Remote(dc) {
			list = append(list, lender{entry: e})
		}
	}
	return list
}

// compareLenders orders lending pools by rendezvous hashing, so that accounts
// spread over the pools from which they borrow.
func (d *Dispatcher) compareLenders(a quota.Account, x, y string) int {
	first := membership.Entry{Name: x}
	best, _ := membership.Rendezvous([]membership.Entry{first, {Name: y}}, a.Member+"/"+a.Pool)
	if best.Name == x {
		return -1
	}
	return 1
}

// startBorrowing starts requests for the loans that are needed; the caller
// holds the lock.
func (d *Dispatcher) startBorrowing(ctx context.Context, now time.Time) {
	for a, s := range d.shortages {
		p, found := d.pools[a.Pool]
		switch {
		case s.borrowing, found && p.collectingLoans:
		case !found || p.handedOver || (s.slots == 0 && now.After(s.noLoansUntil)):
			delete(d.shortages, a)
		case s.slots > 0 && !now.Before(s.retryAt):
			s.borrowing = true
			d.goBackground(func() { d.borrow(ctx, p, a, s) })
		}
	}
}

// borrow requests loans from one lender after the other until the account has
// the slots that it needs.
func (d *Dispatcher) borrow(ctx context.Context, p *pool, a quota.Account, s *shortage) {
	d.mu.Lock()
	list := d.lenders(a, time.Now())
	d.mu.Unlock()
	for _, next := range list {
		if ctx.Err() != nil || !d.borrowFrom(ctx, p, a, s, next) {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s.borrowing = false
	s.retryAt = now.Add(borrowRetryDelay)
	if d.ledger.Available(a, s.until, now) < s.slots {
		s.noLoansUntil = now.Add(noLoanPeriod)
	}
	s.slots = 0
	p.decideQueue(now)
	d.wakeLoop()
}

// borrowFrom requests a loan from one lender; needMore reports whether
// further loans are needed.
func (d *Dispatcher) borrowFrom(ctx context.Context, p *pool, a quota.Account, s *shortage, from lender) (needMore bool) {
	d.mu.Lock()
	now := time.Now()
	need := s.slots - d.ledger.Available(a, s.until, now)
	loan := quota.Loan{
		Member:     a.Member,
		LenderPool: from.pool,
		Borrower:   d.borrowerID(a.Pool),
		Slots:      max(need, minLoanSlots),
		Until:      d.ledger.NewLoanDeadline(now.Add(time.Hour), now),
		Lender:     from.entry.Name,
	}
	tooLong := loan.Until.Add(-d.ClockError).Before(s.until)
	d.mu.Unlock()
	if need <= 0 || tooLong {
		return false
	}
	reply, err := d.callBorrow(ctx, from.entry, loan, opLend)

	d.mu.Lock()
	defer d.mu.Unlock()
	now = time.Now()
	if err != nil {
		d.cancelLoan(ctx, from, loan, now)
		return true
	}
	if loan.Slots = min(loan.Slots, int(reply.GetSlots())); loan.Slots > 0 {
		countBorrowedSlots.Inc(int64(loan.Slots))
		d.ledger.AddBorrowed(a.Pool, loan, now)
		p.decideQueue(now)
	}
	return d.ledger.Available(a, s.until, now) < s.slots
}

// cancelLoan returns a loan whose request was not answered, because it may have
// been granted; the caller holds the lock.
func (d *Dispatcher) cancelLoan(ctx context.Context, from lender, loan quota.Loan, now time.Time) {
	if from.pool == "" {
		if d.lenderRetryAt == nil {
			d.lenderRetryAt = make(map[string]time.Time)
		}
		d.lenderRetryAt[from.entry.DataCentre] = now.Add(lenderRetryDelay)
	}
	loan.Slots = 0
	d.goBackground(func() { _, _ = d.callBorrow(ctx, from.entry, loan, opLend) })
}

// borrowerID identifies this entry and its incarnation as quota holder of a
// pool.
func (d *Dispatcher) borrowerID(pool string) string {
	self := d.Peers.Self()
	return fmt.Sprintf("%s/%s/%s/%d", self.DataCentre, pool, self.Name, self.Incarnation)
}

// returnUnusedLoans returns the loans that are not used; the caller holds the
// lock.
func (d *Dispatcher) returnUnusedLoans(ctx context.Context, now time.Time) {
	for _, loan := range d.ledger.ReturnIdle(now) {
		to := membership.Entry{Name: loan.Lender}
		d.goBackground(func() {
			_, _ = d.callBorrow(ctx, to, loan, opLend) // otherwise the loan ends at its deadline
		})
	}
}

// collectLoans queries the other entries for the loans that earlier quota
// holders of the pool granted. If one of them does not answer, all slots of the
// pool count as lent until any such loan must have ended.
func (d *Dispatcher) collectLoans(ctx context.Context, p *pool) {
	d.mu.Lock()
	total, until := d.ledger.KnownLoans(p.name, time.Now())
	d.mu.Unlock()
	complete := true
	for _, e := range d.Peers.Live() {
		if e.Name == d.Peers.Self().Name {
			continue
		}
		reply, err := d.callBorrow(ctx, e, quota.Loan{LenderPool: p.name, Until: time.UnixMilli(0)}, opKnown)
		if err != nil {
			complete = false
			continue
		}
		total += int(reply.GetSlots())
		until = laterOf(until, time.UnixMilli(reply.GetUntilUnixMillis()))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !complete {
		total, until = math.MaxInt32, d.ledger.LatestLoanEnd(now)
		event.LoansIncomplete.Log(log.Fields{"pool": p.name, "until": until})
	}
	p.collectingLoans = false
	if !p.handedOver {
		d.ledger.SetInheritedLoans(p.name, total, until)
		p.decideQueue(now)
	}
	d.wakeLoop()
}
