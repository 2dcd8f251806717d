package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/entry/store"
)

// reachability records whether a dependency answers. The zero value is a dependency
// that does.
type reachability struct {
	mu   sync.Mutex
	down bool
	// since is when the first call of those without an answer had failed.
	since time.Time
	// retryAt is when the next call may be made while the dependency is down.
	retryAt time.Time
}

// mayTry reports whether a call may be made: always if the last call was answered,
// otherwise once per interval.
func (r *reachability) mayTry(every time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.down && now.Before(r.retryAt) {
		return false
	}
	r.retryAt = now.Add(every)
	return true
}

// record records whether a call was answered.
func (r *reachability) record(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		r.since = time.Now()
	}
	r.down = !answered
}

// lost reports whether the last call got no answer.
func (r *reachability) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// lostFor returns for how long calls have got no answer, or zero if the last one got one.
func (r *reachability) lostFor() (age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return 0
	}
	return time.Since(r.since)
}

// monitoredStore records for each call whether the store answers. Its watches end
// every few seconds, so they detect when the store answers again.
type monitoredStore struct {
	store.Store
	reach *reachability
	// slow is called if a transaction takes longer than suspectAfter.
	slow func()
}

func (s monitoredStore) record(ctx context.Context, err error) error {
	// A call that the caller cancelled shows nothing about the store.
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		s.reach.record(err == nil || !errors.Is(err, store.ErrNoAnswer) && !errors.Is(err, store.ErrRejected))
	}
	return err
}

// Get returns the item of a key.
func (s monitoredStore) Get(ctx context.Context, key string) (item store.Item, found bool, err error) {
	item, found, err = s.Store.Get(ctx, key)
	return item, found, s.record(ctx, err)
}

// Watch returns the changes below a prefix.
func (s monitoredStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	changes, revision, err = s.Store.Watch(ctx, prefix, after, wait)
	return changes, revision, s.record(ctx, err)
}

// Commit applies a transaction.
func (s monitoredStore) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	slow := time.AfterFunc(suspectAfter, s.slow)
	defer slow.Stop()
	revision, err = s.Store.Commit(ctx, t)
	return revision, s.record(ctx, err)
}
