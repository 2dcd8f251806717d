package manager

import (
	"context"
	"strings"
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

// errUnconfirmed means that an order was not sent because the ownership is unconfirmed.
var errUnconfirmed = errors.New("manager: the ownership cannot be confirmed")

// sendOrder sends an order to its endpoint and delivers the result on m.orderResults.
func (m *Manager) sendOrder(ctx context.Context, o schedule.Order) {
	m.mu.Lock()
	p := m.pollers[o.Endpoint]
	status, known := m.scheduler.EndpointStatus(o.Endpoint)
	m.mu.Unlock()
	if p == nil || !known {
		m.applyOrderResult(orderResult{order: o, answer: schedule.NotExecuted})
		return
	}
	if o.Action == schedule.Start && event.RunStartedLimited.Allow() {
		event.RunStarted.Log(log.Fields{
			"job": o.Job, "task": strings.TrimPrefix(o.Task, o.Job+"."), "run": o.Run, "endpoint": o.Endpoint,
			"waitedMillis": o.TimeSinceAcceptance.Milliseconds(), "term": m.Term.Number,
		})
	}
	target := Target{ID: status.ID, Address: status.Address}
	m.ordersInFlight++
	planDue := m.planDue
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		a := orderResult{order: o, answer: schedule.NotExecuted, err: errUnconfirmed}
		// The process may have been suspended since the order was planned. Another owner
		// may count on the end of this one's lease.
		sent := time.Now()
		if m.Term.Confirmed() {
			a.answer, a.err = m.callEndpoint(ctx, p, target, o)
			meter.RecordSince("orders."+o.Action.String(), sent)
			a.planDue = planDue
		}
		m.orderResults <- a
	}()
}

func (m *Manager) callEndpoint(ctx context.Context, p *poller, t Target, o schedule.Order) (a schedule.OrderResult, err error) {
	run := RunCall{Task: o.Task, Run: o.Run, Fence: m.Term.Number, Percent: o.Percent}
	switch o.Action {
	case schedule.Stop:
		return m.Endpoints.Stop(ctx, t, run)
	case schedule.Pace:
		return m.Endpoints.Pace(ctx, t, run)
	default:
		return m.Endpoints.Start(ctx, t, StartCall{
			Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Fence: m.Term.Number,
			Until: p.endpointDeadline(o.StartBy),
		})
	}
}

// applyOrderResult records the result of an order.
func (m *Manager) applyOrderResult(a orderResult) {
	fields := log.Fields{"task": a.order.Task, "run": a.order.Run, "endpoint": a.order.Endpoint, "action": a.order.Action.String()}
	switch {
	case errors.Is(a.err, ErrFenced):
		event.OrderFenced.Log(log.Fields{"endpoint": a.order.Endpoint, "term": m.Term.Number})
		m.endTerm()
	case errors.Is(a.err, ErrOtherEndpoint):
		m.endpointEnded(a.order.Endpoint, schedule.LossReplaced)
	case a.answer == schedule.Unknown || a.answer == schedule.Disconnected:
		fields["error"] = errorText(a.err)
		event.OrderUnanswered.Log(fields)
	case a.answer != schedule.Accepted:
		fields["reason"] = errorText(a.err)
		event.OrderRefused.Log(fields)
	}
	m.mu.Lock()
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

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
