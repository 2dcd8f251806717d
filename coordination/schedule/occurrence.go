package schedule

import (
	"cmp"
	"slices"
	"time"
)

// maxWaitingOccurrences limits the occurrences of a job that are in use without a run. An occurrence
// that is due is used once there may be room for it, so that only those wait here whose tasks find no
// endpoint for another reason.
const maxWaitingOccurrences = 64

// occurrence is one execution of all steps of a job.
type occurrence struct {
	index     int
	dueMillis int64
	steps     []*stepState
	// ready holds the incomplete steps whose dependencies are complete, in the order of their indexes. A
	// job may have thousands of steps, and most plans concern a few of them.
	ready []*stepState
	// nextStep is the index of the step with which the next plan begins, if the last one has not visited all.
	nextStep int
	// incomplete counts the steps that are not complete, and used the tasks in use of all steps.
	incomplete, used int
	// runs counts the runs of all steps that may be active.
	runs int
}

// dependents holds, for each step of a job, the steps that depend on it, once for each time that they name it.
type dependents struct {
	// first has the position in steps of the first dependent of each step, and of the end after the last one.
	first, steps []int32
}

func newDependents(j *jobState) (d dependents) {
	count := 0
	for i := range j.Steps {
		count += len(j.Steps[i].DependsOn)
	}
	if count == 0 {
		return d
	}
	d.first, d.steps = make([]int32, len(j.Steps)+1), make([]int32, count)
	for i := range j.Steps {
		for _, on := range j.Steps[i].DependsOn {
			d.first[on+1]++
		}
	}
	for i := range j.Steps {
		d.first[i+1] += d.first[i]
	}
	next := slices.Clone(d.first)
	for i := range j.Steps {
		for _, on := range j.Steps[i].DependsOn {
			d.steps[next[on]] = int32(i)
			next[on]++
		}
	}
	return d
}

// of returns the steps that depend on a step.
func (d *dependents) of(step int) []int32 {
	if len(d.steps) == 0 {
		return nil
	}
	return d.steps[d.first[step]:d.first[step+1]]
}

// dependenciesDone reports whether all steps that s depends on are complete.
func (s *stepState) dependenciesDone() bool {
	return s.pending == 0
}

// completeStep records that a step has become complete.
func (o *occurrence) completeStep(s *stepState) {
	o.incomplete--
	if i, ready := o.findReady(s.index); ready {
		o.ready = slices.Delete(o.ready, i, i+1)
	}
	for _, index := range s.job.dependents.of(s.index) {
		d := o.steps[index]
		if d.pending--; d.pending == 0 && !d.complete() {
			i, _ := o.findReady(d.index)
			o.ready = slices.Insert(o.ready, i, d)
		}
	}
}

// findReady returns the position of a step among the ready ones, or where it belongs.
func (o *occurrence) findReady(step int) (i int, found bool) {
	return slices.BinarySearchFunc(o.ready, step, func(s *stepState, step int) int { return cmp.Compare(s.index, step) })
}

func (o *occurrence) complete() bool {
	return o.incomplete == 0
}

// waits reports whether tasks are left and none of them runs.
func (o *occurrence) waits() bool {
	return !o.complete() && o.runs == 0
}

// release frees an occurrence of which all tasks are done and have no run.
func (o *occurrence) release(j *jobState) {
	if !o.complete() || o.used > 0 {
		return
	}
	if used, _ := j.occurrences.find(o.index); used == o {
		j.occurrences.close(o.index)
	}
}

// dueAt returns when an occurrence is due, in Unix milliseconds; 0 means at once.
func (j *jobState) dueAt(index int) (millis int64) {
	if j.Repeat == 0 {
		return 0
	}
	return j.StartAt + int64(index)*j.IntervalMillis
}

// occurrence returns the occurrence with an index.
func (j *jobState) occurrence(index int) (o *occurrence) {
	if o, used := j.occurrences.find(index); used {
		return o
	}
	o = &occurrence{index: index, dueMillis: j.dueAt(index), steps: make([]*stepState, len(j.Steps))}
	finished := j.occurrences.isClosed(index)
	steps := make([]stepState, len(j.Steps))
	for i := range steps {
		s := &steps[i]
		s.job, s.occurrence, s.step, s.index, s.tasks = j, o, &j.Steps[i], i, newSequence[*task](j.Steps[i].Count)
		s.small = isSmall(s.step)
		o.steps[i] = s
		if finished {
			s.done = s.step.Count
			s.tasks.closeAll()
			continue
		}
		o.incomplete++
		if s.pending = len(s.step.DependsOn); s.pending == 0 {
			o.ready = append(o.ready, s)
		}
	}
	j.occurrences.put(index, o)
	return o
}

// nextDue returns the first occurrence that has not been used, if it is due, or nil. A job of which many
// occurrences wait gets none.
func (j *jobState) nextDue(wall time.Time) (o *occurrence) {
	index := j.occurrences.firstUntouched()
	if index == j.occurrences.total || j.dueAt(index) > wall.UnixMilli() {
		return nil
	}
	waiting := 0
	for _, o := range j.occurrences.items {
		if o.waits() {
			waiting++
		}
	}
	if waiting >= maxWaitingOccurrences {
		return nil
	}
	return j.occurrence(index)
}

// untouchedDue returns how many occurrences are due by a time and have not been used.
func (j *jobState) untouchedDue(at time.Time) (count int) {
	if j.occurrences.untouched == 0 {
		return 0
	}
	since := at.UnixMilli() - j.StartAt
	switch {
	case since < 0:
		return 0
	case j.IntervalMillis == 0:
		return j.occurrences.untouched
	}
	return j.occurrences.untouchedBefore(int(min(since/j.IntervalMillis+1, int64(j.occurrences.total))))
}

// countFinished returns how many occurrences are finished and no longer in use.
func (j *jobState) countFinished() (count int) {
	count = j.occurrences.total - j.occurrences.untouched
	return count - len(j.occurrences.items)
}
