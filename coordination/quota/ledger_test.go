package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

const clockError = time.Second

// holder is a quota holder that keeps the ledger of one pool.
type holder struct {
	Ledger
	pool string
	// offset is how far its clock is ahead.
	offset time.Duration
	// pending holds the loans that it has requested, by deadline.
	pending map[string]Loan
}

// task is a use in effect.
type task struct {
	holder  *holder
	slots   int
	until   time.Time // by the clock of the holder
	version int64
}

// message is a request to lend, or its response.
type message struct {
	loan       Loan
	borrower   *holder
	lender     *holder
	isResponse bool
}

// cluster simulates several quota holders, the messages between them and the
// running tasks.
type cluster struct {
	now     time.Time
	states  []*fleet.State
	holders []*holder
	tasks   map[string]*task
	loans   []Loan // Slots is the version of the lender
	network []message
	serial  int
}

func newCluster() (s *cluster) {
	first := &fleet.State{
		Version:   1,
		Pools:     map[string]fleet.Pool{"p": {Name: "p"}, "q": {Name: "q"}},
		Members:   map[string]fleet.Member{"m": {Name: "m", Cap: 12}},
		Instances: map[string]fleet.Instance{},
	}
	s = &cluster{now: start, states: []*fleet.State{first}, tasks: map[string]*task{}}
	for i, dc := range []string{"north", "south"} {
		for j, pool := range []string{"p", "q"} {
			name := dc + pool
			first.Instances[name] = fleet.Instance{Name: name, DataCentre: dc, Pool: pool, Slots: 8}
			h := &holder{
				pool:    pool,
				Ledger:  Ledger{DataCentre: dc, ClockError: clockError, MaxUse: 20 * time.Second, MaxLoan: 8 * time.Second},
				offset:  clockError / 2 * time.Duration(2*((i+j)%2)-1),
				pending: map[string]Loan{},
			}
			s.holders = append(s.holders, h)
		}
	}
	for _, h := range s.holders {
		h.Observe(first)
		h.OpenPool(h.pool)
		h.SetInheritedLoans(h.pool, 0, time.Time{})
	}
	return s
}

func (s *cluster) randomHolder(t *rapid.T) (h *holder, now time.Time) {
	h = s.holders[rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")]
	return h, s.now.Add(h.offset)
}

func (s *cluster) use(t *rapid.T) {
	h, now := s.randomHolder(t)
	s.serial++
	id := fmt.Sprint(s.serial)
	x := &task{
		holder:  h,
		slots:   rapid.IntRange(1, 3).Draw(t, "slots"),
		until:   now.Add(time.Duration(rapid.IntRange(1, 22).Draw(t, "lasts")) * time.Second),
		version: h.Version(),
	}
	if h.Use(id, Account{Member: "m", Pool: h.pool}, x.slots, x.until, now) {
		s.tasks[id] = x
	}
}

func (s *cluster) release(t *rapid.T) {
	if len(s.tasks) > 0 {
		s.endTask(rapid.SampledFrom(slices.Sorted(maps.Keys(s.tasks))).Draw(t, "task"))
	}
}

func (s *cluster) endTask(id string) {
	x := s.tasks[id]
	x.holder.Release(id, s.now.Add(x.holder.offset))
	delete(s.tasks, id)
}

func (s *cluster) borrow(t *rapid.T) {
	h, now := s.randomHolder(t)
	lender := s.holders[rapid.IntRange(0, len(s.holders)-1).Draw(t, "lender")]
	if lender == h {
		return
	}
	x := Loan{
		Member:     "m",
		LenderPool: lender.pool,
		Borrower:   h.DataCentre + h.pool,
		Slots:      rapid.IntRange(1, 6).Draw(t, "slots"),
		Until:      h.NewLoanDeadline(now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "lasts"))*time.Second), now),
	}
	if lender.DataCentre != h.DataCentre {
		x.LenderPool = ""
	}
	h.pending[x.Until.String()] = x
	s.network = append(s.network, message{loan: x, borrower: h, lender: lender})
}

