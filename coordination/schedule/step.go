package schedule

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// stepState holds one step of one occurrence with those of its tasks that have been started, or are
// next to start, and are not done.
type stepState struct {
	job        *jobState
	occurrence *occurrence
	step       *job.Step
	index      int
	tasks      sequence[*task]
	done       int
	// small is set if the capacity of an endpoint does not bound the runs of the tasks.
	small bool
	// pending counts the dependencies that are not complete.
	pending int
	// running counts the runs of the tasks that may be active, and started the tasks that have one.
	running, started int
	// byEndpoint counts the runs on each endpoint, of a step with a limit for them.
	byEndpoint map[*endpoint]int
	// gangIsolation is how long the tasks of a gang have to be isolated, if isolationKnown is set.
	gangIsolation  time.Duration
	isolationKnown bool
	// gangRunNumber is the run number that all tasks of the gang share.
	gangRunNumber int
	// heldByLimit is set once the limit of the organisation has held back a start of the
	// step, and aboveLimit once the step is found to be a gang that is larger than the limit.
	heldByLimit, aboveLimit bool
}

func (s *stepState) complete() bool {
	return s.done == s.step.Count
}

// left returns how many tasks are not done.
func (s *stepState) left() int {
	return s.step.Count - s.done
}

// task returns the task with an index.
func (s *stepState) task(index int) (t *task) {
	if t, used := s.tasks.find(index); used {
		return t
	}
	ref := job.TaskRef{Occurrence: s.occurrence.index, Step: s.index, Index: index}
	t = &task{ref: ref, name: ref.TaskName(s.job.ID), job: s.job, step: s.step, of: s, done: s.tasks.isClosed(index)}
	s.tasks.put(index, t)
	s.occurrence.used++
	return t
}

// allTasks returns all tasks, as those of a gang that starts.
func (s *stepState) allTasks() []*task {
	for index := range s.step.Count {
		s.task(index)
	}
	return s.tasks.items
}

// after returns the first task after an index that is not finished, or nil. The tasks up to that index must
// have been used.
func (s *stepState) after(index int) (t *task) {
	i, _ := slices.BinarySearch(s.tasks.indexes, index+1)
	untouched := s.tasks.firstUntouched()
	if i < len(s.tasks.items) && s.tasks.indexes[i] < untouched {
		return s.tasks.items[i]
	}
	if untouched < s.step.Count {
		return s.task(untouched)
	}
	return nil
}

// markDone records that tasks in use are done, and reports how many were not. The tasks of a gang are
// done together.
func (s *stepState) markDone(members []*task) (count int) {
	for _, t := range members {
		if !t.done {
			t.done = true
			count++
		}
	}
	left := s.left()
	if s.step.Gang {
		// Those that are not in use are done too.
		count = left
		s.tasks.closeAll()
	}
	s.addDone(count)
	return count
}

// addDone counts tasks that are done, and completes the step with the last one.
func (s *stepState) addDone(count int) {
	if count == 0 {
		return
	}
	if s.done += count; s.complete() {
		s.occurrence.completeStep(s)
	}
}

// release frees a task that is done and has no run, and its occurrence after the last one.
func (t *task) release() {
	if !t.done || len(t.runs) > 0 {
		return
	}
	if used, _ := t.of.tasks.find(t.ref.Index); used == t {
		t.of.tasks.close(t.ref.Index)
		t.of.isolationKnown = false
		t.of.occurrence.used--
		t.of.occurrence.release(t.job)
	}
}

