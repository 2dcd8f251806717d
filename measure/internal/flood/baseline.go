package flood

import (
	"container/heap"

	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// baseline is a policy without admission: one queue for each set of endpoints,
// served in a fixed order. A request that reaches the head after its deadline is
// dropped.
type baseline struct {
	sim *simulation
	// queueOf returns the queue of a request.
	queueOf func(r *request) int
	queues  []*endpointQueue
}

// endpointQueue is one queue with the endpoints that serve it, ordered by arrival, or
// by urgency and then arrival.
type endpointQueue struct {
	endpoints []*endpoint
	byUrgency bool
	waiting   requestHeap
}

// newFIFO returns a policy that serves the requests of a data centre in the order of
// arrival on all its endpoints.
func newFIFO(sim *simulation) policy {
	return newSharedQueues(sim, false)
}

// newStrictPriority returns a policy that serves the requests of a data centre by
// urgency on all its endpoints.
func newStrictPriority(sim *simulation) policy {
	return newSharedQueues(sim, true)
}

func newSharedQueues(sim *simulation, byUrgency bool) policy {
	b := &baseline{sim: sim, queueOf: func(r *request) int { return r.centre }}
	for range sim.site.DataCentres {
		b.queues = append(b.queues, &endpointQueue{byUrgency: byUrgency})
	}
	for _, e := range endpoints(sim.site) {
		q := b.queues[e.centre]
		q.endpoints = append(q.endpoints, e)
	}
	return b
}

// newStaticSplit returns a policy that gives each kind the endpoints of its own pool
// and an equal part of the spare pool, in the order of arrival.
func newStaticSplit(sim *simulation) policy {
	kinds := len(sim.site.Pools)
	b := &baseline{sim: sim, queueOf: func(r *request) int { return r.centre*kinds + r.kind }}
	for range sim.site.DataCentres * kinds {
		b.queues = append(b.queues, &endpointQueue{})
	}
	for _, e := range endpoints(sim.site) {
		if !sim.site.Pools[e.kind].Spare {
			q := b.queues[e.centre*kinds+e.kind]
			q.endpoints = append(q.endpoints, e)
			continue
		}
		b.splitEndpoint(e, kinds)
	}
	return b
}

// splitEndpoint gives each kind an equal part of an endpoint's slots; the remainder
// goes to the spare pool's own kind.
func (b *baseline) splitEndpoint(e *endpoint, kinds int) {
	for k := range kinds {
		part := *e
		part.slots = site.SlotsPerInstance / kinds
		if k == e.kind {
			part.slots += site.SlotsPerInstance % kinds
		}
		q := b.queues[e.centre*kinds+k]
		q.endpoints = append(q.endpoints, &part)
	}
}

func (b *baseline) submit(r *request) {
	q := b.queues[b.queueOf(r)]
	heap.Push(&q.waiting, queuedRequest{request: r, rank: q.rank(r)})
	b.serve(q)
}

func (q *endpointQueue) rank(r *request) int {
	if q.byUrgency {
		return int(r.urgency)
	}
	return 0
}

func (b *baseline) taskEnded(r *request) {
	r.endpoint.used -= r.slots
	b.serve(b.queues[b.queueOf(r)])
}

// serve starts requests from the head until the first one that does not fit.
func (b *baseline) serve(q *endpointQueue) {
	for len(q.waiting) > 0 {
		r := q.waiting[0].request
		if !b.sim.now.Before(r.deadline) {
			heap.Pop(&q.waiting)
			continue
		}
		e := q.mostFreeEndpoint(r.slots)
		if e == nil {
			return
		}
		heap.Pop(&q.waiting)
		e.used += r.slots
		r.endpoint = e
		b.sim.startTask(r, b.sim.now.Add(r.run))
	}
}

func (q *endpointQueue) mostFreeEndpoint(slots int) (best *endpoint) {
	for _, e := range q.endpoints {
		if e.slots-e.used >= slots && (best == nil || e.slots-e.used > best.slots-best.used) {
			best = e
		}
	}
	return best
}

// queuedRequest is a request in a queue.
type queuedRequest struct {
	request *request
	rank    int
}

// requestHeap implements heap.Interface, lowest rank and earliest arrival first.
type requestHeap []queuedRequest

// Len returns the number of requests.
func (w requestHeap) Len() int { return len(w) }

// Less orders requests by rank and arrival.
func (w requestHeap) Less(i, j int) bool {
	if w[i].rank != w[j].rank {
		return w[i].rank < w[j].rank
	}
	return w[i].request.arrived.Before(w[j].request.arrived)
}

// Swap exchanges two requests.
func (w requestHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push appends a request; only container/heap calls it.
func (w *requestHeap) Push(x any) {
	if p, isPlace := x.(queuedRequest); isPlace {
		*w = append(*w, p)
	}
}

// Pop removes the last request; only container/heap calls it.
func (w *requestHeap) Pop() any {
	last := len(*w) - 1
	p := (*w)[last]
	(*w)[last] = queuedRequest{}
	*w = (*w)[:last]
	return p
}
