package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Faults is a set of faults to inject; a new set replaces the previous one.
type Faults struct {
	// Down breaks the connection of every call.
	Down bool `json:"down"`
	// DelayMillis is the delay before each call is carried out, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the fraction of writes, from 0 to 1, that take effect but
	// whose answer is lost.
	LoseAnswers float64 `json:"loseAnswers"`
	// LoseNext is the number of next writes whose answer is lost.
	LoseNext int `json:"loseNext"`
	// CutOff lists the user agents and IP addresses whose calls are broken.
	CutOff []string `json:"cutOff"`
}

// activeFaults holds the current set of faults and the watches that it applies to.
type activeFaults struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	// cancelWatches ends the open watches when the faults change, so that the new
	// set applies to them.
	cancelWatches map[int64]context.CancelFunc
	lastWatchID   int64
}

func (f *activeFaults) init(seed uint64) {
	f.rng = rand.New(rand.NewPCG(seed, 0))
	f.cancelWatches = make(map[int64]context.CancelFunc)
}

func (f *activeFaults) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = next
	for _, cancel := range f.cancelWatches {
		cancel()
	}
}

func (f *activeFaults) get() (current Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// watch returns a context that also ends when the faults change; the caller must
// call end when the watch has ended.
func (f *activeFaults) watch(ctx context.Context) (watching context.Context, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	watching, cancel := context.WithCancel(ctx)
	f.lastWatchID++
	id := f.lastWatchID
	f.cancelWatches[id] = cancel
	return watching, func() {
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.cancelWatches, id)
	}
}

// breaksConnection reports whether a fault breaks the connection of the call.
func (f *activeFaults) breaksConnection(r *http.Request) bool {
	current := f.get()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return current.Down || slices.Contains(current.CutOff, r.UserAgent()) || slices.Contains(current.CutOff, host)
}

func (f *activeFaults) delay() (d time.Duration) {
	return time.Duration(f.get().DelayMillis) * time.Millisecond
}

func (f *activeFaults) shouldLoseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseNext > 0 {
		f.faults.LoseNext--
		return true
	}
	return f.rng.Float64() < f.faults.LoseAnswers
}

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.faults.get())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var next Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(next)
}
