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

// memory is the state of a key-value service that never fails.
type memory struct {
	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision int64
	changed  chan struct{}
}

func newMemory() *memory {
	return &memory{entries: map[string]platform.Entry{}, changed: make(chan struct{})}
}

func (m *memory) list(prefix string) (entries []platform.Entry, index int64, changed chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range slices.Sorted(maps.Keys(m.entries)) {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, m.entries[k])
		}
	}
	return entries, m.revision + 1, m.changed
}

// swap writes the value, or removes the key if remove is set.
func (m *memory) swap(key string, expected int64, value []byte, remove bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Revision != expected {
		return false
	}
	m.revision++
	m.entries[key] = platform.Entry{Key: key, Value: value, Revision: m.revision}
	if remove {
		delete(m.entries, key)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return true
}

// faults are what a link does wrong, as probabilities for each call.
type faults struct {
	lostRequest, lostAnswer, lateWrite, repeated, slow, paused float64
	// lateBy bounds how late a delayed write arrives.
	lateBy time.Duration
	// down is when the service answers nobody, from the start of the run.
	downFrom, downTo time.Duration
	// hideFloor makes readers trust every record, as without the floor.
	hideFloor bool
}

// link is one client's connection to the service, with faults drawn from a seed.
type link struct {
	*memory
	faults
	began time.Time

	drawing sync.Mutex
	random  *rand.Rand
}

func newLink(m *memory, f faults, seed, client uint64) *link {
	return &link{memory: m, faults: f, began: time.Now(), random: rand.New(rand.NewPCG(seed, client))}
}

func (l *link) happens(chance float64) bool {
	l.drawing.Lock()
	defer l.drawing.Unlock()
	return l.random.Float64() < chance
}

func (l *link) within(longest time.Duration) time.Duration {
	l.drawing.Lock()
	defer l.drawing.Unlock()
	return time.Duration(l.random.Int64N(int64(longest)))
}

// travel takes the time of one direction; a client that is paused notices late.
func (l *link) travel(ctx context.Context) error {
	d := l.within(20 * time.Millisecond)
	if l.happens(l.slow) {
		d += l.within(4 * time.Second)
	}
	if l.happens(l.paused) {
		time.Sleep(l.within(5 * time.Minute))
	}
	if pauseFor(ctx, d) != nil {
		return platform.ErrUnavailable
	}
	if at := time.Since(l.began); at >= l.downFrom && at < l.downTo {
		return platform.ErrUnavailable
	}
	return nil
}

// write carries out a write under the faults; late and repeated ones take effect
// when their client no longer waits for them.
func (l *link) write(ctx context.Context, effect func() bool) (done bool, err error) {
	late, lost := l.happens(l.lateWrite), l.happens(l.lostRequest)
	if late || l.happens(l.repeated) {
		delay := l.within(l.lateBy + 1)
		go func() {
			time.Sleep(delay)
			effect()
		}()
	}
	if err = l.travel(ctx); err != nil || late || lost {
		return false, platform.ErrUnavailable
	}
	done = effect()
	if err = l.travel(ctx); err != nil || l.happens(l.lostAnswer) {
		return false, platform.ErrUnavailable
	}
	return done, nil
}

func (l *link) Get(ctx context.Context, key string) (e platform.Entry, found bool, err error) {
	entries, _, err := l.List(ctx, key)
	if err != nil || len(entries) == 0 || (l.hideFloor && key == floorKey) {
		return e, false, err
	}
	return entries[0], true, nil
}

func (l *link) List(ctx context.Context, prefix string) (entries []platform.Entry, index int64, err error) {
	return l.Wait(ctx, prefix, 0, time.Time{})
}

func (l *link) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (bool, error) {
	return l.write(ctx, func() bool { return l.swap(key, expected, value, false) })
}

func (l *link) Delete(ctx context.Context, key string, expected int64) (bool, error) {
	return l.write(ctx, func() bool { return l.swap(key, expected, nil, true) })
}

func (l *link) Wait(ctx context.Context, prefix string, after int64, until time.Time) (entries []platform.Entry, index int64, err error) {
	if err = l.travel(ctx); err != nil || l.happens(l.lostRequest) {
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
	if err = l.travel(ctx); err != nil || l.happens(l.lostAnswer) {
		return nil, 0, platform.ErrUnavailable
	}
	return entries, index, nil
}
