package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// ownerSummary is the part of an entry's summary that tells what is expected of a job.
type ownerSummary struct {
	Name    string          `json:"name"`
	Owner   string          `json:"owner"`
	Manager json.RawMessage `json:"manager"`
	Job     *jobSummary     `json:"job"`
}

type jobSummary struct {
	Job            string      `json:"job"`
	Queue          string      `json:"queue"`
	Pool           string      `json:"pool"`
	State          string      `json:"state"`
	Steps          []stepTimes `json:"steps"`
	StartsInMillis *int64      `json:"startsInMillis"`
	EndsInMillis   *int64      `json:"endsInMillis"`
	Reason         string      `json:"reason"`
	QueueTimes     *times      `json:"queueTimes"`
}

type stepTimes struct {
	Tasks   int `json:"tasks"`
	Done    int `json:"done"`
	Running int `json:"running"`
	times
}

type times struct {
	MedianMillis int64  `json:"medianMillis"`
	P90Millis    int64  `json:"p90Millis"`
	Key          string `json:"key"`
	Runs         int    `json:"runs"`
}

// String returns the times in the format of explain.
func (t times) String() string {
	return fmt.Sprintf("median=%s p90=%s runs=%d key=%s", fromMillis(t.MedianMillis), fromMillis(t.P90Millis), t.Runs, t.Key)
}

// readExpected reads a summary of an entry from a file, and returns what it expects of the job.
func readExpected(id, name string) (j *jobSummary, err error) {
	data, err := os.ReadFile(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	var s ownerSummary
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrapf(err, "%s is no summary of an entry", name)
	}
	switch {
	case s.Job != nil && s.Job.Job == id:
		return s.Job, nil
	case len(s.Manager) == 0 && s.Owner != "" && s.Owner != s.Name:
		return nil, errors.Errorf("%s does not manage jobs, ask %s", s.Name, s.Owner)
	}
	return nil, errors.Errorf("%s has no unfinished job %q", name, id)
}

// print writes what is expected of the job.
func (j *jobSummary) print(out io.Writer) {
	fmt.Fprintf(out, "expected: queue=%s pool=%s state=%s", j.Queue, j.Pool, j.State)
	if j.StartsInMillis != nil {
		fmt.Fprintf(out, " startsIn=%s", fromMillis(*j.StartsInMillis))
	}
	if j.EndsInMillis != nil {
		fmt.Fprintf(out, " endsIn=%s", fromMillis(*j.EndsInMillis))
	}
	if j.Reason != "" {
		fmt.Fprintf(out, " reason=%s", j.Reason)
	}
	fmt.Fprintln(out)
	for i, st := range j.Steps {
		fmt.Fprintf(out, "  step %d: %s tasks=%d running=%d done=%d\n", i, st.times, st.Tasks, st.Running, st.Done)
	}
	if j.QueueTimes != nil {
		fmt.Fprintf(out, "  queue %s: %s\n", j.Queue, j.QueueTimes)
	}
}

func fromMillis(millis int64) time.Duration {
	return time.Duration(millis) * time.Millisecond
}