func (j *jobState) restoreProgress(p job.Progress) {
	if p.Occurrence >= j.occurrences.total || p.Step >= len(j.Steps) {
		return
	}
	o := j.occurrence(p.Occurrence)
	s := o.steps[p.Step]
	for _, i := range p.Done {
		if i < s.step.Count && !s.tasks.isClosed(i) {
			s.restoreDone(i)
		}
	}
	s.restoreFailures(p)
	started := len(p.Done)+len(p.Failures)+len(p.Dropped) > 0
	for i, lost := range p.Crashes {
		if i >= s.step.Count || s.tasks.isClosed(i) {
			continue
		}
		t := s.task(i)
		for _, c := range lost {
			t.addCrash(crash{Crash: c})
			started = started || c.Started
		}
	}
	if started {
		j.markStarted()
	}
	o.release(j)
}

// restoreFailures records the failed runs of the step's tasks that are not done.
func (s *stepState) restoreFailures(p job.Progress) {
	for i, n := range p.Failures {
		if i < s.step.Count && !s.tasks.isClosed(i) {
			s.task(i).failures = n
		}
	}
	for i, d := range p.Dropped {
		if i < s.step.Count && !s.tasks.isClosed(i) {
			s.task(i).dropped = d
		}
	}
}

// restoreDone records that a task was done before the job was loaded.
func (s *stepState) restoreDone(index int) {
	if _, used := s.tasks.find(index); used {
		s.occurrence.used--
	}
	s.tasks.close(index)
	s.addDone(1)
}

// findTask returns the task that a reference identifies, or nil.
func (j *jobState) findTask(r job.TaskRef) *task {
	if r.Occurrence < 0 || r.Occurrence >= j.occurrences.total || r.Step < 0 || r.Step >= len(j.Steps) {
		return nil
	}
	if r.Index < 0 || r.Index >= j.Steps[r.Step].Count {
		return nil
	}
	return j.occurrence(r.Occurrence).steps[r.Step].task(r.Index)
}

// record returns the record of the job in its current state.
func (j *jobState) record() job.Record {
	r := job.Record{Job: j.Job, State: j.state, EndedAt: j.endedAt, Revision: j.storedRevision, StoredBytes: j.storedBytes}
	for index := range j.occurrences.total {
		o, used := j.occurrences.find(index)
		if !used && !j.occurrences.isClosed(index) {
			continue
		}
		for i := range j.Steps {
			p := job.Progress{Occurrence: index, Step: i}
			if used {
				o.steps[i].addProgress(&p)
			} else {
				p.Done = allIndexes(j.Steps[i].Count)
			}
			if len(p.Done) > 0 || len(p.Failures) > 0 || len(p.Dropped) > 0 || len(p.Crashes) > 0 {
				r.Progress = append(r.Progress, p)
			}
		}
	}
	return r
}

func allIndexes(count int) (indexes []int) {
	indexes = make([]int, count)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// doneIndexes returns the indexes of the done tasks.
func (s *stepState) doneIndexes() (indexes []int) {
	if s.done == 0 {
		return nil
	}
	for i := range s.step.Count {
		if t, used := s.tasks.find(i); used && t.done || !used && s.tasks.isClosed(i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// addProgress adds the stored part of the step's state.
func (s *stepState) addProgress(p *job.Progress) {
	p.Done = s.doneIndexes()
	for _, t := range s.tasks.items {
		if len(t.failures) > 0 {
			if p.Failures == nil {
				p.Failures = make(map[int][]int)
			}
			p.Failures[t.ref.Index] = t.failures
		}
		if t.dropped.Count > 0 {
			if p.Dropped == nil {
				p.Dropped = make(map[int]job.Dropped)
			}
			p.Dropped[t.ref.Index] = t.dropped
		}
		if len(t.crashes) > 0 && !t.done {
			if p.Crashes == nil {
				p.Crashes = make(map[int][]job.Crash)
			}
			p.Crashes[t.ref.Index] = t.crashRecords()
		}
	}
}

// complete reports whether all tasks of all occurrences are done.
func (j *jobState) complete() bool {
	if j.occurrences.total == 0 || j.occurrences.untouched > 0 {
		return false
	}
	for _, o := range j.occurrences.items {
		if !o.complete() {
			return false
		}
	}
	return true
}
