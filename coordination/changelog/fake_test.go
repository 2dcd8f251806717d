package changelog

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

// memoryStore is an in-memory key-value service that never fails.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[string]platform.Item
	revision int64
	changed  chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]platform.Item{}, changed: make(chan struct{})}
}

func (m *memoryStore) list(prefix string) (entries []platform.Item, index int64, changed chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range slices.Sorted(maps.Keys(m.entries)) {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, m.entries[k])
		}
	}
	return entries, m.revision + 1, m.changed
}

// swap writes the value, or removes the key if remove is set, if the key has the
// expected revision.
func (m *memoryStore) swap(key string, expected int64, value []byte, remove bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Revision != expected {
		return false
	}
	m.revision++
	m.entries[key] = platform.Item{Key: key, Value: value, Revision: m.revision}
	if remove {
		delete(m.entries, key)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return true
}

// faults are the faults that a faultyStore injects; the numbers are probabilities
// per call.
type faults struct {
	lostRequest, lostResponse, lateWrite, repeatedWrite, slowNetwork, clientPause float64
	// maxWriteDelay bounds the delay of a write that takes effect late.
	maxWriteDelay time.Duration
	// downFrom and downTo bound an outage of the service, from the start of the
	// simulation.
	downFrom, downTo time.Duration
	// hideFloor hides the floor, so that readers accept every record.
	hideFloor bool
}

// faultyStore is the connection of one client to the service, with faults drawn
// from a seed.
type faultyStore struct {
	*memoryStore
	faults
	started time.Time

	rngMu sync.Mutex
	rng   *rand.Rand
}

func newFaultyStore(m *memoryStore, f faults, seed, client uint64) *faultyStore {
	return &faultyStore{memoryStore: m, faults: f, started: time.Now(), rng: rand.New(rand.NewPCG(seed, client))}
}

func (l *faultyStore) occurs(chance float64) bool {
	l.rngMu.Lock()
	defer l.rngMu.Unlock()
	return l.rng.Float64() < chance
}

func (l *faultyStore) randomDuration(longest time.Duration) time.Duration {
	l.rngMu.Lock()
	defer l.rngMu.Unlock()
	return time.Duration(l.rng.Int64N(int64(longest)))
}

// transmit waits for the network delay of one direction and, with some
// probability, for a pause of the client.
func (l *faultyStore) transmit(ctx context.Context) error {
	d := l.randomDuration(20 * time.Millisecond)
	if l.occurs(l.slowNetwork) {
		d += l.randomDuration(4 * time.Second)
	}
	if l.occurs(l.clientPause) {
		time.Sleep(l.randomDuration(5 * time.Minute))
	}
	if sleep(ctx, d) != nil {
		return platform.ErrUnavailable
	}
	if at := time.Since(l.started); at >= l.downFrom && at < l.downTo {
		return platform.ErrUnavailable
	}
	return nil
}

// writeWithFaults applies a write under the faults. Late and repeated writes may
// take effect when the client no longer waits for them.
func (l *faultyStore) writeWithFaults(ctx context.Context, apply func() bool) (done bool, err error) {
	late, lost := l.occurs(l.lateWrite), l.occurs(l.lostRequest)
	if late || l.occurs(l.repeatedWrite) {
		delay := l.randomDuration(l.maxWriteDelay + 1)
		go func() {
			time.Sleep(delay)
			apply()
		}()
	}
	if err = l.transmit(ctx); err != nil || late || lost {
		return false, platform.ErrUnavailable
	}
	done = apply()
	if err = l.transmit(ctx); err != nil || l.occurs(l.lostResponse) {
		return false, platform.ErrUnavailable
	}
	return done, nil
}

func (l *faultyStore) Get(ctx context.Context, key string) (e platform.Item, found bool, err error) {
	entries, _, err := l.List(ctx, key)
	if err != nil || len(entries) == 0 || (l.hideFloor && key == floorKey) {
		return e, false, err
	}
	return entries[0], true, nil
}

func (l *faultyStore) List(ctx context.Context, prefix string) (entries []platform.Item, index int64, err error) {
	return l.Wait(ctx, prefix, 0, time.Time{})
}

func (l *faultyStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (bool, error) {
	return l.writeWithFaults(ctx, func() bool { return l.swap(key, expected, value, false) })
}

func (l *faultyStore) Delete(ctx context.Context, key string, expected int64) (bool, error) {
	return l.writeWithFaults(ctx, func() bool { return l.swap(key, expected, nil, true) })
}

func (l *faultyStore) Wait(ctx context.Context, prefix string, after int64, until time.Time) (entries []platform.Item, index int64, err error) {
	if err = l.transmit(ctx); err != nil || l.occurs(l.lostRequest) {
		return nil, 0, platform.ErrUnavailable
	}
	entries, index, changed := l.list(prefix)
	for index <= after && time.Now().Before(until) {
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return nil, 0, platform.ErrUnavailable
		}
		entries, index, changed = l.list(prefix)
	}
	if err = l.transmit(ctx); err != nil || l.occurs(l.lostResponse) {
		return nil, 0, platform.ErrUnavailable
	}
	return entries, index, nil
}
