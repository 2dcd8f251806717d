package worker

import (
	"context"
	"errors"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// defaultRunTime is the run time of a task that declares none.
const defaultRunTime = 100 * time.Millisecond

var (
	errLeaseEnded   = errors.New("the lease ended")
	errStopped      = errors.New("stopped on request")
	errCheckpointed = errors.New("progress saved on request")
)

type task struct {
	id        string
	slots     int
	remaining time.Duration
	mustFail  bool
	payload   string
	state     endpointapi.TaskState
	answer    string
	message   string
	// progress is the run time before the last checkpoint or the end of the task.
	progress  time.Duration
	startedAt time.Time
	cancelRun context.CancelCauseFunc
	ended     chan struct{}
}

// Run runs a task and waits until it has ended. If ctx ends first, the task keeps
// running. A call with the id of a known task joins its run.
func (w *Worker) Run(ctx context.Context, id string, order *endpointapi.Task) (result *endpointapi.TaskResult, err error) {
	t, err := w.joinOrStart(ctx, id, order)
	if err != nil {
		return nil, err
	}
	defer w.releaseConnection()
	select {
	case <-t.ended:
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return t.result(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Get returns the result of a task.
func (w *Worker) Get(id string) (result *endpointapi.TaskResult, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bootIfDue(time.Now())
	return w.taskResult(id), nil
}

// Stop stops a running task unless onlyIfNotStarted is set. A task that never
// started is fenced: its start is refused until fenceUntil.
func (w *Worker) Stop(id string, fenceUntil time.Time, onlyIfNotStarted bool) (result *endpointapi.TaskResult, err error) {
	w.mutex.Lock()
	w.bootIfDue(time.Now())
	t, known := w.tasks[id]
	if !known && w.fencedUntil[id].Before(fenceUntil) {
		w.fencedUntil[id] = fenceUntil
	}
	w.mutex.Unlock()
	if known && !onlyIfNotStarted {
		w.interruptTask(t, errStopped)
	}
	return w.Get(id)
}

// Checkpoint saves the progress of a running task and frees its slots.
func (w *Worker) Checkpoint(id string) (result *endpointapi.TaskResult, err error) {
	w.mutex.Lock()
	w.bootIfDue(time.Now())
	t, known := w.tasks[id]
	w.mutex.Unlock()
	if !known {
		return nil, refusalf(endpointapi.RefusalCodeInvalid, "task %q never started here", id)
	}
	w.interruptTask(t, errCheckpointed)
	return w.Get(id)
}

// interruptTask cancels the run of a task and waits until it has ended.
func (w *Worker) interruptTask(t *task, cause error) {
	w.mutex.Lock()
	if t.state == endpointapi.TaskStateCheckpointed && errors.Is(cause, errStopped) {
		t.state, t.message = endpointapi.TaskStateStopped, cause.Error()
	}
	cancel, ended := t.cancelRun, t.ended
	w.mutex.Unlock()
	cancel(cause)
	<-ended
}

// joinOrStart returns the task with the id. It starts the task if it is unknown or
// checkpointed.
func (w *Worker) joinOrStart(ctx context.Context, id string, order *endpointapi.Task) (t *task, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.bootIfDue(now)
	if w.connectionsInUse >= w.Connections {
		return nil, refusalf(endpointapi.RefusalCodeBusy, "all %d connections are in use", w.Connections)
	}
	t, known := w.tasks[id]
	if !known || t.state == endpointapi.TaskStateCheckpointed {
		if err := w.checkStart(id, order, now); err != nil {
			return nil, err
		}
		t = w.startTask(ctx, id, order, now)
	}
	w.connectionsInUse++
	return t, nil
}

func (w *Worker) releaseConnection() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.connectionsInUse--
}

// checkStart returns an error if the task must not start now.
func (w *Worker) checkStart(id string, order *endpointapi.Task, now time.Time) (err error) {
	switch {
	case w.namesOtherFence(id):
		return refusalf(endpointapi.RefusalCodeFenced, "task %q is meant for another fence than %d", id, w.fence)
	case now.Before(w.fencedUntil[id]):
		return refusalf(endpointapi.RefusalCodeFenced, "task %q is fenced until %s", id, w.fencedUntil[id].Format(time.RFC3339Nano))
	case !now.Before(order.LeaseUntil):
		return refusalf(endpointapi.RefusalCodeLeaseEnded, "the lease of task %q ended at %s", id, order.LeaseUntil.Format(time.RFC3339Nano))
	case w.state != endpointapi.EndpointStateServing:
		return refusalf(endpointapi.RefusalCodeLeaving, "endpoint %s is %s", w.Name, w.state)
	case order.Slots > w.Slots:
		return refusalf(endpointapi.RefusalCodeInvalid, "slots: the task needs %d, the endpoint has %d", order.Slots, w.Slots)
	case w.slotsInUse()+order.Slots > w.Slots:
		return refusalf(endpointapi.RefusalCodeBusy, "%d of %d slots are in use", w.slotsInUse(), w.Slots)
	}
	return nil
}

// startTask starts a new task or resumes a checkpointed one.
func (w *Worker) startTask(ctx context.Context, id string, order *endpointapi.Task, now time.Time) (t *task) {
	t = &task{id: id, slots: order.Slots, payload: order.Payload.Or("")}
	kind := Started
	if checkpointed, known := w.tasks[id]; known {
		t.progress, kind = checkpointed.progress, Resumed
	}
	t.remaining = w.runTime(order) - t.progress
	t.mustFail = w.faults.FailEveryTask
	t.state = endpointapi.TaskStateRunning
	t.startedAt = now
	t.ended = make(chan struct{})
	w.tasks[id] = t
	w.recordEvent(Event{Task: id, Kind: kind, Member: order.Member, Slots: order.Slots})
	ctx, t.cancelRun = context.WithCancelCause(context.WithoutCancel(ctx))
	go w.runTask(ctx, t, order.LeaseUntil)
	return t
}

func (w *Worker) runTime(order *endpointapi.Task) (duration time.Duration) {
	duration = defaultRunTime
	if order.RunMillis.Set {
		duration = time.Duration(order.RunMillis.Value) * time.Millisecond
	}
	if w.faults.WrongSizes > 0 {
		duration = time.Duration(float64(duration) * w.faults.WrongSizes)
	}
	if w.faults.Hang {
		duration = 365 * 24 * time.Hour
	}
	return duration
}

// runTask ends the task after its run time, at the end of its lease or when it is
// cancelled, whichever comes first, and closes t.ended.
func (w *Worker) runTask(ctx context.Context, t *task, leaseUntil time.Time) {
	defer close(t.ended)
	defer t.cancelRun(nil)
	ctx, cancel := context.WithDeadlineCause(ctx, leaseUntil, errLeaseEnded)
	defer cancel()
	if t.mustFail {
		w.finishTask(t, endpointapi.TaskStateFailed, "the task failed")
		return
	}
	timer := time.NewTimer(t.remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		w.finishTask(t, endpointapi.TaskStateDone, "")
	case <-ctx.Done():
		state := endpointapi.TaskStateStopped
		if errors.Is(context.Cause(ctx), errCheckpointed) {
			state = endpointapi.TaskStateCheckpointed
		}
		w.finishTask(t, state, context.Cause(ctx).Error())
	}
}

func (w *Worker) finishTask(t *task, state endpointapi.TaskState, message string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	t.state, t.message = state, message
	t.progress += time.Since(t.startedAt)
	if state == endpointapi.TaskStateDone {
		t.answer = "echo:" + t.payload
	}
	w.recordEvent(Event{Task: t.id, Kind: Ended, State: string(state), Answer: t.answer, Message: message})
}
