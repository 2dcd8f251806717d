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
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Bounds of writing records.
const (
	// commitTimeout bounds one transaction; a slow store answers within 300 ms.
	commitTimeout = time.Second
	// gatherWrites lets records that change close together share a transaction.
	gatherWrites = 4 * time.Millisecond
	// writesPerCommit fills a transaction: a condition and a put each, and the
	// condition on the owner.
	writesPerCommit = (store.MaxTransactionOps - 1) / 2
	// mostCommits bounds the transactions under way; a slow store then takes 200
	// records a second.
	mostCommits = 4
	// commitSpacing lets records share a transaction while another is under way.
	commitSpacing = 15 * time.Millisecond
	// firstCommitRetry and longestCommitRetry bound the delay after a failure.
	firstCommitRetry   = 30 * time.Millisecond
	longestCommitRetry = 300 * time.Millisecond
	// refuseAfter is how long a new job waits for a store that refuses it, before
	// its caller is told to come back: a quarter of the shortest objective.
	refuseAfter = 450 * time.Millisecond
)

// Outcome is what became of a submitted job.
type Outcome int

// Outcomes of a submission.
const (
	// NotOwner means that this entry has done nothing.
	NotOwner Outcome = iota
	// Accepted means that the job is stored.
	Accepted
	// Refused means that the job is not stored and never runs.
	Refused
	// Unsettled means that the job may be stored.
	Unsettled
)

// String returns the outcome as it is shown in figures.
func (o Outcome) String() string {
	return [...]string{"notOwner", "accepted", "refused", "unsettled"}[o]
}

// write is one record on its way to the store. Its value stays the same until it
// is known whether it was stored.
type write struct {
	id      string
	value   []byte
	state   job.State
	version int
	// creation is set for a new job.
	creation *creation
	// uncertain is set once a transaction with the write got no answer.
	uncertain bool
}

// creation is a new job whose submitters wait for its outcome.
type creation struct {
	record job.Record
	// refuseAt is when a job that is certainly not stored is refused, and until is
	// when its outcome is left open.
	refuseAt, until time.Time
	outcome         Outcome
	done            chan struct{}
}

// register writes the records of an owner, one transaction at a time, under the
// condition that the owner's key has not changed.
type register struct {
	store store.Store
	owner store.Condition
	// due returns the records of known jobs that have to be written.
	due func(limit int) []*write
	// stored and failed tell what became of them.
	stored func(w *write)
	failed func(w *write)
	// created and existing tell of jobs that are now in the store.
	created  func(r job.Record)
	existing func(item store.Item)
	lost     func()

	mu        sync.Mutex
	creations map[string]*creation
	queue     []*write
	// adopted are records whose revisions are to be taken over by write.
	adopted []store.Item

	revisions map[string]int64
	wake      chan struct{}
}

func (g *register) kick() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// create queues a new job, or joins the one of the same identifier.
func (g *register) create(r job.Record, until time.Time) (c *creation, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, waiting := g.creations[r.ID]; waiting {
		return c, nil
	}
	value, err := r.Encode()
	if err != nil {
		return nil, err
	}
	c = &creation{record: r, refuseAt: time.Now().Add(refuseAfter), until: until, done: make(chan struct{})}
	g.creations[r.ID] = c
	g.queue = append(g.queue, &write{id: r.ID, value: value, state: r.State, creation: c})
	g.kick()
	return c, nil
}

func (g *register) run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		g.write(ctx)
		g.abandon()
		ended <- nil
	}()
	return ended
}

// commitEnd is what became of a transaction.
type commitEnd struct {
	left       []*write
	progressed bool
}

// retry returns the failures in a row and when the next transaction may start.
func (e commitEnd) retry(earlier int) (failures int, at time.Time) {
	if e.progressed {
		return 0, time.Time{}
	}
	return earlier + 1, time.Now().Add(min(firstCommitRetry<<min(earlier, 6), longestCommitRetry))
}

// write commits what is due until the context ends. Several transactions may be
// under way, as a slow store takes 300 ms for each; a record is in one of them at
// most.
func (g *register) write(ctx context.Context) {
	ends := make(chan commitEnd)
	var held []*write
	underWay, failures := 0, 0
	retryAt, started := time.Time{}, time.Time{}
	tick := time.NewTicker(recordDelay / 4)
	defer tick.Stop()
	next := time.NewTimer(recordDelay)
	defer next.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-next.C:
		case <-g.wake:
			retry.Pause(ctx, gatherWrites)
		case e := <-ends:
			underWay--
			held = append(held, e.left...)
			failures, retryAt = e.retry(failures)
		}
		for underWay < mostCommits && !time.Now().Before(retryAt) {
			held = g.fill(held)
			if len(held) == 0 {
				break
			}
			if underWay > 0 && len(held) < writesPerCommit && time.Since(started) < commitSpacing {
				next.Reset(commitSpacing)
				break
			}
			batch := held[:min(writesPerCommit, len(held))]
			held = append([]*write(nil), held[len(batch):]...)
			underWay++
			started = time.Now()
			go func() {
				before := len(batch)
				left := g.commit(ctx, batch)
				ends <- commitEnd{left: left, progressed: len(left) < before}
			}()
		}
		if len(held) > 0 && time.Now().Before(retryAt) {
			held = g.expire(held)
			next.Reset(time.Until(retryAt))
		}
	}
	for ; underWay > 0; underWay-- {
		<-ends
	}
}

