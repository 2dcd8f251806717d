package changelog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	defaultSnapshotEvery = 1000
	defaultMargin        = 1000
	// removalInterval limits the rate of removals: the service handles several
	// hundred writes a second, which the proposers need.
	removalInterval = 50 * time.Millisecond
)

// SnapshotDue reports whether a snapshot may be due, without a call to the service; stored
// is the version of the last snapshot known to this entry.
func (l *Log) SnapshotDue(stored int64) bool {
	return l.Version()-stored >= l.snapshotEvery()
}

// Compact writes a snapshot if one is due, and removes the records that are
// more than RecordMargin below it. It returns the version of the stored snapshot.
// Several entries may call it concurrently; compare-and-swap lets one of them write.
func (l *Log) Compact(ctx context.Context) (stored int64, err error) {
	defer wrapError(&err, "compact")
	f, revision, err := l.readFloor(ctx)
	if err != nil {
		return 0, err
	}
	stored = f.Snapshot
	if l.SnapshotDue(f.Snapshot) {
		var written bool
		if f.Snapshot, written, err = l.writeSnapshot(ctx); err != nil || !written {
			return stored, err
		}
		f.Floor = max(f.Floor, f.Snapshot-l.margin())
		if revision, written, err = l.writeFloor(ctx, revision, f); err != nil || !written {
			return f.Snapshot, err
		}
	}
	// An earlier call may have raised the floor without removing all records.
	if f.Cleaned >= f.Floor {
		return f.Snapshot, nil
	}
	if err = l.removeRecords(ctx, f); err != nil {
		return f.Snapshot, err
	}
	f.Cleaned = f.Floor
	_, _, err = l.writeFloor(ctx, revision, f)
	return f.Snapshot, err
}

func (l *Log) snapshotEvery() (records int64) {
	if l.SnapshotEvery > 0 {
		return l.SnapshotEvery
	}
	return defaultSnapshotEvery
}

func (l *Log) margin() (records int64) {
	if l.RecordMargin > 0 {
		return l.RecordMargin
	}
	return defaultMargin
}

// writeSnapshot replaces an older snapshot; written is false if another entry
// wrote one meanwhile.
func (l *Log) writeSnapshot(ctx context.Context) (version int64, written bool, err error) {
	e, found, err := l.Store.Get(ctx, snapshotKey)
	if err != nil {
		return 0, false, err
	}
	if found {
		old, err := decodeState(e.Value)
		if err != nil {
			return 0, false, err
		}
		// The snapshot may be newer than the version in the floor, if its writer
		// crashed before it raised the floor.
		if !l.SnapshotDue(old.Version) {
			return old.Version, true, nil
		}
	}
	s := l.State()
	value, err := encodeState(s)
	if err != nil {
		return 0, false, err
	}
	written, err = l.Store.CompareAndSwap(ctx, snapshotKey, e.Revision, value)
	return s.Version, written, err
}

// writeFloor raises the floor and reads its new revision; written is false if
// another entry raised it meanwhile. No record may be removed before this
// write is known to have taken effect.
func (l *Log) writeFloor(ctx context.Context, revision int64, f floor) (next int64, written bool, err error) {
	value, err := json.Marshal(f)
	if err != nil {
		return 0, false, errors.Wrap(err, "encode floor")
	}
	written, err = l.Store.CompareAndSwap(ctx, floorKey, revision, value)
	if err != nil || !written {
		return 0, written, err
	}
	read, next, err := l.readFloor(ctx)
	return next, read == f, err
}

// removeRecords removes the records that remain up to the floor.
func (l *Log) removeRecords(ctx context.Context, f floor) (err error) {
	for index := f.Cleaned + 1; index <= f.Floor; index += blockRecords - index%blockRecords {
		entries, _, err := l.Store.List(ctx, blockPrefix(index))
		if err != nil {
			return err
		}
		if err = l.removeEntries(ctx, entries, f.Floor); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) removeEntries(ctx context.Context, entries []platform.Item, last int64) (err error) {
	for _, e := range entries {
		r, err := parseRecord(e)
		if err != nil {
			return err
		}
		if r.Index > last {
			return nil
		}
		if _, err = l.Store.Delete(ctx, e.Key, e.Revision); err != nil {
			return err
		}
		if err = sleep(ctx, removalInterval); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) (err error) {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
