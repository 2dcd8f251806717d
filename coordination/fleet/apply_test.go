package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

func ptr[T any](v T) *T { return &v }

// newChange wraps the commands in a change whose ID is a hash of them.
func newChange(commands ...Command) Change {
	text, _ := json.Marshal(commands)
	return Change{ID: fmt.Sprintf("c%x", hash(text)), Author: "test", Commands: commands}
}

func hash(text []byte) (sum uint64) {
	for _, b := range text {
		sum = sum*1099511628211 + uint64(b)
	}
	return sum
}

func setPool(name string, budget int) Command {
	return Command{SetPool: &SetPool{Name: name, Budget: &budget}}
}

func addInstance(name, pool string, port int) Command {
	return Command{AddInstance: &AddInstance{
		Name: name, DataCentre: "dc1", Rack: "r1", Address: fmt.Sprintf("10.0.0.1:%d", port), Slots: 8, Pool: pool,
	}}
}

func grantDrain(instance, wave string) Command {
	return Command{GrantDrain: &GrantDrain{Instance: instance, Wave: wave}}
}

// baseState returns a state with the pools cover (budget 1, instances w1 to w3)
// and rota (budget 0, instance w4), and the wave spring over cover.
func baseState(t *testing.T) State {
	t.Helper()
	return mustApply(t, State{},
		setPool("cover", 1), setPool("rota", 0),
		addInstance("w1", "cover", 1), addInstance("w2", "cover", 2), addInstance("w3", "cover", 3),
		addInstance("w4", "rota", 4),
		Command{DeclareWave: &DeclareWave{Name: "spring", Pools: []string{"cover"}}},
	)
}

func mustApply(t *testing.T, s State, commands ...Command) State {
	t.Helper()
	next, err := Apply(s, newChange(commands...))
	if err != nil {
		t.Fatal(err)
	}
	if f := next.Results[len(next.Results)-1]; f.Refusal != "" {
		t.Fatalf("refused: %s", f.Refusal)
	}
	return next
}

