package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/retry"
)

// Wait times of a follower.
const (
	// watchWait is how long one watch call waits for changes. It also bounds how long
	// a dead connection goes unnoticed: that time must stay below the 2 s in which a
	// configuration must be in force plus the time that a machine needs to count as
	// connected again.
	watchWait = 2 * time.Second
	// confirmWait is how long a watch waits that only has to confirm the view.
	confirmWait = 20 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Follower keeps a local view of all keys below a prefix up to date.
type Follower struct {
	Store  Store
	Prefix string
	// Reset replaces the whole view, Apply changes it. Both are called from the same
	// goroutine.
	Reset func(items []Item, asOf int64)
	Apply func(changes []Change)
	// OnUnreachable is called for the first of a series of failed calls, OnRecovered for the next
	// call that succeeds.
	OnUnreachable func(err error)
	OnRecovered   func()
	// Wait, if set, returns how long a watch waits for changes; 0 means watchWait.
	Wait func() time.Duration
	// Interval, if set, returns the least time between the beginnings of two watches. A change
	// ends the watches of all followers of its prefix at once, and the service takes a bounded
	// number of calls.
	Interval func() time.Duration
	// Clock, if set, is read before each call, and OnConfirmed is called with its time
	// after the answer was applied: the view contains all changes up to then.
	Clock       func() time.Duration
	OnConfirmed func(sentAt time.Duration)

	failures int
}

// Run follows the prefix until the context ends.
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
		began := time.Now()
		if revision < 0 {
			revision = f.load(ctx)
		} else {
			revision = f.watch(ctx, revision)
		}
		f.backOff(ctx)
		if f.Interval != nil {
			retry.Sleep(ctx, f.Interval()-time.Since(began))
		}
	}
}

// load reads all keys and returns the revision to watch from, or -1 after an error.
func (f *Follower) load(ctx context.Context) (revision int64) {
	sentAt := f.readClock()
	items, revision, err := f.Store.Range(ctx, f.Prefix)
	if f.recordResult(ctx, err) {
		return -1
	}
	f.Reset(items, revision)
	f.confirm(sentAt)
	return revision
}

// watch waits for changes and returns the revision to continue from, or -1 if all
// keys have to be read again.
func (f *Follower) watch(ctx context.Context, after int64) (revision int64) {
	sentAt := f.readClock()
	changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, f.nextWait())
	if errors.Is(err, ErrCompacted) {
		return -1
	}
	if f.recordResult(ctx, err) {
		if f.OnConfirmed != nil && f.failures > 1 && errors.Is(err, ErrNoAnswer) {
			// A watch that only has to confirm the view is given a short time, in which many
			// large changes do not arrive over a slow link. The present keys may.
			return -1
		}
		return after
	}
	if len(changes) > 0 {
		f.Apply(changes)
	}
	f.confirm(sentAt)
	return max(revision, after)
}

// nextWait returns how long the next watch waits. After a failure its answer is needed soon
// where views have to be confirmed.
func (f *Follower) nextWait() (wait time.Duration) {
	if f.OnConfirmed != nil && f.failures > 0 {
		return confirmWait
	}
	if f.Wait != nil {
		wait = f.Wait()
	}
	if wait <= 0 {
		wait = watchWait
	}
	return wait
}

func (f *Follower) readClock() (now time.Duration) {
	if f.Clock == nil {
		return 0
	}
	return f.Clock()
}

func (f *Follower) confirm(sentAt time.Duration) {
	if f.OnConfirmed != nil {
		f.OnConfirmed(sentAt)
	}
}

// recordResult counts failures in a row, calls OnUnreachable or OnRecovered, and reports whether
// the call failed.
func (f *Follower) recordResult(ctx context.Context, err error) (failed bool) {
	switch {
	case err == nil && f.failures > 0:
		f.failures = 0
		f.OnRecovered()
	case err != nil && ctx.Err() == nil:
		f.failures++
		if f.failures == 1 {
			f.OnUnreachable(err)
		}
	}
	return err != nil
}

// backOff waits after a failure; the delay doubles up to maxRetryDelay.
func (f *Follower) backOff(ctx context.Context) {
	if f.failures == 0 {
		return
	}
	retry.Sleep(ctx, min(minRetryDelay<<min(f.failures-1, 10), maxRetryDelay))
}
