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

// maxFaultsBytes is the largest body taken at /standin/faults.
const maxFaultsBytes = 4096

// NewServer returns the HTTP handler of a worker.
func NewServer(w *worker.Worker) (server http.Handler, err error) {
	tasks, err := endpointapi.NewServer(handler{w}, endpointapi.WithErrorHandler(refuseInvalid))
	if err != nil {
		return nil, errors.Wrap(err, "standin: serve the endpoint API")
	}
	s := front{worker: w}
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.unlessRebooting(s.spoilAnswers(tasks)))
	mux.HandleFunc("GET /standin/history", s.history)
	mux.HandleFunc("GET /standin/faults", s.faults)
	mux.HandleFunc("PUT /standin/faults", s.setFaults)
	return mux, nil
}

type front struct {
	worker *worker.Worker
}

// unlessRebooting closes every connection while the endpoint reboots.
func (f front) unlessRebooting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.worker.Rebooting() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// spoilAnswers loses or truncates the answers for tasks when the faults say so.
func (f front) spoilAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := f.worker.Faults()
		isTask := r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/v1/tasks/")
		if !isTask || (!faults.LoseAnswers && !faults.TruncateAnswers) {
			next.ServeHTTP(w, r)
			return
		}
		a := &answer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(a, r)
		if faults.LoseAnswers {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", strconv.Itoa(a.body.Len()))
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body.Bytes()[:a.body.Len()/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

func (f front) history(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.worker.History())
}

func (f front) faults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.worker.Faults())
}

func (f front) setFaults(w http.ResponseWriter, r *http.Request) {
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
	f.worker.SetFaults(faults)
	writeJSON(w, faults)
}

// answer holds a response back until it is known what to do with it.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the real response.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader keeps the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write keeps a part of the body.
func (a *answer) Write(part []byte) (n int, err error) { return a.body.Write(part) }

// refuseInvalid answers a call that does not match the endpoint API.
func refuseInvalid(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
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
		log.WithError(err).Warn("answer not written")
	}
}
