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

// clockError is the default of the daemon's setting.
const clockError = 250 * time.Millisecond

// maxLease is the daemon's bound of run times without another limit: an hour less a
// margin for the grace of a lease and the clock error.
const maxLease = time.Hour - 20*time.Second

// current is the policy of the daemon: one dispatcher for each pool in each data
// centre, which uses the queue as internal/dispatch of the daemon does.
type current struct {
	sim     *simulation
	centres []*dataCentre
	state   *fleet.State
}

// dataCentre holds the dispatchers of a data centre. They share the run time
// estimates, as if one entry dispatched all pools.
type dataCentre struct {
	policy      *current
	name        string
	index       int
	dispatchers []*dispatcher
	spare       *dispatcher
	// overflowByID holds the overflow requests that are queued, by ID.
	overflowByID map[string]*overflowRequest
	estimator    limit.Estimator
	ledger       quota.Ledger
}

// dispatcher is the queue of a pool in a data centre.
type dispatcher struct {
	centre *dataCentre
	kind   int
	name   string
	queue  share.Queue
	// open holds the requests that are queued or running, by ID.
	open map[string]*request
	// overflow holds the overflow requests of this pool at the spare pool.
	overflow        map[overflowKind][]*overflowRequest
	overflowRetryAt map[overflowKind]time.Time
	spareIDs        map[string]string
	shortages       map[string]*shortage
	serial          int
	stepAt          time.Time
	wakeAt          time.Time
}

func newCurrent(sim *simulation) policy {
	c := &current{sim: sim, state: configuration(sim)}
	for i := range sim.site.DataCentres {
		c.centres = append(c.centres, c.newCentre(i))
	}
	for _, e := range endpoints(sim.site) {
		d := c.centres[e.centre].dispatchers[e.kind]
		d.queue.SetEndpoint(share.Endpoint{Name: e.name, Slots: e.slots})
	}
	for _, x := range c.centres {
		for _, d := range x.dispatchers {
			if d != x.spare {
				d.queue.SetOverflow(x.overflow())
			}
		}
	}
	return c
}

func (c *current) newCentre(index int) (x *dataCentre) {
	x = &dataCentre{policy: c, name: centreName(index), index: index, overflowByID: make(map[string]*overflowRequest)}
	// OWNW sets the weight of a pool's own requests relative to the overflow of
	// other pools; unset means 1.
	ownWeight, _ := strconv.Atoi(os.Getenv("OWNW"))
	x.ledger = quota.Ledger{DataCentre: x.name, ClockError: clockError}
	x.ledger.Observe(c.state)
	x.ledger.ConfirmVersion(c.state.Version, start.Add(-2*time.Hour))
	for k, p := range c.sim.site.Pools {
		d := &dispatcher{
			centre:          x,
			kind:            k,
			name:            p.Name,
			open:            make(map[string]*request),
			overflow:        make(map[overflowKind][]*overflowRequest),
			overflowRetryAt: make(map[overflowKind]time.Time),
			spareIDs:        make(map[string]string),
			shortages:       make(map[string]*shortage),
		}
		d.queue = share.Queue{ClockError: clockError, Quota: memberQuota{d}}
		d.queue.SetGroup("", ownWeight)
		x.dispatchers = append(x.dispatchers, d)
		if p.Spare {
			x.spare = d
		}
		x.ledger.OpenPool(p.Name)
		x.ledger.SetInheritedLoans(p.Name, 0, time.Time{})
	}
	return x
}

// overflow returns the slots of the spare pool that each pool gets at least.
func (x *dataCentre) overflow() (o share.Overflow) {
	for _, e := range x.spare.queue.Endpoints() {
		o.Largest = max(o.Largest, e.Slots)
		o.Slots += e.Slots
	}
	o.Slots /= len(x.dispatchers)
	return o
}

// configuration returns the site as the state of the change log.
func configuration(sim *simulation) (s *fleet.State) {
	s = &fleet.State{
		Version:   1,
		Pools:     make(map[string]fleet.Pool),
		Members:   make(map[string]fleet.Member),
		Instances: make(map[string]fleet.Instance),
	}
	for k, p := range sim.site.Pools {
		s.Pools[p.Name] = fleet.Pool{Name: p.Name, Spare: p.Spare}
		for m := range members {
			name := sim.names[k][m]
			s.Members[name] = fleet.Member{Name: name, Cap: sim.caps[k][m], Share: 1}
		}
	}
	for _, e := range endpoints(sim.site) {
		s.Instances[e.name] = fleet.Instance{
			Name: e.name, DataCentre: centreName(e.centre), Slots: e.slots, Pool: sim.site.Pools[e.kind].Name, Phase: fleet.Serving,
		}
	}
	return s
}

