package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Phase is the progress of the maintenance of an instance.
type Phase int

// Phases of the maintenance of an instance.
const (
	// PhaseWaiting instances are in service.
	PhaseWaiting Phase = iota
	// PhaseReserved instances get no new tasks.
	PhaseReserved
	// PhaseOrdered instances may be down.
	PhaseOrdered
	// PhaseDone instances have had their maintenance or have been removed.
	PhaseDone
)

// WaveInstance is the state of one instance of a wave.
type WaveInstance struct {
	Name  string
	Phase Phase
	// Runs is the number of tasks that the reserved instance still runs, and
	// LongRunningRuns the number of long-running ones among them.
	Runs, LongRunningRuns int
	// Endpoint is the identifier of the endpoint that the order takes out of
	// service.
	Endpoint  string
	OrderedAt time.Time
	// Confirmed is set once the platform has accepted the order. Nothing else shows
	// that the maintenance has begun: an endpoint also changes by a move or a crash.
	Confirmed bool
	// OrderInherited is set if an earlier owner may have ordered the maintenance.
	OrderInherited bool
	// UnansweredUntil is the time until which an order without an answer may be carried out.
	UnansweredUntil time.Time
	// Down is set while the instance is, or may be, out of service for maintenance. One
	// that crashed or moves takes up nothing of the wave's limit.
	Down bool
	// MissingSince is the time since which the platform has not listed the instance;
	// zero if it does.
	MissingSince time.Time
	// Removed is set once the instance counts as removed.
	Removed bool
}

// Wave is a planned maintenance of a set of instances.
type Wave struct {
	Number    int64
	Instances []*WaveInstance
	// MaxDown limits how many instances may be down at once.
	MaxDown int
	// Deadline is the time by which the wave has to be complete.
	Deadline time.Time
	// MaintenanceTime is the duration of the maintenance of one instance.
	MaintenanceTime time.Duration
}

// InstanceObservation is the state of an instance as the platform lists it.
type InstanceObservation struct {
	Name, Pool, Endpoint string
	// Up is set if the instance is in service, and InMaintenance if it is out of service for
	// maintenance.
	Up, InMaintenance bool
}

// Timeouts and time estimates of a wave.
const (
	// orderRetryDelay is the time after which an unconfirmed order is given again if
	// the instance is still up.
	orderRetryDelay = 4 * time.Second
	// removedAfter is how long an instance may be missing from the platform's list
	// before it counts as removed.
	removedAfter = 5 * time.Second
	// drainEstimate is about how long a reserved endpoint takes to become idle: its
	// long-running tasks move one after the other, each in about 1 s.
	drainEstimate = 4 * time.Second
	// relocationEstimate is about how long a long-running task takes to move: up to
	// 0.9 s to stop, as long to start up and be reported as serving, and 1 s in
	// which its endpoint waits for tasks of other steps.
	relocationEstimate = 3 * time.Second
	// retryReserve is the part of a wave's time that is kept for maintenance that
	// has to be ordered again.
	retryReserve = 6 * time.Second
)

// reserveFactor times MaxDown is how many instances may be reserved or down. MaxDown
// limits only those that are down, and emptying an instance takes longer than its
// maintenance. Likewise, reserveFactor times MaxUnavailable is how many tasks of a
// long-running step may be on reserved endpoints.
const reserveFactor = 2

// maxReservedFraction is the fraction of a pool's endpoints that may be reserved at
// once.
const maxReservedFraction = 0.34

// Observe updates the wave from the platform's list of instances. Asked is the time
// at which the list was requested.
func (w *Wave) Observe(listed []InstanceObservation, asked time.Time) {
	byName := make(map[string]InstanceObservation, len(listed))
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
			if asked.Sub(i.MissingSince) > removedAfter {
				i.Phase = PhaseDone
				i.Removed = true
			}
			continue
		case i.Phase == PhaseOrdered && i.Confirmed && l.Up && asked.Sub(i.OrderedAt) > w.MaintenanceTime:
			i.Phase = PhaseDone
		case i.Phase == PhaseOrdered && !i.Confirmed && l.Up && asked.Sub(i.OrderedAt) > orderRetryDelay:
			i.Phase = PhaseReserved
		}
		i.Down = l.InMaintenance || !l.Up && i.OrderInherited || !i.Confirmed && asked.Before(i.UnansweredUntil)
		if i.Removed {
			i.Removed, i.Phase = false, PhaseWaiting
		}
		i.MissingSince = time.Time{}
	}
}

// Complete reports whether all instances have had their maintenance.
func (w *Wave) Complete() bool {
	return !slices.ContainsFunc(w.Instances, func(i *WaveInstance) bool { return i.Phase != PhaseDone })
}

