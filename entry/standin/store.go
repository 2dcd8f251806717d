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
	// FaultNone calls are executed and answered.
	FaultNone Fault = iota
	// FaultRejected calls are not executed, and the caller is told so.
	FaultRejected
	// FaultLost calls are not executed, and no answer is sent.
	FaultLost
	// FaultAnswerLost calls are executed, and no answer is sent.
	FaultAnswerLost
	// FaultDelayed calls are executed after LateBy, and no answer is sent.
	FaultDelayed
)

// Store is a key-value service; its zero value is empty and ready to use.
type Store struct {
	// LateBy is the delay of late calls.
	LateBy time.Duration

	mu       sync.Mutex
	fault    func(call string) Fault
	revision int64
	items    map[string]store.Item
	history  []store.Change
	// compactedRevision is the revision up to which the change history was dropped.
	compactedRevision int64
	leases            map[int64]*storeLease
	lastLease         int64
	changed           chan struct{}
	calls             int64
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

// SetFault sets the function that selects what happens to a call; call names the
// method. It may be called while the store is in use.
func (s *Store) SetFault(choose func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = choose
}

// chooseFault returns the fault of a call.
func (s *Store) chooseFault(call string) Fault {
	s.mu.Lock()
	choose := s.fault
	s.mu.Unlock()
	if choose == nil {
		return FaultNone
	}
	return choose(call)
}

// withFault executes a call with the fault that was chosen for it. A late call is executed after its
// caller has returned, so that execute must not set the caller's results.
func (s *Store) withFault(ctx context.Context, call string, execute func() error) error {
	switch s.chooseFault(call) {
	case FaultRejected:
		return store.ErrRejected
	case FaultLost:
		<-ctx.Done()
		return store.ErrNoAnswer
	case FaultAnswerLost:
		_ = execute()
		<-ctx.Done()
		return store.ErrNoAnswer
	case FaultDelayed:
		time.AfterFunc(s.LateBy, func() { _ = execute() })
		<-ctx.Done()
		return store.ErrNoAnswer
	case FaultNone:
	}
	return execute()
}

// Get returns the item of a key.
func (s *Store) Get(ctx context.Context, key string) (item store.Item, found bool, err error) {
	var read store.Item
	var present bool
	err = s.withFault(ctx, "get", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.beginCall()
		read, present = s.items[key]
		return nil
	})
	if err != nil {
		return store.Item{}, false, err
	}
	return read, present, nil
}

// Range returns all items below a prefix.
func (s *Store) Range(ctx context.Context, prefix string) (items []store.Item, revision int64, err error) {
	var read []store.Item
	var asOf int64
	err = s.withFault(ctx, "range", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.beginCall()
		for _, k := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(k, prefix) {
				read = append(read, s.items[k])
			}
		}
		asOf = s.revision
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return read, asOf, nil
}

// Watch waits for changes below a prefix.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	var read []store.Change
	var asOf int64
	err = s.withFault(ctx, "watch", func() (err error) {
		read, asOf, err = s.watch(ctx, prefix, after, wait)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	return read, asOf, nil
}

func (s *Store) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []store.Change, revision int64, err error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.beginCall()
		if after < s.compactedRevision {
			s.mu.Unlock()
			return nil, 0, store.ErrCompacted
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
			return nil, 0, store.ErrNoAnswer
		}
	}
}

// Commit applies a transaction.
func (s *Store) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	var committed int64
	err = s.withFault(ctx, "commit", func() (err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.beginCall()
		for _, p := range t.Puts {
			if len(p.Value) > store.DefaultMaxValueBytes {
				return store.ErrInvalid
			}
		}
		committed, err = s.commit(t)
		return err
	})
	if err != nil {
		return 0, err
	}
	return committed, nil
}

// Put writes a key without a fault, as its operators and endpoints do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCall()
	// Without conditions and leases a transaction cannot fail.
	_, _ = s.commit(store.Transaction{Puts: []store.Put{{Key: key, Value: value}}})
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
			return 0, store.ErrLeaseEnded
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
	s.notifyWatchers()
	return s.revision, nil
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, store.Change{Item: store.Item{Key: key, Revision: s.revision}, Removed: true})
	}
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts a call and ends expired leases.
func (s *Store) beginCall() {
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
	s.notifyWatchers()
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, lifetime time.Duration) (lease int64, err error) {
	var granted int64
	err = s.withFault(ctx, "grant", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.beginCall()
		s.lastLease++
		granted = s.lastLease
		s.leases[granted] = &storeLease{until: time.Now().Add(lifetime), lifetime: lifetime}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return granted, nil
}

// Renew extends a lease.
func (s *Store) Renew(ctx context.Context, lease int64) (err error) {
	return s.withFault(ctx, "renew", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.beginCall()
		l := s.leases[lease]
		if l == nil {
			return store.ErrLeaseEnded
		}
		l.until = time.Now().Add(l.lifetime)
		return nil
	})
}

// Revoke ends a lease.
func (s *Store) Revoke(ctx context.Context, lease int64) (err error) {
	return s.withFault(ctx, "revoke", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.beginCall()
		s.endLease(lease)
		return nil
	})
}

// Remove removes a key before its lease ends, as an outage may.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCall()
	s.revision++
	s.remove(key)
	s.notifyWatchers()
}

// Compact drops the change history, so that watches have to read all keys again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.history = nil
	s.compactedRevision = s.revision
	s.notifyWatchers()
}

// Calls returns how many calls were executed.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
