package main

import (
	"fmt"
	"time"
)

// playSizeless hands in ordinary jobs, and large jobs of work units that name no size at once.
func playSizeless(s *setup) (broken string, err error) {
	const units, jobs = 20000, 10
	f, err := s.begin(3, 8)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	o := &ordinary{fleet: f}
	body := fmt.Sprintf(`{"spec":"60000","steps":[{"count":%d,"estimateMs":60000}]}`, units)
	began := time.Now()
	for n := range 150 {
		o.hand(n)
		if n == 25 && s.trouble {
			for i := range jobs {
				id := fmt.Sprintf("%016x", 0xb00000+i)
				f.log.setSize(id, 0)
				o.waiting.Go(func() { f.submit(id, body, i) })
			}
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * 200 * time.Millisecond)))
	}
	return o.result(o.lost()), nil
}
