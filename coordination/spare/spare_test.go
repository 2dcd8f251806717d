package spare

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

var start = time.Date(2026, 1, 5, 2, 0, 0, 0, time.UTC)

const slots = 8

// newFleet returns pools a, b and spare, each with four instances and a budget
// of two.
func newFleet() (s *fleet.State) {
	s = &fleet.State{Pools: map[string]fleet.Pool{}, Instances: map[string]fleet.Instance{}}
	for _, pool := range []string{"a", "b", "spare"} {
		s.Pools[pool] = fleet.Pool{Name: pool, Budget: 2, Spare: pool == "spare"}
		for k := range 4 {
			name := fmt.Sprint(pool, k)
			s.Instances[name] = fleet.Instance{Name: name, Pool: pool, Phase: fleet.Serving, Slots: slots}
		}
	}
	return s
}

// observe records the demand of pools a and b for each second and returns the
// time of the last sample.
func observe(r *Recorder, from time.Time, seconds int, demand func(pool string, second int) float64) (now time.Time) {
	for k := range seconds {
		now = from.Add(time.Duration(k) * time.Second)
		for _, pool := range []string{"a", "b"} {
			r.Observe(pool, demand(pool, k), now)
		}
	}
	return now
}

// Guards against moves for bursts shorter than a move or for shortages that
// usually end by then, against a lasting shortage without a move, and against
// taking an instance from a pool that needs it.
func TestMoves(t *testing.T) {
	lasting := func(pool string, k int) float64 { return demandIf(pool == "a" && k >= 3000) }
	none := func(*fleet.State, map[string]InstanceLoad) {}
	for _, c := range []struct {
		name   string
		demand func(string, int) float64
		change func(s *fleet.State, loads map[string]InstanceLoad)
		from   string
	}{
		{"bursts", func(pool string, k int) float64 { return demandIf((k+40)%60 < 20 && (pool == "a") == (k%120 < 60)) }, none, ""},
		{"burst after long shortages", func(pool string, k int) float64 { return demandIf(pool == "a" && (k+700)%800 < 400) }, none, ""},
		{"soon over", func(pool string, k int) float64 { return demandIf(pool == "a" && (k+136)%200 < 70) }, none, ""},
		{"lasting", lasting, none, "spare"},
		{"spare pool at its wanted size", lasting, func(s *fleet.State, _ map[string]InstanceLoad) { removeInstances(s, "spare", 2) }, "b"},
		{"budgets spent", lasting, func(s *fleet.State, _ map[string]InstanceLoad) { setBudget(s, 0) }, ""},
		{"all held", lasting, func(s *fleet.State, loads map[string]InstanceLoad) {
			for name := range s.Instances {
				loads[name] = InstanceLoad{HoldUntil: start.Add(time.Hour)}
			}
		}, ""},
		{"both short", func(string, int) float64 { return 44 }, func(s *fleet.State, _ map[string]InstanceLoad) { removeInstances(s, "spare", 2) }, ""},
	} {
		s, loads := newFleet(), make(map[string]InstanceLoad)
		c.change(s, loads)
		var r Recorder
		now := observe(&r, start, 3331, c.demand)
		d := Plan(s, Observation{Demand: r.Demand(), Instances: loads, MoveDuration: time.Minute}, now)
		var from string
		for _, m := range d.Moves {
			if m.To == "a" {
				from = m.From
			}
		}
		if from != c.from {
			t.Errorf("%s: moves %+v (%+v), want one from %q to a", c.name, d.Moves, d.Reasons, c.from)
		}
	}
}

// demandIf returns a demand above a pool's 32 slots if it is to be short, or
// else a low one.
func demandIf(short bool) float64 {
	if short {
		return 44
	}
	return 4
}

func removeInstances(s *fleet.State, pool string, n int) {
	for k := range n {
		delete(s.Instances, fmt.Sprint(pool, k))
	}
}

func setBudget(s *fleet.State, n int) {
	for name, p := range s.Pools {
		p.Budget = n
		s.Pools[name] = p
	}
}

// Guards against instances that move back and forth: for six hours, two pools
// are short in turn, each for half the time that a pool needs unused slots
// before it gives an instance.
func TestNoReturn(t *testing.T) {
	const moveTakes = 30 * time.Second
	r := rand.New(rand.NewSource(1))
	s := newFleet()
	removeInstances(s, "spare", 3)
	var recorder Recorder
	loads := make(map[string]InstanceLoad)
	moves := 0
	for now := start; now.Before(start.Add(6 * time.Hour)); now = now.Add(WindowLength) {
		aIsShort := now.Sub(start)/(HoldFactor*moveTakes/2)%2 == 0
		observe(&recorder, now, int(WindowLength.Seconds()), func(pool string, _ int) float64 {
			return demandIf((pool == "a") == aIsShort) * (0.9 + 0.2*r.Float64())
		})
		o := Observation{Demand: recorder.Demand(), Instances: loads, MoveDuration: moveTakes}
		d := Plan(s, o, now)
		if !reflect.DeepEqual(d, Plan(s, o, now)) {
			t.Fatalf("two decisions differ for the same arguments")
		}
		for _, m := range d.Moves {
			i := s.Instances[m.Instance]
			i.Pool = m.To
			s.Instances[i.Name] = i
			loads[i.Name] = InstanceLoad{HoldUntil: now.Add(HoldFactor * moveTakes)}
			moves++
		}
	}
	if moves > 2 {
		t.Errorf("%d moves in six hours", moves)
	}
}

// Guards against a failed instance that keeps a budget spent although a spare
// instance is available, and against a replacement that exceeds the budget of
// the spare pool.
func TestReplace(t *testing.T) {
	s := newFleet()
	for _, name := range []string{"a0", "a1"} {
		i := s.Instances[name]
		i.Failed = true
		s.Instances[name] = i
	}
	d := Plan(s, Observation{}, start)
	if len(d.Moves) != 1 || d.Moves[0].From != "spare" || d.Moves[0].To != "a" || d.Moves[0].Swap != "a0" {
		t.Errorf("moves %+v", d.Moves)
	}
	i := s.Instances["spare0"]
	i.Phase = fleet.Draining
	s.Instances["spare0"] = i
	if d = Plan(s, Observation{}, start); len(d.Moves) != 0 {
		t.Errorf("moves %+v although the spare pool has a budget of one left", d.Moves)
	}
}

// Guards against a value that ignores what one more instance would serve.
func TestWorth(t *testing.T) {
	var r Recorder
	now := observe(&r, start, 600, func(pool string, _ int) float64 {
		return map[string]float64{"a": 72, "b": 10}[pool]
	})
	s := newFleet()
	v := EstimateValue(s, Observation{Demand: r.Demand()}, now)
	if v.Unserved != 8*3600 || v.UnservedWithOneMore != 0 || v.Held != 4 {
		t.Errorf("worth %+v, want 8 slots for an hour", v)
	}
	if d := Plan(s, Observation{Demand: r.Demand(), MoveDuration: time.Minute}, now); d.Wanted != 6 {
		t.Errorf("wants %d, want 5 for 40 slots and 1 for failures", d.Wanted)
	}
}
