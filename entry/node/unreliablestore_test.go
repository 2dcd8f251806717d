package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/azurepoint/azurepoint/entry/store"
)

// unreliableStore is one entry's connection to a store that can be interrupted while
// other entries still reach the store.
type unreliableStore struct {
	store.Store
	unreachable atomic.Bool
}

// awaitLoss reports whether the store is unreachable; it then blocks for a while, as a
// call without an answer does.
func (s *unreliableStore) awaitLoss(ctx context.Context) bool {
	if !s.unreachable.Load() {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(200 * time.Millisecond):
	}
	return true
}

func (s *unreliableStore) Get(ctx context.Context, key string) (item store.Item, found bool, err error) {
	if s.awaitLoss(ctx) {
		return store.Item{}, false, store.ErrNoAnswer
	}
	return s.Store.Get(ctx, key)
}

func (s *unreliableStore) Range(ctx context.Context, prefix string) (items []store.Item, revision int64, err error) {
	if s.awaitLoss(ctx) {
		return nil, 0, store.ErrNoAnswer
	}
	return s.Store.Range(ctx, prefix)
}

func (s *unreliableStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	if s.awaitLoss(ctx) {
		return nil, 0, store.ErrNoAnswer
	}
	changes, revision, err = s.Store.Watch(ctx, prefix, after, wait)
	if s.awaitLoss(ctx) {
		return nil, 0, store.ErrNoAnswer
	}
	return changes, revision, err
}

func (s *unreliableStore) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	if s.awaitLoss(ctx) {
		return 0, store.ErrNoAnswer
	}
	return s.Store.Commit(ctx, t)
}

func (s *unreliableStore) Grant(ctx context.Context, lifetime time.Duration) (lease int64, err error) {
	if s.awaitLoss(ctx) {
		return 0, store.ErrNoAnswer
	}
	return s.Store.Grant(ctx, lifetime)
}

func (s *unreliableStore) Renew(ctx context.Context, lease int64) (err error) {
	if s.awaitLoss(ctx) {
		return store.ErrNoAnswer
	}
	return s.Store.Renew(ctx, lease)
}
