package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/admission"
	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/sizing"
)

const (
	// backlogLifetime is how long the backlogs are reused, and backlogLifetimePerJob is
	// added for each job, so that long queues do not take more processor time.
	backlogLifetime       = 40 * time.Millisecond
	backlogLifetimePerJob = 50 * time.Microsecond
	// storeDelay is how long an accepted job may take to be stored and added; a job that
	// takes longer has been refused by the store.
	storeDelay = 2 * time.Second
	// meanRunningPart is the part of their work that running tasks have left on average, as long
	// as only the mean of their run times is known.
	meanRunningPart = 0.5
	// roomPart is the part of a pool, or of an organisation's limit, above which the tasks of
	// a step count as running in waves.
	roomPart = 0.25
	// waitingFactor times the run time of a job is the estimate above which it shows how well
	// waits are estimated.
	waitingFactor = 2
	// overdueFactor times its estimate is how long a job is waited for before its estimate
	// counts as too low by that factor.
	overdueFactor = 2
	// minRate stands for a capacity of none.
	minRate = 1e-3
)

// Instances are the instances that may add to the pools.
type Instances struct {
	// Incoming counts the instances on their way to each pool, and Spare those of the spare
	// pool that are up.
	Incoming map[string]int
	Spare    int
}

// admissions holds what the decisions on new jobs are made from.
type admissions struct {
	instances    Instances
	backlogs     map[string]*admission.Backlog
	limits       map[string]*admission.Backlog
	orders       *admission.Backlog
	overShare    map[string]map[string]bool
	rooms        map[string]Capacity
	validUntil   time.Time
	calibrations map[string]*admission.Calibration
	// accepted holds the accepted jobs that have neither ended nor become too late.
	accepted map[string]*acceptedJob
	returns  admission.Returns
	// drain is how fast jobs end by the backlogs that are valid until drainedAt.
	drain     admission.Drain
	drainedAt time.Time
}

// acceptedJob is a job with the estimate on which it was accepted.
type acceptedJob struct {
	pool, organisation string
	rank               admission.Rank
	work               admission.Amount
	// estimate is the estimate of its end as of at, and usefulUntil when it is too late.
	at, estimate, usefulUntil time.Time
	// waits is set if the estimate was mainly one of the wait.
	waits bool
}

// Refusal is why a job is refused and when it may return.
type Refusal struct {
	admission.Decision
	RetryAfter time.Duration
}

// SetInstances sets the instances that may add to the pools.
func (s *Scheduler) SetInstances(i Instances) {
	s.admissions.instances = i
}

// Admit decides whether a new job is accepted, and sets whether it is beyond its
// organisation's rate. Starts is the number of starts a second that the owner can send, or 0
// if that is not the limit. A job that is not stored later has to be removed.
func (s *Scheduler) Admit(j *job.Job, starts float64, now time.Time) (r Refusal, accepted bool) {
	s.init()
	o, a := &s.organisations, &s.admissions
	if a.accepted[j.ID] != nil {
		// It is being stored for another caller.
		return Refusal{}, true
	}
	j.Surplus = o.ledger.RateAvailableAt(j.Organisation, now).After(now)
	d := admission.Decision{}
	if len(j.Steps) > 0 && !j.Steps[0].LongRunning && j.Repeat == 0 && j.Stretch > 0 {
		s.updateBacklogs(starts, now)
		request := s.admissionRequest(j, now)
		d = admission.Decide(request, s.admissionQueues(j), a.calibrations[j.Pool], now)
		if _, line := a.returns.Refused(j.ID); !j.Surplus && d.Outlook != admission.OnTime && line == rateLine(j) {
			// It must not use up the rate of a job that can still be on time.
			j.Surplus = true
			request = s.admissionRequest(j, now)
			d = admission.Decide(request, s.admissionQueues(j), a.calibrations[j.Pool], now)
		}
		if d.Refused {
			return Refusal{Decision: d, RetryAfter: s.retryAfter(j, request, d, now)}, false
		}
		s.addAccepted(j, request, d, now)
	}
	if first, _ := a.returns.Refused(j.ID); !first.IsZero() {
		// The age of a job counts from the caller's first attempt.
		j.AcceptedAt = min(j.AcceptedAt, first.UnixMilli())
	}
	j.Surplus = j.Surplus || !s.TakeRate(j.Organisation, now)
	return Refusal{Decision: d}, true
}

