package sizing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// endpointCPU is the CPU of an endpoint.
const endpointCPU = 1000

// drawFleet draws the state of up to four pools and a spare pool.
func drawFleet(t *rapid.T) (f Fleet) {
	f = Fleet{MayRelease: rapid.Bool().Draw(t, "mayRelease"), MaxReleases: rapid.IntRange(0, 3).Draw(t, "maxReleases")}
	if rapid.Bool().Draw(t, "hasSpare") {
		f.Spare = "spare"
	}
	name := 0
	draw := func(label string, count int) (endpoints []Endpoint) {
		for range rapid.IntRange(0, count).Draw(t, label) {
			name++
			idleAt := time.UnixMilli(rapid.Int64Range(0, 5000).Draw(t, "idleAt"))
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("e%d", name), Instance: fmt.Sprintf("i%d", name), IdleAt: idleAt})
		}
		return endpoints
	}
	if f.Spare != "" {
		f.Free = draw("free", 5)
	}
	cpu := func(label string) float64 { return rapid.Float64Range(0, 8000).Draw(t, label) }
	for i := range rapid.IntRange(1, 4).Draw(t, "pools") {
		p := Pool{
			Name: fmt.Sprintf("p%d", i), EndpointCPU: endpointCPU, Idle: draw("idle", 8), Busy: draw("busy", 8), Incoming: rapid.IntRange(0, 4).Draw(t, "incoming"),
			LongRunningEndpoints: rapid.IntRange(0, 6).Draw(t, "longRunningEndpoints"), OnTimeCPU: cpu("onTime"), OnTimeRunningCPU: cpu("running"), LateCPU: cpu("late"),
			Forecast: Forecast{CPU: cpu("forecast"), Error: cpu("error")},
		}
		p.Staying = p.LongRunningEndpoints + rapid.IntRange(0, 3).Draw(t, "staying")
		p.LongRunningCPU = p.LongRunningEndpoints * 400
		if rapid.Bool().Draw(t, "hasSurplus") {
			p.SurplusSince = time.UnixMilli(rapid.Int64Range(4000, 5000).Draw(t, "surplusSince"))
		}
		f.Pools = append(f.Pools, p)
	}
	return f
}

// Guards against moves of endpoints that are in use, against an instance that moves twice,
// against a pool that gives away what it needs, and against more moves than changes of the
// sizes. The expected values are derived from the drawn fleet.
func TestMovesKeepWhatPoolsNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		idle := make(map[string]string)
		size, least := make(map[string]int), make(map[string]int)
		lacking := 0
		busy := make(map[string]bool)
		for i := range f.Pools {
			p := &f.Pools[i]
			for _, e := range p.Idle {
				idle[e.Instance] = p.Name
			}
			for _, e := range p.Busy {
				busy[e.ID] = true
			}
			s := p.size()
			size[p.Name], least[p.Name] = s.Current, min(s.Current, s.RequiredOnTime)
			lacking += max(0, s.Required-s.Current)
			if s.RequiredOnTime < p.LongRunningEndpoints+extraEndpoints || s.Kept < s.Required || s.Required < s.RequiredOnTime {
				t.Fatalf("sizes %+v of %+v", s, p)
			}
		}
		for _, e := range f.Free {
			idle[e.Instance] = f.Spare
		}
		d := Decide(f, time.UnixMilli(5000))
		grown, released := 0, 0
		gave, got := make(map[string]bool), make(map[string]bool)
		for _, m := range d.Moves {
			if from, known := idle[m.Instance]; !known || from != m.From || m.From == m.To {
				t.Fatalf("move %v of an instance that is in use, has moved or is elsewhere", m)
			}
			delete(idle, m.Instance)
			size[m.From]--
			size[m.To]++
			gave[m.From], got[m.To] = true, true
			if m.To == f.Spare {
				released++
			} else {
				grown++
			}
		}
		for _, p := range f.Pools {
			if size[p.Name] < least[p.Name] {
				t.Fatalf("%d endpoints left in %s, %d needed; moves %v", size[p.Name], p.Name, least[p.Name], d.Moves)
			}
			if gave[p.Name] && got[p.Name] && size[p.Name] > p.size().Required {
				t.Fatalf("%s got instances that it does not need and gave others: %v", p.Name, d.Moves)
			}
		}
		if grown > lacking {
			t.Fatalf("%d moves to pools that lack %d endpoints", grown, lacking)
		}
		if released > 0 && (!f.MayRelease || f.Spare == "" || f.MaxReleases > 0 && released > f.MaxReleases) {
			t.Fatalf("%d moves to the spare pool", released)
		}
		for id := range d.Cordoned {
			if !busy[id] {
				t.Fatalf("%s is cordoned and not busy", id)
			}
		}
	})
}
