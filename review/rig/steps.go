package main

import (
	"fmt"
	"strings"
	"time"
)

// playSteps hands in ordinary jobs, and large jobs of many steps at once.
func playSteps(s *setup) (broken string, err error) {
	const steps, jobs = 20000, 4
	f, err := s.begin(3, 8)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	o := &ordinary{fleet: f}
	body := `{"spec":"640","steps":[` + strings.TrimSuffix(strings.Repeat(`{"count":1},`, steps), ",") + `]}`
	f.log.add("a large job has %d bytes", len(body))
	began := time.Now()
	for n := range 100 {
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
	ids := o.lost()
	return o.result(ids), nil
}
