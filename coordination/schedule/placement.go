package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// confinedPart is the part, as its inverse, of what a pool has in service in a data centre up
// to which a step of a confined job may take there. Larger steps would wait for each other
// while other data centres have room.
const confinedPart = 4

// Widened describes a confined job whose tasks are to start in other data centres too; it is
// meant for logs and metrics.
type Widened struct {
	Job, Pool, DataCentre string
	Age                   time.Duration
}

// Confine decides whether the tasks of a new job start only in the data centre that the job
// names. Otherwise it clears the name.
func (s *Scheduler) Confine(j *job.Job) {
	s.init()
	j.ConfinedTerm = 0
	if !s.mayConfine(j) {
		j.DataCentre = ""
		return
	}
	j.ConfinedTerm = s.Settings.Term
}

// mayConfine reports whether a job is small enough for its data centre, and neither bound to
// another place nor to be kept running.
func (s *Scheduler) mayConfine(j *job.Job) bool {
	if !s.Settings.ConfineJobs || s.Settings.Term <= 0 || j.DataCentre == "" || j.Repeat > 0 || len(j.Steps) == 0 {
		return false
	}
	// Each label that is named here has endpoints, of which there are fewer than a job may have steps.
	byLabel := make(map[string]labelledEndpoints)
	for i := range j.Steps {
		st := &j.Steps[i]
		if st.LongRunning || st.DataRack != "" {
			return false
		}
		l, known := byLabel[st.RequiredLabel]
		if !known {
			l = s.labelledEndpoints(j.Pool, j.DataCentre, st.RequiredLabel)
			byLabel[st.RequiredLabel] = l
		}
		fits := l.inService.CanFit(taskSize(st).Times(st.Count * confinedPart))
		if !l.others || l.count == 0 || !fits || st.AntiAffinity > 0 && st.Count > st.AntiAffinity*l.count {
			return false
		}
	}
	return true
}

// labelledEndpoints are the endpoints of a pool with a label in a data centre; others is set if there are some
// elsewhere.
type labelledEndpoints struct {
	inService Capacity
	count     int
	others    bool
}

func (s *Scheduler) labelledEndpoints(pool, dataCentre, label string) (l labelledEndpoints) {
	for _, e := range s.poolEndpoints(pool) {
		// Those that have not reported to a new owner yet count too.
		if !e.listed || e.Draining || e.reserved() || e.unresponsive() || !e.hasLabel(label) {
			continue
		}
		if e.DataCentre != dataCentre {
			l.others = true
			continue
		}
		l.inService = l.inService.Plus(e.Capacity)
		l.count++
	}
	return l
}

// loadDataCentre sets where tasks of a job may start and run by its stored record. Owners of
// earlier releases start tasks anywhere and leave the record as it is, so that a job which was
// confined before such a term is not confined any more.
func (s *Scheduler) loadDataCentre(j *jobState) {
	if j.ConfinedTerm <= 0 || j.ConfinedTerm < s.Settings.ConfinedSince {
		j.DataCentre, j.ConfinedTerm = "", 0
	}
	j.startsIn, j.inheritedIn = j.DataCentre, j.DataCentre
}

// confirmDataCentre records where tasks may start by a stored record, and reports whether that
// has changed.
func (j *jobState) confirmDataCentre(stored string) (widened bool) {
	widened = stored == "" && j.startsIn != ""
	if widened {
		j.startsIn = ""
	}
	return widened
}

// mayStartIn reports whether tasks of the job may start in a data centre.
func (j *jobState) mayStartIn(dataCentre string) bool {
	return j.startsIn == "" || j.startsIn == dataCentre
}

// widen lets tasks of a confined job start in any data centre, once its record is stored so.
func (s *Scheduler) widen(j *jobState, now time.Time) {
	if j.DataCentre == "" {
		return
	}
	if s.OnWidened != nil {
		s.OnWidened(Widened{Job: j.ID, Pool: j.Pool, DataCentre: j.DataCentre, Age: now.Sub(j.acceptedAt)})
	}
	j.DataCentre, j.ConfinedTerm = "", 0
	s.Counts.Widened++
	s.markDirty(j, now, true)
}

