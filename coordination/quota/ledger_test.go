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

// keeper is an entry that keeps the books of one pool.
type keeper struct {
	Ledger
	pool string
	// offset is how far its clock is ahead.
	offset time.Duration
	// asked are the loans that it waits for.
	asked map[string]Loan
}

// task is a use in effect.
type task struct {
	keeper  *keeper
	slots   int
	until   time.Time // by the clock of the keeper
	version int64
}

// message is a request to lend, or the answer to one.
type message struct {
	loan     Loan
	borrower *keeper
	lender   *keeper
	isAnswer bool
}

// system is several keepers, the messages between them and the tasks that run.
type system struct {
	now     time.Time
	states  []*fleet.State
	keepers []*keeper
	tasks   map[string]*task
	loans   []Loan // with Slots as the version of the lender
	network []message
	serial  int
}

func newSystem() (s *system) {
	first := &fleet.State{
		Version:   1,
		Pools:     map[string]fleet.Pool{"p": {Name: "p"}, "q": {Name: "q"}},
		Members:   map[string]fleet.Member{"m": {Name: "m", Cap: 12}},
		Instances: map[string]fleet.Instance{},
	}
	s = &system{now: start, states: []*fleet.State{first}, tasks: map[string]*task{}}
	for i, dc := range []string{"north", "south"} {
		for j, pool := range []string{"p", "q"} {
			name := dc + pool
			first.Instances[name] = fleet.Instance{Name: name, DataCentre: dc, Pool: pool, Slots: 8}
			k := &keeper{
				pool:   pool,
				Ledger: Ledger{DataCentre: dc, ClockError: clockError, Hold: 20 * time.Second, MaxLoan: 8 * time.Second},
				offset: clockError / 2 * time.Duration(2*((i+j)%2)-1),
				asked:  map[string]Loan{},
			}
			s.keepers = append(s.keepers, k)
		}
	}
	for _, k := range s.keepers {
		k.Observe(first)
		k.Open(k.pool)
		k.Settle(k.pool, 0, time.Time{})
	}
	return s
}

func (s *system) any(t *rapid.T) (k *keeper, now time.Time) {
	k = s.keepers[rapid.IntRange(0, len(s.keepers)-1).Draw(t, "keeper")]
	return k, s.now.Add(k.offset)
}

func (s *system) use(t *rapid.T) {
	k, now := s.any(t)
	s.serial++
	id := fmt.Sprint(s.serial)
	x := &task{
		keeper:  k,
		slots:   rapid.IntRange(1, 3).Draw(t, "slots"),
		until:   now.Add(time.Duration(rapid.IntRange(1, 22).Draw(t, "lasts")) * time.Second),
		version: k.Version(),
	}
	if k.Use(id, Account{Member: "m", Pool: k.pool}, x.slots, x.until, now) {
		s.tasks[id] = x
	}
}

func (s *system) release(t *rapid.T) {
	if len(s.tasks) > 0 {
		s.end(rapid.SampledFrom(slices.Sorted(maps.Keys(s.tasks))).Draw(t, "task"))
	}
}

func (s *system) end(id string) {
	x := s.tasks[id]
	x.keeper.Release(id, s.now.Add(x.keeper.offset))
	delete(s.tasks, id)
}

func (s *system) borrow(t *rapid.T) {
	k, now := s.any(t)
	lender := s.keepers[rapid.IntRange(0, len(s.keepers)-1).Draw(t, "lender")]
	if lender == k {
		return
	}
	x := Loan{
		Member: "m",
		From:   lender.pool,
		To:     k.DataCentre + k.pool,
		Slots:  rapid.IntRange(1, 6).Draw(t, "slots"),
		Until:  k.Deadline(now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "lasts"))*time.Second), now),
	}
	if lender.DataCentre != k.DataCentre {
		x.From = ""
	}
	k.asked[x.Until.String()] = x
	s.network = append(s.network, message{loan: x, borrower: k, lender: lender})
}

// giveUp stops waiting for a loan and gives back whatever was lent.
func (s *system) giveUp(t *rapid.T) {
	k, _ := s.any(t)
	for _, m := range s.network {
		if x, waits := k.asked[m.loan.Until.String()]; waits && m.borrower == k {
			delete(k.asked, x.Until.String())
			x.Slots = 0
			s.network = append(s.network, message{loan: x, borrower: k, lender: m.lender})
			return
		}
	}
}

// deliver handles any message of the network; it may stay for a second time.
func (s *system) deliver(t *rapid.T) {
	if len(s.network) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
	m := s.network[at]
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		s.network = slices.Delete(s.network, at, at+1)
	}
	if m.isAnswer {
		s.answer(m)
		return
	}
	now := s.now.Add(m.lender.offset)
	lent := 0
	if m.loan.From == "" {
		for _, part := range m.lender.LendAny(m.loan, now) {
			lent += part.Slots
		}
	} else {
		lent = m.lender.Lend(m.loan, now)
	}
	s.loans = append(s.loans, Loan{Slots: int(m.lender.Version()), Until: m.loan.Until})
	m.loan.Slots, m.isAnswer = lent, true
	s.network = append(s.network, m)
}

