package manager

import (
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

const (
	// usesMeterInterval is how often the use of the organisations is put into the metrics;
	// it visits every unfinished job.
	usesMeterInterval = 5 * time.Second
	// maxMeteredOrganisations limits the organisations that have metrics of their own.
	maxMeteredOrganisations = 20
	usePrefix               = "organisation."
	// runsPrefix is that of the metrics of the bounds of runs.
	runsPrefix = "runs."
)

// updateOrganisations passes the terms of the organisations to the scheduler. It reports
// whether they are known: without them a start may exceed a limit.
func (m *Manager) updateOrganisations(now time.Time) (known bool) {
	if m.Organisations == nil {
		return true
	}
	terms, known := m.Organisations()
	if !known {
		return false
	}
	m.scheduler.SetOrganisations(terms)
	if now.Sub(m.usesMeteredAt) >= usesMeterInterval {
		m.usesMeteredAt = now
		m.meterUses(now)
	}
	return true
}

// meterUses puts the use of the organisations, and what counts against the bounds of runs, into the metrics.
func (m *Manager) meterUses(now time.Time) {
	values := make(map[string]int64)
	for _, u := range m.scheduler.OrganisationUses(maxMeteredOrganisations, now) {
		values[u.Organisation+".runningCpu"] = int64(u.Running.CPU)
		values[u.Organisation+".waitingTasks"] = int64(u.WaitingTasks)
		values[u.Organisation+".surplusJobs"] = int64(u.SurplusJobs)
		values[u.Organisation+".limitCpu"] = int64(u.Limit.CPU)
	}
	meter.ReplaceGauges(usePrefix, values)
	meter.Add("organisations.startsHeld", m.scheduler.Counts.HeldByLimit-m.heldMetered)
	m.heldMetered = m.scheduler.Counts.HeldByLimit
	b := m.scheduler.RunBounds()
	meter.ReplaceGauges(runsPrefix, map[string]int64{
		"small": int64(b.SmallRuns), "smallLongRunning": int64(b.SmallLongRunning), "fullEndpoints": int64(b.FullEndpoints),
	})
}

// logOrganisationLimit counts and logs an organisation that has reached or left its limit.
func logOrganisationLimit(l schedule.OrganisationLimit) {
	fields := log.Fields{
		"organisation": l.Organisation, "cpu": l.Running.CPU, "memoryMb": l.Running.MemoryMB, "gpu": l.Running.GPU,
		"limitCpu": l.Limit.CPU, "limitMemoryMb": l.Limit.MemoryMB, "limitGpu": l.Limit.GPU,
	}
	if l.Reached {
		meter.Count("organisations.limitReached")
		if event.LimitReachedLimited.Allow() {
			event.LimitReached.Log(fields)
		}
		return
	}
	fields["heldMillis"] = l.Held.Milliseconds()
	if event.LimitLeftLimited.Allow() {
		event.LimitLeft.Log(fields)
	}
}

// logHeldGang counts and logs a gang that waits for a higher limit of its organisation.
func logHeldGang(h schedule.HeldGang) {
	meter.Count("organisations.gangsAboveLimit")
	event.GangAboveLimit.Log(log.Fields{
		"job": h.Job, "organisation": h.Organisation, "step": h.Step, "tasks": h.Tasks,
		"cpu": h.Size.CPU, "memoryMb": h.Size.MemoryMB, "gpu": h.Size.GPU,
		"limitCpu": h.Limit.CPU, "limitMemoryMb": h.Limit.MemoryMB, "limitGpu": h.Limit.GPU,
	})
}
