package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case "pending".
const (
	pendingWorkers = 10
	pendingJobs    = 10
	busyFor        = 6500 * time.Millisecond
	visible        = 3 * time.Second
	pendingSlack   = 2 * time.Second
)

func init() { cases["pending"] = playPending }

// playPending fills nine of ten workers with work units that last. The tenth turns starts away for
// some seconds, while small jobs come.
func playPending(s *stage, trouble bool) {
	const id = "5c0e7a21d94b36f8"
	s.configure(7, 1.6, 4)
	for range pendingWorkers {
		s.addWorker(16000, 65536, "a", "r1-1")
	}
	for range 2 {
		s.addEntry()
	}
	if s.waitForOwner(10*time.Second) == nil {
		return
	}
	time.Sleep(3 * time.Second)
	lasting := job{Spec: "lasts", Steps: []step{{Count: pendingWorkers - 1, CPU: 16000, MemMb: 8000, EstimateMs: 900, AntiAffinity: 1, LongRunning: true, MayMiss: 1}}}
	if !s.submit(s.entries[0], id, lasting) || !waitFor(8*time.Second, func() bool { return s.runningUnits(id) == pendingWorkers-1 }) {
		s.fail("the work units that last do not run")
		return
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.record("the free worker turns starts away from now on")
		until := time.Now().Add(busyFor)
		free := s.workers[0]
		for _, w := range s.workers {
			w.mu.Lock()
			if len(w.life.runs) == 0 {
				free = w
			}
			w.mu.Unlock()
		}
		s.refuseStarts(free, until)
	}
	var ids []string
	for n := range pendingJobs {
		id := fmt.Sprintf("b%015x", n)
		if s.submit(s.entries[n%2], id, job{Spec: "work=20000", Steps: []step{{Count: 1, CPU: 1000, MemMb: 256, EstimateMs: 20000}}}) {
			ids = append(ids, id)
		}
	}
	last := time.Now()
	for _, wait := range []time.Duration{200, 500, 800} {
		time.Sleep(time.Until(last.Add(visible + pendingSlack + wait*time.Millisecond)))
		for _, e := range s.entries {
			s.checkPending(e, ids)
		}
	}
	time.Sleep(3 * time.Second)
}

// refuseStarts makes a worker answer 503 to each order to start until a time.
func (s *stage) refuseStarts(busy *worker, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onOrder = func(w *worker, l *life, path string, o order, rw http.ResponseWriter) bool {
		if w != busy || path != "/run-start" || time.Now().After(until) {
			return false
		}
		s.record("%s run %d is turned away by %s", o.Task, o.Run, w.machine)
		writeJSON(rw, 503, map[string]any{"clockMs": l.clock()})
		return true
	}
}

// checkPending checks MIXED for the number of jobs that have not begun, all of which were accepted long enough before.
func (s *stage) checkPending(e *entry, ids []string) {
	waiting := 0
	for _, id := range ids {
		if s.startsOf(id) == 0 {
			waiting++
		}
	}
	r := s.call(e, http.MethodGet, "", nil)
	var body struct{ Pending *int }
	if json.NewDecoder(strings.NewReader(r.body)).Decode(&body) != nil || body.Pending == nil {
		s.record("GET %s at %s: %d %s", prefix, e.name, r.status, r.body)
		return
	}
	s.record("GET %s at %s: %d pending; %d accepted jobs have not begun", prefix, e.name, *body.Pending, waiting)
	if 2*(*body.Pending) < waiting {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.broke("MIXED: %s gives %d jobs as pending; %d were accepted over 5 s before and have not begun", e.name, *body.Pending, waiting)
	}
}
