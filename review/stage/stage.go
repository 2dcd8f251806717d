// Stage plays a case of the review: it starts entries as processes on loopback addresses, beside
// stand-ins for the platform's store, the workers, the machine service and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Names in the configuration.
const (
	host   = "kiosk.example"
	prefix = "/pay/"
	pool   = "payments"
)

// step is a step of a job as it is submitted.
type step struct {
	Count           int    `json:"count"`
	Gang            bool   `json:"gang,omitempty"`
	AllowDuplicates bool   `json:"allowDuplicates,omitempty"`
	CPU             int    `json:"cpu,omitempty"`
	MemMb           int    `json:"memMb,omitempty"`
	EstimateMs      int64  `json:"estimateMs,omitempty"`
	After           []int  `json:"after,omitempty"`
	Requires        string `json:"requires,omitempty"`
	AntiAffinity    int    `json:"antiAffinity,omitempty"`
	LongRunning     bool   `json:"longRunning,omitempty"`
	Image           string `json:"image,omitempty"`
	TargetMs        int64  `json:"targetMs,omitempty"`
	MayMiss         int    `json:"mayMiss,omitempty"`
}

type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

type stage struct {
	store   *kvStore
	workers []*worker
	entries []*entry
	dir     string
	binary  string
	cloud   string
	begun   time.Time

	// onOrder may take over an order to a worker.
	onOrder func(w *worker, l *life, path string, o order, rw http.ResponseWriter) bool
	// onStart and onStop check the start and the order to stop of a run; mu is held.
	onStart func(w *worker, l *life, o order)
	onStop  func(w *worker, task string, r *unitRun)

	mu     sync.Mutex
	log    *os.File
	jobs   map[string]job
	broken []string
	unable []string

	units map[string]*unit
	gangs map[string]*gang
	// preparation holds how long work units take whose description does not say it.
	preparation map[string]time.Duration
}

// unit is what the workers have seen of a work unit.
type unit struct {
	doneAt      time.Time
	doneSeen    bool
	starts      int
	ends        map[string]int
	running     map[string]bool // by worker and run
	awaySince   time.Time
	endedByStop bool
}

func (s *stage) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line(format, args...)
}

func (s *stage) line(format string, args ...any) {
	fmt.Fprintf(s.log, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// broke records that the rule was broken; s.mu is held.
func (s *stage) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.broken = append(s.broken, text)
	s.line("BROKEN: %s", text)
}

// fail records that the case could not run.
func (s *stage) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	s.unable = append(s.unable, text)
	s.line("CANNOT RUN: %s", text)
}

func (s *stage) unit(task string) *unit {
	u := s.units[task]
	if u == nil {
		u = &unit{ends: map[string]int{}, running: map[string]bool{}}
		s.units[task] = u
	}
	return u
}

func (s *stage) unitStarted(w *worker, l *life, o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.unit(o.Task)
	u.starts++
	u.running[w.machine] = true
	u.awaySince, u.endedByStop = time.Time{}, false
	s.line("%s run %d starts on %s (%s)", o.Task, o.Run, w.machine, l.id)
	if check := s.onStart; check != nil {
		check(w, l, o)
	}
}

func (s *stage) unitEnded(w *worker, task string, run int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.unit(task)
	delete(u.running, w.machine)
	u.ends[how]++
	if how == "done" && u.doneAt.IsZero() {
		u.doneAt = time.Now()
	}
	u.awaySince = time.Now()
	s.line("%s run %d ends on %s: %s", task, run, w.machine, how)
}

func (s *stage) lostRun(w *worker, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var task string
	var run int
	fmt.Sscanf(name, "%s run %d", &task, &run)
	u := s.unit(task)
	delete(u.running, w.machine)
	u.awaySince = time.Now()
}

func (s *stage) unitStopping(w *worker, task string, r *unitRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line("%s run %d is told to stop on %s", task, r.number, w.machine)
	if check := s.onStop; check != nil {
		check(w, task, r)
	}
}

// endSeen records that an end was taken note of.
func (s *stage) endSeen(task string, run int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if how == "done" {
		s.unit(task).doneSeen = true
	}
}