// waveProgress counts the instances of a wave that have not had their maintenance.
type waveProgress struct {
	// waiting instances are in service, reserved ones are being emptied, and down
	// ones are down or may be. reservedLongRunning counts the reserved ones that
	// still run long-running tasks.
	waiting, reserved, down, reservedLongRunning int
}

func (w *Wave) progress() (p waveProgress) {
	for _, i := range w.Instances {
		switch {
		case i.Phase == PhaseDone:
		case i.Phase == PhaseOrdered || i.Down:
			p.down++
		case i.Phase == PhaseReserved:
			p.reserved++
			if i.LongRunningRuns > 0 {
				p.reservedLongRunning++
			}
		default:
			p.waiting++
		}
	}
	return p
}

// behindSchedule reports whether the wave misses its deadline unless it also
// proceeds in busy pools.
func (w *Wave) behindSchedule(p waveProgress, now time.Time) bool {
	rounds := (p.waiting + p.reserved + p.down + w.MaxDown - 1) / max(w.MaxDown, 1)
	return now.Add(time.Duration(rounds) * (w.MaintenanceTime + drainEstimate)).Add(retryReserve).After(w.Deadline)
}

// PlanWave reserves endpoints for their maintenance, starting with those of idle
// pools, and returns the reserved instances that are idle, so that their maintenance
// may be ordered.
func (s *Scheduler) PlanWave(w *Wave, listed []InstanceObservation, now time.Time) (idle []*WaveInstance) {
	s.init()
	observations := make(map[string]InstanceObservation, len(listed))
	for _, l := range listed {
		observations[l.Name] = l
	}
	for _, i := range w.Instances {
		s.syncReservation(i, s.endpoints[observations[i.Name].Endpoint])
	}
	s.reserveInstances(w, observations, now)
	down := w.progress().down
	for _, i := range w.Instances {
		l, present := observations[i.Name]
		others := down
		if i.Down {
			others--
		}
		if i.Phase != PhaseReserved || !present || !l.Up || others+len(idle) >= w.MaxDown {
			continue
		}
		e := s.endpoints[l.Endpoint]
		i.Runs, i.LongRunningRuns = e.countRuns()
		if e != nil && i.Runs == 0 {
			s.storeEnds(e)
		}
		if l.Endpoint == "" || (e != nil && e.contacted && e.idle()) {
			i.Endpoint = l.Endpoint
			if e != nil {
				e.replacementOrdered = true
			}
			idle = append(idle, i)
		}
	}
	return idle
}

// countRuns returns how many tasks run on the endpoint, and how many of them are
// long-running.
func (e *endpoint) countRuns() (runs, longRunning int) {
	if e == nil {
		return 0, 0
	}
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			longRunning++
		}
	}
	return len(e.runs) + len(e.unknownRuns), longRunning
}

// syncReservation applies the phase of an instance to the placement of tasks: a
// reserved instance gets none.
func (s *Scheduler) syncReservation(i *WaveInstance, e *endpoint) {
	// An order without an answer may still be carried out.
	reserved := i.Phase == PhaseReserved || i.Phase == PhaseOrdered && !i.Confirmed
	if reserved {
		s.reservedInstances[i.Name] = true
	} else {
		delete(s.reservedInstances, i.Name)
	}
	due := i.Phase == PhaseWaiting || reserved
	if due {
		s.dueInstances[i.Name] = true
	} else {
		delete(s.dueInstances, i.Name)
	}
	if e != nil {
		e.reservedForMaintenance = reserved
		e.maintenanceDue = due
	}
}

// reserveInstances reserves waiting instances up to the limits of the wave and of
// each pool.
func (s *Scheduler) reserveInstances(w *Wave, observations map[string]InstanceObservation, now time.Time) {
	p := w.progress()
	behindSchedule := w.behindSchedule(p, now)
	var waiting []*WaveInstance
	for _, i := range w.Instances {
		if l, present := observations[i.Name]; present && l.Up && i.Phase == PhaseWaiting {
			waiting = append(waiting, i)
		}
	}
	loads := s.poolLoads(now)
	slices.SortStableFunc(waiting, func(a, b *WaveInstance) int {
		l, r := observations[a.Name], observations[b.Name]
		return cmp.Or(
			cmp.Compare(loads[l.Pool].waitingTime(), loads[r.Pool].waitingTime()),
			cmp.Compare(s.runsOn(l.Endpoint), s.runsOn(r.Endpoint)),
		)
	})
	r := &reservation{progress: p, limit: reserveFactor * w.MaxDown, loads: loads, leavingTasks: s.leavingTasks()}
	// Long-running tasks move one after the other, so that their instances are
	// reserved first.
	moveLongRunning := behindSchedule || now.Add(s.evacuationTime(waiting, observations)).Add(retryReserve).After(w.Deadline)
	for _, i := range waiting {
		e := s.endpoints[observations[i.Name].Endpoint]
		if e != nil && e.longRunningUsage().CPU > 0 && (moveLongRunning || loads[e.Pool].waitingWork <= 0) {
			r.reserveLongRunning(i, e)
		}
	}
	for _, i := range waiting {
		l := observations[i.Name]
		e := s.endpoints[l.Endpoint]
		if r.limitReached() {
			return
		}
		switch {
		case l.Endpoint == "" || loads[l.Pool] == nil:
			// An instance without an endpoint, as in the spare pool, runs nothing.
			i.Phase = PhaseReserved
			s.reservedInstances[i.Name] = true
			r.progress.reserved++
		case e == nil || e.longRunningUsage().CPU > 0:
			// The endpoint is not known yet, or its long-running tasks have to wait.
		case behindSchedule || loads[l.Pool].waitingWork <= 0:
			r.reserveEndpoint(i, e)
		}
	}
}

