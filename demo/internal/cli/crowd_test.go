package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/demo/internal/caller"
	"github.com/azurepoint/azurepoint/demo/internal/fleet"
	"github.com/azurepoint/azurepoint/entry/crowd"
)

// Bounds of the daemon that serves a crowd. Its settings have the defaults.
const (
	crowdMemoryMB    = 128
	crowdDescriptors = 512
	// ordinaryTries is how often an ordinary caller tries again at most.
	ordinaryTries = 20
)

// headCrowds are the crowds that do not end the head of a request, or send nothing else that counts.
func headCrowds(path string) []crowd.Behaviour {
	start := "GET " + path + " HTTP/1.1\r\nHost: host\r\n"
	return []crowd.Behaviour{
		{Name: "silent connections", Clients: 700},
		{Name: "a head without end", Clients: 250, Connections: 4, Send: crowd.Repeat(start+"A: ", "a", 2<<20)},
		{Name: "small fields without end", Clients: 60, Connections: 4, Send: crowd.Send(start + crowd.SmallFields(2<<20))},
		{Name: "unfinished heads of small fields", Clients: 450, Connections: 4, Send: crowd.Send(start + crowd.SmallFields(16_000))},
		{Name: "empty lines before a request", Clients: 700, Connections: 4, Send: crowd.Repeat("", "\r\n", 2<<20)},
		{Name: "a request and an idle connection", Clients: 700, Send: crowd.Send(start + "\r\n")},
		{Name: "answers that nobody reads", Clients: 700, Deaf: true, Send: crowd.Repeat("", start+"\r\n", 2<<20)},
		{Name: "a body that is not sent", Clients: 700, Send: crowd.Send(start + "Content-Length: 1000\r\n\r\n")},
	}
}

