package changelog

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

// Load brings an entry that starts to the end of the log: the snapshot, if
// there is one, and the records after it.
func (l *Log) Load(ctx context.Context) (err error) {
	defer annotate(&err, "load")
	if err = l.takeSnapshot(ctx); err != nil {
		return err
	}
	return l.catchUp(ctx)
}

// CatchUp reads to the end of the log: afterwards the state has every change
// whose proposer had its answer before the call.
func (l *Log) CatchUp(ctx context.Context) (err error) {
	defer annotate(&err, "catch up")
	return l.catchUp(ctx)
}

// Follow waits until the log has a record after the version in force, or until
// the deadline, and puts what it finds in force; it counts as two calls on the
// service.
func (l *Log) Follow(ctx context.Context, until time.Time) (advanced bool, err error) {
	defer annotate(&err, "follow")
	before := l.Version()
	prefix := blockPrefix(before + 1)
	entries, index, err := l.Store.Wait(ctx, prefix, l.watchedIndex(prefix), until)
	if err != nil {
		return false, err
	}
	if err = l.take(ctx, entries); err != nil {
		return l.Version() > before, err
	}
	// Entries that are left to read must not be waited for.
	if !contains(entries, l.Version()+1) {
		l.setWatched(watch{prefix: prefix, index: index})
	}
	return l.Version() > before, nil
}

func (l *Log) watchedIndex(prefix string) (index int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watched.prefix != prefix {
		return 0
	}
	return l.watched.index
}

func (l *Log) setWatched(w watch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched = w
}

// catchUp reads block after block until one is seen to end before its last
// record.
func (l *Log) catchUp(ctx context.Context) (err error) {
	for {
		prefix := blockPrefix(l.Version() + 1)
		entries, _, err := l.Store.List(ctx, prefix)
		if err != nil {
			return err
		}
		if err = l.take(ctx, entries); err != nil {
			return err
		}
		next := l.Version() + 1
		if blockPrefix(next) == prefix && !contains(entries, next) {
			return nil
		}
	}
}

func contains(entries []platform.Entry, index int64) bool {
	key := recordKey(index)
	return slices.ContainsFunc(entries, func(e platform.Entry) bool { return e.Key == key })
}

// take puts records in force that were read from the service. The floor is read
// after the records: a record above it was never removed and written again.
func (l *Log) take(ctx context.Context, entries []platform.Entry) (err error) {
	f, _, err := l.readFloor(ctx)
	if err != nil {
		return err
	}
	if f.Floor > l.Version() {
		return l.takeSnapshotAbove(ctx, f.Floor)
	}
	for _, e := range entries {
		r, err := recordOf(e)
		if err != nil {
			return err
		}
		_, err = l.apply(r)
		if errors.Is(err, errGap) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// takeSnapshot puts the stored snapshot in force if its version is higher.
func (l *Log) takeSnapshot(ctx context.Context) (err error) {
	e, found, err := l.Store.Get(ctx, snapshotKey)
	if err != nil || !found {
		return err
	}
	s, err := decodeState(e.Value)
	if err != nil {
		return err
	}
	l.Adopt(s)
	return nil
}

func (l *Log) takeSnapshotAbove(ctx context.Context, least int64) (err error) {
	if err = l.takeSnapshot(ctx); err != nil {
		return err
	}
	if l.Version() < least {
		return errors.Wrapf(ErrCorrupt, "snapshot is below the floor %d", least)
	}
	return nil
}

// readFloor returns the floor and its revision; no floor is one at 0.
func (l *Log) readFloor(ctx context.Context) (f floor, revision int64, err error) {
	e, found, err := l.Store.Get(ctx, floorKey)
	if err != nil || !found {
		return floor{}, platform.MustNotExist, err
	}
	f, err = decodeFloor(e.Value)
	return f, e.Revision, err
}

func annotate(err *error, action string) {
	if *err != nil {
		*err = errors.Wrap(*err, "changelog: "+action)
	}
}
