package manager

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Limits and delays of record writes.
const (
	// commitTimeout bounds one transaction; a slow store answers within 300 ms.
	commitTimeout = time.Second
	// writeBatchDelay lets records that change shortly after each other share a
	// transaction.
	writeBatchDelay = 4 * time.Millisecond
	// writesPerCommit is how many records fit in a transaction: each takes a
	// condition and a put, and the condition on the owner is added.
	writesPerCommit = (store.MaxTransactionOps - 1) / 2
	// maxConcurrentCommits bounds the transactions in flight; with eight, a slow store
	// takes 400 records a second. It leaves connections for the lease of the owner. Beyond
	// maxPartialCommits there are only full ones, so that a slow store gets few.
	maxConcurrentCommits = 8
	maxPartialCommits    = 4
	// creationsPart is the part of a transaction, as its inverse, that new jobs get beside
	// records that are due: without new jobs an owner would be idle, and without the others
	// endpoints report ends again and again.
	creationsPart = 3
	// minCommitInterval lets records accumulate for a shared transaction while
	// another one is in flight.
	minCommitInterval = 15 * time.Millisecond
	// minCommitRetryDelay and maxCommitRetryDelay bound the delay after a failed
	// transaction.
	minCommitRetryDelay = 30 * time.Millisecond
	maxCommitRetryDelay = 300 * time.Millisecond
	// maxCommitBytes is the length of the records of a transaction, those that it replaces included, above
	// which it has no second one: the answer to a condition that does not hold has all of them.
	maxCommitBytes = 256 << 10
	// commitBytesPerSecond is how much of a transaction a slow link carries in the time that is added to
	// commitTimeout.
	commitBytesPerSecond = 512 << 10
	// refuseAfter is how long a new job waits for a store that rejects it before its
	// caller is told to retry later: a quarter of the shortest objective.
	refuseAfter = 450 * time.Millisecond
)

// recordWrite is a pending write of one record. Its value must not change until it is
// known whether it was stored, and it replaces no other revision than the one that the
// record names: 0, a key that does not exist, for a new job.
type recordWrite struct {
	schedule.Write
	value []byte
	// creation is set for a new job.
	creation *creation
	// uncertain is set once a transaction with this write got no answer.
	uncertain bool
}

// key returns the key of the record.
func (w *recordWrite) key() string { return JobKey(w.Record.ID) }

// recordWriter writes the owner's records in batches, under the condition that the
// owner's key has not changed.
type recordWriter struct {
	store store.Store
	owner store.Condition
	// due returns the records of known jobs that have to be written.
	due func(limit int) []*recordWrite
	// stored and failed are called with the results of writes of known jobs.
	stored func(writes []schedule.Write, revision int64)
	failed func(w schedule.Write)
	// refused is called for the write of a known job that the store refuses for good.
	refused func(w schedule.Write, err error)
	// maxValueBytes is the longest value that the store accepts.
	maxValueBytes int
	// created is called for a new job that was stored. exists is called for one that was
	// already in the store and reports whether it is a job.
	created func(r job.Record, cancelled bool)
	exists  func(item store.Item, cancelled bool) (valid bool)
	lost    func()

	mu        sync.Mutex
	creations map[string]*creation
	queue     []*recordWrite
	// ended is set once nothing is written any more.
	ended bool
	// late holds the new jobs whose outcome is Unsettled.
	late lateCreations

	wake chan struct{}
	// over is closed when no transaction is in flight any more.
	over chan struct{}
}

// trigger wakes commitLoop.
func (rw *recordWriter) trigger() {
	select {
	case rw.wake <- struct{}{}:
	default:
	}
}

func (rw *recordWriter) run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		rw.commitLoop(ctx)
		close(rw.over)
		rw.abandonCreations()
		ended <- nil
	}()
	return ended
}

// commitResult is the result of a transaction.
type commitResult struct {
	remaining  []*recordWrite
	progressed bool
}

// backoff returns the number of failures in a row and when the next transaction may
// start.
func (e commitResult) backoff(previousFailures int) (failures int, at time.Time) {
	if e.progressed {
		return 0, time.Time{}
	}
	return previousFailures + 1, time.Now().Add(min(minCommitRetryDelay<<min(previousFailures, 6), maxCommitRetryDelay))
}

