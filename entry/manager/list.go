package manager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
)

// updateEndpoints applies a new endpoint list. Known endpoints are updated at once;
// new ones get tasks only after their identifiers are stored, so that the next owner
// can determine where tasks may run.
func (m *Manager) updateEndpoints(listed []schedule.Endpoint) {
	m.mu.Lock()
	m.latestList = listed
	m.applyEndpointList(listed)
	m.mu.Unlock()
	select {
	case m.listChanged <- struct{}{}:
	default:
	}
	m.trigger()
}

// applyEndpointList passes the listed endpoints that are already stored to the
// scheduler, and records which known endpoints are no longer listed.
func (m *Manager) applyEndpointList(listed []schedule.Endpoint) {
	now := time.Now()
	recorded := make([]schedule.Endpoint, 0, len(listed))
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		delete(m.unlisted, l.ID)
		if _, known := m.recorded[l.ID]; known {
			recorded = append(recorded, l)
		}
	}
	for _, s := range m.scheduler.EndpointStatuses() {
		if _, known := m.unlisted[s.ID]; !known && !present[s.ID] {
			m.unlisted[s.ID] = now
			event.EndpointUnlisted.Log(log.Fields{"endpoint": s.ID, "pool": s.Pool, "runs": s.Runs})
		}
	}
	m.scheduler.SetEndpoints(recorded, now)
	m.pollersDue = true
}

// pruneUnlisted drops endpoints from unlisted once the scheduler no longer knows
// them.
func (m *Manager) pruneUnlisted() {
	for id := range m.unlisted {
		if _, known := m.scheduler.EndpointStatus(id); !known {
			delete(m.unlisted, id)
		}
	}
}

// runEndpointRecording stores the endpoints after each change of the list, until the
// context ends.
func (m *Manager) runEndpointRecording(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-m.listChanged:
				m.recordEndpoints(ctx)
			}
		}
		ended <- nil
	}()
	return ended
}

// recordEndpoints stores the latest list if it has endpoints that are not stored, and
// retries until it succeeds.
func (m *Manager) recordEndpoints(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		known, changed := m.knownEndpoints()
		if !changed {
			return
		}
		err := m.storeEndpoints(ctx, known)
		if err == nil {
			return
		}
		event.RecordFailed.Log(log.Fields{"key": endpointsKey, "error": err.Error()})
		retry.Sleep(ctx, min(minCommitRetryDelay<<min(failures, 6), maxCommitRetryDelay))
	}
}

// knownEndpoints returns the endpoints on which tasks may run from now on, and
// whether one of them is not stored.
func (m *Manager) knownEndpoints() (known []schedule.Endpoint, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool)
	for _, l := range m.latestList {
		present[l.ID] = true
		known = append(known, l)
		if _, recorded := m.recorded[l.ID]; !recorded {
			changed = true
			event.EndpointListed.Log(log.Fields{"endpoint": l.ID, "pool": l.Pool, "dataCentre": l.DataCentre, "rack": l.Rack, "address": l.Address})
		}
	}
	for _, s := range m.scheduler.EndpointStatuses() {
		if !present[s.ID] {
			known = append(known, s.Endpoint)
		}
	}
	return known, changed
}

// removeReplacedEndpoints removes endpoints of previous owners that have ended: the
// platform's machine service and the endpoint list both name another endpoint of the
// same instance, or the instance is in the spare pool without an endpoint. Otherwise
// jobs of previous owners would wait until the leases of these endpoints end.
func (m *Manager) removeReplacedEndpoints(instances []Instance, spare string) {
	byName := make(map[string]Instance, len(instances))
	for _, i := range instances {
		byName[i.Name] = i
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]string, len(m.latestList))
	for _, l := range m.latestList {
		listed[l.ID] = l.Instance
	}
	for _, s := range m.scheduler.EndpointStatuses() {
		_, present := listed[s.ID]
		i, known := byName[s.Instance]
		if s.Contacted || present || m.latestList == nil || !known || !i.Up || i.Endpoint == s.ID {
			continue
		}
		if i.Endpoint == "" && i.Pool == spare || i.Endpoint != "" && listed[i.Endpoint] == s.Instance {
			event.EndpointReplaced.Log(log.Fields{"endpoint": s.ID, "pool": s.Pool, "instance": s.Instance, "by": i.Endpoint})
			m.scheduler.RecordTermination(s.ID, time.Now())
		}
	}
}

// storeEndpoints stores the endpoints on which tasks may run, and passes them to the
// scheduler.
func (m *Manager) storeEndpoints(ctx context.Context, known []schedule.Endpoint) (err error) {
	value, err := json.Marshal(known)
	if err != nil {
		return errors.Wrap(err, "encode endpoints")
	}
	if err = m.saveOwned(ctx, &m.endpointList, value); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.recorded)
	for _, e := range known {
		m.recorded[e.ID] = e
	}
	m.applyEndpointList(m.latestList)
	m.trigger()
	return nil
}
