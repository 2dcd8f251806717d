package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Periods and limits for tasks that crash endpoints.
const (
	// startupPeriod is how long a run has to be known to be active before a crash is no longer
	// put down to its start.
	startupPeriod = 250 * time.Millisecond
	// crashWindow is how long a run has to be known to be active before a crash is not put down
	// to it at all.
	crashWindow = 5 * time.Second
	// crashDoubt is how long after the loss of an endpoint a suspected task waits for proof
	// that the endpoint crashed. Crashed endpoints are back after 3 to 4 s.
	crashDoubt = 6 * time.Second
	// inheritedCrashDoubt is the same for a loss under an earlier owner, after the job was
	// loaded.
	inheritedCrashDoubt = 2 * time.Second
)

// Numbers of confirmed crashes at which a task is given up. A task of another job that ran
// on the same endpoint by chance is isolated after the first crash and outlives its start.
const (
	// maxStartCrashes applies to crashes at the start of the task, if one of them cannot
	// be put down to another job.
	maxStartCrashes = 2
	// maxCrashes applies to all crashes, whatever else ran on the endpoints.
	maxCrashes = 4
)

// crash is the loss of an endpoint under a task.
type crash struct {
	job.Crash

	// doubtUntil is the time until which proof of the crash is waited for.
	doubtUntil time.Time
}

// evident reports whether the loss hints at the task more than at its neighbours.
func (c *crash) evident() bool {
	return c.AtStart || c.Sole
}

// CrashReport describes a confirmed crash of an endpoint under a task; it is meant for
// logs and metrics.
type CrashReport struct {
	Job, Task, Endpoint string
	Run                 int
	// Crashes is the number of confirmed crashes under the task.
	Crashes       int
	AtStart, Sole bool
	// GivenUp is set if the job has failed for it.
	GivenUp bool
}

// crashRecords returns the stored form of the task's crashes.
func (t *task) crashRecords() (records []job.Crash) {
	for _, c := range t.crashes {
		records = append(records, c.Crash)
	}
	return records
}

func (t *task) addCrash(c crash) {
	t.crashes = append(t.crashes, c)
	t.of.isolationKnown = false
}

// outlived reports whether a run is known to have been active for a time.
func (r *run) outlived(d time.Duration) bool {
	return r.state == confirmed && !r.endpoint.aliveAt.Before(r.confirmedAt.Add(d))
}

// loadCrashes indexes the stored crashes of a job.
func (s *Scheduler) loadCrashes(j *jobState, now time.Time) {
	for _, o := range j.occurrences.items {
		for _, st := range o.steps {
			for _, t := range st.tasks.items {
				for i := range t.crashes {
					t.crashes[i].doubtUntil = now.Add(inheritedCrashDoubt)
					s.indexCrash(t, &t.crashes[i])
				}
			}
		}
	}
}

func (s *Scheduler) indexCrash(t *task, c *crash) {
	s.suspectTasks[t] = true
	if c.Confirmed {
		return
	}
	if s.unconfirmedCrashes[c.Endpoint] == nil {
		s.unconfirmedCrashes[c.Endpoint] = make(map[*task]bool)
	}
	s.unconfirmedCrashes[c.Endpoint][t] = true
}

// suspectRuns records at the tasks of the young runs of an endpoint that it was lost. The
// crash stays unconfirmed until another process answers in its place.
func (s *Scheduler) suspectRuns(e *endpoint, now time.Time) {
	suspects := crashSuspects(e)
	for _, r := range likelySuspects(e) {
		s.suspectRun(r, suspects, now)
	}
}

// Bounds of the losses of endpoints that are recorded. Each is a part of the record of its job.
const (
	// maxSuspects limits the tasks of a job at which the loss of an endpoint is recorded.
	maxSuspects = 64
	// maxJobCrashes limits the losses that are recorded at the tasks of a job; the oldest one is dropped.
	maxJobCrashes = 128
	// maxInstanceBytes limits the name of an instance in a record.
	maxInstanceBytes = 200
)

// likelySuspects returns the runs on an endpoint that may have crashed it, sorted by task, and of a job with many of
// them only the last ones that were started.
func likelySuspects(e *endpoint) (runs []*run) {
	byJob := make(map[*jobState][]*run)
	for _, r := range e.runs {
		if r.mayBeSuspect() {
			byJob[r.task.job] = append(byJob[r.task.job], r)
		}
	}
	for _, own := range byJob {
		if len(own) > maxSuspects {
			slices.SortFunc(own, func(a, b *run) int {
				return cmp.Or(b.startedAt.Compare(a.startedAt), cmp.Compare(a.task.name, b.task.name))
			})
			own = own[:maxSuspects]
		}
		runs = append(runs, own...)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.task.name, b.task.name) })
	return runs
}

