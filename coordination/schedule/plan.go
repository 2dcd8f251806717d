package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// fullPace is the pace of a run that nothing slows down, in percent.
const fullPace = 100

// Classes of a job by its objective.
const (
	onTime = iota
	late
	hopeless
)

// lateFactor times the objective is when a job is too late to matter.
const lateFactor = 3

// queueDepth bounds the jobs of a pool that one plan looks at, so that a long
// backlog does not make each plan slow.
const queueDepth = 400

// Plan returns the orders to send now. Wall is the platform's time of day, by
// which timed jobs are due.
func (s *Scheduler) Plan(now, wall time.Time) (orders []Order) {
	s.init()
	s.evacuate(now)
	orders = s.stops(now)
	for _, pool := range sortedKeys(s.active) {
		orders = append(orders, s.planPool(pool, now, wall)...)
	}
	return orders
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// planPool starts tasks of a pool's jobs, the most valuable jobs first.
func (s *Scheduler) planPool(pool string, now, wall time.Time) (orders []Order) {
	jobs := s.active[pool]
	if len(jobs) == 0 {
		return nil
	}
	endpoints, settled := s.candidates(pool, now)
	if len(endpoints) == 0 {
		return nil
	}
	c := &candidates{endpoints: endpoints}
	c.measure()
	for _, j := range s.order(pool, jobs, now) {
		if j.state.Terminal() {
			continue
		}
		orders = append(orders, s.planJob(j, c, !j.inherited || settled, now, wall)...)
	}
	return orders
}

// candidates are the endpoints of a pool that take new work.
type candidates struct {
	endpoints []*endpoint
	// most is the most room of each kind that one of them has, so that tasks that
	// fit nowhere are passed over without looking at each.
	most Capacity
}

// measure finds the most room.
func (c *candidates) measure() {
	c.most = Capacity{}
	for _, e := range c.endpoints {
		free := e.free()
		c.most = Capacity{max(c.most.CPU, free.CPU), max(c.most.MemoryMB, free.MemoryMB), max(c.most.GPU, free.GPU)}
	}
}

// taken updates the most room after a task was placed on e.
func (c *candidates) taken(before Capacity) {
	if before.CPU == c.most.CPU || before.MemoryMB == c.most.MemoryMB || before.GPU == c.most.GPU && before.GPU > 0 {
		c.measure()
	}
}

// Bounds of the cached order of a pool's jobs.
const (
	// orderKept is how long a long queue keeps its order, as ranking a thousand jobs
	// takes half a millisecond.
	orderKept = 40 * time.Millisecond
	// shortQueue is ordered for each plan.
	shortQueue = 64
)

// poolOrder is the order of a pool's jobs.
type poolOrder struct {
	jobs  []*jobState
	until time.Time
}

// order returns the pool's jobs in the order in which they are placed.
func (s *Scheduler) order(pool string, jobs map[string]*jobState, now time.Time) []*jobState {
	o := s.orders[pool]
	if o == nil {
		o = &poolOrder{}
		s.orders[pool] = o
	}
	if len(jobs) <= shortQueue || !now.Before(o.until) {
		o.jobs = s.sortJobs(jobs, now)
		o.until = now.Add(orderKept)
	}
	return o.jobs
}

// candidates returns the endpoints that take new work, and whether no other
// endpoint of the pool can still run tasks of an earlier owner.
func (s *Scheduler) candidates(pool string, now time.Time) (usable []*endpoint, settled bool) {
	settled = true
	for _, e := range s.ofPool(pool) {
		if !e.seen && now.Before(e.leaseUntil) {
			settled = false
		}
		if e.usable() && !e.clearing && !now.Before(e.avoidUntil) {
			usable = append(usable, e)
		}
	}
	return usable, settled
}

// sortJobs orders jobs by priority, then those that can meet their objective by
// the work that is left, so that the most jobs meet it; late ones follow.
func (s *Scheduler) sortJobs(jobs map[string]*jobState, now time.Time) (sorted []*jobState) {
	for _, j := range jobs {
		s.rank(j, now)
		sorted = append(sorted, j)
	}
	slices.SortFunc(sorted, func(a, b *jobState) int {
		switch {
		case a.late != b.late:
			return cmp.Compare(a.late, b.late)
		case a.Priority != b.Priority:
			return cmp.Compare(a.Priority, b.Priority)
		case a.order != b.order:
			return cmp.Compare(a.order, b.order)
		}
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.ID, b.ID))
	})
	if len(sorted) > queueDepth {
		sorted = sorted[:queueDepth]
	}
	return sorted
}

// rank computes a job's place in its queue.
func (s *Scheduler) rank(j *jobState, now time.Time) {
	if j.lasting() {
		j.late, j.order = onTime, -1
		return
	}
	var work, chain, whole float64
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			took := s.expected(j, st.step)
			whole += took
			if !st.complete() {
				chain += took
				work += took * float64(max(st.step.CPU, 1)) * float64(len(st.tasks)-st.done)
			}
		}
	}
	objective := j.Stretch*whole + float64(j.TargetMillis)
	age := float64(now.Sub(j.acceptedAt).Milliseconds())
	switch {
	case age+chain <= objective:
		j.late = onTime
	case age+chain <= lateFactor*objective:
		j.late = late
	default:
		j.late = hopeless
	}
	j.order = work
}

// expected returns how long a task of the step is expected to take, in
// milliseconds: what was learned of its queue, else what was declared.
func (s *Scheduler) expected(j *jobState, st *job.Step) float64 {
	if d := s.learned[j.Queue]; d != nil {
		return d.mean
	}
	return float64(max(st.EstimateMillis, 1))
}

