package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/entry/store"
)

// reach tells whether a dependency answers; its zero value is one that does.
type reach struct {
	mu   sync.Mutex
	down bool
	// retryAt is when the next call may be made while the dependency is down.
	retryAt time.Time
}

// mayTry tells whether a call is due: always, or once in a while when the last one got
// no answer.
func (r *reach) mayTry(every time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.down && now.Before(r.retryAt) {
		return false
	}
	r.retryAt = now.Add(every)
	return true
}

// note records whether a call was answered.
func (r *reach) note(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = !answered
}

// lost tells whether the last call got no answer.
func (r *reach) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// watchedStore is a store whose calls tell whether it answers. Its watches, which
// end every few seconds, notice when it answers again.
type watchedStore struct {
	store.Store
	reach *reach
}

func (s watchedStore) note(ctx context.Context, err error) error {
	// A call that its caller ended tells nothing.
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		s.reach.note(err == nil || !errors.Is(err, store.ErrUnknown) && !errors.Is(err, store.ErrNotDone))
	}
	return err
}

// Get returns the item of a key.
func (s watchedStore) Get(ctx context.Context, key string) (item store.Item, found bool, err error) {
	item, found, err = s.Store.Get(ctx, key)
	return item, found, s.note(ctx, err)
}

// Watch returns the changes below a prefix.
func (s watchedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	changes, revision, err = s.Store.Watch(ctx, prefix, after, wait)
	return changes, revision, s.note(ctx, err)
}

// Commit carries out a transaction.
func (s watchedStore) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	revision, err = s.Store.Commit(ctx, t)
	return revision, s.note(ctx, err)
}
