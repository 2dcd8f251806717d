package flood

import (
	"container/heap"
	"time"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// hop is the time of one message inside a data centre.
const hop = 200 * time.Microsecond

// start is the virtual time at which a run begins.
var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// world is the virtual time of one run, with the fleet and its requests.
type world struct {
	site   site.Site
	now    time.Time
	events events
	serial int64
	// inUse is the slots that each member's tasks use, by kind and member.
	inUse [][members]int
	caps  [][members]int
	// names are the names of the members, by kind and member.
	names [][members]string
	// exceeded is the most slots that any member used above its cap.
	exceeded int
	policy   policy
}

// policy decides where and when requests run.
type policy interface {
	// arrive takes a request at an entry of its data centre.
	arrive(r *request)
	// ended tells that a request's task ended.
	ended(r *request)
}

// request is one piece of work with its fate.
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
	// endpoint is where the policy runs the request.
	endpoint *endpoint
}

// endpoint is a worker of a pool in a data centre.
type endpoint struct {
	name   string
	kind   int
	centre int
	slots  int
	used   int
}

// after runs a step of the model some time from now.
func (w *world) after(d time.Duration, step func()) {
	w.at(w.now.Add(d), step)
}

func (w *world) at(t time.Time, step func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.serial++
	heap.Push(&w.events, event{at: t, serial: w.serial, step: step})
}

// play runs all steps until none is left.
func (w *world) play() {
	for len(w.events) > 0 {
		w.step()
	}
}

func (w *world) step() {
	e, _ := heap.Pop(&w.events).(event)
	w.now = e.at
	e.step()
}

// begin starts the task of a request under a lease; its end is told to the
// policy. The endpoint stops a task at the end of its lease.
func (w *world) begin(r *request, until time.Time) {
	r.started = w.now
	w.use(r, r.slots)
	w.after(min(r.run, until.Sub(w.now)), func() {
		r.finished = w.now
		r.stopped = w.now.Sub(r.started) < r.run
		w.use(r, -r.slots)
		w.policy.ended(r)
	})
}

func (w *world) use(r *request, slots int) {
	w.inUse[r.kind][r.member] += slots
	over := w.inUse[r.kind][r.member] - w.caps[r.kind][r.member]
	w.exceeded = max(w.exceeded, over)
}

// endpoints returns the workers of the site, spread over the data centres.
func endpoints(s site.Site) (list []*endpoint) {
	for k, p := range s.Pools {
		for i := range p.Workers {
			list = append(list, &endpoint{
				name:   p.Name + string(rune('a'+i)),
				kind:   k,
				centre: (i + k) % s.DataCentres,
				slots:  site.SlotsPerWorker,
			})
		}
	}
	return list
}

// event is a step that is due at a time.
type event struct {
	at     time.Time
	serial int64
	step   func()
}

// events implements heap.Interface, earliest first.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time and then by when they were made.
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
