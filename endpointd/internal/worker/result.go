package worker

import (
	"strconv"
	"strings"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// result returns what is known of an id. A task meant for a time before the last
// reboot counts as stopped, because it cannot be known whether it had started.
func (w *Worker) result(id string) *endpointapi.TaskResult {
	if t, known := w.tasks[id]; known {
		return t.result()
	}
	if fence, named := fenceOf(id); named && fence < w.incarnation {
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

// fenceOf returns the fence that an id names.
func fenceOf(id string) (fence int64, named bool) {
	at := strings.LastIndex(id, "@")
	if at < 0 {
		return 0, false
	}
	fence, err := strconv.ParseInt(id[at+1:], 10, 64)
	return fence, err == nil
}

// otherFence tells whether the id names a fence that is not the present one.
func (w *Worker) otherFence(id string) bool {
	fence, named := fenceOf(id)
	return named && fence != w.fence
}