func (s *system) answer(m message) {
	key := m.loan.Until.String()
	if _, waits := m.borrower.asked[key]; !waits {
		return
	}
	delete(m.borrower.asked, key)
	m.borrower.Borrowed(m.borrower.pool, m.loan, s.now.Add(m.borrower.offset))
}

func (s *system) giveBack(t *rapid.T) {
	k, now := s.any(t)
	for _, x := range k.GiveBack(now) {
		for _, lender := range s.keepers {
			s.network = append(s.network, message{loan: x, borrower: k, lender: lender})
		}
	}
}

func (s *system) tick(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "millis")) * time.Millisecond)
	for id, x := range s.tasks {
		if !s.now.Add(x.keeper.offset).Before(x.until) {
			s.end(id)
		}
	}
	for _, k := range s.keepers {
		k.Expire(s.now.Add(k.offset))
	}
}

// change makes a new version: another cap, or slots that move.
func (s *system) change(t *rapid.T) {
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

func (s *system) learn(t *rapid.T) {
	k, now := s.any(t)
	k.Observe(s.states[rapid.IntRange(int(k.Version())-1, len(s.states)-1).Draw(t, "version")])
	if rapid.Bool().Draw(t, "confirms") {
		least := k.Version()
		for _, other := range s.keepers {
			least = min(least, other.Version())
		}
		k.Confirm(least, now)
	}
}

// check compares the slots in use with the caps that are still in effect.
func (s *system) check(t *rapid.T) {
	inUse := 0
	oldest, newest := int64(len(s.states)), int64(1)
	for _, k := range s.keepers {
		oldest, newest = min(oldest, k.Version()), max(newest, k.Version())
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

// Guards the cap under any order of uses, loans, lost, repeated and reordered
// messages, clock errors and entries that go by different versions.
func TestCapIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem()
		t.Repeat(map[string]func(*rapid.T){
			"use": s.use, "use2": s.use, "use3": s.use,
			"release": s.release,
			"borrow":  s.borrow, "borrow2": s.borrow,
			"deliver": s.deliver, "deliver2": s.deliver, "deliver3": s.deliver,
			"giveUp": s.giveUp, "giveBack": s.giveBack,
			"tick": s.tick, "change": s.change,
			"learn": s.learn, "learn2": s.learn,
			"": s.check,
		})
	})
}

// Guards against a ledger that is safe because it never lends or grows: one
// holder can come to use the whole cap, and a part that moves is usable again.
func TestLoansAndGrowthAreUsable(t *testing.T) {
	s := newSystem()
	k := s.keepers[0]
	a := Account{Member: "m", Pool: k.pool}
	until := s.now.Add(5 * time.Second)
	for _, lender := range s.keepers[1:] {
		x := Loan{Member: "m", To: "northp", Slots: 12, Until: k.Deadline(until, s.now)}
		for _, part := range lender.LendAny(x, s.now) {
			part.From = ""
			k.Borrowed(k.pool, part, s.now)
		}
	}
	if got := k.Room(a, until, s.now); got != 12 {
		t.Errorf("room for %d slots with all loans, want 12", got)
	}
	later := s.now.Add(20 * time.Second)
	if got := k.Room(a, until, later); got != 3 {
		t.Errorf("room for %d slots after the loans ended, want the part 3", got)
	}
	moved := *s.states[0]
	moved.Version = 2
	moved.Instances = maps.Clone(moved.Instances)
	delete(moved.Instances, "southp")
	delete(moved.Instances, "southq")
	k.Observe(&moved)
	if got := k.Part(a); got != 3 {
		t.Errorf("part %d before the others have the version, want 3", got)
	}
	k.Confirm(2, later)
	if got := k.Part(a); got != 3 {
		t.Errorf("part %d before older uses have ended, want 3", got)
	}
	k.Confirm(2, later.Add(k.Hold+2*clockError))
	if got := k.Part(a); got != 6 {
		t.Errorf("part %d, want half of the cap for one of two pools", got)
	}
}

