package manager

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/store"
)

// heldStore holds the transactions back that are sent before release is closed, and then rejects
// them if it is to.
type heldStore struct {
	fakeStore

	mu                  sync.Mutex
	committing, release chan struct{}
	rejects             bool
}

func (s *heldStore) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	select {
	case <-s.release:
	default:
		s.committing <- struct{}{}
		<-s.release
		if s.rejects {
			return 0, store.ErrRejected
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.Commit(ctx, t)
}

// Guards against a task that the next owner starts again although its end was reported: the
// write of the end was rejected or had not been sent when the owner stopped, and the handover
// did not arrive.
func TestHandOverStoresReportedEnds(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		s := &heldStore{
			fakeStore: fakeStore{revision: 1, items: make(map[string]store.Item)}, committing: make(chan struct{}, maxConcurrentCommits),
			release: make(chan struct{}), rejects: rejected,
		}
		m := newSubmitManager(s)
		for n := range 2 {
			r := job.Record{Job: newSubmission(n), State: job.Queued, Revision: 1}
			r.Steps[0].Count = 1
			s.items[JobKey(r.ID)] = store.Item{Key: JobKey(r.ID), Revision: 1}
			m.scheduler.LoadJob(r, time.Now())
		}
		var ended []schedule.EndedRun
		for n, o := range m.scheduler.Plan(time.Now(), time.Now()) {
			m.scheduler.RecordOrderResult(o, schedule.Accepted, time.Now())
			ended = append(ended, schedule.EndedRun{Number: int64(n + 1), Task: o.Task, Run: o.Run, Reason: schedule.EndDone})
		}
		if len(ended) != 2 {
			t.Fatalf("%d orders", len(ended))
		}
		ctx, cancel := context.WithCancel(t.Context())
		written := m.recordWriter.run(ctx)
		m.scheduler.ApplyReport("a", schedule.Report{SentAt: time.Now(), ReceivedAt: time.Now(), Incarnation: 1, Ended: ended[:1]})
		m.recordWriter.trigger()
		select {
		case <-s.committing:
		case <-time.After(5 * time.Second):
			t.Fatal("the first end is not stored")
		}
		m.applyReport("a", schedule.Report{SentAt: time.Now(), ReceivedAt: time.Now(), Incarnation: 1, Ended: ended})
		m.recordWriter.trigger()
		time.Sleep(minCommitInterval / 2)
		cancel()
		close(m.quiet)
		handedOver := make(chan struct{})
		go func() {
			m.HandOver(t.Context(), true)
			close(handedOver)
		}()
		time.Sleep(5 * time.Millisecond)
		close(s.release)
		<-handedOver
		if err := <-written; err != nil {
			t.Fatal(err)
		}
		for key, i := range s.items {
			if stored, err := job.Decode(i.Value, i.Revision); err != nil || stored.State != job.Completed {
				t.Errorf("rejected %t: %s is %q, error %v", rejected, key, stored.State, err)
			}
		}
	}
}
