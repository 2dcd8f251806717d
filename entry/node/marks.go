package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// adoptInterval is the delay before a failed adoption of a job is retried.
const adoptInterval = 500 * time.Millisecond

// serveControl passes changes that were made without the owner to the manager, until
// the term or the context ends. Cancellations do not wait for adoptions, which take seconds
// after a burst: their callers have been told that no task starts any more.
func (n *Node) serveControl(ctx context.Context, t *heldTerm, m *manager.Manager) {
	ctx, cancel := context.WithCancel(ctx)
	cancelsDone := n.serveMarks(ctx, n.cancelsChanged, func() { n.applyCancellations(ctx, m) })
	inboxDone := n.serveMarks(ctx, n.inboxChanged, func() { n.adoptMarkedJobs(ctx, m) })
	select {
	case <-ctx.Done():
	case <-t.lost:
	}
	cancel()
	<-cancelsDone
	<-inboxDone
}

// serveMarks calls serve when marks have changed, and regularly, until the context ends.
func (n *Node) serveMarks(ctx context.Context, changed <-chan struct{}, serve func()) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(adoptInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			serve()
			select {
			case <-ctx.Done():
			case <-changed:
			case <-tick.C:
			}
		}
		ended <- nil
	}()
	return ended
}

// applyCancellations passes jobs that other entries cancelled to the manager, and removes
// their marks.
func (n *Node) applyCancellations(ctx context.Context, m *manager.Manager) {
	cancels := n.marked(n.cancels)
	if len(cancels) == 0 || !m.Loaded() {
		return
	}
	n.removeMarks(ctx, handleMarks(cancels, manager.CancelPrefix, func(id string) bool {
		if err := m.Adopt(ctx, id, func() bool { return true }); err != nil {
			return false
		}
		ctx, cancel := context.WithTimeout(ctx, adoptInterval)
		defer cancel()
		state, known, owner := m.Cancel(ctx, id, job.Caller{})
		return owner && (!known || state.Terminal())
	}))
}

// adoptMarkedJobs passes jobs that other entries stored to the manager, and removes their
// marks.
func (n *Node) adoptMarkedJobs(ctx context.Context, m *manager.Manager) {
	inbox := n.marked(n.inbox)
	if len(inbox) == 0 || !m.Loaded() {
		return
	}
	n.removeMarks(ctx, handleMarks(inbox, manager.InboxPrefix, func(id string) bool {
		return m.Adopt(ctx, id, func() bool { return n.isCancelled(id) }) == nil
	}))
}

// cancelMarks returns the jobs that are marked as cancelled.
func (n *Node) cancelMarks() (ids []string) {
	ids = n.cancelView.ids()
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.cancels {
		ids = append(ids, id)
	}
	return ids
}

// isCancelled reports whether a job is marked as cancelled.
func (n *Node) isCancelled(id string) bool {
	if n.cancelView.has(id) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, cancelled := n.cancels[id]
	return cancelled
}

// maxConcurrentMarks bounds the marks that are handled at the same time. Each waits for one
// or two calls to the store, and a burst without an owner leaves hundreds of them.
const maxConcurrentMarks = 32

// handleMarks calls handle for each marked job, several at a time, and returns the marks for
// which it reports success.
func handleMarks(marked map[string]int64, prefix string, handle func(id string) bool) (handled []store.Condition) {
	type result struct {
		mark store.Condition
		done bool
	}
	results := make(chan result)
	inFlight := 0
	collect := func() {
		r := <-results
		inFlight--
		if r.done {
			handled = append(handled, r.mark)
		}
	}
	for id, revision := range marked {
		if inFlight == maxConcurrentMarks {
			collect()
		}
		inFlight++
		go func() {
			results <- result{mark: store.Condition{Key: prefix + id, Revision: revision}, done: handle(id)}
		}()
	}
	for inFlight > 0 {
		collect()
	}
	return handled
}

// removeMarks removes handled marks. A mark that was renewed since stays, even if the
// removal is executed late.
func (n *Node) removeMarks(ctx context.Context, handled []store.Condition) {
	const batchSize = store.MaxTransactionOps / 2 // each takes a condition and a removal
	for batch := range slices.Chunk(handled, batchSize) {
		if err := n.removeBatch(ctx, batch); err != nil {
			event.RecordFailed.Log(log.Fields{"action": "remove marks", "error": err.Error()})
			return
		}
	}
}

// removeBatch removes those marks of a batch that have not changed.
func (n *Node) removeBatch(ctx context.Context, batch []store.Condition) (err error) {
	for len(batch) > 0 {
		t := store.Transaction{Conditions: batch}
		for _, c := range batch {
			t.Removes = append(t.Removes, c.Key)
		}
		err = n.commit(ctx, t)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		unchanged := slices.DeleteFunc(slices.Clone(batch), func(c store.Condition) bool {
			return conflict.Current[c.Key].Revision != c.Revision
		})
		if len(unchanged) == len(batch) {
			return err
		}
		batch = unchanged
	}
	return nil
}

// marked returns a copy of marked jobs with the revisions of their marks.
func (n *Node) marked(marks map[string]int64) map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(marks)
}

// applyMark adds or removes an inbox or cancel mark of a job and wakes its server.
func (n *Node) applyMark(c store.Change) {
	n.mu.Lock()
	n.recordMark(c)
	n.mu.Unlock()
	n.wakeMarks()
}

// resetMarks replaces all marks at once: a cancelled job must not pass for one that is not.
func (n *Node) resetMarks(items []store.Item) {
	n.mu.Lock()
	clear(n.inbox)
	clear(n.cancels)
	clear(n.inboxQueues)
	for _, i := range items {
		n.recordMark(store.Change{Item: i})
	}
	n.mu.Unlock()
	n.wakeMarks()
}

// recordMark adds or removes a mark; n.mu is held.
func (n *Node) recordMark(c store.Change) {
	for prefix, marked := range map[string]map[string]int64{manager.InboxPrefix: n.inbox, manager.CancelPrefix: n.cancels} {
		id, found := strings.CutPrefix(c.Key, prefix)
		switch {
		case !found:
		case c.Removed:
			delete(marked, id)
		default:
			marked[id] = c.Revision
		}
		if found && prefix == manager.InboxPrefix {
			delete(n.inboxQueues, id)
			if !c.Removed {
				n.inboxQueues[id] = string(c.Value)
			}
		}
	}
}

// wakeMarks wakes the servers of the marks.
func (n *Node) wakeMarks() {
	for _, changed := range []chan struct{}{n.cancelsChanged, n.inboxChanged} {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// pendingAtOwner returns the number of jobs of a queue that have not started, with those
// that are stored and that the owner has not adopted yet.
func (n *Node) pendingAtOwner(m *manager.Manager, queue string) (count int, owner bool) {
	n.mu.Lock()
	var marked []string
	for id, q := range n.inboxQueues {
		if q == queue {
			marked = append(marked, id)
		}
	}
	n.mu.Unlock()
	return m.Pending(queue, marked)
}
