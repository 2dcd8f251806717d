package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/azurepoint/azurepoint/entry/store"
)

// cut is a store that an entry may lose while others reach it.
type cut struct {
	store.Store
	off atomic.Bool
}

func (c *cut) lost(ctx context.Context) bool {
	if !c.off.Load() {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(200 * time.Millisecond):
	}
	return true
}

func (c *cut) Get(ctx context.Context, key string) (item store.Item, found bool, err error) {
	if c.lost(ctx) {
		return store.Item{}, false, store.ErrUnknown
	}
	return c.Store.Get(ctx, key)
}

func (c *cut) Range(ctx context.Context, prefix string) (items []store.Item, revision int64, err error) {
	if c.lost(ctx) {
		return nil, 0, store.ErrUnknown
	}
	return c.Store.Range(ctx, prefix)
}

func (c *cut) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	if c.lost(ctx) {
		return nil, 0, store.ErrUnknown
	}
	changes, revision, err = c.Store.Watch(ctx, prefix, after, wait)
	if c.lost(ctx) {
		return nil, 0, store.ErrUnknown
	}
	return changes, revision, err
}

func (c *cut) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	if c.lost(ctx) {
		return 0, store.ErrUnknown
	}
	return c.Store.Commit(ctx, t)
}

func (c *cut) Grant(ctx context.Context, lifetime time.Duration) (lease int64, err error) {
	if c.lost(ctx) {
		return 0, store.ErrUnknown
	}
	return c.Store.Grant(ctx, lifetime)
}

func (c *cut) Renew(ctx context.Context, lease int64) (err error) {
	if c.lost(ctx) {
		return store.ErrUnknown
	}
	return c.Store.Renew(ctx, lease)
}
