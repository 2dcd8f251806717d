package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Limits on a job that Check enforces.
const (
	// maxTasksPerJob limits the tasks of all occurrences of a job, so that a single job
	// cannot exhaust the memory of an entry.
	maxTasksPerJob = 20_000
	// maxSpecBytes limits the size of Job.Spec.
	maxSpecBytes = 4_000
)

// Step is a group of identical tasks within a job.
type Step struct {
	Count int `json:"count"`
	// CPU is in thousandths of a core.
	CPU      int `json:"cpu,omitempty"`
	MemoryMB int `json:"memoryMb,omitempty"`
	GPU      int `json:"gpu,omitempty"`
	// EstimateMillis is the duration of a task as the caller declared it. It is
	// often inaccurate.
	EstimateMillis int64 `json:"estimateMillis,omitempty"`
	// DependsOn lists the indexes of the steps that must complete first.
	DependsOn []int `json:"after,omitempty"`
	// KeepCheckpoints is set if a new run of a task resumes from the last checkpoint.
	KeepCheckpoints bool `json:"keepCheckpoints,omitempty"`
	// Gang is set if the tasks make progress only while all of them run. They are
	// started together or not at all.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the tasks run slower when they are spread over racks.
	SameRack bool `json:"sameRack,omitempty"`
	// RequiredLabel is a label that an endpoint needs to run the tasks; empty means any.
	RequiredLabel string `json:"requires,omitempty"`
	// DataRack is the rack that holds the input data; tasks run slower elsewhere.
	DataRack string `json:"dataRack,omitempty"`
	// AntiAffinity limits how many tasks of the step share an endpoint; 0 means no
	// limit.
	AntiAffinity int `json:"antiAffinity,omitempty"`
	// AllowDuplicates is set if two runs of the same task may overlap.
	AllowDuplicates bool `json:"allowDuplicates,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names the program that the tasks run. Tasks with the same image behave
	// alike.
	Image string `json:"image,omitempty"`
	// TargetMillis is the upper limit on the tail latency of a serving task.
	TargetMillis int64 `json:"targetMillis,omitempty"`
	// BestEffort is set if the tasks use only CPU time that other tasks leave idle. They
	// reserve no CPU on an endpoint.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable limits how many long-running tasks the scheduler may take out of
	// service at once.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// Job is a unit of work as the caller submitted it.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Pool is the pool whose endpoints run the job. It is set on acceptance and
	// never changes.
	Pool  string `json:"pool"`
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps,omitempty"`
	// StartAt is the due time of the first occurrence, in Unix milliseconds.
	StartAt int64 `json:"startAt,omitempty"`
	// Repeat is the number of occurrences of a timed job; 0 means that the job is
	// not timed.
	Repeat int `json:"repeat,omitempty"`
	// IntervalMillis is the time between the due times of two occurrences.
	IntervalMillis int64 `json:"intervalMillis,omitempty"`
	// AcceptedAt is the time at which an entry received the job, in Unix milliseconds.
	AcceptedAt int64 `json:"accepted"`
	// Organisation is the organisation of the key with which the job was submitted; empty
	// for jobs without a key. The job stays the organisation's after its key is removed.
	Organisation string `json:"organisation,omitempty"`
	// Surplus is set if the organisation had exceeded its rate of jobs when the job was
	// accepted.
	Surplus bool `json:"surplus,omitempty"`
	// UsesPolicy is set if a policy service restricts the endpoints of the queue's jobs.
	UsesPolicy bool `json:"advised,omitempty"`
	// DataCentre is the data centre in which tasks of the job may start; empty means any.
	// Before the owner has decided on the job, it is that of the entry which received it.
	DataCentre string `json:"dataCentre,omitempty"`
	// ConfinedTerm is the term of the owner that confined the job to its data centre; 0 means
	// that none has.
	ConfinedTerm int64 `json:"confinedTerm,omitempty"`

	Objective
}

