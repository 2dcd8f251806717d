package schedule

import (
	"slices"
	"time"
)

// Capacity is the room of an endpoint, or the room that a task takes.
type Capacity struct {
	// CPU is in thousandths of a core.
	CPU      int
	MemoryMB int
	GPU      int
}

func (c Capacity) plus(o Capacity) Capacity {
	return Capacity{c.CPU + o.CPU, c.MemoryMB + o.MemoryMB, c.GPU + o.GPU}
}

func (c Capacity) minus(o Capacity) Capacity {
	return Capacity{c.CPU - o.CPU, c.MemoryMB - o.MemoryMB, c.GPU - o.GPU}
}

// holds tells whether o fits into c.
func (c Capacity) holds(o Capacity) bool {
	return o.CPU <= c.CPU && o.MemoryMB <= c.MemoryMB && o.GPU <= c.GPU
}

// Endpoint is what the list of endpoints says of one lifetime of an endpoint.
type Endpoint struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Capacity
	Draining   bool
	// Instance is the instance of which the endpoint is one lifetime.
	Instance string
}

// endpoint is an endpoint with what the scheduler knows of it.
type endpoint struct {
	Endpoint

	listed bool
	// joinedAt is when the endpoint became known.
	joinedAt time.Time
	// seen is set once the endpoint has answered this owner.
	seen bool
	// silentSince is the time of the first unanswered call since the last answer.
	silentSince time.Time
	// reportedAt is when the last look was answered.
	reportedAt time.Time
	// lagsUntil is until when the endpoint counts as slow.
	lagsUntil time.Time
	// doubts counts orders without an answer since the last answered look.
	doubts int
	// leaseUntil is when every lease that may have been granted has lapsed.
	leaseUntil time.Time
	// born identifies the lifetime of the endpoint's process.
	born int64
	// applied is the highest number of an end that was applied.
	applied int64
	// acknowledged is the highest number whose effect is stored.
	acknowledged int64
	// unstored are the applied ends whose effect is not known to be stored.
	unstored []appliedEnd

	runs map[string]*run
	used Capacity

	// failures counts failed runs since the last success.
	failures int
	// avoidUntil keeps new work away after failures.
	avoidUntil time.Time
	// upkeep and moving keep new work away before planned upkeep and before a move.
	upkeep, moving bool
	// kept is the room that only lasting tasks may take.
	kept Capacity
	// clearing keeps new work away until the endpoint is idle and can move to a pool
	// that needs it.
	clearing bool
	// due tells that the endpoint's instance still has its upkeep before it.
	due bool
	// unknownRuns are listed runs of unknown size, with their numbers; they are
	// stopped, and the endpoint gets no work until they are gone.
	unknownRuns map[string]unknownRun
}

// unknownRun is a listed run of which only the number is known.
type unknownRun struct {
	number   int
	stopSent bool
}

// appliedEnd is an end that waits until its job's record is stored.
type appliedEnd struct {
	number  int64
	job     *jobState
	version int
}

// unsettled tells whether a run waits for a look that shows whether it goes on.
func (e *endpoint) unsettled() bool {
	for _, r := range e.runs {
		if r.state == uncertain {
			return true
		}
	}
	return false
}

// warming tells whether a lasting task starts up on the endpoint.
func (e *endpoint) warming() bool {
	for _, r := range e.runs {
		if r.task.step.LongRunning && r.percent < atWork {
			return true
		}
	}
	return false
}

// silent tells whether the endpoint has left calls unanswered.
func (e *endpoint) silent() bool {
	return !e.silentSince.IsZero()
}

// usable tells whether new tasks may be started.
func (e *endpoint) usable() bool {
	return e.listed && e.seen && !e.Draining && !e.reserved() && !e.silent() && len(e.unknownRuns) == 0
}

// reserved tells whether the endpoint is about to be taken away.
func (e *endpoint) reserved() bool {
	return e.upkeep || e.moving
}

func (e *endpoint) free() Capacity {
	return e.Capacity.minus(e.used)
}

// freeFor returns the room that a task of the step may take.
func (e *endpoint) freeFor(st *stepState) Capacity {
	if st.step.LongRunning {
		return e.free()
	}
	return e.free().minus(e.kept)
}

// takes tells whether the endpoint may run the task beside others of its step, of
// which some more are about to be placed there, if it has room.
func (e *endpoint) takes(st *stepState, t *task, more int) bool {
	if !e.hasLabel(st.step.Requires) || e.runs[t.name] != nil {
		return false
	}
	a := st.step.AntiAffinity
	return a <= 0 || e.count(st, t)+more < a
}

// lasting returns the room that lasting tasks take.
func (e *endpoint) lasting() (room Capacity) {
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			room = room.plus(r.size)
		}
	}
	return room
}

func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.Labels, label)
}

// advanceAcknowledged moves the acknowledged number over all ends whose effect is
// stored, in order.
func (e *endpoint) advanceAcknowledged() {
	for len(e.unstored) > 0 {
		first := e.unstored[0]
		if first.job != nil && first.job.stored < first.version {
			return
		}
		e.acknowledged = first.number
		e.unstored = e.unstored[1:]
	}
}
