package server

import (
	"encoding/json"
	"net/http"
	"time"
)

// sessionForm is a session in the form of the published API.
type sessionForm struct {
	ID        string
	Name      string `json:",omitempty"`
	TTL       string `json:",omitempty"`
	Behaviour string `json:"Behavior,omitempty"` //nolint:misspell // published name
	LockDelay string `json:",omitempty"`
}

// createSession accepts lifetimes below the 10 s of the published API, so that
// tests need not wait for them.
func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var f sessionForm
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var lifetime time.Duration
	if f.TTL != "" {
		var err error
		if lifetime, err = time.ParseDuration(f.TTL); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, sessionForm{ID: s.store.Create(lifetime, f.Behaviour == "delete")})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	lifetime, found := s.store.Renew(id)
	if !found {
		http.Error(w, "session does not exist", http.StatusNotFound)
		return
	}
	writeJSON(w, []sessionForm{{ID: id, TTL: lifetime.String()}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.store.Destroy(r.PathValue("id"))
	writeJSON(w, true)
}
