package organisation

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
)

// rateWindow is the time over which an organisation may save up jobs that its rate
// allows: about the objective of a short job, so that the arrivals of a usual moment vary
// without being surplus.
const rateWindow = 2 * time.Second

// minRateBurst is how many jobs any organisation may submit at once within its rate.
const minRateBurst = 4

// wholeToken is the part of a token that allows a job, so that rounding does not refuse a job
// at the time that RateAvailableAt gives.
const wholeToken = 1 - 1e-6

// Ledger counts what each organisation has running, and the jobs that it submits, against
// its terms. Its zero value has no organisations; an organisation that is not among the
// terms, or has an empty name, has no limit. It is not safe for concurrent use.
type Ledger struct {
	terms    map[string]Terms
	accounts map[string]*account
}

// account is what one organisation has running.
type account struct {
	running job.Capacity
	runs    int
	// tokens is how many jobs the organisation may submit within its rate as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// SetTerms replaces the terms of all organisations. A lower limit stops starts and ends
// nothing that runs.
func (l *Ledger) SetTerms(terms []Terms) {
	l.terms = make(map[string]Terms, len(terms))
	for _, t := range terms {
		l.terms[t.Name] = t
	}
	for name, a := range l.accounts {
		if _, known := l.terms[name]; !known && a.runs == 0 {
			delete(l.accounts, name)
		}
	}
}

// Active reports whether there are organisations.
func (l *Ledger) Active() bool {
	return len(l.terms) > 0
}

// Terms returns the terms of an organisation.
func (l *Ledger) Terms(name string) (t Terms, known bool) {
	t, known = l.terms[name]
	return t, known
}

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = &account{}
		l.accounts[name] = a
	}
	return a
}

// Start counts a run that may be active from now on.
func (l *Ledger) Start(name string, size job.Capacity) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.running = a.running.Plus(size)
	a.runs++
}

// End stops counting a run that is certain to have ended.
func (l *Ledger) End(name string, size job.Capacity) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.running = a.running.Minus(size)
	a.runs--
	if _, known := l.terms[name]; !known && a.runs == 0 {
		delete(l.accounts, name)
	}
}

// Running returns what an organisation may have running, and in how many runs.
func (l *Ledger) Running(name string) (c job.Capacity, runs int) {
	if a := l.accounts[name]; a != nil {
		return a.running, a.runs
	}
	return job.Capacity{}, 0
}

// MayStart reports whether count tasks of a size may start together, beside what the
// organisation has running and what it may have running besides.
func (l *Ledger) MayStart(name string, size job.Capacity, count int, besides job.Capacity) bool {
	t, known := l.terms[name]
	if !known {
		return true
	}
	running, _ := l.Running(name)
	return t.Admit(running.Plus(besides).Plus(size.Times(count)))
}

// MayExceed reports whether a single task that is larger than the limit may start: what runs
// is within the limit, and there is no more room to wait for. Such a task would otherwise stay
// pending for ever.
func (l *Ledger) MayExceed(name string, size job.Capacity) bool {
	t, known := l.terms[name]
	if !known || t.Admit(size) {
		return !known
	}
	running, _ := l.Running(name)
	return admitsLarge(t.Limit.CPU, running.CPU, size.CPU) && admitsLarge(t.Limit.MemoryMB, running.MemoryMB, size.MemoryMB) &&
		admitsLarge(t.Limit.GPU, running.GPU, size.GPU)
}

// admitsLarge reports whether a single task may start by the limit of one resource.
func admitsLarge(limit, running, size int) bool {
	return limit <= 0 || running+size <= limit || size > limit && running <= limit
}

// CanEverStart reports whether count tasks of a size that start together fit into the limit
// of the organisation at all.
func (l *Ledger) CanEverStart(name string, size job.Capacity, count int) bool {
	t, known := l.terms[name]
	return !known || count == 1 || within(t.Limit, size.Times(count))
}

// TakeRate counts a job that an organisation submits, and reports whether its rate allows
// the job. A surplus job does not use up the rate.
func (l *Ledger) TakeRate(name string, now time.Time) (allowed bool) {
	t, known := l.terms[name]
	if !known || t.Weight <= 0 {
		return true
	}
	a := l.account(name)
	a.refill(t, now)
	if a.tokens < wholeToken {
		return false
	}
	a.tokens--
	return true
}

// RateAvailableAt returns when the rate of an organisation allows its next job.
func (l *Ledger) RateAvailableAt(name string, now time.Time) time.Time {
	t, known := l.terms[name]
	if !known || t.Weight <= 0 {
		return now
	}
	a := l.account(name)
	a.refill(t, now)
	if a.tokens >= wholeToken {
		return now
	}
	return now.Add(input.Seconds((1 - a.tokens) / t.Weight))
}

func (a *account) refill(t Terms, now time.Time) {
	burst := max(minRateBurst, t.Weight*rateWindow.Seconds())
	if a.refilledAt.IsZero() {
		a.tokens = burst
	} else if elapsed := now.Sub(a.refilledAt); elapsed > 0 {
		a.tokens = min(burst, a.tokens+elapsed.Seconds()*t.Weight)
	} else {
		return
	}
	a.refilledAt = now
}

// within reports whether the resources of which the limit names an amount are within it.
func within(limit, c job.Capacity) bool {
	return (limit.CPU <= 0 || c.CPU <= limit.CPU) &&
		(limit.MemoryMB <= 0 || c.MemoryMB <= limit.MemoryMB) &&
		(limit.GPU <= 0 || c.GPU <= limit.GPU)
}
