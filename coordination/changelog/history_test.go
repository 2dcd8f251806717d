package changelog

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

// seeds returns the fixed seeds 1 to count, or to SEEDS if that is more.
func seeds(t *testing.T, count uint64) (all []uint64) {
	t.Helper()
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		count = max(count, n)
	}
	for s := range count {
		all = append(all, s+1)
	}
	return all
}

// view is what the model knows of the configuration: a pool, the instances of it
// that are draining as bits, and a member's cap.
type view struct {
	Budget, Cap int
	Draining    uint8
}

type action int

const (
	read action = iota
	setBudget
	setCap
	grantDrain
	cancelDrain
)

type input struct {
	action action
	value  int
}

// output is the answer to an operation; an unknown one may have any effect.
type output struct {
	unknown, applied bool
	seen             view
}

// model says which answers a single copy of the configuration would give.
var model = porcupine.Model{
	Init: func() any { return view{Budget: raceBudget} },
	Step: func(state, in, out any) (bool, any) {
		s, _ := state.(view)
		i, _ := in.(input)
		o, _ := out.(output)
		bit := uint8(1) << i.value
		applied := true
		next := s
		switch i.action {
		case read:
			return o.unknown || o.seen == s, s
		case setBudget:
			next.Budget = i.value
		case setCap:
			next.Cap = i.value
		case grantDrain:
			applied = s.Draining&bit == 0 && bits.OnesCount8(s.Draining) < s.Budget
			next.Draining |= bit
		case cancelDrain:
			applied = s.Draining&bit != 0
			next.Draining &^= bit
		}
		if !applied {
			next = s
		}
		return o.unknown || o.applied == applied, next
	},
}

func (i input) change(id string) fleet.Change {
	instance := fmt.Sprint("w", i.value)
	return fleet.Change{ID: id, Commands: []fleet.Command{map[action]fleet.Command{
		setBudget:   {SetPool: &fleet.SetPool{Name: "cover", Budget: &i.value}},
		setCap:      {SetMember: &fleet.SetMember{Name: "kradan", Cap: &i.value}},
		grantDrain:  {GrantDrain: &fleet.GrantDrain{Instance: instance, Wave: "spring"}},
		cancelDrain: {CancelDrain: &fleet.CancelDrain{Instance: instance}},
	}[i.action]}}
}

func viewOf(s *fleet.State) (v view) {
	v.Budget, v.Cap = s.Pools["cover"].Budget, s.Members["kradan"].Cap
	for n := range 8 {
		if s.Instances[fmt.Sprint("w", n)].Phase == fleet.Draining {
			v.Draining |= 1 << n
		}
	}
	return v
}

// proposer is Propose of a log or an unprotected variant of it.
type proposer func(ctx context.Context, l *Log, c fleet.Change) (fleet.Fate, error)

func protected(ctx context.Context, l *Log, c fleet.Change) (fleet.Fate, error) {
	return l.Propose(ctx, c)
}

// run is one run of several entries against one service.
type run struct {
	seed    uint64
	faults  faults
	propose proposer
	// drains makes the operators drain instances, and count those that they hold
	// drained, instead of doing random operations.
	drains bool

	memory  *memory
	drained atomic.Int64
	logs    []*Log
	clock   atomic.Int64
	mu      sync.Mutex
	history []porcupine.Operation
	broken  []string
	// versions has the first state seen of each version.
	versions map[int64]*fleet.State
}

// Each operator of an entry does this many operations in a run.
const entries, operators, operations = 3, 2, 12

// raceBudget is the budget when operators race to drain.
const raceBudget = 2

func (r *run) reportf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, values...))
}

// check does the run and returns what it broke; the run is in virtual time.
func (r *run) check(t *testing.T) (broken []string) {
	synctest.Test(t, func(t *testing.T) { r.execute(t) })
	if res := porcupine.CheckOperationsTimeout(model, r.history, time.Minute); res != porcupine.Ok {
		r.reportf("history of %d operations: %s", len(r.history), res)
	}
	return r.broken
}

