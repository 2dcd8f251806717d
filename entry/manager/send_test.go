package manager

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// deadlineEndpoint records the deadline of each start.
type deadlineEndpoint struct {
	Endpoints
	until int64
}

// Start records the deadline and answers that the order was carried out.
func (d *deadlineEndpoint) Start(_ context.Context, _ Target, c StartCall) (answer schedule.OrderResult, err error) {
	d.until = c.Until
	return schedule.Accepted, nil
}

// Guards against a task that runs twice because a slow process sends a start late: the endpoint
// has to refuse it when the scheduler no longer counts on it, also if the endpoint's clock is
// slow and was last reported long before.
func TestLateStartKeepsItsDeadline(t *testing.T) {
	const age, late, slowness, reported = 1700 * time.Millisecond, 100 * time.Millisecond, 0.98, 1000
	endpoint := &deadlineEndpoint{}
	m := &Manager{Term: Term{Number: 1, Confirmed: func() bool { return true }}, Endpoints: endpoint}
	planned := time.Now()
	p := m.newPoller("e")
	p.observeClock(PollReply{Report: schedule.Report{Incarnation: 1, ReceivedAt: planned.Add(-age)}, Clock: reported})
	o := plannedOrder{Order: schedule.Order{Action: schedule.Start, StartBy: planned.Add(startWithin)}, poller: p}
	time.Sleep(late)
	if a := m.carryOut(t.Context(), o); a.answer != schedule.Accepted {
		t.Fatal(a.err)
	}
	// When a clock of this speed shows the deadline, by the owner's clock after the plan.
	reached := time.Duration(float64(endpoint.until-reported)/slowness)*time.Millisecond - age
	ratio := maxClockRatio
	if latest := time.Duration(float64(startWithin) * ratio); reached > latest {
		t.Errorf("the endpoint takes the start until %v after the plan, the scheduler counts on %v", reached, latest)
	}
}

// Guards against a task that starts after the cancellation of its job was acknowledged: on a busy
// machine its order was planned before and sent after it.
func TestPlannedStartOfCancelledJobIsNotSent(t *testing.T) {
	log.SetHandler(discard.Default)
	m := newSubmitManager(&fakeStore{})
	endpoint := &busyEndpoint{done: func() {}}
	m.Endpoints, m.pollers = endpoint, map[string]*poller{"a": {}}
	for n := range 4 {
		j := newSubmission(n)
		j.Steps[0].Count = 2
		m.scheduler.AddJob(job.Record{Job: j, State: job.Queued}, time.Now())
	}
	orders := m.dueOrders()
	if len(orders) != 8 {
		t.Fatalf("%d orders, want 8", len(orders))
	}
	m.scheduler.CancelJob(newSubmission(0).ID, time.Now())
	m.IsCancelled = func(id string) bool { return id == newSubmission(1).ID }
	for _, o := range orders {
		m.sendOrder(t.Context(), o)
	}
	m.ordersInFlight.Wait()
	if sent := -endpoint.left.Load(); sent != 4 {
		t.Errorf("%d starts were sent, want those of the two jobs that were not cancelled", sent)
	}
	if again := m.dueOrders(); len(again) > 0 {
		t.Errorf("%d orders for jobs that have not started", len(again))
	}
	if s, known := m.scheduler.EndpointStatus("a"); !known || s.Runs != 4 {
		t.Errorf("the endpoint counts with %d runs, want 4", s.Runs)
	}
}

// busyEndpoint calls done after the last start that it is to carry out.
type busyEndpoint struct {
	Endpoints
	left atomic.Int64
	done func()
}

// Start answers that the order was carried out.
func (b *busyEndpoint) Start(context.Context, Target, StartCall) (answer schedule.OrderResult, err error) {
	if b.left.Add(-1) == 0 {
		b.done()
	}
	return schedule.Accepted, nil
}

// Guards, in a burst of more starts than the owner can send at once, against a plan of hundreds of
// starts that keep the renewals of leases waiting, and against starts that wait for the next
// regular plan.
func TestBurstIsSentInParts(t *testing.T) {
	log.SetHandler(discard.Default)
	const jobs, tasks, endpoints = 80, 16, 16
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	b := &busyEndpoint{done: cancel}
	m := &Manager{
		Settings: Settings{MaxLease: 10 * time.Second}, Term: Term{Number: 1, Confirmed: func() bool { return true }}, Endpoints: b,
		pollers: make(map[string]*poller), wake: make(chan struct{}, 1),
	}
	m.pace.Interval = maxPlanInterval
	m.scheduler.Settings = m.Settings.schedulerSettings(1)
	now := time.Now()
	// The starts of the first plan are not answered, so that their endpoint gets no others.
	for i := range endpoints {
		id := fmt.Sprintf("e%02d", i)
		m.pollers[id] = &poller{}
		m.scheduler.UpdateEndpoints([]schedule.Endpoint{{ID: id, Pool: "p", Capacity: job.Capacity{CPU: 1 << 30, MemoryMB: 1 << 30}}}, now)
		m.scheduler.ApplyReport(id, schedule.Report{SentAt: now, ReceivedAt: now, Incarnation: 1})
	}
	for i := range jobs {
		m.scheduler.AddJob(job.Record{State: job.Queued, Job: job.Job{
			ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", Steps: []job.Step{{Count: tasks, CPU: 1, EstimateMillis: 400}}, AcceptedAt: now.UnixMilli(),
			Objective: job.Objective{MaxAttempts: 2, Stretch: 2, TargetMillis: 1000},
		}}, now)
	}
	first := m.dueOrders()
	if len(first) < maxStartsPerPlan || len(first) >= maxStartsPerPlan+tasks {
		t.Errorf("%d starts at once, want %d and at most the rest of a step", len(first), maxStartsPerPlan)
	}
	b.left.Store(int64(jobs*tasks - len(first)))
	// Twenty parts by the regular interval of plans would take two seconds.
	m.runPlanner(ctx, ctx)
	m.ordersInFlight.Wait()
	if left := b.left.Load(); left > 0 {
		t.Errorf("%d starts were not sent in time", left)
	}
}

