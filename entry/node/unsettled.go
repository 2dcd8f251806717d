package node

import (
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/entry/manager"
)

const (
	// unsettledRetention is how long a submission without an outcome is kept; a write
	// without an answer may take effect seconds later.
	unsettledRetention = 30 * time.Second
	// maxUnsettledJobs bounds the kept submissions; when it is reached, all of them
	// are dropped.
	maxUnsettledJobs = 10_000
)

// unsettledJobs records jobs that may be stored although no answer confirmed it, so
// that a later attempt is not answered with a refusal.
type unsettledJobs struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// correct returns the reply with the outcome Unsettled in place of a refusal if an
// earlier attempt may have stored the job.
func (u *unsettledJobs) correct(id string, r manager.Reply) manager.Reply {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	switch r.Outcome {
	case manager.Accepted:
		delete(u.until, id)
	case manager.Unsettled:
		if u.until == nil || len(u.until) >= maxUnsettledJobs {
			u.until = make(map[string]time.Time)
		}
		u.until[id] = now.Add(unsettledRetention)
	case manager.Refused, manager.NotOwner:
		if now.Before(u.until[id]) {
			r.Outcome = manager.Unsettled
			r.Reason = "an earlier attempt may be stored"
		}
	}
	return r
}