// Guards against refusals that leave out the command, the object, the rule or the
// figure, and against refused changes that modify the state.
func TestRefusals(t *testing.T) {
	draining := func(t *testing.T) State { return mustApply(t, baseState(t), grantDrain("w2", "spring")) }
	failed := func(t *testing.T) State {
		return mustApply(t, baseState(t), Command{MarkFailed: &MarkFailed{Instance: "w1"}}, Command{MarkFailed: &MarkFailed{Instance: "w3"}})
	}
	finished := func(t *testing.T) State {
		return mustApply(t, draining(t), Command{FinishDrain: &FinishDrain{Instance: "w2"}})
	}
	releasing := func(t *testing.T) State {
		return mustApply(t, baseState(t), Command{StartMove: &StartMove{Instance: "w1", Pool: "rota"}})
	}
	failedReleasing := func(t *testing.T) State {
		return mustApply(t, releasing(t), Command{MarkFailed: &MarkFailed{Instance: "w1"}})
	}
	waveIn := func(state WaveState, reason string) func(t *testing.T) State {
		return func(t *testing.T) State {
			return mustApply(t, baseState(t), Command{SetWave: &SetWave{Name: "spring", State: state, Reason: reason}})
		}
	}
	expiredWave := baseState(t)
	expiredWave.Waves = map[string]Wave{"spring": {Name: "spring", Pools: []string{"cover"}, State: WaveRunning, Until: time.Unix(0, 0).UTC()}}
	for _, c := range []struct {
		state   func(t *testing.T) State
		command Command
		want    string
	}{
		{draining, grantDrain("w3", "spring"), `grantDrain "w3": pool "cover" has budget 1 and 1 unavailable instance (w2 draining)`},
		{failed, grantDrain("w2", "spring"), `grantDrain "w2": pool "cover" has budget 1 and 2 unavailable instances (w1 failed, w3 failed)`},
		{failed, grantDrain("w1", "spring"), `grantDrain "w1": instance is failed`},
		{draining, grantDrain("w2", "spring"), `grantDrain "w2": instance is draining for wave "spring"`},
		{finished, grantDrain("w2", "spring"), `grantDrain "w2": instance has already finished wave "spring"`},
		{baseState, grantDrain("w4", "spring"), `grantDrain "w4": pool "rota" of the instance is not in wave "spring"`},
		{baseState, grantDrain("w9", "spring"), `grantDrain "w9": instance "w9" does not exist`},
		{baseState, grantDrain("w1", "summer"), `grantDrain "w1": wave "summer" does not exist`},
		{waveIn(WaveHalted, "w2 did not return"), grantDrain("w1", "spring"), `grantDrain "w1": wave "spring" is halted (w2 did not return)`},
		{waveIn(WavePaused, ""), grantDrain("w1", "spring"), `grantDrain "w1": wave "spring" is paused`},
		{func(*testing.T) State { return expiredWave }, grantDrain("w1", "spring"), `grantDrain "w1": wave "spring" was to end by 1970-01-01T00:00:00Z, and the change is of 2000-01-01T00:00:00Z`},
		{waveIn(WaveEnded, ""), Command{SetWave: &SetWave{Name: "spring", State: WaveRunning}}, `setWave "spring": wave is ended and cannot be running`},
		{baseState, Command{SetWave: &SetWave{Name: "spring", State: "over"}}, `setWave "spring": wave state "over" is not running, paused, halted or ended`},
		{baseState, Command{DeclareWave: &DeclareWave{Name: "s2", Pools: []string{"cover"}}}, `declareWave "s2": pool "cover" is in wave "spring", which is running`},
		{baseState, Command{DeclareWave: &DeclareWave{Name: "s2", Pools: []string{"rota", "rota"}}}, `declareWave "s2": pool "rota" is named 2 times`},
		{baseState, Command{DeclareWave: &DeclareWave{Name: "s2"}}, `declareWave "s2": wave has 0 pools`},
		{baseState, Command{StartMove: &StartMove{Instance: "w4", Pool: "cover"}}, `startMove "w4": pool "rota" has budget 0 and no unavailable instance`},
		{baseState, Command{StartMove: &StartMove{Instance: "w1", Pool: "x"}}, `startMove "w1": pool "x" does not exist`},
		{baseState, Command{StartMove: &StartMove{Instance: "w1", Pool: "cover"}}, `startMove "w1": instance is already in pool "cover"`},
		{releasing, Command{StartMove: &StartMove{Instance: "w1", Pool: "rota"}}, `startMove "w1": instance is moving from pool "cover" to pool "rota"`},
		{releasing, grantDrain("w2", "spring"), `grantDrain "w2": pool "cover" has budget 1 and 1 unavailable instance (w1 releasing)`},
		{baseState, Command{FinishMove: &FinishMove{Instance: "w1"}}, `finishMove "w1": instance is serving, not releasing`},
		{failedReleasing, Command{FinishMove: &FinishMove{Instance: "w1"}}, `finishMove "w1": instance is failed and stays in pool "cover"`},
		{baseState, Command{DropInstance: &DropInstance{Name: "w1"}}, `dropInstance "w1": instance is serving, and only a draining or failed one may be dropped`},
		{baseState, addInstance("w1", "rota", 9), `addInstance "w1": instance already exists in pool "cover"`},
		{baseState, addInstance("w9", "rota", 1), `addInstance "w9": address 10.0.0.1:1 belongs to instance "w1"`},
		{baseState, Command{AddInstance: &AddInstance{Name: "w9", DataCentre: "d", Rack: "r", Address: "h:1", Slots: 1, Pool: "rota"}}, `addInstance "w9": address "h:1" is not an IP number and port`},
		{baseState, setPool("Cover", 1), `setPool "Cover": name "Cover" is not 1 to 64 characters of [a-z0-9.-]`},
		{baseState, setPool("cover", -1), `setPool "cover": budget is -1, below 0`},
		{baseState, Command{SetMember: &SetMember{Name: "pay", Cap: ptr(3), Minimum: ptr(4)}}, `setMember "pay": minimum 4 is above cap 3`},
	} {
		s := c.state(t)
		// The first command is accepted and must be undone when the second is refused.
		ch := newChange(setPool("first", 7), c.command)
		ch.At = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
		next, err := Apply(s, ch)
		if err != nil {
			t.Fatal(err)
		}
		want := s
		want.Version++
		want.Results = append(append([]ChangeResult{}, s.Results...), ChangeResult{ID: ch.ID, Index: want.Version, Refusal: c.want})
		if !reflect.DeepEqual(next, want) {
			t.Errorf("refused change: state %+v\nwant %+v", next, want)
		}
	}
}

