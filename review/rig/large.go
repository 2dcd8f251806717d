package main

import "time"

// playLarge hands in one job of many small work units beside ordinary jobs; the workers of one rack crash while it runs.
func playLarge(s *setup) (broken string, err error) {
	f, err := s.begin(3, 8)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	const large = "00000000000000d1"
	f.log.setSize(large, 10)
	o := &ordinary{fleet: f}
	o.waiting.Go(func() {
		f.submit(large, `{"spec":"4000","steps":[{"count":20000,"cpu":10,"memMb":10,"estimateMs":4000}]}`, 0)
	})
	began := time.Now()
	for n := range 200 {
		o.hand(n)
		if n == 15 && s.trouble {
			for _, k := range f.workers {
				if k.rack == "r0" {
					k.crash(3 * time.Second)
				}
			}
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * 200 * time.Millisecond)))
	}
	ids := o.lost()
	f.logEnds(large)
	return o.result(ids), nil
}

// logEnds logs the state of a job and the ends that nobody has taken note of.
func (f *fleet) logEnds(id string) {
	f.log.add("job %s is %s", id, f.state(id, 0))
	for _, k := range f.workers {
		k.mu.Lock()
		if k.up {
			k.advance()
			f.log.add("worker %s: %d runs, %d ends not taken note of", k.id, len(k.runs), len(k.ends))
		}
		k.mu.Unlock()
	}
}
