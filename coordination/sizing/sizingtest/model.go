package sizingtest

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/coordination/sizing"
)

// Parameters of the model.
const (
	// Step is the time between two decisions, as the owner makes them.
	Step = 250 * time.Millisecond
	// TaskTime is the duration of a task if the model has no Draw.
	TaskTime = time.Second
	// Slack is how long a task may wait and still meet its objective.
	Slack = 1200 * time.Millisecond
	// EndpointCPU is the CPU of an endpoint.
	EndpointCPU = 1000
	// moveTime is the time from the order of a move to the first task on the instance.
	moveTime = 2 * time.Second
	// lateDrain is the time in which the work of late tasks should be done.
	lateDrain = 8 * time.Second
	// meanWeight is the weight of a run in the moving average of a queue.
	meanWeight = 0.05
	tick       = 10 * time.Millisecond
)

// Spare is the name of the pool whose instances are switched off.
const Spare = "spare"

// Instance is an instance of the model.
type Instance struct {
	Name, Pool string
	// UpAt is when it is in service in its pool.
	UpAt time.Time
	// LongRunning is set if a long-running task fills it.
	LongRunning bool
	cordoned    bool
	runs        []run
}

// run is a running task. Late is set if it missed its objective.
type run struct {
	cpu               int
	startedAt, endsAt time.Time
	late              bool
}

// Task is what a task takes.
type Task struct {
	CPU  int
	Took time.Duration
}

// waitingTask is a task that waits, with its arrival time.
type waitingTask struct {
	Task
	at time.Time
}

// Model simulates pools with one queue each. The tasks of a job start independently.
type Model struct {
	Start, Now time.Time
	// Loads holds the jobs a second of each pool. They arrive evenly, or at random if Random
	// is set.
	Loads  map[string]func(second float64) (rate float64)
	Random *rand.Rand
	// Draw returns the next task of a pool; nil means that a task fills an endpoint for
	// TaskTime.
	Draw func(pool string, second float64) Task
	// Width is the number of tasks of a job, 1 if it is 0.
	Width int
	// Learned sizes pools by learned run times, and not by the moving average of each queue.
	// Headroom is that of the fleet.
	Learned  bool
	Headroom float64

	Names     []string
	Instances []*Instance
	// Sizes holds the last size of each pool, and Moves the moves that were ordered.
	Sizes map[string]sizing.Size
	Moves []sizing.Move
	// OnTime and Late count the started tasks by the time that they waited. PoolSeconds are
	// the seconds of instances in pools.
	OnTime, Late int
	PoolSeconds  float64

	demands   map[string]*sizing.Demand
	due       map[string]float64
	waiting   map[string][]waitingTask
	surplus   map[string]time.Time
	means     map[string]time.Duration
	estimator duration.Estimator
}

// New returns a model of pools of a size, and a spare pool.
func New(perPool, spare int, loads map[string]func(second float64) float64) (m *Model) {
	m = &Model{
		Start: time.UnixMilli(1_700_000_000_000), Loads: loads, demands: make(map[string]*sizing.Demand), due: make(map[string]float64),
		waiting: make(map[string][]waitingTask), Sizes: make(map[string]sizing.Size), means: make(map[string]time.Duration),
	}
	m.Now = m.Start
	for name := range loads {
		m.Names = append(m.Names, name)
		m.demands[name] = &sizing.Demand{}
	}
	slices.Sort(m.Names)
	for _, name := range m.Names {
		m.add(name, perPool)
	}
	m.add(Spare, spare)
	return m
}

func (m *Model) add(pool string, count int) {
	for range count {
		m.Instances = append(m.Instances, &Instance{Name: fmt.Sprintf("i%03d", len(m.Instances)), Pool: pool})
	}
}

// Run simulates the time up to a second after the start.
func (m *Model) Run(seconds float64) {
	end := m.Start.Add(time.Duration(seconds * float64(time.Second)))
	for m.Now.Before(end) {
		if m.Now.Sub(m.Start)%Step == 0 {
			m.decide()
		}
		m.Now = m.Now.Add(tick)
		m.endRuns()
		for _, name := range m.Names {
			for range m.arrivals(name) {
				m.arrive(name)
			}
			m.startTasks(name)
		}
	}
}

func (m *Model) second() float64 {
	return m.Now.Sub(m.Start).Seconds()
}

