package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = playSoak }

// soakJob is a job with what its client was told.
type soakJob struct {
	id        string
	j         job
	accepted  time.Time
	cancelled time.Time
}

// apply carries out an order without an answer.
func (w *worker) apply(l *life, path string, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.over || o.FencingToken < l.fence {
		return
	}
	l.fence = o.FencingToken
	switch path {
	case "/run-start":
		w.start(l, o)
	case "/run-stop":
		w.stopRun(l, o)
	case "/hold":
		if o.DeadlineMs > 0 {
			l.extend(o.DeadlineMs)
		}
		kept := l.ended[:0:0]
		for _, e := range l.ended {
			if e[0].(int64) > o.SeenUpto {
				kept = append(kept, e)
			} else {
				w.stage.endSeen(e[1].(string), e[2].(int), e[3].(string))
			}
		}
		l.ended = kept
	}
}

// playSoak hands in jobs of all kinds and brings about random faults, by the seed in SEED. It checks
// TWICE, ORDER, ROUTE, LIMIT, BUDGET, UNASKED, MIXED and LOST. It is not a case.
func playSoak(s *stage, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	var rmu sync.Mutex
	rnd := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return rng.IntN(n) }
	s.configure(7, 1.6, 4)
	for n := range 8 {
		label := "a"
		if n%4 == 3 {
			label = "b"
		}
		s.addWorker(8000, 32768, label, fmt.Sprintf("r1-%d", n/2))
	}
	var jmu sync.Mutex
	jobs := map[string]*soakJob{}
	s.onStart = func(w *worker, l *life, o order) {
		j := s.jobs[jobOf(o.Task)]
		st := j.Steps[stepOf(o.Task)]
		u := s.unit(o.Task)
		if len(u.running) > 1 && !st.AllowDuplicates {
			s.broke("TWICE %s run %d on %s while on %v", o.Task, o.Run, w.machine, u.running)
		}
		if !u.doneAt.IsZero() && !st.AllowDuplicates && !st.LongRunning {
			s.line("AFTER DONE %s run %d on %s, %v after, seen %v", o.Task, o.Run, w.machine, time.Since(u.doneAt), u.doneSeen)
			if u.doneSeen {
				s.broke("TWICE after done: %s run %d", o.Task, o.Run)
			}
		}
		var kk, ss, ii int
		fmt.Sscanf(o.Task[17:], "%d.%d.%d", &kk, &ss, &ii)
		for _, a := range st.After {
			done := 0
			for i := range j.Steps[a].Count {
				if !s.unit(unitName(jobOf(o.Task), kk, a, i)).doneAt.IsZero() {
					done++
				}
			}
			if done < j.Steps[a].Count && !(j.Steps[a].Gang && done > 0) {
				s.broke("ORDER %s starts with %d of %d of step %d done", o.Task, done, j.Steps[a].Count, a)
			}
		}
		if st.Requires != "" && st.Requires != l.labels[0] && st.Requires != l.labels[1] {
			s.broke("ROUTE label %s on %s %v", o.Task, w.machine, l.labels)
		}
		same, cpu, mem := 0, 0, 0
		for name := range l.runs {
			t := s.jobs[jobOf(name)].Steps[stepOf(name)]
			cpu += t.CPU
			mem += t.MemMb
			var k2, s2, i2 int
			fmt.Sscanf(name[17:], "%d.%d.%d", &k2, &s2, &i2)
			if jobOf(name) == jobOf(o.Task) && k2 == kk && s2 == ss {
				same++
			}
		}
		if st.AntiAffinity > 0 && same > st.AntiAffinity {
			s.broke("ROUTE antiAffinity %s on %s: %d", o.Task, w.machine, same)
		}
		if cpu > l.capacity.CPU || mem > l.capacity.MemMb {
			s.broke("LIMIT %s on %s: cpu %d mem %d", o.Task, w.machine, cpu, mem)
		}
		if u.ends["failed"] >= 4 && !st.LongRunning {
			s.broke("BUDGET %s run %d", o.Task, o.Run)
		}
		jmu.Lock()
		sj := jobs[jobOf(o.Task)]
		if sj != nil && !sj.cancelled.IsZero() && time.Since(sj.cancelled) > 3*time.Second {
			s.broke("UNASKED %s run %d %v after the cancel's ack", o.Task, o.Run, time.Since(sj.cancelled))
		}
		jmu.Unlock()
		if j.RepeatCount > 0 {
			due := j.StartAtMs + int64(kk)*j.IntervalMs
			if time.Now().UnixMilli() < due-250 {
				s.broke("ORDER early %s", o.Task)
			}
		}
	}
	var fmu sync.Mutex
	workerFault, faultShare := "", 0
	s.onOrder = func(w *worker, l *life, path string, o order, rw http.ResponseWriter) bool {
		fmu.Lock()
		f, share := workerFault, faultShare
		fmu.Unlock()
		if f == "" || rnd(100) >= share {
			return false
		}
		switch f {
		case "busy":
			writeJSON(rw, 503, map[string]any{"clockMs": l.clock()})
		case "lost":
			w.apply(l, path, o)
			time.Sleep(800 * time.Millisecond)
			panic(http.ErrAbortHandler)
		case "late":
			d := time.Duration(1000+rnd(5000)) * time.Millisecond
			time.AfterFunc(d, func() { w.apply(l, path, o) })
			time.Sleep(800 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		return true
	}
	for range 3 {
		s.addEntry()
	}
	if s.waitForOwner(10*time.Second) == nil {
		return
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(25 * time.Second)
	var wg sync.WaitGroup
	spec := func() string { return fmt.Sprintf("work=%d", 100+rnd(1500)) }
	for c := range 6 {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(time.Duration(rnd(500)) * time.Millisecond)
				id := fmt.Sprintf("%04x%012x", c, k)
				j := job{Spec: spec()}
				switch rnd(7) {
				case 0:
					j.Steps = []step{{Count: 1 + rnd(4), CPU: 1000, MemMb: 1000, EstimateMs: 500}, {Count: 1 + rnd(3), CPU: 500, MemMb: 500, After: []int{0}}}
				case 1:
					j.Steps = []step{{Count: 2 + rnd(3), CPU: 1000, MemMb: 1000, Gang: true}, {Count: 1, CPU: 500, MemMb: 500, After: []int{0}}}
				case 2:
					j.Steps = []step{{Count: 1 + rnd(3), CPU: 1000, MemMb: 1000, AntiAffinity: 1, AllowDuplicates: rnd(2) == 0}}
				case 3:
					j.Steps = []step{{Count: 1 + rnd(3), CPU: 1000, MemMb: 1000, Requires: "b"}}
				case 4:
					j.Steps = []step{{Count: 1, CPU: 500, MemMb: 500}}
					j.StartAtMs, j.RepeatCount, j.IntervalMs = time.Now().UnixMilli()+int64(rnd(3000)), 1+rnd(4), int64(rnd(800))
				case 5:
					j.Spec = fmt.Sprintf("fail=%d", 50+rnd(300))
					j.Steps = []step{{Count: 1, CPU: 500, MemMb: 500}}
				case 6:
					j.Spec = "lasts"
					j.Steps = []step{{Count: 2, CPU: 500, MemMb: 500, LongRunning: true, AntiAffinity: 1, MayMiss: 1}}
				}
				sj := &soakJob{id: id, j: j}
				jmu.Lock()
				jobs[id] = sj
				jmu.Unlock()
				if !s.submit(s.entries[rnd(3)], id, j) {
					continue
				}
				jmu.Lock()
				sj.accepted = time.Now()
				jmu.Unlock()
				if rnd(10) == 0 || j.Spec == "lasts" {
					wg.Go(func() {
						time.Sleep(time.Duration(rnd(5000)) * time.Millisecond)
						for range 8 {
							r := s.call(s.entries[rnd(3)], http.MethodDelete, id, nil)
							s.record("DELETE %s: %d %v", id, r.status, r.err)
							if r.status/100 == 2 || r.status == 410 {
								jmu.Lock()
								sj.cancelled = time.Now()
								jmu.Unlock()
								return
							}
							time.Sleep(time.Second)
						}
					})
				}
			}
		})
	}
	for trouble && time.Now().Before(end.Add(-3*time.Second)) {
		time.Sleep(time.Duration(400+rnd(1500)) * time.Millisecond)
		e := s.entries[rnd(3)]
		switch rnd(8) {
		case 0, 1:
			e.signal(syscall.SIGKILL)
			<-e.exited
			e.start()
		case 2:
			e.signal(syscall.SIGTERM)
			wg.Go(func() { <-e.exited; e.start() })
			time.Sleep(4500 * time.Millisecond)
		case 3:
			e.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rnd(4000)) * time.Millisecond)
			e.signal(syscall.SIGCONT)
		case 4:
			w := s.workers[rnd(8)]
			w.crash()
			id, n := w.id, rnd(2)
			wg.Go(func() {
				time.Sleep(time.Duration(100+rnd(3000)) * time.Millisecond)
				if n == 0 {
					w.begin(id)
				} else {
					s.store.remove("servers/" + id)
					w.begin(id + "x")
				}
			})
			time.Sleep(3200 * time.Millisecond)
		case 5:
			fmu.Lock()
			workerFault, faultShare = []string{"busy", "lost", "late"}[rnd(3)], 10
			fmu.Unlock()
			s.record("worker fault %s", workerFault)
			time.Sleep(2 * time.Second)
			fmu.Lock()
			workerFault = ""
			fmu.Unlock()
		case 6:
			kind := rnd(4)
			s.record("store fault %d at %s", kind, e.name)
			e.setIntercept(func(w http.ResponseWriter, r *http.Request) bool {
				switch {
				case kind == 0:
					time.Sleep(240 * time.Millisecond)
				case kind == 1 && rnd(3) == 0 && r.Method == "POST":
					s.store.serve(httptest.NewRecorder(), r)
					time.Sleep(2 * time.Second)
					panic(http.ErrAbortHandler)
				case kind == 2:
					writeJSON(w, 503, map[string]any{})
					return true
				case kind == 3 && rnd(3) == 0 && r.URL.Path == "/kv-txn":
					rec := httptest.NewRecorder()
					body := r.Clone(r.Context())
					time.AfterFunc(time.Duration(1000+rnd(4000))*time.Millisecond, func() { s.store.serve(rec, body) })
					time.Sleep(6 * time.Second)
					panic(http.ErrAbortHandler)
				}
				return false
			})
			time.Sleep(time.Duration(1000+rnd(4000)) * time.Millisecond)
			e.setIntercept(nil)
		case 7:
			s.store.remove("azurepoint/control/owner")
		}
	}
	wg.Wait()
	time.Sleep(25 * time.Second)
	for id, sj := range jobs {
		if sj.accepted.IsZero() {
			continue
		}
		state, status := s.state(s.entries[0], id)
		s.mu.Lock()
		fails := 0
		for t, u := range s.units {
			if jobOf(t) == id {
				fails += u.ends["failed"]
			}
		}
		all := true
		for k := range max(1, sj.j.RepeatCount) {
			for i, st := range sj.j.Steps {
				n := 0
				for x := range st.Count {
					if !s.unit(unitName(id, k, i, x)).doneAt.IsZero() {
						n++
					}
				}
				all = all && (n == st.Count || st.Gang && n > 0)
			}
		}
		if state == "completed" && !all {
			s.broke("MIXED %s completed", id)
		}
		if sj.cancelled.IsZero() && state != "completed" && !(state == "failed" && fails >= 4) && sj.j.Spec != "lasts" {
			s.broke("LOST %s %d %s %v fails %d", id, status, state, sj.j.Steps, fails)
		}
		if !sj.cancelled.IsZero() && state != "cancelled" && state != "completed" && state != "failed" && status != 410 {
			s.broke("CANCEL %s %d %s", id, status, state)
		}
		s.mu.Unlock()
	}
	for _, w := range s.workers {
		w.mu.Lock()
		for name := range w.life.runs {
			s.mu.Lock()
			if !jobs[jobOf(name)].cancelled.IsZero() {
				s.broke("UNASKED %s runs on on %s", name, w.machine)
			}
			s.mu.Unlock()
		}
		w.mu.Unlock()
	}
}
