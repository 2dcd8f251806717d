package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Settings bound what the scheduler does; every value is set by its user.
type Settings struct {
	// Lease is how long an endpoint goes on without a renewal.
	Lease time.Duration
	// InheritedLease is how long an endpoint that this owner has not reached may
	// go on by the orders of an earlier owner.
	InheritedLease time.Duration
	// StartWithin is how late an endpoint may carry out an order to start.
	StartWithin time.Duration
	// StopTime is how long an endpoint may take to stop a run.
	StopTime time.Duration
	// SlowClock is the largest ratio of a duration here to one on an endpoint's
	// clock.
	SlowClock float64
	// FirstRun is added to the run numbers of this owner, so that they are above
	// those of every earlier owner.
	FirstRun int
}

// Scheduler holds the jobs and endpoints of the pools that one owner manages. It
// is not safe for concurrent use.
type Scheduler struct {
	Settings Settings

	jobs      map[string]*jobState
	endpoints map[string]*endpoint
	learned   map[string]*duration
	// dirty holds jobs whose record differs from the store's.
	dirty map[string]*jobState
	// active holds the jobs of each pool that are not final.
	active  map[string]map[string]*jobState
	demands map[string]*demand
	orders  map[string]*poolOrder
	// heldBack are instances of the spare pool that have their upkeep.
	heldBack map[string]bool
	// startedAt is when the pools' sizes were first looked at, firstArrival when the
	// first job that ends was taken.
	startedAt, firstArrival time.Time
	// sorted caches the endpoints of each pool in order; it is nil when the
	// endpoints have changed.
	sorted map[string][]*endpoint
	// stopping are the runs that may need an order to stop.
	stopping map[*run]bool
	// Counts are the figures of the scheduler's decisions.
	Counts Counts
	// Ended is called for each run that ends, for logs and metrics.
	Ended func(RunEnd)
}

// Counts are totals of what the scheduler did.
type Counts struct {
	Started, Done, Failed, Lost, Stopped, Refused int64
}

// RunEnd tells how a run ended.
type RunEnd struct {
	Job, Task, Endpoint, How string
	Run                      int
	Took                     time.Duration
}

// duration is a learned duration of a kind of task.
type duration struct {
	mean  float64
	count int
}

func (s *Scheduler) init() {
	if s.jobs != nil {
		return
	}
	s.jobs = make(map[string]*jobState)
	s.endpoints = make(map[string]*endpoint)
	s.learned = make(map[string]*duration)
	s.dirty = make(map[string]*jobState)
	s.active = make(map[string]map[string]*jobState)
	s.demands = make(map[string]*demand)
	s.orders = make(map[string]*poolOrder)
	s.heldBack = make(map[string]bool)
	s.stopping = make(map[*run]bool)
}

// Load takes over a stored job of an earlier owner; Add takes a new one.
func (s *Scheduler) Load(r job.Record, now time.Time) {
	s.add(r, now, true)
}

// Add takes a job that was stored by the calling owner.
func (s *Scheduler) Add(r job.Record, now time.Time) {
	s.add(r, now, false)
}

func (s *Scheduler) add(r job.Record, now time.Time, inherited bool) {
	s.init()
	if _, known := s.jobs[r.ID]; known {
		return
	}
	j := newJobState(r, now)
	j.inherited = inherited
	s.jobs[r.ID] = j
	if r.State.Terminal() {
		return
	}
	if s.active[j.Pool] == nil {
		s.active[j.Pool] = make(map[string]*jobState)
	}
	s.active[j.Pool][j.ID] = j
	if !inherited {
		s.arrive(j, now)
	}
	s.settle(j, now)
}

// Known tells whether the scheduler has the job.
func (s *Scheduler) Known(id string) bool {
	_, known := s.jobs[id]
	return known
}

// State returns the state of the job that is stored.
func (s *Scheduler) State(id string) (state job.State, known bool) {
	j, known := s.jobs[id]
	if !known {
		return "", false
	}
	if j.storedState == job.Queued && j.begun {
		return job.Running, true
	}
	return j.storedState, true
}

// Pending returns how many jobs of a queue have not begun.
func (s *Scheduler) Pending(queue string) (count int) {
	for _, jobs := range s.active {
		for _, j := range jobs {
			if j.Queue == queue && !j.begun && !j.state.Terminal() {
				count++
			}
		}
	}
	return count
}

// Cancel makes the job's state final; known is false if there is no such job.
func (s *Scheduler) Cancel(id string, now time.Time) (known bool) {
	j, known := s.jobs[id]
	if known && !j.state.Terminal() {
		s.finish(j, job.Cancelled, now)
	}
	return known
}

