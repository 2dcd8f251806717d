package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Phase is how far the upkeep of an instance has come.
type Phase int

// Phases of an upkeep.
const (
	// Waiting instances serve as usual.
	Waiting Phase = iota
	// Reserved instances get no new tasks.
	Reserved
	// Ordered instances may be away.
	Ordered
	// Done instances have had their upkeep, or are gone for good.
	Done
)

// WaveInstance is an instance of a wave.
type WaveInstance struct {
	Name  string
	Phase Phase
	// Runs is how many tasks the instance still runs while it is reserved, and Lasting
	// how many of them last.
	Runs, Lasting int
	// Endpoint is the endpoint that the order takes away.
	Endpoint  string
	OrderedAt time.Time
	// Confirmed is set once the platform has taken the order. Nothing else shows
	// that the upkeep has begun: an endpoint also changes by a move or a crash.
	Confirmed bool
	// Away tells that the platform does not list the instance as up.
	Away bool
	// MissingSince is set while the platform does not list the instance.
	MissingSince time.Time
	// Gone is set once the instance counts as taken away.
	Gone bool
}

// Wave is a planned maintenance of instances.
type Wave struct {
	Number    int64
	Instances []*WaveInstance
	// AtMost is how many instances may be away at once.
	AtMost int
	// Until is when the wave has to be over.
	Until time.Time
	// Away is how long the upkeep of an instance takes.
	Away time.Duration
}

// InstanceSight is what the platform lists of an instance.
type InstanceSight struct {
	Name, Pool, Endpoint string
	Up                   bool
}

// Times of a wave.
const (
	// reorderAfter is when an order without an effect is given again.
	reorderAfter = 4 * time.Second
	// goneAfter is how long an instance may be missing from the platform's list
	// before it counts as taken away.
	goneAfter = 5 * time.Second
	// drainTime is about how long a reserved endpoint takes to become idle: its
	// lasting tasks move one after the other, each in about a second.
	drainTime = 4 * time.Second
	// waveReserve is left of a wave's time for upkeeps that have to be given again.
	waveReserve = 6 * time.Second
)

// poolShare is the part of a pool's endpoints that may be reserved at once.
const poolShare = 0.34

// Observe updates the wave from the platform's list.
func (w *Wave) Observe(listed []InstanceSight, asked time.Time) {
	byName := make(map[string]InstanceSight, len(listed))
	for _, l := range listed {
		byName[l.Name] = l
	}
	for _, i := range w.Instances {
		l, present := byName[i.Name]
		switch {
		case !present:
			if i.MissingSince.IsZero() {
				i.MissingSince = asked
			}
			if asked.Sub(i.MissingSince) > goneAfter {
				i.Phase = Done
				i.Gone = true
			}
			continue
		case i.Phase == Ordered && i.Confirmed && l.Up && asked.Sub(i.OrderedAt) > w.Away:
			i.Phase = Done
		case i.Phase == Ordered && !i.Confirmed && l.Up && asked.Sub(i.OrderedAt) > reorderAfter:
			i.Phase = Reserved
		}
		i.Away = !l.Up
		if i.Gone {
			i.Gone, i.Phase = false, Waiting
		}
		i.MissingSince = time.Time{}
	}
}

// Complete tells whether all instances have had their upkeep.
func (w *Wave) Complete() bool {
	return !slices.ContainsFunc(w.Instances, func(i *WaveInstance) bool { return i.Phase != Done })
}

// left counts the instances that still need their upkeep, and those that are
// taken or away now.
func (w *Wave) left() (waiting, taken int) {
	for _, i := range w.Instances {
		switch i.Phase {
		case Waiting:
			waiting++
			if i.Away {
				taken++
			}
		case Reserved, Ordered:
			taken++
		case Done:
		}
	}
	return waiting, taken
}

// pressing tells whether the wave has to go on although pools are busy.
func (w *Wave) pressing(now time.Time) bool {
	waiting, taken := w.left()
	rounds := (waiting + taken + w.AtMost - 1) / max(w.AtMost, 1)
	return now.Add(time.Duration(rounds) * (w.Away + drainTime)).Add(waveReserve).After(w.Until)
}

// PlanWave reserves endpoints for their upkeep, those of idle pools first, and
// returns the instances that are idle, so that their upkeep may be ordered.
func (s *Scheduler) PlanWave(w *Wave, listed []InstanceSight, now time.Time) (idle []*WaveInstance) {
	s.init()
	sights := make(map[string]InstanceSight, len(listed))
	for _, l := range listed {
		sights[l.Name] = l
	}
	for _, i := range w.Instances {
		s.hold(i, s.endpoints[sights[i.Name].Endpoint])
	}
	s.reserve(w, sights, now)
	for _, i := range w.Instances {
		l, present := sights[i.Name]
		if i.Phase != Reserved || !present || !l.Up {
			continue
		}
		e := s.endpoints[l.Endpoint]
		i.Runs, i.Lasting = e.countRuns()
		if l.Endpoint == "" || (e != nil && e.seen && len(e.runs)+len(e.unknownRuns) == 0) {
			i.Endpoint = l.Endpoint
			idle = append(idle, i)
		}
	}
	return idle
}

// countRuns returns how many tasks run on the endpoint, and how many of them last.
func (e *endpoint) countRuns() (runs, lasting int) {
	if e == nil {
		return 0, 0
	}
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			lasting++
		}
	}
	return len(e.runs) + len(e.unknownRuns), lasting
}

