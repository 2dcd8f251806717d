package flood

import (
	"container/heap"

	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// baseline is a policy without admission: one queue for each set of endpoints,
// served in a fixed order. A request is dropped when it gets to the head after
// its deadline.
type baseline struct {
	world *world
	// queueOf returns the queue of a request.
	queueOf func(r *request) int
	queues  []*baseQueue
}

// baseQueue is one queue with the endpoints that serve it. Its order is that of
// arrival, or that of urgency and arrival.
type baseQueue struct {
	endpoints []*endpoint
	byUrgency bool
	waiting   waiting
}

// newFIFO serves requests first come first served over all endpoints of their
// data centre.
func newFIFO(w *world) policy {
	return newShared(w, false)
}

// newStrictPriority serves the most urgent request first over all endpoints of
// its data centre.
func newStrictPriority(w *world) policy {
	return newShared(w, true)
}

func newShared(w *world, byUrgency bool) policy {
	b := &baseline{world: w, queueOf: func(r *request) int { return r.centre }}
	for range w.site.DataCentres {
		b.queues = append(b.queues, &baseQueue{byUrgency: byUrgency})
	}
	for _, e := range endpoints(w.site) {
		q := b.queues[e.centre]
		q.endpoints = append(q.endpoints, e)
	}
	return b
}

// newStaticSplit gives each kind the endpoints of its own pool and an equal
// part of the spare pool, first come first served.
func newStaticSplit(w *world) policy {
	kinds := len(w.site.Pools)
	b := &baseline{world: w, queueOf: func(r *request) int { return r.centre*kinds + r.kind }}
	for range w.site.DataCentres * kinds {
		b.queues = append(b.queues, &baseQueue{})
	}
	for _, e := range endpoints(w.site) {
		if !w.site.Pools[e.kind].Spare {
			q := b.queues[e.centre*kinds+e.kind]
			q.endpoints = append(q.endpoints, e)
			continue
		}
		b.divide(e, kinds)
	}
	return b
}

// divide gives each kind a part of an endpoint's slots; what cannot be divided
// goes to the spare pool's own kind.
func (b *baseline) divide(e *endpoint, kinds int) {
	for k := range kinds {
		part := *e
		part.slots = site.SlotsPerWorker / kinds
		if k == e.kind {
			part.slots += site.SlotsPerWorker % kinds
		}
		q := b.queues[e.centre*kinds+k]
		q.endpoints = append(q.endpoints, &part)
	}
}

func (b *baseline) arrive(r *request) {
	q := b.queues[b.queueOf(r)]
	heap.Push(&q.waiting, place{request: r, rank: q.rank(r)})
	b.serve(q)
}

func (q *baseQueue) rank(r *request) int {
	if q.byUrgency {
		return int(r.urgency)
	}
	return 0
}

func (b *baseline) ended(r *request) {
	r.endpoint.used -= r.slots
	b.serve(b.queues[b.queueOf(r)])
}

// serve starts requests from the head until the first one does not fit.
func (b *baseline) serve(q *baseQueue) {
	for len(q.waiting) > 0 {
		r := q.waiting[0].request
		if !b.world.now.Before(r.deadline) {
			heap.Pop(&q.waiting)
			continue
		}
		e := q.free(r.slots)
		if e == nil {
			return
		}
		heap.Pop(&q.waiting)
		e.used += r.slots
		r.endpoint = e
		b.world.begin(r, b.world.now.Add(r.run))
	}
}

func (q *baseQueue) free(slots int) (best *endpoint) {
	for _, e := range q.endpoints {
		if e.slots-e.used >= slots && (best == nil || e.slots-e.used > best.slots-best.used) {
			best = e
		}
	}
	return best
}

// place is a request in a queue.
type place struct {
	request *request
	rank    int
}

// waiting implements heap.Interface, lowest rank and earliest arrival first.
type waiting []place

// Len returns the number of requests.
func (w waiting) Len() int { return len(w) }

// Less orders requests by rank and arrival.
func (w waiting) Less(i, j int) bool {
	if w[i].rank != w[j].rank {
		return w[i].rank < w[j].rank
	}
	return w[i].request.arrived.Before(w[j].request.arrived)
}

// Swap exchanges two requests.
func (w waiting) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push appends a request; only container/heap calls it.
func (w *waiting) Push(x any) {
	if p, isPlace := x.(place); isPlace {
		*w = append(*w, p)
	}
}

// Pop removes the last request; only container/heap calls it.
func (w *waiting) Pop() any {
	last := len(*w) - 1
	p := (*w)[last]
	(*w)[last] = place{}
	*w = (*w)[:last]
	return p
}