// Objective holds the priority, retry limit and latency objective that a job gets
// from its queue.
type Objective struct {
	// Priority orders jobs of different queues; 0 is the highest.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of one task after which the job fails;
	// 0 means no limit.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// The objective for the completion time of a job is Stretch times the duration of
	// its longest chain of steps, plus TargetMillis.
	Stretch      float64 `json:"stretch,omitempty"`
	TargetMillis int64   `json:"jobTargetMillis,omitempty"`
}

// Occurrences returns how many times the steps of the job run, at least 1.
func (j *Job) Occurrences() int {
	return max(j.Repeat, 1)
}

// Validate validates the job and returns an error for the first invalid field.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return errors.Errorf("job: the description has %d bytes, above %d", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 {
		return errors.New("job: no steps")
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count <= 0 || s.CPU < 0 || s.MemoryMB < 0 || s.GPU < 0 || s.AntiAffinity < 0 {
			return errors.Errorf("job: step %d has a count below 1 or a negative size", i)
		}
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return errors.Errorf("job: step %d comes after %d, which is not an earlier step", i, a)
			}
		}
		tasks += s.Count
		// Checked for each step, so that the sum cannot overflow.
		if tasks > maxTasksPerJob || s.Count > maxTasksPerJob || j.Repeat > maxTasksPerJob || tasks*j.Occurrences() > maxTasksPerJob {
			return errors.Errorf("job: %d tasks in %d occurrences, above %d", tasks, j.Occurrences(), maxTasksPerJob)
		}
	}
	if j.Repeat < 0 || j.IntervalMillis < 0 {
		return errors.New("job: negative number of occurrences or interval")
	}
	return nil
}

// Limits of figures beyond which their meaning does not change.
const (
	// maxEstimateMillis is more than the duration of any task, and maxMillis a time far in the
	// future; sums and products of them over a job cannot overflow.
	maxEstimateMillis = 10_000_000_000
	maxMillis         = 9_000_000_000_000
	maxStretch        = 1_000_000
)

// Bound replaces absurd figures by the highest ones that can be calculated with. A task with
// one still fits on no endpoint.
func (j *Job) Bound() {
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, figure := range []*int{&s.CPU, &s.MemoryMB, &s.GPU} {
			*figure = min(*figure, MaxFigure)
		}
		s.AntiAffinity, s.MaxUnavailable = min(s.AntiAffinity, maxTasksPerJob), max(0, min(s.MaxUnavailable, maxTasksPerJob))
		s.EstimateMillis = max(0, min(s.EstimateMillis, maxEstimateMillis))
		s.TargetMillis = max(0, min(s.TargetMillis, maxEstimateMillis))
	}
	j.StartAt, j.IntervalMillis = max(0, min(j.StartAt, maxMillis)), min(j.IntervalMillis, maxMillis)
	j.Objective.Bound()
}

// Bound replaces absurd figures by the highest ones that can be calculated with.
func (o *Objective) Bound() {
	o.Stretch = max(0, min(o.Stretch, maxStretch))
	o.TargetMillis = max(0, min(o.TargetMillis, maxEstimateMillis))
}

// TaskRef identifies a task within its job by the indexes of its occurrence, its step
// and itself.
type TaskRef struct {
	Occurrence, Step, Index int
}

// TaskName returns the name of the task, which is unique across all jobs.
func (r TaskRef) TaskName(id string) string {
	return id + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// ParseTaskName splits a task name, as TaskRef.TaskName returns it, into the job identifier
// and the task reference.
func ParseTaskName(name string) (id string, r TaskRef, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskRef{}, errors.Errorf("job: task name %q has %d parts, not 4", name, len(parts))
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		if numbers[i], err = strconv.Atoi(p); err != nil {
			return "", TaskRef{}, errors.Wrapf(err, "job: task name %q", name)
		}
	}
	return parts[0], TaskRef{Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// String returns the reference in the format used in logs.
func (r TaskRef) String() string {
	return fmt.Sprintf("%d.%d.%d", r.Occurrence, r.Step, r.Index)
}
