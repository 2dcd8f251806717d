package main

import (
	"fmt"
	"strings"
	"time"
)

// Times of the flapping worker: it is down and up for half of a period each.
const (
	flapPeriod = 1400 * time.Millisecond
	flapFor    = 6500 * time.Millisecond
)

// playFlap lets one of eight workers go down and up by turns for 6.5 s. It is the only one of its kind,
// which two jobs require: one that lasts, and one with a unit that takes 3 s. No unit ends failed.
func playFlap(f *fleet, trouble bool) (broken []string) {
	f.configure(3, 3, "cover")
	f.addWorkers("cover", 8, 32000)
	flapping := f.workers[3]
	flapping.setKind("kind-2")
	f.addEntries(6)
	f.awaitReady()
	jobs := map[string]string{}
	for what, spec := range map[string]string{"lasting job": "lasts", "plain job": "ms=3000"} {
		id := newID()
		step := map[string]any{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 3000, "requires": "kind-2", "longRunning": spec == "lasts"}
		if !f.submit("cover", id, map[string]any{"spec": spec, "steps": []map[string]any{step}}) {
			f.finish()
			check(fmt.Errorf("the %s is not accepted", what))
		}
		jobs[id] = what
	}
	time.Sleep(time.Second)
	if trouble {
		for until := time.Now().Add(flapFor); time.Now().Before(until); {
			f.logf("worker %s goes down", flapping.id)
			flapping.kill()
			time.Sleep(flapPeriod / 2)
			f.logf("worker %s comes up", flapping.id)
			flapping.start()
			time.Sleep(flapPeriod / 2)
		}
	} else {
		time.Sleep(flapFor)
	}
	f.logf("worker %s stays up", flapping.id)
	time.Sleep(20 * time.Second)
	failures := make(map[string]int)
	for _, n := range f.notesOf("end") {
		if n.Extra == "failed" {
			failures[n.Task[:strings.Index(n.Task, ".")]]++
		}
	}
	for id, what := range jobs {
		_, state := f.state("cover", id)
		f.logf("GET %s: %s", id, state)
		fmt.Println(what, "is shown as", state)
		if state == "failed" || state == "cancelled" {
			broken = append(broken, fmt.Sprintf("LOST: the %s %s was accepted, nobody cancelled it, %d of its units ended failed, and it is shown as %s", what, id, failures[id], state))
		}
	}
	return broken
}
