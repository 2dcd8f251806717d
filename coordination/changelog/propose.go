package changelog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	// firstRetry and lastRetry bound the pause before a write with an open
	// outcome is repeated; it doubles from one to the other, so that an outage
	// is not met with more calls than the service can take.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// ErrOutcomeUnknown means that a change may or may not be in the log, now or
// later; the change with its ID tells, once the service answers.
var ErrOutcomeUnknown = errors.New("changelog: outcome unknown")

// Propose adds the change to the log and returns its fate once it is in force at
// this entry. A change whose ID is known has its first fate. The error is
// ErrOutcomeUnknown if the context ends, or the log cannot be read, while a
// write is open; with any other error the change is not in the log.
func (l *Log) Propose(ctx context.Context, c fleet.Change) (fate fleet.Fate, err error) {
	defer annotate(&err, "propose")
	value, err := encodeChange(c)
	if err != nil {
		return fleet.Fate{}, err
	}
	if err = l.takeTurn(ctx); err != nil {
		return fleet.Fate{}, err
	}
	defer l.endTurn()
	if l.Version() == 0 {
		if err = l.catchUp(ctx); err != nil {
			return fleet.Fate{}, err
		}
	}
	for {
		if f, known := l.State().FateOf(c.ID); known {
			return f, nil
		}
		if err = l.proposeNext(ctx, c.ID, value); err != nil {
			return fleet.Fate{}, err
		}
	}
}

// proposeNext writes the record at the next index and returns once the record
// that the index has got is in force here.
func (l *Log) proposeNext(ctx context.Context, id string, value []byte) (err error) {
	r := Record{Index: l.Version() + 1, Value: value}
	open, err := l.write(ctx, r)
	if err == nil {
		err = l.catchUpTo(ctx, r.Index)
	}
	if err == nil && open && !l.State().Recalls(r.Index) {
		err = errors.Errorf("the fate of record %d is no longer kept", r.Index)
	}
	if err != nil && open {
		return errors.Errorf("%w: ask about change %q later: %w", ErrOutcomeUnknown, id, err)
	}
	return err
}

// write repeats the write until the index is taken in the log or known to be
// taken here; open tells whether one of the writes may have taken effect.
func (l *Log) write(ctx context.Context, r Record) (open bool, err error) {
	pause := firstRetry
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
		// A peer may tell whose record it is while this entry is cut off.
		select {
		case <-ctx.Done():
			return open, errors.Wrap(ctx.Err(), err.Error())
		case <-changed:
		case <-time.After(pause):
		}
		pause = min(2*pause, lastRetry)
	}
}

// catchUpTo reads until the version in force is at least the index, through
// outages of the service.
func (l *Log) catchUpTo(ctx context.Context, index int64) (err error) {
	pause := firstRetry
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
		pause = min(2*pause, lastRetry)
	}
}

// takeTurn lets one change of this entry be proposed at a time, so that the
// changes of one entry don't race for the same index.
func (l *Log) takeTurn(ctx context.Context) (err error) {
	l.mu.Lock()
	if l.turn == nil {
		l.turn = make(chan struct{}, 1)
	}
	turn := l.turn
	l.mu.Unlock()
	select {
	case turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for another change of this entry")
	}
}

func (l *Log) endTurn() {
	<-l.turn
}