// reservation reserves instances of a wave within its limits.
type reservation struct {
	progress waveProgress
	// limit is how many instances may be reserved or down.
	limit int
	loads map[string]*poolLoad
	// leavingTasks counts the tasks of each long-running step on reserved or
	// draining endpoints.
	leavingTasks map[*stepState]int
}

// leavingTasks counts the tasks of each long-running step that have to move.
func (s *Scheduler) leavingTasks() (leaving map[*stepState]int) {
	leaving = make(map[*stepState]int)
	for _, e := range s.endpoints {
		if e.reserved() || e.Draining {
			e.countLeaving(leaving)
		}
	}
	return leaving
}

// countLeaving adds the long-running tasks of the endpoint.
func (e *endpoint) countLeaving(leaving map[*stepState]int) {
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			leaving[r.task.stepState()]++
		}
	}
}

// reserveEndpoint reserves an endpoint, unless too many endpoints of its pool are
// reserved.
func (r *reservation) reserveEndpoint(i *WaveInstance, e *endpoint) {
	load := r.loads[e.Pool]
	i.Runs, i.LongRunningRuns = e.countRuns()
	if float64(load.reserved+1) > max(1, maxReservedFraction*float64(load.endpoints)) {
		return
	}
	e.reservedForMaintenance = true
	e.countLeaving(r.leavingTasks)
	load.reserved++
	i.Phase = PhaseReserved
	r.progress.reserved++
	if i.LongRunningRuns > 0 {
		r.progress.reservedLongRunning++
	}
}

// limitReached reports whether no more instances may be reserved.
func (r *reservation) limitReached() bool {
	return r.progress.reserved+r.progress.down >= r.limit
}

// reserveLongRunning reserves an endpoint with long-running tasks that can move
// soon: for each step, as many as may be out of service and the same number to
// follow them. Further ones would stand idle until the tasks before them have moved,
// which takes 1 to 2 s for each.
func (r *reservation) reserveLongRunning(i *WaveInstance, e *endpoint) {
	if r.limitReached() || r.progress.reservedLongRunning >= max(1, r.limit/reserveFactor) {
		return
	}
	for _, o := range e.runs {
		if !o.task.step.LongRunning {
			continue
		}
		if st := o.task.stepState(); r.leavingTasks[st] >= reserveFactor*max(st.step.MaxUnavailable, 1) {
			return
		}
	}
	r.reserveEndpoint(i, e)
}

// evacuationTime returns about how long the long-running tasks of instances take to
// move, if each step stays within its limit of tasks that are out of service.
func (s *Scheduler) evacuationTime(waiting []*WaveInstance, observations map[string]InstanceObservation) (longest time.Duration) {
	tasks := make(map[*stepState]int)
	for _, i := range waiting {
		if e := s.endpoints[observations[i.Name].Endpoint]; e != nil {
			e.countLeaving(tasks)
		}
	}
	for st, n := range tasks {
		longest = max(longest, time.Duration(n)*relocationEstimate/time.Duration(max(st.step.MaxUnavailable, 1)))
	}
	return longest
}

// MayMaintain reports whether the maintenance that PlanWave has returned may still be ordered.
func (s *Scheduler) MayMaintain(i *WaveInstance) bool {
	return s.mayOrder(i.Name, i.Endpoint)
}

// CancelMaintenance returns an endpoint to service whose maintenance is not carried out.
func (s *Scheduler) CancelMaintenance(endpoint string) {
	if e := s.endpoints[endpoint]; e != nil {
		e.reservedForMaintenance, e.replacementOrdered = false, e.replacementOrdered && e.moving
	}
}

func (s *Scheduler) runsOn(endpoint string) int {
	if e := s.endpoints[endpoint]; e != nil {
		return len(e.runs)
	}
	return 0
}
