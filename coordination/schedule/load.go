package schedule

import "time"

// poolLoad is the load of a pool.
type poolLoad struct {
	// endpoints counts the endpoints in service and those that are reserved for their
	// maintenance; reserved counts the latter.
	endpoints, reserved int
	// waitingWork is the expected work of tasks that could start now, in
	// milliseconds times thousandths of a core. totalCPU is the CPU of the endpoints
	// in service, in thousandths of a core, as are the following fields.
	waitingWork, totalCPU float64
	// onTimeCPU is the CPU that finishes the waiting work of jobs that can meet
	// their objective within their slack. onTimeRunningCPU is the CPU that the running
	// tasks of these jobs take.
	onTimeCPU, onTimeRunningCPU float64
	// remainingWork is the expected work that is left of these running tasks and of the
	// steps that follow them, in milliseconds times thousandths of a core.
	remainingWork float64
	// lateCPU is the CPU for the waiting work of late jobs.
	lateCPU float64
}

// waitingTime is the time, in milliseconds, that the pool needs for the waiting
// tasks.
func (l *poolLoad) waitingTime() float64 {
	if l == nil || l.totalCPU == 0 {
		return 0
	}
	return l.waitingWork / l.totalCPU
}

// lateDrainMillis is the time, in milliseconds, in which the waiting work of late
// jobs should be done. It is about the duration of a burst; a late job earns a tenth
// of its value or less.
const lateDrainMillis = 8000

// poolLoads returns the load of each pool.
func (s *Scheduler) poolLoads(now time.Time) (loads map[string]*poolLoad) {
	loads = make(map[string]*poolLoad)
	for _, e := range s.endpoints {
		l := loads[e.Pool]
		if l == nil {
			l = &poolLoad{}
			loads[e.Pool] = l
		}
		if !e.listed || e.Draining || e.moving || e.neverAnswered(now) {
			continue
		}
		l.endpoints++
		if e.reservedForMaintenance {
			l.reserved++
			continue
		}
		l.totalCPU += float64(e.Capacity.CPU)
	}
	for pool, jobs := range s.activeJobs {
		if loads[pool] == nil {
			loads[pool] = &poolLoad{}
		}
		for _, j := range jobs {
			if !j.longRunning() {
				s.rank(j, now)
				loads[pool].addJob(j, s.waitingWork(j, now), s.slack(j, now), s.remainingWork(j, now))
			}
		}
	}
	return loads
}

// addJob adds the waiting work, the running tasks and their remaining work of a job.
func (l *poolLoad) addJob(j *jobState, work, slack, remaining float64) {
	l.waitingWork += work
	if j.lateness != onTime {
		l.lateCPU += work / lateDrainMillis
		return
	}
	l.onTimeCPU += work / (slackFraction * slack)
	l.onTimeRunningCPU += float64(j.used.CPU)
	l.remainingWork += remaining
}

// slack returns how long, in milliseconds, a job may wait in total and still meet
// its objective.
func (s *Scheduler) slack(j *jobState, now time.Time) (millis float64) {
	if e := s.keptEstimate(j, now); e != nil {
		return e.slack
	}
	return s.estimateSlack(j)
}

func (s *Scheduler) estimateSlack(j *jobState) (millis float64) {
	chain := 0.0
	for i := range j.Steps {
		chain += s.sizingDuration(j, i)
	}
	return max((j.Stretch-1)*chain+float64(j.TargetMillis), minSlackMillis)
}

// minSlackMillis is the lower limit of a job's slack.
const minSlackMillis = 200

// waitingWork returns the expected work of a job's tasks that could start now, in
// milliseconds times thousandths of a core.
func (s *Scheduler) waitingWork(j *jobState, now time.Time) (work float64) {
	if e := s.keptEstimate(j, now); e != nil {
		return e.waitingWork
	}
	return s.estimateWaitingWork(j)
}

func (s *Scheduler) estimateWaitingWork(j *jobState) (work float64) {
	if waiting := j.occurrences.untouched; waiting > 0 {
		for i := range j.Steps {
			if st := &j.Steps[i]; len(st.DependsOn) == 0 {
				work += float64(waiting*st.Count) * s.sizingDuration(j, i) * float64(st.CPU)
			}
		}
	}
	for _, o := range j.occurrences.items {
		for _, st := range o.ready {
			work += float64(st.waiting()) * s.sizingDuration(j, st.index) * float64(st.step.CPU)
		}
	}
	return work
}

// waiting returns how many tasks are not done and have no run.
func (s *stepState) waiting() (count int) {
	count = s.tasks.untouched
	for _, t := range s.tasks.items {
		if !t.done && len(t.runs) == 0 {
			count++
		}
	}
	return count
}
