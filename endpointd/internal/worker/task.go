package worker

import (
	"context"
	"errors"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// defaultRun is the run time of a task that declares none.
const defaultRun = 100 * time.Millisecond

var (
	errLeaseEnded   = errors.New("the lease ended")
	errStopped      = errors.New("stopped on request")
	errCheckpointed = errors.New("progress saved on request")
)

type task struct {
	id      string
	slots   int
	need    time.Duration
	fails   bool
	payload string
	state   endpointapi.TaskState
	answer  string
	message string
	// progress is the run time saved by a checkpoint.
	progress  time.Duration
	startedAt time.Time
	interrupt context.CancelCauseFunc
	ended     chan struct{}
}

// Run runs a task once and waits for its end, or for the end of ctx, which
// leaves the task running; a call with a known id joins the first.
func (w *Worker) Run(ctx context.Context, id string, order *endpointapi.Task) (result *endpointapi.TaskResult, err error) {
	t, err := w.enter(ctx, id, order)
	if err != nil {
		return nil, err
	}
	defer w.leave()
	select {
	case <-t.ended:
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return t.result(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Get returns what is known of a task.
func (w *Worker) Get(id string) (result *endpointapi.TaskResult, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.boot(time.Now())
	return w.result(id), nil
}

// Stop stops a running task unless onlyIfNotStarted is set, and refuses the
// start of one that never started until the fence's deadline.
func (w *Worker) Stop(id string, fenceUntil time.Time, onlyIfNotStarted bool) (result *endpointapi.TaskResult, err error) {
	w.mutex.Lock()
	w.boot(time.Now())
	t, known := w.tasks[id]
	if !known && w.fences[id].Before(fenceUntil) {
		w.fences[id] = fenceUntil
	}
	w.mutex.Unlock()
	if known && !onlyIfNotStarted {
		w.interrupt(t, errStopped)
	}
	return w.Get(id)
}

// Checkpoint saves the progress of a running task and frees its slots.
func (w *Worker) Checkpoint(id string) (result *endpointapi.TaskResult, err error) {
	w.mutex.Lock()
	w.boot(time.Now())
	t, known := w.tasks[id]
	w.mutex.Unlock()
	if !known {
		return nil, refusef(endpointapi.RefusalCodeInvalid, "task %q never started here", id)
	}
	w.interrupt(t, errCheckpointed)
	return w.Get(id)
}

// interrupt ends the run of a task and waits until it has ended.
func (w *Worker) interrupt(t *task, cause error) {
	w.mutex.Lock()
	if t.state == endpointapi.TaskStateCheckpointed && errors.Is(cause, errStopped) {
		t.state, t.message = endpointapi.TaskStateStopped, cause.Error()
	}
	interrupt, ended := t.interrupt, t.ended
	w.mutex.Unlock()
	interrupt(cause)
	<-ended
}

// enter returns the task of that id, which it starts unless it is known.
func (w *Worker) enter(ctx context.Context, id string, order *endpointapi.Task) (t *task, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.boot(now)
	if w.waiting >= w.Connections {
		return nil, refusef(endpointapi.RefusalCodeBusy, "all %d connections are in use", w.Connections)
	}
	t, known := w.tasks[id]
	if !known || t.state == endpointapi.TaskStateCheckpointed {
		if err := w.check(id, order, now); err != nil {
			return nil, err
		}
		t = w.start(ctx, id, order, now)
	}
	w.waiting++
	return t, nil
}

func (w *Worker) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiting--
}

// check returns why a task must not start now.
func (w *Worker) check(id string, order *endpointapi.Task, now time.Time) (err error) {
	switch {
	case w.otherFence(id):
		return refusef(endpointapi.RefusalCodeFenced, "task %q is meant for another fence than %d", id, w.fence)
	case now.Before(w.fences[id]):
		return refusef(endpointapi.RefusalCodeFenced, "task %q is fenced until %s", id, w.fences[id].Format(time.RFC3339Nano))
	case !now.Before(order.LeaseUntil):
		return refusef(endpointapi.RefusalCodeLeaseEnded, "the lease of task %q ended at %s", id, order.LeaseUntil.Format(time.RFC3339Nano))
	case w.state != endpointapi.EndpointStateServing:
		return refusef(endpointapi.RefusalCodeLeaving, "endpoint %s is %s", w.Name, w.state)
	case order.Slots > w.Slots:
		return refusef(endpointapi.RefusalCodeInvalid, "slots: the task needs %d, the endpoint has %d", order.Slots, w.Slots)
	case w.slotsInUse()+order.Slots > w.Slots:
		return refusef(endpointapi.RefusalCodeBusy, "%d of %d slots are in use", w.slotsInUse(), w.Slots)
	}
	return nil
}

// start begins a new task, or goes on with a checkpointed one.
func (w *Worker) start(ctx context.Context, id string, order *endpointapi.Task, now time.Time) (t *task) {
	t = &task{id: id, slots: order.Slots, payload: order.Payload.Or("")}
	kind := Started
	if old, known := w.tasks[id]; known {
		t.progress, kind = old.progress, Resumed
	}
	t.need = w.runTime(order) - t.progress
	t.fails = w.faults.FailEveryTask
	t.state = endpointapi.TaskStateRunning
	t.startedAt = now
	t.ended = make(chan struct{})
	w.tasks[id] = t
	w.record(Event{Task: id, Kind: kind, Member: order.Member, Slots: order.Slots})
	ctx, t.interrupt = context.WithCancelCause(context.WithoutCancel(ctx))
	go w.run(ctx, t, order.LeaseUntil)
	return t
}

func (w *Worker) runTime(order *endpointapi.Task) (need time.Duration) {
	need = defaultRun
	if order.RunMillis.Set {
		need = time.Duration(order.RunMillis.Value) * time.Millisecond
	}
	if w.faults.WrongSizes > 0 {
		need = time.Duration(float64(need) * w.faults.WrongSizes)
	}
	if w.faults.Hang {
		need = 365 * 24 * time.Hour
	}
	return need
}

// run waits for the task's run time, its lease or an interruption, whichever is
// first, and closes t.ended.
func (w *Worker) run(ctx context.Context, t *task, leaseUntil time.Time) {
	defer close(t.ended)
	defer t.interrupt(nil)
	ctx, cancel := context.WithDeadlineCause(ctx, leaseUntil, errLeaseEnded)
	defer cancel()
	if t.fails {
		w.finish(t, endpointapi.TaskStateFailed, "the task failed")
		return
	}
	timer := time.NewTimer(t.need)
	defer timer.Stop()
	select {
	case <-timer.C:
		w.finish(t, endpointapi.TaskStateDone, "")
	case <-ctx.Done():
		state := endpointapi.TaskStateStopped
		if errors.Is(context.Cause(ctx), errCheckpointed) {
			state = endpointapi.TaskStateCheckpointed
		}
		w.finish(t, state, context.Cause(ctx).Error())
	}
}

func (w *Worker) finish(t *task, state endpointapi.TaskState, message string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	t.state, t.message = state, message
	t.progress += time.Since(t.startedAt)
	if state == endpointapi.TaskStateDone {
		t.answer = "echo:" + t.payload
	}
	w.record(Event{Task: t.id, Kind: Ended, State: string(state), Answer: t.answer, Message: message})
}