// abandonLoan stops waiting for a loan and returns whatever was lent.
func (s *cluster) abandonLoan(t *rapid.T) {
	h, _ := s.randomHolder(t)
	for _, m := range s.network {
		if x, waits := h.pending[m.loan.Until.String()]; waits && m.borrower == h {
			delete(h.pending, x.Until.String())
			x.Slots = 0
			s.network = append(s.network, message{loan: x, borrower: h, lender: m.lender})
			return
		}
	}
}

// deliver handles a random message; the message may stay in the network and be
// delivered again.
func (s *cluster) deliver(t *rapid.T) {
	if len(s.network) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
	m := s.network[at]
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		s.network = slices.Delete(s.network, at, at+1)
	}
	if m.isResponse {
		s.handleResponse(m)
		return
	}
	now := s.now.Add(m.lender.offset)
	lent := 0
	if m.loan.LenderPool == "" {
		for _, part := range m.lender.LendAny(m.loan, now) {
			lent += part.Slots
		}
	} else {
		lent = m.lender.Lend(m.loan, now)
	}
	s.loans = append(s.loans, Loan{Slots: int(m.lender.Version()), Until: m.loan.Until})
	m.loan.Slots, m.isResponse = lent, true
	s.network = append(s.network, m)
}

func (s *cluster) handleResponse(m message) {
	key := m.loan.Until.String()
	if _, waits := m.borrower.pending[key]; !waits {
		return
	}
	delete(m.borrower.pending, key)
	m.borrower.AddBorrowed(m.borrower.pool, m.loan, s.now.Add(m.borrower.offset))
}

func (s *cluster) returnIdleLoans(t *rapid.T) {
	h, now := s.randomHolder(t)
	for _, x := range h.ReturnIdle(now) {
		for _, lender := range s.holders {
			s.network = append(s.network, message{loan: x, borrower: h, lender: lender})
		}
	}
}

func (s *cluster) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "millis")) * time.Millisecond)
	for id, x := range s.tasks {
		if !s.now.Add(x.holder.offset).Before(x.until) {
			s.endTask(id)
		}
	}
	for _, h := range s.holders {
		h.Expire(s.now.Add(h.offset))
	}
}

// newVersion creates a configuration version with another cap or other slots of
// an instance.
func (s *cluster) newVersion(t *rapid.T) {
	next := *s.states[len(s.states)-1]
	next.Version++
	next.Instances, next.Members = maps.Clone(next.Instances), maps.Clone(next.Members)
	if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
		next.Members["m"] = fleet.Member{Name: "m", Cap: rapid.IntRange(0, 40).Draw(t, "cap")}
	} else {
		name := rapid.SampledFrom([]string{"northp", "northq", "southp", "southq"}).Draw(t, "instance")
		i := next.Instances[name]
		i.Slots = rapid.IntRange(0, 16).Draw(t, "slots")
		next.Instances[name] = i
	}
	s.states = append(s.states, &next)
}

func (s *cluster) observe(t *rapid.T) {
	h, now := s.randomHolder(t)
	h.Observe(s.states[rapid.IntRange(int(h.Version())-1, len(s.states)-1).Draw(t, "version")])
	if rapid.Bool().Draw(t, "confirms") {
		least := h.Version()
		for _, other := range s.holders {
			least = min(least, other.Version())
		}
		h.ConfirmVersion(least, now)
	}
}

// checkCap compares the slots in use with the caps that are still in effect.
func (s *cluster) checkCap(t *rapid.T) {
	inUse := 0
	oldest, newest := int64(len(s.states)), int64(1)
	for _, h := range s.holders {
		oldest, newest = min(oldest, h.Version()), max(newest, h.Version())
	}
	for _, x := range s.tasks {
		inUse += x.slots
		oldest = min(oldest, x.version)
	}
	for _, x := range s.loans {
		if s.now.Before(x.Until.Add(2 * clockError)) {
			oldest = min(oldest, int64(x.Slots))
		}
	}
	most := 0
	for _, state := range s.states[oldest-1 : newest] {
		most = max(most, state.Members["m"].Cap)
	}
	if inUse > most {
		t.Fatalf("%d slots in use, cap %d in versions %d to %d", inUse, most, oldest, newest)
	}
}

