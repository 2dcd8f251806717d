package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against sizes by learned run times that are not switched on, and against work that is
// expected at once although its step waits for another. The load is a job of two steps of a second
// each.
func TestArrivalByLearnedRunTimes(t *testing.T) {
	s, now := &Scheduler{}, time.UnixMilli(1_700_000_000_000)
	s.init()
	for range 50 {
		s.durations.estimator.Observe(duration.Key{Queue: "q", CPU: 1000}, time.Second, time.Second, now)
	}
	j := &jobState{}
	j.Queue = "q"
	j.Steps = []job.Step{{Count: 2, CPU: 1000, EstimateMillis: 1000}, {Count: 2, CPU: 1000, EstimateMillis: 1000, DependsOn: []int{0}}}
	if a := s.arrival(j); a.Learned || a.Work != 4000 {
		t.Errorf("arrival %+v without LearnedSizes, want the declared work of 4 core-seconds", a)
	}
	s.Settings.LearnedSizes = true
	a := s.arrival(j)
	if !a.Learned || a.Work < 3500 || a.Work > 4500 {
		t.Errorf("arrival %+v, want learned work of about 4 core-seconds", a)
	}
	if a.Lag < 800*time.Millisecond || a.Lag > 1500*time.Millisecond {
		t.Errorf("a lag of %v, want that of a first step at once and a second one after it", a.Lag)
	}
}
