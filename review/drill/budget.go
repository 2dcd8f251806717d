package main

import (
	"fmt"
	"time"
)

// playBudget cuts the worker on which a unit runs off from all entries for 5.5 s. The unit fails there
// meanwhile. The queue allows one attempt.
func playBudget(f *fleet, trouble bool) (broken []string) {
	f.configure(3, 1, "pay")
	f.addWorkers("pay", 8, 32000)
	f.addEntries(6)
	f.awaitReady()
	cut := make(chan struct{})
	f.mu.Lock()
	f.onNote = func(n note) {
		if n.What != "start" || !trouble {
			return
		}
		select {
		case <-cut:
			return
		default:
			close(cut)
		}
		for _, k := range f.workers {
			if k.id == n.Worker {
				go func() {
					time.Sleep(100 * time.Millisecond)
					f.logf("worker %s is cut off from all entries", k.id)
					k.link.setCut(true)
					time.Sleep(5500 * time.Millisecond)
					k.link.setCut(false)
					f.logf("worker %s is reached again", k.id)
				}()
			}
		}
	}
	f.mu.Unlock()
	id := newID()
	if !f.submit("pay", id, map[string]any{"spec": "ms=1500 fail", "steps": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 1500}}}) {
		f.finish()
		check(fmt.Errorf("the job is not accepted"))
	}
	time.Sleep(14 * time.Second)
	_, state := f.state("pay", id)
	f.logf("GET %s: %s", id, state)
	seen := make(map[string]bool)
	for _, n := range f.notesOf("seen") {
		seen[fmt.Sprint(n.Task, n.Run)] = true
	}
	var failed []note
	for _, n := range f.notesOf("end") {
		if n.Extra == "failed" && seen[fmt.Sprint(n.Task, n.Run)] {
			failed = append(failed, n)
		}
	}
	for _, s := range f.notesOf("start") {
		before := 0
		for _, n := range failed {
			if n.Task == s.Task && n.At.Before(s.At) {
				before++
			}
		}
		if before >= 1 {
			broken = append(broken, fmt.Sprintf("BUDGET: %s run %d started on %s after %d run(s) had ended failed and were taken note of; the queue allows 1", s.Task, s.Run, s.Worker, before))
		}
	}
	return broken
}
