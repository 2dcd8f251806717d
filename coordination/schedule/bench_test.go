package schedule

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// BenchmarkBurst measures the scheduler's time per task in a burst in one pool, with
// as many endpoints as in the largest deployments.
func BenchmarkBurst(b *testing.B) {
	benchmarkScheduler(b, 0, false, false)
}

// BenchmarkBacklog is BenchmarkFlood with 1,000 waiting jobs.
func BenchmarkBacklog(b *testing.B) {
	benchmarkScheduler(b, 1000, false, false)
}

// BenchmarkBurstMeanDurations is BenchmarkBurst without learned durations.
func BenchmarkBurstMeanDurations(b *testing.B) {
	benchmarkScheduler(b, 0, true, false)
}

// BenchmarkBacklogMeanDurations is BenchmarkBacklog without learned durations.
func BenchmarkBacklogMeanDurations(b *testing.B) {
	benchmarkScheduler(b, 1000, true, false)
}

// BenchmarkBacklogConfined is BenchmarkBacklog with jobs that are confined to data centres.
func BenchmarkBacklogConfined(b *testing.B) {
	benchmarkScheduler(b, 1000, false, true)
}

func benchmarkScheduler(b *testing.B, backlog int, meanDurations, confined bool) {
	b.Helper()
	s := &Scheduler{Settings: testSettings}
	s.Settings.MeanDurations = meanDurations
	now := time.UnixMilli(1_700_000_000_000)
	var listed []Endpoint
	for i := range 349 {
		listed = append(listed, Endpoint{
			ID: fmt.Sprintf("e%03d", i), Pool: fmt.Sprintf("p%d", i%5), DataCentre: string(rune('A' + i%4)), Capacity: Capacity{CPU: 32000, MemoryMB: 131072},
		})
	}
	s.SetEndpoints(listed, now)
	for _, l := range listed {
		s.ApplyReport(l.ID, Report{SentAt: now, ReceivedAt: now, Incarnation: 1})
	}
	numbers := make(map[string]int64)
	var running []Order
	jobs, ended := 0, 0
	place := func(r *job.Record) {
		if r.Pool = "p0"; confined {
			r.DataCentre, r.ConfinedTerm = string(rune('A'+jobs%4)), 1
		}
	}
	for range backlog {
		r := newRecord(fmt.Sprintf("b%015x", jobs), job.Step{Count: 8, CPU: 3100, MemoryMB: 4000, EstimateMillis: 640})
		place(&r)
		s.AddJob(r, now)
		jobs++
	}
	b.ResetTimer()
	for ended < b.N {
		now = now.Add(10 * time.Millisecond)
		for range 2 {
			r := newRecord(fmt.Sprintf("%016x", jobs), job.Step{Count: 8, CPU: 3100, MemoryMB: 4000, EstimateMillis: 640})
			place(&r)
			s.AddJob(r, now)
			jobs++
		}
		for _, o := range s.Plan(now, now) {
			s.RecordOrderResult(o, Accepted, now)
			running = append(running, o)
		}
		for i := 0; i < 16 && len(running) > 0; i++ {
			o := running[0]
			running = running[1:]
			numbers[o.Endpoint]++
			s.ApplyReport(o.Endpoint, Report{SentAt: now.Add(-time.Hour), ReceivedAt: now, Incarnation: 1, Ended: []EndedRun{
				{Number: numbers[o.Endpoint], Task: o.Task, Run: o.Run, Reason: EndDone},
			}})
			ended++
		}
		for _, w := range s.Writes(now, time.Second, 15) {
			s.ConfirmWrite(w, 1)
		}
	}
}

// BenchmarkJobMemory measures the memory for a job of two steps with eight tasks
// each.
func BenchmarkJobMemory(b *testing.B) {
	s := &Scheduler{Settings: testSettings}
	now := time.UnixMilli(1_700_000_000_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i := range b.N {
		r := newRecord(fmt.Sprintf("%016x", i), job.Step{Count: 8, CPU: 3100, MemoryMB: 4000, EstimateMillis: 640})
		r.Steps = append(r.Steps, r.Steps[0])
		s.AddJob(r, now)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heapBytes/job")
	runtime.KeepAlive(s)
}