// bodyCrowds are the crowds whose requests take memory after the head.
func bodyCrowds(path, fields string) []crowd.Behaviour {
	const size = 1 << 20
	return []crowd.Behaviour{
		{Name: "bodies that stall", Clients: 700, Connections: 4, Send: crowd.Send(crowd.Post(path, "host", fields, size) + `{"pool":"` + strings.Repeat("x", size-20))},
		{Name: "a body without end", Clients: 250, Connections: 4, Send: crowd.Repeat(strings.Replace(crowd.Chunked(path, "host"), "Transfer", fields+"Transfer", 1), "1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 4<<20)},
		{Name: "a trailer that stalls", Clients: 700, Send: crowd.Send(strings.Replace(crowd.Chunked(path, "host"), "Transfer", fields+"Transfer", 1) + "2\r\n{}\r\n0\r\na: b\r\n")},
	}
}

// keyCrowd asks for long answers.
func keyCrowd() crowd.Behaviour {
	const order = `{"pool":"cover","count":1000}`
	return crowd.Behaviour{
		Name: "long answers that nobody reads", Clients: 700, Deaf: true,
		Send: crowd.Repeat("", crowd.Post("/v1/keys", "host", "Content-Type: application/json\r\n", len(order))+order, 64<<10),
	}
}

// TestCrowdOfDaemonCallers guards against callers that make the daemon hold more memory or descriptors than it has, so
// that it ends or no longer answers ordinary callers.
func TestCrowdOfDaemonCallers(t *testing.T) {
	const fields = "Content-Type: application/json\r\n"
	checkCrowds(t, func(e *fleet.Entry) string { return e.Caller }, headCrowds("/v1/requests/k"), bodyCrowds("/v1/keys", fields), []crowd.Behaviour{keyCrowd()})
}

// TestCrowdOfDaemonOperators guards against the same by clients of the operators' address.
func TestCrowdOfDaemonOperators(t *testing.T) {
	const fields = "Content-Type: application/json\r\nAuthorization: Bearer wrong\r\n"
	checkCrowds(t, func(e *fleet.Entry) string { return e.Operator }, headCrowds("/v1/metrics"), bodyCrowds("/v1/run", fields))
}

// TestCrowdOfDaemonPeers guards against the same by clients of the address for other entries.
func TestCrowdOfDaemonPeers(t *testing.T) {
	const fields = "Content-Type: application/protobuf\r\n"
	path := "/twirp/azurepoint.peer.Peer/Heartbeat"
	checkCrowds(t, func(e *fleet.Entry) string { return e.Peer }, headCrowds(path), bodyCrowds(path, fields))
}

// newCrowdedFleet starts a fleet of two entries that may have as many descriptors as the bound.
func newCrowdedFleet(t *testing.T) (tf *testFleet) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	if programs.buildError != "" {
		t.Skip(programs.buildError)
	}
	tf = &testFleet{Fleet: newFleet(), t: t}
	tf.Entries = tf.Entries[:2]
	tf.EndpointSpecs = slices.DeleteFunc(tf.EndpointSpecs, func(s fleet.EndpointSpec) bool { return s.DataCentre != "north" })
	tf.Group.Bin, tf.Group.Logs = limitedPrograms(t), t.TempDir()
	processes, kill := context.WithCancel(context.Background())
	t.Cleanup(kill)
	t.Cleanup(func() { tf.Group.StopAll(stopTimeout) })
	tf.must(tf.Start(processes))
	tf.must(configure(processes, tf.Fleet))
	tf.ctx = processes
	tf.waitUntil("the same version in force at all entries", func() bool { return tf.converged(tf.Entries) })
	return tf
}

// limitedPrograms returns a folder with the programs, of which the daemon has a limit of descriptors.
func limitedPrograms(t *testing.T) (folder string) {
	t.Helper()
	folder = t.TempDir()
	for _, name := range []string{"platformd", "endpointd"} {
		if err := os.Symlink(filepath.Join(programs.folder, name), filepath.Join(folder, name)); err != nil {
			t.Fatal(err)
		}
	}
	daemon := filepath.Join(programs.folder, "azurepointd")
	if other := os.Getenv("CROWD_DAEMON"); other != "" {
		daemon = other
	}
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", crowdDescriptors, daemon)
	if err := os.WriteFile(filepath.Join(folder, "azurepointd"), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return folder
}

// checkCrowds starts each crowd against one address of an entry.
func checkCrowds(t *testing.T, address func(e *fleet.Entry) string, crowds ...[]crowd.Behaviour) {
	t.Helper()
	for _, b := range slices.Concat(crowds...) {
		t.Run(b.Name, func(t *testing.T) {
			tf := newCrowdedFleet(t)
			tf.checkCrowd(tf.Entries[0], address(tf.Entries[0]), b)
		})
	}
}

// checkCrowd checks an entry beside a crowd and after it.
func (tf *testFleet) checkCrowd(e *fleet.Entry, address string, b crowd.Behaviour) {
	tf.t.Helper()
	descriptors := 0
	count := func() {
		if open, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(e.Process.ID()), "fd")); err == nil {
			descriptors = max(descriptors, len(open))
		}
	}
	c := crowd.Start(tf.ctx, address, b)
	c.Settled()
	count()
	if !tf.answersOrdinary(e) {
		tf.t.Error("an ordinary request got no answer beside the crowd")
	}
	count()
	c.Close()
	if state := tf.requestOrdinary(e); state != callerapi.OutcomeStateDone {
		tf.t.Errorf("an ordinary request after the crowd is %s", state)
	}
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(e.Process.ID()), "status"))
	if err != nil || !strings.Contains(string(text), "VmHWM:") {
		tf.t.Fatalf("the process has ended: %v", err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	peak, _ := strconv.Atoi(strings.Fields(after + " 0")[0])
	tf.t.Logf("%d connections, %d MB, %d descriptors", c.Opened.Load(), peak>>10, descriptors)
	if peak>>10 > crowdMemoryMB {
		tf.t.Errorf("the process took %d MB, above %d MB", peak>>10, crowdMemoryMB)
	}
	if descriptors >= crowdDescriptors {
		tf.t.Errorf("the process had all of its %d descriptors in use", descriptors)
	}
}

// answersOrdinary reports whether an ordinary caller that tries again without an answer gets a key.
func (tf *testFleet) answersOrdinary(e *fleet.Entry) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range ordinaryTries {
		r, err := http.NewRequestWithContext(tf.ctx, http.MethodPost, "http://"+e.Caller+"/v1/keys", strings.NewReader(`{"pool":"cover"}`))
		tf.must(err)
		r.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(r)
		if err == nil {
			var keys struct{ Keys []string }
			err = json.NewDecoder(answer.Body).Decode(&keys)
			_ = answer.Body.Close()
			if err == nil && (len(keys.Keys) == 1 || answer.StatusCode == http.StatusServiceUnavailable) {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// requestOrdinary returns the outcome of a request that is sent until it is done.
func (tf *testFleet) requestOrdinary(e *fleet.Entry) (state callerapi.OutcomeState) {
	load := &caller.LoadGenerator{Kinds: kinds, Deadline: requestDeadline, Entries: []string{e.Caller}}
	for n := range ordinaryTries {
		state = load.Send(tf.ctx, 1+n*len(kinds), 1, 1)[0].State
		if state == callerapi.OutcomeStateDone {
			return state
		}
		time.Sleep(500 * time.Millisecond)
	}
	return state
}
