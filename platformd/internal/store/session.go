package store

import (
	"fmt"
	"time"
)

// session keeps keys until it is destroyed or not renewed in time.
type session struct {
	lifetime time.Duration
	// removes is set when the end of the session removes its keys, and not set
	// when it only gives them free.
	removes bool
	// deadline is when the session ends, if it has an expiry timer.
	deadline time.Time
	expiry   *time.Timer
}

// Create begins a session that ends after the lifetime unless it is renewed; 0
// means that it does not end by itself.
func (s *Store) Create(lifetime time.Duration, removes bool) (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id = fmt.Sprintf("00000000-0000-0000-0000-%012x", s.lastID)
	o := &session{lifetime: lifetime, removes: removes}
	if lifetime > 0 {
		o.deadline = time.Now().Add(lifetime)
		o.expiry = time.AfterFunc(lifetime, func() { s.expire(id) })
	}
	if s.sessions == nil {
		s.sessions = make(map[string]*session)
	}
	s.sessions[id] = o
	return id
}

// Renew gives the session its lifetime again, counted from now.
func (s *Store) Renew(id string) (lifetime time.Duration, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.sessions[id]
	if !found {
		return 0, false
	}
	if o.expiry != nil {
		o.deadline = time.Now().Add(o.lifetime)
		o.expiry.Reset(o.lifetime)
	}
	return o.lifetime, true
}

// Destroy ends the session and removes or frees the keys that it holds.
func (s *Store) Destroy(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.destroy(id)
}

// expire leaves a session that was renewed after its timer had fired.
func (s *Store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.sessions[id]; found && !time.Now().Before(o.deadline) {
		s.destroy(id)
	}
}

func (s *Store) destroy(id string) {
	o, found := s.sessions[id]
	if !found {
		return
	}
	if o.expiry != nil {
		o.expiry.Stop()
	}
	delete(s.sessions, id)
	for _, k := range s.heldBy(id) {
		if o.removes {
			s.remove(k)
			continue
		}
		s.put(k, s.entries[k].Value, "")
	}
}

// Acquire writes the key for the session unless another one holds it; known
// tells whether the session exists.
func (s *Store) Acquire(key string, value []byte, id string) (acquired, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known = s.sessions[id]; !known {
		return false, false
	}
	if holder := s.entries[key].Session; holder != "" && holder != id {
		return false, true
	}
	s.put(key, value, id)
	return true, true
}

func (s *Store) heldBy(id string) (keys []string) {
	for _, k := range s.keys {
		if s.entries[k].Session == id {
			keys = append(keys, k)
		}
	}
	return keys
}
