package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/standin"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Guards against a cancellation that was acknowledged and never applied: the removal of an
// earlier mark of the same job was executed after the mark had been written again.
func TestLateRemovalKeepsRenewedMark(t *testing.T) {
	f := newFleet(t)
	n := &Node{Store: f.store}
	key := manager.CancelPrefix + id
	mark := func() (revision int64) {
		revision, err := f.store.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: key}}})
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	handled := []store.Condition{{Key: key, Revision: mark()}}
	renewed := mark()
	n.removeMarks(t.Context(), handled)
	if item, found, err := f.store.Get(t.Context(), key); err != nil || !found || item.Revision != renewed {
		t.Errorf("found %v, revision %d, want %d: %v", found, item.Revision, renewed, err)
	}
	n.removeMarks(t.Context(), []store.Condition{{Key: key, Revision: renewed}})
	if _, found, err := f.store.Get(t.Context(), key); err != nil || found {
		t.Errorf("found %v after its removal: %v", found, err)
	}
}

// Guards against cancelled jobs that start because the owner reads hundreds of jobs, which
// were stored without it in a burst, one after the other before it applies a cancellation
// (UNASKED 30 and 155 on days of the large site). The jobs count as waiting meanwhile.
func TestCancellationsAreAppliedBeforeAdoptions(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	f.submit(a, id, "10000", job.Step{Count: 1, CPU: 1000})
	f.store.SetFault(func(call string) standin.Fault {
		if call == "get" {
			time.Sleep(20 * time.Millisecond)
		}
		return standin.FaultNone
	})
	transaction := store.Transaction{}
	for i := range 400 {
		j := job.Record{Job: job.Job{ID: fmt.Sprintf("%016x", 0xa000+i), Queue: "q", Pool: "none", Spec: "10", Steps: []job.Step{{Count: 1}}}, State: job.Queued}
		value, err := j.Encode()
		if err != nil {
			t.Fatal(err)
		}
		transaction.Puts = append(transaction.Puts, store.Put{Key: manager.JobKey(j.ID), Value: value}, store.Put{Key: manager.InboxPrefix + j.ID, Value: []byte(j.Queue)})
	}
	transaction.Puts = append(transaction.Puts, store.Put{Key: manager.CancelPrefix + id})
	if _, err := f.store.Commit(t.Context(), transaction); err != nil {
		t.Fatal(err)
	}
	f.await(b, id, job.Cancelled, time.Second)
	if n, err := b.Pending(t.Context(), "q"); n != 400 {
		t.Errorf("%d jobs are said to wait, want 400: %v", n, err)
	}
	f.await(b, fmt.Sprintf("%016x", 0xa000+399), job.Queued, time.Second)
	f.check()
}
