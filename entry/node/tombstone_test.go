package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/standin"
	"github.com/azurepoint/azurepoint/entry/store"
)

// lateCreation is a submission whose writes reach the store when the test releases them.
type lateCreation struct {
	mu   sync.Mutex
	held []store.Transaction
}

// holdCreation keeps all writes of an entry that may store the job.
func holdCreation(e *entry, id string) (l *lateCreation) {
	l = &lateCreation{}
	hold := func(t store.Transaction) bool {
		if !slices.ContainsFunc(t.Puts, func(p store.Put) bool { return p.Key == manager.JobKey(id) && p.Lease == 0 }) {
			return false
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held = append(l.held, t)
		return true
	}
	e.storeLink.holdsBack.Store(&hold)
	return l
}

// release has the store execute the kept writes, each under its conditions.
func (l *lateCreation) release(f *fleet) {
	f.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.held) == 0 {
		f.t.Fatal("no write was kept")
	}
	for _, t := range l.held {
		var conflict *store.ConflictError
		if _, err := f.store.Commit(f.t.Context(), t); err != nil && !errors.As(err, &conflict) {
			f.t.Fatal(err)
		}
	}
}

// cancelUntilAcknowledged cancels a job as a caller does, at entries by turns, and returns when that
// was acknowledged.
func (f *fleet) cancelUntilAcknowledged(id string, entries ...*entry) (at time.Time) {
	f.t.Helper()
	for n := range 100 {
		ctx, cancel := context.WithTimeout(f.t.Context(), callerTimeout)
		_, err := entries[n%len(entries)].Cancel(ctx, id, job.Caller{})
		cancel()
		if err == nil {
			return time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("the cancellation is not acknowledged")
	return time.Time{}
}

// startedAfter returns the starts of a job's tasks that were due after a time.
func (f *fleet) startedAfter(id string, at time.Time) (starts []string) {
	for _, s := range f.endpoints.Starts() {
		if strings.HasPrefix(s.Task, id) && s.Due.After(at) {
			starts = append(starts, fmt.Sprintf("%s run %d, %s later", s.Task, s.Run, s.Due.Sub(at)))
		}
	}
	return starts
}

// Steps of TestCancelledJobIsNotStartedByLateWrite.
const (
	stepCancel   = "cancel"
	stepLand     = "land"
	stepStop     = "stop"
	stepKill     = "kill"
	stepResubmit = "resubmit"
)

// Guards against a cancelled job that starts (UNASKED, review/2): the write that creates it got no
// answer, its cancellation was acknowledged because there was no record, and the store executed the
// write afterwards. The write is one of the owner or of another entry, and lands before or after
// the cancellation, changes of the owner, and a submission that arrives late.
func TestCancelledJobIsNotStartedByLateWrite(t *testing.T) {
	orders := [][]string{
		{stepCancel, stepLand},
		{stepLand, stepCancel, stepStop},
		{stepCancel, stepLand, stepStop},
		{stepCancel, stepLand, stepKill},
		{stepCancel, stepStop, stepLand},
		{stepCancel, stepKill, stepLand},
		{stepStop, stepCancel, stepLand},
		{stepKill, stepCancel, stepLand},
		{stepStop, stepCancel, stepLand, stepStop},
		{stepCancel, stepResubmit, stepLand, stepStop},
		{stepCancel, stepStop, stepResubmit, stepLand},
		{stepCancel, stepCancel, stepLand, stepStop},
		{stepLand, stepResubmit, stepCancel, stepStop},
	}
	for _, byOwner := range []bool{true, false} {
		for _, steps := range orders {
			t.Run(fmt.Sprintf("owner=%v/%s", byOwner, strings.Join(steps, ",")), func(t *testing.T) {
				t.Parallel()
				playLateWrite(t, byOwner, steps)
			})
		}
	}
}

// playLateWrite submits a job whose write is kept, carries out the steps, and fails the test if a
// task starts later than cancelBound after the first acknowledgement.
func playLateWrite(t *testing.T, byOwner bool, steps []string) {
	f := newFleet(t)
	owner, other := f.startPair()
	third := f.start("c")
	writer := other
	if byOwner {
		writer = owner
	}
	l := holdCreation(writer, id)
	j := newTestJob()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r := manager.Reply{}
	if byOwner {
		r = owner.manager().Submit(ctx, j, time.Now().Add(time.Second))
	} else {
		r = writer.storeDirectly(ctx, j, settlement{}, time.Now().Add(time.Second))
	}
	if r.Outcome != manager.Unsettled {
		t.Fatalf("outcome %s, want unsettled", r.Outcome)
	}
	writer.storeLink.holdsBack.Store(nil)
	acknowledged := time.Time{}
	for _, step := range steps {
		switch step {
		case stepCancel:
			at := f.cancelUntilAcknowledged(id, third, other)
			if acknowledged.IsZero() {
				acknowledged = at
			}
		case stepLand:
			time.Sleep(time.Until(acknowledged.Add(cancelBound)))
			l.release(f)
		case stepStop, stepKill:
			time.Sleep(time.Until(acknowledged.Add(cancelBound)))
			if owner = ownerOf(owner, other, third); step == stepStop {
				owner.stop()
			} else {
				owner.kill()
			}
			f.start("d")
		case stepResubmit:
			time.Sleep(time.Until(acknowledged.Add(cancelBound)))
			third.Submit(t.Context(), j, time.Now().Add(callerTimeout))
		}
	}
	time.Sleep(time.Until(acknowledged.Add(cancelBound)))
	time.Sleep(takeoverTime)
	for _, s := range f.startedAfter(id, acknowledged.Add(cancelBound)) {
		t.Errorf("started after the cancellation was acknowledged: %s", s)
	}
	f.check()
}

// newTestJob returns a job that ends after 10 ms.
func newTestJob() job.Job {
	return job.Job{
		ID: id, Queue: "q", Pool: "p", Spec: "10", Steps: []job.Step{{Count: 1, CPU: 1000}}, AcceptedAt: time.Now().UnixMilli(), Objective: testQueue.Objective,
	}
}

// takeoverTime is what a change of owner without a handover takes, and the adoption of a job.
const takeoverTime = 4 * time.Second

// ownerOf returns the entry that owns the pools, or the first one.
func ownerOf(entries ...*entry) *entry {
	for _, e := range entries {
		if e.manager() != nil {
			return e
		}
	}
	return entries[0]
}

// Guards against cancelled jobs that start and final states that change, where jobs are cancelled while
// their submission has no answer yet: beside lost, late and repeated writes, second submissions at
// other entries, and owners that stop, are killed or lose the store.
func TestJobsCancelledWhileSubmittedUnderFaults(t *testing.T) {
	first, count := historySeeds()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			h := &history{
				fleet: newFleet(t), rng: &lockedRand{Rand: rand.New(rand.NewPCG(seed, 4))}, jobs: make(map[string]*callerView), cancelsEarly: true, handovers: seed%2 == 0,
			}
			h.store.LateBy = lateWrite
			if seed%3 == 0 {
				h.store.LateBy = 2 * lateWrite
			}
			h.entries = []*entry{h.start("a"), h.start("b"), h.start("c")}
			h.run()
			h.checkAnswers()
			h.checkRecords()
			h.check()
		})
	}
}

