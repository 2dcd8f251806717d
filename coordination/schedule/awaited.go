package schedule

import "time"

// minAwaited is how long jobs have to wait until it is reported. An endpoint that was just
// listed is waited for until its first report.
const minAwaited = time.Second

// AwaitedDataCentre describes a wait of inherited jobs for endpoints that have not reported to
// this owner; it is meant for logs and metrics.
type AwaitedDataCentre struct {
	// DataCentre is the one that the jobs are confined to; empty for jobs that are not
	// confined and wait for all.
	DataCentre string
	// Jobs is the highest number of jobs that waited at a time, and Waited for how long one
	// has waited so far.
	Jobs   int
	Waited time.Duration
	// Ended is set once no job waits any more.
	Ended bool
}

// awaitedDataCentres counts the inherited jobs that wait for unread endpoints.
type awaitedDataCentres struct {
	// waiting counts them during a plan, and current holds the waits that have not ended.
	waiting map[string]int
	current map[string]*awaitedDataCentre
}

type awaitedDataCentre struct {
	since    time.Time
	jobs     int
	reported bool
}

// countAwaiting counts a job that may not start tasks because an unread endpoint may run them.
func (s *Scheduler) countAwaiting(j *jobState, wall time.Time) {
	if !j.hasWaitingTasks(wall) {
		return
	}
	if s.awaited.waiting == nil {
		s.awaited.waiting = make(map[string]int)
	}
	s.awaited.waiting[j.inheritedIn]++
}

// updateAwaited reports waits that have begun or ended with a plan.
func (s *Scheduler) updateAwaited(now time.Time) {
	a := &s.awaited
	if len(a.waiting) == 0 && len(a.current) == 0 {
		return
	}
	if a.current == nil {
		a.current = make(map[string]*awaitedDataCentre)
	}
	for _, name := range sortedKeys(a.waiting) {
		w := a.current[name]
		if w == nil {
			w = &awaitedDataCentre{since: now}
			a.current[name] = w
		}
		w.jobs = max(w.jobs, a.waiting[name])
		if !w.reported && now.Sub(w.since) >= minAwaited {
			w.reported = true
			s.reportAwaited(AwaitedDataCentre{DataCentre: name, Jobs: w.jobs, Waited: now.Sub(w.since)})
		}
	}
	for _, name := range sortedKeys(a.current) {
		w := a.current[name]
		if a.waiting[name] > 0 {
			continue
		}
		delete(a.current, name)
		if w.reported {
			s.reportAwaited(AwaitedDataCentre{DataCentre: name, Jobs: w.jobs, Ended: true, Waited: now.Sub(w.since)})
		}
	}
	a.waiting = nil
}

func (s *Scheduler) reportAwaited(a AwaitedDataCentre) {
	if s.OnAwaited != nil {
		s.OnAwaited(a)
	}
}
