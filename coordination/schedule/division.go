package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// finishingPart is the part of a pool, as its inverse, up to which a started job may take what
// it needs to finish, whatever its organisation has: many jobs that are begun and wait would
// all end late.
const finishingPart = 20

// dividePool returns how the pool is divided among organisations, and marks the jobs beyond the
// rates of those that have more than their share. Long-running tasks take no part in it: they start first.
// Jobs without an organisation together count as one.
func (s *Scheduler) dividePool(pool string, jobs []*jobState, wall time.Time) (d organisation.Division) {
	if !s.organisations.ledger.Active() || !s.anyBeyondRate(jobs) {
		for _, j := range jobs {
			j.overShare = false
		}
		return organisation.Division{}
	}
	var capacity Capacity
	for _, e := range s.poolEndpoints(pool) {
		if e.usable() {
			capacity = capacity.Plus(e.Capacity)
		}
	}
	uses := make(map[string]organisation.Use, len(s.organisations.terms))
	for _, j := range jobs {
		if j.longRunning() {
			capacity = capacity.Minus(j.used)
			continue
		}
		u, counted := uses[j.Organisation]
		if !counted {
			u.Running = s.organisations.pools[poolUser{pool, j.Organisation}]
		}
		wanted := s.wanted(j, wall)
		j.finishing = (j.started || j.hasRuns()) && capacity.CanFit(wanted.Times(finishingPart))
		u.Wanted = u.Wanted.Plus(wanted)
		uses[j.Organisation] = u
	}
	d = s.organisations.ledger.Divide(capacity, uses)
	for _, j := range jobs {
		j.overShare = !s.withinRate(j) && !j.longRunning() && !j.finishing && d.Exceeded(j.Organisation, uses[j.Organisation].Running)
	}
	return d
}

// anyBeyondRate reports whether a share matters to any of the jobs.
func (s *Scheduler) anyBeyondRate(jobs []*jobState) bool {
	for _, j := range jobs {
		if !j.longRunning() && !s.withinRate(j) {
			return true
		}
	}
	return false
}

// withinRate reports whether the rate of its organisation allowed the job.
func (s *Scheduler) withinRate(j *jobState) bool {
	t, known := s.organisations.ledger.Terms(j.Organisation)
	return known && t.Weight > 0 && !j.Surplus
}

// withholds reports whether a job has to wait until the organisations that have less than
// their share have had their turn. Jobs within the rates of their organisations do not: in the
// order of the least remaining work more of them are in time.
func (s *Scheduler) withholds(c *candidates, j *jobState) bool {
	if s.withinRate(j) || j.longRunning() || j.finishing || !c.division.Reached(j.Organisation, s.organisations.pools[poolUser{j.Pool, j.Organisation}]) {
		return false
	}
	c.withheld = true
	return true
}

// visit calls plan for each job in the order of the ranking, and again at the end of each class
// for those of which a start was withheld, so that nothing is left unused.
func (r *jobRanking) visit(c *candidates, plan func(*plannedJob)) {
	var withheld []*plannedJob
	for i := range r.jobs {
		p := &r.jobs[i]
		c.division, c.withheld = r.division, false
		plan(p)
		if c.withheld {
			withheld = append(withheld, p)
		}
		if i+1 == len(r.jobs) || !sameClass(p, &r.jobs[i+1]) {
			c.division = organisation.Division{}
			for _, w := range withheld {
				plan(w)
			}
			withheld = nil
		}
	}
}

// wanted returns what the tasks of a job take whose turn has come.
func (s *Scheduler) wanted(j *jobState, wall time.Time) (c Capacity) {
	if e := s.keptEstimate(j, wall); e != nil {
		return e.wanted
	}
	return j.countWanted(wall)
}

func (j *jobState) countWanted(wall time.Time) (c Capacity) {
	if due := j.untouchedDue(wall); due > 0 {
		for i := range j.Steps {
			if st := &j.Steps[i]; len(st.DependsOn) == 0 {
				c = c.Plus(taskSize(st).Times(due * st.Count))
			}
		}
	}
	for _, o := range j.occurrences.items {
		if o.dueMillis > 0 && wall.UnixMilli() < o.dueMillis {
			break
		}
		for _, st := range o.ready {
			c = c.Plus(taskSize(st.step).Times(max(st.left(), st.running)))
		}
	}
	return c
}

// sameClass reports whether two jobs are ordered by shares of organisations.
func sameClass(a, b *plannedJob) bool {
	return a.lateness == b.lateness && a.priority == b.priority
}

// limitPlanned returns the jobs that one plan considers. Where not all jobs of a class are
// among them, each organisation gets an equal part, so that the backlog of one does not hide
// the jobs of the others.
func (s *Scheduler) limitPlanned(sorted []plannedJob) (planned []plannedJob) {
	if len(sorted) <= maxPlannedJobs {
		return sorted
	}
	inClass := func(p plannedJob) bool { return sameClass(&p, &sorted[maxPlannedJobs]) }
	start := slices.IndexFunc(sorted, inClass)
	if start == maxPlannedJobs || !s.organisations.ledger.Active() {
		return sorted[:maxPlannedJobs]
	}
	class := sorted[start:]
	if end := slices.IndexFunc(class, func(p plannedJob) bool { return !inClass(p) }); end >= 0 {
		class = class[:end]
	}
	return append(sorted[:start:start], fairPart(class, maxPlannedJobs-start)...)
}

// fairPart returns limit of the more jobs of a class in their order: the long-running ones,
// and equally many of each organisation as far as they have them.
func fairPart(class []plannedJob, limit int) (part []plannedJob) {
	counts := make(map[string]int, limit)
	for _, p := range class {
		counts[p.job.Organisation]++
	}
	quota := max(1, limit/len(counts))
	clear(counts)
	chosen := make([]bool, len(class))
	left := limit
	for i, p := range class {
		if counts[p.job.Organisation]++; left > 0 && (p.job.longRunning() || counts[p.job.Organisation] <= quota) {
			chosen[i] = true
			left--
		}
	}
	for i, p := range class {
		if !chosen[i] && left > 0 {
			chosen[i] = true
			left--
		}
		if chosen[i] {
			part = append(part, p)
		}
	}
	return part
}
