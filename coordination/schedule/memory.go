package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Memory that a job takes, in bytes (BenchmarkJobMemory), without its tasks that run.
const (
	// jobBytes, stepBytes and occurrenceBytes are what a job, each of its steps, and each occurrence in use
	// take; occurrenceStepBytes is what a step of such an occurrence takes, with the task that starts next.
	jobBytes            = 900
	stepBytes           = 160
	occurrenceBytes     = 50
	occurrenceStepBytes = 530
	// progressBytes and doneBytes are what a step of a finished occurrence and each of its tasks take
	// when the record is written or read.
	progressBytes = 64
	doneBytes     = 8
	// runBytes is what a task that runs takes, of those that run all at once: long-running ones and gangs.
	runBytes = 700
)

// MemoryBytes returns the most memory in bytes that an owner needs for a job until it ends, without those of its
// tasks that run by turns: their number is limited by the endpoints and maxOwnerSmallRuns.
func MemoryBytes(j *job.Job) (size int64) {
	size = jobBytes + int64(len(j.Spec))
	occurrences, tasks := int64(j.Occurrences()), int64(0)
	for i := range j.Steps {
		s := &j.Steps[i]
		size += stepBytes + int64(len(s.RequiredLabel)+len(s.DataRack)+len(s.Image)+doneBytes*len(s.DependsOn))
		tasks += int64(s.Count)
		if s.LongRunning || s.Gang {
			size += runBytes * int64(s.Count)
		}
	}
	steps := int64(len(j.Steps))
	size += min(occurrences, maxWaitingOccurrences+1) * (occurrenceBytes + occurrenceStepBytes*steps)
	return size + occurrences*(progressBytes*steps+doneBytes*tasks)
}

// memoryReturnInterval separates the returns of jobs that were refused because the others take too much
// memory. When that ends is not estimated: it may take long for jobs of many steps.
const memoryReturnInterval = 100 * time.Millisecond

// RetryWithoutMemory returns when a job may return that is refused because the others take too much memory.
func (s *Scheduler) RetryWithoutMemory(id string, now time.Time) time.Duration {
	return s.admissions.returns.RetryAfter("memory", id, now.Add(memoryReturnInterval), memoryReturnInterval, now)
}

// HeldBytes returns the memory in bytes that the jobs need of which the steps are held.
func (s *Scheduler) HeldBytes() int64 {
	return s.heldBytes
}

// holdMemory counts the memory of a job, and freeMemory stops counting it.
func (s *Scheduler) holdMemory(j *jobState) {
	j.heldBytes = MemoryBytes(&j.Job)
	s.heldBytes += j.heldBytes
}

func (s *Scheduler) freeMemory(j *jobState) {
	s.heldBytes -= j.heldBytes
	j.heldBytes = 0
}
