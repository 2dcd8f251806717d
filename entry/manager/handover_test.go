package manager

import (
	"context"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Guards against a task that the next owner starts again although its end was reported: the
// write of the end was rejected or had not been sent when the owner stopped, and the handover
// did not arrive.
func TestHandOverStoresReportedEnds(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		committing, release := make(chan struct{}), make(chan struct{})
		s := &fakeStore{revision: 1, items: make(map[string]store.Item)}
		m := newSubmitManager(s)
		s.onCommit = func() {
			committing <- struct{}{}
			<-release
			s.reject = rejected
		}
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
		case <-committing:
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
		s.onCommit = nil
		close(release)
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
