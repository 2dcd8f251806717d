package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/occupancy"
)

// testLimits are those of the tests.
var testLimits = Limits{
	HeadBytes: 16 << 10, BodyBytes: 64 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute, BodyTimeout: time.Minute, AnswerTimeout: time.Minute,
}

// testServer is a server with the last reason for which it has refused a client.
type testServer struct {
	*Server
	reason atomic.Value
}

// startServer starts a server whose handler answers with the size of the body.
func startServer(t *testing.T, limits occupancy.Limits, l Limits, handler http.HandlerFunc) (s *testServer) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if handler == nil {
		handler = func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(r)
			_, _ = fmt.Fprintf(w, "%d bytes, %v", len(body), err)
		}
	}
	s = &testServer{Server: &Server{Name: "test", Listener: listener, Handler: handler, Limits: l, Table: &occupancy.Table{}}}
	s.OnRefusal = func(_ string, r Reason) { s.reason.Store(r) }
	s.Table.SetLimits(limits)
	result := s.Serve(t.Context())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), 2*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
	return s
}

// dial opens a connection to a server.
func dial(t *testing.T, s *testServer) net.Conn {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// status writes a request and returns the status of its answer, or 0 if the connection ends without one.
func status(c net.Conn, request string) (code int) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

func post(size int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body)
}

var manyClients = occupancy.Limits{Connections: 100, Spare: 10, Bytes: 8 << 20}

// Guards against refusals of requests that are exactly as large as allowed, and against larger ones that are served.
func TestSizesOfRequests(t *testing.T) {
	head := func(size int) string {
		const start, end = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
		return start + "A: " + strings.Repeat("a", size-len(start)-len(end)-len("A: \r\n")) + "\r\n" + end
	}
	small := "GET / HTTP/1.1\r\nHost: h\r\n"
	for n := 0; len(small) < testLimits.HeadBytes-20; n++ {
		small += fmt.Sprintf("a%x:\r\n", n)
	}
	for _, c := range []struct {
		name, request string
		want          int
	}{
		{"head at the limit", head(testLimits.HeadBytes), http.StatusOK},
		{"small fields at the limit", small + "\r\n", http.StatusOK},
		{"head far above the limit", head(2 * testLimits.HeadBytes), http.StatusRequestHeaderFieldsTooLarge},
		{"body at the limit", post(64<<10, strings.Repeat("x", 64<<10)), http.StatusOK},
		{"body above the limit", post(64<<10+1, ""), http.StatusRequestEntityTooLarge},
		{"chunks at the limit", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n0\r\n\r\n", http.StatusOK},
		{"chunks above the limit", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 64<<10+1) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, manyClients, testLimits, nil)
			if code := status(dial(t, s), c.request); code != c.want {
				t.Errorf("status %d, want %d", code, c.want)
			}
		})
	}
}

// Guards against a connection that is open before its first request, or between two, and is closed as one whose head
// takes too long.
func TestIdleConnectionsAreNoSlowHeads(t *testing.T) {
	l := testLimits
	l.HeadTimeout = occupancy.MinTimeout
	s := startServer(t, manyClients, l, nil)
	c := dial(t, s)
	for range 2 {
		time.Sleep(l.HeadTimeout + 2*timeSlack)
		if code := status(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); code != http.StatusOK {
			t.Errorf("status %d of a request after a pause", code)
		}
	}
}

// Guards against clients that hold a connection for longer than the limit of the stage in which they stop.
func TestTimesOfRequests(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		want       int
		reason     Reason
		change     func(l *Limits)
	}{
		{"head", "GET / HTTP/1.1\r\nHos", http.StatusBadRequest, ReasonHeadTimeout, func(l *Limits) { l.HeadTimeout = occupancy.MinTimeout }},
		{"no head", "", 0, ReasonIdle, func(l *Limits) { l.IdleTimeout, l.HeadTimeout = occupancy.MinTimeout, occupancy.MinTimeout }},
		{"body", post(10, "x"), http.StatusRequestTimeout, ReasonBodyTimeout, func(l *Limits) { l.BodyTimeout = occupancy.MinTimeout }},
		{"trailer", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n", http.StatusRequestTimeout, ReasonBodyTimeout, func(l *Limits) { l.BodyTimeout = occupancy.MinTimeout }},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := testLimits
			c.change(&l)
			s := startServer(t, manyClients, l, nil)
			code := status(dial(t, s), c.sent)
			if reason, _ := s.reason.Load().(Reason); code != c.want || reason != c.reason {
				t.Errorf("status %d for %s, want %d for %s", code, reason, c.want, c.reason)
			}
		})
	}
}

// Guards against requests of ordinary clients that get no answer, or one that is not true, while all connections are
// taken: by clients that send nothing, by stalled bodies, or by requests that are being served.
func TestFullServerAnswers(t *testing.T) {
	release := make(chan struct{})
	var served atomic.Int64
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			served.Add(1)
			<-release
		}
	}
	for _, c := range []struct {
		name, sent string
		want       int
	}{
		{"silent", "", http.StatusOK},
		{"stalled head", "GET / HT", http.StatusOK},
		{"stalled body", post(100, "x"), http.StatusOK},
		{"idle", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
		{"served", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, occupancy.Limits{Connections: 4, Spare: 2, Bytes: 1 << 20}, testLimits, handler)
			for range 4 {
				if _, err := io.WriteString(dial(t, s), c.sent); err != nil {
					t.Fatal(err)
				}
			}
			for until := time.Now().Add(10 * time.Second); c.name == "served" && served.Load() < 4 && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			if code := status(dial(t, s), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); code != c.want {
				t.Errorf("status %d, want %d", code, c.want)
			}
		})
	}
	close(release)
}

