package worker

import (
	"slices"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// Worker is one simulated endpoint; Name, Slots and Connections are set before
// use.
type Worker struct {
	Name string
	// Slots is how many tasks of size one can run at once.
	Slots int
	// Connections is how many calls can wait for the end of a task at once.
	Connections int
	// RebootTime is how long the endpoint is unreachable during a reboot.
	RebootTime time.Duration

	mutex sync.Mutex
	state endpointapi.EndpointState
	// fence rises with each incarnation and each end of a drain.
	fence            int64
	incarnation      int64
	rebootUntil      time.Time
	connectionsInUse int
	tasks            map[string]*task
	fencedUntil      map[string]time.Time
	history          []Event
	faults           Faults
	usage            []endpointapi.Usage
	measuredAt       time.Time
}

// Status returns the state of the endpoint, with the usage of the last Measure.
func (w *Worker) Status() (s *endpointapi.Status, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bootIfDue(time.Now())
	return w.currentStatus(), nil
}

// StartDrain makes the endpoint refuse new tasks.
func (w *Worker) StartDrain() (s *endpointapi.Status, err error) {
	return w.setState(endpointapi.EndpointStateDraining)
}

// CancelDrain makes the endpoint accept new tasks again.
func (w *Worker) CancelDrain() (s *endpointapi.Status, err error) {
	return w.setState(endpointapi.EndpointStateServing)
}

// Reboot starts the reboot of an endpoint that is draining and runs no task.
func (w *Worker) Reboot() (s *endpointapi.Status, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.bootIfDue(now)
	if w.state != endpointapi.EndpointStateDraining {
		return nil, refusalf(endpointapi.RefusalCodeNotDrained, "endpoint %s is %s, not draining", w.Name, w.state)
	}
	if running := w.runningTasks(); len(running) > 0 {
		return nil, refusalf(endpointapi.RefusalCodeNotDrained, "endpoint %s still runs %d tasks", w.Name, len(running))
	}
	w.state = endpointapi.EndpointStateRebooting
	w.rebootUntil = now.Add(w.RebootTime)
	w.tasks, w.fencedUntil, w.usage = nil, nil, nil
	return w.currentStatus(), nil
}

// Rebooting reports whether the endpoint is unreachable because of a reboot.
func (w *Worker) Rebooting() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bootIfDue(time.Now())
	return w.state == endpointapi.EndpointStateRebooting
}

// Measure records the usage that Status reports until the next measurement.
func (w *Worker) Measure() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.bootIfDue(now)
	w.usage = nil
	w.measuredAt = now
	for _, id := range w.runningTasks() {
		t := w.tasks[id]
		used := t.progress + now.Sub(t.startedAt)
		w.usage = append(w.usage, endpointapi.Usage{Task: id, Slots: t.slots, RunMillis: int(used.Milliseconds())})
	}
	for id, until := range w.fencedUntil {
		if now.After(until) {
			delete(w.fencedUntil, id)
		}
	}
}

func (w *Worker) setState(to endpointapi.EndpointState) (s *endpointapi.Status, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.bootIfDue(now)
	if w.state == endpointapi.EndpointStateDraining && to == endpointapi.EndpointStateServing {
		w.advanceFence(now)
	}
	w.state = to
	return w.currentStatus(), nil
}

// bootIfDue starts the first incarnation, and a new one when a reboot has ended.
// Incarnations are numbered by their start time, so that the number also rises
// when the process restarts.
func (w *Worker) bootIfDue(now time.Time) {
	first := w.incarnation == 0
	rebooted := w.state == endpointapi.EndpointStateRebooting && !now.Before(w.rebootUntil)
	if !first && !rebooted {
		return
	}
	w.state = endpointapi.EndpointStateServing
	w.advanceFence(now)
	w.incarnation = w.fence
	w.tasks = make(map[string]*task)
	w.fencedUntil = make(map[string]time.Time)
	w.measuredAt = now
}

// advanceFence raises the fence, so that tasks that name an earlier one are
// refused.
func (w *Worker) advanceFence(now time.Time) {
	w.fence = max(w.fence+1, now.UnixMilli())
}

func (w *Worker) currentStatus() *endpointapi.Status {
	return &endpointapi.Status{
		Name:        w.Name,
		State:       w.state,
		Incarnation: w.incarnation,
		Fence:       w.fence,
		Slots:       w.Slots,
		Connections: w.Connections,
		Running:     w.runningTasks(),
		Usage:       w.usage,
		ReportedAt:  w.measuredAt,
	}
}

func (w *Worker) runningTasks() (ids []string) {
	ids = []string{}
	for id, t := range w.tasks {
		if t.state == endpointapi.TaskStateRunning {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Worker) slotsInUse() (used int) {
	for _, t := range w.tasks {
		if t.state == endpointapi.TaskStateRunning {
			used += t.slots
		}
	}
	return used
}
