package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/endpointd/internal/worker"
)

// maxFaultsBytes is the largest accepted body of PUT /standin/faults, in bytes.
const maxFaultsBytes = 4096

// NewServer returns the HTTP handler of a worker.
func NewServer(w *worker.Worker) (server http.Handler, err error) {
	endpointAPI, err := endpointapi.NewServer(handler{w}, endpointapi.WithErrorHandler(rejectInvalid))
	if err != nil {
		return nil, errors.Wrap(err, "standin: create the endpoint API server")
	}
	s := workerServer{worker: w}
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.dropWhileRebooting(s.injectAnswerFaults(endpointAPI)))
	mux.HandleFunc("GET /standin/history", s.serveHistory)
	mux.HandleFunc("GET /standin/faults", s.serveFaults)
	mux.HandleFunc("PUT /standin/faults", s.setFaults)
	return mux, nil
}

type workerServer struct {
	worker *worker.Worker
}

// dropWhileRebooting closes each connection while the endpoint reboots.
func (s workerServer) dropWhileRebooting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.worker.Rebooting() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// injectAnswerFaults drops or truncates the answers to task requests if such a
// fault is set.
func (s workerServer) injectAnswerFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := s.worker.Faults()
		isTask := r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/v1/tasks/")
		if !isTask || (!faults.LoseAnswers && !faults.TruncateAnswers) {
			next.ServeHTTP(w, r)
			return
		}
		buffered := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		if faults.LoseAnswers {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", strconv.Itoa(buffered.body.Len()))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body.Bytes()[:buffered.body.Len()/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

func (s workerServer) serveHistory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.worker.History())
}

func (s workerServer) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.worker.Faults())
}

func (s workerServer) setFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	var faults worker.Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if faults.WrongSizes < 0 {
		http.Error(w, "faults: wrongSizes: must not be negative", http.StatusBadRequest)
		return
	}
	s.worker.SetFaults(faults)
	writeJSON(w, faults)
}

// bufferedResponse buffers a response, so that it can be dropped or truncated.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the real response.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader records the status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends to the buffered body.
func (b *bufferedResponse) Write(part []byte) (n int, err error) { return b.body.Write(part) }

// rejectInvalid answers a request that does not match the endpoint API.
func rejectInvalid(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	writeBody(w, &endpointapi.Error{Code: endpointapi.RefusalCodeInvalid, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, value)
}

func writeBody(w http.ResponseWriter, value any) {
	if err := json.NewEncoder(w).Encode(value); err != nil {
		log.WithError(err).Warn("failed to write the response body")
	}
}
