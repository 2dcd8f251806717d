package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/health"
	"github.com/azurepoint/azurepoint/coordination/limit"
)

// statusTimeout bounds one read of the status of an endpoint.
const statusTimeout = time.Second

// recheckInterval is the time until the next read of a status that shows tasks
// of other dispatchers or an endpoint that refuses work, and after a failed
// read.
const recheckInterval = 500 * time.Millisecond

// statusInterval is the time between two regular reads of a status. They report
// the sizes of tasks and detect an endpoint that begins to drain by itself,
// which must get no work within 5 s.
const statusInterval = 4 * time.Second

// Delays until an endpoint that refused work is tried again if its status
// cannot be read; each refusal doubles the delay.
const (
	minRetryDelay = 2 * time.Second
	maxRetryDelay = time.Minute
)

// endpointStatus is the observed state of an instance of the pool.
type endpointStatus struct {
	instance fleet.Instance
	limiter  limit.Limiter
	// closedReason is the reason why the endpoint gets no new work; empty if it
	// is available.
	closedReason string
	// refused is set from a refusal of work until the status reports that the
	// endpoint is serving.
	refused bool
	// retryAt is when the endpoint is tried again after a refusal if its status
	// cannot be read.
	retryAt    time.Time
	retryDelay time.Duration
	// fence is the fencing token of the last status. Grants carry it, so that
	// the endpoint refuses delayed tasks after it has rebooted or was moved.
	fence int64
	// statusPending is set from a takeover, or a new phase of the instance,
	// until the first read of the status.
	statusPending bool
	// foreignTasks are the tasks that ran before this dispatcher granted
	// anything here, with their slots, until they end.
	foreignTasks []endpointapi.Usage
	// foreignSlots is the number of slots in use by tasks that this dispatcher
	// did not grant.
	foreignSlots int
	// statusDueAt is when the status is read next.
	statusDueAt   time.Time
	readingStatus bool
	// outdatedRead is set if the status that is being read was requested before the
	// event for which it is due.
	outdatedRead bool
	// unreachable is set after a failed read, so that only the first failure is
	// logged.
	unreachable bool
}

// scheduleStatusRead makes a read of the status due. One that is under way does not count.
func (e *endpointStatus) scheduleStatusRead(now time.Time) {
	e.statusDueAt, e.outdatedRead = now, e.readingStatus
}

// whyUnavailable returns the reason why the endpoint gets no new work, or an
// empty string.
func (e *endpointStatus) whyUnavailable(f Fleet, state health.State, now time.Time) (reason string) {
	if e.refused && !e.retryAt.IsZero() && !now.Before(e.retryAt) {
		e.refused = false
	}
	switch {
	case e.instance.Phase != fleet.Serving:
		return string(e.instance.Phase)
	case e.instance.Failed:
		return "failed"
	case f.Leaving(e.instance.Name):
		return "leaving"
	case e.refused:
		return "refused"
	case state == health.Ejected:
		return "ejected"
	default:
		return ""
	}
}

func (e *endpointStatus) logAvailability(pool, reason string) {
	fields := log.Fields{"pool": pool, "endpoint": e.instance.Name}
	if reason == "" {
		event.EndpointAvailable.Log(fields)
		return
	}
	fields["reason"] = reason
	event.EndpointUnavailable.Log(fields)
}

// recordRefusal closes an endpoint that refused work because it is leaving or
// busy, and schedules a read of its status now. If no status can be read, the
// endpoint is tried again after a delay.
func (e *endpointStatus) recordRefusal(now time.Time, statusReadable bool) {
	e.refused = true
	e.scheduleStatusRead(now)
	if statusReadable {
		e.retryAt = time.Time{}
		return
	}
	e.retryDelay = min(max(2*e.retryDelay, minRetryDelay), maxRetryDelay)
	e.retryAt = now.Add(e.retryDelay)
}

// startStatusReads starts the status reads that are due; the caller holds the
// lock.
func (d *Dispatcher) startStatusReads(ctx context.Context, p *pool, now time.Time) {
	if d.Endpoints == nil || p.handedOver {
		return
	}
	for _, e := range p.endpoints {
		if e.readingStatus || now.Before(e.statusDueAt) {
			continue
		}
		e.readingStatus = true
		d.goBackground(func() { d.readStatus(ctx, p, e) })
	}
}

// readStatus reads the status of one endpoint and applies it.
func (d *Dispatcher) readStatus(ctx context.Context, p *pool, e *endpointStatus) {
	d.mu.Lock()
	name, address := e.instance.Name, e.instance.Address
	d.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := d.Endpoints.Status(callCtx, address)

	d.mu.Lock()
	defer d.mu.Unlock()
	e.readingStatus = false
	now := time.Now()
	if e.outdatedRead {
		e.outdatedRead = false
		d.wakeLoop()
		return
	}
	if err != nil {
		e.recordFailedRead(now, err)
	} else {
		_, ownSlots := p.queue.Load(name)
		e.applyStatus(status, ownSlots, now)
		p.observeUsage(status)
	}
	p.updateEndpoints(now)
	d.ledger.SetUntracked(p.name, p.foreignSlots())
	p.decideQueue(now)
	d.wakeLoop()
}

// recordFailedRead records that the status could not be read. The endpoint
// stays available, because the entries that send tasks may reach it even if
// this entry does not.
func (e *endpointStatus) recordFailedRead(now time.Time, err error) {
	e.statusPending = false
	e.statusDueAt = now.Add(recheckInterval)
	if !e.unreachable {
		event.StatusFailed.Log(log.Fields{"endpoint": e.instance.Name, "error": err.Error()})
	}
	e.unreachable = true
}

// applyStatus applies the status that an endpoint reports. ownSlots is the
// number of slots that this dispatcher granted there. Tasks are not identified
// by their names: a task that runs while nothing is granted here belongs to an
// earlier dispatcher. After a refusal, all slots in use beyond the own grants
// count as foreign.
func (e *endpointStatus) applyStatus(s *endpointapi.Status, ownSlots int, now time.Time) {
	serving := s.State == endpointapi.EndpointStateServing
	running := runningTasks(s)
	if e.statusPending && ownSlots == 0 {
		e.foreignTasks = running
	} else {
		e.foreignTasks = slices.DeleteFunc(e.foreignTasks, func(u endpointapi.Usage) bool {
			return !slices.Contains(s.Running, u.Task)
		})
	}
	e.foreignSlots = slotsOf(e.foreignTasks)
	if e.refused && serving {
		e.foreignSlots = max(e.foreignSlots, slotsOf(running)-ownSlots)
		e.limiter.ObserveRefusal(ownSlots + e.foreignSlots)
	}
	e.statusPending, e.unreachable, e.refused = false, false, !serving
	e.fence = s.Fence
	e.statusDueAt = now.Add(statusInterval)
	if e.refused || e.foreignSlots > 0 {
		e.statusDueAt = now.Add(recheckInterval)
		return
	}
	e.retryDelay = 0
}

// runningTasks returns the running tasks with their slots. A task without a
// reported usage counts as one slot.
func runningTasks(s *endpointapi.Status) (tasks []endpointapi.Usage) {
	slots := make(map[string]int, len(s.Usage))
	for _, u := range s.Usage {
		slots[u.Task] = u.Slots
	}
	for _, id := range s.Running {
		tasks = append(tasks, endpointapi.Usage{Task: id, Slots: max(1, slots[id])})
	}
	return tasks
}

func slotsOf(tasks []endpointapi.Usage) (slots int) {
	for _, u := range tasks {
		slots += u.Slots
	}
	return slots
}
