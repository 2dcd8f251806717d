package worker

import (
	"slices"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// Worker is one endpoint; Name, Slots and Connections are set before use.
type Worker struct {
	Name string
	// Slots is how many tasks of size one run at once.
	Slots int
	// Connections is how many calls may wait for a task's end at once.
	Connections int
	// RebootTime is how long a reboot keeps the endpoint out of reach.
	RebootTime time.Duration

	mutex sync.Mutex
	state endpointapi.EndpointState
	// fence rises with each incarnation and each end of a drain.
	fence       int64
	incarnation int64
	rebootUntil time.Time
	waiting     int
	tasks       map[string]*task
	fences      map[string]time.Time
	history     []Event
	faults      Faults
	usage       []endpointapi.Usage
	measuredAt  time.Time
}

// Status returns the endpoint's state; its usage is that of the last Measure.
func (w *Worker) Status() (s *endpointapi.Status, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.boot(time.Now())
	return w.status(), nil
}

// StartDrain makes the endpoint refuse new tasks.
func (w *Worker) StartDrain() (s *endpointapi.Status, err error) {
	return w.setState(endpointapi.EndpointStateDraining)
}

// CancelDrain makes the endpoint take new tasks again.
func (w *Worker) CancelDrain() (s *endpointapi.Status, err error) {
	return w.setState(endpointapi.EndpointStateServing)
}

// Reboot ends the incarnation of an endpoint that is draining and idle.
func (w *Worker) Reboot() (s *endpointapi.Status, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.boot(now)
	if w.state != endpointapi.EndpointStateDraining {
		return nil, refusef(endpointapi.RefusalCodeNotDrained, "endpoint %s is %s, not draining", w.Name, w.state)
	}
	if running := w.running(); len(running) > 0 {
		return nil, refusef(endpointapi.RefusalCodeNotDrained, "endpoint %s still runs %d tasks", w.Name, len(running))
	}
	w.state = endpointapi.EndpointStateRebooting
	w.rebootUntil = now.Add(w.RebootTime)
	w.tasks, w.fences, w.usage = nil, nil, nil
	return w.status(), nil
}

// Rebooting tells whether the endpoint is out of reach.
func (w *Worker) Rebooting() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.boot(time.Now())
	return w.state == endpointapi.EndpointStateRebooting
}

// Measure takes the usage that Status reports until the next call.
func (w *Worker) Measure() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.boot(now)
	w.usage = nil
	w.measuredAt = now
	for _, id := range w.running() {
		t := w.tasks[id]
		used := t.progress + now.Sub(t.startedAt)
		w.usage = append(w.usage, endpointapi.Usage{Task: id, Slots: t.slots, RunMillis: int(used.Milliseconds())})
	}
	for id, until := range w.fences {
		if now.After(until) {
			delete(w.fences, id)
		}
	}
}

func (w *Worker) setState(to endpointapi.EndpointState) (s *endpointapi.Status, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.boot(now)
	if w.state == endpointapi.EndpointStateDraining && to == endpointapi.EndpointStateServing {
		w.raiseFence(now)
	}
	w.state = to
	return w.status(), nil
}

// boot starts the first incarnation, and the next one after a reboot. The
// incarnation is the time of the start, so that it rises with a restart of the
// process as well.
func (w *Worker) boot(now time.Time) {
	first := w.incarnation == 0
	rebooted := w.state == endpointapi.EndpointStateRebooting && !now.Before(w.rebootUntil)
	if !first && !rebooted {
		return
	}
	w.state = endpointapi.EndpointStateServing
	w.raiseFence(now)
	w.incarnation = w.fence
	w.tasks = make(map[string]*task)
	w.fences = make(map[string]time.Time)
	w.measuredAt = now
}

// raiseFence makes tasks that were meant for the time before be refused.
func (w *Worker) raiseFence(now time.Time) {
	w.fence = max(w.fence+1, now.UnixMilli())
}

func (w *Worker) status() *endpointapi.Status {
	return &endpointapi.Status{
		Name:        w.Name,
		State:       w.state,
		Incarnation: w.incarnation,
		Fence:       w.fence,
		Slots:       w.Slots,
		Connections: w.Connections,
		Running:     w.running(),
		Usage:       w.usage,
		ReportedAt:  w.measuredAt,
	}
}

func (w *Worker) running() (ids []string) {
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
