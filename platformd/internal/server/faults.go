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

// Faults is what the stand-in does wrong; a new set replaces the old one.
type Faults struct {
	// Down breaks the connection of every call.
	Down bool `json:"down"`
	// DelayMillis is how long each call takes.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the part of writes, from 0 to 1, that take effect but whose
	// answer is lost.
	LoseAnswers float64 `json:"loseAnswers"`
	// LoseNext is how many of the next writes lose their answer.
	LoseNext int `json:"loseNext"`
	// CutOff has the user agents and IP numbers whose calls are broken.
	CutOff []string `json:"cutOff"`
}

// faultState is the set of faults in force.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// watches ends the open watches, so that they see the next set of faults.
	watches map[int64]context.CancelFunc
	lastID  int64
}

func (f *faultState) init(seed uint64) {
	f.random = rand.New(rand.NewPCG(seed, 0))
	f.watches = make(map[int64]context.CancelFunc)
}

func (f *faultState) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = next
	for _, end := range f.watches {
		end()
	}
}

func (f *faultState) get() (current Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// watch returns a context that also ends with the next set of faults; end is to
// be called at the end of the watch.
func (f *faultState) watch(ctx context.Context) (watching context.Context, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	watching, cancel := context.WithCancel(ctx)
	f.lastID++
	id := f.lastID
	f.watches[id] = cancel
	return watching, func() {
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watches, id)
	}
}

// cuts tells whether the connection of the call is to be broken.
func (f *faultState) cuts(r *http.Request) bool {
	current := f.get()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return current.Down || slices.Contains(current.CutOff, r.UserAgent()) || slices.Contains(current.CutOff, host)
}

func (f *faultState) delay() (d time.Duration) {
	return time.Duration(f.get().DelayMillis) * time.Millisecond
}

func (f *faultState) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseNext > 0 {
		f.faults.LoseNext--
		return true
	}
	return f.random.Float64() < f.faults.LoseAnswers
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
