package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxTrackedRemovals is the number of removals that are kept for watches. A watch
// with an index below all of them returns at once.
const maxTrackedRemovals = 4096

// Entry is one key in the JSON format of the published API.
type Entry struct {
	LockIndex   int64
	Key         string
	Flags       int64
	Value       []byte
	Session     string `json:",omitempty"`
	CreateIndex int64
	ModifyIndex int64
}

// removal records at which index a key was removed.
type removal struct {
	key   string
	index int64
}

// Store is the key-value service; the zero value is empty.
type Store struct {
	mu       sync.Mutex
	entries  map[string]Entry
	keys     []string // sorted
	removals []removal
	// untrackedUpTo is the index of the last removal that is no longer kept.
	untrackedUpTo int64
	index         int64
	changed       chan struct{}
	sessions      map[string]*session
	lastID        uint64
}

// Get returns the entry of the key and the index of the store.
func (s *Store) Get(key string) (e Entry, found bool, index int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found = s.entries[key]
	return e, found, s.index
}

// List returns the entries whose keys have the prefix, in key order, and the index
// of the store.
func (s *Store) List(prefix string) (entries []Entry, index int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.keysWithPrefix(prefix) {
		entries = append(entries, s.entries[k])
	}
	return entries, s.index
}

// Wait returns once a key with the prefix was written or removed after the index,
// when the deadline passes, or when the context ends.
func (s *Store) Wait(ctx context.Context, prefix string, after int64, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		s.mu.Lock()
		isChanged := s.changedSince(prefix, after)
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if isChanged {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Put writes the key.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEntry(key, value, s.entries[key].Session)
}

// CompareAndSwap writes the key if its index is the expected one; 0 means that the
// key must not exist.
func (s *Store) CompareAndSwap(key string, expected int64, value []byte) (swapped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e.ModifyIndex != expected {
		return false
	}
	s.setEntry(key, value, e.Session)
	return true
}

// Delete removes the key; it has no effect if the key does not exist.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteEntry(key)
}

// CompareAndDelete removes the key if its index is the expected one, and reports
// true for a key that does not exist; an expected index of 0 removes nothing.
func (s *Store) CompareAndDelete(key string, expected int64) (removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.entries[key]
	if expected == 0 || (found && e.ModifyIndex != expected) {
		return false
	}
	s.deleteEntry(key)
	return true
}

func (s *Store) setEntry(key string, value []byte, session string) {
	s.index++
	e, found := s.entries[key]
	if !found {
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, at, key)
		e = Entry{Key: key, CreateIndex: s.index}
	}
	if session != "" && session != e.Session {
		e.LockIndex++
	}
	e.Value = value
	e.Session = session
	e.ModifyIndex = s.index
	if s.entries == nil {
		s.entries = make(map[string]Entry)
	}
	s.entries[key] = e
	s.notifyWatches()
}

func (s *Store) deleteEntry(key string) {
	at, found := slices.BinarySearch(s.keys, key)
	if !found {
		return
	}
	s.index++
	s.keys = slices.Delete(s.keys, at, at+1)
	delete(s.entries, key)
	s.removals = append(s.removals, removal{key: key, index: s.index})
	if len(s.removals) > maxTrackedRemovals {
		s.untrackedUpTo = s.removals[0].index
		s.removals = slices.Delete(s.removals, 0, 1)
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Store) keysWithPrefix(prefix string) (keys []string) {
	from, _ := slices.BinarySearch(s.keys, prefix)
	to := from
	for to < len(s.keys) && strings.HasPrefix(s.keys[to], prefix) {
		to++
	}
	return s.keys[from:to]
}

func (s *Store) changedSince(prefix string, after int64) bool {
	if after < s.untrackedUpTo {
		return true
	}
	for _, r := range s.removals {
		if r.index > after && strings.HasPrefix(r.key, prefix) {
			return true
		}
	}
	for _, k := range s.keysWithPrefix(prefix) {
		if s.entries[k].ModifyIndex > after {
			return true
		}
	}
	return false
}
