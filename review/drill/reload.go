package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// storedJobs is what 66 jobs a second leave in the store, where an ended job stays for three minutes.
	storedJobs = 12_000
	// submitters hand in the jobs, one after the other each.
	submitters = 30
	// reloadAfter is how long after its SIGTERM the process gets its SIGHUP.
	reloadAfter = 300 * time.Millisecond
	// lossSlack is lossSlackMs.
	lossSlack = 200 * time.Millisecond
)

// playReload stops the entry that owns the pools while requesters use it, as in a rolling restart. Its
// settings file changes while it stops, which it is told by a SIGHUP.
func playReload(f *fleet, trouble bool) (broken []string) {
	f.configure(3, 3, "cover")
	f.addWorkers("cover", 8, 32000)
	f.addEntries(6)
	f.awaitReady()
	f.quiet(true)
	job := map[string]any{"spec": "ms=50", "steps": []map[string]any{{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 50}}}
	var before sync.WaitGroup
	for n := range submitters {
		before.Go(func() {
			for range storedJobs / submitters {
				f.call(f.entries[n%len(f.entries)], http.MethodPost, "/cover/"+newID(), job, 3*time.Second)
			}
		})
	}
	before.Wait()
	time.Sleep(4 * time.Second)
	f.quiet(false)
	o := f.owner()
	var mu sync.Mutex
	var requests sync.WaitGroup
	answers := make(map[int]int)
	until := time.Now().Add(3 * time.Second)
	for range submitters {
		requests.Go(func() {
			for time.Now().Before(until) {
				id, sent := newID(), time.Now()
				status, answer := f.call(o, http.MethodPost, "/cover/"+id, job, 3*time.Second)
				took := time.Since(sent)
				f.logf("POST %s to %s, sent %d ms before: %d %s", id, o.name, took.Milliseconds(), status, answer)
				mu.Lock()
				answers[status]++
				if status == 0 && took > lossSlack {
					broken = append(broken, fmt.Sprintf("LOST: the channel of POST %s to %s ended without an answer %d ms after the request was sent: %s", id, o.name, took.Milliseconds(), answer))
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	o.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(reloadAfter)
		text, err := os.ReadFile(o.settings)
		check(err)
		check(os.WriteFile(o.settings, append(text, '\n'), 0o600))
		o.signal(syscall.SIGHUP)
	}
	requests.Wait()
	f.logf("answers of %s by status, 0 for none: %v", o.name, answers)
	fmt.Println("answers by status, 0 for none:", answers)
	return broken
}
