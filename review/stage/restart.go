package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case "restart".
const (
	restartWorkers = 8
	restartEvery   = 150 * time.Millisecond // 6.7 jobs a second, of 7 that the workers can do
	restartLoad    = 40 * time.Second
	restartCrashAt = 10 * time.Second
	lastingRestart = 6 * time.Second // from the last run of a work unit that lasts
	calm           = 4 * time.Second
)

func init() { cases["restart"] = playRestart }

// playRestart has a job whose first step prepares and whose second one lasts, beside a load of small
// jobs that the workers can just do. One of the workers of the lasting step is lost for good.
func playRestart(s *stage, trouble bool) {
	const id = "5c0e7a21d94b36f8"
	s.configure(7, 1.6, 4)
	for range restartWorkers {
		s.addWorker(16000, 65536, "a", "r1-1")
	}
	for range 2 {
		s.addEntry()
	}
	if s.waitForOwner(10*time.Second) == nil {
		return
	}
	time.Sleep(3 * time.Second)
	lasting := job{Spec: "lasts", Steps: []step{
		{Count: 1, CPU: 500, MemMb: 256, EstimateMs: 200},
		{Count: 4, CPU: 4000, MemMb: 8000, EstimateMs: 900, After: []int{0}, AntiAffinity: 1, LongRunning: true, Image: "ledger", TargetMs: 100, MayMiss: 1},
	}}
	s.prepares(id, 200*time.Millisecond)
	if !s.submit(s.entries[0], id, lasting) {
		s.fail("the job was not accepted")
		return
	}
	if !waitFor(8*time.Second, func() bool { return s.runningUnits(id) == 4 }) {
		s.fail("the work units that last do not run")
		return
	}
	time.Sleep(time.Second)
	begun := time.Now()
	var clients sync.WaitGroup
	crashed := false
	away := map[string]time.Time{}
	for n := 0; time.Since(begun) < restartLoad; n++ {
		clients.Go(func() {
			s.submit(s.entries[n%2], fmt.Sprintf("b%015x", n), job{Spec: "work=1000", Steps: []step{{Count: 4, CPU: 4000, MemMb: 1000, EstimateMs: 1000}}})
		})
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * restartEvery)))
		if trouble && !crashed && time.Since(begun) > restartCrashAt {
			crashed = true
			s.workerOf(unitName(id, 0, 1, 0)).crashForGood()
		}
		s.checkLasting(id, 4, away)
	}
	clients.Wait()
}

// prepares makes the work units of the first step of a job end after a time, whatever its description says.
func (s *stage) prepares(id string, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preparation[unitName(id, 0, 0, 0)] = work
}

// workerOf returns the worker that runs a work unit.
func (s *stage) workerOf(task string) *worker {
	for _, w := range s.workers {
		w.mu.Lock()
		_, runs := w.life.runs[task]
		w.mu.Unlock()
		if runs {
			return w
		}
	}
	return s.workers[0]
}

// checkLasting checks LOST for the work units that last: away holds since when one has not run.
func (s *stage) checkLasting(id string, count int, away map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range count {
		task := unitName(id, 0, 1, n)
		if len(s.unit(task).running) > 0 {
			delete(away, task)
			continue
		}
		if away[task].IsZero() {
			away[task] = time.Now()
		}
		// The crash is the only disturbance: the 3 s and the 4 s before them are calm.
		if since := time.Since(away[task]); since > lastingRestart+calm+idle {
			s.broke("LOST: %s lasts and has not run for %.1f s", task, since.Seconds())
			away[task] = time.Now().Add(time.Hour)
		}
	}
}
