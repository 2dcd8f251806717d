package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/peer"
	"github.com/azurepoint/azurepoint/entry/queue"
	"github.com/azurepoint/azurepoint/entry/standin"
)

// testQueue is the queue of all jobs of the tests.
var testQueue = queue.Queue{
	Name: "q", Host: "host", Prefix: "/q/", Pool: "p", Objective: job.Objective{MaxAttempts: 2, Stretch: 2, TargetMillis: 500},
}

// world is a few entries in one process, with stand-ins.
type world struct {
	t         *testing.T
	store     *standin.Store
	endpoints *standin.Endpoints
	directory standin.Directory
}

func newWorld(t *testing.T) *world {
	t.Helper()
	log.SetHandler(discard.Default)
	w := &world{t: t, store: &standin.Store{}, endpoints: &standin.Endpoints{}}
	for i := range 3 {
		w.directory = append(w.directory, schedule.Endpoint{
			ID: fmt.Sprintf("e%d", i), Pool: "p", Address: "none", Capacity: schedule.Capacity{CPU: 8000, MemoryMB: 8000},
		})
	}
	return w
}

// entry is a running entry.
type entry struct {
	*Node
	// kill ends the entry without giving up what it owns.
	kill func()
	// stop ends the entry as planned.
	stop func()
	// off is the store as the entry reaches it.
	off *cut
}

// start runs an entry and serves its peers.
func (w *world) start(name string) *entry {
	w.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(w.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	off := &cut{Store: w.store}
	n := &Node{
		Name: name, Address: listener.Addr().String(), Process: time.Now().UnixNano(), Store: off,
		Peers: peer.NewClient(), Endpoints: w.endpoints, Directory: w.directory, Machines: standin.Machines{},
		Manager: manager.Settings{LongestLease: 10 * time.Second, StateKept: time.Minute},
	}
	n.Init()
	n.SetConfiguration(&queue.Configuration{Version: 1, Queues: []queue.Queue{testQueue}, Pools: []queue.Pool{{Name: "p"}}})
	server := &http.Server{Handler: peer.Handler(AsOwner{Node: n}), ReadHeaderTimeout: time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	ended := n.Run(ctx)
	over := false
	end := func() {
		if over {
			return
		}
		over = true
		cancel()
		<-ended
		_ = server.Close()
		<-served
	}
	e := &entry{Node: n, off: off, stop: end, kill: func() {
		off.off.Store(true)
		end()
	}}
	w.t.Cleanup(end)
	return e
}

// submit hands a job in and fails the test unless it is accepted.
func (w *world) submit(e *entry, id, spec string, s job.Step) {
	w.t.Helper()
	j := job.Job{
		ID: id, Queue: "q", Pool: "p", Spec: spec, Steps: []job.Step{s}, Accepted: time.Now().UnixMilli(), Objective: testQueue.Objective,
	}
	r := e.Submit(w.t.Context(), j, time.Now().Add(3*time.Second))
	if r.Outcome != manager.Accepted {
		w.t.Fatalf("job %s: outcome %d, %s", id, r.Outcome, r.Reason)
	}
}

// await polls a job at an entry until it has a state.
func (w *world) await(e *entry, id string, want job.State, within time.Duration) {
	w.t.Helper()
	until := time.Now().Add(within)
	for {
		state, known, err := e.State(w.t.Context(), id)
		if err == nil && known && state == want {
			return
		}
		if err == nil && !known {
			w.t.Fatalf("job %s is not known", id)
		}
		if time.Now().After(until) {
			w.t.Fatalf("job %s is %q, want %q: %v", id, state, want, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// check fails the test if an endpoint has seen a broken promise.
func (w *world) check() {
	w.t.Helper()
	for _, v := range w.endpoints.Violations() {
		w.t.Error(v)
	}
}
