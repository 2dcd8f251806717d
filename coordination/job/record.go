package job

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

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
	// Progress holds one element for each step in which a task is done, has failed or ran on
	// an endpoint that was lost.
	Progress []Progress `json:"progress,omitempty"`
	// EndedAt is the time at which the state became final, in Unix milliseconds.
	EndedAt int64 `json:"endedAt,omitempty"`
	// Revision is the store's revision of the record that this one was read from or
	// replaces; 0 means that the store has none.
	Revision int64 `json:"-"`
	// StoredBytes is the length of the stored record of that revision, 0 if it is not known.
	StoredBytes int `json:"-"`
}

// ErrTooLong means that a record is longer than the store accepts.
var ErrTooLong = errors.New("job: the record is too long")

// NewTombstone returns the record of a job that was cancelled before it was stored. A write that creates
// the job needs a key that does not exist, so that it fails while the tombstone has the key.
func NewTombstone(id, organisation string, at time.Time) (r Record) {
	return Record{Job: Job{ID: id, Organisation: organisation}, State: Cancelled, EndedAt: at.UnixMilli()}
}

// IsTombstone reports whether the job was cancelled before it was stored. The records of other cancelled
// jobs keep their steps.
func (r *Record) IsTombstone() bool {
	return r.State == Cancelled && len(r.Steps) == 0
}

// Progress holds the done tasks, the failed runs and the lost endpoints of one step.
type Progress struct {
	Occurrence int   `json:"occurrence,omitempty"`
	Step       int   `json:"step,omitempty"`
	Done       []int `json:"done,omitempty"`
	// Failures maps the index of a task to the numbers of its failed runs. The numbers
	// prevent double counting: if the owner is replaced after it stored a failure but
	// before it acknowledged the end, the endpoint reports the end to the next owner
	// again.
	Failures map[int][]int `json:"failures,omitempty"`
	// Dropped maps the index of a task to the failed runs that Failures no longer has.
	Dropped map[int]Dropped `json:"dropped,omitempty"`
	// Crashes maps the index of a task to the endpoints that were lost under it.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
}

// Dropped counts failed runs of a task of which only the highest number is kept. A run that is reported again
// with this number or a lower one counts as one of them.
type Dropped struct {
	Count int `json:"count"`
	Last  int `json:"last"`
}