// Guards the cap under random sequences of uses and loans, with lost, repeated
// and reordered messages, clock errors and quota holders that have different
// versions.
func TestCapIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"use": s.use, "use2": s.use, "use3": s.use,
			"release": s.release,
			"borrow":  s.borrow, "borrow2": s.borrow,
			"deliver": s.deliver, "deliver2": s.deliver, "deliver3": s.deliver,
			"giveUp": s.abandonLoan, "giveBack": s.returnIdleLoans,
			"tick": s.advance, "change": s.newVersion,
			"learn": s.observe, "learn2": s.observe,
			"": s.checkCap,
		})
	})
}

// Guards against a ledger that only holds the cap because it never lends or
// grows: one pool can use the whole cap, and slots that move to another
// allocation can be used again.
func TestLoansAndReallocatedSlotsAreUsable(t *testing.T) {
	s := newCluster()
	h := s.holders[0]
	a := Account{Member: "m", Pool: h.pool}
	until := s.now.Add(5 * time.Second)
	for _, lender := range s.holders[1:] {
		x := Loan{Member: "m", Borrower: "northp", Slots: 12, Until: h.NewLoanDeadline(until, s.now)}
		for _, part := range lender.LendAny(x, s.now) {
			part.LenderPool = ""
			h.AddBorrowed(h.pool, part, s.now)
		}
	}
	if got := h.Available(a, until, s.now); got != 12 {
		t.Errorf("room for %d slots with all loans, want 12", got)
	}
	later := s.now.Add(20 * time.Second)
	if got := h.Available(a, until, later); got != 3 {
		t.Errorf("room for %d slots after the loans ended, want the allocation of 3", got)
	}
	moved := *s.states[0]
	moved.Version = 2
	moved.Instances = maps.Clone(moved.Instances)
	delete(moved.Instances, "southp")
	delete(moved.Instances, "southq")
	h.Observe(&moved)
	if got := h.Allocation(a); got != 3 {
		t.Errorf("allocation %d before the others have the version, want 3", got)
	}
	h.ConfirmVersion(2, later)
	if got := h.Allocation(a); got != 3 {
		t.Errorf("allocation %d before older uses have ended, want 3", got)
	}
	h.ConfirmVersion(2, later.Add(h.MaxUse+2*clockError))
	if got := h.Allocation(a); got != 6 {
		t.Errorf("allocation %d, want half of the cap for one of two pools", got)
	}
}

// Guards against a new quota holder that uses slots that its predecessor lent,
// or that tasks of its predecessor still use.
func TestNewQuotaHolderWaitsForKnownLoans(t *testing.T) {
	s := newCluster()
	lender, borrower := s.holders[0], s.holders[1]
	a := Account{Member: "m", Pool: "p"}
	x := Loan{Member: "m", LenderPool: "p", Borrower: "northq", Slots: 2, Until: s.now.Add(6 * time.Second)}
	x.Slots = lender.Lend(x, s.now)
	borrower.AddBorrowed("q", x, s.now)
	next := &Ledger{DataCentre: "north", ClockError: clockError}
	next.Observe(s.states[0])
	next.OpenPool("p")
	if got := next.Available(a, s.now, s.now); got != 0 {
		t.Errorf("room for %d slots before the loans of the predecessor are known", got)
	}
	lent, until := borrower.KnownLoans("p", s.now)
	next.SetInheritedLoans("p", lent, until)
	if got := next.Available(a, s.now, s.now); got != 1 {
		t.Errorf("room for %d slots, want 3 less 2 lent", got)
	}
	next.SetUntracked("p", 1)
	if got := next.Available(a, s.now, s.now); got != 0 {
		t.Errorf("room for %d slots, want 0 with one untracked task", got)
	}
	next.SetUntracked("p", 0)
	if got := next.Available(a, until, until); got != 3 {
		t.Errorf("room for %d slots after the loan ended, want 3", got)
	}
}

