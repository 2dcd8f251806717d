package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a worker, from the settings and the pages.
const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 10 * time.Second
	stopTime     = 200 * time.Millisecond
	startupTime  = 200 * time.Millisecond
	maxListed    = 500
	lastingSpec  = "lasts"
	entrySilence = 3 * heartbeat
)

// run is one run of a work unit.
type run struct {
	task      string
	number    int
	lasts     bool
	startedAt time.Time
	endsAt    time.Time
	// stopsAt is when an ordered stop is over.
	stopsAt time.Time
}

// ended is a row of finished.
type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is one machine with the worker that lives on it.
type worker struct {
	log     *record
	store   *store
	machine string
	zone    string
	rack    string
	// kind is the worker's kind; the next life may be of another.
	kind    string
	service string
	cpu     int
	address string

	// onStart, if set, is called with each work unit that starts and the kind of the worker.
	onStart func(task, kind string)
	// keepsID is set if the next life has the identifier of the present one.
	keepsID bool

	mu sync.Mutex
	// cut is set while the worker does not reach the store.
	cut      bool
	life     int
	id       string
	born     time.Time
	up       bool
	fence    int64
	leaseEnd time.Duration
	// nextEnd is a time before which no run ends but by the end of the lease.
	nextEnd time.Time
	runs    map[string]*run
	highest map[string]int
	ends    []ended
	lastEnd int64
	seq     int
	changed chan struct{}
	server  *http.Server
	conns   map[net.Conn]bool
	// heardAt is when the store last heard of the worker.
	heardAt time.Time
}

// request holds the fields of all calls of a worker.
type request struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	SeenUpto     int64  `json:"seenUpto"`
	WaitMs       int64  `json:"waitMs"`
}

// start begins a new life of the worker at its address.
func (k *worker) start() error {
	k.mu.Lock()
	k.life++
	if k.id == "" || !k.keepsID {
		k.id = fmt.Sprintf("i-%s-%d", k.machine, k.life)
	}
	k.born, k.up = time.Now(), true
	k.fence, k.leaseEnd, k.lastEnd, k.seq = 0, 0, 0, 0
	k.runs, k.highest, k.ends = make(map[string]*run), make(map[string]int), nil
	k.changed, k.conns = make(chan struct{}), make(map[net.Conn]bool)
	address := k.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	life := k.life
	k.mu.Unlock()
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { k.serve(life, w, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			k.mu.Lock()
			defer k.mu.Unlock()
			switch {
			case k.life != life:
			case state == http.StateClosed:
				delete(k.conns, c)
			default:
				k.conns[c] = true
			}
		},
	}
	k.mu.Lock()
	k.address, k.server = listener.Addr().String(), server
	k.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go k.beat(life)
	return nil
}

// beat keeps the worker's entry in the list while it lives.
func (k *worker) beat(life int) {
	for {
		k.mu.Lock()
		if k.life != life || !k.up {
			k.mu.Unlock()
			return
		}
		k.seq++
		entry, id, cut := k.entry(), k.id, k.cut
		if !cut {
			k.heardAt = time.Now()
		}
		k.mu.Unlock()
		if !cut {
			k.store.put("servers/"+id, entry)
		}
		time.Sleep(heartbeat)
	}
}