func (r *run) execute(t *testing.T) {
	r.memory = newMemory()
	r.versions = map[int64]*fleet.State{}
	first := Log{Store: newLink(r.memory, faults{}, 0, 0)}
	commands := []fleet.Command{
		input{setBudget, raceBudget}.change("").Commands[0],
		{DeclareWave: &fleet.DeclareWave{Name: "spring", Pools: []string{"cover"}}},
	}
	for n := range 8 {
		commands = append(commands, fleet.Command{AddInstance: &fleet.AddInstance{
			Name: fmt.Sprint("w", n), DataCentre: "d", Rack: "r", Address: fmt.Sprint("10.0.0.1:", n+1), Slots: 1, Pool: "cover",
		}})
	}
	if _, err := first.Propose(t.Context(), fleet.Change{ID: "first", Commands: commands}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var followers, clients sync.WaitGroup
	// One more entry sees the floor in every run, so that records are removed.
	seeing := r.faults
	seeing.hideFloor = false
	remover := &Log{Store: newLink(r.memory, seeing, r.seed, 0), SnapshotEvery: 4, Margin: 1}
	followers.Go(func() { r.follow(ctx, remover) })
	for e := range uint64(entries) {
		l := &Log{Store: newLink(r.memory, r.faults, r.seed, e+1), SnapshotEvery: 4, Margin: 1}
		r.logs = append(r.logs, l)
		followers.Go(func() { r.follow(ctx, l) })
		followers.Go(func() { r.watch(ctx, l) })
		for o := range uint64(operators) {
			random := rand.New(rand.NewPCG(r.seed, 100+e*operators+o))
			clients.Go(func() {
				if r.drains {
					r.race(ctx, l, random)
					return
				}
				r.operate(ctx, l, random)
			})
		}
	}
	clients.Wait()
	stop()
	followers.Wait()
	// Late writes arrive before the entries are compared.
	time.Sleep(r.faults.lateBy)
	r.compare(t)
}

func (r *run) follow(ctx context.Context, l *Log) {
	for ctx.Err() == nil {
		if _, err := l.Follow(ctx, time.Now().Add(10*time.Second)); errors.Is(err, ErrCorrupt) {
			r.reportf("follow: %v", err)
		}
		_, _ = l.Compact(ctx)
		_ = pauseFor(ctx, 10*time.Millisecond)
	}
}

// watch checks at one entry that its version never falls, that no other entry
// had another state of the same version and that, where the budget stays, no
// version overspends it.
func (r *run) watch(ctx context.Context, l *Log) {
	for last := int64(0); ; {
		changed := l.Changed()
		s := l.State()
		if s.Version < last {
			r.reportf("version went from %d to %d", last, s.Version)
		}
		r.mu.Lock()
		first, known := r.versions[s.Version]
		if !known {
			r.versions[s.Version] = s
		}
		r.mu.Unlock()
		if known && !reflect.DeepEqual(s, first) {
			r.reportf("version %d of two entries differs", s.Version)
		}
		if n := s.Unavailable("cover"); r.drains && n > raceBudget {
			r.reportf("version %d has %d unavailable instances with budget %d", s.Version, n, raceBudget)
		}
		last = s.Version
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) operate(ctx context.Context, l *Log, random *rand.Rand) {
	for n := range operations {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		i := input{action: action(random.IntN(5)), value: random.IntN(4)}
		limit, cancel := context.WithTimeout(ctx, 5*time.Second+time.Duration(random.Int64N(int64(time.Minute))))
		o := porcupine.Operation{ClientId: int(random.Uint32()), Input: i, Call: r.clock.Add(1)}
		out, happened := r.carryOut(limit, l, i, fmt.Sprintf("%d-%d", o.ClientId, n))
		cancel()
		o.Output, o.Return = out, r.clock.Add(1)
		if out.unknown {
			o.Return = 1 << 40
		}
		if happened {
			r.mu.Lock()
			r.history = append(r.history, o)
			r.mu.Unlock()
		}
	}
}

// race drains instances under the grants that it is told of, and asks again with
// the same ID while an outcome is unknown.
func (r *run) race(ctx context.Context, l *Log, random *rand.Rand) {
	settle := func(i input, id string) (f fleet.Fate) {
		for err := platform.ErrUnavailable; err != nil; {
			limit, cancel := context.WithTimeout(ctx, 20*time.Second)
			f, err = r.propose(limit, l, i.change(id))
			cancel()
		}
		return f
	}
	name := random.Uint32()
	for n := range operations {
		i := input{grantDrain, random.IntN(8)}
		if settle(i, fmt.Sprintf("%d-grant-%d", name, n)).Refusal != "" {
			continue
		}
		if held := r.drained.Add(1); held > raceBudget {
			r.reportf("%d instances drained with budget %d", held, raceBudget)
		}
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		r.drained.Add(-1)
		i.action = cancelDrain
		if f := settle(i, fmt.Sprintf("%d-cancel-%d", name, n)); f.Refusal != "" {
			r.reportf("a drain that was granted is gone: %s", f.Refusal)
		}
	}
}

// carryOut returns the answer, or that the operation certainly had no effect.
func (r *run) carryOut(ctx context.Context, l *Log, i input, id string) (out output, happened bool) {
	if i.action == read {
		if l.CatchUp(ctx) != nil {
			return out, false
		}
		return output{seen: viewOf(l.State())}, true
	}
	f, err := r.propose(ctx, l, i.change(id))
	if errors.Is(err, ErrOutcomeUnknown) {
		return output{unknown: true}, true
	}
	return output{applied: f.Refusal == ""}, err == nil
}

// compare checks that all entries and one that starts now reach one state.
func (r *run) compare(t *testing.T) {
	fresh := &Log{}
	for _, l := range append(r.logs, fresh) {
		l.Store = newLink(r.memory, faults{hideFloor: r.faults.hideFloor}, 0, 0)
		if err := l.Load(t.Context()); err != nil {
			r.reportf("load: %v", err)
		}
		if !reflect.DeepEqual(l.State(), r.logs[0].State()) {
			r.reportf("version %d of an entry differs from version %d of another", l.Version(), r.logs[0].Version())
		}
	}
}

// allFaults has every fault at once, with an outage of half a minute.
var allFaults = faults{
	lostRequest: 0.05, lostAnswer: 0.1, lateWrite: 0.05, repeated: 0.05, slow: 0.05, paused: 0.01,
	lateBy: 3 * time.Minute, downFrom: 20 * time.Second, downTo: 50 * time.Second,
}

// Guards against a change whose answer is untrue, a change that is applied twice
// or lost, entries that differ, and a version that goes back, under lost, late
// and repeated writes, outages, slow answers and pauses (seeds 1 to 40).
func TestHistoryIsLinearizable(t *testing.T) {
	for _, s := range seeds(t, 40) {
		r := run{seed: s, faults: allFaults, propose: protected}
		if broken := r.check(t); len(broken) > 0 {
			t.Errorf("seed %d: %q", s, broken)
		}
	}
}

// moveOn takes an index that is free after a lost answer as proof that the write
// had no effect, and tries the next one.
func moveOn(ctx context.Context, l *Log, c fleet.Change) (f fleet.Fate, err error) {
	value, _ := encodeChange(c)
	if err = l.CatchUp(ctx); err != nil {
		return f, err
	}
	for index := l.Version() + 1; ; index++ {
		swapped, err := l.Store.CompareAndSwap(ctx, recordKey(index), platform.MustNotExist, value)
		if ctx.Err() != nil {
			return f, ErrOutcomeUnknown
		}
		if errors.Is(err, platform.ErrUnavailable) {
			_, swapped, _ = l.Store.Get(ctx, recordKey(index))
		}
		if swapped {
			next, _ := fleet.Apply(*l.State(), c)
			f, _ = next.FateOf(c.ID)
			return f, nil
		}
		_ = l.CatchUp(ctx)
	}
}

// giveUp takes a lost answer as a write without effect.
func giveUp(ctx context.Context, l *Log, c fleet.Change) (f fleet.Fate, err error) {
	f, err = l.Propose(ctx, c)
	if errors.Is(err, ErrOutcomeUnknown) {
		return f, platform.ErrUnavailable
	}
	return f, err
}

// Guards against a budget that racing operators overspend, in the configuration
// or by what they are told (seeds 1 to 40).
func TestRacingOperatorsKeepTheBudget(t *testing.T) {
	for _, s := range seeds(t, 40) {
		r := run{seed: s, faults: allFaults, propose: protected, drains: true}
		if broken := r.check(t); len(broken) > 0 {
			t.Errorf("seed %d: %q", s, broken)
		}
	}
}

// overwrite decides on the entry's own copy and writes over what another entry
// has put at the index.
func overwrite(ctx context.Context, l *Log, c fleet.Change) (f fleet.Fate, err error) {
	value, _ := encodeChange(c)
	if err = l.CatchUp(ctx); err != nil {
		return f, err
	}
	next, _ := fleet.Apply(*l.State(), c)
	f, _ = next.FateOf(c.ID)
	key := recordKey(f.Index)
	for swapped := false; !swapped; {
		e, _, _ := l.Store.Get(ctx, key)
		if swapped, err = l.Store.CompareAndSwap(ctx, key, e.Revision, value); ctx.Err() != nil {
			return f, err
		}
	}
	return f, nil
}

// The checks must see each unprotected variant fail in some of the seeds 1 to 40.
func TestChecksCatchUnprotectedVariants(t *testing.T) {
	unguarded := allFaults
	unguarded.hideFloor = true
	for name, v := range map[string]struct {
		faults  faults
		propose proposer
		drains  bool
		// want is in what the check reports.
		want string
	}{
		"moves on after a lost answer":      {allFaults, moveOn, false, "Illegal"},
		"takes a lost answer as no effect":  {allFaults, giveUp, false, "Illegal"},
		"trusts records below the snapshot": {unguarded, protected, false, "differs"},
		"overwrites the record of another":  {allFaults, overwrite, true, "drained with budget 2"},
	} {
		var caught []uint64
		for _, s := range seeds(t, 40) {
			r := run{seed: s, faults: v.faults, propose: v.propose, drains: v.drains}
			if strings.Contains(strings.Join(r.check(t), "\n"), v.want) {
				caught = append(caught, s)
			}
			if len(caught) == 3 {
				break
			}
		}
		t.Logf("%s: caught with seeds %v", name, caught)
		if len(caught) == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}
