package flood

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/limit"
	"github.com/azurepoint/azurepoint/coordination/quota"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// clockError is what the daemon assumes by default.
const clockError = 250 * time.Millisecond

// longestLease is that of the dispatcher.
const longestLease = time.Hour - 20*time.Second

// current is our policy: one dispatcher for each pool in each data centre,
// called as internal/dispatch of the daemon calls it.
type current struct {
	world   *world
	centres []*centre
	state   *fleet.State
}

// centre is the dispatchers of a data centre. They share the learned run times,
// as if one entry owned all pools.
type centre struct {
	policy *current
	name   string
	index  int
	pools  []*dispatcher
	spare  *dispatcher
	// asked are the asks that wait, by ID.
	asked     map[string]*ask
	estimator limit.Estimator
	ledger    quota.Ledger
}

// dispatcher is the queue of a pool in a data centre.
type dispatcher struct {
	centre *centre
	kind   int
	name   string
	queue  share.Queue
	// open are the requests that wait or run, by ID.
	open map[string]*request
	// asks are the requests that wait at the spare pool for this pool.
	asks      map[askKind][]*ask
	pauses    map[askKind]time.Time
	spareIDs  map[string]string
	shortages map[string]*shortage
	serial    int
	stepAt    time.Time
	wakeAt    time.Time
}

func newCurrent(w *world) policy {
	c := &current{world: w, state: configuration(w)}
	for i := range w.site.DataCentres {
		c.centres = append(c.centres, c.newCentre(i))
	}
	for _, e := range endpoints(w.site) {
		d := c.centres[e.centre].pools[e.kind]
		d.queue.SetEndpoint(share.Endpoint{Name: e.name, Slots: e.slots})
	}
	for _, x := range c.centres {
		for _, d := range x.pools {
			if d != x.spare {
				d.queue.SetOverflow(x.overflow())
			}
		}
	}
	return c
}

func (c *current) newCentre(index int) (x *centre) {
	x = &centre{policy: c, name: centreName(index), index: index, asked: make(map[string]*ask)}
	ownW, _ := strconv.Atoi(os.Getenv("OWNW"))
	x.ledger = quota.Ledger{DataCentre: x.name, ClockError: clockError}
	x.ledger.Observe(c.state)
	x.ledger.Confirm(c.state.Version, start.Add(-2*time.Hour))
	for k, p := range c.world.site.Pools {
		d := &dispatcher{
			centre:    x,
			kind:      k,
			name:      p.Name,
			open:      make(map[string]*request),
			asks:      make(map[askKind][]*ask),
			pauses:    make(map[askKind]time.Time),
			spareIDs:  make(map[string]string),
			shortages: make(map[string]*shortage),
		}
		d.queue = share.Queue{ClockError: clockError, Quota: caps{d}}
		d.queue.SetGroup("", ownW)
		x.pools = append(x.pools, d)
		if p.Spare {
			x.spare = d
		}
		x.ledger.Open(p.Name)
		x.ledger.Settle(p.Name, 0, time.Time{})
	}
	return x
}

// overflow is what each pool may count on in the spare pool.
func (x *centre) overflow() (o share.Overflow) {
	for _, e := range x.spare.queue.Endpoints() {
		o.Largest = max(o.Largest, e.Slots)
		o.Slots += e.Slots
	}
	o.Slots /= len(x.pools)
	return o
}

// configuration is the site as the change log would have it.
func configuration(w *world) (s *fleet.State) {
	s = &fleet.State{
		Version:   1,
		Pools:     make(map[string]fleet.Pool),
		Members:   make(map[string]fleet.Member),
		Instances: make(map[string]fleet.Instance),
	}
	for k, p := range w.site.Pools {
		s.Pools[p.Name] = fleet.Pool{Name: p.Name, Spare: p.Spare}
		for m := range members {
			name := w.names[k][m]
			s.Members[name] = fleet.Member{Name: name, Cap: w.caps[k][m], Share: 1}
		}
	}
	for _, e := range endpoints(w.site) {
		s.Instances[e.name] = fleet.Instance{
			Name: e.name, DataCentre: centreName(e.centre), Slots: e.slots, Pool: w.site.Pools[e.kind].Name, Phase: fleet.Serving,
		}
	}
	return s
}

func centreName(index int) string { return fmt.Sprintf("dc%d", index) }