// Guards against a cancelled job that starts because it was stored while its cancellation, which had
// found no record, had not written yet.
func TestCancellationFindsJobStoredMeanwhile(t *testing.T) {
	f := newFleet(t)
	owner, other := f.startPair()
	l := holdCreation(owner, id)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if r := owner.manager().Submit(ctx, newTestJob(), time.Now().Add(time.Second)); r.Outcome != manager.Unsettled {
		t.Fatalf("outcome %s, want unsettled", r.Outcome)
	}
	owner.storeLink.holdsBack.Store(nil)
	var landed sync.Once
	beforeTombstone := func(t store.Transaction) bool {
		if len(t.Puts) > 0 && t.Puts[0].Key == manager.JobKey(id) {
			landed.Do(func() { l.release(f) })
		}
		return false
	}
	other.storeLink.holdsBack.Store(&beforeTombstone)
	known, err := other.Cancel(t.Context(), id, job.Caller{})
	if err != nil || !known {
		t.Fatalf("known %v, %v; want a known job", known, err)
	}
	f.await(other, id, job.Cancelled, 3*time.Second)
	if starts := f.startedAfter(id, time.Time{}); len(starts) > 0 {
		t.Errorf("the cancelled job was started: %s", starts)
	}
	f.check()
}

// Guards against a cancellation that is acknowledged without a tombstone: its write has no answer, or was
// sent by a process that was suspended until the lease of the tombstone had ended.
func TestCancellationWithoutTombstoneIsNotAcknowledged(t *testing.T) {
	f := newFleet(t)
	_, other := f.startPair()
	for name, beforeTombstone := range map[string]func(t store.Transaction) bool{
		"no answer": func(store.Transaction) bool { return true },
		"lease ended": func(t store.Transaction) bool {
			if err := f.store.Revoke(f.t.Context(), t.Puts[0].Lease); err != nil {
				f.t.Error(err)
			}
			return false
		},
	} {
		isTombstone := func(t store.Transaction) bool {
			return len(t.Puts) > 0 && t.Puts[0].Key == manager.JobKey(id) && beforeTombstone(t)
		}
		other.storeLink.holdsBack.Store(&isTombstone)
		if known, err := other.Cancel(t.Context(), id, job.Caller{}); err == nil {
			t.Errorf("%s: known %v, want an error", name, known)
		}
		other.storeLink.holdsBack.Store(nil)
	}
	f.check()
}

