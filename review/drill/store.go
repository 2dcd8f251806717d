package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's key-value service as PROTOCOL.md describes it.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}
	// valueBytes limits a value.
	valueBytes int
	// before, if set, is called with each transaction before it is carried out. It may wait, and
	// answered is false if the call gets no answer.
	before func(t *storeTxn) (answered bool)
	// oversized counts the transactions that were refused because a value was too long.
	oversized int
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

type storeTxn struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]storeItem), leases: make(map[int64]*storeLease), changed: make(chan struct{}), valueBytes: 1 << 20}
}

// answerTime is what an answer of the store takes.
const answerTime = 4 * time.Millisecond

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.notify()
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key, value string, lease int64) {
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// Put writes a key as the operator and the workers do.
func (s *store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
	s.notify()
}

// Remove removes a key.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Value returns the value of a key, or nil.
func (s *store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	if !found {
		return nil
	}
	b, _ := base64.StdEncoding.DecodeString(i.Value)
	return b
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path != "/kv-watch" {
		time.Sleep(answerTime)
	}
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		s.expire()
		i, found := s.items[q.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !found {
			writeJSON(w, http.StatusNotFound, map[string]any{"asOf": asOf})
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "asOf": asOf})
	case r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		var b struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.lastLease++
		id, ttl := s.lastLease, time.Duration(max(1000, b.TTLMs))*time.Millisecond
		s.leases[id] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		keep := strings.HasPrefix(r.URL.Path, "/kv-keep/")
		id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
		s.mu.Lock()
		s.expire()
		l := s.leases[id]
		switch {
		case l != nil && keep:
			l.until = time.Now().Add(l.ttl)
		case l != nil:
			s.endLease(id)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []storeItem{}, 0, false
	for _, k := range keys {
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		items = append(items, s.items[k])
		size += len(s.items[k].Value)
	}
	asOf := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	prefix := q.Get("prefix")
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events := []storeItem{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append([]storeItem{s.history[i]}, events...)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			time.Sleep(answerTime)
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t storeTxn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.ExpectedRev)+len(t.Puts)+len(t.Remove) > 32 {
		writeJSON(w, http.StatusBadRequest, map[string]any{"reason": "transaction"})
		return
	}
	if s.before != nil && !s.before(&t) {
		// A channel on which a response is lost returns nothing further.
		<-r.Context().Done()
		return
	}
	for _, p := range t.Puts {
		if base64.StdEncoding.DecodedLen(len(p.Value)) > s.valueBytes+2 {
			s.mu.Lock()
			s.oversized++
			s.mu.Unlock()
			writeJSON(w, http.StatusBadRequest, map[string]any{"reason": "a value has more than valueBytes"})
			return
		}
	}
	status, body := s.commit(&t)
	writeJSON(w, status, body)
}

func (s *store) commit(t *storeTxn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []storeItem{}, true
	for _, c := range t.ExpectedRev {
		i, found := s.items[c.Key]
		if found {
			current = append(current, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}
