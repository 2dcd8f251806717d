package worker

import (
	"strconv"
	"strings"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// taskResult returns the result of a task. A task whose id names a fence from
// before the last reboot is reported as stopped, because the endpoint no longer
// has a record of whether it started.
func (w *Worker) taskResult(id string) *endpointapi.TaskResult {
	if t, known := w.tasks[id]; known {
		return t.result()
	}
	if fence, hasFence := parseFence(id); hasFence && fence < w.incarnation {
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

// parseFence returns the fence that a task id names.
func parseFence(id string) (fence int64, hasFence bool) {
	at := strings.LastIndex(id, "@")
	if at < 0 {
		return 0, false
	}
	fence, err := strconv.ParseInt(id[at+1:], 10, 64)
	return fence, err == nil
}

// namesOtherFence reports whether the id names a fence other than the current one.
func (w *Worker) namesOtherFence(id string) bool {
	fence, hasFence := parseFence(id)
	return hasFence && fence != w.fence
}
