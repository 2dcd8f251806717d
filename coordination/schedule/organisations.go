package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

const (
	// limitLeftDelay is how long no start of an organisation has to be held back until the
	// organisation has left its limit. Runs end all the time, so that an organisation at its
	// limit may start tasks between two plans.
	limitLeftDelay = 5 * time.Second
	// reservationDelay is how long a gang, or a task larger than the limit, is held back
	// until the other starts of the organisation leave room for it.
	reservationDelay = time.Second
)

// organisations holds what the organisations use, and what one plan needs of it.
type organisations struct {
	ledger organisation.Ledger
	// terms is the list that the ledger has, to notice a new one.
	terms []organisation.Terms
	// unseen is, by organisation, what runs of an earlier owner may take that no endpoint
	// has reported, as of unseenAt.
	unseen   map[string]job.Capacity
	unseenAt time.Time
	// longRunning is, by organisation, what its long-running tasks take, and pools what its
	// other tasks take of a pool.
	longRunning map[string]job.Capacity
	pools       map[poolUser]Capacity
	// unconfirmed counts the runs of an organisation of which it is not known whether they
	// have started.
	unconfirmed map[string]int
	// held has the organisations whose limit has held a start back lately, and reservations
	// the steps for which the other starts of an organisation leave room.
	held         map[string]*limitHold
	reservations map[string]*limitReservation
}

// poolUser identifies an organisation in a pool.
type poolUser struct {
	pool, organisation string
}

// limitHold is the span in which the limit of an organisation has held starts back.
type limitHold struct {
	since, last time.Time
}