// finish makes a state final and stops what still runs.
func (s *Scheduler) finish(j *jobState, state job.State, now time.Time) {
	j.state = state
	j.endedAt = now.UnixMilli()
	s.touch(j, now, true)
	delete(s.active[j.Pool], j.ID)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				for _, r := range t.runs {
					s.stop(r)
				}
			}
		}
	}
}

// touch marks the job's record as changed; an urgent one is written first.
func (s *Scheduler) touch(j *jobState, now time.Time, urgent bool) {
	j.version++
	if _, waiting := s.dirty[j.ID]; !waiting {
		j.dirtySince = now
		s.dirty[j.ID] = j
	}
	j.urgent = j.urgent || urgent
}

// settle decides the job's state from its tasks.
func (s *Scheduler) settle(j *jobState, now time.Time) {
	if j.state.Terminal() {
		return
	}
	if j.complete() {
		s.finish(j, job.Completed, now)
	}
}

// Write is a job record that has to be stored.
type Write struct {
	Record  job.Record
	Version int
}

// Writes returns up to limit records that are to be stored now: those of final
// states at once, the others once they have waited until their delay is over. The
// records count as being written until Stored or NotStored is called.
func (s *Scheduler) Writes(now time.Time, delay time.Duration, limit int) (writes []Write) {
	var urgent, later []*jobState
	for _, j := range s.dirty {
		switch {
		case j.writing:
		case j.urgent:
			urgent = append(urgent, j)
		case now.Sub(j.dirtySince) >= delay:
			later = append(later, j)
		}
	}
	byAge := func(a, b *jobState) int {
		return cmp.Or(a.dirtySince.Compare(b.dirtySince), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(urgent, byAge)
	slices.SortFunc(later, byAge)
	for _, j := range append(urgent, later...) {
		if len(writes) == limit {
			break
		}
		j.writing = true
		writes = append(writes, Write{Record: j.record(), Version: j.version})
	}
	return writes
}

// Urgent tells whether a record has to be stored at once.
func (s *Scheduler) Urgent() bool {
	for _, j := range s.dirty {
		if j.urgent && !j.writing {
			return true
		}
	}
	return false
}

// Stored records that a version of a job's record is in the store.
func (s *Scheduler) Stored(id string, version int, state job.State) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.writing = false
	j.stored = max(j.stored, version)
	j.storedState = state
	if j.stored == j.version {
		delete(s.dirty, id)
		j.urgent = false
	}
	if state.Terminal() && !j.running() && state != job.Cancelled {
		j.Steps, j.Spec, j.occurrences = nil, "", nil
	}
	for _, e := range s.endpoints {
		e.advanceAcknowledged()
	}
}

// NotStored lets the job's record be written again.
func (s *Scheduler) NotStored(id string) {
	if j, known := s.jobs[id]; known {
		j.writing = false
	}
}

// Forget drops final jobs that ended before a time and returns their
// identifiers.
func (s *Scheduler) Forget(before time.Time, limit int) (ids []string) {
	for id, j := range s.jobs {
		if len(ids) < limit && j.storedState.Terminal() && !j.running() && time.UnixMilli(j.endedAt).Before(before) {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		delete(s.jobs, id)
	}
	return ids
}

// List replaces the listed endpoints. Endpoints that are no longer listed stay
// until their leases have lapsed.
func (s *Scheduler) List(listed []Endpoint, now time.Time) {
	s.init()
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		s.Inherit(l, now)
		e := s.endpoints[l.ID]
		e.Endpoint = l
		e.listed = true
	}
	s.sorted = nil
	for id, e := range s.endpoints {
		if !present[id] {
			e.listed = false
		}
	}
}

// InheritSettled is Inherit for an endpoint that has been in its pool for a while.
func (s *Scheduler) InheritSettled(l Endpoint, now time.Time) {
	s.Inherit(l, now)
	s.endpoints[l.ID].joinedAt = time.Time{}
}

// Inherit makes an endpoint known on which an earlier owner may have started
// tasks.
func (s *Scheduler) Inherit(l Endpoint, now time.Time) {
	s.init()
	if s.endpoints[l.ID] == nil {
		s.sorted = nil
		s.endpoints[l.ID] = &endpoint{
			Endpoint: l, runs: make(map[string]*run), unknownRuns: make(map[string]unknownRun),
			leaseUntil: now.Add(s.Settings.InheritedLease), joinedAt: now,
		}
	}
}

// New makes an endpoint known on which nobody can have started a task yet.
func (s *Scheduler) New(l Endpoint, now time.Time) {
	s.Inherit(l, now)
	if e := s.endpoints[l.ID]; !e.seen {
		e.leaseUntil = now
	}
}

// Sight is what the scheduler knows of an endpoint, for its callers.
type Sight struct {
	Endpoint
	Listed, Seen, Silent bool
	// Unsettled tells that a run waits for a look that shows whether it goes on.
	Unsettled bool
	// Warming tells that a lasting task starts up.
	Warming bool
	// Acknowledge is the highest end whose effect is stored.
	Acknowledge int64
	Runs        int
	LeaseUntil  time.Time
}

// Endpoints returns the known endpoints by identifier.
func (s *Scheduler) Endpoints() (all []Sight) {
	for _, id := range sortedKeys(s.endpoints) {
		all = append(all, s.endpoints[id].sight())
	}
	return all
}

// Endpoint returns what is known of one endpoint.
func (s *Scheduler) Endpoint(id string) (sight Sight, known bool) {
	e, known := s.endpoints[id]
	if !known {
		return Sight{}, false
	}
	return e.sight(), true
}

func (e *endpoint) sight() Sight {
	return Sight{
		Endpoint: e.Endpoint, Listed: e.listed, Seen: e.seen, Silent: e.silent(), Unsettled: e.unsettled(), Warming: e.warming(),
		Acknowledge: e.acknowledged, Runs: len(e.runs) + len(e.unknownRuns), LeaseUntil: e.leaseUntil,
	}
}

// Leased records that a call which extends the endpoint's lease is about to be
// sent.
func (s *Scheduler) Leased(id string, now time.Time) {
	if e, known := s.endpoints[id]; known {
		e.leaseUntil = later(e.leaseUntil, now.Add(s.onOurClock(s.Settings.Lease)))
	}
}

// onOurClock returns how long a duration on an endpoint's slow clock may take
// here.
func (s *Scheduler) onOurClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Settings.SlowClock)
}

