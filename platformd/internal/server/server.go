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
	// maxBodyBytes is the largest accepted request body. Values of the key-value
	// service have at most 1 MB.
	maxBodyBytes = 1 << 20
	// defaultWait and maxWait are the default and the longest duration of a watch,
	// as in the published API.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// Server handles the API of the platform and the control of its faults; it is
// created by New.
type Server struct {
	store      store.Store
	catalog    *catalog.Catalog
	faults     activeFaults
	counters   callCounters
	apiMux     *http.ServeMux
	controlMux *http.ServeMux
}

// New returns a server with an empty key-value service; the seed is for faults
// that are drawn at random.
func New(c *catalog.Catalog, seed uint64) (s *Server) {
	s = &Server{catalog: c, apiMux: http.NewServeMux(), controlMux: http.NewServeMux()}
	s.faults.init(seed)
	s.apiMux.HandleFunc("GET /v1/kv/{key...}", s.readKey)
	s.apiMux.HandleFunc("PUT /v1/kv/{key...}", s.writeKey)
	s.apiMux.HandleFunc("DELETE /v1/kv/{key...}", s.deleteKey)
	s.apiMux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.apiMux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.apiMux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	s.apiMux.HandleFunc("PUT /v1/agent/service/register", s.register)
	s.apiMux.HandleFunc("PUT /v1/agent/service/deregister/{id}", s.deregister)
	s.apiMux.HandleFunc("PUT /v1/agent/service/maintenance/{id}", s.setMaintenance)
	s.apiMux.HandleFunc("GET /v1/health/service/{service}", s.listInstances)
	s.controlMux.HandleFunc("GET /standin/counters", s.showCounters)
	s.controlMux.HandleFunc("GET /standin/faults", s.showFaults)
	s.controlMux.HandleFunc("PUT /standin/faults", s.setFaults)
	return s
}

// ServeHTTP counts the call and handles it with the current faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := s.controlMux.Handler(r); pattern != "" {
		s.controlMux.ServeHTTP(w, r)
		return
	}
	done := s.counters.countCall(r)
	defer done()
	if s.faults.breaksConnection(r) {
		s.counters.countBroken()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	// A delayed call is carried out even if its client has disconnected, as in a
	// slow service.
	time.Sleep(s.faults.delay())
	if r.Method != http.MethodGet && s.faults.shouldLoseAnswer() {
		s.apiMux.ServeHTTP(discardResponse{}, r)
		panic(http.ErrAbortHandler)
	}
	s.apiMux.ServeHTTP(w, r)
}

// waitForChange blocks a watch until the watched data has changed. It breaks the
// connection if a fault that breaks it was set meanwhile.
func (s *Server) waitForChange(r *http.Request, block func(ctx context.Context, after int64, deadline time.Time)) {
	after, deadline, isWatch := parseWatch(r)
	if !isWatch {
		return
	}
	ctx, end := s.faults.watch(r.Context())
	defer end()
	block(ctx, after, deadline)
	if s.faults.breaksConnection(r) {
		panic(http.ErrAbortHandler)
	}
}

// parseWatch returns the index and the deadline of a watch; isWatch is false for a
// call without a positive index.
func parseWatch(r *http.Request) (after int64, deadline time.Time, isWatch bool) {
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

// discardResponse discards the response of a call whose answer is lost.
type discardResponse struct{}

// Header returns headers that are never sent.
func (discardResponse) Header() http.Header { return http.Header{} }

// Write discards a part of the body.
func (discardResponse) Write(p []byte) (n int, err error) { return len(p), nil }

// WriteHeader discards the status.
func (discardResponse) WriteHeader(int) {}