// configure writes the configuration of the operator.
func (s *stage) configure(version int, stretch float64, maxAttempts int) {
	s.store.put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "kiosk-pay", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
			"service": pool, "maxAttempts": maxAttempts, "stretch": stretch,
		}},
		"services": []any{map[string]any{"name": pool, "enforcesCapacity": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
}

// addWorker starts a worker with a capacity.
func (s *stage) addWorker(cpu, memMb int, labels ...string) *worker {
	n := len(s.workers) + 1
	w := &worker{
		stage: s, machine: fmt.Sprintf("m-%d", n), service: pool, zone: "khomas-a", stop: 200 * time.Millisecond,
		capacity: capacity{CPU: cpu, MemMb: memMb}, labels: labels,
	}
	s.workers = append(s.workers, w)
	w.begin(fmt.Sprintf("i-%d", n))
	return w
}

// serveCloud starts the service that lists the machines. All of them stay where they are.
func (s *stage) serveCloud() {
	s.cloud = s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/machines" {
			writeJSON(w, 409, map[string]any{"reason": "busy"})
			return
		}
		machines := []any{}
		for _, k := range s.workers {
			k.mu.Lock()
			state := "up"
			if k.life.over {
				state = "down"
			}
			machines = append(machines, map[string]any{
				"machine": k.machine, "pool": k.service, "state": state, "zone": k.zone, "labels": k.labels, "capacity": k.capacity, "id": k.id,
			})
			k.mu.Unlock()
		}
		writeJSON(w, 200, map[string]any{"machines": machines, "nextToken": nil})
	}))
}

// listen serves on a free port and returns its address.
func (s *stage) listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("listen: %v", err)
		return ""
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// entry is an instance of the program under review.
type entry struct {
	stage    *stage
	name     string
	front    string
	settings string
	// intercept sees the calls of the entry to the store.
	mu        sync.Mutex
	intercept func(w http.ResponseWriter, r *http.Request) bool

	command *exec.Cmd
	exited  chan struct{}
}

// setIntercept sets what sees the calls of the entry to the store.
func (e *entry) setIntercept(f func(w http.ResponseWriter, r *http.Request) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.intercept = f
}

// Ports of entries lie below those that the system gives to outgoing channels, so that a free one
// stays free until the entry listens.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freePort returns a port on loopback on which nobody listens.
func freePort() int {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			_ = l.Close()
			return port
		}
	}
}

// addEntry starts an entry.
func (s *stage) addEntry() *entry {
	n := len(s.entries) + 1
	e := &entry{stage: s, name: fmt.Sprintf("edge-khomas-a-%d", n)}
	kv := s.listen(s.store.handler(func(w http.ResponseWriter, r *http.Request) bool {
		e.mu.Lock()
		f := e.intercept
		e.mu.Unlock()
		return f != nil && f(w, r)
	}))
	e.front = fmt.Sprintf("127.0.0.1:%d", freePort())
	internal := freePort()
	settings := map[string]any{
		"nodeName": e.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": "khomas-a", "region": "nam-central",
		"zones": map[string]string{"khomas-a": "nam-central"}, "listen": map[string]string{"front": e.front, "ready": fmt.Sprintf("127.0.0.1:%d", freePort())},
		"internalPorts": []int{internal, internal}, "seeds": []string{}, "bootstrap": true, "lossCounts": false,
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0}, "dataDir": nil,
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1500, "contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configDeadlineMs": 2000,
			"rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 10000, "stopMs": 200, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 2, "checkpointS": 0.5, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2,
			"requireFencing": true, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
		},
		"orders": "rpc", "recommendation": nil,
		"platform": map[string]any{"address": kv, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		"cloudApi": map[string]any{"address": s.cloud, "ratePerS": 64, "duties": []string{}, "dutyPerS": 64},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		panic(err)
	}
	e.settings = filepath.Join(s.dir, e.name+".json")
	if err := os.WriteFile(e.settings, text, 0o600); err != nil {
		s.fail("settings: %v", err)
	}
	s.entries = append(s.entries, e)
	e.start()
	if !waitFor(5*time.Second, e.listens) {
		s.fail("%s does not listen", e.name)
	}
	return e
}

// listens reports whether the entry takes channels of clients.
func (e *entry) listens() bool {
	c, err := net.Dial("tcp", e.front)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// start starts the process of the entry by the command of the deploy file.
func (e *entry) start() {
	log, err := os.OpenFile(filepath.Join(e.stage.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.stage.fail("log: %v", err)
		return
	}
	e.command = exec.Command(e.stage.binary)
	e.command.Env = []string{"AZUREPOINT_BOOT=" + e.settings}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		e.stage.fail("start: %v", err)
		return
	}
	e.exited = make(chan struct{})
	e.stage.record("%s starts as process %d", e.name, e.command.Process.Pid)
	go func(c *exec.Cmd, exited chan struct{}) {
		err := c.Wait()
		_ = log.Close()
		e.stage.record("%s has ended: %v", e.name, c.ProcessState)
		_ = err
		close(exited)
	}(e.command, e.exited)
}

// signal sends a signal to the process of the entry.
func (e *entry) signal(g syscall.Signal) {
	e.stage.record("%s gets %v", e.name, g)
	_ = e.command.Process.Signal(g)
}

// waitForOwner returns the entry that owns the pools.
func (s *stage) waitForOwner(timeout time.Duration) *entry {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		i, found := s.store.get("azurepoint/control/owner")
		if !found {
			continue
		}
		var owner struct{ Name string }
		_ = json.Unmarshal(i.Value, &owner)
		for _, e := range s.entries {
			if e.name == owner.Name {
				return e
			}
		}
	}
	s.fail("no entry has become the owner")
	return nil
}

