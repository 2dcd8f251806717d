package job

import (
	"encoding/json"

	"github.com/azurepoint/azurepoint/coordination/fault"
)

// State is what a caller is told of a job.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal tells whether the state is final.
func (s State) Terminal() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Record is what the key-value service holds of a job.
type Record struct {
	Job

	State State `json:"state"`
	// Progress holds the steps in which a task has ended.
	Progress []Progress `json:"progress,omitempty"`
	// EndedAt is when the state became final, in Unix milliseconds.
	EndedAt int64 `json:"endedAt,omitempty"`
}

// Progress is what is known of the ends of the tasks of a step.
type Progress struct {
	Occurrence int   `json:"occurrence,omitempty"`
	Step       int   `json:"step,omitempty"`
	Done       []int `json:"done,omitempty"`
	// Failures holds the numbers of the failed runs of a task by its index. An end
	// that is stored but not acknowledged is listed to the next owner again, and
	// must not count twice.
	Failures map[int][]int `json:"failures,omitempty"`
}

// Encode returns the record as it is stored. A final record keeps no steps
// that nothing needs any more.
func (r *Record) Encode() (value []byte, err error) {
	defer fault.Annotate(&err, "job: encode record")
	stored := *r
	if r.State == Completed || r.State == Failed {
		stored.Spec, stored.Steps, stored.Progress = "", nil, nil
	}
	value, err = json.Marshal(&stored)
	return value, err
}

// Decode reads a stored record.
func Decode(value []byte) (r Record, err error) {
	defer fault.Annotate(&err, "job: decode record")
	err = json.Unmarshal(value, &r)
	return r, err
}