// Crash is the loss of an endpoint on which a young run of a task was active.
type Crash struct {
	// Run is the number of the run. It prevents double counting by successive owners.
	Run int `json:"run"`
	// Endpoint, Incarnation and Instance identify the process that was lost.
	Endpoint    string `json:"endpoint"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Instance    string `json:"instance,omitempty"`
	// Confirmed is set once another process answers in its place. Until then the endpoint
	// may only be unreachable.
	Confirmed bool `json:"confirmed,omitempty"`
	// Started is set if the endpoint had confirmed the start of the run. Reached is set if it
	// ended the connection of the order instead: it may have been lost before.
	Started bool `json:"started,omitempty"`
	Reached bool `json:"reached,omitempty"`
	// Silent is set if the endpoint did not end its connections, as a crashed process does.
	Silent bool `json:"silent,omitempty"`
	// AtStart is set if the run was not known to have outlived its start.
	AtStart bool `json:"atStart,omitempty"`
	// Sole is set if no task of another job may have caused the loss.
	Sole bool `json:"sole,omitempty"`
}

// Encode returns the record in its stored format. It leaves out the spec, steps and
// progress of completed and failed jobs, which are no longer needed.
func (r *Record) Encode() (value []byte, err error) {
	defer fault.Annotate(&err, "job: encode record")
	stored := struct {
		Record
		compactProgress
	}{Record: *r}
	if r.State == Completed || r.State == Failed {
		stored.Spec, stored.Steps, stored.Progress = "", nil, nil
	}
	if countEntries(stored.Progress) > maxPlainEntries {
		stored.compactProgress, stored.Progress = r.compact()
	}
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	// Escapes of letters that only matter in HTML would make names up to six times as long.
	e.SetEscapeHTML(false)
	err = e.Encode(&stored)
	return bytes.TrimSuffix(text.Bytes(), []byte{'\n'}), err
}

// EncodeWithin is Encode for a store that accepts values up to a length. A record that is longer is stored without the
// lost endpoints, which are only hints; the error is ErrTooLong if it still is.
func (r *Record) EncodeWithin(limit int) (value []byte, shortened bool, err error) {
	if value, err = r.Encode(); err != nil || len(value) <= limit {
		return value, false, err
	}
	short := *r
	short.Progress = slices.Clone(r.Progress)
	for i := range short.Progress {
		short.Progress[i].Crashes = nil
	}
	if value, err = short.Encode(); err == nil && len(value) > limit {
		return nil, false, errors.Wrapf(ErrTooLong, "%d bytes, above %d", len(value), limit)
	}
	return value, true, err
}

// Bounds of what a record grows by after its job was accepted, in bytes, without lost endpoints.
const (
	// rangeBytes is what a task takes at most in a range, and plainBytes in a list of a step of its own.
	rangeBytes = 6
	plainBytes = 60
	// recordBytes is what a record takes beside its job, and the numbers of its failed runs.
	recordBytes = 2048
	// maxKeptFailures and maxKeptFailuresOfJob limit the failed runs that are kept of a task and of a job.
	maxKeptFailures      = 8
	maxKeptFailuresOfJob = 60_000
)

// KeptFailures returns how many failed runs are kept of a task; earlier ones are only counted.
func (j *Job) KeptFailures() (count int) {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return max(1, min(maxKeptFailures, maxKeptFailuresOfJob/max(1, tasks*j.Occurrences())))
}

// FitsRecord reports whether a store that accepts values up to a length takes the record of a new job until its end.
func (j *Job) FitsRecord(limit int) bool {
	tasks, texts, dependencies := 0, len(j.Spec)+len(j.Queue)+len(j.Pool)+len(j.Organisation)+len(j.DataCentre), 0
	for i := range j.Steps {
		s := &j.Steps[i]
		tasks += s.Count
		texts += len(s.RequiredLabel) + len(s.DataRack) + len(s.Image)
		dependencies += len(s.DependsOn)
	}
	tasks *= j.Occurrences()
	entries := 1
	if j.MaxAttempts > 1 {
		entries = max(1, min(j.MaxAttempts-1, j.KeptFailures()))
		if j.MaxAttempts-1 > entries {
			entries++
		}
	}
	growth := recordBytes + tasks*entries*rangeBytes + min(tasks*entries, maxPlainEntries)*plainBytes
	// A letter takes up to six bytes, and a step has 15 more fields of up to 40.
	const letterBytes, stepBytes, dependencyBytes = 6, 600, 7
	if growth+texts*letterBytes+len(j.Steps)*stepBytes+dependencies*dependencyBytes <= limit {
		return true
	}
	r := Record{Job: *j, State: Queued}
	value, err := r.Encode()
	return err == nil && growth+len(value) <= limit
}

// Decode parses the stored record of a revision and rejects one that names steps or
// tasks which the job does not have.
func Decode(value []byte, revision int64) (r Record, err error) {
	defer fault.Annotate(&err, "job: decode record")
	var ranges storedRanges
	if err = r.decode(value, &ranges); err != nil {
		return Record{}, err
	}
	if err = r.validate(); err != nil {
		return Record{}, err
	}
	if len(r.Steps) > 0 {
		if err = r.expand(&ranges); err != nil {
			return Record{}, err
		}
	}
	r.Bound()
	r.Revision, r.StoredBytes = revision, len(value)
	return r, nil
}

// validate returns an error if the state is unknown or if an index is out of range.
// Steps are left out of the records of ended jobs.
func (r *Record) validate() error {
	if r.State != Queued && r.State != Running && !r.State.Terminal() {
		return errors.Errorf("state %q is unknown", r.State)
	}
	if len(r.Steps) == 0 && r.State.Terminal() {
		return nil
	}
	if err := r.Validate(); err != nil {
		return err
	}
	return r.CheckProgress(r.Progress)
}

// CheckProgress returns an error if progress names steps or tasks that the job does not have.
func (r *Record) CheckProgress(progress []Progress) (err error) {
	for _, p := range progress {
		if err = p.validate(&r.Job); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an error if an index is not one of the job.
func (p *Progress) validate(j *Job) error {
	if p.Occurrence < 0 || p.Occurrence >= j.Occurrences() || p.Step < 0 || p.Step >= len(j.Steps) {
		return errors.Errorf("progress of step %d in occurrence %d, which the job does not have", p.Step, p.Occurrence)
	}
	tasks := j.Steps[p.Step].Count
	for _, i := range p.Done {
		if i < 0 || i >= tasks {
			return errors.Errorf("step %d has %d tasks, and task %d is said to be done", p.Step, tasks, i)
		}
	}
	for i := range p.Failures {
		if i < 0 || i >= tasks {
			return errors.Errorf("step %d has %d tasks, and task %d is said to have failed", p.Step, tasks, i)
		}
	}
	for i := range p.Dropped {
		if i < 0 || i >= tasks {
			return errors.Errorf("step %d has %d tasks, and task %d is said to have failed", p.Step, tasks, i)
		}
	}
	for i := range p.Crashes {
		if i < 0 || i >= tasks {
			return errors.Errorf("step %d has %d tasks, and task %d has crashes of endpoints", p.Step, tasks, i)
		}
	}
	return nil
}
