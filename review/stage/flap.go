package main

import (
	"time"
)

// Figures of the case "flap".
const (
	flapWorkers = 8
	flapUp      = 3 * time.Second
	flapDown    = time.Second
	flapCrashes = 6
	notice      = 4500 * time.Millisecond
)

func init() { cases["flap"] = playFlap }

// playFlap runs a job that lasts with one work unit on each of eight workers. One of the workers
// crashes and starts again by turns.
func playFlap(s *stage, trouble bool) {
	const id = "5c0e7a21d94b36f8"
	s.configure(7, 2.2, 2)
	for range flapWorkers {
		s.addWorker(16000, 65536, "a", "r1-1")
	}
	lasting := job{Spec: "lasts", Steps: []step{{Count: flapWorkers, CPU: 5000, MemMb: 20000, EstimateMs: 900, AntiAffinity: 1, LongRunning: true, Image: "ledger", TargetMs: 100, MayMiss: 1}}}
	s.onStop = func(w *worker, task string, r *unitRun) { s.checkAvailable(w, task, r, 1) }
	for range 2 {
		s.addEntry()
	}
	if s.waitForOwner(10*time.Second) == nil {
		return
	}
	time.Sleep(3 * time.Second)
	if !s.submit(s.entries[0], id, lasting) {
		s.fail("the job was not accepted")
		return
	}
	if !waitFor(8*time.Second, func() bool { return s.runningUnits(id) == flapWorkers }) {
		s.fail("the work units do not run")
		return
	}
	time.Sleep(2 * time.Second)
	flaky := s.workers[2]
	for range flapCrashes {
		if trouble {
			flaky.crash()
			time.Sleep(flapDown)
			flaky.begin("i-3")
		}
		time.Sleep(flapUp)
		state, status := s.state(s.entries[1], id)
		s.record("GET %s: %d %s; %d work units run", id, status, state, s.runningUnits(id))
	}
	time.Sleep(8 * time.Second)
	state, status := s.state(s.entries[1], id)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := 0
	for _, u := range s.units {
		failed += u.ends["failed"]
	}
	s.line("GET %s: %d %s; ends with failed: %d", id, status, state, failed)
	if state == "failed" && failed == 0 {
		s.line("also LOST: the job is shown as failed, though no work unit has ended failed")
	}
}

// checkAvailable checks AVAIL for a stop; s.mu is held.
func (s *stage) checkAvailable(w *worker, task string, r *unitRun, mayMiss int) {
	if time.Since(r.started) < startupTime {
		return
	}
	away := 0
	for name, u := range s.units {
		if name == task || jobOf(name) != jobOf(task) {
			continue
		}
		if u.endedByStop || len(u.running) == 0 && !u.awaySince.IsZero() && time.Since(u.awaySince) > notice {
			away++
		}
	}
	s.unit(task).endedByStop = true
	if away >= mayMiss {
		s.broke("AVAIL: %s is at work on %s and is told to stop, while %d others of its step are away and %d may be", task, w.machine, away, mayMiss)
	}
}
