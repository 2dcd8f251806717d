package schedule

import (
	"maps"
	"slices"
	"time"
)

// fullPace is the pace of a run that is not slowed down, in percent.
const fullPace = 100

// Lateness classes of a job: it can still meet its objective, it cannot, it exceeds the rate
// of its organisation, or it is so late that it is planned last.
const (
	onTime = iota
	late
	surplus
	tooLate
)

// tooLateFactor times the objective is the completion time above which a job counts
// as tooLate.
const tooLateFactor = 3

// maxPlannedJobs limits the jobs of a pool that one plan considers, so that the time
// for a plan does not grow with the backlog.
const maxPlannedJobs = 400

// maxVisitedSteps limits the steps with waiting tasks that one plan visits in a pool, so that the time for a plan
// does not grow with the steps of jobs. Each job has an equal part, and minVisitedSteps at least.
const (
	maxVisitedSteps = 4096
	minVisitedSteps = 16
)

// Plan returns the orders to send now. Wall is the platform's time of day, at which
// timed jobs become due.
func (s *Scheduler) Plan(now, wall time.Time) (orders []Order) {
	s.init()
	s.refreshEstimates(now)
	s.updateUnseen(now, wall)
	s.updateIsolation(now)
	s.evacuateReserved(now)
	orders = s.stopOrders(now)
	orders = append(orders, s.planPools(now, wall)...)
	s.updateHolds(now)
	s.updateAwaited(now)
	return orders
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// planPool starts tasks of a pool's jobs in the order of their rank.
func (s *Scheduler) planPool(pool string, now, wall time.Time) (orders []Order) {
	jobs := s.activeJobs[pool]
	if len(jobs) == 0 {
		return nil
	}
	endpoints := s.usableEndpoints(pool, now)
	if len(endpoints) == 0 {
		return nil
	}
	c := &candidates{room: room{endpoints: endpoints, stale: true}, unread: s.unreadEndpoints(pool, now), suspects: s.suspectJobs()}
	ranking := s.rankedJobs(pool, jobs, c, now, wall)
	c.stepsPerJob = max(minVisitedSteps, maxVisitedSteps/max(1, len(ranking.jobs)))
	orders = s.planStarved(ranking, c, now, wall)
	ranking.visit(c, func(p *plannedJob) {
		if j := p.job; s.startsLeft > 0 && !s.changesNothing(p, c) && !j.state.Terminal() {
			orders = append(orders, s.planJob(j, c, now, wall)...)
		}
	})
	s.widenWaiting(c, now)
	return orders
}

// usableEndpoints returns the endpoints of a pool that accept new tasks.
func (s *Scheduler) usableEndpoints(pool string, now time.Time) (usable []*endpoint) {
	for _, e := range s.poolEndpoints(pool) {
		if e.usable() && !e.cordoned && !now.Before(e.backoffUntil) {
			usable = append(usable, e)
		}
	}
	return usable
}

// rank updates the lateness and the remaining work of a job.
func (s *Scheduler) rank(j *jobState, now time.Time) {
	if j.longRunning() {
		j.lateness, j.remainingWork = onTime, -1
		return
	}
	var total, chain, work float64
	if e := s.keptEstimate(j, now); e != nil {
		total, chain, work = e.total, e.chain, e.work
	} else {
		total, chain, work = s.estimateChain(j, now)
	}
	objective := j.Stretch*total + float64(j.TargetMillis)
	age := float64(now.Sub(j.acceptedAt).Milliseconds())
	switch {
	case age+chain <= objective:
		j.lateness = onTime
	case age+chain <= tooLateFactor*objective:
		j.lateness = late
	default:
		j.lateness = tooLate
	}
	if j.Surplus {
		j.lateness = max(j.lateness, surplus)
	}
	j.pressed = 2*age+chain > objective
	j.remainingWork = work
}

// estimateChain returns how long all steps of a job are expected to take one after the other, how long what is
// left of them is, in milliseconds, and the remaining work.
func (s *Scheduler) estimateChain(j *jobState, now time.Time) (total, chain, work float64) {
	for i := range j.Steps {
		st := &j.Steps[i]
		duration := s.expected(j, i)
		total += duration * float64(j.occurrences.total)
		chain += duration * float64(j.occurrences.untouched)
		work += duration * float64(max(st.CPU, 1)) * float64(j.occurrences.untouched*st.Count)
		for _, o := range j.occurrences.items {
			if st := o.steps[i]; !st.complete() {
				chain += s.remainingOfStep(j, st, duration, now)
				work += duration * float64(max(st.step.CPU, 1)) * float64(st.left())
			}
		}
	}
	return total, chain, work
}

// longRunning reports whether the job runs until it is cancelled.
func (j *jobState) longRunning() bool {
	return len(j.Steps) > 0 && j.Steps[0].LongRunning
}

// planJob starts the tasks of a job that are due and whose dependencies are done. While an
// endpoint that has not reported to this owner may run tasks of the job, only those that
// allow duplicates are started.
func (s *Scheduler) planJob(j *jobState, c *candidates, now, wall time.Time) (orders []Order) {
	mayStartAll := !j.mayRunUnseen(c.unread)
	if !mayStartAll {
		s.countAwaiting(j, wall)
	}
	for _, o := range j.occurrences.items {
		if s.startsLeft <= 0 || o.dueMillis > 0 && wall.UnixMilli() < o.dueMillis {
			break
		}
		orders = append(orders, s.planOccurrence(o, c, mayStartAll, now)...)
	}
	for s.startsLeft > 0 && (len(j.occurrences.items) == 0 || c.canFit(j.needs.smallest)) {
		o := j.nextDue(wall)
		if o == nil {
			break
		}
		orders = append(orders, s.planOccurrence(o, c, mayStartAll, now)...)
	}
	return orders
}

// planOccurrence starts the tasks of an occurrence that is due, of all steps or only of those that allow
// duplicates.
func (s *Scheduler) planOccurrence(o *occurrence, c *candidates, allSteps bool, now time.Time) (orders []Order) {
	first, _ := o.findReady(o.nextStep)
	o.nextStep = 0
	visits := c.stepsPerJob
	for i := range o.ready {
		if s.startsLeft <= 0 {
			return orders
		}
		st := o.ready[(first+i)%len(o.ready)]
		if !allSteps && !st.step.AllowDuplicates || !st.mayNeedRuns() {
			continue
		}
		if visits--; visits < 0 {
			// The next plan goes on from here.
			o.nextStep = st.index
			return orders
		}
		if st.step.Gang {
			orders = append(orders, s.planGang(st, c, now)...)
			continue
		}
		orders = append(orders, s.planStep(st, c, now)...)
	}
	return orders
}

// mayNeedRuns reports whether a task of the step may have to be started.
func (s *stepState) mayNeedRuns() bool {
	return s.step.AllowDuplicates || s.tasks.untouched > 0 || s.started < len(s.tasks.items)
}

// firstWaiting returns the first task that may have to be started, or nil if there is none.
func (s *stepState) firstWaiting() (t *task) {
	if s.step.AllowDuplicates || s.started < len(s.tasks.items) {
		return s.after(-1)
	}
	if next := s.tasks.firstUntouched(); next < s.step.Count {
		return s.task(next)
	}
	return nil
}

func (s *Scheduler) planStep(st *stepState, c *candidates, now time.Time) (orders []Order) {
	for t := st.firstWaiting(); t != nil && s.startsLeft > 0; t = st.after(t.ref.Index) {
		if t.done || now.Before(t.notBefore) || !t.needsRun() || t.awaitsProof(now) {
			continue
		}
		if s.withholds(c, t.job) || !s.mayStart(st, 1, now) {
			break
		}
		e := s.findEndpoint(st, t, c, now)
		if e == nil {
			if t.isolation(st) > 0 && s.holdEndpoint(st, t, c.endpoints, now) {
				continue
			}
			if st.step.LongRunning && reserveForLongRunning(st, t, c.endpoints) || t.isolation(st) > 0 {
				continue
			}
			// The other tasks of the step have the same size.
			break
		}
		before := e.free()
		orders = append(orders, s.startRun(t, e, s.nextRunNumber(t), now))
		c.updateAfterPlacement(e, before)
	}
	return orders
}

// needsRun reports whether a new run of the task may start. A task that allows
// duplicates gets a second run if its first one lags, is being stopped, has an
// unanswered start, or is on an unresponsive endpoint.
func (t *task) needsRun() bool {
	if len(t.runs) == 0 {
		return true
	}
	if !t.step.AllowDuplicates || len(t.runs) >= maxConcurrentRuns {
		return false
	}
	for _, r := range t.runs {
		if !r.endpoint.unresponsive() && !r.stopRequested && r.state != uncertain && !r.lagging {
			return false
		}
	}
	return true
}

// maxConcurrentRuns limits the concurrent runs of a task that allows duplicates.
const maxConcurrentRuns = 2

// planGang starts all tasks of a gang, or none.
func (s *Scheduler) planGang(st *stepState, c *candidates, now time.Time) (orders []Order) {
	runNumber := max(st.gangRunNumber, s.Settings.RunNumberBase)
	first := st.after(-1)
	if first == nil {
		return nil
	}
	for _, t := range st.tasks.items {
		if len(t.runs) > 0 || now.Before(t.notBefore) || t.awaitsProof(now) {
			return nil
		}
		runNumber = max(runNumber, t.lastRun)
	}
	if s.withholds(c, st.job) || !s.mayStart(st, st.step.Count, now) {
		return nil
	}
	r := c.in(st.job.startsIn)
	chosen, refused := s.chooseForGang(st, first, r.endpoints, make(map[*endpoint]gangUsage))
	if refused != nil {
		if refused.isolation(st) == 0 || !s.holdEndpoint(st, refused, c.endpoints, now) {
			s.wantRoom(c, st, refused, now)
		}
		return nil
	}
	st.gangRunNumber = runNumber + 1
	checkpoint := ""
	members := st.allTasks()
	for _, t := range members {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range members {
		t.checkpoint = checkpoint
		orders = append(orders, s.startRun(t, chosen[i], st.gangRunNumber, now))
	}
	c.invalidate()
	return orders
}

// chooseForGang returns an endpoint for each task of a gang, or the first task for which
// there is none. It adds what they take to usage. A task that has not been used has the endpoint that
// any would have.
func (s *Scheduler) chooseForGang(st *stepState, anyTask *task, candidates []*endpoint, usage map[*endpoint]gangUsage) (chosen []*endpoint, refused *task) {
	if !canHold(candidates, taskSize(st.step), st.step.Count) {
		return nil, anyTask
	}
	for i := range st.step.Count {
		t, used := st.tasks.find(i)
		if !used {
			t = anyTask
		}
		e := s.chooseEndpoint(st, t, candidates, usage)
		if e == nil {
			return nil, t
		}
		chosen = append(chosen, e)
		use := usage[e]
		use.tasks++
		use.capacity = use.capacity.Plus(taskSize(st.step))
		usage[e] = use
	}
	return chosen, nil
}

// canHold reports whether the free capacity of the endpoints is enough for count tasks of a size, whatever else
// keeps them from an endpoint.
func canHold(endpoints []*endpoint, size Capacity, count int) bool {
	for _, e := range endpoints {
		if count -= e.free().Holds(size, count); count <= 0 {
			return true
		}
	}
	return false
}

// gangUsage is what the tasks of a gang that is being placed take of one endpoint.
type gangUsage struct {
	tasks    int
	capacity Capacity
}

// chooseEndpoint returns the endpoint with the best score for a task, or nil if none
// can run it. Usage is what the tasks of the same gang take already.
func (s *Scheduler) chooseEndpoint(st *stepState, t *task, candidates []*endpoint, usage map[*endpoint]gangUsage) (best *endpoint) {
	need := taskSize(st.step)
	bestScore := 0.0
	rack := st.currentRack()
	isolated := t.isolation(st) > 0
	for _, e := range candidates {
		if e.closedTo(t.job) || isolated && !e.settledFor(t.job) {
			continue
		}
		if !e.freeFor(st).Minus(usage[e].capacity).CanFit(need) || !e.permits(st, t, usage[e].tasks) || !s.mayHold(e, st, usage[e].tasks) {
			continue
		}
		score := s.score(st, t, e, rack)
		if isolated {
			runs, longRunning := e.countRuns()
			score -= crashExposureWeight*float64(runs) + longRunningCrashExposureWeight*float64(longRunning)
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// Weights in the score of an endpoint. The used share of its CPU adds at most 1.
const (
	// localityWeight exceeds the weight of CPU usage, because a task on another rack
	// than its data takes at least 1.5 times as long.
	localityWeight = 4
	// avoidWeight outweighs all other terms, because a second failure on a faulty
	// endpoint can fail the job.
	avoidWeight = 16
	// suspectWeight is subtracted for an endpoint whose last run failed, that left
	// an order unanswered or that counts as slow.
	suspectWeight = 2
	// crashExposureWeight is subtracted for each run on an endpoint that a suspected task
	// may crash, and four times that for a long-running one.
	crashExposureWeight            = 0.25
	longRunningCrashExposureWeight = 1
)

// score rates an endpoint for a task. Fuller endpoints score higher, so that the
// others become idle and can move to a pool that needs them. Long-running tasks are
// packed on the same endpoints, because these cannot become idle.
func (s *Scheduler) score(st *stepState, t *task, e *endpoint, rack string) (score float64) {
	score = float64(e.used.CPU) / float64(max(e.Capacity.CPU, 1))
	if st.step.LongRunning && e.longRunningUsage().CPU > 0 {
		score++
	}
	if st.step.LongRunning && e.maintenanceDue {
		// The task would have to move again for the maintenance.
		score -= suspectWeight
	}
	if st.step.DataRack != "" && e.Rack == st.step.DataRack {
		score += localityWeight
	}
	if st.step.SameRack && rack != "" && e.Rack == rack {
		score += localityWeight
	}
	if slices.Contains(t.avoidEndpoints, e.ID) {
		score -= avoidWeight
	}
	if e.consecutiveFailures > 0 || e.unansweredOrders > 0 || e.slowUntil.After(e.reportedAt) {
		score -= suspectWeight
	}
	return score
}

// currentRack returns the rack of the step's first run, or an empty string if there
// is none or the rack does not matter.
func (s *stepState) currentRack() string {
	if !s.step.SameRack || s.running == 0 {
		return ""
	}
	for _, t := range s.tasks.items {
		for _, r := range t.runs {
			return r.endpoint.Rack
		}
	}
	return ""
}
