package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playKinds hands in jobs that need a kind of worker which half of the workers are of. One of these is cut off from the
// store, crashes behind the cut and starts again under its identifier as one of the other kind.
func playKinds(s *setup) (broken string, err error) {
	const (
		cutFor  = 5 * time.Second
		needs   = "b"
		other   = "a"
		downFor = 500 * time.Millisecond
		body    = `{"spec":"640","steps":[{"count":4,"cpu":1800,"memMb":6500,"estimateMs":640,"requires":"b"}]}`
	)
	f, err := newFleet(s.dir, 8, 32000, deskConfig(3))
	if err != nil {
		return "", err
	}
	s.fleet = f
	var mu sync.Mutex
	wrong := 0
	for i, k := range f.workers {
		k.mu.Lock()
		if k.keepsID = true; i%2 == 0 {
			k.kind = needs
		}
		id := k.id
		k.onStart = func(task, kind string) {
			mu.Lock()
			defer mu.Unlock()
			if kind != needs {
				wrong++
				f.log.add("ROUTE: %s, which needs a worker of kind %s, starts on %s, which is of kind %s", task, needs, id, kind)
			}
		}
		text := k.entry()
		k.mu.Unlock()
		f.store.put("servers/"+id, text)
	}
	for range 3 {
		if _, err = f.addNode(s.program, nil); err != nil {
			return "", err
		}
	}
	if err = f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var submitted sync.WaitGroup
	for n := range 150 {
		submitted.Go(func() { f.submit(fmt.Sprintf("%016x", 0xc00000+n), body, n) })
		if n == 40 && s.trouble {
			k := f.workers[0]
			k.setCut(true)
			f.log.add("worker %s is cut off from the store, crashes, and starts again as one of kind %s", k.id, other)
			k.crash(downFor)
			k.mu.Lock()
			k.kind = other
			k.mu.Unlock()
			time.AfterFunc(cutFor, func() {
				k.setCut(false)
				f.log.add("the cut of worker %s ends", k.id)
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	submitted.Wait()
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if wrong > 0 {
		broken = fmt.Sprintf("ROUTE: %d work units were started on a worker without the label in requires", wrong)
	}
	return strings.TrimSpace(broken), nil
}
