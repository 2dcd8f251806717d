package main

import (
	"fmt"
	"time"
)

// playMany hands in lasting jobs at a steady rate, with a burst of them, and then ordinary jobs.
func playMany(s *setup) (broken string, err error) {
	const (
		rate    = 10.0 // jobs a second
		usual   = 35 * time.Second
		burstAt = 20 * time.Second
		burst   = 6900 * time.Millisecond
		burstBy = 2.6
		tick    = 10 * time.Millisecond
		cpu     = 100
	)
	f, err := s.begin(3, 8)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	o := &ordinary{fleet: f}
	lasting, due := 0, 0.0
	began := time.Now()
	for last := began; time.Since(began) < usual; last = last.Add(tick) {
		share := 1.0
		if at := time.Since(began); s.trouble && at > burstAt && at < burstAt+burst {
			share = burstBy
		}
		for due += rate * share * tick.Seconds(); due >= 1; due-- {
			lasting++
			n, id := lasting, fmt.Sprintf("%016x", 0xb00000+lasting)
			f.log.setSize(id, cpu)
			o.waiting.Go(func() {
				f.submit(id, fmt.Sprintf(`{"spec":"lasts","steps":[{"count":1,"cpu":%d,"memMb":100,"estimateMs":900,"longRunning":true}]}`, cpu), n)
			})
		}
		time.Sleep(time.Until(last.Add(tick)))
	}
	o.waiting.Wait()
	f.log.add("%d lasting jobs were handed in", lasting)
	for n := range 20 {
		o.hand(n)
		time.Sleep(200 * time.Millisecond)
	}
	ids, used := o.lost()
	return o.result(ids, used), nil
}
