package manager

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/store"
)

// newLargeSubmissions returns jobs that wait in different ways, with the memory of one of each.
func newLargeSubmissions(n int) (jobs []job.Job) {
	schedule, wide, chain := newSubmission(3*n), newSubmission(3*n+1), newSubmission(3*n+2)
	schedule.Repeat, schedule.IntervalMillis, schedule.StartAt = 2_000, 60_000, time.Now().Add(time.Hour).UnixMilli()
	wide.Steps[0].Count = 20_000
	for i := range 500 {
		chain.Steps = append(chain.Steps, job.Step{Count: 1, CPU: 100, DependsOn: []int{i}})
	}
	return []job.Job{schedule, wide, chain}
}

// TestJobsBeyondTheMemoryAreRefused guards against accepted jobs that together take more memory than the
// smallest entry has, whatever they consist of, and against callers of refused ones that are not told when
// to return.
func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	m := newSubmitManager(&fakeStore{})
	accepted, refused := 0, 0
	for n := range 150 {
		for _, j := range newLargeSubmissions(n) {
			r, decided := m.admit(&j)
			if !decided {
				accepted++
				m.scheduler.AddJob(job.Record{Job: j, State: job.Queued}, time.Now())
				m.submittedBytes.Add(-schedule.MemoryBytes(&j))
				continue
			}
			if refused++; r.Outcome != Refused || r.RetryAfter < time.Second || r.Reason == "" {
				t.Fatalf("%+v, want a refusal with a time to return", r)
			}
		}
	}
	if held := m.scheduler.HeldBytes(); held > maxHeldBytes || accepted < 20 || refused == 0 {
		t.Errorf("%d jobs of %d bytes accepted and %d refused", accepted, held, refused)
	}
	for n := range 150 {
		for _, j := range newLargeSubmissions(n) {
			m.scheduler.CancelJob(j.ID, time.Now())
		}
	}
	for _, w := range m.scheduler.Writes(time.Now(), 0, 1_000) {
		m.scheduler.ConfirmWrite(w, 1)
	}
	m.scheduler.RemoveEndedJobs(time.Now().Add(time.Minute), 1_000)
	if j := newLargeSubmissions(150)[1]; m.scheduler.HeldBytes() != 0 {
		t.Errorf("%d bytes are held after all jobs have ended", m.scheduler.HeldBytes())
	} else if r, decided := m.admit(&j); decided {
		t.Errorf("refused after all jobs have ended: %+v", r)
	}
}

// hangingStore answers no transaction until it is released.
type hangingStore struct {
	mu sync.Mutex
	fakeStore
	release chan struct{}
}

// Commit applies a transaction after the release.
func (s *hangingStore) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	select {
	case <-s.release:
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fakeStore.Commit(ctx, t)
	case <-ctx.Done():
		return 0, store.ErrNoAnswer
	}
}

// TestSubmissionsInFlightCountAgainstTheMemory guards against a burst of large jobs that are all accepted
// because the store has not answered for any of them, and against memory that stays counted after that.
func TestSubmissionsInFlightCountAgainstTheMemory(t *testing.T) {
	s := &hangingStore{release: make(chan struct{})}
	m := newSubmitManager(s)
	ctx, cancel := context.WithCancel(t.Context())
	ended := m.recordWriter.run(ctx)
	var mu sync.Mutex
	outcomes := make(map[Outcome]int)
	var callers sync.WaitGroup
	for n := range 300 {
		j := newLargeSubmissions(n)[2]
		callers.Go(func() {
			r := m.Submit(ctx, j, time.Now().Add(5*time.Second))
			mu.Lock()
			defer mu.Unlock()
			outcomes[r.Outcome]++
		})
	}
	time.Sleep(300 * time.Millisecond)
	close(s.release)
	callers.Wait()
	m.mu.Lock()
	held := m.scheduler.HeldBytes()
	m.mu.Unlock()
	if held > maxHeldBytes || outcomes[Accepted] == 0 || outcomes[Refused] == 0 {
		t.Errorf("%d bytes are held, outcomes %v", held, outcomes)
	}
	if left := m.submittedBytes.Load(); left != 0 {
		t.Errorf("%d bytes are counted for submissions that have ended", left)
	}
	cancel()
	<-ended
}