// ForgetAdmission takes back the acceptance of a job that was not stored.
func (s *Scheduler) ForgetAdmission(id string) {
	delete(s.admissions.accepted, id)
}

// admissionQueues returns the backlogs that a job has to pass.
func (s *Scheduler) admissionQueues(j *job.Job) (queues []admission.Queue) {
	a := &s.admissions
	if b := a.backlogs[j.Pool]; b != nil {
		queues = append(queues, admission.Queue{Backlog: b, Reason: admission.Room})
	}
	if b := a.limits[j.Organisation]; b != nil {
		queues = append(queues, admission.Queue{Backlog: b, Reason: admission.Limit})
	}
	if a.orders != nil {
		queues = append(queues, admission.Queue{Backlog: a.orders, Reason: admission.Orders})
	}
	return queues
}

// admissionRequest returns the input of the decision on a job.
func (s *Scheduler) admissionRequest(j *job.Job, now time.Time) (r admission.Request) {
	state := &jobState{Job: *j}
	room := s.admissions.rooms[j.Pool]
	terms, _ := s.organisations.ledger.Terms(j.Organisation)
	var run, chain float64
	for i := range j.Steps {
		st := &j.Steps[i]
		duration := s.expected(state, i)
		run += duration
		size := limitSize(st).Times(st.Count)
		chain += duration * max(1, waves(size, room, roomPart), waves(size, terms.Limit, 1))
		work := admission.AmountOf(taskSize(st).Times(st.Count), duration, st.Count)
		r.Work = r.Work.Plus(work)
		r.Rank.RemainingWork += duration * float64(max(st.CPU, 1)) * float64(st.Count)
	}
	first, _ := s.admissions.returns.Refused(j.ID)
	if first.IsZero() {
		first = now
	}
	objective := j.Stretch*chain + float64(j.TargetMillis)
	r.Run = input.Milliseconds(run)
	r.OnTimeBy = first.Add(input.Milliseconds(objective))
	r.UsefulUntil = first.Add(input.Milliseconds(tooLateFactor * objective))
	r.Surplus = j.Surplus
	r.Rank.Priority, r.Rank.OverShare = j.Priority, s.admissions.overShare[j.Pool][j.Organisation]
	if j.Surplus {
		r.Rank.Class = admission.ClassSurplus
	}
	return r
}

// waves returns in how many parts tasks of a size run in a part of a room; a resource of
// which the room has none does not matter.
func waves(size, room Capacity, part float64) (count float64) {
	for _, p := range [][2]int{{size.CPU, room.CPU}, {size.MemoryMB, room.MemoryMB}, {size.GPU, room.GPU}} {
		if p[1] > 0 {
			count = max(count, math.Ceil(float64(p[0])/(part*float64(p[1]))))
		}
	}
	return count
}

// rateLine names the refused jobs beyond the rate of an organisation.
func rateLine(j *job.Job) string {
	return string(admission.Rate) + " " + j.Organisation
}

// retryAfter returns when a refused job may return, after those that were refused before for
// the same reason.
func (s *Scheduler) retryAfter(j *job.Job, r admission.Request, d admission.Decision, now time.Time) time.Duration {
	a := &s.admissions
	takes := time.Duration(0)
	for _, q := range s.admissionQueues(j) {
		if q.Reason == d.Reason || q.Reason == admission.Room && d.Reason == admission.Rate {
			takes = q.DoneAt(r.Work, admission.Amount{}, now).Sub(now)
		}
	}
	line := string(d.Reason) + " " + j.Pool
	switch d.Reason {
	case admission.Limit:
		line = string(d.Reason) + " " + j.Organisation
	case admission.Rate:
		line = rateLine(j)
		// The job is welcome once there is room or once the rate allows it.
		if at := s.organisations.ledger.RateAvailableAt(j.Organisation, now); at.Before(d.RoomAt) {
			d.RoomAt = at
		}
		if t, known := s.organisations.ledger.Terms(j.Organisation); known && t.Weight > 0 {
			takes = min(takes, input.Seconds(1/t.Weight))
		}
	case admission.Room, admission.Orders, admission.Time, admission.Count:
	}
	return a.returns.RetryAfter(line, j.ID, d.RoomAt, takes, now)
}