// arrive sends a request from its entry to the dispatcher of its pool.
func (c *current) arrive(r *request) {
	d := c.centres[r.centre].pools[r.kind]
	c.world.after(2*hop, func() { d.enter(r) })
}

// ended returns the grant of a request.
func (c *current) ended(r *request) {
	d := c.centres[r.centre].pools[r.kind]
	c.world.after(hop, func() { d.release(r) })
}

func (d *dispatcher) now() time.Time { return d.centre.policy.world.now }

// enter queues a request with what is known of its kind.
func (d *dispatcher) enter(r *request) {
	member := d.centre.policy.world.names[r.kind][r.member]
	d.open[r.id] = r
	d.push(share.Request{
		ID:       r.id,
		Member:   member,
		Urgency:  r.urgency,
		Slots:    r.slots,
		Deadline: r.deadline,
	}, r.declared)
}

func (d *dispatcher) push(q share.Request, declared time.Duration) {
	e := d.centre.estimator.Estimate(limit.Kind{Member: q.Member, Pool: d.name}, limit.Declared{Run: declared, Slots: q.Slots})
	q.Run, q.Longest = e.Run, min(e.Longest, longestLease)
	d.refuse(d.queue.Push(q, d.now()))
	d.decide()
}

// decide carries out what the queue decides now.
func (d *dispatcher) decide() {
	grants, refused := d.queue.Decide(d.now())
	for _, g := range grants {
		d.grant(g)
	}
	d.refuse(refused)
	d.soon()
}

// grant lets the home of a request send the task: the reply, the claim at the
// backup and its answer, and the task take a message each.
func (d *dispatcher) grant(g share.Grant) {
	if a, isAsk := d.centre.askOf(g.Request.ID); isAsk {
		if a != nil {
			d.centre.policy.world.after(hop, func() { a.granted(g) })
		}
		return
	}
	r := d.open[g.Request.ID]
	d.centre.policy.world.after(4*hop, func() { d.start(r, g.Until) })
}

// start sends the task, unless its lease ended on the way.
func (d *dispatcher) start(r *request, until time.Time) {
	w := d.centre.policy.world
	if w.now.Before(until) {
		w.begin(r, until)
		return
	}
	r.refused = true
	d.release(r)
}

func (d *dispatcher) refuse(refused []share.Refusal) {
	for _, x := range refused {
		if a, isAsk := d.centre.askOf(x.Request.ID); isAsk {
			if a != nil {
				d.centre.policy.world.after(hop, a.refused)
			}
			continue
		}
		d.open[x.Request.ID].refused = true
		delete(d.open, x.Request.ID)
	}
}

func (d *dispatcher) release(r *request) {
	g, _ := d.queue.Release(r.id)
	delete(d.open, r.id)
	if !r.started.IsZero() && !r.stopped {
		d.learn(g, r.declared, r.run)
	}
	if id, away := d.spareIDs[r.id]; away {
		delete(d.spareIDs, r.id)
		d.centre.policy.world.after(hop, func() { d.centre.spare.releaseAsk(id, r) })
	}
	d.decide()
}

// releaseAsk returns a slot of the spare pool.
func (d *dispatcher) releaseAsk(id string, r *request) {
	g, held := d.queue.Release(id)
	if held && r != nil {
		d.learn(g, g.Request.Run, r.run)
	}
	d.queue.Cancel(id)
	d.decide()
}

func (d *dispatcher) learn(g share.Grant, declared, run time.Duration) {
	d.centre.estimator.Observe(limit.Kind{Member: g.Request.Member, Pool: d.name}, limit.Declared{Run: declared}, run)
	d.queue.Observe(run)
}

// soon takes the steps that the daemon's loop takes after a kick, and wakes up
// when something is due in the queue.
func (d *dispatcher) soon() {
	now := d.now()
	if d.stepAt.IsZero() {
		d.stepAt = now
		d.centre.policy.world.after(hop/4, func() {
			d.stepAt = time.Time{}
			d.askSpare()
			d.borrow()
		})
	}
	at, due := d.queue.Next()
	if due && (!d.wakeAt.After(now) || at.Before(d.wakeAt)) {
		d.wakeAt = at
		d.centre.policy.world.at(at.Add(time.Microsecond), d.wake)
	}
}

func (d *dispatcher) wake() {
	if len(d.open) == 0 && d.queue.Totals().Queued == 0 {
		return
	}
	d.queue.Overdue(d.now())
	d.decide()
}
