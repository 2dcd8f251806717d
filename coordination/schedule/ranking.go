package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// Limits of the cached ranking of a pool's jobs. Ranking takes up to 1 us a job.
const (
	// rankingLifetime is how long the ranking of a long queue is reused, and rankingLifetimePerJob
	// how long for each of its jobs if that is more.
	rankingLifetime       = 40 * time.Millisecond
	rankingLifetimePerJob = 20 * time.Microsecond
	// fullRankingLifetime is how long it is reused while no job of the pool finds room.
	fullRankingLifetime = 400 * time.Millisecond
	// maxUncachedJobs is the queue length up to which jobs are ranked for every
	// plan.
	maxUncachedJobs = 64
)

// jobRanking is the cached ranking of a pool's jobs.
type jobRanking struct {
	jobs     []plannedJob
	division organisation.Division
	// buffer is reused from one ranking to the next.
	buffer []plannedJob
	// smallest is at most what any task of the pool's jobs takes.
	smallest Capacity
	// validUntil is when the jobs are ranked again if one of them may find room, and
	// fullUntil when they are ranked again in any case.
	validUntil, fullUntil time.Time
}

// plannedJob is a job in a ranking, with what the ranking depends on.
type plannedJob struct {
	job                *jobState
	lateness, priority int
	remainingWork      float64
	overShare, plain   bool
	smallest           Capacity
}

// jobNeeds is what the tasks of a job take. It does not change.
type jobNeeds struct {
	// smallest is at most what any of its tasks takes of an endpoint, and largest at least what
	// any takes of the limit of its organisation.
	smallest, largest Capacity
	// plain is set for a job of which no task is long-running or belongs to a gang.
	plain bool
}

func needsOf(steps []job.Step) (n jobNeeds) {
	n.plain = true
	for i := range steps {
		size, limit := taskSize(&steps[i]), limitSize(&steps[i])
		if i == 0 {
			n.smallest = size
		}
		n.smallest = minCapacity(n.smallest, size)
		n.largest = Capacity{CPU: max(n.largest.CPU, limit.CPU), MemoryMB: max(n.largest.MemoryMB, limit.MemoryMB), GPU: max(n.largest.GPU, limit.GPU)}
		n.plain = n.plain && !steps[i].LongRunning && !steps[i].Gang
	}
	return n
}

func minCapacity(a, b Capacity) Capacity {
	return Capacity{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}

// rankedJobs returns the pool's jobs in the order in which they are placed.
func (s *Scheduler) rankedJobs(pool string, jobs []*jobState, c *candidates, now, wall time.Time) *jobRanking {
	ranking := s.rankings[pool]
	if ranking == nil {
		ranking = &jobRanking{}
		s.rankings[pool] = ranking
	}
	if len(jobs) > maxUncachedJobs && now.Before(ranking.fullUntil) && (now.Before(ranking.validUntil) || !c.canFit(ranking.smallest)) {
		return ranking
	}
	ranking.division = s.dividePool(pool, jobs, wall)
	before := len(ranking.buffer)
	ranking.buffer = s.sortJobs(ranking.buffer[:0], jobs, now)
	if n := len(ranking.buffer); n < before {
		// What ended jobs hold is released.
		clear(ranking.buffer[n:before])
	}
	ranking.jobs = s.limitPlanned(ranking.buffer)
	ranking.smallest = jobs[0].needs.smallest
	for _, j := range jobs {
		ranking.smallest = minCapacity(ranking.smallest, j.needs.smallest)
	}
	ranking.validUntil = now.Add(max(rankingLifetime, time.Duration(len(jobs))*rankingLifetimePerJob))
	ranking.fullUntil = latest(ranking.validUntil, now.Add(fullRankingLifetime))
	return ranking
}

// addToRanking updates the ranking of the pool of a new job. One that reserves capacity has to
// be ranked before there is room for it.
func (s *Scheduler) addToRanking(j *jobState) {
	r := s.rankings[j.Pool]
	switch {
	case r == nil:
	case j.needs.plain:
		r.smallest = minCapacity(r.smallest, j.needs.smallest)
	default:
		r.fullUntil = r.validUntil
	}
}

// changesNothing reports whether a plan has nothing to do for a job because its pool has no room
// for any of its tasks. A limit or an endpoint that the job waits for is still reported, and
// endpoints are held for tasks that are to be isolated.
func (s *Scheduler) changesNothing(p *plannedJob, c *candidates) bool {
	if !p.plain || c.canFit(p.smallest) || len(c.unread) > 0 && p.job.inherited || c.suspects[p.job] {
		return false
	}
	o := &s.organisations
	return !o.ledger.Active() || p.job.Organisation == "" || o.ledger.MayStart(p.job.Organisation, p.job.needs.largest, 1, o.unseen[p.job.Organisation])
}

// suspectJobs returns the jobs with tasks that are suspected of a crash.
func (s *Scheduler) suspectJobs() (jobs map[*jobState]bool) {
	for t := range s.suspectTasks {
		if jobs == nil {
			jobs = make(map[*jobState]bool)
		}
		jobs[t.job] = true
	}
	return jobs
}

// sortJobs sorts jobs by lateness, then by priority, then by whether their organisation has
// more than its share, then by remaining work. Jobs with little work left go first so that
// as many jobs as possible meet their objective; late jobs follow. The result uses the buffer.
func (s *Scheduler) sortJobs(buffer []plannedJob, jobs []*jobState, now time.Time) (sorted []plannedJob) {
	for _, j := range jobs {
		s.rank(j, now)
		buffer = append(buffer, plannedJob{
			job: j, lateness: j.lateness, priority: j.Priority, overShare: j.overShare, remainingWork: j.remainingWork, plain: j.needs.plain, smallest: j.needs.smallest,
		})
	}
	sorted = buffer
	slices.SortFunc(sorted, func(a, b plannedJob) int {
		switch {
		case a.lateness != b.lateness:
			return cmp.Compare(a.lateness, b.lateness)
		case a.priority != b.priority:
			return cmp.Compare(a.priority, b.priority)
		case a.overShare != b.overShare:
			if b.overShare {
				return -1
			}
			return 1
		case a.remainingWork != b.remainingWork:
			return cmp.Compare(a.remainingWork, b.remainingWork)
		}
		return cmp.Or(a.job.acceptedAt.Compare(b.job.acceptedAt), cmp.Compare(a.job.ID, b.job.ID))
	})
	return sorted
}
