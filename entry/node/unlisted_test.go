package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/manager"
)

// changingDirectory is a list of endpoints that the test changes.
type changingDirectory struct {
	mu     sync.Mutex
	listed []schedule.Endpoint
	change func(manager.ListChange)
}

// Follow passes the list on and keeps the function for its changes.
func (d *changingDirectory) Follow(ctx context.Context, reset func(listed []schedule.Endpoint), change func(manager.ListChange)) <-chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	reset(d.listed)
	d.change = change
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ended <- nil
	}()
	return ended
}

// Guards against running work that is given up and started elsewhere because its endpoint
// did not report to the list for a while, though it answers the owner.
func TestRunsOfAnUnlistedEndpointContinue(t *testing.T) {
	f := newFleet(t)
	d := &changingDirectory{listed: testEndpoints()}
	f.directory = d
	a := f.start("a")
	f.submit(a, id, "9000", job.Step{Count: 1, CPU: 1000})
	var starts int
	for until := time.Now().Add(3 * time.Second); starts == 0 && time.Now().Before(until); starts = len(f.endpoints.Starts()) {
		time.Sleep(10 * time.Millisecond)
	}
	if starts == 0 {
		t.Fatal("the task is not started")
	}
	unlisted := f.endpoints.Starts()[0].Endpoint
	d.change(manager.ListChange{Unlisted: []string{unlisted}})
	f.submit(a, "2222222222222222", "10", job.Step{Count: 3, CPU: 1000})
	f.await(a, "2222222222222222", job.Completed, 3*time.Second)
	f.await(a, id, job.Completed, 12*time.Second)
	taskStarts := 0
	for _, s := range f.endpoints.Starts() {
		switch {
		case s.Task == id+".0.0.0":
			taskStarts++
		case s.Endpoint == unlisted:
			t.Errorf("%s started on the endpoint that is not listed", s.Task)
		}
	}
	if taskStarts != 1 {
		t.Errorf("the task was started %d times", taskStarts)
	}
	f.check()
}
