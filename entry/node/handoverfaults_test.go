package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/entry/standin"
)

// lateMessage is when a delayed handover is delivered: after the owner gave up on it.
const lateMessage = 1100 * time.Millisecond

// handoverFaults brings faults about in the messages of handovers. Its zero value has none.
type handoverFaults struct {
	mu     sync.Mutex
	choose func(to string) standin.Fault
	// delivered counts the handovers that were delivered, by receiver.
	delivered map[string]int
}

// set sets the function that selects what happens to a handover to an entry.
func (f *handoverFaults) set(choose func(to string) standin.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choose = choose
}

func (f *handoverFaults) fault(to string) standin.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.choose == nil {
		return standin.FaultNone
	}
	return f.choose(to)
}

// count returns how many handovers were delivered to an entry.
func (f *handoverFaults) count(to string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered[to]
}

func (f *handoverFaults) recordDelivery(to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.delivered == nil {
		f.delivered = make(map[string]int)
	}
	f.delivered[to]++
}

// wrap returns a handler of an entry that brings the faults about.
func (f *handoverFaults) wrap(to string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/handover") {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// What is delivered is carried out, also if the owner no longer waits for the answer.
		unanswered := r.WithContext(context.WithoutCancel(r.Context()))
		unanswered.Body, r.Body = io.NopCloser(bytes.NewReader(body)), io.NopCloser(bytes.NewReader(body))
		switch f.fault(to) {
		case standin.FaultRejected:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case standin.FaultLost:
			<-r.Context().Done()
		case standin.FaultAnswerLost:
			f.recordDelivery(to)
			h.ServeHTTP(discardedAnswer{w}, unanswered)
			panic(http.ErrAbortHandler)
		case standin.FaultDelayed:
			time.Sleep(lateMessage)
			f.recordDelivery(to)
			h.ServeHTTP(discardedAnswer{w}, unanswered)
		case standin.FaultNone:
			f.recordDelivery(to)
			h.ServeHTTP(w, r)
		}
	})
}

// discardedAnswer drops an answer.
type discardedAnswer struct{ http.ResponseWriter }

// Write drops a part of the answer.
func (discardedAnswer) Write(b []byte) (n int, err error) { return len(b), nil }

// WriteHeader drops the status.
func (discardedAnswer) WriteHeader(int) {}
