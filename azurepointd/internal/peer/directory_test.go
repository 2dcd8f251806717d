package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const testSecret = "secret of the test's entries"

// testEntry is a directory that serves real HTTP requests; partitioned aborts the
// incoming ones.
type testEntry struct {
	*Directory
	peerrpc.Peer
	partitioned atomic.Bool
	server      *httptest.Server
	cancel      context.CancelFunc
}

func (e *testEntry) Heartbeat(ctx context.Context, m *peerrpc.HeartbeatMessage) (*peerrpc.HeartbeatMessage, error) {
	return e.Directory.Heartbeat(ctx, m)
}

func startEntry(t *testing.T, name, dataCentre string, join ...string) *testEntry {
	t.Helper()
	e := &testEntry{}
	handler := Handler(e, testSecret)
	e.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	e.server.Config.Protocols = Protocols()
	e.server.Start()
	ctx, cancel := context.WithCancel(t.Context())
	e.cancel = cancel
	e.Directory = &Directory{
		Name: name, DataCentre: dataCentre, Incarnation: 1, Secret: testSecret, Join: join,
		Address:  strings.TrimPrefix(e.server.URL, "http://"),
		Interval: 20 * time.Millisecond, Lifetime: 400 * time.Millisecond,
	}
	ended := e.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func joinNames(entries []membership.Entry) string {
	var names []string
	for _, e := range entries {
		names = append(names, e.Name)
	}
	return strings.Join(names, " ")
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against entries that do not discover each other through a chain of single
// join addresses, and against different owners of a duty at the entries of a data
// centre.
func TestEntriesFindEachOtherAndAgreeOnOwners(t *testing.T) {
	a := startEntry(t, "a1", "a")
	b := startEntry(t, "a2", "a", a.Address)
	c := startEntry(t, "b1", "b", b.Address)
	d := startEntry(t, "b2", "b", c.Address)
	for _, e := range []*testEntry{a, b, c, d} {
		waitFor(t, e.Name+" sees all", func() bool {
			return joinNames(e.Remote("a")) == "a1 a2" && joinNames(e.Remote("b")) == "b1 b2"
		})
	}
	for _, duty := range []string{"changes", "pool/cover", "pool/payroll"} {
		if a.Owner(duty).Name != b.Owner(duty).Name {
			t.Errorf("owner of %s: a1 says %s, a2 says %s", duty, a.Owner(duty).Name, b.Owner(duty).Name)
		}
	}
}

// Guards against a lost entry that keeps its duties, and against two sides of a
// network partition that do not reconnect after it heals.
func TestPartitionedEntryLosesDutiesAndRejoins(t *testing.T) {
	a := startEntry(t, "a1", "a")
	b := startEntry(t, "a2", "a", a.Address)
	waitFor(t, "both live", func() bool { return joinNames(a.Live()) == "a1 a2" && joinNames(b.Live()) == "a1 a2" })
	a.partitioned.Store(true)
	b.partitioned.Store(true)
	waitFor(t, "both alone", func() bool { return joinNames(a.Live()) == "a1" && joinNames(b.Live()) == "a2" })
	if _, err := a.Dial("a2", 0); err == nil {
		t.Error("a lost entry can still be dialled")
	}
	if owner := a.Owner("changes").Name; owner != "a1" {
		t.Errorf("duty still belongs to %s", owner)
	}
	a.partitioned.Store(false)
	b.partitioned.Store(false)
	waitFor(t, "both live again", func() bool { return joinNames(a.Live()) == "a1 a2" && joinNames(b.Live()) == "a1 a2" })
}

// Guards against calls that reach another incarnation of the entry than the one
// requested.
func TestDialChecksTheIncarnation(t *testing.T) {
	a := startEntry(t, "a1", "a")
	startEntry(t, "a2", "a", a.Address)
	waitFor(t, "both live", func() bool { return joinNames(a.Live()) == "a1 a2" })
	if _, err := a.Dial("a2", 1); err != nil {
		t.Errorf("right incarnation: %v", err)
	}
	if _, err := a.Dial("a2", 2); err == nil {
		t.Error("dialled an incarnation that does not exist")
	}
}

// Guards against a peer service that accepts calls without the secret.
func TestWrongSecretIsRefused(t *testing.T) {
	a := startEntry(t, "a1", "a")
	wrongSecretConn := newConnection(a.Address, "another secret")
	defer wrongSecretConn.disconnect()
	_, err := wrongSecretConn.client.Heartbeat(t.Context(), &peerrpc.HeartbeatMessage{
		Sender: &peerrpc.PeerInfo{Name: "x", DataCentre: "a", Incarnation: 1, Address: "127.0.0.1:1"},
	})
	if err == nil {
		t.Error("heartbeat with a wrong secret was answered")
	}
	if live := joinNames(a.Live()); live != "a1" {
		t.Errorf("live entries: %s", live)
	}
}

// Guards against entry lists in every heartbeat, whose total size grows with the
// square of the number of entries, and against remote entries that expire once the
// lists are no longer sent.
func TestSteadyHeartbeatsCarryNoListsAndKeepRemoteEntries(t *testing.T) {
	a := startEntry(t, "a1", "a")
	b := startEntry(t, "a2", "a", a.Address)
	c := startEntry(t, "b1", "b", a.Address)
	all := []*testEntry{a, b, c}
	for _, e := range all {
		waitFor(t, e.Name+" sees all", func() bool {
			return joinNames(e.Remote("a")) == "a1 a2" && joinNames(e.Remote("b")) == "b1"
		})
	}
	waitFor(t, "no lists between a1 and a2", func() bool {
		return len(a.newHeartbeat(b.Self()).Peers) == 0 && len(b.newHeartbeat(a.Self()).Peers) == 0
	})
	for _, e := range []*testEntry{a, b} {
		until := e.Remote("b")[0].AliveUntil
		waitFor(t, e.Name+" keeps b1", func() bool {
			live := e.Remote("b")
			return len(live) == 1 && live[0].AliveUntil.After(until.Add(time.Second))
		})
	}
}
