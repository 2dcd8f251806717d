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
	// DefaultConnections is how many connections an endpoint accepts; see section
	// 2.5 of the design.
	DefaultConnections = 64
	// controlTimeout limits a call that does not wait for a task to end.
	controlTimeout = 500 * time.Millisecond
	// settleTimeout is how long Run keeps trying to settle a task after the end of
	// its lease.
	settleTimeout = time.Second
	// minSettleDelay and maxSettleDelay limit the backoff between two attempts to
	// settle a task.
	minSettleDelay = 20 * time.Millisecond
	maxSettleDelay = 320 * time.Millisecond
)

// Task describes a task to run on an endpoint.
type Task struct {
	// ID is returned by Client.TaskID or FencedTaskID.
	ID         string
	Member     string
	Slots      int
	RunMillis  int64
	LeaseUntil time.Time
	Payload    string
	// Repeatable limits the attempts to settle to settleTimeout, because the
	// request may be sent again instead.
	Repeatable bool
}

// Client runs and settles tasks on endpoints. The zero value is ready to use.
//
// Times in the endpoint API have a resolution of one second and are rounded down. A
// lease may therefore end up to a second early at the endpoint, but never late, and
// a fence never ends before the lease that it belongs to.
type Client struct {
	// Connections is the maximum number of concurrent tasks per endpoint; zero
	// means DefaultConnections.
	Connections int
	// ClockError is the maximum clock difference between two instances.
	ClockError time.Duration
	// Connect returns the API client for an address; nil means HTTP.
	Connect func(address string) (api endpointapi.Invoker, err error)

	mutex     sync.Mutex
	endpoints map[string]*endpointState
}

// TaskID returns the task id for base with the endpoint's fence. An error means that
// the status of the endpoint could not be read; no task was sent.
func (c *Client) TaskID(ctx context.Context, address, base string) (id string, err error) {
	e := c.stateOf(address)
	fence := e.cachedFence()
	if fence == 0 {
		status, err := c.Status(ctx, address)
		if err != nil {
			return "", err
		}
		fence = status.Fence
		e.setFence(fence)
	}
	return FencedTaskID(base, fence), nil
}

// FencedTaskID returns the id of a task that the endpoint only starts while it has this
// fence.
func FencedTaskID(base string, fence int64) (id string) {
	return fmt.Sprintf("%s@%d", base, fence)
}

// Run sends a task and waits until it ends. If the result is open, for example after
// a broken connection, Run tries to settle the task until the lease has certainly
// ended.
func (c *Client) Run(ctx context.Context, address string, t Task) (r Result) {
	e := c.stateOf(address)
	if !e.acquireConnection(c.maxConnections()) {
		return Result{Kind: NotStarted, Reason: "refused: all connections to the endpoint are in use"}
	}
	defer e.releaseConnection()
	r = c.runTask(ctx, e, t)
	if r.Kind != Done {
		e.setFence(0)
	}
	if r.Settled() {
		return r
	}
	return c.settleUntilDeadline(ctx, address, t, r)
}

// Settle fences a task that never started; it does not stop a running one.
func (c *Client) Settle(ctx context.Context, address, id string, leaseUntil time.Time) (r Result) {
	return c.stopTask(ctx, address, endpointapi.StopTaskParams{
		ID:               id,
		FenceUntil:       leaseUntil.Add(c.ClockError),
		OnlyIfNotStarted: endpointapi.NewOptBool(true),
	})
}

// Stop fences a task that never started and stops a running one.
func (c *Client) Stop(ctx context.Context, address, id string, leaseUntil time.Time) (r Result) {
	return c.stopTask(ctx, address, endpointapi.StopTaskParams{ID: id, FenceUntil: leaseUntil.Add(c.ClockError)})
}

func (c *Client) runTask(ctx context.Context, e *endpointState, t Task) (r Result) {
	if e.err != nil {
		return Result{Kind: NotStarted, Reason: e.err.Error()}
	}
	ctx, cancel := context.WithDeadline(ctx, t.LeaseUntil.Add(2*c.ClockError))
	defer cancel()
	request := &endpointapi.Task{
		Member:     t.Member,
		Slots:      t.Slots,
		LeaseUntil: t.LeaseUntil,
		Payload:    endpointapi.NewOptString(t.Payload),
	}
	if t.RunMillis > 0 {
		request.RunMillis = endpointapi.NewOptInt(int(t.RunMillis))
	}
	answer, err := e.tasks.RunTask(ctx, request, endpointapi.RunTaskParams{ID: t.ID})
	return resultOfRun(t.ID, answer, err)
}

// settleUntilDeadline repeats Settle until the result is settled or the lease has
// certainly ended, for a repeatable task at most for settleTimeout.
func (c *Client) settleUntilDeadline(ctx context.Context, address string, t Task, last Result) (r Result) {
	deadline := t.LeaseUntil.Add(2*c.ClockError + settleTimeout)
	if repeatDeadline := time.Now().Add(settleTimeout); t.Repeatable && repeatDeadline.Before(deadline) {
		deadline = repeatDeadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for delay := minSettleDelay; ; delay = min(2*delay, maxSettleDelay) {
		r = c.Settle(ctx, address, t.ID, t.LeaseUntil)
		if r.Settled() {
			return r
		}
		if ctx.Err() == nil {
			last = r
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return Result{Reason: last.Reason}
		}
	}
}

func (c *Client) stopTask(ctx context.Context, address string, p endpointapi.StopTaskParams) (r Result) {
	e := c.stateOf(address)
	if e.err != nil {
		return Result{Reason: e.err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := e.control.StopTask(ctx, p)
	return resultOf(p.ID, answer, err)
}

// Status returns the status of an endpoint.
func (c *Client) Status(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.callStatus(ctx, address, "status", endpointapi.Invoker.GetStatus)
}

// Drain starts the drain of an endpoint, which then refuses new tasks.
func (c *Client) Drain(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.callStatus(ctx, address, "start drain", endpointapi.Invoker.StartDrain)
}

// CancelDrain ends the drain of an endpoint, which then accepts new tasks again.
func (c *Client) CancelDrain(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.callStatus(ctx, address, "cancel drain", endpointapi.Invoker.CancelDrain)
}

// Reboot reboots an endpoint, which must be draining and run no task.
func (c *Client) Reboot(ctx context.Context, address string) (s *endpointapi.Status, err error) {
	return c.callStatus(ctx, address, "reboot", endpointapi.Invoker.Reboot)
}

type statusCall func(api endpointapi.Invoker, ctx context.Context) (*endpointapi.Status, error)

func (c *Client) callStatus(ctx context.Context, address, operation string, call statusCall) (s *endpointapi.Status, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "endpoint: %s of %s", operation, address)
		}
	}()
	e := c.stateOf(address)
	if e.err != nil {
		return nil, e.err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return call(e.control, ctx)
}

func (c *Client) maxConnections() int {
	if c.Connections > 0 {
		return c.Connections
	}
	return DefaultConnections
}
