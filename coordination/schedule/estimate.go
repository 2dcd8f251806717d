package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/admission"
)

// Limits of the estimates of unfinished jobs, in units of cost: a step, or tasksPerCost of its tasks, each of
// which takes up to 1 us.
const (
	// maxExactCost is the cost of all unfinished jobs up to which every estimate is made when it is needed.
	// Beyond it those of jobs that cost more than maxExactJobCost are kept.
	maxExactCost    = 1024
	maxExactJobCost = 16
	tasksPerCost    = 16
	// costInterval is how often the cost of all unfinished jobs is summed up.
	costInterval = 100 * time.Millisecond
	// estimateInterval is the time in which one unit of the kept estimates is made again, so that they take
	// a twentieth of the owner's time at most, and maxEstimateCredit how many units one plan makes again at
	// most, beside the rest of a job.
	estimateInterval  = 20 * time.Microsecond
	maxEstimateCredit = 2048
)

// estimate is what is expected of an unfinished job that is not long-running. Times are in milliseconds, and
// work is in milliseconds times thousandths of a core.
type estimate struct {
	// total is how long the job takes, chain how long what is left of it does, and work its remaining work.
	total, chain, work float64
	// slack, waitingWork and remainingWork are the results of the methods with these names.
	slack, waitingWork, remainingWork float64
	// left is the work of the tasks that are due and not done, and wanted what the tasks take whose turn has come.
	left   admission.Amount
	wanted Capacity
}

// keptEstimates are the estimates of jobs with many steps or tasks, which are made again in turn.
type keptEstimates struct {
	// cost is that of all unfinished jobs as of costAt, with the jobs that were added since.
	cost   int
	costAt time.Time
	// queue holds the jobs with kept estimates, that with the oldest one first.
	queue []*jobState
	// credit is how many units may be made again as of creditAt.
	credit   int
	creditAt time.Time
}

// costOf returns the cost of an estimate of one occurrence of a job.
func costOf(j *jobState) (cost int) {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return len(j.Steps) + tasks/tasksPerCost
}

// estimateCost returns the cost of an estimate of the job, of which the occurrences in use count.
func (j *jobState) estimateCost() (cost int) {
	return j.cost * max(1, len(j.occurrences.items))
}

// updateCost sums up the cost of all unfinished jobs.
func (s *Scheduler) updateCost(now time.Time) {
	k := &s.estimates
	if now.Sub(k.costAt) < costInterval {
		return
	}
	k.cost, k.costAt = 0, now
	for _, jobs := range s.activeJobs {
		for _, j := range jobs {
			k.cost += j.estimateCost()
		}
	}
}

// keptEstimate returns the kept estimate of a job, or nil if its estimates are made when they are needed.
func (s *Scheduler) keptEstimate(j *jobState, now time.Time) *estimate {
	if s.estimates.cost <= maxExactCost || j.estimateCost() <= maxExactJobCost {
		return nil
	}
	if j.estimate == nil {
		j.estimate = &estimate{}
		s.makeEstimate(j, now)
		s.estimates.queue = append(s.estimates.queue, j)
	}
	return j.estimate
}

// makeEstimate makes the kept estimate of a job again.
func (s *Scheduler) makeEstimate(j *jobState, now time.Time) {
	e := j.estimate
	e.total, e.chain, e.work = s.estimateChain(j, now)
	e.slack, e.waitingWork, e.remainingWork = s.estimateSlack(j), s.estimateWaitingWork(j), s.estimateRemainingWork(j, now)
	e.left, e.wanted = s.estimateWorkLeft(j, now), j.countWanted(now)
}

// refreshEstimates makes the oldest of the kept estimates again.
func (s *Scheduler) refreshEstimates(now time.Time) {
	s.updateCost(now)
	k := &s.estimates
	if len(k.queue) == 0 {
		return
	}
	k.credit = min(k.credit+int(now.Sub(k.creditAt)/estimateInterval), maxEstimateCredit)
	k.creditAt = now
	for range len(k.queue) {
		if k.credit <= 0 {
			return
		}
		j := k.queue[0]
		k.queue[0] = nil
		k.queue = k.queue[1:]
		if j.state.Terminal() {
			j.estimate = nil
			continue
		}
		s.makeEstimate(j, now)
		k.credit -= j.estimateCost()
		k.queue = append(k.queue, j)
	}
}

// workLeft returns the expected work of a job's tasks that are due and not done.
func (s *Scheduler) workLeft(j *jobState, now time.Time) (work admission.Amount) {
	if e := s.keptEstimate(j, now); e != nil {
		return e.left
	}
	return s.estimateWorkLeft(j, now)
}

func (s *Scheduler) estimateWorkLeft(j *jobState, now time.Time) (work admission.Amount) {
	if due := j.untouchedDue(now); due > 0 {
		for i := range j.Steps {
			st := &j.Steps[i]
			work = work.Plus(admission.AmountOf(taskSize(st), s.expected(j, i)*float64(due*st.Count), due*st.Count))
		}
	}
	for _, o := range j.occurrences.items {
		if o.dueMillis > now.UnixMilli() {
			break
		}
		for _, st := range o.steps {
			if st.complete() {
				continue
			}
			left := st.left()
			running := min(st.running, left)
			part := float64(left-running) + s.runningPart(j, st, now)*float64(running)
			work = work.Plus(admission.AmountOf(taskSize(st.step), s.expected(j, st.index)*part, left-running))
		}
	}
	return work
}