func centreName(index int) string { return fmt.Sprintf("dc%d", index) }

// submit sends a request from its entry to the dispatcher of its pool.
func (c *current) submit(r *request) {
	d := c.centres[r.centre].dispatchers[r.kind]
	c.sim.after(2*messageDelay, func() { d.enqueue(r) })
}

// taskEnded returns the grant of a request.
func (c *current) taskEnded(r *request) {
	d := c.centres[r.centre].dispatchers[r.kind]
	c.sim.after(messageDelay, func() { d.release(r) })
}

func (d *dispatcher) now() time.Time { return d.centre.policy.sim.now }

// enqueue adds a request to the queue.
func (d *dispatcher) enqueue(r *request) {
	member := d.centre.policy.sim.names[r.kind][r.member]
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
	q.Run, q.LongestRun = e.Run, min(e.LongestRun, maxLease)
	d.refuse(d.queue.Push(q, d.now()))
	d.decide()
}

// decide executes the grants and refusals of the queue.
func (d *dispatcher) decide() {
	grants, refused := d.queue.Decide(d.now())
	for _, g := range grants {
		d.grant(g)
	}
	d.refuse(refused)
	d.scheduleStep()
}

// grant starts the task of a request after four messages: the grant to the primary,
// its claim at the backup, the backup's answer, and the task to the endpoint.
func (d *dispatcher) grant(g share.Grant) {
	if a, isOverflow := d.centre.overflowRequestOf(g.Request.ID); isOverflow {
		if a != nil {
			d.centre.policy.sim.after(messageDelay, func() { a.granted(g) })
		}
		return
	}
	r := d.open[g.Request.ID]
	d.centre.policy.sim.after(4*messageDelay, func() { d.start(r, g.Until) })
}

// start starts the task unless its lease has ended meanwhile; then the request
// counts as refused.
func (d *dispatcher) start(r *request, until time.Time) {
	sim := d.centre.policy.sim
	if sim.now.Before(until) {
		sim.startTask(r, until)
		return
	}
	r.refused = true
	d.release(r)
}

func (d *dispatcher) refuse(refused []share.Refusal) {
	for _, x := range refused {
		if a, isOverflow := d.centre.overflowRequestOf(x.Request.ID); isOverflow {
			if a != nil {
				d.centre.policy.sim.after(messageDelay, a.refused)
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
		d.recordRunTime(g, r.declared, r.run)
	}
	if id, overflowed := d.spareIDs[r.id]; overflowed {
		delete(d.spareIDs, r.id)
		d.centre.policy.sim.after(messageDelay, func() { d.centre.spare.releaseOverflow(id, r) })
	}
	d.decide()
}

// releaseOverflow returns the slots of a grant at the spare pool or removes the
// overflow request from its queue.
func (d *dispatcher) releaseOverflow(id string, r *request) {
	g, held := d.queue.Release(id)
	if held && r != nil {
		d.recordRunTime(g, g.Request.Run, r.run)
	}
	d.queue.Cancel(id)
	d.decide()
}

func (d *dispatcher) recordRunTime(g share.Grant, declared, run time.Duration) {
	d.centre.estimator.Observe(limit.Kind{Member: g.Request.Member, Pool: d.name}, limit.Declared{Run: declared}, run)
	d.queue.ObserveRunTime(run)
}

// scheduleStep schedules the steps that the daemon's loop takes when it is
// triggered, and a call of processDue when the queue has something due.
func (d *dispatcher) scheduleStep() {
	now := d.now()
	if d.stepAt.IsZero() {
		d.stepAt = now
		d.centre.policy.sim.after(messageDelay/4, func() {
			d.stepAt = time.Time{}
			d.reconcileOverflow()
			d.borrow()
		})
	}
	at, due := d.queue.NextDeadline()
	if due && (!d.wakeAt.After(now) || at.Before(d.wakeAt)) {
		d.wakeAt = at
		d.centre.policy.sim.at(at.Add(time.Microsecond), d.processDue)
	}
}

func (d *dispatcher) processDue() {
	if len(d.open) == 0 && d.queue.Totals().Queued == 0 {
		return
	}
	d.queue.ExpireGrants(d.now())
	d.decide()
}