func (s *Scheduler) addAccepted(j *job.Job, r admission.Request, d admission.Decision, now time.Time) {
	a := &s.admissions
	if a.accepted == nil {
		a.accepted = make(map[string]*acceptedJob)
	}
	e := &acceptedJob{
		pool: j.Pool, organisation: j.Organisation, rank: r.Rank, work: r.Work,
		at: now, estimate: d.Estimate, usefulUntil: r.UsefulUntil, waits: d.Estimate.Sub(now) > waitingFactor*r.Run,
	}
	a.accepted[j.ID] = e
	for _, q := range s.admissionQueues(j) {
		q.Add(e.rank, e.work)
	}
}

// updateBacklogs gathers the accepted work of all pools, unless that was done just before.
func (s *Scheduler) updateBacklogs(starts float64, now time.Time) {
	a := &s.admissions
	if now.Before(a.validUntil) {
		return
	}
	a.validUntil = now.Add(backlogLifetime + time.Duration(s.CountActiveJobs())*backlogLifetimePerJob)
	s.observeAccepted(now)
	a.backlogs, a.overShare = make(map[string]*admission.Backlog), make(map[string]map[string]bool)
	a.limits, a.orders = make(map[string]*admission.Backlog), nil
	if starts > 0 {
		a.orders = &admission.Backlog{Supplies: []admission.Supply{{From: now, Rate: admission.Amount{Starts: starts / 1000}}}}
	}
	s.addSupplies(now)
	held := make(map[string]Capacity)
	for _, pool := range sortedKeys(s.activeJobs) {
		a.overShare[pool] = make(map[string]bool)
		for _, j := range s.activeJobs[pool] {
			if j.longRunning() {
				for _, o := range j.occurrences.items {
					for _, st := range o.steps {
						held[j.Organisation] = held[j.Organisation].Plus(limitSize(st.step).Times(st.running))
					}
				}
				continue
			}
			s.rank(j, now)
			a.overShare[pool][j.Organisation] = j.overShare
			s.loadBacklog(pool, j.Organisation, j.backlogRank(), s.workLeft(j, now))
		}
	}
	for _, id := range a.acceptedWhere(func(id string, _ *acceptedJob) bool { return !s.HasJob(id) }) {
		e := a.accepted[id]
		s.loadBacklog(e.pool, e.organisation, e.rank, e.work)
	}
	s.addLimits(held, now)
}

// loadBacklog adds the work of a job to the backlogs that it passes.
func (s *Scheduler) loadBacklog(pool, organisation string, r admission.Rank, work admission.Amount) {
	a := &s.admissions
	if b := a.backlogs[pool]; b != nil {
		b.Load(r, work)
	}
	if a.orders != nil {
		a.orders.Load(r, work)
	}
	if organisation == "" {
		return
	}
	b := a.limits[organisation]
	if b == nil {
		b = &admission.Backlog{}
		a.limits[organisation] = b
	}
	b.Load(r, work)
}

// addSupplies sets the capacity of each pool: what is in service, and after forecastHorizon
// what is on its way, what the spare pool has and what is idle in other pools.
func (s *Scheduler) addSupplies(now time.Time) {
	a := &s.admissions
	a.rooms = make(map[string]Capacity)
	short, largest, idle := make(map[string]Capacity), make(map[string]Capacity), make(map[string]int)
	idleEndpoints, anyLargest := 0, Capacity{}
	for _, e := range s.endpoints {
		if !e.listed || e.Draining || e.reserved() || e.unresponsive() {
			continue
		}
		a.rooms[e.Pool] = a.rooms[e.Pool].Plus(e.Capacity)
		short[e.Pool] = short[e.Pool].Plus(e.Capacity.Minus(e.longRunningUsage()))
		largest[e.Pool] = larger(largest[e.Pool], e.Capacity)
		anyLargest = larger(anyLargest, e.Capacity)
		if e.usable() && len(e.runs) == 0 {
			idle[e.Pool]++
			idleEndpoints++
		}
	}
	for pool, capacity := range short {
		size := largest[pool]
		if size == (Capacity{}) {
			size = anyLargest
		}
		growth := a.instances.Incoming[pool] + a.instances.Spare + idleEndpoints - idle[pool]
		b := &admission.Backlog{Supplies: []admission.Supply{{From: now, Rate: rateOf(capacity)}}}
		if growth > 0 {
			b.Supplies = append(b.Supplies, admission.Supply{From: now.Add(sizing.ForecastHorizon), Rate: rateOf(capacity.Plus(size.Times(growth)))})
		}
		if d := s.demands[pool]; d != nil {
			b.Reserved = admission.Amount{CPU: d.Sustained(now)}
		}
		a.backlogs[pool] = b
	}
}