// entry returns the worker's entry in the list; k.mu is held.
func (k *worker) entry() []byte {
	text, err := json.Marshal(map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": k.seq,
		"capacity": map[string]int{"cpu": k.cpu, "memMb": 131072, "gpu": 0}, "labels": []string{k.kind, k.rack}, "machine": k.machine,
		"born": k.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return text
}

// crash ends the worker's process: its connections are reset and all that it held is gone. Another process
// begins on the machine after a time, or none if it is zero.
func (k *worker) crash(downFor time.Duration) {
	k.mu.Lock()
	if !k.up {
		k.mu.Unlock()
		return
	}
	k.up = false
	var lost []string
	for task, r := range k.runs {
		lost = append(lost, fmt.Sprintf("%s run %d", task, r.number))
	}
	sort.Strings(lost)
	server, conns, id := k.server, k.conns, k.id
	k.conns = make(map[net.Conn]bool)
	k.mu.Unlock()
	k.log.add("worker %s (machine %s) crashes with %d runs: %.2000s", id, k.machine, len(lost), fmt.Sprint(lost))
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
	k.expireEntry(id)
	if downFor > 0 {
		time.AfterFunc(downFor, func() {
			if err := k.start(); err != nil {
				k.log.add("worker on machine %s cannot start: %v", k.machine, err)
				return
			}
			k.log.add("worker %s starts on machine %s", k.id, k.machine)
		})
	}
}

// expireEntry removes the worker's entry after three intervals of silence.
func (k *worker) expireEntry(id string) {
	time.AfterFunc(entrySilence, func() {
		k.mu.Lock()
		silent := k.id != id || time.Since(k.heardAt) >= entrySilence
		k.mu.Unlock()
		if silent {
			k.store.drop("servers/" + id)
		}
	})
}

// setCut cuts the worker off from the store, or ends that.
func (k *worker) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

// clock returns the worker's clock; k.mu is held.
func (k *worker) clock() time.Duration { return time.Since(k.born) + time.Millisecond }

// advance ends the runs whose time is over; k.mu is held.
func (k *worker) advance() {
	now := time.Now()
	lapsed := k.clock() > k.leaseEnd
	if !lapsed && now.Before(k.nextEnd) {
		return
	}
	var due []string
	k.nextEnd = now.Add(time.Hour)
	for t, r := range k.runs {
		switch at := r.nextEnd(); {
		case lapsed || now.After(at):
			due = append(due, t)
		case at.Before(k.nextEnd):
			k.nextEnd = at
		}
	}
	sort.Strings(due)
	for _, t := range due {
		r := k.runs[t]
		switch {
		case !r.lasts && now.After(r.endsAt):
			k.end(r, "done")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			k.end(r, "stopped")
		case lapsed:
			k.end(r, "lapsed")
		}
	}
}

// nextEnd returns when the run ends by itself or by a stop.
func (r *run) nextEnd() (at time.Time) {
	at = r.endsAt
	if r.lasts {
		at = time.Now().Add(time.Hour)
	}
	if !r.stopsAt.IsZero() && r.stopsAt.Before(at) {
		at = r.stopsAt
	}
	return at
}

func (k *worker) end(r *run, how string) {
	delete(k.runs, r.task)
	k.lastEnd++
	k.ends = append(k.ends, ended{k.lastEnd, r.task, r.number, how})
	close(k.changed)
	k.changed = make(chan struct{})
	k.log.add("run %s %d on %s ends: %s", r.task, r.number, k.id, how)
	if how == "done" {
		k.log.markDone(r.task)
	}
}

// runsOf returns the runs of a job at present.
func (k *worker) runsOf(job string) (count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return 0
	}
	k.advance()
	for t := range k.runs {
		if strings.HasPrefix(t, job+".") {
			count++
		}
	}
	return count
}

func (k *worker) serve(life int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	if k.life != life || !k.up {
		k.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	id := k.id
	k.mu.Unlock()
	w.Header().Set("Instance-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != id {
		k.answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	var q request
	if err := json.Unmarshal(body, &q); err != nil {
		k.answer(w, http.StatusBadRequest, nil)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		k.serveStart(w, q)
	case "/run-stop":
		k.serveStop(w, q)
	case "/hold":
		k.serveHold(life, w, r, q)
	case "/pace":
		k.answer(w, http.StatusOK, nil)
	default:
		http.NotFound(w, r)
	}
}

func (k *worker) answer(w http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = make(map[string]any)
	}
	k.mu.Lock()
	fields["clockMs"] = k.clock().Milliseconds()
	k.mu.Unlock()
	writeJSON(w, status, fields)
}

// checkFence keeps the highest fence number and reports whether this one is not lower; k.mu is held.
func (k *worker) checkFence(token int64) bool {
	if token < k.fence {
		return false
	}
	k.fence = token
	return true
}

func (k *worker) extend(deadlineMs int64) {
	if deadlineMs > 0 {
		k.leaseEnd = max(k.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, k.clock()+maxHold))
	}
}