// hold keeps new work from an instance while its upkeep is about to begin.
func (s *Scheduler) hold(i *WaveInstance, e *endpoint) {
	held := i.Phase == Reserved
	if held {
		s.heldBack[i.Name] = true
	} else {
		delete(s.heldBack, i.Name)
	}
	if e != nil {
		e.upkeep = held
		e.due = i.Phase == Waiting || held
	}
}

// reserve takes waiting instances out of service, up to the wave's bound and a
// share of each pool.
func (s *Scheduler) reserve(w *Wave, sights map[string]InstanceSight, now time.Time) {
	_, taken := w.left()
	pressing := w.pressing(now)
	var waiting []*WaveInstance
	for _, i := range w.Instances {
		if l, present := sights[i.Name]; present && l.Up && i.Phase == Waiting {
			waiting = append(waiting, i)
		}
	}
	loads := s.loads(now)
	slices.SortStableFunc(waiting, func(a, b *WaveInstance) int {
		l, r := sights[a.Name], sights[b.Name]
		return cmp.Or(
			cmp.Compare(loads[l.Pool].pressure(), loads[r.Pool].pressure()),
			cmp.Compare(s.runsOn(l.Endpoint), s.runsOn(r.Endpoint)),
		)
	})
	for _, i := range waiting {
		if taken >= w.AtMost {
			return
		}
		l := sights[i.Name]
		load := loads[l.Pool]
		e := s.endpoints[l.Endpoint]
		i.Runs, i.Lasting = e.countRuns()
		if l.Endpoint == "" || load == nil {
			// An instance without an endpoint, as in a spare pool, runs nothing.
			i.Phase = Reserved
			s.heldBack[i.Name] = true
			taken++
			continue
		}
		switch {
		case e == nil:
			// The endpoint's entry has not arrived yet.
			continue
		case !pressing && load.waiting > 0:
			continue
		case float64(load.reserved+1) > max(1, poolShare*float64(load.endpoints)):
			continue
		default:
			e.upkeep = true
		}
		load.reserved++
		i.Phase = Reserved
		taken++
	}
}

// Release returns an endpoint to service whose move or upkeep is not carried out.
func (s *Scheduler) Release(endpoint string) {
	if e := s.endpoints[endpoint]; e != nil {
		e.upkeep, e.moving = false, false
	}
}

// load is how busy a pool is.
type load struct {
	endpoints, reserved int
	// waiting is the work of tasks that could run, in core-milliseconds, and
	// capacity the pool's processors.
	waiting, capacity float64
	// urgent are the processors that the waiting work of jobs in time takes to be
	// done within their slack; running are those that their tasks take now.
	urgent, running float64
	// overdue are the processors that the waiting work of late jobs takes.
	overdue float64
}

// pressure is how long the pool needs for the tasks that wait.
func (l *load) pressure() float64 {
	if l == nil || l.capacity == 0 {
		return 0
	}
	return l.waiting / l.capacity
}

// overdueDrain is the time in which the waiting work of late jobs should be done, in
// milliseconds. A flood lasts about as long, and a late job earns a tenth or less.
const overdueDrain = 8000

// loads returns how busy each pool is.
func (s *Scheduler) loads(now time.Time) (loads map[string]*load) {
	loads = make(map[string]*load)
	for _, e := range s.endpoints {
		l := loads[e.Pool]
		if l == nil {
			l = &load{}
			loads[e.Pool] = l
		}
		if !e.listed || e.Draining {
			continue
		}
		l.endpoints++
		if e.reserved() {
			l.reserved++
			continue
		}
		l.capacity += float64(e.Capacity.CPU)
	}
	for pool, jobs := range s.active {
		if loads[pool] == nil {
			loads[pool] = &load{}
		}
		for _, j := range jobs {
			if !j.lasting() {
				s.rank(j, now)
				loads[pool].add(j, s.waitingWork(j), s.slack(j))
			}
		}
	}
	return loads
}

// add counts a job's waiting work, in core-milliseconds, and what it runs.
func (l *load) add(j *jobState, work, slack float64) {
	l.waiting += work
	if j.late != onTime {
		l.overdue += work / overdueDrain
		return
	}
	l.urgent += work / (drainShare * slack)
	l.running += j.runningCPU()
}

// slack returns how long a job may wait in all and still meet its objective, in
// milliseconds.
func (s *Scheduler) slack(j *jobState) (millis float64) {
	chain := 0.0
	for i := range j.Steps {
		chain += s.expected(j, &j.Steps[i])
	}
	return max((j.Stretch-1)*chain+float64(j.TargetMillis), leastSlack)
}

// leastSlack bounds a job's slack from below, in milliseconds.
const leastSlack = 200

// waitingWork returns the work of a job's tasks that could run now.
func (s *Scheduler) waitingWork(j *jobState) (work float64) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.complete() || !o.ready(st) {
				continue
			}
			waiting := 0
			for _, t := range st.tasks {
				if !t.done && len(t.runs) == 0 {
					waiting++
				}
			}
			work += float64(waiting) * s.expected(j, st.step) * float64(st.step.CPU)
		}
	}
	return work
}

func (s *Scheduler) runsOn(endpoint string) int {
	if e := s.endpoints[endpoint]; e != nil {
		return len(e.runs)
	}
	return 0
}
