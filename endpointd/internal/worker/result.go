package worker

import (
	"strconv"
	"strings"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// result returns what is known of an id. A task of an earlier incarnation counts
// as stopped, because this one cannot know whether it had started.
func (w *Worker) result(id string) *endpointapi.TaskResult {
	if t, known := w.tasks[id]; known {
		return t.result()
	}
	if w.otherIncarnation(id) {
		return &endpointapi.TaskResult{
			ID:      id,
			State:   endpointapi.TaskStateStopped,
			Message: endpointapi.NewOptString("the endpoint has restarted since"),
		}
	}
	return &endpointapi.TaskResult{ID: id, State: endpointapi.TaskStateNeverStarted}
}

func (t *task) result() *endpointapi.TaskResult {
	r := &endpointapi.TaskResult{ID: t.id, State: t.state}
	if t.state == endpointapi.TaskStateDone {
		r.Answer = endpointapi.NewOptString(t.answer)
	}
	if t.message != "" {
		r.Message = endpointapi.NewOptString(t.message)
	}
	return r
}

// otherIncarnation tells whether the id names an incarnation that is not this.
func (w *Worker) otherIncarnation(id string) bool {
	at := strings.LastIndex(id, "@")
	if at < 0 {
		return false
	}
	meant, err := strconv.ParseInt(id[at+1:], 10, 64)
	return err == nil && meant != w.incarnation
}
