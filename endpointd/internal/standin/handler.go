package standin

import (
	"context"
	"errors"
	"net/http"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/endpointd/internal/worker"
)

// handler implements the endpoint API for a worker.
type handler struct {
	worker *worker.Worker
}

// GetStatus returns the state of the endpoint.
func (h handler) GetStatus(context.Context) (*endpointapi.Status, error) {
	return h.worker.Status()
}

// StartDrain makes the endpoint refuse new tasks.
func (h handler) StartDrain(context.Context) (*endpointapi.Status, error) {
	return h.worker.StartDrain()
}

// CancelDrain makes the endpoint accept new tasks again.
func (h handler) CancelDrain(context.Context) (*endpointapi.Status, error) {
	return h.worker.CancelDrain()
}

// Reboot reboots a drained endpoint.
func (h handler) Reboot(context.Context) (*endpointapi.Status, error) {
	return h.worker.Reboot()
}

// RunTask runs a task once and waits until it has ended.
func (h handler) RunTask(ctx context.Context, order *endpointapi.Task, p endpointapi.RunTaskParams) (*endpointapi.TaskResult, error) {
	return h.worker.Run(ctx, p.ID, order)
}

// GetTask returns the result of a task.
func (h handler) GetTask(_ context.Context, p endpointapi.GetTaskParams) (*endpointapi.TaskResult, error) {
	return h.worker.Get(p.ID)
}

// StopTask stops or fences a task.
func (h handler) StopTask(_ context.Context, p endpointapi.StopTaskParams) (*endpointapi.TaskResult, error) {
	return h.worker.Stop(p.ID, p.FenceUntil, p.OnlyIfNotStarted.Or(false))
}

// CheckpointTask saves the progress of a task and frees its slots.
func (h handler) CheckpointTask(_ context.Context, p endpointapi.CheckpointTaskParams) (*endpointapi.TaskResult, error) {
	return h.worker.Checkpoint(p.ID)
}

// NewError converts a refusal to its HTTP status. For any other error it aborts
// the connection, because the caller has disconnected before the task ended.
func (h handler) NewError(_ context.Context, err error) *endpointapi.ErrorStatusCode {
	var refusal *worker.RefusalError
	if !errors.As(err, &refusal) {
		panic(http.ErrAbortHandler)
	}
	return &endpointapi.ErrorStatusCode{
		StatusCode: statusOf(refusal.Code),
		Response:   endpointapi.Error{Code: refusal.Code, Message: refusal.Message},
	}
}

func statusOf(code endpointapi.RefusalCode) int {
	switch code {
	case endpointapi.RefusalCodeInvalid:
		return http.StatusBadRequest
	case endpointapi.RefusalCodeBusy, endpointapi.RefusalCodeLeaving:
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}
