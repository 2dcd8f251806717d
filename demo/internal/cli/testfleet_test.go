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
	// testTimeout bounds one test; the build of the programs is not included.
	testTimeout = 25 * time.Second
	// callersPerLoad is the number of concurrent callers that one call of startLoad
	// adds.
	callersPerLoad = 12
	// requestBatch is the number of requests that a test waits for between two
	// steps.
	requestBatch = 48
)

// programs holds the folder of the built programs, or the build error.
var programs struct {
	folder     string
	buildError string
}

// TestMain builds the programs that the tests start as processes.
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
			programs.buildError = fmt.Sprintf("%s cannot be built: %v: %s", name, err, output)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// testFleet is a running fleet with concurrent callers and the outcomes that they
// received.
type testFleet struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context

	lastRequest atomic.Int64
	callers     sync.WaitGroup
	loadCtx     context.Context
	stopLoad    context.CancelFunc
	mu          sync.Mutex
	records     []caller.Record
}

// newTestFleet starts and configures a fleet and starts load on all its entries.
func newTestFleet(t *testing.T) (tf *testFleet) {
	t.Helper()
	if programs.buildError != "" {
		t.Skip(programs.buildError)
	}
	tf = &testFleet{Fleet: newFleet(), t: t}
	// The processes outlive the deadline of the test, because the history is read
	// from the endpoints afterwards.
	processes, kill := context.WithCancel(context.Background())
	t.Cleanup(kill)
	tf.Group.Bin, tf.Group.Logs = programs.folder, t.TempDir()
	t.Cleanup(func() { tf.Group.StopAll(stopTimeout) })
	tf.must(tf.Start(processes))
	tf.must(configure(processes, tf.Fleet))
	var cancel context.CancelFunc
	tf.ctx, cancel = context.WithTimeout(processes, testTimeout)
	t.Cleanup(cancel)
	tf.loadCtx, tf.stopLoad = context.WithCancel(tf.ctx)
	tf.waitUntil("the same version in force at all entries", func() bool { return tf.converged(tf.Entries) })
	tf.startLoad(tf.Entries)
	return tf
}

func (tf *testFleet) must(err error) {
	tf.t.Helper()
	if err != nil {
		tf.t.Fatal(err)
	}
}

// waitUntil polls until a condition holds.
func (tf *testFleet) waitUntil(what string, holds func() bool) {
	tf.t.Helper()
	began := time.Now()
	defer func() { tf.t.Logf("%s: waited %s", what, time.Since(began).Round(time.Millisecond)) }()
	for !holds() {
		select {
		case <-tf.ctx.Done():
			tf.t.Fatalf("not reached in %s: %s", testTimeout, what)
		case <-time.After(pollInterval):
		}
	}
}

// startLoad starts callers that send requests to the given entries until
// finishAndCheck. All requests of a test have different payloads.
func (tf *testFleet) startLoad(entries []*fleet.Entry) {
	load := &caller.LoadGenerator{Kinds: kinds, Deadline: requestDeadline}
	for _, e := range entries {
		load.Entries = append(load.Entries, e.Caller)
	}
	for range callersPerLoad {
		tf.callers.Go(func() {
			for tf.loadCtx.Err() == nil {
				records := load.Send(context.Background(), int(tf.lastRequest.Add(1)), 1, 1)
				tf.mu.Lock()
				tf.records = append(tf.records, records...)
				tf.mu.Unlock()
			}
		})
	}
}

// waitForDone waits until the given number of further requests is done.
func (tf *testFleet) waitForDone(more int) {
	tf.t.Helper()
	done := func() (n int) {
		tf.mu.Lock()
		defer tf.mu.Unlock()
		for _, r := range tf.records {
			if r.State == callerapi.OutcomeStateDone {
				n++
			}
		}
		return n
	}
	before := done()
	tf.waitUntil(fmt.Sprintf("%d more requests done", more), func() bool { return done() >= before+more })
}

// finishAndCheck ends the load and checks the whole history.
func (tf *testFleet) finishAndCheck() (c Counts) {
	tf.t.Helper()
	tf.stopLoad()
	tf.callers.Wait()
	events, err := scenario{tf.Fleet}.history(context.Background())
	tf.must(err)
	c, violations := checkHistory(tf.records, events)
	for _, v := range violations {
		tf.t.Error(v)
	}
	tf.t.Log(c, c.Reasons)
	return c
}

// runAt runs statements at one entry only and retries while the entry refuses them
// because of its rate limit for operators' calls.
func (tf *testFleet) runAt(e *fleet.Entry, id, text string) (reply *operatorapi.Reply, err error) {
	one := operator.Client{Entries: []string{e.Operator}, Secret: fleet.OperatorSecret}
	for {
		reply, err = one.Run(tf.ctx, id, text)
		var refusal *operatorapi.ErrorStatusCode
		if !errors.As(err, &refusal) || refusal.StatusCode != http.StatusTooManyRequests {
			return reply, err
		}
		time.Sleep(pollInterval)
	}
}

// incarnation returns the incarnation that an entry reports for itself.
func (tf *testFleet) incarnation(e *fleet.Entry) int64 {
	_, seen := tf.showVersions(e)
	return seen[e.Name]
}

// showVersions returns the version in force at an entry, 0 if it does not answer,
// and the incarnations of the entries that it lists as live and not leaving.
func (tf *testFleet) showVersions(e *fleet.Entry) (version int64, incarnations map[string]int64) {
	incarnations = make(map[string]int64)
	reply, err := tf.runAt(e, "", "show versions")
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

// converged reports whether the given entries have the same version in force and
// all list exactly each other, in the same incarnations.
func (tf *testFleet) converged(entries []*fleet.Entry) bool {
	version, first := tf.showVersions(entries[0])
	for _, e := range entries {
		v, seen := tf.showVersions(e)
		if v != version || v == 0 || first[e.Name] == 0 || len(seen) != len(entries) || fmt.Sprint(seen) != fmt.Sprint(first) {
			return false
		}
	}
	return true
}

// others returns all entries but one.
func (tf *testFleet) others(e *fleet.Entry) []*fleet.Entry {
	return slices.DeleteFunc(slices.Clone(tf.Entries), func(o *fleet.Entry) bool { return o == e })
}

// restart starts an entry whose process has ended and waits until all entries
// list its new incarnation.
func (tf *testFleet) restart(e *fleet.Entry, before int64) {
	tf.t.Helper()
	tf.waitUntil("start of "+e.Name, func() bool { return tf.StartEntry(context.Background(), e) == nil })
	tf.waitUntil("all entries list "+e.Name+" again", func() bool {
		return tf.converged(tf.Entries) && tf.incarnation(e) > before
	})
}

// platformFaults are the faults that the tests inject at the platform stand-in.
type platformFaults struct {
	Down        bool    `json:"down"`
	LoseAnswers float64 `json:"loseAnswers"`
}

func (tf *testFleet) setPlatformFaults(f platformFaults) {
	tf.t.Helper()
	body, err := json.Marshal(f)
	tf.must(err)
	request, err := http.NewRequestWithContext(tf.ctx, http.MethodPut,
		"http://"+tf.Platform.Addresses[0]+"/standin/faults", bytes.NewReader(body))
	tf.must(err)
	response, err := http.DefaultClient.Do(request)
	tf.must(err)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		tf.t.Fatalf("set the faults of the platform: %s", response.Status)
	}
}