// larger returns the capacity with more CPU, or among equals with more of the rest.
func larger(a, b Capacity) Capacity {
	if cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(b.GPU, a.GPU)) > 0 {
		return b
	}
	return a
}

// addLimits sets what each organisation may have running beside its long-running tasks, and
// removes the backlogs of organisations without a limit.
func (s *Scheduler) addLimits(held map[string]Capacity, now time.Time) {
	for name := range held {
		if s.admissions.limits[name] == nil {
			s.admissions.limits[name] = &admission.Backlog{}
		}
	}
	for name, b := range s.admissions.limits {
		t, known := s.organisations.ledger.Terms(name)
		if !known || t.Limit == (Capacity{}) {
			delete(s.admissions.limits, name)
			continue
		}
		free := t.Limit.Minus(held[name])
		rate := rateOf(free)
		for _, p := range []struct {
			limit, free int
			rate        *float64
		}{{t.Limit.CPU, free.CPU, &rate.CPU}, {t.Limit.MemoryMB, free.MemoryMB, &rate.MemoryMB}, {t.Limit.GPU, free.GPU, &rate.GPU}} {
			switch {
			case p.limit <= 0:
				*p.rate = 0
			case p.free <= 0:
				*p.rate = minRate
			}
		}
		b.Supplies = []admission.Supply{{From: now, Rate: rate}}
	}
}

func rateOf(c Capacity) admission.Amount {
	return admission.Amount{CPU: float64(c.CPU), MemoryMB: float64(c.MemoryMB), GPU: float64(c.GPU)}
}

// observeAccepted compares the estimates of accepted jobs with when they ended.
func (s *Scheduler) observeAccepted(now time.Time) {
	a := &s.admissions
	if a.calibrations == nil {
		a.calibrations = make(map[string]*admission.Calibration)
	}
	for _, id := range a.acceptedWhere(func(id string, e *acceptedJob) bool { return s.estimateOver(id, e, now) }) {
		e, j := a.accepted[id], s.jobs[id]
		delete(a.accepted, id)
		if j == nil || !e.waits || j.state != job.Completed && j.state.Terminal() {
			continue
		}
		c := a.calibrations[e.pool]
		if c == nil {
			c = &admission.Calibration{}
			a.calibrations[e.pool] = c
		}
		c.Observe(e.at, e.estimate, endOr(j, now))
	}
}

// estimateOver reports whether an accepted job no longer has to be compared with its estimate:
// it has ended, is overdue, or was not stored.
func (s *Scheduler) estimateOver(id string, e *acceptedJob, now time.Time) bool {
	j := s.jobs[id]
	if j == nil {
		return now.Sub(e.at) > storeDelay
	}
	return j.state.Terminal() || now.After(e.usefulUntil) || now.Sub(e.at) >= overdueFactor*e.estimate.Sub(e.at)
}

// acceptedWhere returns the identifiers of the accepted jobs that match, sorted.
func (a *admissions) acceptedWhere(matches func(id string, e *acceptedJob) bool) (ids []string) {
	for id, e := range a.accepted {
		if matches(id, e) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// endOr returns when a job has ended, or the time given if it has not.
func endOr(j *jobState, now time.Time) time.Time {
	if j.state.Terminal() {
		return time.UnixMilli(j.endedAt)
	}
	return now
}
