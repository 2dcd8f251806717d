package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurepoint/azurepoint/platformd/internal/catalog"
	"github.com/azurepoint/azurepoint/platformd/internal/store"
)

const (
	// maxBody is the largest accepted request body, in bytes; values of the
	// service have at most 1 MB.
	maxBody = 1 << 20
	// defaultWait and maxWait bound a watch, as in the published API.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// Server answers the calls on the stand-in; it is made by New.
type Server struct {
	store   store.Store
	catalog *catalog.Catalog
	faults  faultState
	counts  counterState
	calls   *http.ServeMux
	control *http.ServeMux
}

// New returns a server with an empty key-value service; the seed is for faults
// that are drawn at random.
func New(c *catalog.Catalog, seed uint64) (s *Server) {
	s = &Server{catalog: c, calls: http.NewServeMux(), control: http.NewServeMux()}
	s.faults.init(seed)
	s.calls.HandleFunc("GET /v1/kv/{key...}", s.readKey)
	s.calls.HandleFunc("PUT /v1/kv/{key...}", s.writeKey)
	s.calls.HandleFunc("DELETE /v1/kv/{key...}", s.removeKey)
	s.calls.HandleFunc("PUT /v1/session/create", s.createSession)
	s.calls.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.calls.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	s.calls.HandleFunc("PUT /v1/agent/service/register", s.register)
	s.calls.HandleFunc("PUT /v1/agent/service/deregister/{id}", s.deregister)
	s.calls.HandleFunc("PUT /v1/agent/service/maintenance/{id}", s.maintain)
	s.calls.HandleFunc("GET /v1/health/service/{service}", s.listInstances)
	s.control.HandleFunc("GET /standin/counters", s.showCounters)
	s.control.HandleFunc("GET /standin/faults", s.showFaults)
	s.control.HandleFunc("PUT /standin/faults", s.setFaults)
	return s
}

// ServeHTTP counts the call and carries it out under the faults in force.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := s.control.Handler(r); pattern != "" {
		s.control.ServeHTTP(w, r)
		return
	}
	finish := s.counts.begin(r)
	defer finish()
	if s.faults.cuts(r) {
		s.counts.cut()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	// A delayed call is carried out even if its client has given up, as in a
	// service that is slow.
	time.Sleep(s.faults.delay())
	if r.Method != http.MethodGet && s.faults.losesAnswer() {
		s.calls.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	s.calls.ServeHTTP(w, r)
}

// wait holds a watch until its state has changed; it breaks the connection if
// the service went down meanwhile.
func (s *Server) wait(r *http.Request, until func(ctx context.Context, after int64, deadline time.Time)) {
	after, deadline, waits := watchOf(r)
	if !waits {
		return
	}
	ctx, end := s.faults.watch(r.Context())
	defer end()
	until(ctx, after, deadline)
	if s.faults.cuts(r) {
		panic(http.ErrAbortHandler)
	}
}

// watchOf reads the index and the deadline of a watch.
func watchOf(r *http.Request) (after int64, deadline time.Time, waits bool) {
	after, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil || after <= 0 {
		return 0, time.Time{}, false
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		wait = defaultWait
	}
	return after, time.Now().Add(min(wait, maxWait)), true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeIndex(w http.ResponseWriter, index int64) {
	w.Header().Set("X-Consul-Index", strconv.FormatInt(max(1, index), 10))
}

// discard is the answer of a call whose answer is lost.
type discard struct{}

// Header returns headers that nobody reads.
func (discard) Header() http.Header { return http.Header{} }

// Write drops the text.
func (discard) Write(p []byte) (n int, err error) { return len(p), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}
