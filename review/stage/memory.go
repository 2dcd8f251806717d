package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case "memory".
const (
	memoryLimitKB = 284 << 10
	memoryWorkers = 8
	// Scheduled jobs come for 20 s, one each 430 ms, and 2.4 times as many in a burst of 6 s.
	cronEvery   = 430 * time.Millisecond
	cronTraffic = 20 * time.Second
	burstFrom   = 8 * time.Second
	burstFor    = 6 * time.Second
	burstFactor = 2.4
	// cronTimes is one run a minute for a week.
	cronTimes    = 7 * 24 * 60
	restartDelay = 500 * time.Millisecond
)

func init() { cases["memory"] = playMemory }

// playMemory hands in jobs that run once a minute for a week. The platform ends a process that takes
// more memory than its limit, and starts it again.
func playMemory(s *stage, trouble bool) {
	s.configure(7, 1.6, 4)
	for range memoryWorkers {
		s.addWorker(16000, 65536, "a", "r1-1")
	}
	for range 2 {
		s.addEntry()
	}
	if s.waitForOwner(10*time.Second) == nil {
		return
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		s.limitMemory(stop)
		close(stopped)
	}()
	begun := time.Now()
	var clients sync.WaitGroup
	var accepted atomic.Int64
	due := begun.Add(time.Hour).UnixMilli()
	for n := 0; time.Since(begun) < cronTraffic; n++ {
		clients.Go(func() {
			if s.submit(s.entries[n%2], fmt.Sprintf("a%015x", n), job{
				Spec: "work=300", Steps: []step{{Count: 1, CPU: 500, MemMb: 256, EstimateMs: 300}}, StartAtMs: due, RepeatCount: cronTimes, IntervalMs: 60000,
			}) {
				accepted.Add(1)
			}
		})
		pause := cronEvery
		if at := time.Since(begun); trouble && at > burstFrom && at < burstFrom+burstFor {
			pause = time.Duration(float64(pause) / burstFactor)
		}
		time.Sleep(pause)
	}
	clients.Wait()
	s.record("%d scheduled jobs were accepted", accepted.Load())
	time.Sleep(2 * time.Second)
	var ids []string
	var mu sync.Mutex
	for n := range 10 {
		id := fmt.Sprintf("b%015x", n)
		clients.Go(func() {
			if s.submit(s.entries[n%2], id, job{Spec: "work=300", Steps: []step{{Count: 1, CPU: 500, MemMb: 256, EstimateMs: 300}}}) {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		})
		time.Sleep(ordinaryEvery)
	}
	clients.Wait()
	time.Sleep(finish)
	s.checkNoneWaits(ids)
	close(stop)
	<-stopped
}

// limitMemory ends processes that take more than their memory, and starts them again, until it is stopped.
func (s *stage) limitMemory(stop <-chan struct{}) {
	most, ends := map[string]int{}, map[string]int{}
	for {
		select {
		case <-stop:
			for name, kb := range most {
				s.record("%s took %d MB at most and was ended %d times", name, kb>>10, ends[name])
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, e := range s.entries {
			kb := residentKB(e.command.Process.Pid)
			most[e.name] = max(most[e.name], kb)
			if kb <= memoryLimitKB {
				continue
			}
			s.record("%s takes %d MB of 284 and is ended", e.name, kb>>10)
			e.signal(syscall.SIGKILL)
			<-e.exited
			ends[e.name]++
			time.Sleep(restartDelay)
			e.start()
		}
	}
}

// residentKB returns the memory that a process has.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}
