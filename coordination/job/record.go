package job

import (
	"encoding/json"

	"github.com/azurepoint/azurepoint/coordination/fault"
)

// State is the state of a job as it is reported to callers.
type State string

// States of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Record is the state of a job as stored in the key-value service.
type Record struct {
	Job

	State State `json:"state"`
	// Progress holds one element for each step in which a task is done or has failed.
	Progress []Progress `json:"progress,omitempty"`
	// EndedAt is the time at which the state became final, in Unix milliseconds.
	EndedAt int64 `json:"endedAt,omitempty"`
}

// Progress holds the done tasks and the failed runs of one step.
type Progress struct {
	Occurrence int   `json:"occurrence,omitempty"`
	Step       int   `json:"step,omitempty"`
	Done       []int `json:"done,omitempty"`
	// Failures maps the index of a task to the numbers of its failed runs. The numbers
	// prevent double counting: if the owner is replaced after it stored a failure but
	// before it acknowledged the end, the endpoint reports the end to the next owner
	// again.
	Failures map[int][]int `json:"failures,omitempty"`
}

// Encode returns the record in its stored format. It leaves out the spec, steps and
// progress of completed and failed jobs, which are no longer needed.
func (r *Record) Encode() (value []byte, err error) {
	defer fault.Annotate(&err, "job: encode record")
	stored := *r
	if r.State == Completed || r.State == Failed {
		stored.Spec, stored.Steps, stored.Progress = "", nil, nil
	}
	value, err = json.Marshal(&stored)
	return value, err
}

// Decode parses a stored record.
func Decode(value []byte) (r Record, err error) {
	defer fault.Annotate(&err, "job: decode record")
	err = json.Unmarshal(value, &r)
	return r, err
}