// request is one attempt of a client.
type reply struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// call sends a request of a client on a channel of its own.
func (s *stage) call(e *entry, method, path string, body any) (r reply) {
	return s.callOn(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}, e, method, path, body)
}

func (s *stage) callOn(client *http.Client, e *entry, method, path string, body any) (r reply) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(b)
	}
	q, err := http.NewRequest(method, "http://"+e.front+prefix+path, reader)
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", "3000")
	begun := time.Now()
	a, err := client.Do(q)
	r.took = time.Since(begun)
	if err != nil {
		r.err = err
		return r
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	r.status, r.body, r.err = a.StatusCode, string(bytes.TrimSpace(b)), err
	return r
}

// submit hands a job in, with up to four more attempts at the entries in turn, and reports whether it
// was accepted.
func (s *stage) submit(e *entry, id string, j job) (accepted bool) {
	s.mu.Lock()
	s.jobs[id] = j
	s.mu.Unlock()
	for range 5 {
		r := s.call(e, http.MethodPost, id, j)
		s.record("POST %s at %s: %d %s %v in %d ms", id, e.name, r.status, r.body, errorText(r.err), r.took.Milliseconds())
		if r.status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
		e = s.after(e)
	}
	return false
}

// after returns the entry that follows another one.
func (s *stage) after(e *entry) *entry {
	for n, o := range s.entries {
		if o == e {
			return s.entries[(n+1)%len(s.entries)]
		}
	}
	return e
}

// state asks for the state of a job, at another entry as well if one does not answer.
func (s *stage) state(e *entry, id string) (state string, status int) {
	r := s.call(e, http.MethodGet, id, nil)
	for n := 0; n < 5 && r.status != http.StatusOK; n++ {
		e = s.after(e)
		r = s.call(e, http.MethodGet, id, nil)
	}
	var body struct{ State string }
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.State, r.status
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runningUnits returns how many work units of a job run.
func (s *stage) runningUnits(id string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, u := range s.units {
		if jobOf(task) == id && len(u.running) > 0 {
			count++
		}
	}
	return count
}

// waitFor waits until a condition holds.
func waitFor(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

func (s *stage) endAll() {
	for _, e := range s.entries {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Kill()
			<-e.exited
		}
	}
}

// play plays a case. A fault of the stand-ins makes it one that could not run.
func (s *stage) play(play func(s *stage, trouble bool), trouble bool) {
	defer func() {
		if r := recover(); r != nil {
			s.fail("%v", r)
		}
	}()
	play(s, trouble)
}

var cases = map[string]func(s *stage, trouble bool){}

func main() {
	name := flag.String("case", "", "the case to play")
	recordFile := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	binary := flag.String("platform", "target/platform", "the program under review")
	keep := flag.String("logs", "", "a folder that keeps the logs of the entries")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	log, err := os.Create(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stage"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		defer os.RemoveAll(dir)
	}
	s := &stage{store: newStore(), dir: dir, binary: *binary, begun: time.Now(), log: log, jobs: map[string]job{}, units: map[string]*unit{}, gangs: map[string]*gang{}, preparation: map[string]time.Duration{}}
	// A process that inherits an ignored SIGHUP, as from nohup, keeps ignoring it. One that its parent
	// handles is back at the default in the entries.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	trouble := os.Getenv("TROUBLE") != "0"
	s.record("case %s, trouble %v", *name, trouble)
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupts
		s.endAll()
		os.Exit(2)
	}()
	s.serveCloud()
	if len(s.unable) == 0 {
		s.play(play, trouble)
	}
	s.endAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	code := 0
	switch {
	case len(s.unable) > 0:
		code = 2
	case len(s.broken) > 0:
		code = 1
	}
	s.line("result %d: %d times broken", code, len(s.broken))
	for _, b := range append(s.broken[:min(len(s.broken), 5):min(len(s.broken), 5)], s.unable...) {
		fmt.Println(b)
	}
	_ = log.Close()
	if *keep == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
