package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lateBy is how late the store carries out the write that it does not answer.
	lateBy = 4 * time.Second
	// cancelBound is cancel_ms.
	cancelBound = 3 * time.Second
)

// playCancel loses the answer of one write of the store, which is carried out 4 s late. The requester
// of the job waits for a second, gives up and cancels the job. Some seconds later the entry that owns
// the pools is stopped and started, as in a rolling restart.
func playCancel(f *fleet, trouble bool) (broken []string) {
	f.configure(3, 3, "pay")
	f.addWorkers("pay", 8, 32000)
	f.addEntries(6)
	f.awaitReady()
	id := newID()
	var lost atomic.Bool
	f.store.before = func(t *storeTxn) (answered bool) {
		for _, p := range t.Puts {
			if trouble && strings.HasSuffix(p.Key, id) && lost.CompareAndSwap(false, true) {
				f.logf("store: the answer of a write of %s is lost", p.Key)
				go func() {
					time.Sleep(lateBy)
					status, _ := f.store.commit(t)
					f.logf("store: the write is carried out: %d", status)
				}()
				return false
			}
		}
		return true
	}
	job := map[string]any{"spec": "ms=500", "steps": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500}}}
	if !trouble {
		// A job that is cancelled as soon as it is accepted may have run by then.
		job["startAtMs"], job["repeatCount"], job["intervalMs"] = time.Now().Add(20*time.Second).UnixMilli(), 1, 1000
	}
	e := f.entries[1]
	status, answer := f.call(e, http.MethodPost, "/pay/"+id, job, time.Second)
	f.logf("POST %s to %s: %d %s", id, e.name, status, answer)
	acknowledged := time.Time{}
	for n := 0; acknowledged.IsZero() && n < 5; n++ {
		e = f.entries[2+n%4]
		status, answer = f.call(e, http.MethodDelete, "/pay/"+id, nil, 3*time.Second)
		f.logf("DELETE %s to %s: %d %s", id, e.name, status, answer)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged = time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acknowledged.IsZero() {
		f.finish()
		check(fmt.Errorf("the cancel was not acknowledged"))
	}
	time.Sleep(9 * time.Second)
	o := f.owner()
	o.signal(syscall.SIGTERM)
	<-o.exited
	o.start()
	time.Sleep(12 * time.Second)
	for _, n := range f.notesOf("start") {
		if late := n.At.Sub(acknowledged); late > cancelBound {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %d started on %s %.1f s after the cancelling of its job was acknowledged", n.Task, n.Run, n.Worker, late.Seconds()))
		}
	}
	return broken
}
