package request_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// simulatedEndpoint is an endpoint that loses its tasks and fences in a crash.
type simulatedEndpoint struct {
	cluster     *cluster
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

func (e *simulatedEndpoint) crash(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = window{time.Now(), time.Now().Add(d)}
	e.incarnation++
	e.tasks, e.fences = nil, nil
}

func (e *simulatedEndpoint) awaitAvailable() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down.covers(time.Now()) {
		return &net.OpError{Op: "dial", Err: errConnectionBroken}
	}
	return nil
}

func (e *simulatedEndpoint) ofOtherIncarnation(id string) bool {
	return e.cluster.variant != ignoreEndpointIncarnation && !strings.HasSuffix(id, fmt.Sprintf("@%d", e.incarnation))
}

// startTask starts a task, or returns the one with the same ID.
func (e *simulatedEndpoint) startTask(id string, request *endpointapi.Task) (t *task, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if t, known := e.tasks[id]; known {
		return t, nil
	}
	now := time.Now()
	fenced := now.Before(e.fences[id]) && e.cluster.variant != ignoreFences
	tag := e.cluster.stableID(id)
	switch {
	case fenced || e.ofOtherIncarnation(id):
		return nil, refusal(endpointapi.RefusalCodeFenced)
	case !now.Before(request.LeaseUntil):
		return nil, refusal(endpointapi.RefusalCodeLeaseEnded)
	case e.cluster.randomFault(0.05, "busy", tag):
		return nil, refusal(endpointapi.RefusalCodeBusy)
	}
	if e.tasks == nil {
		e.tasks = map[string]*task{}
	}
	t = &task{stop: make(chan struct{}), ended: make(chan struct{})}
	t.result = endpointapi.TaskResult{ID: id, State: endpointapi.TaskStateRunning}
	e.tasks[id] = t
	answer := e.cluster.recordStart(id, request.Payload.Value)
	go e.runTask(t, answer, tag, request)
	return t, nil
}

func (e *simulatedEndpoint) runTask(t *task, answer, tag string, request *endpointapi.Task) {
	defer close(t.ended)
	end := endpointapi.TaskResult{ID: t.result.ID, State: endpointapi.TaskStateStopped}
	select {
	case <-time.After(time.Duration(request.RunMillis.Value) * time.Millisecond):
		end.State, end.Answer = endpointapi.TaskStateDone, endpointapi.NewOptString(answer)
	case <-time.After(time.Until(request.LeaseUntil)):
	case <-t.stop:
	}
	if e.cluster.randomFault(0.03, "fails", tag) {
		end = endpointapi.TaskResult{ID: end.ID, State: endpointapi.TaskStateFailed}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	t.result = end
}

func (e *simulatedEndpoint) taskResult(id string) *endpointapi.TaskResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if t, known := e.tasks[id]; known {
		r := t.result
		return &r
	}
	if e.ofOtherIncarnation(id) {
		return &endpointapi.TaskResult{ID: id, State: endpointapi.TaskStateStopped}
	}
	return &endpointapi.TaskResult{ID: id, State: endpointapi.TaskStateNeverStarted}
}

func (e *simulatedEndpoint) stopTask(p endpointapi.StopTaskParams) *endpointapi.TaskResult {
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
	return e.taskResult(p.ID)
}

func refusal(code endpointapi.RefusalCode) error {
	return &endpointapi.ErrorStatusCode{StatusCode: 409, Response: endpointapi.Error{Code: code}}
}

// endpointClient calls an endpoint from an entry.
type endpointClient struct {
	endpointapi.Invoker
	from *simulatedEntry
	to   *simulatedEndpoint
}

func (n *simulatedEntry) connect(address string) endpointClient {
	return endpointClient{from: n, to: n.cluster.endpoints[address[1]-'0']}
}

func (c endpointClient) faultTag(name, id string) string {
	return fmt.Sprint(name, c.from.name, c.to.name, c.from.cluster.stableID(id))
}

func (c endpointClient) GetStatus(ctx context.Context) (*endpointapi.Status, error) {
	return deliver(ctx, c.from, c.to, c.faultTag("status", ""), func(context.Context) (*endpointapi.Status, error) {
		c.to.mutex.Lock()
		defer c.to.mutex.Unlock()
		return &endpointapi.Status{Incarnation: c.to.incarnation, Fence: c.to.incarnation}, nil
	})
}

func (c endpointClient) RunTask(ctx context.Context, request *endpointapi.Task, p endpointapi.RunTaskParams) (*endpointapi.TaskResult, error) {
	tag := c.faultTag("run", p.ID)
	r, err := deliver(ctx, c.from, c.to, tag, func(context.Context) (*endpointapi.TaskResult, error) {
		t, err := c.to.startTask(p.ID, request)
		if err != nil {
			return nil, err
		}
		<-t.ended
		return c.to.taskResult(p.ID), nil
	})
	if err == nil && c.from.cluster.randomFault(0.05, tag, "crossed") {
		wrong := *r
		wrong.Answer = endpointapi.NewOptString("of another task")
		if wrong.ID = "another"; c.from.cluster.variant == acceptAnyTaskID {
			wrong.ID = p.ID
		}
		return &wrong, nil
	}
	return r, err
}

func (c endpointClient) StopTask(ctx context.Context, p endpointapi.StopTaskParams) (*endpointapi.TaskResult, error) {
	return deliver(ctx, c.from, c.to, c.faultTag("stop", p.ID), func(context.Context) (*endpointapi.TaskResult, error) {
		return c.to.stopTask(p), nil
	})
}
