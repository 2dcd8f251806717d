package endpoint

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

const (
	// DefaultConnections is how many connections an endpoint takes; see section
	// 2.5 of the design.
	DefaultConnections = 64
	// controlTimeout bounds a call that does not wait for a task's end.
	controlTimeout = 500 * time.Millisecond
	// settleTime is how long a task is settled beyond the end of its lease.
	settleTime = time.Second
	// firstPause and lastPause bound the wait between two tries to settle.
	firstPause = 20 * time.Millisecond
	lastPause  = 320 * time.Millisecond
)

// Task is one task to run.
type Task struct {
	// ID comes from TaskID.
	ID         string
	Member     string
	Slots      int
	RunMillis  int64
	LeaseUntil time.Time
	Payload    string
	// Repeatable makes an open result final after settleTime, because the
	// request may be sent again instead.
	Repeatable bool
}

// Client runs and settles tasks at endpoints; the zero value is ready.
//
// The endpoint API carries times in whole seconds, rounded down. A lease may
// therefore end up to a second early at the endpoint, but never late, and a
// fence never ends before the lease that it is for.
type Client struct {
	// Connections is the most tasks at one endpoint at once; zero means
	// DefaultConnections.
	Connections int
	// ClockError is the most that two clocks differ.
	ClockError time.Duration
	// Connect returns the API of the endpoint at an address; nil means HTTP.
	Connect func(address string) (api endpointapi.Invoker, err error)

	mutex sync.Mutex
	hosts map[string]*host
}

// TaskID completes a task's id with the endpoint's fence. An error means
// that the endpoint gave no status; nothing was sent to it.
func (c *Client) TaskID(ctx context.Context, address, base string) (id string, err error) {
	h := c.host(address)
	fence := h.knownFence()
	if fence == 0 {
		status, err := c.Status(ctx, address)
		if err != nil {
			return "", err
		}
		fence = status.Fence
		h.setFence(fence)
	}
	return FencedID(base, fence), nil
}

// FencedID returns the id of a task that only starts while the endpoint has this
// fence.
func FencedID(base string, fence int64) (id string) {
	return fmt.Sprintf("%s@%d", base, fence)
}

// Run sends a task and waits for its end. A result that is open after a broken
// connection is settled until the lease has ended for certain.
func (c *Client) Run(ctx context.Context, address string, t Task) (r Result) {
	h := c.host(address)
	if !h.enter(c.connections()) {
		return Result{Kind: NotStarted, Reason: "refused: all connections to the endpoint are in use"}
	}
	defer h.leave()
	r = c.send(ctx, h, t)
	if r.Kind != Done {
		h.setFence(0)
	}
	if r.Settled() {
		return r
	}
	return c.settle(ctx, address, t, r)
}

// Settle fences a task that never started and leaves a running one alone.
func (c *Client) Settle(ctx context.Context, address, id string, leaseUntil time.Time) (r Result) {
	return c.stop(ctx, address, endpointapi.StopTaskParams{
		ID:               id,
		FenceUntil:       leaseUntil.Add(c.ClockError),
		OnlyIfNotStarted: endpointapi.NewOptBool(true),
	})
}

// Stop fences a task that never started and stops a running one.
func (c *Client) Stop(ctx context.Context, address, id string, leaseUntil time.Time) (r Result) {
	return c.stop(ctx, address, endpointapi.StopTaskParams{ID: id, FenceUntil: leaseUntil.Add(c.ClockError)})
}

func (c *Client) send(ctx context.Context, h *host, t Task) (r Result) {
	if h.err != nil {
		return Result{Kind: NotStarted, Reason: h.err.Error()}
	}
	ctx, cancel := context.WithDeadline(ctx, t.LeaseUntil.Add(2*c.ClockError))
	defer cancel()
	order := &endpointapi.Task{
		Member:     t.Member,
		Slots:      t.Slots,
		LeaseUntil: t.LeaseUntil,
		Payload:    endpointapi.NewOptString(t.Payload),
	}
	if t.RunMillis > 0 {
		order.RunMillis = endpointapi.NewOptInt(int(t.RunMillis))
	}
	answer, err := h.tasks.RunTask(ctx, order, endpointapi.RunTaskParams{ID: t.ID})
	return resultOfRun(t.ID, answer, err)
}

// settle asks about a task until its result is settled or its lease is over.
func (c *Client) settle(ctx context.Context, address string, t Task, last Result) (r Result) {
	until := t.LeaseUntil.Add(2*c.ClockError + settleTime)
	if soon := time.Now().Add(settleTime); t.Repeatable && soon.Before(until) {
		until = soon
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		r = c.Settle(ctx, address, t.ID, t.LeaseUntil)
		if r.Settled() {
			return r
		}
		if ctx.Err() == nil {
			last = r
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return Result{Reason: last.Reason}
		}
	}
}

func (c *Client) stop(ctx context.Context, address string, p endpointapi.StopTaskParams) (r Result) {
	h := c.host(address)
	if h.err != nil {
		return Result{Reason: h.err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := h.control.StopTask(ctx, p)
	return resultOf(p.ID, answer, err)
}

// Status returns the state of an endpoint.
func (c *Client) Status(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.call(ctx, address, "status", endpointapi.Invoker.GetStatus)
}

// Drain makes an endpoint refuse new tasks.
func (c *Client) Drain(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.call(ctx, address, "start drain", endpointapi.Invoker.StartDrain)
}

// CancelDrain makes an endpoint take new tasks again.
func (c *Client) CancelDrain(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.call(ctx, address, "cancel drain", endpointapi.Invoker.CancelDrain)
}

// Reboot reboots an endpoint that is draining and runs no task.
func (c *Client) Reboot(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.call(ctx, address, "reboot", endpointapi.Invoker.Reboot)
}

type statusCall func(api endpointapi.Invoker, ctx context.Context) (*endpointapi.Status, error)

func (c *Client) call(ctx context.Context, address, what string, f statusCall) (s *endpointapi.Status, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "endpoint: %s of %s", what, address)
		}
	}()
	h := c.host(address)
	if h.err != nil {
		return nil, h.err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return f(h.control, ctx)
}

func (c *Client) connections() int {
	if c.Connections > 0 {
		return c.Connections
	}
	return DefaultConnections
}
