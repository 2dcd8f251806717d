package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// unreliableStore is one entry's connection to a store that can be interrupted while
// other entries still reach the store.
type unreliableStore struct {
	store.Store
	unreachable atomic.Bool
	// rejects makes transactions and claims fail at once and without effect while the store is
	// unreachable, as those without a connection do, and hangs lets calls wait for their deadline.
	rejects, hangs atomic.Bool
	// delay is how long reads of a key and transactions take, in nanoseconds.
	delay atomic.Int64
	// watchesHang makes watches end without an answer after a while, and marksUnread reads of the
	// cancel marks fail, while all other calls are answered.
	watchesHang, marksUnread atomic.Bool
	// beforeRange, if set, is called before a prefix is read.
	beforeRange atomic.Pointer[func(prefix string)]
	// holdsBack, if set, reports whether a transaction is kept from the store, which may receive
	// it later, and gets no answer.
	holdsBack atomic.Pointer[func(t store.Transaction) bool]
}

// errUnreachable returns the error of a call while the store is unreachable.
func (s *unreliableStore) errUnreachable() error {
	if s.rejects.Load() {
		return store.ErrRejected
	}
	return store.ErrNoAnswer
}

// awaitLoss reports whether the store is unreachable; it then blocks for a while, as a
// call without an answer does.
func (s *unreliableStore) awaitLoss(ctx context.Context) bool {
	if !s.unreachable.Load() {
		return false
	}
	wait := 200 * time.Millisecond
	switch {
	case s.rejects.Load():
		return true
	case s.hangs.Load():
		wait = time.Minute
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return true
}

// awaitDelay returns after the delay, or the error of the context if it ends before.
func (s *unreliableStore) awaitDelay(ctx context.Context) (err error) {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(s.delay.Load())):
		return nil
	}
}

func (s *unreliableStore) Get(ctx context.Context, key string) (item store.Item, found bool, err error) {
	if s.awaitLoss(ctx) {
		return store.Item{}, false, s.errUnreachable()
	}
	if s.awaitDelay(ctx) != nil {
		return store.Item{}, false, store.ErrNoAnswer
	}
	return s.Store.Get(ctx, key)
}

func (s *unreliableStore) Range(ctx context.Context, prefix string) (items []store.Item, revision int64, err error) {
	if s.awaitLoss(ctx) {
		return nil, 0, s.errUnreachable()
	}
	if prefix == manager.CancelPrefix && s.marksUnread.Load() {
		return nil, 0, store.ErrRejected
	}
	if before := s.beforeRange.Load(); before != nil {
		(*before)(prefix)
	}
	return s.Store.Range(ctx, prefix)
}

func (s *unreliableStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	if s.awaitLoss(ctx) {
		return nil, 0, s.errUnreachable()
	}
	changes, revision, err = s.Store.Watch(ctx, prefix, after, wait)
	if s.watchesHang.Load() {
		awaitTime(ctx, wait)
		return nil, 0, store.ErrNoAnswer
	}
	if s.awaitLoss(ctx) {
		return nil, 0, s.errUnreachable()
	}
	return changes, revision, err
}

func (s *unreliableStore) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	if s.awaitLoss(ctx) {
		return 0, s.errUnreachable()
	}
	if s.awaitDelay(ctx) != nil {
		return 0, store.ErrNoAnswer
	}
	if holdsBack := s.holdsBack.Load(); holdsBack != nil && (*holdsBack)(t) {
		<-ctx.Done()
		return 0, store.ErrNoAnswer
	}
	return s.Store.Commit(ctx, t)
}

func (s *unreliableStore) Grant(ctx context.Context, lifetime time.Duration) (lease int64, err error) {
	if s.awaitLoss(ctx) {
		return 0, s.errUnreachable()
	}
	return s.Store.Grant(ctx, lifetime)
}

func (s *unreliableStore) Renew(ctx context.Context, lease int64) (err error) {
	if s.awaitLoss(ctx) {
		return s.errUnreachable()
	}
	return s.Store.Renew(ctx, lease)
}
