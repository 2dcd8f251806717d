package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

const (
	// cancelReadAge is how old the last read of the cancel marks has to be for the next one. They
	// are read in the rhythm of the lease's renewals, so that one in two intervals is enough while
	// the store answers, and each interval has one while it is slow.
	cancelReadAge = renewInterval + renewInterval/2
	// cancelReadTimeout bounds a read. As with renewals, the next ones do not wait for it.
	cancelReadTimeout = ownerLease - ownerLeaseMargin
)

// cancelView is what an owner has read of the cancel marks. Its watch of all keys of control waits
// for seconds and shows by none of its answers how old they are; it may also hang, or have more to
// transfer than a slow link carries, while the lease is renewed.
type cancelView struct {
	mu sync.Mutex
	// sentAt is the boot time at which the read was sent; marked holds the jobs that it has shown.
	sentAt time.Duration
	marked map[string]bool
}

// apply replaces the view unless it is from a later read.
func (v *cancelView) apply(items []store.Item, sentAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sentAt <= v.sentAt {
		return
	}
	v.sentAt, v.marked = sentAt, make(map[string]bool, len(items))
	for _, i := range items {
		v.marked[strings.TrimPrefix(i.Key, manager.CancelPrefix)] = true
	}
}

// has reports whether a job was marked.
func (v *cancelView) has(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.marked[id]
}

// ids returns the marked jobs.
func (v *cancelView) ids() (ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id := range v.marked {
		ids = append(ids, id)
	}
	return ids
}

// age returns how old the view is by the boot clock; known is false if there is none.
func (v *cancelView) age() (age time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return bootTime() - v.sentAt, v.sentAt > 0
}

// cancelsAsOf returns the time up to which all acknowledged cancel marks are known, or zero.
func (n *Node) cancelsAsOf() (asOf time.Time) {
	age, known := n.cancelView.age()
	if !known {
		return time.Time{}
	}
	return time.Now().Add(-age)
}

// followCancels keeps the view of the cancel marks recent until the context ends.
func (n *Node) followCancels(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		var reads sync.WaitGroup
		tick := time.NewTicker(renewInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			if age, known := n.cancelView.age(); !known || age > cancelReadAge {
				reads.Go(func() { n.readCancels(ctx) })
			}
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
		reads.Wait()
		ended <- nil
	}()
	return ended
}

// readCancels reads the cancel marks. A failed read is repeated with the next interval.
func (n *Node) readCancels(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelReadTimeout)
	defer cancel()
	sentAt := bootTime()
	if items, _, err := n.Store.Range(ctx, manager.CancelPrefix); err == nil {
		n.cancelView.apply(items, sentAt)
	}
}
