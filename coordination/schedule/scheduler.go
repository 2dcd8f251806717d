package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/sizing"
)

// Settings holds the time limits that the scheduler assumes. It has no defaults; the
// caller sets every field.
type Settings struct {
	// Lease is how long an endpoint keeps running tasks without a renewal.
	Lease time.Duration
	// InheritedLease is how long an endpoint that has not reported to this owner may
	// still run tasks under the lease of an earlier owner.
	InheritedLease time.Duration
	// MaxLease is the longest lease that an endpoint grants.
	MaxLease time.Duration
	// StartTimeout is how long after its creation an order to start may still be
	// carried out by an endpoint.
	StartTimeout time.Duration
	// CancelTimeout is how long after the cancellation of its job was acknowledged a task may
	// still start; 0 means any time.
	CancelTimeout time.Duration
	// StopTimeout is the longest time that an endpoint takes to stop a run.
	StopTimeout time.Duration
	// MaxClockRatio is the largest ratio between a duration on the local clock and the
	// same duration on the clock of an endpoint.
	MaxClockRatio float64
	// RunNumberBase is the number above which this owner numbers its runs, so that they
	// exceed the run numbers of every earlier owner.
	RunNumberBase int
	// MeanDurations makes the scheduler expect of every task the moving average of its
	// queue, instead of learning from finished runs what their run time depends on.
	MeanDurations bool
	// ConfineJobs lets new jobs be confined to a data centre.
	ConfineJobs bool
	// Term is the number of the owner's term. ConfinedSince is the first term from which on
	// all owners have kept the tasks of confined jobs in their data centres.
	Term, ConfinedSince int64
	// MaxStarts limits the starts of one plan; 0 means any number. Only a gang may exceed it.
	MaxStarts int
	// LearnedSizes sizes pools by learned run times, unless MeanDurations is set.
	LearnedSizes bool
}

// Scheduler holds the jobs and endpoints of the pools of one owner. It is not safe
// for concurrent use.
type Scheduler struct {
	Settings Settings

	jobs map[string]*jobState
	// endpoints holds the endpoints by identifier, and sortedEndpoints in the order of their
	// identifiers.
	endpoints         map[string]*endpoint
	sortedEndpoints   []*endpoint
	durationEstimates map[string]*durationEstimate
	durations         learnedDurations
	// dirty holds the jobs whose record differs from the stored one.
	dirty map[string]*jobState
	// urgentRecords and delayedRecords hold those of them that are not being written.
	urgentRecords, delayedRecords recordQueue
	// refused holds the jobs of which a record was refused for good and is not due again.
	refused map[*jobState]bool
	// activeJobs holds the jobs of each pool whose state is not final, in the order in which
	// they were added, so that sums over them do not depend on the order of a map.
	activeJobs map[string][]*jobState
	// addedJobs counts the jobs that were added, and heldBytes the memory of those with steps.
	addedJobs, heldBytes int64
	// smallRuns counts the runs of small tasks, and smallLongRunning the small long-running tasks of the
	// unfinished jobs.
	smallRuns, smallLongRunning int
	demands                     map[string]*sizing.Demand
	rankings                    map[string]*jobRanking
	// reservedInstances holds the names of the instances that are reserved for their
	// maintenance, so that no pool takes them from the spare pool.
	reservedInstances map[string]bool
	// dueInstances holds the names of all instances whose maintenance is still to come.
	dueInstances map[string]bool
	// firstBalancedAt is the time of the first call of PlanMoves; firstArrivalAt is
	// the time at which the first job that is not long-running arrived.
	firstBalancedAt, firstArrivalAt time.Time
	// poolSizes and surplusSince are results of the last call of PlanMoves.
	poolSizes    []sizing.Size
	surplusSince map[string]time.Time
	// endpointsByPool caches the endpoints of each pool, sorted by identifier. A pool is
	// removed when its set of endpoints changes.
	endpointsByPool map[string][]*endpoint
	// pendingStops holds the runs that may need an order to stop.
	pendingStops map[*run]bool
	// suspectTasks holds the unfinished tasks with crashes, and unconfirmedCrashes those of
	// them that wait for proof of a crash, by the identifier of the lost endpoint.
	suspectTasks       map[*task]bool
	unconfirmedCrashes map[string]map[*task]bool
	// isolatedEndpoints holds the endpoints with exclusiveTo or heldFor.
	isolatedEndpoints map[*endpoint]bool
	// handedOver is set if the earlier owner has handed over its state of the runs.
	handedOver    bool
	organisations organisations
	admissions    admissions
	awaited       awaitedDataCentres
	estimates     keptEstimates
	// startsLeft is how many starts the present plan may still return, and firstPool the pool
	// with which the next one begins if the last one had no starts left for the others.
	startsLeft int
	firstPool  string
	// startsScarce is set if the last plan had too few starts, and stopsUsedUp if the present one has
	// returned as many orders to stop as it may.
	startsScarce, stopsUsedUp bool
	// cancelsAsOf is the time up to which all acknowledged cancellations have been passed on.
	cancelsAsOf time.Time
	// Counts holds the totals for metrics.
	Counts Counts
	// OnRunEnd, if set, is called for each run that ends, for logs and metrics.
	OnRunEnd func(RunEnd)
	// OnEndStored, if set, is called for each end that was read while the record of its job differed
	// from the stored one, once that record and those of the ends before it on its endpoint are stored.
	OnEndStored func(readAt time.Time)
	// OnEndpointLoss, if set, is called before the runs of a lost endpoint end.
	OnEndpointLoss func(EndpointLoss)
	// OnCrash, if set, is called for each confirmed crash under a task.
	OnCrash func(CrashReport)
	// OnOrganisationLimit, if set, is called when an organisation reaches its limit, and
	// when it has left it.
	OnOrganisationLimit func(OrganisationLimit)
	// OnEvacuation, if set, is called for each long-running task that is to move.
	OnEvacuation func(Evacuation)
	// OnHeldGang, if set, is called once for each gang that is larger than a limit which was
	// lowered after its job was accepted.
	OnHeldGang func(HeldGang)
	// OnWidened, if set, is called for each confined job whose tasks are to start in other
	// data centres too.
	OnWidened func(Widened)
	// OnAwaited, if set, is called when inherited jobs have waited for a second for endpoints
	// that have not reported, and when they no longer do.
	OnAwaited func(AwaitedDataCentre)
}

