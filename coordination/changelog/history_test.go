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

// configView is the part of the configuration that the model checks: the budget of
// a pool, a bit set of its draining instances, and the cap of a member.
type configView struct {
	Budget, Cap int
	Draining    uint8
}

type operationKind int

const (
	read operationKind = iota
	setBudget
	setCap
	grantDrain
	cancelDrain
)

type operationInput struct {
	kind  operationKind
	value int
}

// operationOutput is the result of an operation; if it is unknown, the operation may
// or may not have taken effect.
type operationOutput struct {
	unknown, applied bool
	view             configView
}

// model is the sequential specification: the results that a single copy of the
// configuration would give.
var model = porcupine.Model{
	Init: func() any { return configView{Budget: raceBudget} },
	Step: func(state, in, out any) (bool, any) {
		s, _ := state.(configView)
		i, _ := in.(operationInput)
		o, _ := out.(operationOutput)
		bit := uint8(1) << i.value
		applied := true
		next := s
		switch i.kind {
		case read:
			return o.unknown || o.view == s, s
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

func (i operationInput) change(id string) fleet.Change {
	instance := fmt.Sprint("w", i.value)
	return fleet.Change{ID: id, Commands: []fleet.Command{map[operationKind]fleet.Command{
		setBudget:   {SetPool: &fleet.SetPool{Name: "cover", Budget: &i.value}},
		setCap:      {SetMember: &fleet.SetMember{Name: "kradan", Cap: &i.value}},
		grantDrain:  {GrantDrain: &fleet.GrantDrain{Instance: instance, Wave: "spring"}},
		cancelDrain: {CancelDrain: &fleet.CancelDrain{Instance: instance}},
	}[i.kind]}}
}

func viewOf(s *fleet.State) (v configView) {
	v.Budget, v.Cap = s.Pools["cover"].Budget, s.Members["kradan"].Cap
	for n := range 8 {
		if s.Instances[fmt.Sprint("w", n)].Phase == fleet.Draining {
			v.Draining |= 1 << n
		}
	}
	return v
}

// proposeFunc is Log.Propose or an unprotected variant of it.
type proposeFunc func(ctx context.Context, l *Log, c fleet.Change) (fleet.ChangeResult, error)

func proposeToLog(ctx context.Context, l *Log, c fleet.Change) (fleet.ChangeResult, error) {
	return l.Propose(ctx, c)
}

// simulation runs several entries against one service.
type simulation struct {
	seed    uint64
	faults  faults
	propose proposeFunc
	// drains makes the operators drain instances and count those that are drained
	// at once, instead of running random operations.
	drains bool

	memory     *memoryStore
	drained    atomic.Int64
	logs       []*Log
	clock      atomic.Int64
	mu         sync.Mutex
	history    []porcupine.Operation
	violations []string
	// versions holds the first observed state of each version.
	versions map[int64]*fleet.State
}

// Size of a simulation, which runs in virtual time.
const entryCount, operatorsPerEntry, operationsPerOperator = 3, 2, 12

// raceBudget is the initial budget; it stays constant when operators race to drain.
const raceBudget = 2

func (r *simulation) reportf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, values...))
}

// check runs the simulation on a fake clock and returns the violations found.
func (r *simulation) check(t *testing.T) (violations []string) {
	synctest.Test(t, func(t *testing.T) { r.runEntries(t) })
	if res := porcupine.CheckOperationsTimeout(model, r.history, time.Minute); res != porcupine.Ok {
		r.reportf("history of %d operations: %s", len(r.history), res)
	}
	return r.violations
}

