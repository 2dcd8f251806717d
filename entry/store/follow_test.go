package store

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// scriptedStore answers calls from a list; the test's clock advances with each of them.
type scriptedStore struct {
	Store
	mu sync.Mutex
	// clock is the time since boot, and steps what the next calls return.
	clock time.Duration
	steps []scriptedCall
	// waits holds how long each watch was to wait, and ranges counts the reads of all keys.
	waits  []time.Duration
	ranges int
	done   chan struct{}
}

type scriptedCall struct {
	took     time.Duration
	changes  []Change
	revision int64
	err      error
}

// next returns the next scripted call, or blocks after the last one until the test ends.
func (s *scriptedStore) next(ctx context.Context) (c scriptedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		close(s.done)
		<-ctx.Done()
		return scriptedCall{err: ErrNoAnswer}
	}
	c, s.steps = s.steps[0], s.steps[1:]
	s.clock += c.took
	return c
}

func (s *scriptedStore) Range(ctx context.Context, _ string) (items []Item, revision int64, err error) {
	s.ranges++
	c := s.next(ctx)
	return nil, c.revision, c.err
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (changes []Change, revision int64, err error) {
	s.waits = append(s.waits, wait)
	c := s.next(ctx)
	return c.changes, c.revision, c.err
}

// play runs a follower until it has made the scripted calls.
func (s *scriptedStore) play(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := f.Run(ctx)
	<-s.done
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against a view that is confirmed as of the arrival of an answer, by a call without
// one or by one whose history was dropped, or before its changes are applied; and against a
// wait of the settings at the start, and a long one when an answer is due after a failure.
func TestFollowerConfirmsAsOfTheSendingOfACall(t *testing.T) {
	s := &scriptedStore{done: make(chan struct{}), clock: 10 * time.Second, steps: []scriptedCall{
		{took: time.Second, revision: 1},
		{took: 2 * time.Second, revision: 1},
		{took: time.Second, err: errors.Wrap(ErrNoAnswer, "lost")},
		{took: 4 * time.Second, revision: 2, changes: []Change{{Item: Item{Key: "x/a", Revision: 2}}}},
		{took: 8 * time.Second, err: ErrCompacted},
		{took: time.Second, err: ErrRejected},
		{took: time.Second, revision: 9},
	}}
	var confirmed []time.Duration
	var confirmedBeforeChange int
	wait := time.Second
	f := &Follower{
		Store: s, Prefix: "x/", Reset: func([]Item, int64) {}, Apply: func([]Change) { confirmedBeforeChange = len(confirmed) },
		OnUnreachable: func(error) {}, OnRecovered: func() {}, Clock: func() time.Duration { return s.clock },
		OnConfirmed: func(sentAt time.Duration) { confirmed = append(confirmed, sentAt) },
		Wait: func() time.Duration {
			wait += time.Millisecond
			return wait
		},
	}
	s.play(t, f)
	want := []time.Duration{10 * time.Second, 11 * time.Second, 14 * time.Second, 27 * time.Second}
	if !slices.Equal(confirmed, want) {
		t.Errorf("confirmed as of %v, want %v", confirmed, want)
	}
	if confirmedBeforeChange != 2 {
		t.Errorf("the changes were applied after %d confirmations, want 2", confirmedBeforeChange)
	}
	wantWaits := []time.Duration{1001 * time.Millisecond, 1002 * time.Millisecond, confirmWait, 1003 * time.Millisecond, 1004 * time.Millisecond}
	if !slices.Equal(s.waits, wantWaits) {
		t.Errorf("watches waited %v, want %v", s.waits, wantWaits)
	}
}

// Load: the configuration is large and changes several times a second while the service refuses
// calls. Guards against an entry on a slow link that stays with an old configuration: the changes
// since its last answer do not arrive in the time of a watch that only confirms the view (CONFIG on
// tsn-ub-grown, an entry 21 s behind).
func TestFollowerReadsAllKeysAfterWatchesWithoutAnswer(t *testing.T) {
	lost := errors.Wrap(ErrNoAnswer, "deadline exceeded")
	s := &scriptedStore{done: make(chan struct{}), steps: []scriptedCall{
		{revision: 1}, {err: ErrRejected}, {err: lost}, {revision: 7}, {revision: 7},
	}}
	confirmations := 0
	f := &Follower{
		Store: s, Prefix: "x/", Reset: func([]Item, int64) {}, Apply: func([]Change) {},
		OnUnreachable: func(error) {}, OnRecovered: func() {}, OnConfirmed: func(time.Duration) { confirmations++ },
	}
	s.play(t, f)
	if s.ranges != 2 || confirmations != 3 {
		t.Errorf("%d reads of all keys and %d confirmations, want 2 and 3", s.ranges, confirmations)
	}
}

// changingStore changes a key with every watch.
type changingStore struct {
	Store
	watches int64
}

func (s *changingStore) Range(context.Context, string) (items []Item, revision int64, err error) {
	return nil, 0, nil
}

func (s *changingStore) Watch(context.Context, string, int64, time.Duration) (changes []Change, revision int64, err error) {
	s.watches++
	return []Change{{Item: Item{Key: "x/a", Revision: s.watches}}}, s.watches, nil
}

// Guards against a service that refuses calls because hundreds of followers repeat their
// watches with every one of the changes that come in quick succession.
func TestFollowerBoundsItsWatches(t *testing.T) {
	const interval, during = 20 * time.Millisecond, 200 * time.Millisecond
	s := &changingStore{}
	applied := int64(0)
	f := &Follower{
		Store: s, Prefix: "x/", Reset: func([]Item, int64) {}, Apply: func(changes []Change) { applied = changes[0].Revision },
		Interval: func() time.Duration { return interval },
	}
	ctx, cancel := context.WithTimeout(t.Context(), during)
	defer cancel()
	if err := <-f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if most := int64(during/interval) + 1; s.watches == 0 || s.watches > most || applied != s.watches {
		t.Errorf("%d watches in %v, the last change is %d, want at most %d watches", s.watches, during, applied, most)
	}
}
