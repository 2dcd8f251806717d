package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// BenchmarkPlanOrganisations measures a plan of a full pool with 1,100 waiting jobs, of which
// it considers 400, in the largest deployments: without organisations, with 1,100 that all have
// a job, and with 1,100 at their limit.
func BenchmarkPlanOrganisations(b *testing.B) {
	for _, c := range []struct {
		name          string
		organisations int
		limit         int
	}{{"none", 0, 0}, {"shares", 1100, 0}, {"limits", 1100, 3000}} {
		b.Run(c.name, func(b *testing.B) {
			s, now := newBenchmarkPool(c.organisations, c.limit)
			b.ResetTimer()
			for range b.N {
				// Every second plan ranks the jobs again.
				now = now.Add(rankingLifetime / 2)
				s.Plan(now, now)
			}
		})
	}
}

// newBenchmarkPool returns a scheduler with a full pool.
func newBenchmarkPool(organisations, limit int) (s *Scheduler, now time.Time) {
	s = &Scheduler{Settings: testSettings}
	now = time.UnixMilli(1_700_000_000_000)
	var listed []Endpoint
	for i := range 85 {
		listed = append(listed, Endpoint{ID: fmt.Sprintf("e%03d", i), Pool: "p", Capacity: Capacity{CPU: 16000, MemoryMB: 65536}})
	}
	s.SetEndpoints(listed, now)
	for _, l := range listed {
		s.ApplyReport(l.ID, Report{SentAt: now, ReceivedAt: now, Incarnation: 1})
	}
	var terms []organisation.Terms
	for i := range organisations {
		terms = append(terms, organisation.Terms{Name: fmt.Sprintf("o%04d", i), Weight: float64(1 + i%7), Limit: job.Capacity{CPU: limit}})
	}
	s.SetOrganisations(terms)
	for i := range 1100 {
		r := newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 8, CPU: 1500, MemoryMB: 1000, EstimateMillis: 800})
		r.Stretch = 1e6
		if organisations > 0 {
			r.Organisation = terms[i%organisations].Name
		}
		s.AddJob(r, now)
	}
	for _, o := range s.Plan(now, now) {
		s.RecordOrderResult(o, Accepted, now)
	}
	return s, now
}

// BenchmarkSetOrganisations measures the change to a configuration with 1,100 organisations.
func BenchmarkSetOrganisations(b *testing.B) {
	s, _ := newBenchmarkPool(1100, 3000)
	versions := [2][]organisation.Terms{append([]organisation.Terms(nil), s.organisations.terms...), s.organisations.terms}
	b.ResetTimer()
	for i := range b.N {
		s.SetOrganisations(versions[i%2])
	}
}

// BenchmarkUnseen measures the estimate of unseen runs after a takeover with 10,000 jobs.
func BenchmarkUnseen(b *testing.B) {
	s := &Scheduler{Settings: testSettings}
	now := time.UnixMilli(1_700_000_000_000)
	s.AddSettledEndpoint(Endpoint{ID: "e", Pool: "p", Capacity: testCapacity}, now)
	s.SetOrganisations([]organisation.Terms{{Name: "a", Limit: job.Capacity{CPU: 1000}}})
	for i := range 10_000 {
		r := newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 8, CPU: 1500, MemoryMB: 1000, EstimateMillis: 800})
		r.Organisation = "a"
		s.LoadJob(r, now)
	}
	b.ResetTimer()
	for range b.N {
		s.organisations.unseenAt = time.Time{}
		s.updateUnseen(now, now)
	}
}
