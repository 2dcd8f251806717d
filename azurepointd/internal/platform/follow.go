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
	// storeWatchTimeout is how long a watch on the key-value service waits; it
	// limits how late a reader detects that the service no longer answers.
	storeWatchTimeout = 4 * time.Second
	// avoidDuration is how long an entry reads the log itself after a failed request
	// to the reader, before it tries the reader again.
	avoidDuration = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff when both the
	// reader and the service fail; all entries of a data centre may then call the
	// service.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// minRoundTime is the shortest duration of a round without a new version, in
	// case a reply arrives without waiting for one.
	minRoundTime = 100 * time.Millisecond
	// compactInterval is how often the reader checks whether a snapshot is due, and
	// compactJitter the maximum random delay before it begins; by then the reader of
	// another data centre has usually written one.
	compactInterval = 10 * time.Second
	compactJitter   = 30 * time.Second
)

// Run follows the log and the list until the context ends; the channel then
// receives nil.
func (f *Follower) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){f.followLog, f.catchUp, f.followList, f.compact} {
		running.Go(func() { loop(ctx) })
	}
	go func() {
		running.Wait()
		ended <- nil
	}()
	return ended
}

// avoidedReader is a reader that failed to answer; the zero value matches none.
type avoidedReader struct {
	name        string
	incarnation int64
	until       time.Time
}

func (a avoidedReader) matches(e membership.Entry) bool {
	return a.name == e.Name && a.incarnation == e.Incarnation
}

func (f *Follower) followLog(ctx context.Context) {
	var avoided avoidedReader
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		started, version := time.Now(), f.Version()
		err := f.followOnce(ctx, &avoided)
		if f.Version() > version {
			f.recordVersion(version)
		}
		if err == nil {
			retryDelay = minRetryDelay
			if f.Version() == version && time.Since(started) < minRoundTime {
				sleep(ctx, minRoundTime)
			}
			continue
		}
		sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// followOnce waits for new records from the reader of the log, or reads the log
// itself if this entry is the reader or the reader does not answer.
func (f *Follower) followOnce(ctx context.Context, avoided *avoidedReader) (err error) {
	owner := f.Peers.Owner(changesDuty)
	if owner.Name == f.Peers.Self().Name || (avoided.matches(owner) && time.Now().Before(avoided.until)) {
		return f.readLog(ctx)
	}
	if err = f.fetchChanges(ctx, owner); err == nil {
		*avoided = avoidedReader{}
		return nil
	}
	if ctx.Err() != nil {
		return err
	}
	if !avoided.matches(owner) {
		event.ReaderUnreachable.Log(log.Fields{"reader": owner.Name, "error": err.Error()})
	}
	*avoided = avoidedReader{name: owner.Name, incarnation: owner.Incarnation, until: time.Now().Add(avoidDuration)}
	return f.readLog(ctx)
}

// readLog waits in the key-value service for the next change; without a
// configuration, it first loads the snapshot.
func (f *Follower) readLog(ctx context.Context) (err error) {
	if f.Version() == 0 {
		if err = f.Log.Load(ctx); err != nil {
			f.recordStoreResult(ctx, err)
			return err
		}
	}
	_, err = f.Log.WaitForRecords(ctx, time.Now().Add(storeWatchTimeout))
	f.recordStoreResult(ctx, err)
	return err
}

// serviceStatus is the last observed status of the key-value service.
type serviceStatus int32

const (
	serviceReachable serviceStatus = iota
	serviceUnreachable
	serviceUnreadable
)

// recordStoreResult records the result of a call to the service, and logs when its
// status changes.
func (f *Follower) recordStoreResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	status := serviceReachable
	switch {
	case err == nil:
		f.lastStoreAnswer.Store(time.Now().UnixNano())
	case errors.Is(err, changelog.ErrCorrupt):
		status = serviceUnreadable
	default:
		status = serviceUnreachable
	}
	if serviceStatus(f.storeStatus.Swap(int32(status))) == status {
		return
	}
	setGauge("store", int64(status))
	switch status {
	case serviceReachable:
		event.StoreReachable.Log(nil)
	case serviceUnreachable:
		event.StoreUnreachable.Log(log.Fields{"error": err.Error()})
	case serviceUnreadable:
		event.ChangeLogUnreadable.Log(log.Fields{"error": err.Error()})
	}
}

// recordVersion updates the version metric, and logs the first version in force.
func (f *Follower) recordVersion(before int64) {
	version := f.Version()
	setGauge("version", version)
	if before == 0 {
		event.ConfigurationLoaded.Log(log.Fields{"version": version})
	}
}

// compact writes snapshots while this entry reads the log. It runs in its own
// loop, because the removal of records is spread over a minute.
func (f *Follower) compact(ctx context.Context) {
	var snapshotVersion int64
	for ctx.Err() == nil {
		sleep(ctx, compactInterval)
		if !f.isCurrentReader() || !f.Log.SnapshotDue(snapshotVersion) {
			continue
		}
		sleep(ctx, rand.N(compactJitter))
		next, err := f.Log.Compact(ctx)
		if err != nil && ctx.Err() == nil {
			incrementCounter("compactionFailed")
			event.CompactionFailed.Log(log.Fields{"error": err.Error()})
		}
		snapshotVersion = max(snapshotVersion, next)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
