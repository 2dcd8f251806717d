package job

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

// maxPlainEntries is how many done tasks and failed runs a record lists one by one. A record of more names ranges of
// tasks instead, so that it stays within the limit of the store; releases without ranges cannot read it.
const maxPlainEntries = 1024

// TaskRange is a range of tasks of a job by their numbers, which count the tasks of one occurrence after the other,
// step by step, from 0.
type TaskRange struct {
	First, Last int
}

// TaskRanges are ranges of tasks in ascending order; their stored form is a text such as "0-99,105".
type TaskRanges []TaskRange

// add adds a task with a number above all others.
func (r *TaskRanges) add(number int) {
	if n := len(*r); n > 0 && (*r)[n-1].Last == number-1 {
		(*r)[n-1].Last = number
		return
	}
	*r = append(*r, TaskRange{First: number, Last: number})
}

// MarshalText implements encoding.TextMarshaler.
func (r TaskRanges) MarshalText() (text []byte, err error) {
	for i, s := range r {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(s.First), 10)
		if s.Last > s.First {
			text = append(text, '-')
			text = strconv.AppendInt(text, int64(s.Last), 10)
		}
	}
	return text, nil
}

// parseTaskRanges parses the stored form of ranges of tasks with numbers below a limit.
func parseTaskRanges(text string, limit int) (r TaskRanges, err error) {
	if text == "" {
		return nil, nil
	}
	next := 0
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		var s TaskRange
		if s.First, err = strconv.Atoi(first); err == nil {
			s.Last, err = strconv.Atoi(last)
		}
		if err != nil || s.First < next || s.Last < s.First || s.Last >= limit {
			return nil, errors.Errorf("%.40q is no range of tasks", part)
		}
		next = s.Last + 1
		r = append(r, s)
	}
	return r, nil
}

// FailedRuns are the tasks of which the run with a number has failed.
type FailedRuns struct {
	Run   int        `json:"run"`
	Tasks TaskRanges `json:"tasks"`
}

// DroppedRuns are the tasks of which as many failed runs are only counted, the last of them with a number.
type DroppedRuns struct {
	Dropped

	Tasks TaskRanges `json:"tasks"`
}

// compactProgress is the progress of a job of many tasks in its stored form, without lost endpoints.
type compactProgress struct {
	DoneTasks   TaskRanges    `json:"doneTasks,omitempty"`
	FailedRuns  []FailedRuns  `json:"failedRuns,omitempty"`
	DroppedRuns []DroppedRuns `json:"droppedRuns,omitempty"`
}

// numbering converts between tasks and their numbers.
type numbering struct {
	// first has the number of the first task of each step in an occurrence, and the tasks of an occurrence at
	// the end.
	first []int
}

func newNumbering(j *Job) (n numbering) {
	n.first = make([]int, len(j.Steps)+1)
	for i := range j.Steps {
		n.first[i+1] = n.first[i] + j.Steps[i].Count
	}
	return n
}

func (n numbering) perOccurrence() int {
	return n.first[len(n.first)-1]
}

func (n numbering) number(occurrence, step, index int) int {
	return occurrence*n.perOccurrence() + n.first[step] + index
}

// task returns the task with a number.
func (n numbering) task(number int) (r TaskRef) {
	r.Occurrence = number / n.perOccurrence()
	within := number % n.perOccurrence()
	i, found := slices.BinarySearch(n.first, within)
	if !found {
		i--
	}
	return TaskRef{Occurrence: r.Occurrence, Step: i, Index: within - n.first[i]}
}

// countEntries returns how many done tasks and failed runs progress lists.
func countEntries(progress []Progress) (count int) {
	for i := range progress {
		count += len(progress[i].Done)
		for _, runs := range progress[i].Failures {
			count += len(runs)
		}
	}
	return count
}

// compact returns the progress in its short form, and the part of it that has none.
func (r *Record) compact() (c compactProgress, rest []Progress) {
	n := newNumbering(&r.Job)
	var done []int
	failed, dropped := make(map[int][]int), make(map[Dropped][]int)
	for i := range r.Progress {
		p := &r.Progress[i]
		number := func(index int) int { return n.number(p.Occurrence, p.Step, index) }
		for _, index := range p.Done {
			done = append(done, number(index))
		}
		for index, runs := range p.Failures {
			for _, run := range runs {
				failed[run] = append(failed[run], number(index))
			}
		}
		for index, d := range p.Dropped {
			dropped[d] = append(dropped[d], number(index))
		}
		if len(p.Crashes) > 0 {
			rest = append(rest, Progress{Occurrence: p.Occurrence, Step: p.Step, Crashes: p.Crashes})
		}
	}
	return compactProgress{DoneTasks: rangesOf(done), FailedRuns: failedRuns(failed), DroppedRuns: droppedRuns(dropped)}, rest
}

