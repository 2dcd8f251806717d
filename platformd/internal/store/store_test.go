package store

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a session that expires although it is renewed in time or that
// outlives its lifetime, and against keys that are not deleted or released at its
// end as the session requires.
func TestSessionExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Store
		deleting, releasing := s.CreateSession(10*time.Second, true), s.CreateSession(10*time.Second, false)
		s.Acquire("a", nil, deleting)
		s.Acquire("b", nil, releasing)
		for range 5 {
			time.Sleep(9 * time.Second)
			if _, found := s.RenewSession(deleting); !found {
				t.Fatal("a renewed session has ended")
			}
		}
		if e, found, _ := s.Get("b"); !found || e.Session != "" {
			t.Errorf("key of a session that releases its keys: %+v", e)
		}
		time.Sleep(10*time.Second + time.Millisecond)
		if e, found, _ := s.Get("a"); found {
			t.Errorf("key of an ended session: %+v", e)
		}
		if _, found := s.RenewSession(deleting); found {
			t.Error("an ended session was renewed")
		}
	})
}

// Guards against a watch that misses a removal that is no longer kept.
func TestUntrackedRemovals(t *testing.T) {
	var s Store
	s.Put("a", nil)
	_, _, before := s.Get("a")
	s.Delete("a")
	for range maxTrackedRemovals {
		s.Put("b", nil)
		s.Delete("b")
	}
	if !s.changedSince("a", before) || s.changedSince("a", s.index) {
		t.Errorf("removals from %d, untracked up to %d", before, s.untrackedUpTo)
	}
}
