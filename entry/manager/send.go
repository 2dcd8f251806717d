package manager

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// orderResult is the result of an order to an endpoint.
type orderResult struct {
	order  schedule.Order
	answer schedule.OrderResult
	err    error
	// planDue is when the order was due to be planned; it is zero if the order was not sent.
	planDue time.Time
}

// orderMetrics names the timers of the orders by their action.
var orderMetrics = [...]string{schedule.Start: "orders.start", schedule.Stop: "orders.stop", schedule.Pace: "orders.pace"}

// errUnconfirmed means that an order was not sent because the ownership is unconfirmed.
var errUnconfirmed = errors.New("manager: the ownership cannot be confirmed")

// plannedOrder is an order with its target and the poller of its endpoint, which is nil if the
// endpoint has none.
type plannedOrder struct {
	schedule.Order

	poller *poller
	target Target
}

// sendOrder sends an order to its endpoint and records the result.
func (m *Manager) sendOrder(ctx context.Context, o plannedOrder) {
	if o.poller == nil {
		m.applyOrderResult(orderResult{order: o.Order, answer: schedule.NotExecuted})
		return
	}
	if o.Action == schedule.Start {
		logStart(o.Order, m.Term.Number)
	}
	planDue := m.planDue
	m.ordersInFlight.Go(func() {
		if !m.maySend(o.Order) {
			return
		}
		a := m.carryOut(ctx, o)
		if !errors.Is(a.err, errUnconfirmed) {
			a.planDue = planDue
		}
		m.applyOrderResult(a)
	})
}

// maySend reports whether an order may still be sent. Since it was planned its job may have been
// cancelled, and its caller told so, and on a busy owner a report may have arrived that says that
// the first run of a task has ended as done of which a second one is to start.
func (m *Manager) maySend(o schedule.Order) bool {
	cancelled := o.Action == schedule.Start && m.IsCancelled != nil && m.IsCancelled(o.Job)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyReceived()
	now := time.Now()
	if cancelled {
		m.scheduler.CancelJob(o.Job, now)
	}
	return m.scheduler.MaySend(o, now)
}

// carryOut sends an order and returns its result.
func (m *Manager) carryOut(ctx context.Context, o plannedOrder) (a orderResult) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a = orderResult{order: o.Order, answer: schedule.NotExecuted, err: errUnconfirmed}
	// The process may have been suspended since the order was planned. Another owner
	// may count on the end of this one's lease.
	sent := time.Now()
	if m.Term.Confirmed() {
		a.answer, a.err = m.callEndpoint(ctx, o)
		meter.RecordSince(orderMetrics[o.Action], sent)
	}
	return a
}

func (m *Manager) callEndpoint(ctx context.Context, o plannedOrder) (a schedule.OrderResult, err error) {
	t := o.target
	run := RunCall{Task: o.Task, Run: o.Run, Fence: m.Term.Number, Percent: o.Percent}
	switch o.Action {
	case schedule.Stop:
		return m.Endpoints.Stop(ctx, t, run)
	case schedule.Pace:
		return m.Endpoints.Pace(ctx, t, run)
	default:
		until, incarnation := o.poller.endpointDeadline(o.StartBy, time.Now())
		return m.Endpoints.Start(ctx, t, StartCall{
			Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Fence: m.Term.Number, Until: until, Incarnation: incarnation,
		})
	}
}

// applyOrderResult records the result of an order.
func (m *Manager) applyOrderResult(a orderResult) {
	switch {
	case errors.Is(a.err, ErrFenced):
		event.OrderFenced.Log(log.Fields{"endpoint": a.order.Endpoint, "term": m.Term.Number})
		m.endTerm()
	case errors.Is(a.err, ErrOtherEndpoint):
		m.endpointEnded(a.order.Endpoint, schedule.LossReplaced)
	case a.answer == schedule.Unknown || a.answer == schedule.Disconnected:
		event.OrderUnanswered.Log(a.fields("error"))
	case a.answer != schedule.Accepted:
		event.OrderRefused.Log(a.fields("reason"))
	}
	if a.order.Action == schedule.Start && !a.planDue.IsZero() {
		meter.RecordSince("startLag", a.planDue)
	}
	m.mu.Lock()
	m.applyReceived()
	now := time.Now()
	if a.order.Action == schedule.Start && !a.planDue.IsZero() {
		m.pace.Observe(now.Sub(a.planDue), a.answer != schedule.Unknown && a.answer != schedule.Disconnected, now)
	}
	m.scheduler.RecordOrderResult(a.order, a.answer, now)
	urgent := a.answer == schedule.Disconnected && m.scheduler.HasUrgentWrites()
	m.mu.Unlock()
	if urgent {
		m.recordWriter.trigger()
	}
}

// fields returns the fields of a log event with the error under a name.
func (a orderResult) fields(errorName string) log.Fields {
	return log.Fields{
		"task": a.order.Task, "run": a.order.Run, "endpoint": a.order.Endpoint, "action": a.order.Action.String(), errorName: errorText(a.err),
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