// failedRuns returns the short form of failed runs, in the order of their numbers.
func failedRuns(tasks map[int][]int) (runs []FailedRuns) {
	for _, run := range slices.Sorted(maps.Keys(tasks)) {
		runs = append(runs, FailedRuns{Run: run, Tasks: rangesOf(tasks[run])})
	}
	return runs
}

// droppedRuns returns the short form of failed runs that are only counted.
func droppedRuns(tasks map[Dropped][]int) (runs []DroppedRuns) {
	for _, d := range slices.SortedFunc(maps.Keys(tasks), func(a, b Dropped) int {
		return cmp.Or(cmp.Compare(a.Count, b.Count), cmp.Compare(a.Last, b.Last))
	}) {
		runs = append(runs, DroppedRuns{Dropped: d, Tasks: rangesOf(tasks[d])})
	}
	return runs
}

// rangesOf returns the ranges of tasks with some numbers.
func rangesOf(numbers []int) (r TaskRanges) {
	slices.Sort(numbers)
	for _, number := range slices.Compact(numbers) {
		r.add(number)
	}
	return r
}

// storedRanges holds the short form of a record's progress as it was read, until the steps are known.
type storedRanges struct {
	done    string
	failed  []storedRuns
	dropped []storedRuns
}

type storedRuns struct {
	run, count, last int
	tasks            string
}

func (s *storedRuns) decode(d *jx.Decoder, key string) error {
	switch key {
	case "run":
		return decodeNumber(d, &s.run)
	case "count":
		return decodeNumber(d, &s.count)
	case "last":
		return decodeNumber(d, &s.last)
	case "tasks":
		return decodeText(d, &s.tasks)
	default:
		return d.Skip()
	}
}

// expand adds what the short form says to the progress of a record whose job is valid.
func (r *Record) expand(s *storedRanges) (err error) {
	if s.done == "" && len(s.failed) == 0 && len(s.dropped) == 0 {
		return nil
	}
	x := expansion{numbering: newNumbering(&r.Job), steps: make(map[[2]int]*Progress)}
	x.tasks = x.perOccurrence() * r.Occurrences()
	x.each(s.done, func(p *Progress, index int) { p.Done = append(p.Done, index) })
	for _, f := range s.failed {
		x.each(f.tasks, func(p *Progress, index int) {
			if p.Failures == nil {
				p.Failures = make(map[int][]int)
			}
			p.Failures[index] = append(p.Failures[index], f.run)
		})
	}
	for _, f := range s.dropped {
		x.each(f.tasks, func(p *Progress, index int) {
			if p.Dropped == nil {
				p.Dropped = make(map[int]Dropped)
			}
			p.Dropped[index] = Dropped{Count: f.count, Last: f.last}
		})
	}
	for _, p := range x.order {
		r.Progress = append(r.Progress, *p)
	}
	return x.err
}

// expansion collects the progress of the steps that ranges of tasks name.
type expansion struct {
	numbering
	// tasks is the number of tasks of the job.
	tasks int
	// steps holds the progress by occurrence and step, and order in the order in which they were named.
	steps map[[2]int]*Progress
	order []*Progress
	err   error
}

// each applies a function to the tasks of ranges, unless an earlier text was invalid.
func (x *expansion) each(text string, apply func(p *Progress, index int)) {
	if x.err != nil {
		return
	}
	var ranges TaskRanges
	ranges, x.err = parseTaskRanges(text, x.tasks)
	for _, s := range ranges {
		for number := s.First; number <= s.Last; number++ {
			t := x.task(number)
			p, known := x.steps[[2]int{t.Occurrence, t.Step}]
			if !known {
				p = &Progress{Occurrence: t.Occurrence, Step: t.Step}
				x.steps[[2]int{t.Occurrence, t.Step}] = p
				x.order = append(x.order, p)
			}
			apply(p, t.Index)
		}
	}
}
