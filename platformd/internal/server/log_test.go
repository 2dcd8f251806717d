package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/changelog"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Guards against a change log that works only with the fakes of its own tests:
// three clients propose changes over HTTP while 30 % of the answers to writes are
// lost.
func TestChangeLogOverHTTP(t *testing.T) {
	s := startServer(t, 0)
	s.put(t, "/standin/faults", `{"loseAnswers":0.3}`)
	const clients, changes = 3, 20
	ended := make(chan *changelog.Log)
	for c := range clients {
		l := &changelog.Log{Store: s.client(fmt.Sprint("c", c)), SnapshotEvery: 10, RecordMargin: 5}
		go func() {
			defer func() { ended <- l }()
			for n := range changes {
				budget := n
				f, err := l.Propose(t.Context(), fleet.Change{
					ID:       fmt.Sprintf("%d-%d", c, n),
					Commands: []fleet.Command{{SetPool: &fleet.SetPool{Name: fmt.Sprint("p", c), Budget: &budget}}},
				})
				if err != nil || f.Refusal != "" {
					t.Errorf("change %d-%d: result %+v, error %v", c, n, f, err)
				}
				if c == 0 {
					// A lost answer aborts the compaction; the next call starts it
					// again.
					_, _ = l.Compact(t.Context())
				}
			}
		}()
	}
	for range clients {
		l := <-ended
		if _, err := l.WaitForRecords(t.Context(), time.Now()); err != nil {
			t.Error(err)
		}
	}
	fresh := &changelog.Log{Store: s.client("fresh")}
	if err := fresh.Load(t.Context()); err != nil || fresh.Version() != clients*changes || len(fresh.State().Results) != clients*changes {
		t.Errorf("a new client has version %d and %d results, error %v", fresh.Version(), len(fresh.State().Results), err)
	}
	if e, _ := s.store.List("azurepoint/log/"); len(e) >= clients*changes {
		t.Errorf("%d records are left, compaction removed none", len(e))
	}
}