// Guards against limits of an earlier configuration that stay in force, and against requests that are cut off by a
// change of the limits.
func TestChangedLimits(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, manyClients, testLimits, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-release
		}
	})
	inHand, idle := dial(t, s), dial(t, s)
	answered := make(chan int, 1)
	go func() { answered <- status(inHand, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }()
	<-entered
	if code := status(idle, post(100, strings.Repeat("x", 100))); code != http.StatusOK {
		t.Errorf("status %d before the change", code)
	}
	l := testLimits
	l.HeadBytes, l.BodyBytes = occupancy.MinHeadBytes, 50
	s.SetLimits(l)
	s.SetLimits(l)
	if code := status(dial(t, s), post(100, strings.Repeat("x", 100))); code != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d of a body above the new limit", code)
	}
	if code := status(dial(t, s), "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 3*headSlack)+"\r\n\r\n"); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d of a head above the new limit", code)
	}
	if code := status(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); code != 0 {
		t.Errorf("status %d on a connection with the earlier limits", code)
	}
	close(release)
	if code := <-answered; code != http.StatusOK {
		t.Errorf("status %d of the request in hand", code)
	}
	l.BodyBytes = 200
	s.SetLimits(l)
	if code := status(dial(t, s), post(100, strings.Repeat("x", 100))); code != http.StatusOK {
		t.Errorf("status %d after the limit was raised", code)
	}
}

// Guards against requests that take more memory than the limit once they are decoded, and against memory that stays
// counted after the answer.
func TestHeldMemory(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	s := startServer(t, occupancy.Limits{Connections: 10, Spare: 2, Bytes: 1 << 20}, testLimits, func(w http.ResponseWriter, r *http.Request) {
		size := int64(900 << 10)
		if r.URL.Path == "/huge" {
			size = 2 << 20
		}
		if err := Hold(r.Context(), size); err != nil {
			RefuseHold(w, r, err)
			return
		}
		entered <- struct{}{}
		<-release
	})
	answered := make(chan int, 1)
	first := dial(t, s)
	go func() { answered <- status(first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
	<-entered
	if code := status(dial(t, s), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); code != http.StatusServiceUnavailable {
		t.Errorf("status %d beside a request with most of the memory", code)
	}
	if code := status(dial(t, s), "GET /huge HTTP/1.1\r\nHost: h\r\n\r\n"); code != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d of a request that never fits", code)
	}
	close(release)
	if code := <-answered; code != http.StatusOK {
		t.Errorf("status %d of the first request", code)
	}
	if code := status(first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); code != http.StatusOK {
		t.Errorf("status %d once the memory is free", code)
	}
}

// Guards against a stop that waits for clients which do not send or read.
func TestShutdownWithStalledClients(t *testing.T) {
	s := startServer(t, manyClients, testLimits, func(w http.ResponseWriter, _ *http.Request) {
		for range 1 << 12 {
			_, _ = w.Write(make([]byte, 4<<10))
		}
	})
	for _, sent := range []string{"", "GET / HT", post(100, "x"), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		if _, err := io.WriteString(dial(t, s), sent); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(ctx) }()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the server does not stop")
	}
}

// Guards against an estimate below what a job takes, by which a few requests of the allowed size exceed the memory.
func TestDecodedBytes(t *testing.T) {
	for text, want := range map[string]int64{
		`{"spec":"{,{\"{"}`:                            objectBytes,
		`{"steps":[{"count":1},{"count":1}]}`:          3*objectBytes + commaBytes,
		`{"steps":[{"after":[0,1,2]}]}`:                2*objectBytes + 2*commaBytes,
		`{"other":{"deep":[{"deeper":{}},{}]}}`:        2*objectBytes + commaBytes,
		"[" + strings.Repeat("{},", 1000) + "{}" + "]": 1001*objectBytes + 1000*commaBytes,
	} {
		if got := DecodedBytes([]byte(text)) - int64(textFactor*len(text)); got != want {
			t.Errorf("%.40s: %d bytes beside the text, want %d", text, got, want)
		}
	}
}

// Guards against a request whose context ends because its connection lost its place while the last bytes of the body
// were read.
func TestCompleteRequestsAreServed(t *testing.T) {
	var cancelled, served atomic.Int64
	s := startServer(t, occupancy.Limits{Connections: 25, Spare: 60, Bytes: 1 << 20}, testLimits, func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		served.Add(1)
		if r.Context().Err() != nil {
			cancelled.Add(1)
		}
	})
	var clients sync.WaitGroup
	for range 50 {
		clients.Go(func() {
			for range 400 {
				c, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Listener.Addr().String())
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, post(20, "first half"))
				status(c, "other half")
				_ = c.Close()
			}
		})
	}
	clients.Wait()
	if t.Logf("%d served", served.Load()); cancelled.Load() > 0 {
		t.Errorf("%d of %d requests were cancelled", cancelled.Load(), served.Load())
	}
}

// Guards against clients that keep their places by sending the next requests before the answer, so that nobody else
// is served.
func TestPipeliningConnectionsMakeRoom(t *testing.T) {
	s := startServer(t, occupancy.Limits{Connections: 4, Spare: 2, Bytes: 1 << 20}, testLimits, nil)
	for range 12 {
		c := dial(t, s)
		go func() { _, _ = io.Copy(io.Discard, c) }()
		go func() {
			block := strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000)
			for {
				if _, err := io.WriteString(c, block); err != nil {
					return
				}
			}
		}()
	}
	for range 5 {
		code := 0
		for until := time.Now().Add(10 * time.Second); code != http.StatusOK && time.Now().Before(until); {
			code = status(dial(t, s), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		if code != http.StatusOK {
			t.Fatalf("status %d beside clients with request after request", code)
		}
	}
}