// revision returns the known revision of a record.
func (g *register) revision(key string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revisions[key]
}

func (g *register) setRevision(key string, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revisions[key] = revision
}

// fill adds waiting writes to a batch; new jobs and final states come first.
func (g *register) fill(batch []*write) []*write {
	g.mu.Lock()
	n := max(0, min(writesPerCommit-len(batch), len(g.queue)))
	batch = append(batch, g.queue[:n]...)
	g.queue = g.queue[n:]
	for _, i := range g.adopted {
		g.revisions[i.Key] = max(g.revisions[i.Key], i.Revision)
	}
	g.adopted = nil
	g.mu.Unlock()
	if room := writesPerCommit - len(batch); room > 0 {
		batch = append(batch, g.due(room)...)
	}
	return g.expire(batch)
}

// expire gives up on new jobs whose submitters wait no longer.
func (g *register) expire(batch []*write) (kept []*write) {
	now := time.Now()
	for _, w := range batch {
		switch {
		case w.creation == nil, w.uncertain && now.Before(w.creation.until), now.Before(w.creation.refuseAt):
			kept = append(kept, w)
		case w.uncertain:
			g.settle(w, Unsettled)
		default:
			g.settle(w, Refused)
		}
	}
	return kept
}

// commit sends the batch as one transaction and returns the writes that are left.
func (g *register) commit(ctx context.Context, batch []*write) (left []*write) {
	t := store.Transaction{Conditions: []store.Condition{g.owner}}
	for _, w := range batch {
		key := JobKey(w.id)
		t.Conditions = append(t.Conditions, store.Condition{Key: key, Revision: g.revision(key)})
		t.Puts = append(t.Puts, store.Put{Key: key, Value: w.value})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	defer meter.RecordSince("commit", time.Now())
	revision, err := g.store.Commit(ctx, t)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		for _, w := range batch {
			g.succeed(w, revision)
		}
		return nil
	case errors.As(err, &conflict):
		return g.resolve(batch, conflict.Current)
	case !errors.Is(err, store.ErrNotDone):
		for _, w := range batch {
			w.uncertain = true
		}
	}
	event.RecordFailed.Log(log.Fields{"records": len(batch), "error": err.Error()})
	return batch
}

// resolve settles a batch by what the store has, after a condition did not hold.
func (g *register) resolve(batch []*write, current map[string]store.Item) (left []*write) {
	if current[g.owner.Key].Revision != g.owner.Revision {
		for _, w := range batch {
			g.giveUp(w)
		}
		g.lost()
		return nil
	}
	for _, w := range batch {
		key := JobKey(w.id)
		item := current[key]
		switch {
		case item.Revision == g.revision(key):
			left = append(left, w)
		case bytes.Equal(item.Value, w.value):
			g.succeed(w, item.Revision)
		case w.creation != nil:
			g.setRevision(key, item.Revision)
			g.existing(item)
			g.settle(w, Accepted)
		default:
			// An answer to an earlier version of this record was lost.
			g.setRevision(key, item.Revision)
			left = append(left, w)
		}
	}
	return left
}

func (g *register) succeed(w *write, revision int64) {
	g.setRevision(JobKey(w.id), revision)
	if w.creation == nil {
		g.stored(w)
		return
	}
	g.created(w.creation.record)
	g.settle(w, Accepted)
}

// giveUp ends a write of an owner that is superseded.
func (g *register) giveUp(w *write) {
	switch {
	case w.creation == nil:
		g.failed(w)
	case w.uncertain:
		g.settle(w, Unsettled)
	default:
		g.settle(w, NotOwner)
	}
}

func (g *register) settle(w *write, outcome Outcome) {
	g.mu.Lock()
	delete(g.creations, w.id)
	g.mu.Unlock()
	w.creation.outcome = outcome
	close(w.creation.done)
}

// abandon tells all submitters that wait that the outcome is open.
func (g *register) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, c := range g.creations {
		delete(g.creations, id)
		c.outcome = Unsettled
		close(c.done)
	}
	g.queue = nil
}

// adopt makes the revision of a record known that another entry has written.
func (g *register) adopt(item store.Item) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adopted = append(g.adopted, item)
}

// forget drops the revisions of records that were removed.
func (g *register) forget(ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		delete(g.revisions, JobKey(id))
	}
}
