package schedule

import (
	"cmp"
	"slices"
	"time"
)

// recordQueue holds jobs with a changed record in the order in which the records are to be stored:
// by the time of their first change that is not stored.
type recordQueue []*jobState

// update adds a job to the queue or removes it. The time of its change must not differ from the
// one with which it was added.
func (q *recordQueue) update(j *jobState, waits bool) {
	i, found := slices.BinarySearchFunc(*q, j, func(a, b *jobState) int {
		return cmp.Or(a.dirtySince.Compare(b.dirtySince), cmp.Compare(a.ID, b.ID))
	})
	switch {
	case waits && !found:
		*q = slices.Insert(*q, i, j)
	case !waits && found:
		*q = slices.Delete(*q, i, i+1)
	}
}

// take removes up to limit jobs from the front.
func (q *recordQueue) take(limit int) (taken []*jobState) {
	taken = slices.Clone((*q)[:min(limit, len(*q))])
	*q = slices.Delete(*q, 0, len(taken))
	return taken
}

// countUntil returns how many jobs have changes until a time.
func (q *recordQueue) countUntil(until time.Time) (count int) {
	count, _ = slices.BinarySearchFunc(*q, until, func(j *jobState, t time.Time) int {
		if j.dirtySince.After(t) {
			return 1
		}
		return -1
	})
	return count
}

// queueRecord updates whether the record of a job waits to be stored, and whether without delay.
func (s *Scheduler) queueRecord(j *jobState) {
	waits := s.dirty[j.ID] == j && !j.writing && j.retryAt.IsZero()
	s.urgentRecords.update(j, waits && j.urgent)
	s.delayedRecords.update(j, waits && !j.urgent)
}

// Writes returns up to limit records to store now: those with a final state at once,
// the others after delay has passed since their first unstored change. A returned
// record is not returned again until ConfirmWrite or FailWrite is called for it.
func (s *Scheduler) Writes(now time.Time, delay time.Duration, limit int) (writes []Write) {
	s.retryRefused(now)
	jobs := s.urgentRecords.take(limit)
	jobs = append(jobs, s.delayedRecords.take(min(limit-len(jobs), s.delayedRecords.countUntil(now.Add(-delay))))...)
	for _, j := range jobs {
		j.writing = true
		writes = append(writes, Write{Record: j.record(), Version: j.version})
	}
	return writes
}

// HasUrgentWrites reports whether a record has to be stored without delay.
func (s *Scheduler) HasUrgentWrites() bool {
	return len(s.urgentRecords) > 0
}