// Counts holds totals of runs since the scheduler was created.
type Counts struct {
	Started, Done, Failed, Lost, Stopped, Refused, GivenUp int64
	// HeldByLimit counts the steps of which the limit of an organisation held back a start.
	HeldByLimit int64
	// Widened counts the confined jobs that were widened.
	Widened int64
}

// RunEnd describes a run that has ended; Reason is meant for logs and metrics.
type RunEnd struct {
	Job, Task, Endpoint, Reason string
	Run                         int
	Duration                    time.Duration
	// Inferred is set if no report of the endpoint lists the end.
	Inferred bool
}

func (s *Scheduler) init() {
	if s.jobs != nil {
		return
	}
	s.jobs = make(map[string]*jobState)
	s.endpoints = make(map[string]*endpoint)
	s.durationEstimates = make(map[string]*durationEstimate)
	s.dirty = make(map[string]*jobState)
	s.activeJobs = make(map[string][]*jobState)
	s.demands = make(map[string]*sizing.Demand)
	s.rankings = make(map[string]*jobRanking)
	s.reservedInstances = make(map[string]bool)
	s.dueInstances = make(map[string]bool)
	s.pendingStops = make(map[*run]bool)
	s.endpointsByPool = make(map[string][]*endpoint)
	s.suspectTasks = make(map[*task]bool)
	s.unconfirmedCrashes = make(map[string]map[*task]bool)
	s.isolatedEndpoints = make(map[*endpoint]bool)
}

// LoadJob adds a stored job that an earlier owner accepted. AddJob is for jobs that this
// owner accepted. Both ignore a job that is known, whatever the record says of it.
func (s *Scheduler) LoadJob(r job.Record, now time.Time) {
	s.addJob(r, now, true)
}

// AddJob adds a job that this owner has accepted and stored.
func (s *Scheduler) AddJob(r job.Record, now time.Time) {
	s.addJob(r, now, false)
}

func (s *Scheduler) addJob(r job.Record, now time.Time, inherited bool) {
	s.init()
	if _, known := s.jobs[r.ID]; known {
		return
	}
	j := newJobState(r, now)
	j.inherited = inherited
	s.loadDataCentre(j)
	s.jobs[r.ID] = j
	if len(r.Steps) > 0 {
		s.holdMemory(j)
	}
	if r.State.Terminal() {
		return
	}
	s.addedJobs++
	j.number = s.addedJobs
	s.activeJobs[j.Pool] = append(s.activeJobs[j.Pool], j)
	s.estimates.cost += j.estimateCost()
	s.smallLongRunning += smallLongRunning(&j.Job)
	s.addToRanking(j)
	if !inherited {
		s.recordArrival(j, now)
	}
	s.loadCrashes(j, now)
	s.finishIfComplete(j, now)
}

// HasJob reports whether the scheduler holds the job.
func (s *Scheduler) HasJob(id string) bool {
	_, known := s.jobs[id]
	return known
}

// JobState returns the stored state of a job, or running for a queued job of which a
// task was started.
func (s *Scheduler) JobState(id string) (state job.State, known bool) {
	j, known := s.jobs[id]
	if !known {
		return "", false
	}
	if j.storedState == job.Queued && j.started {
		return job.Running, true
	}
	return j.storedState, true
}

