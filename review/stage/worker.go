package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a worker.
const (
	heartbeat   = 1500 * time.Millisecond
	startupTime = 300 * time.Millisecond // of a work unit that lasts
	maxHold     = 10 * time.Second
)

// capacity is what a worker offers and what a work unit takes.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// worker is a machine of the fleet with its present lifetime.
type worker struct {
	stage   *stage
	machine string
	service string
	zone    string
	address string
	stop    time.Duration

	mu       sync.Mutex
	id       string
	capacity capacity
	labels   []string
	life     *life
	server   *http.Server
	beating  chan struct{}
	// silent keeps the worker from renewing its entry in the list.
	silent bool
}

// life is what one lifetime of a worker knows.
type life struct {
	id       string
	born     time.Time
	capacity capacity
	labels   []string
	fence    int64
	until    int64 // end of the lease on the worker's clock
	runs     map[string]*unitRun
	highest  map[string]int
	ended    [][]any
	lastEnd  int64
	changed  chan struct{}
	over     bool
}

// unitRun is a run of a work unit.
type unitRun struct {
	task    string
	number  int
	started time.Time
	work    time.Duration // 0 for one that lasts
	fails   bool
	stopAt  time.Time
	// gang is the gang of the run, or nil.
	gang *gang
}

// gang is one run of a gang; the stage's mu guards it.
type gang struct {
	need    int
	present map[string]bool
	all     time.Time // when all members were present
	over    string    // how it has ended, for the members that are left
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// begin starts a new lifetime on the worker's address.
func (w *worker) begin(id string) {
	w.mu.Lock()
	w.id = id
	l := &life{
		id: id, born: time.Now(), capacity: w.capacity, labels: w.labels, runs: map[string]*unitRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	w.life = l
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	for tries := 0; err != nil && tries < 100; tries++ {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		w.mu.Unlock()
		w.stage.fail("worker cannot listen: %v", err)
		return
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(l, rw, r) })}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.beating = make(chan struct{})
	beating := w.beating
	w.mu.Unlock()
	w.stage.record("worker %s begins as %s with cpu %d, labels %v", w.machine, id, l.capacity.CPU, l.labels)
	w.report(l)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-beating:
				return
			case <-tick.C:
				w.report(l)
			}
		}
	}()
	go w.run(l, beating)
}

// report writes the worker's entry in the list.
func (w *worker) report(l *life) {
	w.mu.Lock()
	if w.silent || l.over {
		w.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": l.clock(),
		"capacity": l.capacity, "labels": l.labels, "machine": w.machine, "clockMs": l.clock(), "born": l.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.stage.store.put("servers/"+l.id, entry)
}

// crash ends the lifetime: its channels are reset and everything on it ends.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	l.over = true
	var lost []string
	for name, r := range l.runs {
		lost = append(lost, name+" run "+strconv.Itoa(r.number))
		w.stage.leaveGang(r, "lost")
	}
	sort.Strings(lost)
	l.runs = map[string]*unitRun{}
	server := w.server
	close(w.beating)
	close(l.changed)
	l.changed = make(chan struct{})
	w.mu.Unlock()
	w.stage.record("worker %s (%s) crashes; lost: %s", w.machine, l.id, strings.Join(lost, ", "))
	for _, name := range lost {
		w.stage.lostRun(w, name)
	}
	_ = server.Close()
}

// expire removes the entry of an ended lifetime, as the platform does after three intervals of silence.
func (w *worker) expire(id string, after time.Duration) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		back := w.life.id == id && !w.life.over
		w.mu.Unlock()
		if !back {
			w.stage.store.remove("servers/" + id)
		}
	})
}

