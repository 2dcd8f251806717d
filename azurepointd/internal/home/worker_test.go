package home_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// worker is an endpoint; a crash makes it forget its tasks and fences.
type worker struct {
	world       *world
	name        string
	mutex       sync.Mutex
	incarnation int64
	down        window
	tasks       map[string]*task
	fences      map[string]time.Time
}

type task struct {
	result endpointapi.TaskResult
	stop   chan struct{}
	once   sync.Once
	ended  chan struct{}
}

func (e *worker) crash(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = window{time.Now(), time.Now().Add(d)}
	e.incarnation++
	e.tasks, e.fences = nil, nil
}

func (e *worker) gate() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down.covers(time.Now()) {
		return &net.OpError{Op: "dial", Err: errLost}
	}
	return nil
}

func (e *worker) stale(id string) bool {
	return e.world.lacks != forgetIncarnation && !strings.HasSuffix(id, fmt.Sprintf("@%d", e.incarnation))
}

// enter starts a task or joins the one of that id.
func (e *worker) enter(id string, order *endpointapi.Task) (t *task, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if t, known := e.tasks[id]; known {
		return t, nil
	}
	now := time.Now()
	fenced := now.Before(e.fences[id]) && e.world.lacks != noFence
	tag := e.world.tag(id)
	switch {
	case fenced || e.stale(id):
		return nil, refusal(endpointapi.RefusalCodeFenced)
	case !now.Before(order.LeaseUntil):
		return nil, refusal(endpointapi.RefusalCodeLeaseEnded)
	case e.world.fault(0.05, "busy", tag):
		return nil, refusal(endpointapi.RefusalCodeBusy)
	}
	if e.tasks == nil {
		e.tasks = map[string]*task{}
	}
	t = &task{stop: make(chan struct{}), ended: make(chan struct{})}
	t.result = endpointapi.TaskResult{ID: id, State: endpointapi.TaskStateRunning}
	e.tasks[id] = t
	answer := e.world.started(id, order.Payload.Value)
	go e.run(t, answer, tag, order)
	return t, nil
}

func (e *worker) run(t *task, answer, tag string, order *endpointapi.Task) {
	defer close(t.ended)
	end := endpointapi.TaskResult{ID: t.result.ID, State: endpointapi.TaskStateStopped}
	select {
	case <-time.After(time.Duration(order.RunMillis.Value) * time.Millisecond):
		end.State, end.Answer = endpointapi.TaskStateDone, endpointapi.NewOptString(answer)
	case <-time.After(time.Until(order.LeaseUntil)):
	case <-t.stop:
	}
	if e.world.fault(0.03, "fails", tag) {
		end = endpointapi.TaskResult{ID: end.ID, State: endpointapi.TaskStateFailed}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	t.result = end
}

func (e *worker) result(id string) *endpointapi.TaskResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if t, known := e.tasks[id]; known {
		r := t.result
		return &r
	}
	if e.stale(id) {
		return &endpointapi.TaskResult{ID: id, State: endpointapi.TaskStateStopped}
	}
	return &endpointapi.TaskResult{ID: id, State: endpointapi.TaskStateNeverStarted}
}

func (e *worker) stopTask(p endpointapi.StopTaskParams) *endpointapi.TaskResult {
	e.mutex.Lock()
	t, known := e.tasks[p.ID]
	if !known {
		if e.fences == nil {
			e.fences = map[string]time.Time{}
		}
		e.fences[p.ID] = p.FenceUntil
	}
	e.mutex.Unlock()
	if known && !p.OnlyIfNotStarted.Value {
		t.once.Do(func() { close(t.stop) })
		<-t.ended
	}
	return e.result(p.ID)
}

func refusal(code endpointapi.RefusalCode) error {
	return &endpointapi.ErrorStatusCode{StatusCode: 409, Response: endpointapi.Error{Code: code}}
}

// connection is one entry's connection to an endpoint.
type connection struct {
	endpointapi.Invoker
	from *node
	to   *worker
}

func (n *node) connect(address string) connection {
	return connection{from: n, to: n.world.endpoints[address[1]-'0']}
}

func (c connection) tag(name, id string) string {
	return fmt.Sprint(name, c.from.name, c.to.name, c.from.world.tag(id))
}

func (c connection) GetStatus(ctx context.Context) (*endpointapi.Status, error) {
	return deliver(ctx, c.from, c.to, c.tag("status", ""), func(context.Context) (*endpointapi.Status, error) {
		c.to.mutex.Lock()
		defer c.to.mutex.Unlock()
		return &endpointapi.Status{Incarnation: c.to.incarnation, Fence: c.to.incarnation}, nil
	})
}

func (c connection) RunTask(ctx context.Context, order *endpointapi.Task, p endpointapi.RunTaskParams) (*endpointapi.TaskResult, error) {
	tag := c.tag("run", p.ID)
	r, err := deliver(ctx, c.from, c.to, tag, func(context.Context) (*endpointapi.TaskResult, error) {
		t, err := c.to.enter(p.ID, order)
		if err != nil {
			return nil, err
		}
		<-t.ended
		return c.to.result(p.ID), nil
	})
	if err == nil && c.from.world.fault(0.05, tag, "crossed") {
		crossed := *r
		crossed.Answer = endpointapi.NewOptString("of another task")
		if crossed.ID = "another"; c.from.world.lacks == trustAnyAnswer {
			crossed.ID = p.ID
		}
		return &crossed, nil
	}
	return r, err
}

func (c connection) StopTask(ctx context.Context, p endpointapi.StopTaskParams) (*endpointapi.TaskResult, error) {
	return deliver(ctx, c.from, c.to, c.tag("stop", p.ID), func(context.Context) (*endpointapi.TaskResult, error) {
		return c.to.stopTask(p), nil
	})
}
