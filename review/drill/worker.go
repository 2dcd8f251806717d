package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a server as PROTOCOL.md describes it. It runs as a process of its own, so that a crash is
// a kill. A unit's spec is a list of words: ms=N is how long it works, fail ends it as failed.
type worker struct {
	id, note string
	born     time.Time
	mu       sync.Mutex
	fence    int64
	deadline int64
	runs     map[string]*unitRun
	highest  map[string]int
	ended    []unitEnd
	lastEnd  int64
	changed  chan struct{}
}

type unitRun struct {
	run    int
	endsAt time.Time
	begun  time.Time
	fails  bool
	lasts  bool
}

type unitEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// tell reports what happens to the drill. It is the only witness of a unit.
func (k *worker) tell(what, task string, run int, extra string) {
	b, _ := json.Marshal(map[string]any{"worker": k.id, "what": what, "task": task, "run": run, "extra": extra, "born": k.born.UnixMilli()})
	go func() {
		r, err := http.Post("http://"+k.note+"/note", "application/json", bytes.NewReader(b))
		if err == nil {
			_ = r.Body.Close()
		}
	}()
}

func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() + 1 }

func (k *worker) end(task, how string) {
	r := k.runs[task]
	delete(k.runs, task)
	k.lastEnd++
	k.ended = append(k.ended, unitEnd{k.lastEnd, task, r.run, how})
	k.tell("end", task, r.run, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *worker) advance() {
	now := time.Now()
	lapsed := k.clock() > k.deadline
	for task, r := range k.runs {
		switch {
		case !r.lasts && now.After(r.endsAt) && r.fails:
			k.end(task, "failed")
		case !r.lasts && now.After(r.endsAt):
			k.end(task, "done")
		case lapsed:
			k.end(task, "lapsed")
		}
	}
}

func runWorker(args []string) {
	k := &worker{id: args[0], note: args[2], born: time.Now(), runs: make(map[string]*unitRun), highest: make(map[string]int), changed: make(chan struct{})}
	l, err := net.Listen("tcp", args[1])
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", args[1])
	}
	check(err)
	go func() {
		for {
			time.Sleep(5 * time.Millisecond)
			k.mu.Lock()
			k.advance()
			k.mu.Unlock()
		}
	}()
	_ = http.Serve(l, k)
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get("Expect-Instance"); e != "" && e != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var b struct {
		Task         string `json:"task"`
		Run          int    `json:"run"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken int64  `json:"fencingToken"`
		SeenUpto     int64  `json:"seenUpto"`
		WaitMs       int64  `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	refuse := func(reason string) {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli(), "reason": reason})
	}
	if b.FencingToken < k.fence {
		refuse("fence")
		return
	}
	k.fence = b.FencingToken
	extend := func() {
		k.deadline = max(k.deadline, min(b.DeadlineMs, k.clock()+10_000))
	}
	switch r.URL.Path {
	case "/run-start":
		if b.DeadlineMs < k.clock() {
			refuse("late")
			return
		}
		extend()
		if o := k.runs[b.Task]; o == nil || o.run != b.Run {
			if b.Run <= k.highest[b.Task] || o != nil {
				refuse("old")
				return
			}
			k.highest[b.Task] = b.Run
			u := &unitRun{run: b.Run, begun: time.Now()}
			for _, word := range strings.Fields(b.Spec) {
				switch n, isTime := strings.CutPrefix(word, "ms="); {
				case isTime:
					ms, _ := strconv.Atoi(n)
					u.endsAt = time.Now().Add(time.Duration(ms) * time.Millisecond)
				case word == "fail":
					u.fails = true
				case word == "lasts":
					u.lasts = true
				}
			}
			k.runs[b.Task] = u
			k.tell("start", b.Task, b.Run, b.Spec)
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli()})
	case "/run-stop":
		k.highest[b.Task] = max(k.highest[b.Task], b.Run)
		if o := k.runs[b.Task]; o != nil && o.run <= b.Run {
			k.end(b.Task, "stopped")
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli()})
	case "/pace":
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli()})
	case "/hold":
		if b.DeadlineMs != 0 {
			extend()
		}
		kept := k.ended[:0:0]
		for _, e := range k.ended {
			if e.number > b.SeenUpto {
				kept = append(kept, e)
			} else {
				k.tell("seen", e.task, e.run, e.how)
			}
		}
		k.ended = kept
		until := time.Now().Add(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
		for len(k.ended) == 0 && time.Now().Before(until) {
			changed := k.changed
			k.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(until)):
			case <-r.Context().Done():
			}
			k.mu.Lock()
			if r.Context().Err() != nil {
				return
			}
		}
		running, finished := [][]any{}, [][]any{}
		for task, o := range k.runs {
			percent := 100
			if !o.lasts {
				percent = int(100 * time.Since(o.begun) / max(1, o.endsAt.Sub(o.begun)))
			}
			running = append(running, []any{task, o.run, "", min(percent, 100), 0})
		}
		for _, e := range k.ended[:min(len(k.ended), 500)] {
			finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli(), "running": running, "finished": finished})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
