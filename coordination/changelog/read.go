package changelog

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

// Load reads the configuration when an entry starts: the snapshot, if there is
// one, and the records after it.
func (l *Log) Load(ctx context.Context) (err error) {
	defer wrapError(&err, "load")
	if err = l.loadSnapshot(ctx); err != nil {
		return err
	}
	return l.catchUp(ctx)
}

// CatchUp reads to the end of the log. Afterwards the state has every change whose
// Propose returned before the call.
func (l *Log) CatchUp(ctx context.Context) (err error) {
	defer wrapError(&err, "catch up")
	return l.catchUp(ctx)
}

// WaitForRecords waits until the log has a record after the current version, or until the
// deadline, and applies the new records. It makes two calls to the service.
func (l *Log) WaitForRecords(ctx context.Context, until time.Time) (advanced bool, err error) {
	defer wrapError(&err, "follow")
	before := l.Version()
	prefix := blockPrefix(before + 1)
	entries, index, err := l.Store.Wait(ctx, prefix, l.watchedIndex(prefix), until)
	if err != nil {
		return false, err
	}
	if err = l.applyEntries(ctx, entries); err != nil {
		return l.Version() > before, err
	}
	// If records remain to be read, the next call must not wait.
	if !containsRecord(entries, l.Version()+1) {
		l.setWatched(watchPosition{prefix: prefix, index: index})
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

func (l *Log) setWatched(w watchPosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched = w
}

// catchUp reads block after block until one does not contain the next record.
func (l *Log) catchUp(ctx context.Context) (err error) {
	for {
		prefix := blockPrefix(l.Version() + 1)
		entries, _, err := l.Store.List(ctx, prefix)
		if err != nil {
			return err
		}
		if err = l.applyEntries(ctx, entries); err != nil {
			return err
		}
		next := l.Version() + 1
		if blockPrefix(next) == prefix && !containsRecord(entries, next) {
			return nil
		}
	}
}

func containsRecord(entries []platform.Item, index int64) bool {
	key := recordKey(index)
	return slices.ContainsFunc(entries, func(e platform.Item) bool { return e.Key == key })
}

// applyEntries applies records that were read from the service. The floor is read
// after the records: a record above it was never removed and written again.
func (l *Log) applyEntries(ctx context.Context, entries []platform.Item) (err error) {
	f, _, err := l.readFloor(ctx)
	if err != nil {
		return err
	}
	if f.Floor > l.Version() {
		return l.loadSnapshotAtLeast(ctx, f.Floor)
	}
	for _, e := range entries {
		r, err := parseRecord(e)
		if err != nil {
			return err
		}
		_, err = l.applyRecord(r)
		if errors.Is(err, errGap) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// loadSnapshot adopts the stored snapshot if its version is higher.
func (l *Log) loadSnapshot(ctx context.Context) (err error) {
	e, found, err := l.Store.Get(ctx, snapshotKey)
	if err != nil || !found {
		return err
	}
	s, err := decodeState(e.Value)
	if err != nil {
		return err
	}
	l.AdoptState(s)
	return nil
}

func (l *Log) loadSnapshotAtLeast(ctx context.Context, minVersion int64) (err error) {
	if err = l.loadSnapshot(ctx); err != nil {
		return err
	}
	if l.Version() < minVersion {
		return errors.Wrapf(ErrCorrupt, "snapshot is below the floor %d", minVersion)
	}
	return nil
}

// readFloor returns the floor and its revision; a missing floor counts as 0.
func (l *Log) readFloor(ctx context.Context) (f floor, revision int64, err error) {
	e, found, err := l.Store.Get(ctx, floorKey)
	if err != nil || !found {
		return floor{}, platform.MustNotExist, err
	}
	f, err = decodeFloor(e.Value)
	return f, e.Revision, err
}

func wrapError(err *error, action string) {
	if *err != nil {
		*err = errors.Wrap(*err, "changelog: "+action)
	}
}