// lasting tells whether the job runs until it is cancelled.
func (j *jobState) lasting() bool {
	return len(j.Steps) > 0 && j.Steps[0].LongRunning
}

// planJob starts the job's tasks whose turn has come. Of a job of an earlier owner,
// which may run on endpoints that this one has not seen, only tasks that may run twice
// are started until the pool is settled.
func (s *Scheduler) planJob(j *jobState, c *candidates, settled bool, now, wall time.Time) (orders []Order) {
	for _, o := range j.occurrences {
		if o.due > 0 && wall.UnixMilli() < o.due {
			break
		}
		for _, st := range o.steps {
			if st.complete() || !o.ready(st) || !settled && !st.step.AllowDuplicates {
				continue
			}
			if st.step.Gang {
				orders = append(orders, s.planGang(st, c, now)...)
				continue
			}
			orders = append(orders, s.planStep(st, c, now)...)
		}
	}
	return orders
}

func (s *Scheduler) planStep(st *stepState, c *candidates, now time.Time) (orders []Order) {
	for _, t := range st.tasks {
		if t.done || now.Before(t.notBefore) || !t.wantsRun() {
			continue
		}
		var e *endpoint
		if c.most.holds(size(st.step)) {
			e = s.choose(st, t, c.endpoints, nil)
		}
		if e == nil {
			if st.step.LongRunning && keepRoom(st, t, c.endpoints) {
				continue
			}
			// The other tasks of the step are of the same size.
			break
		}
		before := e.free()
		orders = append(orders, s.start(t, e, s.nextRun(t), now))
		c.taken(before)
	}
	return orders
}

// wantsRun tells whether a new run of the task may start. A step that allows
// duplicates gets a copy when its runs are on endpoints that do not answer.
func (t *task) wantsRun() bool {
	if len(t.runs) == 0 {
		return true
	}
	if !t.step.AllowDuplicates || len(t.runs) >= maxCopies {
		return false
	}
	for _, r := range t.runs {
		if !r.endpoint.silent() && !r.stopWanted && r.state != uncertain && !r.lags {
			return false
		}
	}
	return true
}

// maxCopies bounds the runs of a task at the same time.
const maxCopies = 2

// planGang starts all tasks of a gang, or none.
func (s *Scheduler) planGang(st *stepState, c *candidates, now time.Time) (orders []Order) {
	number := max(st.gangRun, s.Settings.FirstRun)
	for _, t := range st.tasks {
		if len(t.runs) > 0 || now.Before(t.notBefore) {
			return nil
		}
		number = max(number, t.lastRun)
	}
	taken := make(map[*endpoint]gangShare)
	chosen := make([]*endpoint, len(st.tasks))
	for i, t := range st.tasks {
		e := s.choose(st, t, c.endpoints, taken)
		if e == nil {
			return nil
		}
		chosen[i] = e
		share := taken[e]
		share.tasks++
		share.room = share.room.plus(size(st.step))
		taken[e] = share
	}
	st.gangRun = number + 1
	checkpoint := ""
	for _, t := range st.tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		orders = append(orders, s.start(t, chosen[i], st.gangRun, now))
	}
	c.measure()
	return orders
}

// gangShare is what a gang that is being placed takes of an endpoint.
type gangShare struct {
	tasks int
	room  Capacity
}

// choose returns the endpoint on which a task should run, or nil.
func (s *Scheduler) choose(st *stepState, t *task, candidates []*endpoint, taken map[*endpoint]gangShare) (best *endpoint) {
	need := size(st.step)
	bestScore := 0.0
	rack := st.rack()
	for _, e := range candidates {
		if !e.freeFor(st).minus(taken[e].room).holds(need) || !e.takes(st, t, taken[e].tasks) {
			continue
		}
		score := s.score(st, t, e, rack)
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// Weights of an endpoint's score; the room that is taken counts at most 1.
const (
	// dataWeight outweighs room, as a task away from its data takes half as long
	// again or more.
	dataWeight = 4
	// avoidWeight outweighs all, as a second failure on a bad endpoint can fail the
	// job.
	avoidWeight = 16
	// suspectWeight prefers endpoints whose last run did not fail.
	suspectWeight = 2
)

// score rates an endpoint for a task. Fuller endpoints come first, so that the
// others become idle and can move to a pool that needs them; lasting tasks share
// endpoints, as these stay.
func (s *Scheduler) score(st *stepState, t *task, e *endpoint, rack string) (score float64) {
	score = float64(e.used.CPU) / float64(max(e.Capacity.CPU, 1))
	if st.step.LongRunning && e.lasting().CPU > 0 {
		score++
	}
	if st.step.LongRunning && e.due {
		// The task would have to move again.
		score -= suspectWeight
	}
	if st.step.DataRack != "" && e.Rack == st.step.DataRack {
		score += dataWeight
	}
	if st.step.SameRack && rack != "" && e.Rack == rack {
		score += dataWeight
	}
	if slices.Contains(t.avoid, e.ID) {
		score -= avoidWeight
	}
	if e.failures > 0 || e.doubts > 0 || e.lagsUntil.After(e.reportedAt) {
		score -= suspectWeight
	}
	return score
}

// rack returns the rack of the step's first run, or an empty name.
func (s *stepState) rack() string {
	if !s.step.SameRack {
		return ""
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			return r.endpoint.Rack
		}
	}
	return ""
}

// count returns how many tasks of the step, other than t, run on the endpoint.
func (e *endpoint) count(st *stepState, t *task) (tasks int) {
	for _, o := range st.tasks {
		if o != t && e.runs[o.name] != nil {
			tasks++
		}
	}
	return tasks
}
