package manager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
)

const (
	// durationsKey holds what the owner has learned about the run times of tasks.
	durationsKey = "azurepoint/durations"
	// durationsInterval is the time between two writes of the record.
	durationsInterval = 10 * time.Second
	// maxStoredQueues limits the queues in the record, each of which takes up to 500 bytes.
	maxStoredQueues = 256
)

// runDurations loads what the previous owner has learned about run times, and stores it
// periodically until the context ends. Neither delays the start of a term or a plan: without
// the record, run times are learned again.
func (m *Manager) runDurations(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		if !m.Settings.MeanDurations {
			m.keepDurations(ctx)
		}
		ended <- nil
	}()
	return ended
}

func (m *Manager) keepDurations(ctx context.Context) {
	record := ownedRecord{key: durationsKey}
	for ctx.Err() == nil {
		err := m.loadDurations(ctx, &record)
		if err == nil {
			break
		}
		event.RecordFailed.Log(log.Fields{"key": durationsKey, "action": "load", "error": err.Error()})
		retry.Sleep(ctx, durationsInterval)
	}
	stored := 0
	for ctx.Err() == nil {
		retry.Sleep(ctx, durationsInterval)
		if ctx.Err() != nil || !m.Term.Confirmed() {
			continue
		}
		version, err := m.storeDurations(ctx, &record, stored)
		switch {
		case err == nil:
			stored = version
		case errors.Is(err, errTermOver):
			m.endTerm()
			return
		default:
			event.RecordFailed.Log(log.Fields{"key": durationsKey, "error": err.Error()})
		}
	}
}

// loadDurations passes the stored run times to the scheduler. A record that cannot be read
// is dropped: the next one replaces it.
func (m *Manager) loadDurations(ctx context.Context, record *ownedRecord) (err error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	value, found, err := record.load(ctx, m.Store)
	if err != nil || !found {
		return err
	}
	var state duration.State
	invalid := json.Unmarshal(value, &state)
	if invalid == nil {
		m.mu.Lock()
		invalid = m.scheduler.LoadDurations(state, time.Now())
		m.mu.Unlock()
	}
	if invalid != nil {
		event.DurationsInvalid.Log(log.Fields{"key": durationsKey, "error": invalid.Error()})
	}
	return nil
}

// storeDurations stores the learned run times unless their version is stored already, and
// returns the stored version.
func (m *Manager) storeDurations(ctx context.Context, record *ownedRecord, stored int) (version int, err error) {
	m.mu.Lock()
	state, version := m.scheduler.DurationState(maxStoredQueues)
	m.mu.Unlock()
	if version == stored {
		return stored, nil
	}
	value, err := json.Marshal(state)
	if err != nil {
		return stored, err
	}
	if err = record.save(ctx, m.Store, m.Term.Owner, value); err != nil {
		return stored, err
	}
	return version, nil
}
