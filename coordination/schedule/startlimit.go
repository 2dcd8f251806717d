package schedule

import (
	"math"
	"slices"
	"time"
)

// Limits of the starts for jobs that have had nothing running for a while. Without them a job of thousands of
// short tasks could use up the starts of all plans.
const (
	// starvedAfter is how long a job has nothing running before it may start tasks ahead of its rank.
	starvedAfter = 500 * time.Millisecond
	// starvedPart is the part of the starts of a plan, as its inverse, that these jobs get ahead of the
	// others, and maxStarvedStarts how many of them one job gets.
	starvedPart      = 4
	maxStarvedStarts = 8
)

// planPools starts tasks in all pools, up to Settings.MaxStarts. If they are used up, the next
// plan begins with the pools that had no turn.
func (s *Scheduler) planPools(now, wall time.Time) (orders []Order) {
	s.startsScarce = s.StartsUsedUp()
	s.startsLeft = s.Settings.MaxStarts
	if s.startsLeft <= 0 {
		s.startsLeft = math.MaxInt
	}
	if s.StartsWithheld(now) {
		return nil
	}
	pools := sortedKeys(s.activeJobs)
	first, _ := slices.BinarySearch(pools, s.firstPool)
	pools = slices.Concat(pools[first:], pools[:first])
	s.firstPool = ""
	for i, pool := range pools {
		orders = append(orders, s.planPool(pool, now, wall)...)
		if s.startsLeft <= 0 {
			s.firstPool = pools[(i+1)%len(pools)]
			break
		}
	}
	return orders
}

// planStarved starts tasks of jobs that have had nothing running for a while, if the last plan had too few
// starts for all jobs.
func (s *Scheduler) planStarved(r *jobRanking, c *candidates, now, wall time.Time) (orders []Order) {
	if !s.startsScarce {
		return nil
	}
	all := s.startsLeft
	reserved := s.Settings.MaxStarts / starvedPart
	for i := range r.jobs {
		p := &r.jobs[i]
		j := p.job
		if reserved <= 0 {
			break
		}
		if j.runs > 0 || j.state.Terminal() || now.Sub(j.idleSince) < starvedAfter || s.changesNothing(p, c) {
			continue
		}
		s.startsLeft = min(reserved, maxStarvedStarts)
		before := s.startsLeft
		orders = append(orders, s.planJob(j, c, now, wall)...)
		reserved, all = reserved-(before-s.startsLeft), all-(before-s.startsLeft)
	}
	s.startsLeft = all
	return orders
}

// StartsUsedUp reports whether the last plan returned as many starts as it may, so that more
// tasks may be ready to start.
func (s *Scheduler) StartsUsedUp() bool {
	return s.Settings.MaxStarts > 0 && s.startsLeft <= 0
}