// arrivals returns how many jobs of a pool arrive in this tick.
func (m *Model) arrivals(pool string) (count int) {
	expected := m.Loads[pool](m.second()) * tick.Seconds()
	if m.Random != nil {
		for p := m.Random.ExpFloat64(); p < expected; p += m.Random.ExpFloat64() {
			count++
		}
		return count
	}
	for m.due[pool] += expected; m.due[pool] >= 1; m.due[pool]-- {
		count++
	}
	return count
}

// arrive adds a job to its queue and to the demand of its pool.
func (m *Model) arrive(pool string) {
	a, d := sizing.Arrival{}, m.distribution(pool)
	for range max(m.Width, 1) {
		t := Task{CPU: EndpointCPU, Took: TaskTime}
		if m.Draw != nil {
			t = m.Draw(pool, m.second())
		}
		m.waiting[pool] = append(m.waiting[pool], waitingTask{Task: t, at: m.Now})
		work := float64(t.CPU) * m.expected(pool).Seconds()
		a.Work += work
		a.Fill += work * sizing.Fill(t.CPU, EndpointCPU)
	}
	if a.Fill /= a.Work; m.Learned && d.Samples() > 0 {
		a.Lag, a.Learned = d.Residual(), true
	}
	m.demands[pool].RecordArrival(a, m.Now)
}

// distribution returns the learned distribution of the run times of a pool. The declared time
// is TaskTime.
func (m *Model) distribution(pool string) duration.Distribution {
	return m.estimator.Expect(duration.Key{Queue: pool}, TaskTime)
}

// expected returns the expected run time of a task.
func (m *Model) expected(pool string) time.Duration {
	if m.Learned {
		return m.distribution(pool).Mean()
	}
	if mean, known := m.means[pool]; known {
		return mean
	}
	return TaskTime
}

// endRuns ends the tasks that are done, and learns their run times.
func (m *Model) endRuns() {
	for _, i := range m.Instances {
		i.runs = slices.DeleteFunc(i.runs, func(r run) (ended bool) {
			if m.Now.Before(r.endsAt) {
				return false
			}
			took := r.endsAt.Sub(r.startedAt)
			m.estimator.Observe(duration.Key{Queue: i.Pool}, TaskTime, took, m.Now)
			if mean, known := m.means[i.Pool]; known {
				m.means[i.Pool] = mean + time.Duration(meanWeight*float64(took-mean))
			} else {
				m.means[i.Pool] = took
			}
			return true
		})
	}
}

// free returns the CPU of an instance that new tasks may take.
func (m *Model) free(i *Instance) (cpu int) {
	if i.cordoned || i.LongRunning || m.Now.Before(i.UpAt) {
		return 0
	}
	cpu = EndpointCPU
	for _, r := range i.runs {
		cpu -= r.cpu
	}
	return cpu
}

// startTasks starts waiting tasks on the fullest endpoints that have room, those that can
// meet their objective first.
func (m *Model) startTasks(pool string) {
	for len(m.waiting[pool]) > 0 {
		next := max(0, slices.IndexFunc(m.waiting[pool], func(t waitingTask) bool { return m.Now.Sub(t.at) <= Slack }))
		t := m.waiting[pool][next]
		var best *Instance
		for _, i := range m.Instances {
			if i.Pool == pool && m.free(i) >= t.CPU && (best == nil || m.free(i) < m.free(best)) {
				best = i
			}
		}
		if best == nil {
			return
		}
		late := m.Now.Sub(t.at) > Slack
		if late {
			m.Late++
		} else {
			m.OnTime++
		}
		m.waiting[pool] = slices.Delete(m.waiting[pool], next, next+1)
		best.runs = append(best.runs, run{cpu: t.CPU, startedAt: m.Now, endsAt: m.Now.Add(t.Took), late: late})
	}
}

