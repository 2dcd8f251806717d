package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

const (
	// unseenRefreshInterval is how often the runs of an earlier owner that no endpoint has
	// reported yet are estimated, and unseenIntervalPerCost how often for each unit of cost of the
	// jobs if that is more: the estimate visits every step of every inherited job.
	unseenRefreshInterval = 100 * time.Millisecond
	unseenIntervalPerCost = 5 * time.Microsecond
	// earlyStart is how far the clock of an earlier owner may have been ahead when it
	// started an occurrence of a timed job.
	earlyStart = 10 * time.Second
)

// mayRunUnseen reports whether an endpoint may run tasks of an earlier owner that this owner
// has not read. After a handover these are only the endpoints that the earlier owner had not
// read itself: it had read all runs on the others.
func (s *Scheduler) mayRunUnseen(e *endpoint, now time.Time) bool {
	return !e.contacted && now.Before(e.leaseUntil) && (!s.handedOver || e.handedUnread)
}

// updateUnseen estimates what runs of an earlier owner take that no endpoint has reported
// yet: each task of an inherited job may be running where mayRunUnseen is true, but those of a
// pool together take no more than its unread endpoints have. The estimate may be too high, and
// never too low, because an endpoint that has reported executes no order of an earlier owner any more.
func (s *Scheduler) updateUnseen(now, wall time.Time) {
	o := &s.organisations
	if !o.ledger.Active() {
		o.unseen, o.unseenAt = nil, time.Time{}
		return
	}
	interval := max(unseenRefreshInterval, time.Duration(s.estimates.cost)*unseenIntervalPerCost)
	if now.Sub(o.unseenAt) < interval && !o.unseenAt.IsZero() {
		return
	}
	o.unseenAt, o.unseen = now, nil
	unread, places := make(map[string]Capacity), make(unreadPlaces)
	for _, e := range s.endpoints {
		if s.mayRunUnseen(e, now) {
			unread[e.Pool] = unread[e.Pool].Plus(e.Capacity)
			places[unreadPlace{e.Pool, e.DataCentre}]++
		}
	}
	if len(unread) == 0 {
		return
	}
	reserved, bestEffort := make(map[poolUser]Capacity), make(map[poolUser]Capacity)
	for _, j := range s.jobs {
		if j.Organisation == "" {
			continue
		}
		if n := places.of(j); n > 0 {
			key := poolUser{j.Pool, j.Organisation}
			r, b := j.unseenRuns(n, wall)
			reserved[key], bestEffort[key] = reserved[key].Plus(r), bestEffort[key].Plus(b)
		}
	}
	o.unseen = make(map[string]job.Capacity)
	for key, c := range reserved {
		most := unread[key.pool]
		// Tasks that fill idle time reserve no CPU, so that the endpoints do not bound theirs.
		c = c.Plus(job.Capacity{MemoryMB: bestEffort[key].MemoryMB, GPU: bestEffort[key].GPU})
		addTo(o.unseen, key.organisation, job.Capacity{
			CPU: min(c.CPU, most.CPU) + bestEffort[key].CPU, MemoryMB: min(c.MemoryMB, most.MemoryMB), GPU: min(c.GPU, most.GPU),
		})
	}
}

// unreadPlace is a pool in a data centre, which may be unknown.
type unreadPlace struct {
	pool, dataCentre string
}

// unreadPlaces counts the endpoints that may run tasks which are not known.
type unreadPlaces map[unreadPlace]int

// of returns how many of the endpoints may run tasks of a job, as mayHaveStarted decides for each.
func (p unreadPlaces) of(j *jobState) (count int) {
	if !j.inherited {
		return 0
	}
	if j.inheritedIn != "" {
		return p[unreadPlace{j.Pool, ""}] + p[unreadPlace{j.Pool, j.inheritedIn}]
	}
	for place, n := range p {
		if place.pool == j.Pool {
			count += n
		}
	}
	return count
}

