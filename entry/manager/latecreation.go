package manager

import (
	"context"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/coordination/retry"
)

// Reads of jobs that may be stored late.
const (
	// lateReadInterval separates two rounds of reads.
	lateReadInterval = 500 * time.Millisecond
	// firstLateRead is when a job is read first after its submission has ended. Each further read
	// comes when twice the time has passed, so that a job waits at most as long again as its write
	// took. The last one comes before lastLateRead; writes are executed seconds late.
	firstLateRead = time.Second
	lastLateRead  = 30 * time.Second
	// maxLateReads bounds the reads at a time, and maxLateCreations the jobs that are read. The next
	// owner adopts the others.
	maxLateReads     = 16
	maxLateCreations = 2_000
)

// lateCreations holds new jobs that a transaction without an answer may still store although their
// submissions have ended. The transactions of one owner fail once there is another, which reads all
// jobs before it serves. Its zero value is empty and ready to use.
type lateCreations struct {
	mu   sync.Mutex
	jobs map[string]lateCreation
}

// lateCreation is a new job with the end of its submission and the time of the next read.
type lateCreation struct {
	endedAt, readAt time.Time
}

// add adds a job whose submission has ended.
func (l *lateCreations) add(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs == nil {
		l.jobs = make(map[string]lateCreation)
	}
	if _, known := l.jobs[id]; known || len(l.jobs) < maxLateCreations {
		l.jobs[id] = lateCreation{endedAt: now, readAt: now.Add(firstLateRead)}
	}
}

// due returns the jobs that are to be read now.
func (l *lateCreations) due(now time.Time) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.jobs {
		if !now.Before(c.readAt) {
			ids = append(ids, id)
		}
	}
	return ids
}

// recordRead records whether a read was answered and has found the job. Reads begin again after one
// without an answer, as the store executes no writes either while it is down.
func (l *lateCreations) recordRead(id string, answered, found bool, now time.Time) {
	if !answered {
		l.add(id, now)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.jobs[id]
	c.readAt = c.endedAt.Add(2 * c.readAt.Sub(c.endedAt))
	if found || c.readAt.Sub(c.endedAt) > lastLateRead {
		delete(l.jobs, id)
		return
	}
	l.jobs[id] = c
}

// runLateCreations adopts jobs that are stored after their submissions have ended, until the context
// ends.
func (m *Manager) runLateCreations(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			m.readLateCreations(ctx)
			retry.Sleep(ctx, lateReadInterval)
		}
		ended <- nil
	}()
	return ended
}

// readLateCreations reads the jobs that are due and adopts those that are stored.
func (m *Manager) readLateCreations(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	slots := make(chan struct{}, maxLateReads)
	for _, id := range m.recordWriter.late.due(time.Now()) {
		slots <- struct{}{}
		reads.Go(func() {
			err := m.Adopt(ctx, id, func() bool { return m.IsCancelled != nil && m.IsCancelled(id) })
			m.recordWriter.late.recordRead(id, err == nil, m.HasJob(id), time.Now())
			<-slots
		})
	}
}
