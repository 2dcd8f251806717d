package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Limits of a job that an entry accepts.
const (
	// maxTasks bounds the tasks of one occurrence, so that one job cannot take
	// the memory of an entry.
	maxTasks = 20_000
	// maxSpecBytes is the longest description of the work.
	maxSpecBytes = 4_000
)

// Step is a group of equal tasks of a job.
type Step struct {
	Count int `json:"count"`
	// CPU is in thousandths of a core.
	CPU      int `json:"cpu,omitempty"`
	MemoryMB int `json:"memoryMb,omitempty"`
	GPU      int `json:"gpu,omitempty"`
	// EstimateMillis is the declared duration of a task, often far off.
	EstimateMillis int64 `json:"estimateMillis,omitempty"`
	// After lists the steps that must be done before.
	After []int `json:"after,omitempty"`
	// KeepCheckpoints tells that a task can resume from its last checkpoint.
	KeepCheckpoints bool `json:"keepCheckpoints,omitempty"`
	// Gang tells that the tasks only work while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tells that the tasks are slower when spread over racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Requires is a label that the endpoint must have.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack on which the tasks run at full speed.
	DataRack string `json:"dataRack,omitempty"`
	// AntiAffinity is the most tasks of the step on one endpoint; 0 is no limit.
	AntiAffinity int `json:"antiAffinity,omitempty"`
	// AllowDuplicates tells that copies of a task may run at the same time.
	AllowDuplicates bool `json:"allowDuplicates,omitempty"`
	// LongRunning tells that the tasks run until the job is cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMillis is the tail latency that a serving task must stay below.
	TargetMillis int64 `json:"targetMillis,omitempty"`
	// Fills tells that the tasks use only processor time that others leave.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many tasks may be away at once by the scheduler's orders.
	MayMiss int `json:"mayMiss,omitempty"`
}

// Job is a unit of work as its caller submitted it.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Pool is the pool whose endpoints run the job, fixed at acceptance.
	Pool  string `json:"pool"`
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps,omitempty"`
	// StartAt is when the first occurrence is due, in Unix milliseconds.
	StartAt int64 `json:"startAt,omitempty"`
	// Repeat is the number of occurrences of a timed job; 0 is an untimed one.
	Repeat int `json:"repeat,omitempty"`
	// IntervalMillis lies between two occurrences.
	IntervalMillis int64 `json:"intervalMillis,omitempty"`
	// Accepted is when an entry received the job, in Unix milliseconds.
	Accepted int64 `json:"accepted"`
	// Advised tells that the queue's policy allows only some endpoints.
	Advised bool `json:"advised,omitempty"`

	Objective
}

// Objective is what a queue promises of its jobs.
type Objective struct {
	// Priority orders queues; 0 comes first.
	Priority int `json:"priority"`
	// MaxAttempts is how many failed runs of a task fail its job.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Stretch times the longest chain of work, and TargetMillis, is the objective.
	Stretch      float64 `json:"stretch,omitempty"`
	TargetMillis int64   `json:"jobTargetMillis,omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repeat, 1)
}

// Check returns an error that names the first part of the job that is invalid.
func (j *Job) Check() error {
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
		for _, a := range s.After {
			if a < 0 || a >= i {
				return errors.Errorf("job: step %d comes after %d, which is not an earlier step", i, a)
			}
		}
		tasks += s.Count
	}
	if tasks*j.Occurrences() > maxTasks {
		return errors.Errorf("job: %d tasks, above %d", tasks*j.Occurrences(), maxTasks)
	}
	if j.Repeat < 0 || j.IntervalMillis < 0 {
		return errors.New("job: negative number of occurrences or interval")
	}
	return nil
}

// Ref identifies a task within its job.
type Ref struct {
	Occurrence, Step, Index int
}

// Name returns the task's name in the whole fleet.
func (r Ref) Name(id string) string {
	return id + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// ParseName returns the job's identifier and the task that a name stands for.
func ParseName(name string) (id string, r Ref, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", Ref{}, errors.Errorf("job: task name %q has %d parts, not 4", name, len(parts))
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		if numbers[i], err = strconv.Atoi(p); err != nil {
			return "", Ref{}, errors.Wrapf(err, "job: task name %q", name)
		}
	}
	return parts[0], Ref{Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// String returns the reference as it is shown in logs.
func (r Ref) String() string {
	return fmt.Sprintf("%d.%d.%d", r.Occurrence, r.Step, r.Index)
}
