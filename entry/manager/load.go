package manager

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/store"
)

// load reads the records of all jobs; no write of the previous owner can succeed any
// more, since the claim changed the owner's key. load returns false if the context
// ends first.
func (m *Manager) load(ctx context.Context) (loaded bool) {
	for failures := 0; ; failures++ {
		err := m.tryLoad(ctx)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		event.RecordFailed.Log(log.Fields{"action": "load", "error": err.Error()})
		retry.Sleep(ctx, min(minCommitRetryDelay<<min(failures, 6), maxCommitRetryDelay))
	}
}

// storedState is what an owner reads in the store before it serves.
type storedState struct {
	jobs      []job.Record
	cancelled []store.Item
	endpoints []schedule.Endpoint
}

func (m *Manager) tryLoad(ctx context.Context) (err error) {
	stored, err := m.readStored(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addStored(stored, time.Now())
	m.applyReceived()
	m.loaded = true
	close(m.jobsLoaded)
	event.OwnershipReady.Log(log.Fields{"term": m.Term.Number, "jobs": len(stored.jobs), "endpoints": len(m.recorded)})
	return nil
}

// readStored reads the records of endpoints, recent orders, jobs and cancellations. The
// endpoints are polled while the jobs are being read.
func (m *Manager) readStored(termCtx context.Context) (s storedState, err error) {
	ctx, cancel := context.WithTimeout(termCtx, loadTimeout)
	defer cancel()
	endpointsRead := make(chan error, 1)
	var endpoints []schedule.Endpoint
	go func() {
		read, err := m.endpointRecords.load(ctx, m.Store)
		if err == nil {
			endpoints = read
			m.contactEndpoints(termCtx, read)
			err = m.orders.load(ctx, m.Store)
		}
		endpointsRead <- err
	}()
	s.jobs, s.cancelled, err = m.readJobs(ctx)
	if err != nil {
		cancel()
	}
	if e := <-endpointsRead; err == nil {
		err = e
	}
	s.endpoints = endpoints
	return s, err
}

// readJobs reads the records of jobs and then the marks of cancelled ones: a job whose mark is
// stored meanwhile must not start.
func (m *Manager) readJobs(ctx context.Context) (records []job.Record, cancelled []store.Item, err error) {
	items, _, err := m.Store.Range(ctx, jobPrefix)
	if err != nil {
		return nil, nil, err
	}
	cancelled, _, err = m.Store.Range(ctx, CancelPrefix)
	return decodeRecords(items), cancelled, err
}

// decodeRecords decodes the records of jobs, without tombstones, and drops the values of the items. One that
// cannot be read is logged and left out.
func decodeRecords(items []store.Item) (records []job.Record) {
	records = make([]job.Record, 0, len(items))
	for n, i := range items {
		r, err := decodeJob(i)
		// The stored form is freed as the records are made of it.
		items[n].Value = nil
		if err != nil {
			event.RecordInvalid.Log(log.Fields{"key": i.Key, "error": input.Excerpt(err)})
			continue
		}
		if !r.IsTombstone() {
			records = append(records, r)
		}
	}
	return records
}

// decodeJob decodes the record of the job that its key names.
func decodeJob(i store.Item) (r job.Record, err error) {
	r, err = job.Decode(i.Value, i.Revision)
	if err == nil && JobKey(r.ID) != i.Key {
		err = errors.Errorf("manager: the record is one of the job %.40q", r.ID)
	}
	return r, err
}

// addStored adds what was read to the scheduler; m.mu is held.
func (m *Manager) addStored(s storedState, now time.Time) {
	for _, e := range s.endpoints {
		m.recorded[e.ID] = e
		m.pollersDue[e.ID] = true
		m.scheduler.AddSettledEndpoint(e, now)
	}
	m.loadJobs(s.jobs, now)
	// A job that was cancelled while there was no owner must not start before this
	// entry's watch reports the cancel mark.
	m.cancelledEarly = make(map[string]bool)
	for _, i := range s.cancelled {
		id := strings.TrimPrefix(i.Key, CancelPrefix)
		if !m.scheduler.CancelJob(id, now) {
			m.cancelledEarly[id] = true
		}
	}
}
