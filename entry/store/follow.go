package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/retry"
)

// Delays of a follower.
const (
	// watchWait is how long one watch waits. It bounds how long a connection that
	// went silent goes unnoticed, below the 2 s in which a configuration must be in
	// force plus the time that a machine needs to count as in touch again.
	watchWait = 2 * time.Second
	// firstRetry and longestRetry bound the delay after a failed call.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)

// Follower keeps a view of all keys below a prefix up to date.
type Follower struct {
	Store  Store
	Prefix string
	// Reset replaces the whole view; Apply changes it. Both are called from one
	// goroutine.
	Reset func(items []Item, asOf int64)
	Apply func(changes []Change)
	// Lost is called when the first call in a row fails, Regained with the next
	// that succeeds.
	Lost     func(err error)
	Regained func()

	failures int
}

// Run follows the prefix until the context ends and reports its end.
func (f *Follower) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		f.follow(ctx)
		ended <- nil
	}()
	return ended
}

func (f *Follower) follow(ctx context.Context) {
	revision := int64(-1)
	for ctx.Err() == nil {
		if revision < 0 {
			revision = f.load(ctx)
		} else {
			revision = f.watch(ctx, revision)
		}
		f.pause(ctx)
	}
}

// load reads all keys and returns the revision to go on from, or -1.
func (f *Follower) load(ctx context.Context) (revision int64) {
	items, revision, err := f.Store.Range(ctx, f.Prefix)
	if f.note(ctx, err) {
		return -1
	}
	f.Reset(items, revision)
	return revision
}

// watch waits for changes and returns the revision to go on from, or -1 if all
// keys have to be read again.
func (f *Follower) watch(ctx context.Context, after int64) (revision int64) {
	changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, watchWait)
	if errors.Is(err, ErrForgotten) {
		return -1
	}
	if f.note(ctx, err) {
		return after
	}
	if len(changes) > 0 {
		f.Apply(changes)
	}
	return max(revision, after)
}

// note records whether a call failed.
func (f *Follower) note(ctx context.Context, err error) (failed bool) {
	switch {
	case err == nil && f.failures > 0:
		f.failures = 0
		f.Regained()
	case err != nil && ctx.Err() == nil:
		f.failures++
		if f.failures == 1 {
			f.Lost(err)
		}
	}
	return err != nil
}

// pause waits after failures, longer after each.
func (f *Follower) pause(ctx context.Context) {
	if f.failures == 0 {
		return
	}
	retry.Pause(ctx, min(firstRetry<<min(f.failures-1, 10), longestRetry))
}
