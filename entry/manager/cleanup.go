package manager

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/store"
)

// runCleanup periodically removes the records of jobs that ended long ago, until the
// context ends.
func (m *Manager) runCleanup(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			retry.Sleep(ctx, cleanupInterval)
			for ctx.Err() == nil && m.removeOldRecords(ctx, time.Now()) {
			}
		}
		ended <- nil
	}()
	return ended
}

// removeOldRecords removes one transaction's worth of old records and reports whether
// there may be more. If the transaction fails, these records stay in the store until
// the next owner loads and removes them.
func (m *Manager) removeOldRecords(ctx context.Context, now time.Time) (more bool) {
	m.mu.Lock()
	ended := m.scheduler.RemoveEndedJobs(now.Add(-m.Settings.StateRetention-cleanupMargin), writesPerCommit)
	m.mu.Unlock()
	if len(ended) == 0 {
		return false
	}
	t := store.Transaction{Conditions: []store.Condition{m.Term.Owner}}
	for _, e := range ended {
		t.Conditions = append(t.Conditions, store.Condition{Key: JobKey(e.ID), Revision: e.Revision})
		t.Removes = append(t.Removes, JobKey(e.ID))
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := m.Store.Commit(ctx, t); err != nil {
		event.RecordFailed.Log(log.Fields{"action": "forget", "records": len(ended), "error": err.Error()})
		return false
	}
	return true
}
