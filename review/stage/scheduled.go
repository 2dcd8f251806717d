package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case "scheduled".
const (
	scheduledJobs    = 450
	scheduledWorkers = 8
	ordinaryEvery    = 100 * time.Millisecond
	finish           = 14 * time.Second
	idle             = 3 * time.Second
)

func init() { cases["scheduled"] = playScheduled }

// playScheduled has hundreds of jobs wait for a time one hour ahead, while small jobs come and go.
// Then one worker is lost for good.
func playScheduled(s *stage, trouble bool) {
	s.configure(7, 1.6, 4)
	for range scheduledWorkers {
		s.addWorker(16000, 65536, "a", "r1-1")
	}
	for range 2 {
		s.addEntry()
	}
	if s.waitForOwner(10*time.Second) == nil {
		return
	}
	time.Sleep(3 * time.Second)
	unit := []step{{Count: 1, CPU: 500, MemMb: 256, EstimateMs: 300}}
	due := time.Now().Add(time.Hour).UnixMilli()
	var clients sync.WaitGroup
	slots := make(chan struct{}, 8)
	for n := range scheduledJobs {
		slots <- struct{}{}
		clients.Go(func() {
			defer func() { <-slots }()
			if !s.submit(s.entries[n%2], fmt.Sprintf("a%015x", n), job{Spec: "work=300", Steps: unit, StartAtMs: due, RepeatCount: 1, IntervalMs: 60000}) {
				s.fail("a scheduled job was not accepted")
			}
		})
	}
	clients.Wait()
	time.Sleep(4 * time.Second)

	var ids []string
	for n := range 60 {
		id := fmt.Sprintf("b%015x", n)
		clients.Go(func() { s.submit(s.entries[n%2], id, job{Spec: "work=300", Steps: unit}) })
		ids = append(ids, id)
		time.Sleep(ordinaryEvery)
		if n == 30 && trouble {
			s.busiest().crashForGood()
		}
	}
	clients.Wait()
	time.Sleep(finish)
	s.checkNoneWaits(ids)
}

// busiest returns the worker that runs most.
func (s *stage) busiest() (busy *worker) {
	most := -1
	for _, w := range s.workers {
		w.mu.Lock()
		n := len(w.life.runs)
		w.mu.Unlock()
		if n > most {
			most, busy = n, w
		}
	}
	return busy
}

// crashForGood ends a worker; its entry in the list goes after three intervals of silence.
func (w *worker) crashForGood() {
	w.crash()
	w.expire(w.life.id, 3*heartbeat)
}

// checkNoneWaits checks LOST: for 3 s a job has nothing running, though its turn has come, there is
// capacity for it and under half of the capacity is in use.
func (s *stage) checkNoneWaits(ids []string) {
	type seen struct {
		state  string
		starts int
	}
	before := map[string]seen{}
	for _, id := range ids {
		state, status := s.state(s.entries[0], id)
		s.record("GET %s: %d %s", id, status, state)
		if state == "queued" || state == "running" {
			before[id] = seen{state, s.startsOf(id)}
		}
	}
	free := time.Now().Add(idle)
	for time.Now().Before(free) {
		time.Sleep(50 * time.Millisecond)
		for id := range before {
			if s.runningUnits(id) > 0 || s.startsOf(id) != before[id].starts {
				delete(before, id)
			}
		}
	}
	used, total := s.capacityInUse()
	s.record("capacity in use: %d of %d", used, total)
	for id := range before {
		state, status := s.state(s.entries[0], id)
		s.mu.Lock()
		if state != "completed" && used*2 < total {
			s.broke("LOST: %s is %s (%d) and has had nothing running for 3 s, %d s after the end of the traffic", id, state, status, int(finish.Seconds()))
		}
		s.mu.Unlock()
	}
}

// startsOf returns how many runs of a job were started.
func (s *stage) startsOf(id string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, u := range s.units {
		if jobOf(task) == id {
			count += u.starts
		}
	}
	return count
}

// capacityInUse returns the CPU that work units take and that the workers have.
func (s *stage) capacityInUse() (used, total int) {
	for _, w := range s.workers {
		w.mu.Lock()
		if !w.life.over {
			total += w.life.capacity.CPU
			for name := range w.life.runs {
				s.mu.Lock()
				used += s.jobs[jobOf(name)].Steps[stepOf(name)].CPU
				s.mu.Unlock()
			}
		}
		w.mu.Unlock()
	}
	return used, total
}
