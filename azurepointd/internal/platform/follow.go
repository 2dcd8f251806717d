package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const (
	// storeWait is how long a watch on the service waits; it bounds how late a
	// reader notices that the service no longer answers.
	storeWait = 4 * time.Second
	// avoidFor is how long an entry reads the log itself after the reader gave
	// no answer, instead of waiting for it again.
	avoidFor = 10 * time.Second
	// firstPause and lastPause bound the wait after a failure of the reader and
	// of the service; all entries of a data centre may then call the service.
	firstPause = 250 * time.Millisecond
	lastPause  = 4 * time.Second
	// leastStep is the shortest step without news, in case an answer does not
	// wait for any.
	leastStep = 100 * time.Millisecond
	// compactCheck is how often the reader checks whether a snapshot is due, and
	// compactSpread how much later it begins; by then the reader of another data
	// centre has mostly done it.
	compactCheck  = 10 * time.Second
	compactSpread = 30 * time.Second
)

// Run follows the log and the list until the context ends; the channel then
// gets nil.
func (f *Follower) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var parts sync.WaitGroup
	for _, part := range []func(context.Context){f.followLog, f.catchUp, f.followList, f.compact} {
		parts.Go(func() { part(ctx) })
	}
	go func() {
		parts.Wait()
		ended <- nil
	}()
	return ended
}

// avoidance is a reader that gave no answer; the zero value is none.
type avoidance struct {
	name        string
	incarnation int64
	until       time.Time
}

func (a avoidance) is(e membership.Entry) bool {
	return a.name == e.Name && a.incarnation == e.Incarnation
}

func (f *Follower) followLog(ctx context.Context) {
	var avoided avoidance
	pauseNext := firstPause
	for ctx.Err() == nil {
		began, version := time.Now(), f.Version()
		err := f.followOnce(ctx, &avoided)
		if f.Version() > version {
			f.announce(version)
		}
		if err == nil {
			pauseNext = firstPause
			if f.Version() == version && time.Since(began) < leastStep {
				pause(ctx, leastStep)
			}
			continue
		}
		pause(ctx, pauseNext)
		pauseNext = min(2*pauseNext, lastPause)
	}
}

// followOnce waits for news at the reader of the log, or in the log itself if
// this entry is the reader or gets no answer from it.
func (f *Follower) followOnce(ctx context.Context, avoided *avoidance) (err error) {
	owner := f.Peers.Owner(duty)
	if owner.Name == f.Peers.Self().Name || (avoided.is(owner) && time.Now().Before(avoided.until)) {
		return f.readLog(ctx)
	}
	if err = f.ask(ctx, owner); err == nil {
		*avoided = avoidance{}
		return nil
	}
	if ctx.Err() != nil {
		return err
	}
	if !avoided.is(owner) {
		event.ReaderUnreachable.Log(log.Fields{"reader": owner.Name, "error": err.Error()})
	}
	*avoided = avoidance{name: owner.Name, incarnation: owner.Incarnation, until: time.Now().Add(avoidFor)}
	return f.readLog(ctx)
}

// readLog waits in the service for the next change; an entry without a
// configuration begins with the snapshot.
func (f *Follower) readLog(ctx context.Context) (err error) {
	if f.Version() == 0 {
		if err = f.Log.Load(ctx); err != nil {
			f.note(ctx, err)
			return err
		}
	}
	_, err = f.Log.Follow(ctx, time.Now().Add(storeWait))
	f.note(ctx, err)
	return err
}

// condition is what this entry last saw of the service.
type condition int32

const (
	answering condition = iota
	silent
	unreadable
)

// note logs when the service begins or ceases to give usable answers.
func (f *Follower) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := answering
	switch {
	case err == nil:
		f.read.Store(time.Now().UnixNano())
	case errors.Is(err, changelog.ErrCorrupt):
		now = unreadable
	default:
		now = silent
	}
	if condition(f.store.Swap(int32(now))) == now {
		return
	}
	gauge("store", int64(now))
	switch now {
	case answering:
		event.StoreReachable.Log(nil)
	case silent:
		event.StoreUnreachable.Log(log.Fields{"error": err.Error()})
	case unreadable:
		event.LogUnreadable.Log(log.Fields{"error": err.Error()})
	}
}

// announce records that a later version is in force.
func (f *Follower) announce(before int64) {
	version := f.Version()
	gauge("version", version)
	if before == 0 {
		event.ConfigurationLoaded.Log(log.Fields{"version": version})
	}
}

// compact writes snapshots while this entry reads the log. It has its own loop,
// because the removal of records is spread over a minute.
func (f *Follower) compact(ctx context.Context) {
	var stored int64
	for ctx.Err() == nil {
		pause(ctx, compactCheck)
		if !f.reads() || !f.Log.Due(stored) {
			continue
		}
		pause(ctx, rand.N(compactSpread))
		next, err := f.Log.Compact(ctx)
		if err != nil && ctx.Err() == nil {
			count("compactionFailed")
			event.CompactionFailed.Log(log.Fields{"error": err.Error()})
		}
		stored = max(stored, next)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
