package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// unseenRefreshInterval is how often the runs of an earlier owner that no endpoint has
// reported yet are estimated; the estimate visits every inherited job.
const unseenRefreshInterval = 100 * time.Millisecond

// organisations holds what the organisations use, and what one plan needs to know of it.
type organisations struct {
	ledger organisation.Ledger
	// terms is the list that the ledger has, to notice a new one.
	terms []organisation.Terms
	// unseen is, by organisation, what runs of an earlier owner may take that no endpoint
	// has reported, as of unseenAt.
	unseen   map[string]job.Capacity
	unseenAt time.Time
	// atLimit holds since when an organisation has had a task that its limit did not let
	// start; planned holds those of the current plan.
	atLimit map[string]time.Time
	planned map[string]bool
}

// OrganisationLimit reports that an organisation has reached its limit or has left it
// again; it is meant for logs and metrics.
type OrganisationLimit struct {
	Organisation string
	Reached      bool
	Running      job.Capacity
	Limit        job.Capacity
	// Held is how long starts were held back; it belongs to an organisation that has left
	// its limit.
	Held time.Duration
}

// SetOrganisations sets the terms of the organisations by the newest configuration, which
// must not change afterwards. Jobs of an organisation that is not among them have no limit
// and no share of their own.
func (s *Scheduler) SetOrganisations(terms []organisation.Terms) {
	o := &s.organisations
	if len(terms) == len(o.terms) && (len(terms) == 0 || &terms[0] == &o.terms[0]) {
		return
	}
	o.terms = terms
	o.ledger.SetTerms(terms)
}

// limitSize returns what a task of the step counts against the limit of its organisation.
// Unlike taskSize it includes the CPU of tasks that only fill idle time.
func limitSize(st *job.Step) job.Capacity {
	return job.Capacity{CPU: st.CPU, MemoryMB: st.MemoryMB, GPU: st.GPU}
}

// countStart counts a run that may be active against its organisation and its step.
func (s *Scheduler) countStart(r *run) {
	s.organisations.ledger.Start(r.task.job.Organisation, limitSize(r.task.step))
	r.task.stepState().running++
}

// countEnd stops counting a run that has ended.
func (s *Scheduler) countEnd(r *run) {
	s.organisations.ledger.End(r.task.job.Organisation, limitSize(r.task.step))
	r.task.stepState().running--
}

// mayStart reports whether the limit of the job's organisation allows count tasks of the
// step to start together.
func (s *Scheduler) mayStart(j *jobState, st *job.Step, count int) bool {
	o := &s.organisations
	if j.Organisation == "" || o.ledger.MayStart(j.Organisation, limitSize(st), count, o.unseen[j.Organisation]) {
		return true
	}
	if o.planned == nil {
		o.planned = make(map[string]bool)
	}
	o.planned[j.Organisation] = true
	return false
}

// CanEverStart reports whether the limit of the job's organisation admits each of its steps:
// the tasks of a gang start together or not at all.
func (s *Scheduler) CanEverStart(j *job.Job) bool {
	for i := range j.Steps {
		if st := &j.Steps[i]; st.Gang && !s.organisations.ledger.CanEverStart(j.Organisation, limitSize(st), st.Count) {
			return false
		}
	}
	return true
}

// TakeRate counts a new job of an organisation, and reports whether its rate allows it.
func (s *Scheduler) TakeRate(name string, now time.Time) (allowed bool) {
	return s.organisations.ledger.TakeRate(name, now)
}

// updateUnseen estimates what runs of an earlier owner take that no endpoint has reported
// yet. Each task of an inherited job whose turn has come may be running, but all of them
// together no more than the unread endpoints hold.
func (s *Scheduler) updateUnseen(now time.Time) {
	o := &s.organisations
	if !o.ledger.Active() || now.Sub(o.unseenAt) < unseenRefreshInterval && !o.unseenAt.IsZero() {
		return
	}
	o.unseenAt, o.unseen = now, nil
	unread := make(map[string]Capacity)
	for _, e := range s.endpoints {
		if !e.contacted && now.Before(e.leaseUntil) {
			unread[e.Pool] = unread[e.Pool].Plus(e.Capacity)
		}
	}
	for pool, held := range unread {
		perPool := make(map[string]job.Capacity)
		for _, j := range s.activeJobs[pool] {
			if j.inherited && j.Organisation != "" {
				perPool[j.Organisation] = perPool[j.Organisation].Plus(j.readyWithoutRuns())
			}
		}
		if o.unseen == nil {
			o.unseen = make(map[string]job.Capacity)
		}
		for name, c := range perPool {
			o.unseen[name] = o.unseen[name].Plus(job.Capacity{
				CPU: min(c.CPU, held.CPU), MemoryMB: min(c.MemoryMB, held.MemoryMB), GPU: min(c.GPU, held.GPU),
			})
		}
	}
}

// readyWithoutRuns returns the size of the job's tasks whose turn has come and of which no
// run is known.
func (j *jobState) readyWithoutRuns() (c job.Capacity) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.complete() || !o.dependenciesDone(st) {
				continue
			}
			for _, t := range st.tasks {
				if !t.done && len(t.runs) == 0 {
					c = c.Plus(limitSize(st.step))
				}
			}
		}
	}
	return c
}

// noteLimits reports the organisations that reached their limit in this plan, and those
// whose tasks may all start again.
func (s *Scheduler) noteLimits(now time.Time) {
	o := &s.organisations
	for name := range o.planned {
		if _, held := o.atLimit[name]; !held {
			if o.atLimit == nil {
				o.atLimit = make(map[string]time.Time)
			}
			o.atLimit[name] = now
			s.reportLimit(name, true, 0)
		}
	}
	for name, since := range o.atLimit {
		if !o.planned[name] {
			delete(o.atLimit, name)
			s.reportLimit(name, false, now.Sub(since))
		}
	}
	clear(o.planned)
}

func (s *Scheduler) reportLimit(name string, reached bool, held time.Duration) {
	if s.OnOrganisationLimit == nil {
		return
	}
	running, _ := s.organisations.ledger.Running(name)
	terms, _ := s.organisations.ledger.Terms(name)
	s.OnOrganisationLimit(OrganisationLimit{Organisation: name, Reached: reached, Running: running, Limit: terms.Limit, Held: held})
}

// markOverShare marks the jobs of the organisations that have more of a full pool than their
// share, so that the jobs of the others start first.
func (s *Scheduler) markOverShare(pool string, jobs map[string]*jobState) {
	if !s.organisations.ledger.Active() {
		return
	}
	var capacity Capacity
	for _, e := range s.poolEndpoints(pool) {
		if e.usable() {
			capacity = capacity.Plus(e.Capacity)
		}
	}
	uses := make(map[string]organisation.Use)
	for _, j := range jobs {
		if j.Organisation == "" || j.longRunning() {
			continue
		}
		u := uses[j.Organisation]
		running, wanted := j.use()
		u.Running, u.Wanted = u.Running.Plus(running), u.Wanted.Plus(wanted)
		uses[j.Organisation] = u
	}
	over := s.organisations.ledger.OverShare(capacity, uses)
	for _, j := range jobs {
		j.overShare = over[j.Organisation]
	}
}

// use returns what the job has running, and what it would have running if all its tasks
// whose turn has come did.
func (j *jobState) use() (running, wanted Capacity) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.complete() || !o.dependenciesDone(st) {
				continue
			}
			size := taskSize(st.step)
			wanted = wanted.Plus(size.Times(len(st.tasks) - st.done))
			running = running.Plus(size.Times(st.running))
		}
	}
	return running, wanted
}
