package store

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a session that ends while it is renewed in time, or that
// outlives its lifetime, and against the wrong end of its keys.
func TestSessionExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Store
		removing, freeing := s.Create(10*time.Second, true), s.Create(10*time.Second, false)
		s.Acquire("a", nil, removing)
		s.Acquire("b", nil, freeing)
		for range 5 {
			time.Sleep(9 * time.Second)
			if _, found := s.Renew(removing); !found {
				t.Fatal("a renewed session has ended")
			}
		}
		if e, found, _ := s.Get("b"); !found || e.Session != "" {
			t.Errorf("key of a session that gives it free: %+v", e)
		}
		time.Sleep(10*time.Second + time.Millisecond)
		if e, found, _ := s.Get("a"); found {
			t.Errorf("key of an ended session: %+v", e)
		}
		if _, found := s.Renew(removing); found {
			t.Error("an ended session was renewed")
		}
	})
}

// Guards against a watch that misses a removal which is no longer remembered.
func TestForgottenRemovals(t *testing.T) {
	var s Store
	s.Put("a", nil)
	_, _, before := s.Get("a")
	s.Remove("a")
	for range keptRemovals {
		s.Put("b", nil)
		s.Remove("b")
	}
	if !s.changedSince("a", before) || s.changedSince("a", s.index) {
		t.Errorf("removals from %d, forgotten up to %d", before, s.forgotten)
	}
}