// run ends the work units of a lifetime in their time.
func (w *worker) run(l *life, beating chan struct{}) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-beating:
			return
		case <-tick.C:
		}
		w.mu.Lock()
		now := time.Now()
		for name, r := range l.runs {
			if r.gang != nil {
				if how := w.stage.gangEnd(r, now); how != "" {
					w.end(l, name, how)
					continue
				}
			}
			switch {
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(l, name, "stopped")
			case r.gang != nil && l.clock() <= l.until:
			case r.work > 0 && now.After(r.started.Add(r.work)) && r.fails:
				w.end(l, name, "failed")
			case r.work > 0 && now.After(r.started.Add(r.work)):
				w.end(l, name, "done")
			case l.clock() > l.until:
				w.end(l, name, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(l *life, name, how string) {
	r := l.runs[name]
	delete(l.runs, name)
	l.highest[name] = max(l.highest[name], r.number)
	l.lastEnd++
	l.ended = append(l.ended, []any{l.lastEnd, name, r.number, how, ""})
	close(l.changed)
	l.changed = make(chan struct{})
	w.stage.leaveGang(r, how)
	w.stage.unitEnded(w, name, r.number, how)
}

type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	SeenUpto     int64
	WaitMs       int64
}

func (w *worker) serve(l *life, rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != l.id {
		writeJSON(rw, 421, map[string]any{"clockMs": l.clock()})
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		writeJSON(rw, 400, map[string]any{"clockMs": l.clock()})
		return
	}
	w.stage.mu.Lock()
	hook := w.stage.onOrder
	w.stage.mu.Unlock()
	if hook != nil && hook(w, l, r.URL.Path, o, rw) {
		return
	}
	w.mu.Lock()
	if l.over {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < l.fence {
		clock := l.clock()
		w.mu.Unlock()
		writeJSON(rw, 409, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	l.fence = o.FencingToken
	status, reason := 200, ""
	switch r.URL.Path {
	case "/run-start":
		status, reason = w.start(l, o)
	case "/run-stop":
		w.stopRun(l, o)
	case "/pace":
	case "/hold":
		w.hold(l, o, rw, r) // unlocks
		return
	default:
		status = 404
	}
	clock := l.clock()
	w.mu.Unlock()
	answer := map[string]any{"clockMs": clock}
	if reason != "" {
		answer["reason"] = reason
	}
	writeJSON(rw, status, answer)
}

func (l *life) extend(deadline int64) {
	l.until = max(l.until, min(deadline, l.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(l *life, o order) (status int, reason string) {
	if l.clock() > o.DeadlineMs {
		return 409, "late"
	}
	l.extend(o.DeadlineMs)
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		return 200, ""
	}
	if o.Run <= l.highest[o.Task] || l.runs[o.Task] != nil {
		return 409, "old"
	}
	r := &unitRun{task: o.Task, number: o.Run, started: time.Now()}
	kind, millis, _ := strings.Cut(o.Spec, "=")
	if kind != "lasts" {
		n, _ := strconv.Atoi(millis)
		r.work, r.fails = time.Duration(n)*time.Millisecond, kind == "fail"
	}
	w.stage.mu.Lock()
	r.work = max(r.work, w.stage.preparation[o.Task])
	w.stage.mu.Unlock()
	l.runs[o.Task] = r
	w.stage.joinGang(r)
	w.stage.unitStarted(w, l, o)
	return 200, ""
}

func (w *worker) stopRun(l *life, o order) {
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	if r := l.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(w.stop)
		w.stage.unitStopping(w, o.Task, r)
	}
}

func (w *worker) hold(l *life, o order, rw http.ResponseWriter, r *http.Request) {
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
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(l.ended) == 0 && o.WaitMs > 0 {
		changed := l.changed
		w.mu.Unlock()
		waiting := true
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		w.mu.Lock()
		if l.over {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if !waiting {
			break
		}
	}
	running := [][]any{}
	for name, u := range l.runs {
		percent := 0
		switch {
		case u.work > 0:
			percent = min(99, int(time.Since(u.started)*100/u.work))
		case time.Since(u.started) > startupTime:
			percent = 100
		}
		running = append(running, []any{name, u.number, "", percent, 0})
	}
	finished := append([][]any{}, l.ended...)
	if len(finished) > 500 {
		finished = finished[:500]
	}
	answer := map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	writeJSON(rw, 200, answer)
}

// jobOf returns the identifier of the job of a work unit.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// stepOf returns the number of the step of a work unit.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	n, _ := strconv.Atoi(parts[2])
	return n
}

func unitName(id string, k, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", id, k, step, index)
}