// Unanswered records that a call to the endpoint got no answer.
func (s *Scheduler) Unanswered(id string, now time.Time) {
	if e, known := s.endpoints[id]; known && !e.silent() {
		e.silentSince = now
	}
}

// Gone records that the endpoint's lifetime has ended for certain, so that
// nothing runs there.
func (s *Scheduler) Gone(id string, now time.Time) {
	if e, known := s.endpoints[id]; known {
		s.dropRuns(e, now)
		if !e.listed {
			delete(s.endpoints, id)
			s.sorted = nil
		}
	}
}

// Expire ends the runs of endpoints whose leases have lapsed, and forgets
// endpoints that are gone.
func (s *Scheduler) Expire(now time.Time) {
	for id, e := range s.endpoints {
		if now.Before(e.leaseUntil) || (e.seen && !e.silent() && e.listed) {
			continue
		}
		if e.silent() || !e.seen || !e.listed {
			s.dropRuns(e, now)
		}
		if !e.listed {
			delete(s.endpoints, id)
			s.sorted = nil
		}
	}
}

// ofPool returns the endpoints of a pool in order.
func (s *Scheduler) ofPool(pool string) []*endpoint {
	if s.sorted == nil {
		s.sorted = make(map[string][]*endpoint)
		for _, id := range sortedKeys(s.endpoints) {
			e := s.endpoints[id]
			s.sorted[e.Pool] = append(s.sorted[e.Pool], e)
		}
	}
	return s.sorted[pool]
}

// stop marks a run that should not go on.
func (s *Scheduler) stop(r *run) {
	r.stopWanted = true
	s.stopping[r] = true
}

// dropRuns ends all runs of an endpoint as lost.
func (s *Scheduler) dropRuns(e *endpoint, now time.Time) {
	for _, r := range sortedRuns(e) {
		s.Counts.Lost++
		s.end(r, "lost", now)
	}
	clear(e.unknownRuns)
}

func sortedRuns(e *endpoint) []*run {
	runs := make([]*run, 0, len(e.runs))
	for _, n := range sortedKeys(e.runs) {
		runs = append(runs, e.runs[n])
	}
	return runs
}

// end removes a run; the task's later runs have higher numbers.
func (s *Scheduler) end(r *run, how string, now time.Time) {
	delete(r.endpoint.runs, r.task.name)
	delete(s.stopping, r)
	r.endpoint.used = r.endpoint.used.minus(r.size)
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
	if len(r.task.runs) == 0 {
		r.task.awaySince = now
	}
	if s.Ended != nil {
		s.Ended(RunEnd{
			Job: r.task.job.ID, Task: r.task.name, Endpoint: r.endpoint.ID, How: how, Run: r.number, Took: now.Sub(r.startedAt),
		})
	}
	j := r.task.job
	if j.storedState.Terminal() && j.stored == j.version && !j.running() && j.storedState != job.Cancelled {
		j.Steps, j.Spec, j.occurrences = nil, "", nil
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Active returns how many jobs are not final.
func (s *Scheduler) Active() (count int) {
	for _, jobs := range s.active {
		count += len(jobs)
	}
	return count
}
