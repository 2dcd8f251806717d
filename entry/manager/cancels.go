package manager

import (
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/entry/event"
)

// cancels are the jobs that are marked as cancelled, with the time up to which all marks are known.
type cancels struct {
	marked []string
	asOf   time.Time
}

// readCancels returns the jobs that are marked as cancelled. The time is read first, so that no
// mark of before is missing.
func (m *Manager) readCancels() (c cancels) {
	if m.CancelsAsOf != nil {
		c.asOf = m.CancelsAsOf()
	}
	if m.CancelMarks != nil {
		c.marked = m.CancelMarks()
	}
	return c
}

// applyCancels passes marked jobs to the scheduler; m.mu is held. Their callers were told that no
// task starts any more, and to remove the marks takes calls to the store.
func (m *Manager) applyCancels(c cancels, now time.Time) {
	for _, id := range c.marked {
		m.scheduler.CancelJob(id, now)
	}
	m.scheduler.ConfirmCancels(c.asOf)
}

// logWithheldStarts logs when starts begin and end to be withheld because marks may be unread; m.mu
// is held.
func (m *Manager) logWithheldStarts(c cancels, now time.Time) {
	withheld := m.scheduler.StartsWithheld(now)
	if withheld != m.withheldSince.IsZero() {
		return
	}
	if !withheld {
		event.StartsResumed.Log(log.Fields{"term": m.Term.Number, "withheldMillis": now.Sub(m.withheldSince).Milliseconds()})
		m.withheldSince = time.Time{}
		return
	}
	m.withheldSince = now
	fields := log.Fields{"term": m.Term.Number}
	if !c.asOf.IsZero() {
		fields["ageMillis"] = now.Sub(c.asOf).Milliseconds()
	}
	event.StartsWithheld.Log(fields)
}