// commitLoop commits due records until the context ends. Several transactions may be in
// flight, because a slow store takes 300 ms for each; a record is in at most one of them.
func (rw *recordWriter) commitLoop(ctx context.Context) {
	var pending []*recordWrite
	results := make(chan commitResult)
	inFlight, failures := 0, 0
	retryAt, lastCommit := time.Time{}, time.Time{}
	tick := time.NewTicker(maxRecordDelay / 4)
	defer tick.Stop()
	next := time.NewTimer(maxRecordDelay)
	defer next.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-next.C:
		case <-rw.wake:
			retry.Sleep(ctx, writeBatchDelay)
		case e := <-results:
			inFlight--
			pending = append(pending, e.remaining...)
			failures, retryAt = e.backoff(failures)
		}
		if !time.Now().Before(retryAt) {
			pending = rw.fill(pending, (maxConcurrentCommits-inFlight)*writesPerCommit)
		}
		for len(pending) > 0 && inFlight < maxConcurrentCommits && !time.Now().Before(retryAt) {
			if waitsForMore(len(pending), inFlight, lastCommit) {
				next.Reset(minCommitInterval)
				break
			}
			batch := pending[:batchSize(pending)]
			pending = append([]*recordWrite(nil), pending[len(batch):]...)
			inFlight++
			lastCommit = time.Now()
			go func() {
				before := len(batch)
				// A transaction that is cut off when the owner stops leaves its callers without an answer.
				remaining := rw.commit(context.WithoutCancel(ctx), batch)
				results <- commitResult{remaining: remaining, progressed: len(remaining) < before}
			}()
		}
		if len(pending) > 0 && time.Now().Before(retryAt) {
			pending = rw.expireCreations(pending)
			next.Reset(time.Until(retryAt))
		}
	}
	for ; inFlight > 0; inFlight-- {
		e := <-results
		pending = append(pending, e.remaining...)
	}
	for _, w := range pending {
		if w.creation == nil {
			rw.failed(w.Write)
		}
	}
}

// batchSize returns how many of the pending writes share the next transaction.
func batchSize(pending []*recordWrite) (count int) {
	size := 0
	for ; count < min(writesPerCommit, len(pending)); count++ {
		if size += pending[count].size(); size > maxCommitBytes && count > 0 {
			break
		}
	}
	return count
}

// size returns what the write adds to a transaction, or to the answer that shows the present records.
func (w *recordWrite) size() int {
	return max(len(w.value), w.Record.StoredBytes)
}

// waitsForMore reports whether pending writes wait for others to share a transaction with.
func waitsForMore(pending, inFlight int, lastCommit time.Time) bool {
	return pending < writesPerCommit && (inFlight >= maxPartialCommits || inFlight > 0 && time.Since(lastCommit) < minCommitInterval)
}

// fill adds due records to the pending writes, up to a limit, without those of new jobs whose
// submitters no longer wait. New jobs and the other records leave each other a part.
func (rw *recordWriter) fill(pending []*recordWrite, limit int) []*recordWrite {
	spare := limit - len(pending)
	if spare <= 0 {
		return pending
	}
	rw.mu.Lock()
	waiting := len(rw.queue)
	rw.mu.Unlock()
	due := rw.due(spare - min(waiting, spare/creationsPart))
	rw.mu.Lock()
	n := min(len(rw.queue), spare-len(due))
	pending = append(pending, rw.queue[:n]...)
	rw.queue = rw.queue[n:]
	rw.mu.Unlock()
	return rw.expireCreations(append(pending, due...))
}

// expireCreations ends new jobs whose submitters no longer wait.
func (rw *recordWriter) expireCreations(batch []*recordWrite) (kept []*recordWrite) {
	now := time.Now()
	for _, w := range batch {
		switch {
		case w.creation == nil, w.uncertain && now.Before(w.creation.until), now.Before(w.creation.refuseAt):
			kept = append(kept, w)
		case w.uncertain:
			rw.finishCreation(w, Unsettled)
		default:
			rw.finishCreation(w, Refused)
		}
	}
	return kept
}

