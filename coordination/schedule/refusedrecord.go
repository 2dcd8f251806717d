package schedule

import "time"

// Reactions to records that the store refuses for good, as it does those that are too long.
const (
	// maxRefusals is how often a record is refused before the ends in it no longer hold back those of other
	// jobs, which endpoints list after them.
	maxRefusals = 3
	// minRefusedDelay and maxRefusedDelay bound the time until a refused record is written again.
	minRefusedDelay = 100 * time.Millisecond
	maxRefusedDelay = 10 * time.Second
)

// RefuseWrite records that the store has refused a record for good. It is written again later, as it may be
// shorter then. Its ends count as stored after some refusals: if this owner is lost before the record is
// stored, their tasks run again.
func (s *Scheduler) RefuseWrite(id string, now time.Time) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.writing = false
	j.retryAt = now.Add(min(minRefusedDelay<<min(j.refusals, 10), maxRefusedDelay))
	s.queueRecord(j)
	if s.refused == nil {
		s.refused = make(map[*jobState]bool)
	}
	s.refused[j] = true
	if j.refusals++; j.refusals >= maxRefusals {
		s.releaseEnds(j)
	}
}

// retryRefused makes refused records that are due be written again.
func (s *Scheduler) retryRefused(now time.Time) {
	for j := range s.refused {
		if !now.Before(j.retryAt) {
			delete(s.refused, j)
			j.retryAt = time.Time{}
			s.queueRecord(j)
		}
	}
}

// CountRefused returns how many records the store has refused for good and not stored since.
func (s *Scheduler) CountRefused() (count int) {
	for _, j := range s.dirty {
		if j.refusals > 0 {
			count++
		}
	}
	return count
}

// releaseEnds acknowledges the ends that waited for the record of a job.
func (s *Scheduler) releaseEnds(j *jobState) {
	waiting := j.endsWait
	j.endsWait = nil
	for _, e := range waiting {
		if e.waitsFor == j {
			e.waitsFor = nil
			s.updateStoredEnds(e)
		}
	}
}
