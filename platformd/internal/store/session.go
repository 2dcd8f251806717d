package store

import (
	"fmt"
	"time"
)

// session holds keys until it is destroyed or expires.
type session struct {
	lifetime time.Duration
	// deletesKeys is set if the end of the session deletes its keys; otherwise it
	// only releases them.
	deletesKeys bool
	// deadline is when the session expires; it is set only if there is an expiry
	// timer.
	deadline time.Time
	expiry   *time.Timer
}

// CreateSession creates a session that expires after the lifetime unless it is
// renewed; with a lifetime of 0 it does not expire.
func (s *Store) CreateSession(lifetime time.Duration, deletesKeys bool) (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id = fmt.Sprintf("00000000-0000-0000-0000-%012x", s.lastID)
	sess := &session{lifetime: lifetime, deletesKeys: deletesKeys}
	if lifetime > 0 {
		sess.deadline = time.Now().Add(lifetime)
		sess.expiry = time.AfterFunc(lifetime, func() { s.expireSession(id) })
	}
	if s.sessions == nil {
		s.sessions = make(map[string]*session)
	}
	s.sessions[id] = sess
	return id
}

// RenewSession extends the session by its lifetime, counted from now.
func (s *Store) RenewSession(id string) (lifetime time.Duration, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess, found := s.sessions[id]
	if !found {
		return 0, false
	}
	if sess.expiry != nil {
		sess.deadline = time.Now().Add(sess.lifetime)
		sess.expiry.Reset(sess.lifetime)
	}
	return sess.lifetime, true
}

// DestroySession ends the session and deletes or releases the keys that it holds.
func (s *Store) DestroySession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.destroySession(id)
}

// expireSession destroys the session at its deadline. It does nothing if the
// session was renewed after the timer had fired.
func (s *Store) expireSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess, found := s.sessions[id]; found && !time.Now().Before(sess.deadline) {
		s.destroySession(id)
	}
}

func (s *Store) destroySession(id string) {
	sess, found := s.sessions[id]
	if !found {
		return
	}
	if sess.expiry != nil {
		sess.expiry.Stop()
	}
	delete(s.sessions, id)
	for _, key := range s.keysHeldBy(id) {
		if sess.deletesKeys {
			s.deleteEntry(key)
			continue
		}
		s.setEntry(key, s.entries[key].Value, "")
	}
}

// Acquire writes the key for the session unless another session holds it; known
// reports whether the session exists.
func (s *Store) Acquire(key string, value []byte, id string) (acquired, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known = s.sessions[id]; !known {
		return false, false
	}
	if holder := s.entries[key].Session; holder != "" && holder != id {
		return false, true
	}
	s.setEntry(key, value, id)
	return true, true
}

func (s *Store) keysHeldBy(id string) (keys []string) {
	for _, k := range s.keys {
		if s.entries[k].Session == id {
			keys = append(keys, k)
		}
	}
	return keys
}