// Guards against an identifier that is shown as a job because it was cancelled, although nobody
// submitted it, by this owner or the next one, and against a submission after the cancellation that is
// accepted.
func TestCancelledIdentifierIsNoJob(t *testing.T) {
	f := newFleet(t)
	owner, other := f.startPair()
	third := f.start("c")
	revision := int64(0)
	check := func(entries ...*entry) {
		t.Helper()
		for _, e := range entries {
			if known, err := e.Cancel(t.Context(), id, job.Caller{}); err != nil || known {
				t.Errorf("cancelled by %s: known %v, %v", e.Name, known, err)
			}
			if state, known, err := e.State(t.Context(), id, job.Caller{}); err != nil || known {
				t.Errorf("shown by %s as %q, known %v, %v", e.Name, state, known, err)
			}
			r := e.Submit(t.Context(), newTestJob(), time.Now().Add(callerTimeout))
			if r.Outcome != manager.Refused || r.RetryAfter != manager.TombstoneRetention {
				t.Errorf("submitted to %s: %+v, want a refusal", e.Name, r)
			}
			item, found, err := f.store.Get(t.Context(), manager.JobKey(id))
			if err != nil || !found || item.Revision <= revision || item.Lease == 0 {
				t.Errorf("the tombstone has revision %d and lease %d, %v; want one after %d that ends", item.Revision, item.Lease, err, revision)
			}
			revision = item.Revision
		}
		if n, err := entries[0].Pending(t.Context(), "q"); n != 0 {
			t.Errorf("%d jobs are said to wait: %v", n, err)
		}
	}
	check(owner, other, third)
	owner.stop()
	for ownerOf(owner, other, third) == owner || !ownerOf(other, third).manager().Loaded() {
		time.Sleep(5 * time.Millisecond)
	}
	check(other, third)
	f.check()
}

// Guards against a job that starts hours later, with the next owner: the write that creates it got no
// answer and was executed after its submission had ended, while the owner stayed the same.
func TestJobStoredByLateWriteIsAdopted(t *testing.T) {
	f := newFleet(t)
	owner, other := f.startPair()
	l := holdCreation(owner, id)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if r := owner.manager().Submit(ctx, newTestJob(), time.Now().Add(time.Second)); r.Outcome != manager.Unsettled {
		t.Fatalf("outcome %s, want unsettled", r.Outcome)
	}
	owner.storeLink.holdsBack.Store(nil)
	time.Sleep(2 * time.Second)
	l.release(f)
	f.await(other, id, job.Completed, 6*time.Second)
	if owner.manager() == nil {
		t.Error("the owner has changed")
	}
	f.check()
}

// Guards against a refusal, which says that the job never runs, of a job that another entry has stored
// and that the owner has not adopted yet: its caller submits it under another identifier, and both run.
func TestStoredJobIsNotRefused(t *testing.T) {
	for _, outcome := range []manager.Outcome{manager.Refused, manager.NotOwner} {
		n := &Node{Store: &standin.Store{}}
		n.Init()
		if r := n.logSubmission(newTestJob(), manager.Reply{Outcome: outcome}, "owner", time.Now(), time.Now()); r.Outcome != outcome {
			t.Errorf("a job that is not stored: %s instead of %s", r.Outcome, outcome)
		}
		mark := store.Change{Item: store.Item{Key: manager.InboxPrefix + id, Value: []byte("q"), Revision: 1}}
		n.applyMark(mark)
		if r := n.logSubmission(newTestJob(), manager.Reply{Outcome: outcome}, "owner", time.Now(), time.Now()); r.Outcome != manager.Unsettled {
			t.Errorf("a job that is stored: %s instead of %s", r.Outcome, outcome)
		}
		mark.Removed = true
		n.applyMark(mark)
		if r := n.logSubmission(newTestJob(), manager.Reply{Outcome: outcome}, "owner", time.Now(), time.Now()); r.Outcome != outcome {
			t.Errorf("a job that the owner has adopted: %s instead of %s", r.Outcome, outcome)
		}
	}
}

// Guards against a cancellation by which one organisation learns of another one's job, or stops it.
func TestCancellationOfAnotherOrganisationIsNotSeen(t *testing.T) {
	f := newFleet(t)
	_, other := f.startPair()
	j := newTestJob()
	j.Organisation = "south"
	if r := other.Submit(t.Context(), j, time.Now().Add(callerTimeout)); r.Outcome != manager.Accepted {
		t.Fatalf("outcome %s", r.Outcome)
	}
	if known, err := other.Cancel(t.Context(), id, job.Caller{Organisation: "north", Identified: true}); err != nil || known {
		t.Errorf("known %v, %v; want no job", known, err)
	}
	f.await(other, id, job.Completed, 3*time.Second)
	f.check()
}
