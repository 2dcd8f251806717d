package main

import (
	"errors"
	"fmt"
	"time"
)

// deskConfig is a configuration with one queue and its workers' service.
func deskConfig(maxAttempts int) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "desk", "host": host, "prefix": "/desk/", "service": "desk", "priority": 0, "maxAttempts": maxAttempts, "stretch": 1.6, "targetLatencyMs": 600,
		}},
		"services": []map[string]any{{"name": "desk", "enforcesCapacity": false}},
		"limits":   map[string]any{},
	}
}

// begin starts a small deployment.
func (s *setup) begin(nodes, workers int) (f *fleet, err error) {
	if f, err = newFleet(s.dir, workers, 32000, deskConfig(3)); err != nil {
		return nil, err
	}
	s.fleet = f
	for range nodes {
		if _, err = f.addNode(s.program, nil); err != nil {
			return nil, err
		}
	}
	return f, f.awaitReady()
}

// awaitStart waits until a work unit has been started a number of times, and returns the last start.
func (f *fleet) awaitStart(task string, times int, within time.Duration) (at startOf, err error) {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		if s := f.log.startsOf(task); len(s) >= times {
			return s[len(s)-1], nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return startOf{}, fmt.Errorf("%s was not started %d times", task, times)
}

// crashAfter is how long after the start of its run the worker of a work unit crashes, and downFor how long it is away.
const (
	crashAfter = 600 * time.Millisecond
	downFor    = 3 * time.Second
)

// playCrashes has the worker crash on which one work unit of a lasting job runs, some time after its start, and then the
// one on which it runs next.
func playCrashes(s *setup) (broken string, err error) {
	const id, unit = "00000000000000a1", "00000000000000a1.0.0.0"
	f, err := s.begin(3, 8)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if !f.submit(id, `{"spec":"lasts","steps":[{"count":6,"cpu":2700,"memMb":14000,"estimateMs":900,"longRunning":true,"antiAffinity":1,"mayMiss":1}]}`, 0) {
		return "", errors.New("the job was not accepted")
	}
	if _, err = f.awaitStart(unit, 1, 5*time.Second); err != nil {
		return "", err
	}
	for n := 1; n <= 2 && s.trouble; n++ {
		at, err := f.awaitStart(unit, n, 15*time.Second)
		if err != nil {
			return "", err
		}
		time.Sleep(crashAfter)
		at.worker.crash(downFor)
	}
	time.Sleep(15 * time.Second)
	state, running, stops := f.state(id, 1), f.onWorkers(id), f.log.stopsOf(id)
	f.log.add("the job, which nobody has cancelled and of which no run has ended as failed, is shown as %s; %d of its work units run; %d were told to stop while they were at work", state, running, stops)
	// The first stop may find no other work unit away, and each further one finds those that were stopped.
	if stops >= 2 {
		broken = fmt.Sprintf("AVAIL: %d work units at work on sound workers were told to stop although 1 may be missing; the job is shown as %s", stops, state)
	}
	return broken, nil
}