// unseenRuns returns what runs of the job that are not known may take, those of tasks that
// only fill idle time apart. An earlier owner may have known more ends than it has stored,
// so that the tasks of every step count whose end is not stored. A job with a final state
// counts too: its runs end only when their endpoint carries out the order. Places is the
// number of endpoints that may have such runs.
func (j *jobState) unseenRuns(places int, wall time.Time) (reserved, bestEffort job.Capacity) {
	add := func(st *job.Step, runs int) {
		size := limitSize(st).Times(runs)
		if st.BestEffort {
			bestEffort = bestEffort.Plus(size)
		} else {
			reserved = reserved.Plus(size)
		}
	}
	due, finished := j.untouchedDue(wall.Add(earlyStart)), j.countFinished()
	for i := range j.Steps {
		st := &j.Steps[i]
		add(st, st.Count*(due*unknownRunsOfTask(st, 0, false, places)+finished*unknownRunsOfTask(st, 0, true, places)))
	}
	for _, o := range j.occurrences.items {
		if o.dueMillis > 0 && wall.Add(earlyStart).UnixMilli() < o.dueMillis {
			break
		}
		for _, st := range o.steps {
			if st.mayRun() {
				add(st.step, st.unknownRuns(places))
			}
		}
	}
	return reserved, bestEffort
}

// mayRun reports whether a run of the inherited step may be active that is not known. The end
// of one run completes a task that allows duplicates, and a whole gang, while others go on.
func (s *stepState) mayRun() bool {
	return !s.complete() || s.step.AllowDuplicates || s.step.Gang
}

// unknownRuns returns how many runs of the tasks of an inherited step may be active beside the
// known ones, on a number of endpoints.
func (s *stepState) unknownRuns(places int) (count int) {
	if s.running == 0 {
		return s.left()*unknownRunsOfTask(s.step, 0, false, places) + s.done*unknownRunsOfTask(s.step, 0, true, places)
	}
	untouched := s.tasks.untouched
	finished := s.step.Count - untouched - len(s.tasks.items)
	count = untouched*unknownRunsOfTask(s.step, 0, false, places) + finished*unknownRunsOfTask(s.step, 0, true, places)
	for _, t := range s.tasks.items {
		count += unknownRunsOfTask(s.step, len(t.runs), t.done, places)
	}
	return count
}

// unknownRunsOfTask returns how many runs of a task may be active beside a number of known ones.
// If the task allows duplicates, each earlier owner may have started runs without knowing of
// those before, so that every endpoint may have one.
func unknownRunsOfTask(st *job.Step, known int, done bool, places int) (count int) {
	switch {
	case st.Gang:
		return max(0, 1-known)
	case st.AllowDuplicates && done:
		return max(places, maxConcurrentRuns-known-1)
	case st.AllowDuplicates:
		return max(places, maxConcurrentRuns-known)
	case done:
		return 0
	}
	return max(0, 1-known)
}

// releaseSteps frees the memory of a job with a stored final state, of which only the state
// is read from then on. The steps of a job of which unknown runs may be reported stay,
// because they give the sizes of the runs.
func (s *Scheduler) releaseSteps(j *jobState) {
	if !j.storedState.Terminal() || j.storedVersion != j.version || j.storedState == job.Cancelled || j.hasRuns() || j.mayHaveUnseenRuns() {
		return
	}
	j.Steps, j.Spec, j.occurrences = nil, "", sequence[*occurrence]{}
	s.freeMemory(j)
}

// mayHaveUnseenRuns reports whether runs of an earlier owner that count against a limit may
// be reported of the job after its end.
func (j *jobState) mayHaveUnseenRuns() bool {
	if !j.inherited || j.Organisation == "" {
		return false
	}
	if j.occurrences.untouched > 0 {
		return true
	}
	if j.countFinished() > 0 && slices.ContainsFunc(j.Steps, func(st job.Step) bool { return st.AllowDuplicates || st.Gang }) {
		return true
	}
	for _, o := range j.occurrences.items {
		if slices.ContainsFunc(o.steps, (*stepState).mayRun) {
			return true
		}
	}
	return false
}
