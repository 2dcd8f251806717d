package node

import (
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/entry/manager"
)

const (
	// doubtKept is how long a submission without an outcome is remembered; a write
	// without an answer may take effect seconds later.
	doubtKept = 30 * time.Second
	// mostDoubts bounds what is remembered; beyond it all is forgotten at once.
	mostDoubts = 10_000
)

// doubts remembers jobs that may be stored although no answer told so, so that a
// later attempt is not told that they are not.
type doubts struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// settle returns the reply to a submission with its outcome corrected by what
// earlier attempts left open.
func (d *doubts) settle(id string, r manager.Reply) manager.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch r.Outcome {
	case manager.Accepted:
		delete(d.until, id)
	case manager.Unsettled:
		if d.until == nil || len(d.until) >= mostDoubts {
			d.until = make(map[string]time.Time)
		}
		d.until[id] = now.Add(doubtKept)
	case manager.Refused, manager.NotOwner:
		if now.Before(d.until[id]) {
			r.Outcome = manager.Unsettled
			r.Reason = "an earlier attempt may be stored"
		}
	}
	return r
}
