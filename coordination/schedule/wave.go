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
	// evacuateTime is about how long a lasting task takes to move: up to 0.9 s to stop,
	// as long to start up and to be seen at work, and a second in which its endpoint
	// waits for tasks of other steps.
	evacuateTime = 3 * time.Second
	// waveReserve is left of a wave's time for upkeeps that have to be given again.
	waveReserve = 6 * time.Second
)

// reserveAhead times the wave's bound may be reserved or down, as the bound holds for
// those that are down only, and emptying an instance takes longer than its upkeep. Of a
// lasting step, so many times the tasks that may be away are reserved.
const reserveAhead = 2

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

// progress counts the instances of a wave that have not had their upkeep.
type progress struct {
	// waiting are in service, reserved are being emptied, and down are away or may be.
	// Lasting of the reserved ones still run lasting tasks.
	waiting, reserved, down, lasting int
}

func (w *Wave) progress() (p progress) {
	for _, i := range w.Instances {
		switch {
		case i.Phase == Done:
		case i.Phase == Ordered || i.Away:
			p.down++
		case i.Phase == Reserved:
			p.reserved++
			if i.Lasting > 0 {
				p.lasting++
			}
		default:
			p.waiting++
		}
	}
	return p
}

// pressing tells whether the wave has to go on although pools are busy.
func (w *Wave) pressing(p progress, now time.Time) bool {
	rounds := (p.waiting + p.reserved + p.down + w.AtMost - 1) / max(w.AtMost, 1)
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
	down := w.progress().down
	for _, i := range w.Instances {
		l, present := sights[i.Name]
		if i.Phase != Reserved || !present || !l.Up || down+len(idle) >= w.AtMost {
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
	p := w.progress()
	pressing := w.pressing(p, now)
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
	r := &reservation{progress: p, most: reserveAhead * w.AtMost, loads: loads, leaving: s.leavingTasks()}
	// Lasting tasks leave one after the other, so that their instances come first.
	chain := pressing || now.Add(s.evacuation(waiting, sights)).Add(waveReserve).After(w.Until)
	for _, i := range waiting {
		e := s.endpoints[sights[i.Name].Endpoint]
		if e != nil && e.lasting().CPU > 0 && (chain || loads[e.Pool].waiting <= 0) {
			r.takeLasting(i, e)
		}
	}
	for _, i := range waiting {
		l := sights[i.Name]
		e := s.endpoints[l.Endpoint]
		if r.full() {
			return
		}
		switch {
		case l.Endpoint == "" || loads[l.Pool] == nil:
			// An instance without an endpoint, as in a spare pool, runs nothing.
			i.Phase = Reserved
			s.heldBack[i.Name] = true
			r.progress.reserved++
		case e == nil || e.lasting().CPU > 0:
			// The endpoint's entry has not arrived yet, or its turn has not come.
		case pressing || loads[l.Pool].waiting <= 0:
			r.take(i, e)
		}
	}
}

// reservation takes instances of a wave out of service.
type reservation struct {
	progress progress
	// most bounds the instances that are reserved or down.
	most  int
	loads map[string]*load
	// leaving counts the tasks of each lasting step on reserved endpoints.
	leaving map[*stepState]int
}

// leavingTasks counts the tasks of each lasting step that have to leave.
func (s *Scheduler) leavingTasks() (leaving map[*stepState]int) {
	leaving = make(map[*stepState]int)
	for _, e := range s.endpoints {
		if e.reserved() || e.Draining {
			e.countLeaving(leaving)
		}
	}
	return leaving
}

// countLeaving adds the endpoint's lasting tasks.
func (e *endpoint) countLeaving(leaving map[*stepState]int) {
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			leaving[r.task.stepState()]++
		}
	}
}

// take reserves an endpoint, unless too much of its pool is reserved.
func (r *reservation) take(i *WaveInstance, e *endpoint) {
	load := r.loads[e.Pool]
	i.Runs, i.Lasting = e.countRuns()
	if float64(load.reserved+1) > max(1, poolShare*float64(load.endpoints)) {
		return
	}
	e.upkeep = true
	e.countLeaving(r.leaving)
	load.reserved++
	i.Phase = Reserved
	r.progress.reserved++
	if i.Lasting > 0 {
		r.progress.lasting++
	}
}

// full tells whether no more instances may be taken out of service.
func (r *reservation) full() bool {
	return r.progress.reserved+r.progress.down >= r.most
}

// takeLasting reserves an endpoint with lasting tasks whose turn is near: of each step,
// those that may be away and as many to follow them. More would stand idle until the
// tasks before them have moved, which takes a second or two for each.
func (r *reservation) takeLasting(i *WaveInstance, e *endpoint) {
	if r.full() || r.progress.lasting >= max(1, r.most/reserveAhead) {
		return
	}
	for _, o := range e.runs {
		if !o.task.step.LongRunning {
			continue
		}
		if st := o.task.stepState(); r.leaving[st] >= reserveAhead*max(st.step.MayMiss, 1) {
			return
		}
	}
	r.take(i, e)
}

// evacuation returns about how long the lasting tasks of instances need to move, if
// of each step no more are away at once than may be.
func (s *Scheduler) evacuation(waiting []*WaveInstance, sights map[string]InstanceSight) (longest time.Duration) {
	tasks := make(map[*stepState]int)
	for _, i := range waiting {
		if e := s.endpoints[sights[i.Name].Endpoint]; e != nil {
			e.countLeaving(tasks)
		}
	}
	for st, n := range tasks {
		longest = max(longest, time.Duration(n)*evacuateTime/time.Duration(max(st.step.MayMiss, 1)))
	}
	return longest
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