func (k *worker) serveStart(w http.ResponseWriter, q request) {
	status, reason := k.startRun(q)
	if reason != "" {
		k.answer(w, status, map[string]any{"reason": reason})
		return
	}
	k.answer(w, status, nil)
}

func (k *worker) startRun(q request) (status int, reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	if !k.checkFence(q.FencingToken) {
		return http.StatusConflict, "fence"
	}
	if time.Duration(q.DeadlineMs)*time.Millisecond < k.clock() {
		return http.StatusConflict, "late"
	}
	k.extend(q.DeadlineMs)
	if r := k.runs[q.Task]; r != nil && r.number == q.Run {
		return http.StatusOK, ""
	}
	if q.Run <= k.highest[q.Task] {
		return http.StatusConflict, "old"
	}
	r := &run{task: q.Task, number: q.Run, startedAt: time.Now()}
	if q.Spec == lastingSpec {
		r.lasts = true
	} else if millis, err := strconv.Atoi(q.Spec); err == nil {
		r.endsAt = r.startedAt.Add(time.Duration(millis) * time.Millisecond)
	} else {
		return http.StatusBadRequest, "spec"
	}
	k.highest[q.Task] = q.Run
	k.runs[q.Task] = r
	if at := r.nextEnd(); at.Before(k.nextEnd) {
		k.nextEnd = at
	}
	k.log.add("run %s %d starts on %s (kind %s) by fence %d", q.Task, q.Run, k.id, k.kind, q.FencingToken)
	k.log.started(q.Task, k)
	if k.onStart != nil {
		k.onStart(q.Task, k.kind)
	}
	return http.StatusOK, ""
}

func (k *worker) serveStop(w http.ResponseWriter, q request) {
	k.mu.Lock()
	k.advance()
	if !k.checkFence(q.FencingToken) {
		k.mu.Unlock()
		k.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	k.highest[q.Task] = max(k.highest[q.Task], q.Run)
	if r := k.runs[q.Task]; r != nil && r.number <= q.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
		k.nextEnd = time.Time{}
		k.log.add("run %s %d on %s is told to stop by fence %d", q.Task, r.number, k.id, q.FencingToken)
	}
	k.mu.Unlock()
	k.answer(w, http.StatusOK, nil)
}

func (k *worker) serveHold(life int, w http.ResponseWriter, r *http.Request, q request) {
	until := time.Now().Add(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
	k.mu.Lock()
	k.advance()
	if !k.checkFence(q.FencingToken) {
		k.mu.Unlock()
		k.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	k.advance()
	k.extend(q.DeadlineMs)
	for len(k.ends) > 0 && k.ends[0].number <= q.SeenUpto {
		k.ends = k.ends[1:]
	}
	for {
		if k.life != life || !k.up {
			k.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		k.advance()
		if len(k.ends) > 0 || !time.Now().Before(until) {
			break
		}
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(min(10*time.Millisecond, max(0, time.Until(until)))):
		}
		k.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	var tasks []string
	for t := range k.runs {
		tasks = append(tasks, t)
	}
	sort.Strings(tasks)
	for _, t := range tasks {
		running = append(running, []any{t, k.runs[t].number, "", k.runs[t].percent(), 0})
	}
	for _, e := range k.ends[:min(len(k.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	born := k.born.UnixMilli()
	k.mu.Unlock()
	k.answer(w, http.StatusOK, map[string]any{"born": born, "running": running, "finished": finished})
}

// percent returns the progress of a run, or for one that lasts whether it is at work.
func (r *run) percent() int {
	age := time.Since(r.startedAt)
	if r.lasts {
		return int(min(100, 100*age/startupTime))
	}
	return int(min(99, 100*age/max(1, r.endsAt.Sub(r.startedAt))))
}
