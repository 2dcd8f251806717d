package node

import (
	"encoding/json"
	"net/http"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
)

// Dump is a summary of what the entry holds, for operators. It contains no keys of callers.
type Dump struct {
	Name    string  `json:"name"`
	Process int64   `json:"process"`
	Cores   float64 `json:"cores"`
	// Owner is the entry that owns the pools as this one knows it, and OwnerTerm its term; both
	// are empty if none is known.
	Owner     string `json:"owner"`
	OwnerTerm int64  `json:"ownerTerm"`
	// StoreLost and OwnerLost are set while the last call got no answer, Isolated while jobs
	// are refused because of both, AccessClosed while requests with keys are refused, and
	// Stopping once the process ends.
	StoreLost    bool `json:"storeLost"`
	OwnerLost    bool `json:"ownerLost"`
	Isolated     bool `json:"isolated"`
	AccessClosed bool `json:"accessClosed"`
	Stopping     bool `json:"stopping"`
	// ConfigurationVersion is 0 until a configuration is in force.
	ConfigurationVersion   int64 `json:"configurationVersion"`
	ConfigurationAgeMillis int64 `json:"configurationAgeMillis"`
	// Entries counts the listed entries; InboxMarks and CancelMarks the jobs that were stored or
	// cancelled without the owner; Unsettled those of which this entry does not know whether
	// they are stored.
	Entries     int `json:"entries"`
	InboxMarks  int `json:"inboxMarks"`
	CancelMarks int `json:"cancelMarks"`
	Unsettled   int `json:"unsettled"`
	// Manager is set while this entry owns the pools.
	Manager *manager.Dump `json:"manager,omitempty"`
	// Job is set if an unfinished job was asked for that this entry manages.
	Job *schedule.JobSummary `json:"job,omitempty"`
}

// Dump returns a summary of the entry.
func (n *Node) Dump() (d Dump) {
	owner, _ := n.ownership.current()
	d = Dump{
		Name: n.Name, Process: n.Process, Cores: n.Cores, Owner: owner.Name, OwnerTerm: owner.Term,
		StoreLost: n.storeReach.lost(), OwnerLost: n.ownerReach.lost(), Isolated: n.isolated(), AccessClosed: n.accessClosed(),
		Stopping: n.stopping.Load(), ConfigurationAgeMillis: n.ConfigurationFreshness().Age.Milliseconds(),
		Entries: n.entries.count(), Unsettled: n.unsettled.count(),
	}
	if c := n.configuration.Load(); c != nil {
		d.ConfigurationVersion = c.Version
	}
	n.mu.Lock()
	d.InboxMarks, d.CancelMarks = len(n.inbox), len(n.cancels)
	n.mu.Unlock()
	if m := n.manager(); m != nil {
		summary := m.Dump()
		d.Manager = &summary
	}
	return d
}

// DumpHandler serves the summary of the entry as JSON, with that of the job that the query names.
func (n *Node) DumpHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		event.StateDumped.Log(nil)
		d := n.Dump()
		if m := n.manager(); m != nil {
			if j, known := m.DescribeJob(r.URL.Query().Get("job")); known {
				d.Job = &j
			}
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(d); err != nil {
			event.ComponentFailed.Log(log.Fields{"part": "dump", "error": err.Error()})
		}
	})
}

// count returns the number of listed entries.
func (e *entries) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.listed)
}

// count returns the number of submissions without an outcome, some of which may be outdated.
func (u *unsettledJobs) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.until)
}
