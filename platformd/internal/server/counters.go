package server

import (
	"net/http"
	"sync"
)

// Counters are the numbers of calls since the start.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Watches is the number of calls with an index to wait for. A watch counts
	// once, however long it waits, and is not counted as a read.
	Watches int64 `json:"watches"`
	// Waiting is the number of open watches.
	Waiting int64 `json:"waiting"`
	// Broken is the number of calls whose connection was broken; they are also
	// counted as reads, writes or watches.
	Broken int64 `json:"cut"`
}

type callCounters struct {
	mu    sync.Mutex
	total Counters
}

// countCall counts a call; the caller must call done when the call has ended.
func (c *callCounters) countCall(r *http.Request) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Method != http.MethodGet {
		c.total.Writes++
		return func() {}
	}
	if _, _, isWatch := parseWatch(r); !isWatch {
		c.total.Reads++
		return func() {}
	}
	c.total.Watches++
	c.total.Waiting++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.total.Waiting--
	}
}

func (c *callCounters) countBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.Broken++
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	s.counters.mu.Lock()
	current := s.counters.total
	s.counters.mu.Unlock()
	writeJSON(w, current)
}