// commit sends the batch as one transaction and returns the writes that have to be
// repeated.
func (rw *recordWriter) commit(ctx context.Context, batch []*recordWrite) (remaining []*recordWrite) {
	if batch = rw.claim(batch); len(batch) == 0 {
		return nil
	}
	t := store.Transaction{Conditions: []store.Condition{rw.owner}}
	size := 0
	for _, w := range batch {
		size += w.size()
		t.Conditions = append(t.Conditions, store.Condition{Key: w.key(), Revision: w.Record.Revision})
		t.Puts = append(t.Puts, store.Put{Key: w.key(), Value: w.value})
	}
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout+time.Duration(size)*time.Second/commitBytesPerSecond)
	defer cancel()
	defer meter.RecordSince("commit", time.Now())
	revision, err := rw.store.Commit(callCtx, t)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		rw.markStored(batch, revision)
		return nil
	case errors.As(err, &conflict):
		return rw.resolveConflict(batch, conflict.Current)
	case errors.Is(err, store.ErrInvalid):
		return rw.resolveRefusal(ctx, batch, err)
	case !errors.Is(err, store.ErrRejected):
		for _, w := range batch {
			w.uncertain = true
		}
	default:
		rw.recordRejection(batch)
	}
	event.RecordFailed.Log(log.Fields{"records": len(batch), "error": err.Error()})
	return batch
}

// resolveRefusal finds the writes for which the store refuses a transaction whenever it is sent, and returns those that
// have to be repeated. The others of the batch are stored without them.
func (rw *recordWriter) resolveRefusal(ctx context.Context, batch []*recordWrite, err error) (remaining []*recordWrite) {
	if half := len(batch) / 2; half > 0 {
		return append(rw.commit(ctx, batch[:half]), rw.commit(ctx, batch[half:])...)
	}
	w := batch[0]
	switch {
	case w.creation == nil:
		rw.refused(w.Write, err)
	case w.uncertain:
		rw.finishCreation(w, Unsettled)
	default:
		meter.Count("refusals.record")
		rw.finishCreation(w, Refused)
	}
	return nil
}

// resolveConflict compares a batch with the stored items after a condition did not
// hold, and returns the writes that have to be repeated.
func (rw *recordWriter) resolveConflict(batch []*recordWrite, current map[string]store.Item) (remaining []*recordWrite) {
	if current[rw.owner.Key].Revision != rw.owner.Revision {
		for _, w := range batch {
			rw.giveUp(w)
		}
		rw.lost()
		return nil
	}
	for _, w := range batch {
		item := current[w.key()]
		switch {
		case item.Revision == w.Record.Revision:
			remaining = append(remaining, w)
		case bytes.Equal(item.Value, w.value):
			rw.markStored([]*recordWrite{w}, item.Revision)
		case w.creation != nil && isTombstone(item, w.creation.organisation):
			rw.refuseCancelled(w)
		case w.creation != nil:
			rw.finishCreation(w, rw.adoptExisting(w, item))
		default:
			// Only the owner replaces records, and a record has one write at a time. The
			// next term reads what holds.
			event.RecordConflict.Log(log.Fields{"job": w.Record.ID, "replaces": w.Record.Revision, "found": item.Revision})
			rw.giveUp(w)
			rw.lost()
		}
	}
	return remaining
}

// adoptExisting passes on a job that is already stored under the identifier of a creation,
// and returns the outcome of the creation.
func (rw *recordWriter) adoptExisting(w *recordWrite, item store.Item) Outcome {
	r, err := job.Decode(item.Value, item.Revision)
	other := err == nil && !job.MayBeSameJob(r.Organisation, w.creation.organisation)
	switch {
	case !rw.exists(item, !other && rw.isCancelled(w.creation)):
		return Unsettled
	case other:
		return Refused
	default:
		return Accepted
	}
}

func (rw *recordWriter) markStored(batch []*recordWrite, revision int64) {
	var known []schedule.Write
	for _, w := range batch {
		if w.creation == nil {
			known = append(known, w.Write)
			continue
		}
		r := w.Record
		r.Revision, r.StoredBytes = revision, len(w.value)
		rw.created(r, rw.isCancelled(w.creation))
		rw.finishCreation(w, Accepted)
	}
	if len(known) > 0 {
		rw.stored(known, revision)
	}
}

// giveUp ends a write of an owner whose term is over.
func (rw *recordWriter) giveUp(w *recordWrite) {
	switch {
	case w.creation == nil:
		rw.failed(w.Write)
	case w.uncertain:
		rw.finishCreation(w, Unsettled)
	default:
		rw.finishCreation(w, NotOwner)
	}
}
