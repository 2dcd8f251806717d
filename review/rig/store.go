package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as its settings give them.
const (
	pageItems  = 500
	pageBytes  = 1 << 20
	maxEntries = 32
	valueBytes = 1 << 20
	minTTL     = time.Second
)

// item is a key of the store in its JSON form.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// event is a change in the answer to a watch.
type event struct {
	item

	removed bool
}

// MarshalJSON writes an item as it was written, or a removal.
func (e event) MarshalJSON() ([]byte, error) {
	if e.removed {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "removed": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	until time.Time
	ttl   time.Duration
}

// store is the platform's metadata store: linearizable, with revisions, leases and watches.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []event
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
	// refused is called for each put of a value that is too long.
	refused func(key string, size int)
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), refused: func(string, int) {}}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over; s.mu is held.
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
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, k := range keys {
		s.remove(k)
	}
	s.notify()
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, removed: true})
	}
}

func (s *store) write(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

// put writes a key as operators and workers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

// drop removes a key as operators and workers do.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, found := s.items[key]; found {
		s.revision++
		s.remove(key)
		s.notify()
	}
}

// get returns the value of a key.
func (s *store) get(key string) (value []byte, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, found := s.items[key]
	return i.Value, found
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	path := r.URL.Path
	switch {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTransaction(w, body)
	case path == "/kv-lease":
		s.serveLease(w, body)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		writeJSON(w, http.StatusNotFound, map[string]int64{"asOf": asOf})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "asOf": asOf,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	s.mu.Lock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		i := s.items[k]
		if more = len(items) == pageItems || len(items) > 0 && size+len(i.Value) > pageBytes; more {
			break
		}
		items, size = append(items, i), size+len(i.Value)
	}
	asOf := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events := []event{}
		from := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
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

// transaction is the body of a transaction.
type transaction struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, body []byte) {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil || len(t.ExpectedRev)+len(t.Puts)+len(t.Remove) > maxEntries {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "bad transaction"})
		return
	}
	for _, p := range t.Puts {
		if len(p.Key) > 200 || len(p.Value) > valueBytes {
			s.refused(p.Key, len(p.Value))
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "too long"})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	holds, items := true, []item{}
	for _, c := range t.ExpectedRev {
		i, found := s.items[c.Key]
		if found {
			items = append(items, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, body []byte) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.Unmarshal(body, &b); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "bad lease"})
		return
	}
	ttl := max(time.Duration(b.TTLMs)*time.Millisecond, minTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{until: time.Now().Add(ttl), ttl: ttl}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": s.lastLease, "ttlMs": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[n]
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	l.until = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.endLease(n)
	writeJSON(w, http.StatusOK, map[string]int64{})
}
