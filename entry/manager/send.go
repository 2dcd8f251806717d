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

// answer is what an order led to.
type answer struct {
	order  schedule.Order
	answer schedule.Answer
	err    error
}

// send carries out an order and reports its answer on m.answers.
func (m *Manager) send(ctx context.Context, o schedule.Order) {
	m.mu.Lock()
	h := m.holders[o.Endpoint]
	sight, known := m.scheduler.Endpoint(o.Endpoint)
	m.mu.Unlock()
	if h == nil || !known {
		m.apply(answer{order: o, answer: schedule.NotDone})
		return
	}
	if o.Action == schedule.Start && event.RunStartedLimited.Allow() {
		event.RunStarted.Log(log.Fields{
			"job": o.Job, "task": strings.TrimPrefix(o.Task, o.Job+"."), "run": o.Run, "endpoint": o.Endpoint,
			"waitedMillis": o.Waited.Milliseconds(), "term": m.Term.Number,
		})
	}
	target := Target{ID: sight.ID, Address: sight.Address}
	m.sending++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		a := answer{order: o}
		sent := time.Now()
		a.answer, a.err = m.call(ctx, h, target, o)
		meter.RecordSince("orders."+o.Action.String(), sent)
		m.answers <- a
	}()
}

func (m *Manager) call(ctx context.Context, h *holder, t Target, o schedule.Order) (a schedule.Answer, err error) {
	run := RunCall{Task: o.Task, Run: o.Run, Fence: m.Term.Number, Percent: o.Percent}
	switch o.Action {
	case schedule.Stop:
		return m.Endpoints.Stop(ctx, t, run)
	case schedule.Pace:
		return m.Endpoints.Pace(ctx, t, run)
	default:
		return m.Endpoints.Start(ctx, t, StartCall{
			Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Fence: m.Term.Number,
			Until: h.deadline(startWithin),
		})
	}
}

// apply records what an order led to.
func (m *Manager) apply(a answer) {
	fields := log.Fields{"task": a.order.Task, "run": a.order.Run, "endpoint": a.order.Endpoint, "action": a.order.Action.String()}
	switch {
	case errors.Is(a.err, ErrFenced):
		event.OrderFenced.Log(log.Fields{"endpoint": a.order.Endpoint, "term": m.Term.Number})
		m.lose()
	case errors.Is(a.err, ErrOtherEndpoint):
		m.gone(a.order.Endpoint)
	case a.answer == schedule.Unknown:
		fields["error"] = errorText(a.err)
		event.OrderUnanswered.Log(fields)
	case a.answer != schedule.Accepted:
		fields["reason"] = errorText(a.err)
		event.OrderRefused.Log(fields)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.Answered(a.order, a.answer, time.Now())
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