// mayBeSuspect reports whether the loss of its endpoint may be put down to a run.
func (r *run) mayBeSuspect() bool {
	return !r.outlived(crashWindow) && !r.task.done && !r.task.job.state.Terminal() && !r.task.hasCrash(r.number)
}

// makeRoomForCrash drops the oldest recorded loss of a job that has as many as it may.
func (s *Scheduler) makeRoomForCrash(j *jobState, now time.Time) {
	count := 0
	var oldest *task
	var at time.Time
	for t := range s.suspectTasks {
		if t.job != j || t.done {
			continue
		}
		count += len(t.crashes)
		for _, c := range t.crashes {
			if oldest == nil || c.doubtUntil.Before(at) || c.doubtUntil.Equal(at) && t.name < oldest.name {
				oldest, at = t, c.doubtUntil
			}
		}
	}
	if count < maxJobCrashes {
		return
	}
	dropped := false
	s.removeCrashes(oldest, now, func(c crash) bool {
		first := !dropped && c.doubtUntil.Equal(at)
		dropped = dropped || first
		return first
	})
}

// suspectRun records at the task of a run, unless it has run for long, that its endpoint
// was lost, for which the jobs in suspects are the most likely cause.
func (s *Scheduler) suspectRun(r *run, suspects map[*jobState]bool, now time.Time) {
	t, e := r.task, r.endpoint
	if e.Draining || e.reserved() || e.replacementOrdered {
		return
	}
	if !r.mayBeSuspect() {
		return
	}
	s.makeRoomForCrash(t.job, now)
	instance := e.Instance
	if len(instance) > maxInstanceBytes {
		instance = ""
	}
	c := crash{Crash: job.Crash{
		Run: r.number, Endpoint: e.ID, Incarnation: e.incarnation, Instance: instance,
		Started: r.state == confirmed, Reached: r.disconnected, Silent: e.silent, AtStart: !r.outlived(startupPeriod),
		Sole: suspects[t.job] && len(suspects) == 1,
	}, doubtUntil: now.Add(crashDoubt)}
	t.addCrash(c)
	s.indexCrash(t, &c)
	// Stored at once, as the next owner continues the count if this one is lost as well.
	s.markDirty(t.job, now, c.AtStart && !c.Silent)
}

// crashSuspects returns the jobs that most likely crashed the endpoint: those with a run
// that has just started, else those with a task under which an endpoint was lost before,
// else all with a young run.
func crashSuspects(e *endpoint) (suspects map[*jobState]bool) {
	for _, matches := range []func(r *run) bool{
		func(r *run) bool { return !r.outlived(startupPeriod) },
		func(r *run) bool { return len(r.task.crashes) > 0 && !r.outlived(crashWindow) },
		func(r *run) bool { return !r.outlived(crashWindow) },
	} {
		suspects = make(map[*jobState]bool)
		for _, r := range e.runs {
			if matches(r) {
				suspects[r.task.job] = true
			}
		}
		if len(suspects) > 0 {
			return suspects
		}
	}
	return suspects
}

func (t *task) hasCrash(run int) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.Run == run })
}

// recordLateAnswer records the result of an order to start on an endpoint that is taken for
// lost.
func (s *Scheduler) recordLateAnswer(o Order, a OrderResult) {
	for t := range s.unconfirmedCrashes[o.Endpoint] {
		for i := range t.crashes {
			if t.name != o.Task || t.crashes[i].Run != o.Run {
				continue
			}
			t.crashes[i].Started = t.crashes[i].Started || a == Accepted
			t.crashes[i].Reached = t.crashes[i].Reached || a == Disconnected
		}
	}
}

// removeCrashes removes those crashes of a task that match.
func (s *Scheduler) removeCrashes(t *task, now time.Time, matches func(c crash) bool) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, matches)
	t.of.isolationKnown = false
	if len(t.crashes) == before {
		return
	}
	if len(t.crashes) == 0 {
		delete(s.suspectTasks, t)
	}
	if !t.job.state.Terminal() {
		s.markDirty(t.job, now, false)
	}
}

// resolveCrashes ends the doubt about a lost endpoint by a report of an incarnation: if it
// is the one that was lost, the endpoint was only unreachable.
func (s *Scheduler) resolveCrashes(id string, incarnation int64, now time.Time) {
	for t := range s.unconfirmedCrashes[id] {
		s.removeCrashes(t, now, func(c crash) bool {
			same := incarnation == 0 || c.Incarnation == 0 || c.Incarnation == incarnation
			return c.Endpoint == id && !c.Confirmed && same
		})
	}
	s.confirmCrashes(id, now)
}

