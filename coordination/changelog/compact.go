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
	// removalPause spreads removals over time: the service handles several
	// hundred writes a second, and the proposers need them.
	removalPause = 50 * time.Millisecond
)

// Due tells whether a snapshot may be due, without a call on the service:
// stored is the version of the last snapshot that this entry knows of.
func (l *Log) Due(stored int64) bool {
	return l.Version()-stored >= l.snapshotEvery()
}

// Compact writes a snapshot if one is due, and removes the records that are
// more than Margin below it; it returns the version of the stored snapshot.
// Several entries may call it at once: one of them does the work.
func (l *Log) Compact(ctx context.Context) (stored int64, err error) {
	defer annotate(&err, "compact")
	f, revision, err := l.readFloor(ctx)
	if err != nil {
		return 0, err
	}
	stored = f.Snapshot
	if l.Due(f.Snapshot) {
		var won bool
		if f.Snapshot, won, err = l.writeSnapshot(ctx); err != nil || !won {
			return stored, err
		}
		f.Floor = max(f.Floor, f.Snapshot-l.margin())
		if revision, won, err = l.writeFloor(ctx, revision, f); err != nil || !won {
			return f.Snapshot, err
		}
	}
	// An earlier call may have raised the floor and not removed all records.
	if f.Cleaned >= f.Floor {
		return f.Snapshot, nil
	}
	if err = l.clean(ctx, f); err != nil {
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
	if l.Margin > 0 {
		return l.Margin
	}
	return defaultMargin
}

// writeSnapshot replaces an older snapshot; won is false if another entry wrote
// one meanwhile.
func (l *Log) writeSnapshot(ctx context.Context) (version int64, won bool, err error) {
	e, found, err := l.Store.Get(ctx, snapshotKey)
	if err != nil {
		return 0, false, err
	}
	if found {
		old, err := decodeState(e.Value)
		if err != nil {
			return 0, false, err
		}
		// The snapshot may be newer than the floor says, if its writer died
		// before it raised the floor.
		if !l.Due(old.Version) {
			return old.Version, true, nil
		}
	}
	s := l.State()
	value, err := encodeState(s)
	if err != nil {
		return 0, false, err
	}
	won, err = l.Store.CompareAndSwap(ctx, snapshotKey, e.Revision, value)
	return s.Version, won, err
}

// writeFloor raises the floor and reads its new revision; won is false if
// another entry raised it meanwhile. No record may be removed before this
// write is known to have taken effect.
func (l *Log) writeFloor(ctx context.Context, revision int64, f floor) (next int64, won bool, err error) {
	value, err := json.Marshal(f)
	if err != nil {
		return 0, false, errors.Wrap(err, "encode floor")
	}
	won, err = l.Store.CompareAndSwap(ctx, floorKey, revision, value)
	if err != nil || !won {
		return 0, won, err
	}
	read, next, err := l.readFloor(ctx)
	return next, read == f, err
}

// clean removes the records up to the floor that an earlier call left.
func (l *Log) clean(ctx context.Context, f floor) (err error) {
	for index := f.Cleaned + 1; index <= f.Floor; index += blockRecords - index%blockRecords {
		entries, _, err := l.Store.List(ctx, blockPrefix(index))
		if err != nil {
			return err
		}
		if err = l.remove(ctx, entries, f.Floor); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) remove(ctx context.Context, entries []platform.Entry, last int64) (err error) {
	for _, e := range entries {
		r, err := recordOf(e)
		if err != nil {
			return err
		}
		if r.Index > last {
			return nil
		}
		if _, err = l.Store.Delete(ctx, e.Key, e.Revision); err != nil {
			return err
		}
		if err = pauseFor(ctx, removalPause); err != nil {
			return err
		}
	}
	return nil
}

func pauseFor(ctx context.Context, d time.Duration) (err error) {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
