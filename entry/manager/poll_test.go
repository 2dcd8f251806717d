package manager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// pollRecorder answers polls of one endpoint and records their times and waits.
type pollRecorder struct {
	Endpoints
	running []schedule.ListedRun
	polls   []time.Time
}

// Poll waits as long as the call allows and lists the running tasks.
func (r *pollRecorder) Poll(ctx context.Context, _ Target, c PollCall) (reply PollReply, err error) {
	r.polls = append(r.polls, time.Now())
	select {
	case <-ctx.Done():
	case <-time.After(max(c.Wait, time.Millisecond)):
	}
	return PollReply{Report: schedule.Report{Incarnation: 1, Running: r.running}, Clock: 1}, nil
}

// Guards against polls in proportion to the fleet: with 1,100 endpoints the polls of idle
// ones, one a second each, took a sixth of the owner's processor. A start has to be
// followed by a poll at once, as it renews the lease of the new run.
func TestIdleEndpointsArePolledLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := &pollRecorder{}
		m := &Manager{
			Settings: Settings{MaxLease: 10 * time.Second}, Term: Term{Number: 1, Confirmed: func() bool { return true }}, Endpoints: endpoints,
			pollers: make(map[string]*poller), pollersDue: map[string]bool{"e": true}, unlisted: make(map[string]time.Time), wake: make(chan struct{}, 1),
		}
		m.scheduler.Settings = m.Settings.schedulerSettings(1, time.Second)
		m.scheduler.UpdateEndpoints([]schedule.Endpoint{{ID: "e", Pool: "p", Capacity: schedule.Capacity{CPU: 8000, MemoryMB: 8000}}}, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		m.startPollers(ctx)
		time.Sleep(10 * time.Second)
		m.mu.Lock()
		idle := len(endpoints.polls)
		m.scheduler.AddJob(job.Record{Job: job.Job{ID: "j", Pool: "p", Steps: []job.Step{{Count: 1, CPU: 1000}}}, State: job.Queued}, time.Now())
		orders := m.scheduler.Plan(time.Now(), time.Now())
		m.mu.Unlock()
		if len(orders) != 1 {
			t.Fatalf("%d orders", len(orders))
		}
		endpoints.running = []schedule.ListedRun{{Task: orders[0].Task, Run: orders[0].Run}}
		m.pollers["e"].signalStart()
		begun := time.Now()
		time.Sleep(5 * time.Second)
		cancel()
		<-m.pollers["e"].done
		if idle < 5 || idle > 6 {
			t.Errorf("%d polls in 10 s without a run, want one in 2 s", idle)
		}
		busy := endpoints.polls[idle:]
		if len(busy) < 5 || busy[0].Sub(begun) > time.Millisecond {
			t.Errorf("polls of the busy endpoint after %s, %d in 5 s", busy[0].Sub(begun), len(busy))
		}
	})
}
