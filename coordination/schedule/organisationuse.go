package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// OrganisationUse is what an organisation uses; it is meant for metrics.
type OrganisationUse struct {
	Organisation string
	// Running is what counts against the limit. Unseen is what runs of an earlier owner may
	// take besides, which no endpoint has reported yet.
	Running, Unseen, Limit job.Capacity
	// WaitingTasks counts the tasks whose turn has come and that have no run, and SurplusJobs
	// the unfinished jobs beyond the rate.
	WaitingTasks, SurplusJobs int
}

// OrganisationUses returns the use of up to limit organisations: those that have most CPU
// running, and among equals those with most waiting tasks.
func (s *Scheduler) OrganisationUses(limit int, wall time.Time) (uses []OrganisationUse) {
	o := &s.organisations
	if !o.ledger.Active() {
		return nil
	}
	byName := make(map[string]*OrganisationUse, len(o.terms))
	for _, t := range o.terms {
		running, _ := o.ledger.Running(t.Name)
		byName[t.Name] = &OrganisationUse{Organisation: t.Name, Running: running, Unseen: o.unseen[t.Name], Limit: t.Limit}
	}
	for _, jobs := range s.activeJobs {
		for _, j := range jobs {
			u := byName[j.Organisation]
			if u == nil {
				continue
			}
			if j.Surplus {
				u.SurplusJobs++
			}
			u.WaitingTasks += j.waitingTasks(wall)
		}
	}
	for _, u := range byName {
		if u.Running != (job.Capacity{}) || u.WaitingTasks > 0 || u.SurplusJobs > 0 {
			uses = append(uses, *u)
		}
	}
	slices.SortFunc(uses, func(a, b OrganisationUse) int {
		return cmp.Or(cmp.Compare(b.Running.CPU, a.Running.CPU), cmp.Compare(b.WaitingTasks, a.WaitingTasks), cmp.Compare(a.Organisation, b.Organisation))
	})
	return uses[:min(len(uses), limit)]
}

// hasWaitingTasks reports whether a task has no run although its turn has come.
func (j *jobState) hasWaitingTasks(wall time.Time) bool {
	for _, o := range j.occurrences.items {
		if o.dueMillis > 0 && wall.UnixMilli() < o.dueMillis {
			break
		}
		if slices.ContainsFunc(o.ready, func(st *stepState) bool { return st.left() > st.running }) {
			return true
		}
	}
	return j.untouchedDue(wall) > 0
}

// waitingTasks returns how many tasks have no run although their turn has come.
func (j *jobState) waitingTasks(wall time.Time) (count int) {
	if due := j.untouchedDue(wall); due > 0 {
		for i := range j.Steps {
			if st := &j.Steps[i]; len(st.DependsOn) == 0 {
				count += due * st.Count
			}
		}
	}
	for _, o := range j.occurrences.items {
		if o.dueMillis > 0 && wall.UnixMilli() < o.dueMillis {
			break
		}
		for _, st := range o.ready {
			count += max(0, st.left()-st.running)
		}
	}
	return count
}
