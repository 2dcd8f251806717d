package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	AsOf     int64  `json:"asOf,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// kvStore is the platform's metadata store.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
}

const storeAnswer = 4 * time.Millisecond

func newStore() *kvStore {
	s := &kvStore{revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.until) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.removeKey(key)
		}
	}
	s.notify()
}

func (s *kvStore) removeKey(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key, as the operator and the workers do.
func (s *kvStore) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, b, 0)
	s.notify()
}

func (s *kvStore) write(key string, value []byte, lease int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeKey(key)
	s.notify()
}

func (s *kvStore) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	return i, found
}

// handler serves the store to one entry. intercept may delay a call, or take it over and return true.
func (s *kvStore) handler(intercept func(w http.ResponseWriter, r *http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if intercept != nil && intercept(w, r) {
			return
		}
		time.Sleep(storeAnswer)
		s.serve(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *kvStore) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		i, found := s.items[q.Get("key")]
		i.AsOf = s.revision
		s.mu.Unlock()
		if !found {
			writeJSON(w, 404, map[string]any{})
			return
		}
		writeJSON(w, 200, i)
	case path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.serveTransaction(w, r)
	case path == "/kv-lease":
		var body struct{ TTLMs int64 }
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			writeJSON(w, 400, map[string]any{})
			return
		}
		s.mu.Lock()
		s.revision++
		id := s.revision
		l := &lease{ttl: time.Duration(body.TTLMs) * time.Millisecond}
		l.until = time.Now().Add(l.ttl)
		s.leases[id] = l
		s.mu.Unlock()
		writeJSON(w, 200, map[string]int64{"lease": id, "ttlMs": body.TTLMs})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.until = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			writeJSON(w, 404, map[string]any{})
			return
		}
		writeJSON(w, 200, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		writeJSON(w, 200, map[string]any{})
	default:
		writeJSON(w, 404, map[string]any{})
	}
}

func (s *kvStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	asOf := s.revision
	s.mu.Unlock()
	writeJSON(w, 200, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[start:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []struct {
			Key      string
			Revision int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.ExpectedRev)+len(body.Puts)+len(body.Remove) > 32 {
		writeJSON(w, 400, map[string]any{})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			writeJSON(w, 403, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	status, answer := 200, any(nil)
	holds, current := true, []item{}
	for _, c := range body.ExpectedRev {
		i, found := s.items[c.Key]
		holds = holds && i.Revision == c.Revision
		if found {
			current = append(current, i)
		}
	}
	if !holds {
		status, answer = 412, map[string]any{"items": current}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil && status == 200 {
			status, answer = 404, map[string]any{}
		}
	}
	if status == 200 {
		s.revision++
		for _, p := range body.Puts {
			s.write(p.Key, p.Value, p.Lease)
		}
		for _, k := range body.Remove {
			s.removeKey(k)
		}
		s.notify()
		answer = map[string]int64{"revision": s.revision}
	}
	s.mu.Unlock()
	writeJSON(w, status, answer)
}