// limitReservation is a gang, or a task larger than the limit, that the limit holds back although
// it could start beside the organisation's long-running tasks.
type limitReservation struct {
	step        *stepState
	size        job.Capacity
	since, last time.Time
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

// HeldGang reports a gang that is larger than the limit of its organisation, which was
// lowered after the job was accepted; it is meant for logs.
type HeldGang struct {
	Job, Organisation string
	Step, Tasks       int
	// Size is what the whole gang takes.
	Size, Limit job.Capacity
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

// countStart counts a run that may be active against its organisation.
func (s *Scheduler) countStart(r *run) {
	o, j := &s.organisations, r.task.job
	o.ledger.Start(j.Organisation, limitSize(r.task.step))
	if o.pools == nil {
		o.pools, o.longRunning, o.unconfirmed = make(map[poolUser]Capacity), make(map[string]job.Capacity), make(map[string]int)
	}
	if r.state != confirmed {
		o.unconfirmed[j.Organisation]++
	}
	if r.task.step.LongRunning {
		addTo(o.longRunning, j.Organisation, limitSize(r.task.step))
		return
	}
	addTo(o.pools, poolUser{j.Pool, j.Organisation}, r.size)
}

// countEnd stops counting a run that has ended.
func (s *Scheduler) countEnd(r *run) {
	o, j := &s.organisations, r.task.job
	o.ledger.End(j.Organisation, limitSize(r.task.step))
	if r.state != confirmed {
		s.countConfirmed(j)
	}
	if r.task.step.LongRunning {
		addTo(o.longRunning, j.Organisation, limitSize(r.task.step).Times(-1))
		return
	}
	addTo(o.pools, poolUser{j.Pool, j.Organisation}, r.size.Times(-1))
}

// confirmRun records that the endpoint has started a run.
func (s *Scheduler) confirmRun(r *run, now time.Time) {
	r.task.job.markStarted()
	if r.state != confirmed {
		r.state, r.confirmedAt = confirmed, now
		r.endpoint.unconfirmedRuns--
		s.countConfirmed(r.task.job)
	}
}

// countConfirmed counts that it became known whether a run of a job has started.
func (s *Scheduler) countConfirmed(j *jobState) {
	o := &s.organisations
	if o.unconfirmed[j.Organisation]--; o.unconfirmed[j.Organisation] == 0 {
		delete(o.unconfirmed, j.Organisation)
	}
}

// addTo adds a capacity to the sum of a key, and drops a sum of nothing.
func addTo[K comparable](sums map[K]job.Capacity, key K, c job.Capacity) {
	if sum := sums[key].Plus(c); sum != (job.Capacity{}) {
		sums[key] = sum
	} else {
		delete(sums, key)
	}
}

// mayStart reports whether the limit of the job's organisation allows count tasks of the
// step to start together.
func (s *Scheduler) mayStart(st *stepState, count int, now time.Time) bool {
	o, j := &s.organisations, st.job
	if j.Organisation == "" || !o.ledger.Active() {
		return true
	}
	size, besides := limitSize(st.step), o.unseen[j.Organisation]
	if !o.ledger.MayStart(j.Organisation, size, count, besides) {
		if count == 1 && s.mayExceed(j.Organisation, size) {
			return true
		}
		s.holdStart(st, count, now)
		return false
	}
	r := o.reservations[j.Organisation]
	if r == nil || r.step == st || st.step.LongRunning || now.Sub(r.since) < reservationDelay {
		return true
	}
	return o.ledger.MayStart(j.Organisation, size, count, besides.Plus(r.size))
}

// mayExceed reports whether a task that is larger than the limit of its organisation may
// start. All runs of the organisation have to be confirmed: one that started later would
// exceed the limit by more than itself.
func (s *Scheduler) mayExceed(name string, size job.Capacity) bool {
	o := &s.organisations
	return o.unconfirmed[name] == 0 && o.unseen[name] == (job.Capacity{}) && o.ledger.MayExceed(name, size)
}

// holdStart records that a limit holds back the start of count tasks of a step.
func (s *Scheduler) holdStart(st *stepState, count int, now time.Time) {
	o, j := &s.organisations, st.job
	if !st.heldByLimit {
		st.heldByLimit = true
		s.Counts.HeldByLimit++
	}
	if o.held == nil {
		o.held, o.reservations = make(map[string]*limitHold), make(map[string]*limitReservation)
	}
	h := o.held[j.Organisation]
	if h == nil {
		h = &limitHold{since: now}
		o.held[j.Organisation] = h
		s.reportLimit(j.Organisation, true, 0)
	}
	h.last = now
	terms, _ := o.ledger.Terms(j.Organisation)
	size := limitSize(st.step).Times(count)
	if !o.ledger.CanEverStart(j.Organisation, limitSize(st.step), count) {
		if !st.aboveLimit && s.OnHeldGang != nil {
			s.OnHeldGang(HeldGang{Job: j.ID, Organisation: j.Organisation, Step: st.index, Tasks: count, Size: size, Limit: terms.Limit})
		}
		st.aboveLimit = true
		return
	}
	// A task that is larger than the limit needs all starts to be confirmed.
	large := count == 1 && !terms.Admit(size)
	if count == 1 && !large {
		return
	}
	r, lasting := o.reservations[j.Organisation], o.longRunning[j.Organisation]
	if r == nil && (terms.Admit(size.Plus(lasting)) || large && terms.Admit(lasting)) {
		r = &limitReservation{step: st, size: size, since: now}
		o.reservations[j.Organisation] = r
	}
	if r != nil && r.step == st {
		r.last = now
	}
}

// updateHolds reports the organisations of which no start was held back lately, and drops
// the reservations of steps that their limit no longer holds back.
func (s *Scheduler) updateHolds(now time.Time) {
	o := &s.organisations
	for name, r := range o.reservations {
		if now.Sub(r.last) >= reservationDelay || r.step.running > 0 || r.step.complete() {
			delete(o.reservations, name)
		}
	}
	for name, h := range o.held {
		if now.Sub(h.last) >= limitLeftDelay {
			delete(o.held, name)
			s.reportLimit(name, false, h.last.Sub(h.since))
		}
	}
}

func (s *Scheduler) reportLimit(name string, reached bool, held time.Duration) {
	if s.OnOrganisationLimit == nil {
		return
	}
	running, _ := s.organisations.ledger.Running(name)
	terms, _ := s.organisations.ledger.Terms(name)
	s.OnOrganisationLimit(OrganisationLimit{Organisation: name, Reached: reached, Running: running, Limit: terms.Limit, Held: held})
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
