package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "hangup".
const (
	hangupClients = 20
	hangupEvery   = 100 * time.Millisecond
	rollGap       = 2 * time.Second
	hangupAfter   = 500 * time.Millisecond
	lossSlack     = 200 * time.Millisecond
)

func init() { cases["hangup"] = playHangup }

// playHangup stops two entries in turn. The settings of the second one change while it stops, so
// that it gets SIGHUP after SIGTERM.
func playHangup(s *stage, trouble bool) {
	s.configure(7, 1.6, 2)
	for range 4 {
		s.addWorker(16000, 65536, "a", "r1-1")
	}
	first, second := s.addEntry(), s.addEntry()
	owner := s.waitForOwner(10 * time.Second)
	if owner == nil {
		return
	}
	if owner == first {
		first, second = second, first
	}
	time.Sleep(3 * time.Second)
	end := make(chan struct{})
	var clients sync.WaitGroup
	for n := range hangupClients {
		clients.Go(func() { s.hangupClient(second, n, end) })
	}
	time.Sleep(2 * time.Second)
	stopped := time.Now()
	first.signal(syscall.SIGTERM)
	time.Sleep(rollGap)
	second.signal(syscall.SIGTERM)
	time.Sleep(hangupAfter)
	if trouble {
		s.changeSettings(second)
		second.signal(syscall.SIGHUP)
	}
	<-first.exited
	first.start()
	<-second.exited
	s.record("%s has ended %d ms after the first stop", second.name, time.Since(stopped).Milliseconds())
	close(end)
	clients.Wait()
	second.start()
	time.Sleep(2 * time.Second)
}

// changeSettings writes another list of seeds into the settings of an entry.
func (s *stage) changeSettings(e *entry) {
	text, err := os.ReadFile(e.settings)
	if err == nil {
		text = bytes.Replace(text, []byte(`"seeds": []`), []byte(`"seeds": ["127.0.0.1:1"]`), 1)
		err = os.WriteFile(e.settings+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(e.settings+".new", e.settings)
	}
	if err != nil {
		s.fail("settings: %v", err)
	}
}

// hangupClient hands in small jobs at one entry, on an open channel as long as there is one.
func (s *stage) hangupClient(e *entry, n int, end <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 5 * time.Second}
	pause := rand.New(rand.NewPCG(1, uint64(n)))
	for k := 0; ; k++ {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(pause.Int64N(int64(2 * hangupEvery)))):
		}
		id := fmt.Sprintf("%04x%012x", n, k)
		small := job{Spec: "work=200", Steps: []step{{Count: 1, CPU: 500, MemMb: 256, EstimateMs: 200}}}
		s.mu.Lock()
		s.jobs[id] = small
		s.mu.Unlock()
		body, _ := json.Marshal(small)
		q, _ := http.NewRequest(http.MethodPost, "http://"+e.front+prefix+id, bytes.NewReader(body))
		q.Host = host
		q.Header.Set("Deadline-Ms", "3000")
		var mu sync.Mutex
		var wrote time.Time
		q = q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if i.Err == nil {
				wrote = time.Now()
			}
		}}))
		a, err := client.Do(q)
		status := 0
		if err == nil {
			status = a.StatusCode
			_, err = io.Copy(io.Discard, a.Body)
			a.Body.Close()
		}
		ended := time.Now()
		mu.Lock()
		sent := wrote
		mu.Unlock()
		if err != nil && sent.IsZero() {
			s.record("POST %s at %s: no channel", id, e.name)
			continue
		}
		s.record("POST %s at %s: %d %s, %d ms after its last byte was sent", id, e.name, status, errorText(err), ended.Sub(sent).Milliseconds())
		if err != nil && ended.Sub(sent) > lossSlack && ended.Sub(sent) < 2*time.Second {
			s.mu.Lock()
			s.broke("LOST: the channel of POST %s ends without an answer %d ms after its last byte was sent, while %s is being stopped", id, ended.Sub(sent).Milliseconds(), e.name)
			s.mu.Unlock()
		}
	}
}