// mayHaveStarted reports whether an earlier owner may have started tasks of the job on the
// endpoint.
func (j *jobState) mayHaveStarted(e *endpoint) bool {
	return j.inherited && e.Pool == j.Pool && (j.inheritedIn == "" || e.DataCentre == "" || e.DataCentre == j.inheritedIn)
}

// mayRunUnseen reports whether one of the unread endpoints may run tasks of the job that are not
// known.
func (j *jobState) mayRunUnseen(unread []*endpoint) bool {
	return slices.ContainsFunc(unread, j.mayHaveStarted)
}

// unreadEndpoints returns the endpoints of a pool that may run tasks which are not known.
func (s *Scheduler) unreadEndpoints(pool string, now time.Time) (unread []*endpoint) {
	for _, e := range s.poolEndpoints(pool) {
		if s.mayRunUnseen(e, now) {
			unread = append(unread, e)
		}
	}
	return unread
}

// findEndpoint returns the endpoint on which a task is to start, or nil. The job is widened if
// only other data centres have room. So it is if its own has only endpoints on which the task
// failed or lagged, since a second failure there can fail the job.
func (s *Scheduler) findEndpoint(st *stepState, t *task, c *candidates, now time.Time) (e *endpoint) {
	r := c.in(t.job.startsIn)
	if r.canFit(taskSize(st.step)) && r.holdsMore(s, st) {
		e = s.chooseEndpoint(st, t, r.endpoints, nil)
	}
	if t.job.startsIn == "" {
		return e
	}
	if e == nil {
		s.wantRoom(c, st, t, now)
		return nil
	}
	if slices.Contains(t.avoidEndpoints, e.ID) {
		if other := s.chooseEndpoint(st, t, c.endpoints, nil); other != nil && !slices.Contains(t.avoidEndpoints, other.ID) {
			s.widen(t.job, now)
			return nil
		}
	}
	return e
}

// waitingTask is a task that found no room in the data centre of its job.
type waitingTask struct {
	step *stepState
	task *task
}

// wantRoom widens the job of a task that found no room if other data centres have some: at
// once if its own has no endpoint that accepts tasks or the job has waited for long, and
// otherwise after the jobs that are confined to the other data centres have had their turn.
func (s *Scheduler) wantRoom(c *candidates, st *stepState, t *task, now time.Time) {
	if t.job.startsIn == "" {
		return
	}
	w := waitingTask{step: st, task: t}
	if t.job.pressed || len(c.in(t.job.startsIn).endpoints) == 0 {
		s.widenIfRoom(c, w, now)
		return
	}
	c.waiting = append(c.waiting, w)
}

// widenWaiting widens jobs that still find no room after all jobs had their turn.
func (s *Scheduler) widenWaiting(c *candidates, now time.Time) {
	for _, w := range c.waiting {
		s.widenIfRoom(c, w, now)
	}
}

// widenIfRoom widens the job of a waiting task if another data centre has room, which does not
// count again for the next job. A job whose record is being stored takes its room too.
func (s *Scheduler) widenIfRoom(c *candidates, w waitingTask, now time.Time) {
	st, need := w.step, taskSize(w.step.step)
	if !c.canFit(need) {
		return
	}
	if c.pledged == nil {
		c.pledged = make(map[*endpoint]gangUsage)
	}
	if st.step.Gang {
		if _, refused := s.chooseForGang(st, w.task, c.endpoints, c.pledged); refused == nil {
			s.widen(w.task.job, now)
		}
		return
	}
	e := s.chooseEndpoint(st, w.task, c.endpoints, c.pledged)
	if e == nil {
		return
	}
	use := c.pledged[e]
	use.capacity = use.capacity.Plus(need.Times(max(1, st.left()-st.running)))
	c.pledged[e] = use
	s.widen(w.task.job, now)
}