func (r *simulation) runEntries(t *testing.T) {
	r.memory = newMemoryStore()
	r.versions = map[int64]*fleet.State{}
	first := Log{Store: newFaultyStore(r.memory, faults{}, 0, 0)}
	commands := []fleet.Command{
		operationInput{setBudget, raceBudget}.change("").Commands[0],
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
	// An additional entry reads the floor in every simulation, so that records are
	// removed.
	withFloor := r.faults
	withFloor.hideFloor = false
	remover := &Log{Store: newFaultyStore(r.memory, withFloor, r.seed, 0), SnapshotEvery: 4, RecordMargin: 1}
	followers.Go(func() { r.followLog(ctx, remover) })
	for e := range uint64(entryCount) {
		l := &Log{Store: newFaultyStore(r.memory, r.faults, r.seed, e+1), SnapshotEvery: 4, RecordMargin: 1}
		r.logs = append(r.logs, l)
		followers.Go(func() { r.followLog(ctx, l) })
		followers.Go(func() { r.checkVersions(ctx, l) })
		for o := range uint64(operatorsPerEntry) {
			rng := rand.New(rand.NewPCG(r.seed, 100+e*operatorsPerEntry+o))
			clients.Go(func() {
				if r.drains {
					r.raceToDrain(ctx, l, rng)
					return
				}
				r.runRandomOperations(ctx, l, rng)
			})
		}
	}
	clients.Wait()
	stop()
	followers.Wait()
	// Wait until late writes have taken effect before the entries are compared.
	time.Sleep(r.faults.maxWriteDelay)
	r.compareStates(t)
}

func (r *simulation) followLog(ctx context.Context, l *Log) {
	for ctx.Err() == nil {
		if _, err := l.WaitForRecords(ctx, time.Now().Add(10*time.Second)); errors.Is(err, ErrCorrupt) {
			r.reportf("follow: %v", err)
		}
		_, _ = l.Compact(ctx)
		_ = sleep(ctx, 10*time.Millisecond)
	}
}

// checkVersions checks at one entry that the version never decreases, that every
// entry has the same state at the same version and, if the budget is constant, that
// no version exceeds the budget.
func (r *simulation) checkVersions(ctx context.Context, l *Log) {
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

func (r *simulation) runRandomOperations(ctx context.Context, l *Log, rng *rand.Rand) {
	for n := range operationsPerOperator {
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
		i := operationInput{kind: operationKind(rng.IntN(5)), value: rng.IntN(4)}
		limit, cancel := context.WithTimeout(ctx, 5*time.Second+time.Duration(rng.Int64N(int64(time.Minute))))
		o := porcupine.Operation{ClientId: int(rng.Uint32()), Input: i, Call: r.clock.Add(1)}
		out, mayHaveRun := r.runOperation(limit, l, i, fmt.Sprintf("%d-%d", o.ClientId, n))
		cancel()
		o.Output, o.Return = out, r.clock.Add(1)
		if out.unknown {
			o.Return = 1 << 40
		}
		if mayHaveRun {
			r.mu.Lock()
			r.history = append(r.history, o)
			r.mu.Unlock()
		}
	}
}

// raceToDrain drains instances whose grants were reported as applied; it proposes
// again with the same ID while the outcome is unknown.
func (r *simulation) raceToDrain(ctx context.Context, l *Log, rng *rand.Rand) {
	proposeUntilKnown := func(i operationInput, id string) (f fleet.ChangeResult) {
		for err := platform.ErrUnavailable; err != nil; {
			limit, cancel := context.WithTimeout(ctx, 20*time.Second)
			f, err = r.propose(limit, l, i.change(id))
			cancel()
		}
		return f
	}
	name := rng.Uint32()
	for n := range operationsPerOperator {
		i := operationInput{grantDrain, rng.IntN(8)}
		if proposeUntilKnown(i, fmt.Sprintf("%d-grant-%d", name, n)).Refusal != "" {
			continue
		}
		if held := r.drained.Add(1); held > raceBudget {
			r.reportf("%d instances drained with budget %d", held, raceBudget)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		r.drained.Add(-1)
		i.kind = cancelDrain
		if f := proposeUntilKnown(i, fmt.Sprintf("%d-cancel-%d", name, n)); f.Refusal != "" {
			r.reportf("a granted drain cannot be cancelled: %s", f.Refusal)
		}
	}
}

// runOperation returns the result; mayHaveRun is false if the operation certainly had
// no effect.
func (r *simulation) runOperation(ctx context.Context, l *Log, i operationInput, id string) (out operationOutput, mayHaveRun bool) {
	if i.kind == read {
		if l.CatchUp(ctx) != nil {
			return out, false
		}
		return operationOutput{view: viewOf(l.State())}, true
	}
	f, err := r.propose(ctx, l, i.change(id))
	if errors.Is(err, ErrOutcomeUnknown) {
		return operationOutput{unknown: true}, true
	}
	return operationOutput{applied: f.Refusal == ""}, err == nil
}

// compareStates checks that all entries and a newly started one reach the same state.
func (r *simulation) compareStates(t *testing.T) {
	fresh := &Log{}
	for _, l := range append(r.logs, fresh) {
		l.Store = newFaultyStore(r.memory, faults{hideFloor: r.faults.hideFloor}, 0, 0)
		if err := l.Load(t.Context()); err != nil {
			r.reportf("load: %v", err)
		}
		if !reflect.DeepEqual(l.State(), r.logs[0].State()) {
			r.reportf("version %d of an entry differs from version %d of another", l.Version(), r.logs[0].Version())
		}
	}
}

// allFaults combines every fault with an outage of half a minute.
var allFaults = faults{
	lostRequest: 0.05, lostResponse: 0.1, lateWrite: 0.05, repeatedWrite: 0.05, slowNetwork: 0.05, clientPause: 0.01,
	maxWriteDelay: 3 * time.Minute, downFrom: 20 * time.Second, downTo: 50 * time.Second,
}

// Guards against a change with a wrong result, a change that is applied twice or
// lost, entries with different states, and a version that decreases, under lost,
// late and repeated writes, outages, slow responses and pauses (seeds 1 to 40).
func TestHistoryIsLinearizable(t *testing.T) {
	for _, s := range seeds(t, 40) {
		r := simulation{seed: s, faults: allFaults, propose: proposeToLog}
		if broken := r.check(t); len(broken) > 0 {
			t.Errorf("seed %d: %q", s, broken)
		}
	}
}

// retryAtNextIndex is a variant that treats an index that is free after a lost
// response as proof that the write had no effect, and tries the next index.
func retryAtNextIndex(ctx context.Context, l *Log, c fleet.Change) (f fleet.ChangeResult, err error) {
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
			f, _ = next.ResultOf(c.ID)
			return f, nil
		}
		_ = l.CatchUp(ctx)
	}
}

// treatUnknownAsFailed is a variant that treats a lost response as a write without
// effect.
func treatUnknownAsFailed(ctx context.Context, l *Log, c fleet.Change) (f fleet.ChangeResult, err error) {
	f, err = l.Propose(ctx, c)
	if errors.Is(err, ErrOutcomeUnknown) {
		return f, platform.ErrUnavailable
	}
	return f, err
}

// Guards against a budget that racing operators exceed, in the configuration or by
// the results reported to them (seeds 1 to 40).
func TestRacingOperatorsKeepTheBudget(t *testing.T) {
	for _, s := range seeds(t, 40) {
		r := simulation{seed: s, faults: allFaults, propose: proposeToLog, drains: true}
		if broken := r.check(t); len(broken) > 0 {
			t.Errorf("seed %d: %q", s, broken)
		}
	}
}

// overwriteRecord is a variant that decides on the local copy and overwrites the
// record of another entry at the index.
func overwriteRecord(ctx context.Context, l *Log, c fleet.Change) (f fleet.ChangeResult, err error) {
	value, _ := encodeChange(c)
	if err = l.CatchUp(ctx); err != nil {
		return f, err
	}
	next, _ := fleet.Apply(*l.State(), c)
	f, _ = next.ResultOf(c.ID)
	key := recordKey(f.Index)
	for swapped := false; !swapped; {
		e, _, _ := l.Store.Get(ctx, key)
		if swapped, err = l.Store.CompareAndSwap(ctx, key, e.Revision, value); ctx.Err() != nil {
			return f, err
		}
	}
	return f, nil
}

// The checks must detect each unprotected variant in at least one of the seeds 1
// to 40.
func TestChecksDetectUnprotectedVariants(t *testing.T) {
	withoutFloor := allFaults
	withoutFloor.hideFloor = true
	for name, v := range map[string]struct {
		faults  faults
		propose proposeFunc
		drains  bool
		// want is part of a violation that the check must report.
		want string
	}{
		"moves on after a lost answer":      {allFaults, retryAtNextIndex, false, "Illegal"},
		"takes a lost answer as no effect":  {allFaults, treatUnknownAsFailed, false, "Illegal"},
		"trusts records below the snapshot": {withoutFloor, proposeToLog, false, "differs"},
		"overwrites the record of another":  {allFaults, overwriteRecord, true, "drained with budget 2"},
	} {
		var caught []uint64
		for _, s := range seeds(t, 40) {
			r := simulation{seed: s, faults: v.faults, propose: v.propose, drains: v.drains}
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
