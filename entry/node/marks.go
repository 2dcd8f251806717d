package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// adoptInterval is the delay before a failed adoption of a job is retried.
const adoptInterval = 500 * time.Millisecond

// serveControl passes changes that were made without the owner to the manager, until
// the term or the context ends.
func (n *Node) serveControl(ctx context.Context, t *heldTerm, m *manager.Manager) {
	tick := time.NewTicker(adoptInterval)
	defer tick.Stop()
	for {
		n.adoptMarkedJobs(ctx, m)
		select {
		case <-ctx.Done():
			return
		case <-t.lost:
			return
		case <-n.controlChanged:
		case <-tick.C:
		}
	}
}

// adoptMarkedJobs passes jobs that other entries stored or cancelled to the manager,
// and removes their marks.
func (n *Node) adoptMarkedJobs(ctx context.Context, m *manager.Manager) {
	inbox, cancels := n.markedJobs()
	if len(inbox)+len(cancels) == 0 || !m.Loaded() {
		return
	}
	// Cancellations come first: their callers have been told that no task starts any more.
	handled := handleMarks(cancels, manager.CancelPrefix, func(id string) bool {
		if err := m.Adopt(ctx, id, true); err != nil {
			return false
		}
		cancelCtx, cancel := context.WithTimeout(ctx, adoptInterval)
		defer cancel()
		state, known, owner := m.Cancel(cancelCtx, id)
		return owner && (!known || state.Terminal())
	})
	handled = append(handled, handleMarks(inbox, manager.InboxPrefix, func(id string) bool {
		_, cancelled := cancels[id]
		return m.Adopt(ctx, id, cancelled) == nil
	})...)
	n.removeMarks(ctx, handled)
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
		t := store.Transaction{Conditions: batch}
		for _, c := range batch {
			t.Removes = append(t.Removes, c.Key)
		}
		if err := n.commit(ctx, t); err != nil {
			event.RecordFailed.Log(log.Fields{"action": "remove marks", "error": err.Error()})
			return
		}
	}
}

// markedJobs returns the jobs with marks and the revisions of the marks.
func (n *Node) markedJobs() (inbox, cancels map[string]int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.inbox), maps.Clone(n.cancels)
}

// applyMark adds or removes an inbox or cancel mark of a job and wakes serveControl.
func (n *Node) applyMark(c store.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
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
	select {
	case n.controlChanged <- struct{}{}:
	default:
	}
}

// pendingAtOwner returns the number of jobs of a queue that have not started, with those
// that are stored and that the owner has not adopted yet.
func (n *Node) pendingAtOwner(m *manager.Manager, queue string) (count int, owner bool) {
	count, owner = m.Pending(queue)
	if !owner {
		return 0, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, q := range n.inboxQueues {
		if q == queue && !m.HasJob(id) {
			count++
		}
	}
	return count, true
}