// JobOrganisation returns the organisation of a job; it is empty for a job that is not
// known or has none.
func (s *Scheduler) JobOrganisation(id string) (name string) {
	if j, known := s.jobs[id]; known {
		return j.Organisation
	}
	return ""
}

// PendingJobs returns how many jobs of a queue have not started.
func (s *Scheduler) PendingJobs(queue string) (count int) {
	for _, jobs := range s.activeJobs {
		for _, j := range jobs {
			if j.Queue == queue && !j.started && !j.state.Terminal() {
				count++
			}
		}
	}
	return count
}

// CancelJob cancels a job unless its state is final already; known is false if there is
// no such job.
func (s *Scheduler) CancelJob(id string, now time.Time) (known bool) {
	j, known := s.jobs[id]
	if known {
		s.finishJob(j, job.Cancelled, now)
	}
	return known
}

// finishJob sets the final state of a job and requests the stop of its remaining runs. A
// job that has a final state keeps it.
func (s *Scheduler) finishJob(j *jobState, state job.State, now time.Time) {
	if j.state.Terminal() {
		return
	}
	j.state = state
	j.endedAt = now.UnixMilli()
	s.markDirty(j, now, true)
	s.removeActiveJob(j)
	for _, o := range j.occurrences.items {
		for _, st := range o.steps {
			for _, t := range st.tasks.items {
				for _, r := range t.runs {
					s.requestStop(r)
				}
			}
		}
	}
}

// removeActiveJob removes a job from activeJobs.
func (s *Scheduler) removeActiveJob(j *jobState) {
	jobs := s.activeJobs[j.Pool]
	i, found := slices.BinarySearchFunc(jobs, j.number, func(o *jobState, number int64) int { return cmp.Compare(o.number, number) })
	if found {
		s.activeJobs[j.Pool] = slices.Delete(jobs, i, i+1)
		s.smallLongRunning -= smallLongRunning(&j.Job)
	}
}

// markDirty marks the record of a job for storing; urgent records are written first
// and without delay.
func (s *Scheduler) markDirty(j *jobState, now time.Time, urgent bool) {
	j.version++
	if _, waiting := s.dirty[j.ID]; !waiting {
		j.dirtySince = now
		s.dirty[j.ID] = j
	}
	j.urgent = j.urgent || urgent
	s.queueRecord(j)
}

// finishIfComplete completes a job if all its tasks are done.
func (s *Scheduler) finishIfComplete(j *jobState, now time.Time) {
	if j.complete() {
		s.finishJob(j, job.Completed, now)
	}
}

// Write is a job record that has to be stored in place of its revision.
type Write struct {
	Record  job.Record
	Version int
	// Bytes is the length of the stored record. It is set before ConfirmWrite.
	Bytes int
}

// ConfirmWrite records that a write was stored as a revision. It reports whether tasks of the
// job may start in any data centre from now on.
func (s *Scheduler) ConfirmWrite(w Write, revision int64) (widened bool) {
	j, known := s.jobs[w.Record.ID]
	if !known {
		return false
	}
	j.writing = false
	widened = j.confirmDataCentre(w.Record.DataCentre)
	j.storedVersion = max(j.storedVersion, w.Version)
	j.storedState, j.storedRevision, j.storedBytes = w.Record.State, revision, w.Bytes
	j.refusals = 0
	if j.storedVersion == j.version {
		delete(s.dirty, j.ID)
		j.urgent = false
	}
	s.queueRecord(j)
	s.releaseSteps(j)
	s.releaseEnds(j)
	return widened
}

// FailWrite records that a write failed, so that Writes returns the record again.
func (s *Scheduler) FailWrite(id string) {
	if j, known := s.jobs[id]; known {
		j.writing = false
		s.queueRecord(j)
	}
}

// StoredJob identifies a job and the stored revision of its record.
type StoredJob struct {
	ID       string
	Revision int64
}

// RemoveEndedJobs removes up to limit jobs that ended before a time and returns them.
func (s *Scheduler) RemoveEndedJobs(before time.Time, limit int) (removed []StoredJob) {
	for id, j := range s.jobs {
		if len(removed) < limit && j.storedState.Terminal() && !j.hasRuns() && time.UnixMilli(j.endedAt).Before(before) {
			removed = append(removed, StoredJob{ID: id, Revision: j.storedRevision})
		}
	}
	for _, r := range removed {
		s.freeMemory(s.jobs[r.ID])
		delete(s.jobs, r.ID)
	}
	return removed
}

// requestStop marks a run for an order to stop, whatever else is out of service.
func (s *Scheduler) requestStop(r *run) {
	r.stopRequested, r.evacuated = true, false
	s.pendingStops[r] = true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CountActiveJobs returns how many jobs have no final state.
func (s *Scheduler) CountActiveJobs() (count int) {
	for _, jobs := range s.activeJobs {
		count += len(jobs)
	}
	return count
}
