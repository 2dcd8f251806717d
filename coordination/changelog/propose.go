package changelog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff before a
	// write with an unknown outcome is repeated, so that an outage does not cause
	// more calls than the service can handle.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// ErrOutcomeUnknown means that a change may be in the log, now or later. To learn
// its result, propose the change with the same ID again once the service answers.
var ErrOutcomeUnknown = errors.New("changelog: outcome unknown")

// Propose adds the change to the log and returns its result once it is applied at
// this entry. A change whose ID is known has the result of its first proposal. The
// error is ErrOutcomeUnknown if the context ends or the log cannot be read while
// the outcome of a write is unknown; after any other error the change is not in
// the log.
func (l *Log) Propose(ctx context.Context, c fleet.Change) (result fleet.ChangeResult, err error) {
	defer wrapError(&err, "propose")
	value, err := encodeChange(c)
	if err != nil {
		return fleet.ChangeResult{}, err
	}
	if err = l.lockProposals(ctx); err != nil {
		return fleet.ChangeResult{}, err
	}
	defer l.unlockProposals()
	if l.Version() == 0 {
		if err = l.catchUp(ctx); err != nil {
			return fleet.ChangeResult{}, err
		}
	}
	for {
		if f, known := l.State().ResultOf(c.ID); known {
			return f, nil
		}
		if err = l.proposeNext(ctx, c.ID, value); err != nil {
			return fleet.ChangeResult{}, err
		}
	}
}

// proposeNext writes the record at the next index and returns once the record at
// that index, which may be another one, is applied at this entry.
func (l *Log) proposeNext(ctx context.Context, id string, value []byte) (err error) {
	r := Record{Index: l.Version() + 1, Value: value}
	open, err := l.writeRecord(ctx, r)
	if err == nil {
		err = l.catchUpTo(ctx, r.Index)
	}
	if err == nil && open && !l.State().HasResultsSince(r.Index) {
		err = errors.Errorf("the result of record %d is no longer kept", r.Index)
	}
	if err != nil && open {
		return errors.Errorf("%w: ask about change %q later: %w", ErrOutcomeUnknown, id, err)
	}
	return err
}

// writeRecord repeats the write until the index is taken in the log or this entry has
// applied a record with that index; open is true if one of the writes may have taken
// effect.
func (l *Log) writeRecord(ctx context.Context, r Record) (open bool, err error) {
	pause := minRetryDelay
	for {
		changed := l.Changed()
		if l.Version() >= r.Index {
			return open, nil
		}
		if err = ctx.Err(); err != nil {
			return open, err
		}
		swapped, err := l.Store.CompareAndSwap(ctx, recordKey(r.Index), platform.MustNotExist, r.Value)
		if err == nil {
			return open || swapped, nil
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			return open, err
		}
		open = true
		// A peer may relay the record at the index while the service is unreachable.
		select {
		case <-ctx.Done():
			return open, errors.Wrap(ctx.Err(), err.Error())
		case <-changed:
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// catchUpTo reads until the version is at least the index; it retries while the
// service is unavailable.
func (l *Log) catchUpTo(ctx context.Context, index int64) (err error) {
	pause := minRetryDelay
	for {
		changed := l.Changed()
		if l.Version() >= index {
			return nil
		}
		err = l.catchUp(ctx)
		if err == nil && l.Version() < index {
			err = errors.Errorf("record %d is taken, but was not found", index)
		}
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrCorrupt) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), err.Error())
		case <-changed:
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// lockProposals lets this entry propose one change at a time, so that its own
// changes do not race for the same index.
func (l *Log) lockProposals(ctx context.Context) (err error) {
	l.mu.Lock()
	if l.proposing == nil {
		l.proposing = make(chan struct{}, 1)
	}
	proposing := l.proposing
	l.mu.Unlock()
	select {
	case proposing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for another change of this entry")
	}
}

func (l *Log) unlockProposals() {
	<-l.proposing
}
