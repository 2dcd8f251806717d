package manager

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
)

// resetEndpoints applies the whole list of endpoints. Known endpoints are updated at
// once; new ones get tasks only after their identifiers are stored, so that the next owner
// can determine where tasks may run.
func (m *Manager) resetEndpoints(listed []schedule.Endpoint) {
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
	}
	c := ListChange{Listed: listed}
	m.mu.Lock()
	for _, s := range m.scheduler.EndpointStatuses() {
		if !present[s.ID] {
			c.Unlisted = append(c.Unlisted, s.ID)
		}
	}
	m.listed = make(map[string]schedule.Endpoint, len(listed))
	m.mu.Unlock()
	m.applyListChange(c)
}

// applyListChange applies a change of the list, as resetEndpoints does.
func (m *Manager) applyListChange(c ListChange) {
	m.mu.Lock()
	now := time.Now()
	unrecorded := false
	for _, l := range c.Listed {
		m.listed[l.ID] = l
		delete(m.unlisted, l.ID)
		if _, recorded := m.recorded[l.ID]; !recorded {
			unrecorded = true
			event.EndpointListed.Log(log.Fields{"endpoint": l.ID, "pool": l.Pool, "dataCentre": l.DataCentre, "rack": l.Rack, "address": l.Address})
			continue
		}
		m.listEndpoint(l, now)
	}
	for _, id := range c.Unlisted {
		delete(m.listed, id)
		m.unlistEndpoint(id, now)
	}
	m.mu.Unlock()
	if unrecorded {
		select {
		case m.listChanged <- struct{}{}:
		default:
		}
	}
	m.trigger()
}

// listEndpoint passes a listed endpoint that is stored to the scheduler.
func (m *Manager) listEndpoint(l schedule.Endpoint, now time.Time) {
	m.scheduler.UpdateEndpoints([]schedule.Endpoint{l}, now)
	m.pollersDue[l.ID] = true
}

// unlistEndpoint records since when a known endpoint is no longer listed.
func (m *Manager) unlistEndpoint(id string, now time.Time) {
	s, known := m.scheduler.EndpointStatus(id)
	if _, unlisted := m.unlisted[id]; unlisted || !known {
		return
	}
	m.unlisted[id] = now
	event.EndpointUnlisted.Log(log.Fields{"endpoint": s.ID, "pool": s.Pool, "runs": s.Runs})
	m.scheduler.UnlistEndpoint(id)
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

// runEndpointRecording stores new endpoints of the list until the context ends.
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

// recordEndpoints stores the listed endpoints that are not stored, and retries until it
// succeeds.
func (m *Manager) recordEndpoints(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		groups := m.unrecordedGroups()
		if len(groups) == 0 {
			return
		}
		err := m.storeEndpoints(ctx, groups)
		if err == nil {
			continue
		}
		event.RecordFailed.Log(log.Fields{"key": endpointsPrefix, "error": err.Error()})
		retry.Sleep(ctx, min(minCommitRetryDelay<<min(failures, 6), maxCommitRetryDelay))
	}
}

// unrecordedGroups returns the groups with a listed endpoint that is not stored: their
// listed endpoints, and the others on which tasks may still run.
func (m *Manager) unrecordedGroups() (groups map[int][]schedule.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups = make(map[int][]schedule.Endpoint)
	for id := range m.listed {
		if _, recorded := m.recorded[id]; !recorded {
			groups[groupOf(id)] = nil
		}
	}
	if m.endpointRecords.previous.revision > 0 {
		for id := range m.recorded {
			groups[groupOf(id)] = nil
		}
	}
	if len(groups) == 0 {
		return nil
	}
	for id, l := range m.listed {
		if _, affected := groups[groupOf(id)]; affected {
			groups[groupOf(id)] = append(groups[groupOf(id)], l)
		}
	}
	for id, e := range m.recorded {
		_, affected := groups[groupOf(id)]
		if _, listed := m.listed[id]; !affected || listed {
			continue
		}
		if _, known := m.scheduler.EndpointStatus(id); known {
			groups[groupOf(id)] = append(groups[groupOf(id)], e)
		} else {
			// If it is listed again it gets tasks only after it is stored again.
			delete(m.recorded, id)
		}
	}
	return groups
}

// storeEndpoints stores groups of endpoints and passes the new ones to the scheduler.
func (m *Manager) storeEndpoints(ctx context.Context, groups map[int][]schedule.Endpoint) (err error) {
	if err = m.endTermIfOver(m.endpointRecords.save(ctx, m.Store, m.Term.Owner, groups, m.Settings.ValueLimit())); err != nil {
		return err
	}
	if m.endpointRecords.previous.revision > 0 {
		if err = m.endTermIfOver(m.endpointRecords.removePrevious(ctx, m.Store, m.Term.Owner)); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id := range m.recorded {
		if _, written := groups[groupOf(id)]; written {
			delete(m.recorded, id)
		}
	}
	for _, endpoints := range groups {
		for _, e := range endpoints {
			m.recorded[e.ID] = e
			if l, listed := m.listed[e.ID]; listed {
				m.listEndpoint(l, now)
			}
		}
	}
	m.trigger()
	return nil
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
	for _, s := range m.scheduler.EndpointStatuses() {
		_, present := m.listed[s.ID]
		i, known := byName[s.Instance]
		if s.Contacted || present || m.listed == nil || !known || !i.Up || i.Endpoint == s.ID {
			continue
		}
		if i.Endpoint == "" && i.Pool == spare || i.Endpoint != "" && m.listed[i.Endpoint].Instance == s.Instance {
			event.EndpointReplaced.Log(log.Fields{"endpoint": s.ID, "pool": s.Pool, "instance": s.Instance, "by": i.Endpoint})
			m.scheduler.RecordTermination(s.ID, schedule.LossReplaced, time.Now())
		}
	}
}
