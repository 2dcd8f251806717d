package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/demo/internal/caller"
	"github.com/azurepoint/azurepoint/demo/internal/fleet"
	"github.com/azurepoint/azurepoint/demo/internal/operator"
)

const (
	// testWithin bounds one test, without the build of the programs.
	testWithin = 25 * time.Second
	// callers is how many callers wait at once in one call of send.
	callers = 12
	// batch is how many requests a test waits for between two steps.
	batch = 48
)

// programs is the folder of the programs, or why they could not be built.
var programs struct {
	folder string
	fault  string
}

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "azurepoint-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs.folder = folder
	for _, name := range []string{"azurepointd", "platformd", "endpointd"} {
		build := exec.Command("go", "build", "-o", folder, "./"+name)
		build.Dir = "../../.."
		if output, err := build.CombinedOutput(); err != nil {
			programs.fault = fmt.Sprintf("%s cannot be built: %v: %s", name, err, output)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// world is a running fleet under load.
type world struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context

	sent    atomic.Int64
	loads   sync.WaitGroup
	ended   context.Context
	end     context.CancelFunc
	mu      sync.Mutex
	records []caller.Record
}

// newWorld starts and configures a fleet, and sends load to all its entries.
func newWorld(t *testing.T) (w *world) {
	t.Helper()
	if programs.fault != "" {
		t.Skip(programs.fault)
	}
	w = &world{Fleet: newFleet(), t: t}
	// The processes outlive the deadline of the test, so that the history can
	// still be read.
	processes, kill := context.WithCancel(context.Background())
	t.Cleanup(kill)
	w.Group.Bin, w.Group.Logs = programs.folder, t.TempDir()
	t.Cleanup(func() { w.Group.StopAll(stopWithin) })
	w.must(w.Start(processes))
	w.must(configure(processes, w.Fleet))
	var cancel context.CancelFunc
	w.ctx, cancel = context.WithTimeout(processes, testWithin)
	t.Cleanup(cancel)
	w.ended, w.end = context.WithCancel(w.ctx)
	w.wait("all entries in force", func() bool { return w.settled(w.Entries) })
	w.send(w.Entries)
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// wait asks until a condition holds.
func (w *world) wait(what string, holds func() bool) {
	w.t.Helper()
	began := time.Now()
	defer func() { w.t.Logf("%s: waited %s", what, time.Since(began).Round(time.Millisecond)) }()
	for !holds() {
		select {
		case <-w.ctx.Done():
			w.t.Fatalf("not reached in %s: %s", testWithin, what)
		case <-time.After(pollEvery):
		}
	}
}

// send keeps callers busy with some entries until finish. Requests of several
// calls of send differ by their payload.
func (w *world) send(entries []*fleet.Entry) {
	load := &caller.Load{Kinds: kinds, Deadline: requestDeadline}
	for _, e := range entries {
		load.Entries = append(load.Entries, e.Caller)
	}
	for range callers {
		w.loads.Go(func() {
			for w.ended.Err() == nil {
				records := load.Send(context.Background(), int(w.sent.Add(1)), 1, 1)
				w.mu.Lock()
				w.records = append(w.records, records...)
				w.mu.Unlock()
			}
		})
	}
}

// served waits until callers got the answers of more requests.
func (w *world) served(more int) {
	w.t.Helper()
	done := func() (n int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, r := range w.records {
			if r.State == callerapi.OutcomeStateDone {
				n++
			}
		}
		return n
	}
	before := done()
	w.wait(fmt.Sprintf("%d more requests done", more), func() bool { return done() >= before+more })
}

// finish ends the load and checks the whole history.
func (w *world) finish() (c Counts) {
	w.t.Helper()
	w.end()
	w.loads.Wait()
	events, err := exercise{w.Fleet}.history(context.Background())
	w.must(err)
	c, violations := check(w.records, events)
	for _, v := range violations {
		w.t.Error(v)
	}
	w.t.Log(c, c.Reasons)
	return c
}

// run runs statements at one entry only, again while it refuses them because of
// its limit of operators' calls.
func (w *world) run(e *fleet.Entry, id, text string) (reply *operatorapi.Reply, err error) {
	one := operator.Client{Entries: []string{e.Operator}, Secret: fleet.OperatorSecret}
	for {
		reply, err = one.Run(w.ctx, id, text)
		var refusal *operatorapi.ErrorStatusCode
		if !errors.As(err, &refusal) || refusal.StatusCode != http.StatusTooManyRequests {
			return reply, err
		}
		time.Sleep(pollEvery)
	}
}

// incarnation returns that of an entry as it knows it itself.
func (w *world) incarnation(e *fleet.Entry) int64 {
	_, seen := w.sees(e)
	return seen[e.Name]
}

// sees returns the version in force at an entry, 0 if it does not answer, and the
// incarnations of the entries that it knows to be live and not leaving.
func (w *world) sees(e *fleet.Entry) (version int64, incarnations map[string]int64) {
	incarnations = make(map[string]int64)
	reply, err := w.run(e, "", "show versions")
	if err != nil {
		return 0, incarnations
	}
	for _, r := range reply.Tables[len(reply.Tables)-1].Rows {
		if r.Cells[5] == "" {
			incarnations[r.Cells[1]], _ = strconv.ParseInt(r.Cells[2], 10, 64)
		}
	}
	return reply.Version, incarnations
}

// settled tells whether the entries have the same version in force and all see
// each other in the same incarnations, and none sees an entry beyond them.
func (w *world) settled(entries []*fleet.Entry) bool {
	version, first := w.sees(entries[0])
	for _, e := range entries {
		v, seen := w.sees(e)
		if v != version || v == 0 || first[e.Name] == 0 || len(seen) != len(entries) || fmt.Sprint(seen) != fmt.Sprint(first) {
			return false
		}
	}
	return true
}

// others returns all entries but one.
func (w *world) others(e *fleet.Entry) []*fleet.Entry {
	return slices.DeleteFunc(slices.Clone(w.Entries), func(o *fleet.Entry) bool { return o == e })
}

// restart starts an entry whose process has ended, and waits until all entries
// see its new incarnation.
func (w *world) restart(e *fleet.Entry, before int64) {
	w.t.Helper()
	w.wait("start of "+e.Name, func() bool { return w.StartEntry(context.Background(), e) == nil })
	w.wait("all entries see "+e.Name+" again", func() bool {
		return w.settled(w.Entries) && w.incarnation(e) > before
	})
}

// platformFaults are the faults of the platform stand-in that the tests use.
type platformFaults struct {
	Down        bool    `json:"down"`
	LoseAnswers float64 `json:"loseAnswers"`
}

func (w *world) disturb(f platformFaults) {
	w.t.Helper()
	body, err := json.Marshal(f)
	w.must(err)
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPut,
		"http://"+w.Platform.Addresses[0]+"/standin/faults", bytes.NewReader(body))
	w.must(err)
	response, err := http.DefaultClient.Do(request)
	w.must(err)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		w.t.Fatalf("set the faults of the platform: %s", response.Status)
	}
}
