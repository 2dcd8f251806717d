package sizing

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// step is the time between two decisions, as the owner makes them.
	step = 250 * time.Millisecond
	// taskTime is the duration of a task; a task fills an endpoint.
	taskTime = time.Second
	// slack is how long a task may wait and still meet its objective.
	slack = 1200 * time.Millisecond
	// endpointCPU is the CPU of an endpoint.
	endpointCPU = 1000
)

// instance is an instance of the model.
type instance struct {
	name, pool string
	// upAt is when it is in service in its pool, and busyUntil when its task ends.
	upAt, busyUntil time.Time
	// late is set while it runs a task that missed its objective.
	longRunning, late bool
	cordoned          bool
}

// model simulates pools whose tasks each fill an endpoint for taskTime. Jobs arrive evenly
// at the rate of each pool's load.
type model struct {
	start, now time.Time
	loads      map[string]func(second float64) (rate float64)
	names      []string
	spare      string
	instances  []*instance
	demands    map[string]*Demand
	due        map[string]float64
	// waiting holds the arrival times of the tasks that wait, and surplus the time since
	// which a pool has had too many endpoints.
	waiting map[string][]time.Time
	surplus map[string]time.Time
	sizes   map[string]Size
	// onTime and late count the tasks by the time that they waited. Moves are those
	// that were ordered, and poolSeconds the seconds of instances in pools.
	onTime, late int
	moves        []Move
	poolSeconds  float64
}

func newModel(perPool, spare int, loads map[string]func(second float64) float64) (m *model) {
	m = &model{
		start: time.UnixMilli(1_700_000_000_000), loads: loads, spare: "spare", demands: make(map[string]*Demand), due: make(map[string]float64),
		waiting: make(map[string][]time.Time), sizes: make(map[string]Size),
	}
	m.now = m.start
	for name := range loads {
		m.names = append(m.names, name)
		m.demands[name] = &Demand{}
	}
	slices.Sort(m.names)
	add := func(pool string, count int) {
		for range count {
			m.instances = append(m.instances, &instance{name: fmt.Sprintf("i%03d", len(m.instances)), pool: pool})
		}
	}
	for _, name := range m.names {
		add(name, perPool)
	}
	add("spare", spare)
	return m
}

// run simulates the time up to a second after the start.
func (m *model) run(seconds float64) {
	const tick = 10 * time.Millisecond
	end := m.start.Add(time.Duration(seconds * float64(time.Second)))
	for m.now.Before(end) {
		if m.now.Sub(m.start)%step == 0 {
			m.decide()
		}
		m.now = m.now.Add(tick)
		for _, name := range m.names {
			for m.due[name] += m.loads[name](m.now.Sub(m.start).Seconds()) * tick.Seconds(); m.due[name] >= 1; m.due[name]-- {
				m.waiting[name] = append(m.waiting[name], m.now)
				m.demands[name].Record(endpointCPU*taskTime.Seconds(), m.now)
			}
			m.startTasks(name)
		}
	}
}

// startTasks starts waiting tasks on idle endpoints, those that can meet their objective
// first.
func (m *model) startTasks(pool string) {
	for _, i := range m.instances {
		if len(m.waiting[pool]) == 0 {
			return
		}
		if i.pool != pool || i.cordoned || i.longRunning || m.now.Before(i.upAt) || m.now.Before(i.busyUntil) {
			continue
		}
		next := max(0, slices.IndexFunc(m.waiting[pool], func(at time.Time) bool { return m.now.Sub(at) <= slack }))
		if m.now.Sub(m.waiting[pool][next]) <= slack {
			m.onTime++
			i.late = false
		} else {
			m.late++
			i.late = true
		}
		m.waiting[pool] = slices.Delete(m.waiting[pool], next, next+1)
		i.busyUntil = m.now.Add(taskTime)
	}
}

// observe returns the fleet as the owner sees it.
func (m *model) observe() (f Fleet) {
	f = Fleet{Spare: m.spare, MayRelease: true}
	for _, name := range m.names {
		p := Pool{Name: name, EndpointCPU: endpointCPU, Forecast: m.demands[name].Forecast(m.now), SurplusSince: m.surplus[name]}
		for _, i := range m.instances {
			e := Endpoint{ID: i.name, Instance: i.name, IdleAt: i.busyUntil}
			switch {
			case i.pool != name:
			case m.now.Before(i.upAt):
				p.Incoming++
			case i.longRunning:
				p.Staying++
				p.LongRunningEndpoints++
				p.LongRunningCPU += endpointCPU
			case m.now.Before(i.busyUntil):
				p.Busy = append(p.Busy, e)
				if !i.late {
					p.OnTimeRunningCPU += endpointCPU
				}
			default:
				p.Idle = append(p.Idle, e)
			}
		}
		for _, at := range m.waiting[name] {
			if m.now.Sub(at) <= slack {
				p.OnTimeCPU += endpointCPU * taskTime.Seconds() / slack.Seconds()
			} else {
				p.LateCPU += endpointCPU * taskTime.Seconds() / 8
			}
		}
		f.Pools = append(f.Pools, p)
	}
	for _, i := range m.instances {
		if i.pool == m.spare && !m.now.Before(i.upAt) {
			f.Free = append(f.Free, Endpoint{Instance: i.name})
		}
	}
	return f
}

// decide makes a decision and carries out its moves.
func (m *model) decide() {
	d := Decide(m.observe(), m.now)
	m.surplus = d.SurplusSince
	for _, s := range d.Sizes {
		m.sizes[s.Pool] = s
	}
	for _, v := range d.Moves {
		i := m.instances[slices.IndexFunc(m.instances, func(i *instance) bool { return i.name == v.Instance })]
		if i.pool != v.From || m.now.Before(i.busyUntil) || m.now.Before(i.upAt) || i.longRunning {
			panic(fmt.Sprintf("move %v of an instance of %s that is in use", v, i.pool))
		}
		i.pool, i.upAt = v.To, m.now.Add(moveTime)
	}
	m.moves = append(m.moves, d.Moves...)
	for _, i := range m.instances {
		i.cordoned = d.Cordoned[i.name]
		if i.pool != m.spare {
			m.poolSeconds += step.Seconds()
		}
	}
}

// count returns how many instances are in a pool or on their way to it.
func (m *model) count(pool string) (count int) {
	for _, i := range m.instances {
		if i.pool == pool {
			count++
		}
	}
	return count
}

// onTimeShare returns the share of tasks that met their objective; those that wait did not.
func (m *model) onTimeShare() float64 {
	total := m.onTime + m.late
	for _, w := range m.waiting {
		total += len(w)
	}
	return float64(m.onTime) / float64(total)
}

// countMoves returns how many moves began and ended in a pool other than the spare pool.
func (m *model) countMoves() (direct, viaSpare int) {
	for _, v := range m.moves {
		if v.From != m.spare && v.To != m.spare {
			direct++
		} else {
			viaSpare++
		}
	}
	return direct, viaSpare
}

// wave returns a load that rises and falls as half a sine wave from a second on, above a
// hundredth of its peak.
func wave(from, seconds, peak float64) func(second float64) float64 {
	return func(second float64) float64 {
		if second < from || second >= from+seconds {
			return peak / 100
		}
		return peak * max(0.01, math.Sin(math.Pi*(second-from)/seconds))
	}
}

func constant(rate float64) func(second float64) float64 {
	return func(float64) float64 { return rate }
}
