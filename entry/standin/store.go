package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/entry/store"
)

// Fault is what happens to a call.
type Fault int

// Faults of a call.
const (
	// Served calls are carried out and answered.
	Served Fault = iota
	// Refused calls are not carried out, and the caller learns that.
	Refused
	// Lost calls are not carried out, and no answer comes.
	Lost
	// AnswerLost calls are carried out, and no answer comes.
	AnswerLost
	// Late calls are carried out after LateBy, and no answer comes.
	Late
)

// Store is a key-value service; its zero value is empty and serves.
type Store struct {
	// Fault decides what happens to a call, if it is set. Call names the method.
	Fault func(call string) Fault
	// LateBy is the delay of late calls.
	LateBy time.Duration

	mu       sync.Mutex
	revision int64
	items    map[string]store.Item
	history  []store.Change
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}
	calls     int64
}

type storeLease struct {
	until    time.Time
	lifetime time.Duration
}

func (s *Store) init() {
	if s.items == nil {
		s.items = make(map[string]store.Item)
		s.leases = make(map[int64]*storeLease)
		s.changed = make(chan struct{})
	}
}

// fault decides what happens to a call; carry carries it out.
func (s *Store) fault(ctx context.Context, call string, carry func() error) error {
	f := Served
	if s.Fault != nil {
		f = s.Fault(call)
	}
	switch f {
	case Refused:
		return store.ErrNotDone
	case Lost:
		<-ctx.Done()
		return store.ErrUnknown
	case AnswerLost:
		_ = carry()
		<-ctx.Done()
		return store.ErrUnknown
	case Late:
		time.AfterFunc(s.LateBy, func() { _ = carry() })
		<-ctx.Done()
		return store.ErrUnknown
	case Served:
	}
	return carry()
}

// Get returns the item of a key.
func (s *Store) Get(ctx context.Context, key string) (item store.Item, found bool, err error) {
	err = s.fault(ctx, "get", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin()
		item, found = s.items[key]
		return nil
	})
	return item, found, err
}

// Range returns all items below a prefix.
func (s *Store) Range(ctx context.Context, prefix string) (items []store.Item, revision int64, err error) {
	err = s.fault(ctx, "range", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin()
		for _, k := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(k, prefix) {
				items = append(items, s.items[k])
			}
		}
		revision = s.revision
		return nil
	})
	return items, revision, err
}

// Watch waits for changes below a prefix.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	err = s.fault(ctx, "watch", func() (err error) {
		changes, revision, err = s.watch(ctx, prefix, after, wait)
		return err
	})
	return changes, revision, err
}

func (s *Store) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.begin()
		if after < s.forgotten {
			s.mu.Unlock()
			return nil, 0, store.ErrForgotten
		}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				changes = append(changes, c)
			}
		}
		revision = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, store.ErrUnknown
		}
	}
}

// Commit carries out a transaction.
func (s *Store) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	err = s.fault(ctx, "commit", func() (err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin()
		revision, err = s.commit(t)
		return err
	})
	return revision, err
}

func (s *Store) commit(t store.Transaction) (revision int64, err error) {
	conflict := &store.ConflictError{Current: make(map[string]store.Item)}
	holds := true
	for _, c := range t.Conditions {
		item := s.items[c.Key]
		item.Key = c.Key
		conflict.Current[c.Key] = item
		holds = holds && item.Revision == c.Revision
	}
	if !holds {
		return 0, conflict
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, store.ErrNoLease
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.items[p.Key] = store.Item{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision, Lease: p.Lease}
		s.history = append(s.history, store.Change{Item: s.items[p.Key]})
	}
	for _, k := range t.Removes {
		s.remove(k)
	}
	s.wake()
	return s.revision, nil
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, store.Change{Item: store.Item{Key: key, Revision: s.revision}, Removed: true})
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin ends leases whose time is over.
func (s *Store) begin() {
	s.init()
	s.calls++
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[k].Lease == id {
			s.remove(k)
		}
	}
	s.wake()
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, lifetime time.Duration) (lease int64, err error) {
	err = s.fault(ctx, "grant", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin()
		s.lastLease++
		lease = s.lastLease
		s.leases[lease] = &storeLease{until: time.Now().Add(lifetime), lifetime: lifetime}
		return nil
	})
	return lease, err
}

// Renew extends a lease.
func (s *Store) Renew(ctx context.Context, lease int64) (err error) {
	return s.fault(ctx, "renew", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin()
		l := s.leases[lease]
		if l == nil {
			return store.ErrNoLease
		}
		l.until = time.Now().Add(l.lifetime)
		return nil
	})
}

// Revoke ends a lease.
func (s *Store) Revoke(ctx context.Context, lease int64) (err error) {
	return s.fault(ctx, "revoke", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin()
		s.endLease(lease)
		return nil
	})
}

// Remove takes a key away without a lease's end, as an outage may.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin()
	s.revision++
	s.remove(key)
	s.wake()
}

// Forget drops the history, so that watches have to read all keys again.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.history = nil
	s.forgotten = s.revision
	s.wake()
}

// Calls returns how many calls were carried out.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