// Guards against a new keeper that uses slots which its predecessor lent or
// which its tasks still use.
func TestNewKeeperWaitsForTheBooks(t *testing.T) {
	s := newSystem()
	lender, borrower := s.keepers[0], s.keepers[1]
	a := Account{Member: "m", Pool: "p"}
	x := Loan{Member: "m", From: "p", To: "northq", Slots: 2, Until: s.now.Add(6 * time.Second)}
	x.Slots = lender.Lend(x, s.now)
	borrower.Borrowed("q", x, s.now)
	next := &Ledger{DataCentre: "north", ClockError: clockError}
	next.Observe(s.states[0])
	next.Open("p")
	if got := next.Room(a, s.now, s.now); got != 0 {
		t.Errorf("room for %d slots before the books are known", got)
	}
	lent, until := borrower.Known("p", s.now)
	next.Settle("p", lent, until)
	if got := next.Room(a, s.now, s.now); got != 1 {
		t.Errorf("room for %d slots, want 3 less 2 lent", got)
	}
	next.SetForeign("p", 1)
	if got := next.Room(a, s.now, s.now); got != 0 {
		t.Errorf("room for %d slots, want 0 with one unknown task", got)
	}
	next.SetForeign("p", 0)
	if got := next.Room(a, until, until); got != 3 {
		t.Errorf("room for %d slots after the loan ended, want 3", got)
	}
}

// Guards the cap while a pool changes hands and two entries keep it: a loan of
// one is taken from the room of the other, or refused by it.
func TestTwoKeepersLendOnce(t *testing.T) {
	s := newSystem()
	old, next := s.keepers[0], &Ledger{DataCentre: "north", ClockError: clockError}
	next.Observe(s.states[0])
	next.Open("p")
	next.Settle("p", 0, s.now)
	a := Account{Member: "m", Pool: "p"}
	x := Loan{Member: "m", From: "p", To: "south/q/s1/1", Slots: 2, Until: s.now.Add(6 * time.Second)}
	x.Slots = old.Lend(x, s.now)
	if kept := next.Mirror(x, s.now); !kept || next.Room(a, s.now, s.now) != 1 {
		t.Errorf("copy kept %t, then room for %d slots, want 3 less 2 lent", kept, next.Room(a, s.now, s.now))
	}
	if kept := next.Mirror(x, s.now); !kept || next.Room(a, s.now, s.now) != 1 {
		t.Errorf("same copy again kept %t, then room for %d slots, want 1", kept, next.Room(a, s.now, s.now))
	}
	y := x
	y.To = "south/q/s2/1"
	if kept := next.Mirror(y, s.now); kept || next.Room(a, s.now, s.now) != 1 {
		t.Errorf("copy of a loan without room kept %t, then room for %d slots, want 1", kept, next.Room(a, s.now, s.now))
	}
	next.Close("p")
	next.SetForeign("p", 1)
	if kept := next.Mirror(y, s.now); !kept {
		t.Error("an entry that handed the pool over refused the copy of a loan")
	}
	fresh := &Ledger{DataCentre: "north", ClockError: clockError}
	fresh.Observe(s.states[0])
	fresh.Open("p")
	if fresh.Mirror(x, s.now) {
		t.Error("a keeper that does not know its books yet took the copy of a loan")
	}
}

// Guards the edges that random steps seldom hit: when lender and borrower stop
// counting on a loan, repeated and late requests, and the longest use.
func TestLoanEdges(t *testing.T) {
	s := newSystem()
	lender, borrower := s.keepers[0], s.keepers[1]
	from, to := Account{Member: "m", Pool: "p"}, Account{Member: "m", Pool: "q"}
	x := Loan{Member: "m", From: "p", To: "northq", Slots: 2, Until: s.now.Add(6 * time.Second)}
	if first, again := lender.Lend(x, s.now), lender.Lend(x, s.now); first != 2 || again != 2 {
		t.Errorf("lent %d slots, %d on the same request again, want 2 and 2", first, again)
	}
	borrower.Borrowed("q", x, s.now)
	ends, frees := x.Until.Add(-clockError), x.Until.Add(clockError)
	for _, c := range []struct {
		what  string
		room  int
		wants int
	}{
		{"lender while the loan lasts", lender.Room(from, s.now, frees.Add(-time.Millisecond)), 1},
		{"lender after the loan", lender.Room(from, s.now, frees), 3},
		{"borrower for a task within the loan", borrower.Room(to, ends, s.now), 5},
		{"borrower for a longer task", borrower.Room(to, ends.Add(time.Millisecond), s.now), 3},
	} {
		if c.room != c.wants {
			t.Errorf("%s: room for %d slots, want %d", c.what, c.room, c.wants)
		}
	}
	back := x
	back.Slots = 0
	if lent := lender.Lend(back, s.now); lent != 0 || lender.Lend(x, s.now) != 0 {
		t.Error("a late copy of the request raised a loan that was given back")
	}
	early := Loan{Member: "m", From: "p", To: "northq", Until: s.now.Add(5 * time.Second)}
	lender.Lend(early, s.now)
	if early.Slots = 2; lender.Lend(early, s.now) != 0 {
		t.Error("a request that arrived after its return was granted")
	}
	if lender.Use("long", from, 1, s.now.Add(lender.Hold+2*clockError), s.now) {
		t.Error("a use longer than the hold was allowed")
	}
}