// Guards against an end of a run that waits for half a second in a calm fleet because the fleet
// is large, and against an owner that polls each of hundreds of endpoints for each end.
func TestRunEndBatchDelay(t *testing.T) {
	for _, c := range []struct {
		endpoints, pollsPerSecond int
		least, most               time.Duration
	}{
		{48, 2000, runEndBatchStep, runEndBatchStep},
		{350, 100, runEndBatchStep, 2 * runEndBatchStep},
		{350, 2000, 4 * runEndBatchStep, 5 * runEndBatchStep},
		{3000, 200, runEndBatchStep, 2 * runEndBatchStep},
		{3000, 4000, 8 * runEndBatchStep, 12 * runEndBatchStep},
	} {
		m := &Manager{pollers: make(map[string]*poller)}
		for i := range c.endpoints {
			m.pollers[string(rune(i))] = nil
		}
		now := time.Now().Add(-4 * time.Second)
		for range 4 * c.pollsPerSecond {
			now = now.Add(time.Second / time.Duration(c.pollsPerSecond))
			m.endPolls.count(now)
		}
		if d := m.runEndBatchDelay(); d < c.least || d > c.most {
			t.Errorf("%d endpoints, %d polls a second: %v, want %v to %v", c.endpoints, c.pollsPerSecond, d, c.least, c.most)
		}
		if w := m.idlePollWait(); w < pollWait || w > maxIdlePollWait || c.endpoints <= 1000 && w != pollWait {
			t.Errorf("%d endpoints: a poll without runs waits %v", c.endpoints, w)
		}
	}
}

// Guards against a second run of a task that starts after the first has ended as done: a busy
// owner applied the report of the end after it had planned the second run and before it sent the
// order.
func TestStartOfADoneTaskIsNotSent(t *testing.T) {
	log.SetHandler(discard.Default)
	endpoints := &fakeEndpoints{}
	m := &Manager{
		Settings: Settings{MaxLease: 10 * time.Second}, Term: Term{Number: 1, Confirmed: func() bool { return true }}, Endpoints: endpoints,
		pollers: make(map[string]*poller), wake: make(chan struct{}, 1), recordWriter: &recordWriter{wake: make(chan struct{}, 1)},
	}
	m.scheduler.Settings = m.Settings.schedulerSettings(1)
	now := time.Now()
	for _, id := range []string{"e1", "e2"} {
		m.pollers[id] = &poller{manager: m}
		m.scheduler.UpdateEndpoints([]schedule.Endpoint{{ID: id, Pool: "p", Capacity: job.Capacity{CPU: 8, MemoryMB: 8}}}, now)
		m.scheduler.ApplyReport(id, schedule.Report{SentAt: now, ReceivedAt: now, Incarnation: 1})
	}
	m.scheduler.AddJob(job.Record{State: job.Queued, Job: job.Job{
		ID: "0123456789abcdef", Queue: "q", Pool: "p", AcceptedAt: now.UnixMilli(), Objective: job.Objective{MaxAttempts: 2, Stretch: 2, TargetMillis: 1000},
		Steps: []job.Step{{Count: 1, CPU: 1, EstimateMillis: 400, AllowDuplicates: true}},
	}}, now)
	first := m.dueOrders()
	if len(first) != 1 {
		t.Fatalf("%d orders, want a start", len(first))
	}
	m.applyOrderResult(orderResult{order: first[0].Order, answer: schedule.Unknown})
	var second []plannedOrder
	for _, o := range m.dueOrders() {
		if o.Action == schedule.Start {
			second = append(second, o)
		}
	}
	if len(second) != 1 {
		t.Fatalf("%d starts, want one of a second run", len(second))
	}
	now = time.Now()
	m.applyReport(first[0].Endpoint, schedule.Report{
		SentAt: now, ReceivedAt: now, Incarnation: 1,
		Ended: []schedule.EndedRun{{Number: 1, Task: first[0].Task, Run: first[0].Run, Reason: schedule.EndDone}},
	})
	m.sendOrder(t.Context(), second[0])
	m.ordersInFlight.Wait()
	if endpoints.starts != 0 {
		t.Errorf("%d starts were sent after the task was done", endpoints.starts)
	}
	if s, known := m.scheduler.EndpointStatus(second[0].Endpoint); !known || s.Runs != 0 {
		t.Error("the run that was not started does not count as ended")
	}
}

// Guards against an owner without processor that starts fewer tasks than it could because its plans
// follow each other late: 64 starts each 100 ms are 640 a second.
func TestLateStartsAreNotBoundedByPlans(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		want     int
	}{{0, 64}, {minPlanInterval, 64}, {15 * time.Millisecond, 64}, {50 * time.Millisecond, 200}, {maxPlanInterval, 400}} {
		if got := startsPerPlan(c.interval); got != c.want {
			t.Errorf("%d starts a plan each %s, want %d", got, c.interval, c.want)
		}
	}
}
