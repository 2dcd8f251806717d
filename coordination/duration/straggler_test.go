package duration

import "testing"

// Guards against stragglers that are taken for a slow queue, among up to three of ten runs, and
// against a queue in which all runs are slow for more than 16 runs until it is found, or after it
// has recovered.
func TestStragglersAreToldFromASlowQueue(t *testing.T) {
	var s Stragglers
	for i := range 1000 {
		s.Observe(i%10 < 3)
		if s.Common() {
			t.Fatalf("run %d: a queue with three slow runs of ten counts as slow", i)
		}
	}
	for _, slow := range []bool{true, false} {
		for range 16 {
			s.Observe(slow)
		}
		if s.Common() != slow {
			t.Errorf("after 16 runs that were slow (%v): slow %v", slow, s.Common())
		}
	}
}
