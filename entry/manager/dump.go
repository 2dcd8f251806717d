package manager

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// Dump is a summary of what a manager holds, for operators.
type Dump struct {
	Term int64 `json:"term"`
	// Loaded is set once the jobs of the previous owner are loaded, and Confirmed while the
	// ownership is confirmed.
	Loaded    bool `json:"loaded"`
	Confirmed bool `json:"confirmed"`
	// Creations counts the new jobs that are not stored yet, and Pollers the endpoints that
	// are polled.
	Creations int            `json:"creations"`
	Pollers   int            `json:"pollers"`
	Waves     []Wave         `json:"waves,omitempty"`
	Scheduler schedule.State `json:"scheduler"`
}

// Dump returns a summary of the manager.
func (m *Manager) Dump() (d Dump) {
	d = Dump{Term: m.Term.Number, Confirmed: m.Term.Confirmed(), Creations: m.recordWriter.countCreations()}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	d.Loaded, d.Pollers, d.Waves = m.loaded, len(m.pollers), m.declared
	d.Scheduler = m.scheduler.State(now, now)
	return d
}

// DescribeJob returns what is expected of an unfinished job; known is false if there is none.
func (m *Manager) DescribeJob(id string) (summary schedule.JobSummary, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.scheduler.DescribeJob(id, m.pace.Limit(now), now)
}

// countCreations returns how many new jobs are not stored yet.
func (rw *recordWriter) countCreations() int {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	return len(rw.creations)
}
