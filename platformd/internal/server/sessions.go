package server

import (
	"encoding/json"
	"net/http"
	"time"
)

// sessionJSON is a session in the JSON format of the published API.
type sessionJSON struct {
	ID        string
	Name      string `json:",omitempty"`
	TTL       string `json:",omitempty"`
	Behaviour string `json:"Behavior,omitempty"` //nolint:misspell // published name
	LockDelay string `json:",omitempty"`
}

// createSession accepts a TTL below the minimum of 10 s of the published API, so
// that tests do not have to wait for it.
func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var f sessionJSON
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
	writeJSON(w, sessionJSON{ID: s.store.CreateSession(lifetime, f.Behaviour == "delete")})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	lifetime, found := s.store.RenewSession(id)
	if !found {
		http.Error(w, "session does not exist", http.StatusNotFound)
		return
	}
	writeJSON(w, []sessionJSON{{ID: id, TTL: lifetime.String()}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.store.DestroySession(r.PathValue("id"))
	writeJSON(w, true)
}
