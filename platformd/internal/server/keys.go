package server

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurepoint/azurepoint/platformd/internal/store"
)

func (s *Server) readKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.waitForChange(r, func(ctx context.Context, after int64, deadline time.Time) {
		s.store.Wait(ctx, key, after, deadline)
	})
	var entries []store.Entry
	var index int64
	if r.URL.Query().Has("recurse") {
		entries, index = s.store.List(key)
	} else {
		var e store.Entry
		var found bool
		if e, found, index = s.store.Get(key); found {
			entries = []store.Entry{e}
		}
	}
	writeIndex(w, index)
	if len(entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, entries)
}

func (s *Server) writeKey(w http.ResponseWriter, r *http.Request) {
	key, q := r.PathValue("key"), r.URL.Query()
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.Has("acquire") {
		acquired, known := s.store.Acquire(key, value, q.Get("acquire"))
		if !known {
			http.Error(w, "invalid session", http.StatusInternalServerError)
			return
		}
		writeJSON(w, acquired)
		return
	}
	if !q.Has("cas") {
		s.store.Put(key, value)
		writeJSON(w, true)
		return
	}
	expected, err := strconv.ParseInt(q.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.store.CompareAndSwap(key, expected, value))
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	key, q := r.PathValue("key"), r.URL.Query()
	if !q.Has("cas") {
		s.store.Delete(key)
		writeJSON(w, true)
		return
	}
	expected, err := strconv.ParseInt(q.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.store.CompareAndDelete(key, expected))
}