// Guards against a retried change that is applied twice or loses its first
// result, and against an unbounded list of results.
func TestRepeatedID(t *testing.T) {
	c := Change{ID: "one", Commands: []Command{setPool("cover", 1)}}
	s, _ := Apply(State{}, c)
	c.Commands = []Command{setPool("cover", 2)}
	s, err := Apply(s, c)
	if f, found := s.ResultOf("one"); err != nil || s.Version != 2 || s.Pools["cover"].Budget != 1 || !found || f.Index != 1 {
		t.Errorf("after a retry: version %d, budget %d, result %+v", s.Version, s.Pools["cover"].Budget, f)
	}
	for n := range MaxChangeResults {
		s, _ = Apply(s, Change{ID: fmt.Sprint("n", n), Commands: []Command{setPool("cover", n)}})
	}
	if _, found := s.ResultOf("one"); found || len(s.Results) != MaxChangeResults || s.HasResultsSince(1) || !s.HasResultsSince(3) {
		t.Errorf("%d results kept, first %+v", len(s.Results), s.Results[0])
	}
}

// Guards against malformed records that are applied in part or cause a panic.
func TestMalformed(t *testing.T) {
	for _, c := range []Change{
		{},
		{ID: "a"},
		{ID: "a", Commands: []Command{{}}},
		{ID: "a", Commands: []Command{{MarkAlive: &MarkAlive{}, MarkFailed: &MarkFailed{}}}},
		{ID: "a b", Commands: []Command{setPool("p", 1)}},
		{ID: strings.Repeat("a", 65), Commands: []Command{setPool("p", 1)}},
	} {
		if next, err := Apply(baseState(t), c); !errors.Is(err, ErrMalformed) || next.Version != 1 {
			t.Errorf("change %+v: version %d, error %v", c, next.Version, err)
		}
	}
}

// Guards against a wave that stays open after its last instance has finished
// maintenance, left the pool or been dropped, and against a wave that ends while
// instances remain.
func TestWaveEnds(t *testing.T) {
	s := mustApply(t, baseState(t), setPool("cover", 3), grantDrain("w1", "spring"), Command{FinishDrain: &FinishDrain{Instance: "w1"}})
	if w := s.Waves["spring"]; w.State != WaveRunning || len(s.RemainingInstances("spring")) != 2 {
		t.Fatalf("wave %+v, remaining %v", w, s.RemainingInstances("spring"))
	}
	s = mustApply(t, s, Command{StartMove: &StartMove{Instance: "w2", Pool: "rota"}}, Command{FinishMove: &FinishMove{Instance: "w2"}})
	s = mustApply(t, s, Command{MarkFailed: &MarkFailed{Instance: "w3"}}, Command{DropInstance: &DropInstance{Name: "w3"}})
	if w := s.Waves["spring"]; w.State != WaveEnded {
		t.Errorf("wave %+v, remaining %v", w, s.RemainingInstances("spring"))
	}
}
