package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/platform"
	"github.com/azurepoint/azurepoint/platformd/internal/catalog"
)

type testServer struct {
	*Server
	http *httptest.Server
}

func startServer(t *testing.T, lag time.Duration) *testServer {
	t.Helper()
	s := New(&catalog.Catalog{Lag: lag}, 1)
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return &testServer{Server: s, http: h}
}

func (s *testServer) client(name string) *platform.Client {
	return &platform.Client{Address: strings.TrimPrefix(s.http.URL, "http://"), Name: name, CallTimeout: 10 * time.Second}
}

func (s *testServer) put(t *testing.T, path, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, s.http.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: status %d", path, response.StatusCode)
	}
}

// waitUntil polls a condition until it holds or the test ends.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatalf("not seen: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a compare-and-swap that lets two writers create the same key or
// that overwrites a revision other than the given one, and against lists that are
// not in key order.
func TestKeys(t *testing.T) {
	c := startServer(t, 0).client("a")
	ctx := t.Context()
	for _, k := range []string{"log/2", "log/1", "other"} {
		if ok, err := c.CompareAndSwap(ctx, k, platform.MustNotExist, []byte(k)); !ok || err != nil {
			t.Fatalf("create %s: %v, error %v", k, ok, err)
		}
	}
	if ok, err := c.CompareAndSwap(ctx, "log/1", platform.MustNotExist, nil); ok || err != nil {
		t.Errorf("second create: %v, error %v", ok, err)
	}
	e, found, err := c.Get(ctx, "log/1")
	if !found || string(e.Value) != "log/1" || err != nil {
		t.Errorf("entry %+v, error %v", e, err)
	}
	if ok, _ := c.CompareAndSwap(ctx, "log/1", e.Revision, []byte("new")); !ok {
		t.Error("swap with the read revision was refused")
	}
	if ok, _ := c.CompareAndSwap(ctx, "log/1", e.Revision, []byte("newer")); ok {
		t.Error("swap with an old revision was accepted")
	}
	if ok, _ := c.Delete(ctx, "log/1", e.Revision); ok {
		t.Error("delete with an old revision was accepted")
	}
	entries, index, err := c.List(ctx, "log/")
	if err != nil || len(entries) != 2 || string(entries[0].Value) != "new" || entries[1].Key != "log/2" {
		t.Errorf("list %+v, error %v", entries, err)
	}
	if ok, _ := c.Delete(ctx, "log/1", entries[0].Revision); !ok {
		t.Error("delete with the read revision was refused")
	}
	if entries, _, err = c.Wait(ctx, "log/", index, time.Now().Add(time.Minute)); len(entries) != 1 || err != nil {
		t.Errorf("after a delete %+v, error %v", entries, err)
	}
}

// Guards against watches that miss a write, return for other keys or never end.
func TestWatch(t *testing.T) {
	s := startServer(t, 0)
	c := s.client("a")
	ctx := t.Context()
	_, index, _ := c.List(ctx, "log/")
	type result struct {
		entries []platform.Item
		err     error
	}
	results := make(chan result)
	go func() {
		entries, _, err := c.Wait(ctx, "log/", index, time.Now().Add(time.Minute))
		results <- result{entries, err}
	}()
	waitUntil(t, "watch", func() bool { return s.readCounters().Waiting == 1 })
	_, _ = c.CompareAndSwap(ctx, "other", platform.MustNotExist, nil)
	_, _ = c.CompareAndSwap(ctx, "log/1", platform.MustNotExist, []byte("x"))
	if r := <-results; r.err != nil || len(r.entries) != 1 {
		t.Errorf("watch saw %+v", r)
	}
	_, index, _ = c.List(ctx, "log/")
	if entries, _, err := c.Wait(ctx, "log/", index, time.Now().Add(30*time.Millisecond)); len(entries) != 1 || err != nil {
		t.Errorf("watch without a change gives %+v, error %v", entries, err)
	}
	if n := s.readCounters(); n.Watches != 2 || n.Writes != 2 || n.Reads != 2 || n.Waiting != 0 {
		t.Errorf("counters %+v", n)
	}
}

func (s *testServer) readCounters() (c Counters) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/standin/counters", nil))
	if err := json.Unmarshal(w.Body.Bytes(), &c); err != nil {
		panic(err)
	}
	return c
}

