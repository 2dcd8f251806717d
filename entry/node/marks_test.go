package node

import (
	"fmt"
	"strings"
	"sync/atomic"
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
		t.Errorf("%d jobs are reported to wait, want 400: %v", n, err)
	}
	f.await(b, fmt.Sprintf("%016x", 0xa000+399), job.Queued, time.Second)
	f.check()
}

// Guards against a cancelled job that starts because the owner still handles an earlier mark, which
// takes a call to the store that is not answered.
func TestCancellationDoesNotWaitForEarlierMarks(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	f.submit(a, id, "400", job.Step{Count: 3, CPU: 8000})
	for len(f.endpoints.Starts()) < 4 {
		time.Sleep(time.Millisecond)
	}
	const waiting = "2222222222222222"
	f.submit(a, waiting, "10", job.Step{Count: 1, CPU: 8000})
	release := make(chan struct{})
	defer close(release)
	read := make(chan struct{}, 100)
	f.store.SetFault(func(call string) standin.Fault {
		if call == "get" {
			read <- struct{}{}
			<-release
		}
		return standin.FaultNone
	})
	f.store.Put(manager.CancelPrefix+"3333333333333333", nil)
	<-read
	f.store.Put(manager.CancelPrefix+waiting, nil)
	f.await(b, waiting, job.Cancelled, time.Second)
	f.await(b, id, job.Completed, 2*time.Second)
	for _, s := range f.endpoints.Starts() {
		if strings.HasPrefix(s.Task, waiting) {
			t.Errorf("%s started although its job was cancelled", s.Task)
		}
	}
	f.check()
}

// Guards against a cancelled job that passes for one that is not, while all marks are read again
// because the store has compacted its history.
func TestMarksStayWhileTheyAreReadAgain(t *testing.T) {
	n := &Node{Store: &standin.Store{}}
	n.Init()
	var items []store.Item
	for i := range 100 {
		items = append(items, store.Item{Key: fmt.Sprintf("%s%016x", manager.CancelPrefix, i), Revision: 1})
	}
	items = append(items, store.Item{Key: manager.CancelPrefix + id, Revision: 1})
	n.resetControl(items, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			n.resetControl(items, 1)
		}
	}()
	for over := false; !over; {
		select {
		case <-done:
			over = true
		default:
		}
		if !n.isCancelled(id) {
			t.Fatal("the mark is missing")
		}
	}
	<-done
}

// Guards against a count of waiting jobs that leaves out a job which the owner adopts while it
// counts: the job was neither in the scheduler yet nor unknown to it any more.
func TestJobsAreCountedOnceWhileTheyAreAdopted(t *testing.T) {
	f := newFleet(t)
	_, b := f.startPair()
	f.await(b, "1111111111111111", job.Completed, 3*time.Second)
	// pending asks again while there is no answer: this test is about counts that are wrong.
	pending := func() (n int64) {
		t.Helper()
		for until := time.Now().Add(10 * time.Second); ; {
			n, err := b.Pending(t.Context(), "q")
			if err == nil {
				return n
			}
			if time.Now().After(until) {
				t.Fatal(err)
			}
		}
	}
	const jobs = 14
	for round := range 20 {
		transaction := store.Transaction{}
		for i := range jobs {
			j := job.Record{Job: job.Job{ID: fmt.Sprintf("%08x%08x", round+1, i), Queue: "q", Pool: "none", Spec: "10", Steps: []job.Step{{Count: 1}}}, State: job.Queued}
			value, err := j.Encode()
			if err != nil {
				t.Fatal(err)
			}
			transaction.Puts = append(transaction.Puts, store.Put{Key: manager.JobKey(j.ID), Value: value}, store.Put{Key: manager.InboxPrefix + j.ID, Value: []byte(j.Queue)})
		}
		if _, err := f.store.Commit(t.Context(), transaction); err != nil {
			t.Fatal(err)
		}
		before := int64(round * jobs)
		for n, seen := before, before; n < before+jobs; seen = n {
			if n = pending(); n < seen || n > before+jobs {
				t.Fatalf("%d jobs are said to wait after %d, of %d", n, seen, before+jobs)
			}
		}
		for k := range 200 {
			if n := pending(); n != before+jobs {
				t.Fatalf("count %d: %d jobs are said to wait, want %d", k, n, before+jobs)
			}
		}
	}
}

// Guards against a cancelled job that starts because it was cancelled while the owner was
// reading the jobs that were stored without it: 80e3312f0996024e on scale-1 of the large
// site was stored at 6.4 s, cancelled at 6.9 s and adopted as not cancelled at 9.8 s.
func TestJobCancelledDuringAdoptionsIsNotStarted(t *testing.T) {
	f := newFleet(t)
	_, b := f.startPair()
	var reads atomic.Int64
	marked := make(chan struct{})
	f.store.SetFault(func(call string) standin.Fault {
		if call == "get" && reads.Add(1) == 1 {
			<-marked
			time.Sleep(300 * time.Millisecond)
		}
		return standin.FaultNone
	})
	j := job.Record{Job: job.Job{ID: id, Queue: "q", Pool: "p", Spec: "10", Steps: []job.Step{{Count: 1, CPU: 1000}}}, State: job.Queued}
	value, err := j.Encode()
	if err != nil {
		t.Fatal(err)
	}
	commit := func(puts ...store.Put) {
		if _, err := f.store.Commit(t.Context(), store.Transaction{Puts: puts}); err != nil {
			t.Fatal(err)
		}
	}
	commit(store.Put{Key: manager.JobKey(id), Value: value}, store.Put{Key: manager.InboxPrefix + id, Value: []byte("q")})
	for reads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	commit(store.Put{Key: manager.CancelPrefix + id})
	close(marked)
	f.await(b, id, job.Cancelled, 3*time.Second)
	for _, s := range f.endpoints.Starts() {
		if s.Task == id+".0.0.0" {
			t.Error("a task of the cancelled job was started")
		}
	}
}
