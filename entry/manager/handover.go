package manager

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// Bounds of the end of a term.
const (
	// orderAnswerTime is how long an ending manager waits for answers to its orders. Endpoints
	// answer within a few milliseconds, or not at all.
	orderAnswerTime = 200 * time.Millisecond
	// flushTime bounds the writes of changed records before a handover, which carries what
	// they could not store.
	flushTime = 250 * time.Millisecond
)

// Inheritance is what the previous owner has handed over.
type Inheritance struct {
	schedule.Handover

	ReceivedAt time.Time
}

// HandOver returns the state for the next owner, once this manager calls no endpoint any
// more. known is false if it has not loaded the jobs. If the store can be reached, it first
// stores what fits in flushTime.
func (m *Manager) HandOver(ctx context.Context, storeReachable bool) (h schedule.Handover, known bool) {
	<-m.quiet
	if !m.Loaded() {
		return schedule.Handover{}, false
	}
	if storeReachable {
		m.flush(ctx)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.scheduler.HandOver(time.Now()), true
}

// loadJobs adds the stored jobs, with what the previous owner has handed over.
func (m *Manager) loadJobs(records []job.Record, now time.Time) {
	if m.Inherited != nil {
		m.scheduler.LoadHandover(m.Inherited.Handover, records, m.Inherited.ReceivedAt, now)
		return
	}
	for _, r := range records {
		m.scheduler.LoadJob(r, now)
	}
}

// awaitAnswers applies the results of the orders in flight, and cuts those off that take long.
func (m *Manager) awaitAnswers(cutOrders context.CancelFunc) {
	cut := time.AfterFunc(orderAnswerTime, cutOrders)
	defer cut.Stop()
	m.ordersInFlight.Wait()
}

// flush stores changed records for flushTime at most, or until a transaction fails. It starts
// when the writer of the records has ended, because records in flight are skipped.
func (m *Manager) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	select {
	case <-m.recordWriter.over:
	case <-ctx.Done():
		return
	}
	results := make(chan bool)
	inFlight, failed := 0, false
	for {
		for inFlight < maxConcurrentCommits && !failed && ctx.Err() == nil {
			batch := m.writesAfter(0, writesPerCommit)
			if len(batch) == 0 {
				break
			}
			inFlight++
			go func() { results <- m.storeBatch(ctx, batch) }()
		}
		if inFlight == 0 {
			return
		}
		failed = !<-results || failed
		inFlight--
	}
}

// storeBatch stores records in one transaction, and reports whether it succeeded.
func (m *Manager) storeBatch(ctx context.Context, batch []*recordWrite) (stored bool) {
	remaining := m.recordWriter.commit(ctx, batch)
	for _, w := range remaining {
		m.recordFailed(w.Write)
	}
	return len(remaining) == 0
}
