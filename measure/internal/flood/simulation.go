package flood

import (
	"container/heap"
	"time"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// messageDelay is the one-way latency of a message inside a data centre.
const messageDelay = 200 * time.Microsecond

// start is the virtual time at which a run begins.
var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// simulation is one run: the event queue with its virtual time, the use of slots,
// and the policy.
type simulation struct {
	site   site.Site
	now    time.Time
	events events
	serial int64
	// inUse is the number of slots in use, by kind and member.
	inUse [][members]int
	caps  [][members]int
	// names are the member names, by kind and member.
	names [][members]string
	// maxOverCap is the maximum number of slots that any member used above its cap.
	maxOverCap int
	policy     policy
}

// policy decides where and when requests run.
type policy interface {
	// submit receives a request at an entry of its data centre.
	submit(r *request)
	// taskEnded reports that a request's task has ended.
	taskEnded(r *request)
}

// request is one request with its drawn properties and its outcome.
type request struct {
	id       string
	kind     int
	member   int
	centre   int
	urgency  share.Urgency
	slots    int
	run      time.Duration
	declared time.Duration
	arrived  time.Time
	deadline time.Time
	started  time.Time
	finished time.Time
	refused  bool
	// stopped is set if the lease ended before the task.
	stopped bool
	// endpoint is the endpoint that a baseline policy placed the request on.
	endpoint *endpoint
}

// endpoint is one endpoint of a pool, with its data centre and its used slots.
type endpoint struct {
	name   string
	kind   int
	centre int
	slots  int
	used   int
}

// after schedules a step of the model some time from now.
func (sim *simulation) after(d time.Duration, step func()) {
	sim.at(sim.now.Add(d), step)
}

func (sim *simulation) at(t time.Time, step func()) {
	if t.Before(sim.now) {
		t = sim.now
	}
	sim.serial++
	heap.Push(&sim.events, event{at: t, serial: sim.serial, action: step})
}

// runEvents runs all scheduled steps until none is left.
func (sim *simulation) runEvents() {
	for len(sim.events) > 0 {
		sim.runNextEvent()
	}
}

func (sim *simulation) runNextEvent() {
	e, _ := heap.Pop(&sim.events).(event)
	sim.now = e.at
	e.action()
}

// startTask starts the task of a request under a lease and reports its end to the
// policy. The endpoint stops a task at the end of its lease.
func (sim *simulation) startTask(r *request, until time.Time) {
	r.started = sim.now
	sim.addInUse(r, r.slots)
	sim.after(min(r.run, until.Sub(sim.now)), func() {
		r.finished = sim.now
		r.stopped = sim.now.Sub(r.started) < r.run
		sim.addInUse(r, -r.slots)
		sim.policy.taskEnded(r)
	})
}

func (sim *simulation) addInUse(r *request, slots int) {
	sim.inUse[r.kind][r.member] += slots
	over := sim.inUse[r.kind][r.member] - sim.caps[r.kind][r.member]
	sim.maxOverCap = max(sim.maxOverCap, over)
}

// endpoints returns the endpoints of the site, distributed over the data centres.
func endpoints(s site.Site) (list []*endpoint) {
	for k, p := range s.Pools {
		for i := range p.Instances {
			list = append(list, &endpoint{
				name:   p.Name + string(rune('a'+i)),
				kind:   k,
				centre: (i + k) % s.DataCentres,
				slots:  site.SlotsPerInstance,
			})
		}
	}
	return list
}

// event is an action that is scheduled at a time.
type event struct {
	at     time.Time
	serial int64
	action func()
}

// events implements heap.Interface, earliest first.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time and then in the order in which they were scheduled.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; only container/heap calls it.
func (e *events) Push(x any) {
	if v, isEvent := x.(event); isEvent {
		*e = append(*e, v)
	}
}

// Pop removes the last event; only container/heap calls it.
func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return v
}