// observe returns the fleet as the owner reads it.
func (m *Model) observe() (f sizing.Fleet) {
	f = sizing.Fleet{Spare: Spare, MayRelease: true, Headroom: m.Headroom}
	for _, name := range m.Names {
		p := sizing.Pool{Name: name, EndpointCPU: EndpointCPU, SurplusSince: m.surplus[name]}
		running := sizing.Running{}
		for _, i := range m.Instances {
			if i.Pool == name {
				m.observeInstance(&p, &running, i)
			}
		}
		for _, t := range m.waiting[name] {
			work := float64(t.CPU) * m.expected(name).Seconds()
			if m.Now.Sub(t.at) <= Slack {
				p.OnTimeCPU += work / Slack.Seconds()
			} else {
				p.LateCPU += work / lateDrain.Seconds()
			}
		}
		running.Waiting = p.OnTimeCPU
		p.Forecast = m.demands[name].Expect(running, m.Now)
		f.Pools = append(f.Pools, p)
	}
	for _, i := range m.Instances {
		if i.Pool == Spare && !m.Now.Before(i.UpAt) {
			f.Free = append(f.Free, sizing.Endpoint{Instance: i.Name})
		}
	}
	return f
}

// observeInstance adds an instance to its pool.
func (m *Model) observeInstance(p *sizing.Pool, running *sizing.Running, i *Instance) {
	e := sizing.Endpoint{ID: i.Name, Instance: i.Name}
	for _, r := range i.runs {
		if r.endsAt.After(e.IdleAt) {
			e.IdleAt = r.endsAt
		}
		if !r.late {
			p.OnTimeRunningCPU += float64(r.cpu)
			running.CPU += float64(r.cpu)
			running.Work += float64(r.cpu) * m.distribution(p.Name).Remaining(m.Now.Sub(r.startedAt)).Seconds()
		}
	}
	switch {
	case m.Now.Before(i.UpAt):
		p.Incoming++
	case i.LongRunning:
		p.Staying++
		p.LongRunningEndpoints++
		p.LongRunningCPU += EndpointCPU
	case len(i.runs) > 0:
		p.Busy = append(p.Busy, e)
	default:
		p.Idle = append(p.Idle, e)
	}
}

// decide makes a decision and carries out its moves.
func (m *Model) decide() {
	d := sizing.Decide(m.observe(), m.Now)
	m.surplus = d.SurplusSince
	for _, s := range d.Sizes {
		m.Sizes[s.Pool] = s
	}
	for _, v := range d.Moves {
		i := m.Instances[slices.IndexFunc(m.Instances, func(i *Instance) bool { return i.Name == v.Instance })]
		if i.Pool != v.From || len(i.runs) > 0 || m.Now.Before(i.UpAt) || i.LongRunning {
			panic(fmt.Sprintf("move %v of an instance of %s that is in use", v, i.Pool))
		}
		i.Pool, i.UpAt = v.To, m.Now.Add(moveTime)
	}
	m.Moves = append(m.Moves, d.Moves...)
	for _, i := range m.Instances {
		i.cordoned = d.Cordoned[i.Name]
		if i.Pool != Spare {
			m.PoolSeconds += Step.Seconds()
		}
	}
}

// Count returns how many instances are in a pool or on their way to it.
func (m *Model) Count(pool string) (count int) {
	for _, i := range m.Instances {
		if i.Pool == pool {
			count++
		}
	}
	return count
}

// Overdue returns how many waiting tasks of a pool have missed their objective.
func (m *Model) Overdue(pool string) (count int) {
	for _, t := range m.waiting[pool] {
		if m.Now.Sub(t.at) > Slack {
			count++
		}
	}
	return count
}

// OnTimeShare returns the share of tasks that met their objective; those that wait did not.
func (m *Model) OnTimeShare() float64 {
	total := m.OnTime + m.Late
	for _, w := range m.waiting {
		total += len(w)
	}
	return float64(m.OnTime) / float64(total)
}

// CountMoves returns how many moves were between other pools than the spare pool, and how many
// began or ended there.
func (m *Model) CountMoves() (direct, viaSpare int) {
	for _, v := range m.Moves {
		if v.From != Spare && v.To != Spare {
			direct++
		} else {
			viaSpare++
		}
	}
	return direct, viaSpare
}

// Wave returns a load that rises and falls as half a sine wave from a second on, above a
// hundredth of its peak.
func Wave(from, seconds, peak float64) func(second float64) float64 {
	return func(second float64) float64 {
		if second < from || second >= from+seconds {
			return peak / 100
		}
		return peak * max(0.01, math.Sin(math.Pi*(second-from)/seconds))
	}
}

// Constant returns a load that does not change.
func Constant(rate float64) func(second float64) float64 {
	return func(float64) float64 { return rate }
}

// Change returns a load that changes once, at a second.
func Change(at, before, after float64) func(second float64) float64 {
	return func(second float64) float64 {
		if second < at {
			return before
		}
		return after
	}
}