// Guards against a lease that takes the key of another lease or keeps its key
// after it has ended, and against a renewal that does not report the end.
func TestLease(t *testing.T) {
	c := startServer(t, 0).client("a")
	ctx := t.Context()
	lease, err := c.Register(ctx, "entry/a", []byte("x"), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = c.Register(ctx, "entry/a", nil, time.Minute); !errors.Is(err, platform.ErrKeyHeld) {
		t.Errorf("second registration gives error %v", err)
	}
	if until, err := lease.Renew(ctx); err != nil || time.Until(until) > time.Minute {
		t.Errorf("renewal until %v, error %v", until, err)
	}
	if e, found, _ := c.Get(ctx, "entry/a"); !found || string(e.Value) != "x" {
		t.Errorf("key of a lease: %+v", e)
	}
	if err = lease.End(ctx); err != nil {
		t.Error(err)
	}
	if _, found, _ := c.Get(ctx, "entry/a"); found {
		t.Error("the key of an ended lease is still there")
	}
	if lease, err = c.Register(ctx, "entry/a", nil, 50*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "removal of the key", func() bool { _, found, _ := c.Get(ctx, "entry/a"); return !found })
	if _, err = lease.Renew(ctx); !errors.Is(err, platform.ErrLeaseEnded) {
		t.Errorf("renewal of a lease that has expired gives error %v", err)
	}
}

// Guards against a list that shows changes without the lag, omits changes or
// includes instances of other data centres.
func TestInstances(t *testing.T) {
	s := startServer(t, 50*time.Millisecond)
	c := s.client("a")
	began := time.Now()
	for n, dc := range []string{"dc1", "dc1", "dc2"} {
		s.put(t, "/v1/agent/service/register?dc="+dc, fmt.Sprintf(`{"ID":"w%d","Name":"endpoint","Address":"10.0.0.%d","Port":80}`, n, n))
	}
	s.put(t, "/v1/agent/service/maintenance/w1?enable=true", "")
	s.put(t, "/v1/agent/service/deregister/w0", "")
	l, index, err := c.WaitInstances(t.Context(), "dc1", 0, time.Time{})
	if len(l) != 0 && time.Since(began) < 50*time.Millisecond || err != nil {
		t.Errorf("listings without lag: %+v, error %v", l, err)
	}
	for len(l) != 1 || !l[0].Leaving {
		if l, index, err = c.WaitInstances(t.Context(), "dc1", index, time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	if l[0].Name != "w1" || l[0].Address != "10.0.0.1:80" {
		t.Errorf("listings %+v", l)
	}
}

// Guards against faults that do not have the effect that other tests rely on: a
// lost answer whose write is not carried out, a delayed write that is dropped, a
// client that is cut off but gets an answer, and a watch that stays open during an
// outage.
func TestFaults(t *testing.T) {
	s := startServer(t, 0)
	a, b := s.client("a"), s.client("b")
	s.put(t, "/standin/faults", `{"loseNext":1}`)
	if _, err := a.CompareAndSwap(t.Context(), "k", platform.MustNotExist, []byte("x")); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("lost answer gives error %v", err)
	}
	if e, found, err := a.Get(t.Context(), "k"); !found || string(e.Value) != "x" {
		t.Errorf("after a lost answer: %+v, error %v", e, err)
	}
	s.put(t, "/standin/faults", `{"delayMillis":100}`)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := a.CompareAndSwap(ctx, "late", platform.MustNotExist, nil); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("a slow write gives error %v", err)
	}
	s.put(t, "/standin/faults", `{"cutOff":["a"]}`)
	waitUntil(t, "the late write", func() bool { _, found, err := b.Get(t.Context(), "late"); return found && err == nil })
	if _, _, err := a.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("a client that is cut off gets error %v", err)
	}
	_, index, _ := b.List(t.Context(), "k")
	ended := make(chan error)
	go func() {
		_, _, err := b.Wait(t.Context(), "k", index, time.Now().Add(time.Minute))
		ended <- err
	}()
	waitUntil(t, "watch", func() bool { return s.readCounters().Waiting == 1 })
	s.put(t, "/standin/faults", `{"down":true}`)
	if err := <-ended; !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("a watch over an outage gives error %v", err)
	}
	s.put(t, "/standin/faults", `{}`)
	if _, found, err := b.Get(t.Context(), "k"); !found || err != nil {
		t.Errorf("after the outage: found %v, error %v", found, err)
	}
}