// resolveReplacedCrashes ends the doubt about lost endpoints whose instance has another
// endpoint by now.
func (s *Scheduler) resolveReplacedCrashes(by *endpoint, now time.Time) {
	for _, id := range sortedKeys(s.unconfirmedCrashes) {
		if id != by.ID && s.lostInstance(id) == by.Instance {
			s.resolveTermination(id, LossReplaced, now)
		}
	}
}

// lostInstance returns the instance of a lost endpoint.
func (s *Scheduler) lostInstance(id string) string {
	for t := range s.unconfirmedCrashes[id] {
		for _, c := range t.crashes {
			if c.Endpoint == id {
				return c.Instance
			}
		}
	}
	return ""
}

// resolveTermination ends the doubt about an endpoint that has terminated: a replacement
// without an order and without a drain before it shows a crash.
func (s *Scheduler) resolveTermination(id string, cause LossCause, now time.Time) {
	e := s.endpoints[id]
	announced := e != nil && (e.Draining || e.reserved() || e.replacementOrdered)
	if cause != LossReplaced || announced {
		s.dropUnconfirmedCrashes(id, now)
		return
	}
	s.confirmCrashes(id, now)
}

// dropUnconfirmedCrashes ends the doubt about a lost endpoint that has not crashed.
func (s *Scheduler) dropUnconfirmedCrashes(id string, now time.Time) {
	for t := range s.unconfirmedCrashes[id] {
		s.removeCrashes(t, now, func(c crash) bool { return c.Endpoint == id && !c.Confirmed })
	}
	delete(s.unconfirmedCrashes, id)
}

// confirmCrashes confirms the crash of a lost endpoint, and gives up the tasks that have
// caused too many.
func (s *Scheduler) confirmCrashes(id string, now time.Time) {
	tasks := sortedTasks(s.unconfirmedCrashes[id])
	delete(s.unconfirmedCrashes, id)
	for _, t := range tasks {
		for i := range t.crashes {
			c := &t.crashes[i]
			if c.Endpoint != id || c.Confirmed {
				continue
			}
			c.Confirmed = true
			if t.job.state.Terminal() {
				continue
			}
			s.markDirty(t.job, now, false)
			givenUp := t.crashesTooOften()
			if givenUp {
				s.Counts.GivenUp++
				s.finishJob(t.job, job.Failed, now)
			}
			s.reportCrash(t, c, givenUp)
		}
	}
}

func (s *Scheduler) reportCrash(t *task, c *crash, givenUp bool) {
	if s.OnCrash == nil {
		return
	}
	confirmed := 0
	for _, o := range t.crashes {
		if o.Confirmed {
			confirmed++
		}
	}
	s.OnCrash(CrashReport{
		Job: t.job.ID, Task: t.name, Endpoint: c.Endpoint, Run: c.Run, Crashes: confirmed, AtStart: c.AtStart, Sole: c.Sole, GivenUp: givenUp,
	})
}

// crashesTooOften reports whether the confirmed crashes under the task are enough to give
// it up. An order that was cut off may have come when another task had crashed the endpoint,
// and an endpoint that fell silent may have crashed after the run, so that these count only
// among several.
func (t *task) crashesTooOften() bool {
	total, atStart, soleAtStart := 0, 0, 0
	for _, c := range t.crashes {
		if !c.Confirmed {
			continue
		}
		if c.Started || c.Reached && c.Sole {
			total++
		}
		if c.AtStart && c.Started && !c.Silent {
			atStart++
			if c.Sole {
				soleAtStart++
			}
		}
	}
	return atStart >= maxStartCrashes && soleAtStart > 0 || total >= maxCrashes
}

// awaitsProof reports whether a task that may have crashed too many endpoints waits for
// proof that they crashed.
func (t *task) awaitsProof(now time.Time) bool {
	evident, doubtful := 0, false
	for _, c := range t.crashes {
		if !c.evident() {
			continue
		}
		evident++
		doubtful = doubtful || !c.Confirmed && now.Before(c.doubtUntil)
	}
	return evident >= maxStartCrashes && doubtful
}

// sortedTasks returns the tasks of a set, sorted by name.
func sortedTasks(set map[*task]bool) []*task {
	byName := make(map[string]*task, len(set))
	for t := range set {
		byName[t.name] = t
	}
	tasks := make([]*task, 0, len(set))
	for _, name := range sortedKeys(byName) {
		tasks = append(tasks, byName[name])
	}
	return tasks
}
