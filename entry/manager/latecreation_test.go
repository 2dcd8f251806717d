package manager

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a job that is stored late and never read, against reads without an end, and against
// reads that end while the store does not answer them.
func TestLateCreationsAreReadWithinTheirDelay(t *testing.T) {
	begun := time.Now()
	for _, c := range []struct {
		// outage is how long reads get no answer, and lateBy when the job is stored.
		outage, lateBy, readBy time.Duration
	}{
		{0, 0, time.Second},
		{0, 1500 * time.Millisecond, 2 * time.Second},
		{0, 7 * time.Second, 8 * time.Second},
		{0, 16 * time.Second, 16 * time.Second},
		{0, time.Hour, 0},
		{20 * time.Second, 21 * time.Second, 23 * time.Second},
		{20 * time.Second, 30 * time.Second, 40 * time.Second},
	} {
		var l lateCreations
		l.add("a", begun)
		readAt, reads := time.Duration(0), 0
		for at := time.Duration(0); at <= time.Minute; at += lateReadInterval {
			for _, id := range l.due(begun.Add(at)) {
				found := at >= c.lateBy
				l.recordRead(id, at >= c.outage, found, begun.Add(at))
				reads++
				if found {
					readAt = at
				}
			}
		}
		if readAt > c.readBy || c.readBy > 0 && readAt < c.lateBy || len(l.jobs) > 0 || reads > 30 {
			t.Errorf("stored after %s with an outage of %s: found after %s, want %s, with %d reads; %d jobs are left", c.lateBy, c.outage, readAt, c.readBy, reads, len(l.jobs))
		}
	}
}

// Guards against memory without a bound while the store answers nothing.
func TestLateCreationsAreBounded(t *testing.T) {
	var l lateCreations
	for n := range 2 * maxLateCreations {
		l.add(fmt.Sprint(n), time.Now())
	}
	if len(l.jobs) != maxLateCreations {
		t.Errorf("%d jobs are kept, want %d", len(l.jobs), maxLateCreations)
	}
}
