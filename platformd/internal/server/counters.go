package server

import (
	"net/http"
	"sync"
)

// Counters are numbers of calls since the start.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Watches is how many calls had an index to wait for; each counts once,
	// however long it waits, and is not among the reads.
	Watches int64 `json:"watches"`
	// Waiting is how many watches are open now.
	Waiting int64 `json:"waiting"`
	// Cut is how many calls were broken; they are among the others as well.
	Cut int64 `json:"cut"`
}

type counterState struct {
	mu    sync.Mutex
	total Counters
}

// begin counts a call; finish is to be called at its end.
func (c *counterState) begin(r *http.Request) (finish func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Method != http.MethodGet {
		c.total.Writes++
		return func() {}
	}
	if _, _, waits := watchOf(r); !waits {
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

func (c *counterState) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.Cut++
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	s.counts.mu.Lock()
	current := s.counts.total
	s.counts.mu.Unlock()
	writeJSON(w, current)
}
