package main

import (
	"fmt"
	"sync"
	"time"
)

// finish is how long after the end of the traffic every job has to have work at hand, and idle how long one may
// have nothing running.
const (
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// ordinary are jobs of a first and a second step of a few short work units.
type ordinary struct {
	fleet   *fleet
	waiting sync.WaitGroup

	mu       sync.Mutex
	accepted []string
}

// Sizes of an ordinary job.
const (
	ordinarySteps = 2
	ordinaryUnits = 2
	ordinaryBody  = `{"spec":"640","steps":[{"count":2,"cpu":1800,"memMb":6500,"estimateMs":640},{"count":2,"cpu":1800,"memMb":6500,"estimateMs":640,"after":[0]}]}`
)

func ordinaryID(n int) string { return fmt.Sprintf("%016x", 0xc00000+n) }

// hand hands an ordinary job in.
func (o *ordinary) hand(n int) {
	o.waiting.Go(func() {
		if id := ordinaryID(n); o.fleet.submit(id, ordinaryBody, n) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.accepted = append(o.accepted, id)
		}
	})
}

// unfinished returns the accepted jobs with nothing running although the turn of a work unit has come.
func (o *ordinary) unfinished() (ids map[string]string) {
	ids = make(map[string]string)
	o.mu.Lock()
	accepted := append([]string(nil), o.accepted...)
	o.mu.Unlock()
	for _, id := range accepted {
		unit := ""
		for step := ordinarySteps - 1; step >= 0; step-- {
			for i := range ordinaryUnits {
				if task := fmt.Sprintf("%s.0.%d.%d", id, step, i); !o.fleet.log.isDone(task) {
					unit = task
				}
			}
		}
		if unit != "" && o.fleet.onWorkers(id) == 0 {
			ids[id] = unit
		}
	}
	return ids
}

// watch is how long jobs are watched from finish on.
const watch = 10 * time.Second

// lost waits for finish after the end of the traffic and returns the accepted jobs that, at a time after it, have
// nothing running for idle although the turn of a work unit has come, while under half of the workers' capacity is in
// use.
func (o *ordinary) lost() (ids map[string]bool) {
	o.waiting.Wait()
	o.fleet.log.add("the traffic has ended, %d ordinary jobs were accepted", len(o.accepted))
	time.Sleep(finish)
	ids = make(map[string]bool)
	since := make(map[string]time.Time)
	for until := time.Now().Add(watch); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		now, unfinished, used := time.Now(), o.unfinished(), o.fleet.usedShare()
		for id := range since {
			if unfinished[id] == "" || used >= 0.5 {
				delete(since, id)
			}
		}
		for id, unit := range unfinished {
			switch at, known := since[id]; {
			case used >= 0.5 || ids[id]:
			case !known:
				since[id] = now
			case now.Sub(at) > idle:
				ids[id] = true
				o.fleet.log.add("job %s has had nothing running for %s; the turn of %s has come, and %.0f%% of the workers' capacity is in use", id, idle, unit, 100*used)
			}
		}
	}
	return ids
}

// usedShare returns the share of the workers' processors that runs take.
func (f *fleet) usedShare() float64 {
	used, total := 0, 0
	for _, k := range f.workers {
		k.mu.Lock()
		if k.up {
			total += k.cpu
			for _, r := range k.runs {
				used += f.log.size(r.task)
			}
		}
		k.mu.Unlock()
	}
	return float64(used) / float64(max(total, 1))
}

// result returns what the lost jobs say of the rule.
func (o *ordinary) result(ids map[string]bool) (broken string) {
	if len(ids) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d accepted ordinary jobs have nothing running for %s after %s from the end of the traffic, with under half of the capacity in use",
		len(ids), len(o.accepted), idle, finish)
}
