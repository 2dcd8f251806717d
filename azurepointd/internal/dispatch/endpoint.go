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

// statusTimeout bounds one reading of an endpoint's status.
const statusTimeout = time.Second

// recheckAfter is how soon a status is read again while it shows tasks of
// other dispatchers or refuses work.
const recheckAfter = 500 * time.Millisecond

// usageEvery is how often a status is read for the sizes of tasks and for an
// endpoint that drains by itself, which has to get no work within 5 s.
const usageEvery = 4 * time.Second

// Pauses after a refusal when no status can be read; each refusal doubles it.
const (
	shortestPause = 2 * time.Second
	longestPause  = time.Minute
)

// endpoint is what the dispatcher knows of an instance of the pool.
type endpoint struct {
	instance fleet.Instance
	limiter  limit.Limiter
	// closed is why the endpoint gets no work; empty means that it does.
	closed string
	// refused is set by a refusal of the endpoint until its status says that
	// it is serving.
	refused bool
	// retryAt is when a refusal is forgotten if no status can be read.
	retryAt time.Time
	pause   time.Duration
	// fence is that of the last status; grants carry it, so that tasks sent late
	// are refused once the endpoint has rebooted or has been moved.
	fence int64
	// unread is set from a take-over until the first reading of the status.
	unread bool
	// foreign are the tasks that ran before this dispatcher granted anything
	// here, with their slots, until they end.
	foreign []endpointapi.Usage
	// busy is the slots in use by tasks that this dispatcher did not grant.
	busy int
	// checkAt is when the status is read next.
	checkAt time.Time
	reading bool
	// unreachable is set while the status cannot be read.
	unreachable bool
}

// closedFor returns why the endpoint gets no new work, or nothing.
func (e *endpoint) closedFor(f Fleet, state health.State, now time.Time) (reason string) {
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

func (e *endpoint) log(pool, reason string) {
	fields := log.Fields{"pool": pool, "endpoint": e.instance.Name}
	if reason == "" {
		event.EndpointOpened.Log(fields)
		return
	}
	fields["reason"] = reason
	event.EndpointClosed.Log(fields)
}

// refuse notes that the endpoint refused work: it is leaving or busy.
func (e *endpoint) refuse(now time.Time, statusKnown bool) {
	e.refused = true
	e.checkAt = now
	if statusKnown {
		e.retryAt = time.Time{}
		return
	}
	e.pause = min(max(2*e.pause, shortestPause), longestPause)
	e.retryAt = now.Add(e.pause)
}

// readStatuses starts the readings that are due; the caller holds the lock.
func (d *Dispatcher) readStatuses(ctx context.Context, p *pool, now time.Time) {
	if d.Endpoints == nil || p.handedOver {
		return
	}
	for _, e := range p.endpoints {
		if e.reading || now.Before(e.checkAt) {
			continue
		}
		e.reading = true
		d.start(func() { d.readStatus(ctx, p, e) })
	}
}

// readStatus reads one status and notes it.
func (d *Dispatcher) readStatus(ctx context.Context, p *pool, e *endpoint) {
	d.mu.Lock()
	name, address := e.instance.Name, e.instance.Address
	d.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := d.Endpoints.Status(limited, address)

	d.mu.Lock()
	defer d.mu.Unlock()
	e.reading = false
	now := time.Now()
	if err != nil {
		e.fail(now, err)
	} else {
		_, own := p.queue.Load(name)
		e.note(status, own, now)
		p.learnUsage(status)
	}
	p.reopen(now)
	d.ledger.SetForeign(p.name, p.busy())
	p.decide(now)
	d.kick()
}

// fail notes that the status could not be read. Work goes on: the homes may
// reach an endpoint that this entry does not reach.
func (e *endpoint) fail(now time.Time, err error) {
	e.unread = false
	e.checkAt = now.Add(recheckAfter)
	if !e.unreachable {
		event.StatusFailed.Log(log.Fields{"endpoint": e.instance.Name, "error": err.Error()})
	}
	e.unreachable = true
}

// note takes over what an endpoint says of itself, given the slots that this
// dispatcher granted there. Tasks are not told apart by their names: a task
// that runs while nothing is granted here belongs to an earlier dispatcher.
// After a refusal, all tasks beyond the own grants count as such.
func (e *endpoint) note(s *endpointapi.Status, own int, now time.Time) {
	serving := s.State == endpointapi.EndpointStateServing
	running := runningTasks(s)
	if e.unread && own == 0 {
		e.foreign = running
	} else {
		e.foreign = slices.DeleteFunc(e.foreign, func(u endpointapi.Usage) bool {
			return !slices.Contains(s.Running, u.Task)
		})
	}
	e.busy = slotsOf(e.foreign)
	if e.refused && serving {
		e.busy = max(e.busy, slotsOf(running)-own)
		e.limiter.Refuse(own + e.busy)
	}
	e.unread, e.unreachable, e.refused = false, false, !serving
	e.fence = s.Fence
	e.checkAt = now.Add(usageEvery)
	if e.refused || e.busy > 0 {
		e.checkAt = now.Add(recheckAfter)
		return
	}
	e.pause = 0
}

// runningTasks returns the running tasks with their slots; a task without
// usage yet counts as one slot.
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