// Guards the cap while a pool changes its owner and two entries keep its
// ledger: a loan of one is taken from the slots available to the other, or
// refused by it.
func TestTwoQuotaHoldersLendOnce(t *testing.T) {
	s := newCluster()
	old, next := s.holders[0], &Ledger{DataCentre: "north", ClockError: clockError}
	next.Observe(s.states[0])
	next.OpenPool("p")
	next.SetInheritedLoans("p", 0, s.now)
	a := Account{Member: "m", Pool: "p"}
	x := Loan{Member: "m", LenderPool: "p", Borrower: "south/q/s1/1", Slots: 2, Until: s.now.Add(6 * time.Second)}
	x.Slots = old.Lend(x, s.now)
	if kept := next.StoreCopy(x, s.now); !kept || next.Available(a, s.now, s.now) != 1 {
		t.Errorf("copy kept %t, then room for %d slots, want 3 less 2 lent", kept, next.Available(a, s.now, s.now))
	}
	if kept := next.StoreCopy(x, s.now); !kept || next.Available(a, s.now, s.now) != 1 {
		t.Errorf("same copy again kept %t, then room for %d slots, want 1", kept, next.Available(a, s.now, s.now))
	}
	y := x
	y.Borrower = "south/q/s2/1"
	if kept := next.StoreCopy(y, s.now); kept || next.Available(a, s.now, s.now) != 1 {
		t.Errorf("copy of a loan without room kept %t, then room for %d slots, want 1", kept, next.Available(a, s.now, s.now))
	}
	next.ClosePool("p")
	next.SetUntracked("p", 1)
	if kept := next.StoreCopy(y, s.now); !kept {
		t.Error("copy of a loan refused by an entry that closed the pool")
	}
	fresh := &Ledger{DataCentre: "north", ClockError: clockError}
	fresh.Observe(s.states[0])
	fresh.OpenPool("p")
	if fresh.StoreCopy(x, s.now) {
		t.Error("copy of a loan stored by a quota holder that has not called Settle")
	}
}

// Guards boundary cases that random steps seldom reach: when lender and
// borrower stop counting a loan, repeated and late requests, and the longest
// use.
func TestLoanBoundaries(t *testing.T) {
	s := newCluster()
	lender, borrower := s.holders[0], s.holders[1]
	from, to := Account{Member: "m", Pool: "p"}, Account{Member: "m", Pool: "q"}
	x := Loan{Member: "m", LenderPool: "p", Borrower: "northq", Slots: 2, Until: s.now.Add(6 * time.Second)}
	if first, again := lender.Lend(x, s.now), lender.Lend(x, s.now); first != 2 || again != 2 {
		t.Errorf("lent %d slots, %d on the same request again, want 2 and 2", first, again)
	}
	borrower.AddBorrowed("q", x, s.now)
	ends, frees := x.Until.Add(-clockError), x.Until.Add(clockError)
	for _, c := range []struct {
		what  string
		room  int
		wants int
	}{
		{"lender while the loan lasts", lender.Available(from, s.now, frees.Add(-time.Millisecond)), 1},
		{"lender after the loan", lender.Available(from, s.now, frees), 3},
		{"borrower for a task within the loan", borrower.Available(to, ends, s.now), 5},
		{"borrower for a longer task", borrower.Available(to, ends.Add(time.Millisecond), s.now), 3},
	} {
		if c.room != c.wants {
			t.Errorf("%s: room for %d slots, want %d", c.what, c.room, c.wants)
		}
	}
	back := x
	back.Slots = 0
	if lent := lender.Lend(back, s.now); lent != 0 || lender.Lend(x, s.now) != 0 {
		t.Error("a repeated request raised a loan that was returned")
	}
	early := Loan{Member: "m", LenderPool: "p", Borrower: "northq", Until: s.now.Add(5 * time.Second)}
	lender.Lend(early, s.now)
	if early.Slots = 2; lender.Lend(early, s.now) != 0 {
		t.Error("a loan was granted on a request that arrived after its return")
	}
	if lender.Use("long", from, 1, s.now.Add(lender.MaxUse+2*clockError), s.now) {
		t.Error("a use longer than MaxUse was allowed")
	}
}
