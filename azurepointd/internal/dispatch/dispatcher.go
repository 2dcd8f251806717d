package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/limit"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/quota"
	"github.com/azurepoint/azurepoint/coordination/share"
)

// refreshEvery is how often ownership and the list of leaving instances are
// read; 250 ms is well within the 5 s in which a leaving endpoint may get work.
const refreshEvery = 250 * time.Millisecond

// takeEvery is how often all pools are looked at for a change of owner; it costs
// one hash for each pool and entry.
const takeEvery = time.Second

// pauseLimit is how long the loop may stand still before the dispatcher counts
// as paused; another entry may have granted the same slots meanwhile.
const pauseLimit = 3 * time.Second

// pauseHold is how long no grant is issued after a pause: heartbeats need that
// long to show who owns the pools now.
const pauseHold = time.Second

// Dispatcher grants slots of the pools that this entry owns; it is ready once
// its needs are set, and Run has to be called for anything that time causes.
type Dispatcher struct {
	Peers Peers
	Fleet Fleet
	// Endpoints may be nil; an endpoint that refused work is then tried again
	// after a growing pause.
	Endpoints Endpoints
	// ClockError is the largest difference between two clocks.
	ClockError time.Duration
	// LongestGrant is the longest time that one grant may last; zero means an hour.
	LongestGrant time.Duration
	// QueueLength is how many requests may wait for one pool; zero means the
	// default of package share.
	QueueLength int

	mu      sync.Mutex
	pools   map[string]*pool
	version int64
	seen    bool
	// centres are the other data centres with instances as of a version.
	centres   []string
	centresAt int64
	estimator limit.Estimator
	ledger    quota.Ledger
	shortages map[quota.Account]*shortage
	// lenderPauses is until when a data centre is not asked for loans.
	lenderPauses map[string]time.Time
	stopping     bool
	lastLoop     time.Time
	kicked       chan struct{}
	// ownedAt is when all pools were looked at for their owner last.
	ownedAt time.Time
	// refreshedAt is when the ownership and the endpoints were looked at last.
	refreshedAt time.Time
	tasks       sync.WaitGroup
	// ended is set once no more tasks may be started.
	ended bool
}

// Run does what time and configuration changes cause until the context ends;
// the channel reports its end.
func (d *Dispatcher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	wake := d.wake()
	go func() {
		defer close(done)
		d.loop(ctx, wake)
		d.mu.Lock()
		d.ended = true
		d.mu.Unlock()
		d.tasks.Wait()
	}()
	return done
}

// Stop begins a planned stop: new and waiting requests are answered with the
// next owner, releases are still served.
func (d *Dispatcher) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	for _, p := range d.pools {
		d.handOver(p)
	}
}

func (d *Dispatcher) loop(ctx context.Context, wake <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := d.Fleet.Changed()
		next := d.step(ctx, time.Now())
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-wake:
		case <-timer.C:
		}
	}
}

// step does what is due and returns when something is due next.
func (d *Dispatcher) step(ctx context.Context, now time.Time) (next time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noticePause(now)
	d.refresh(now)
	next = now.Add(refreshEvery)
	for _, p := range d.pools {
		p.expire(now)
		p.decide(now)
		d.readStatuses(ctx, p, now)
		d.settleBooks(ctx, p)
		d.askSpare(ctx, p, now)
		if at, found := p.queue.Next(); found && at.Before(next) {
			next = at
		}
	}
	d.borrowAll(ctx, now)
	d.returnLoans(ctx, now)
	queued.Update(d.queued())
	// A pause bounds the rate of the loop while an item stays due.
	return latest(next, now.Add(time.Millisecond))
}

// noticePause makes the pools count their slots again after the process stood
// still: its grants may have ended and others may have been issued elsewhere.
func (d *Dispatcher) noticePause(now time.Time) {
	paused := !d.lastLoop.IsZero() && now.Sub(d.lastLoop) > pauseLimit
	d.lastLoop = now
	if !paused {
		return
	}
	event.DispatcherPause.Log(log.Fields{"pools": len(d.pools)})
	for _, p := range d.pools {
		p.heldUntil = now.Add(pauseHold)
		p.recount(now)
	}
}

// refresh follows the configuration and the ownership of the pools.
func (d *Dispatcher) refresh(now time.Time) {
	state := d.Fleet.State()
	current := d.seen && state != nil && state.Version == d.version
	if state == nil || (current && now.Sub(d.refreshedAt) < refreshEvery) {
		return
	}
	d.refreshedAt = now
	if !d.seen || state.Version != d.version {
		d.seen, d.version = true, state.Version
		d.follow(state, now)
	}
	d.confirm(state, now)
	if now.Sub(d.ownedAt) >= takeEvery {
		d.ownedAt = now
		d.takeOwned(state, now)
	}
	for name, p := range d.pools {
		d.checkOwner(p)
		p.reopen(now)
		d.ledger.SetForeign(name, p.busy())
		if p.handedOver && p.idle() {
			delete(d.pools, name)
		}
	}
}

// takeOwned takes over the pools that nobody asked for yet: their parts of caps
// can be lent, and the status of their endpoints is known when a request comes.
func (d *Dispatcher) takeOwned(state *fleet.State, now time.Time) {
	for name := range state.Pools {
		if _, own := d.owner(name); own {
			d.pool(name, now)
		}
	}
}

// follow gives the pools their instances and members of a new version.
func (d *Dispatcher) follow(state *fleet.State, now time.Time) {
	d.followCaps(state)
	instances := d.ownInstances(state)
	for _, p := range d.pools {
		d.followPool(p, state, instances, now)
	}
}

func (d *Dispatcher) followPool(p *pool, state *fleet.State, instances map[string][]fleet.Instance, now time.Time) {
	p.follow(instances[p.name], now)
	p.followSpare(state, instances)
	for _, m := range state.Members {
		p.queue.SetMember(share.Member{Name: m.Name, Weight: m.Share, Minimum: d.ledger.Minimum(m.Name, m.Minimum)})
	}
}

// settleBooks finds out what an earlier keeper of a pool lent, once.
func (d *Dispatcher) settleBooks(ctx context.Context, p *pool) {
	if p.settled || p.handedOver {
		return
	}
	p.settled, p.settling = true, true
	d.start(func() { d.settle(ctx, p) })
}

// start runs a task that Run waits for; the caller holds the lock.
func (d *Dispatcher) start(task func()) {
	if !d.ended {
		d.tasks.Go(task)
	}
}

func (d *Dispatcher) queued() (requests int64) {
	for _, p := range d.pools {
		requests += int64(p.queue.Totals().Queued)
	}
	return requests
}

// ownInstances returns the instances of the own data centre by pool.
func (d *Dispatcher) ownInstances(state *fleet.State) (byPool map[string][]fleet.Instance) {
	own := d.Peers.Self().DataCentre
	byPool = make(map[string][]fleet.Instance)
	for _, i := range state.Instances {
		if i.DataCentre == own {
			byPool[i.Pool] = append(byPool[i.Pool], i)
		}
	}
	return byPool
}

// checkOwner hands a pool over that another entry owns now, and takes it again
// when it comes back.
func (d *Dispatcher) checkOwner(p *pool) {
	_, own := d.owner(p.name)
	switch {
	case !own && !p.handedOver:
		d.handOver(p)
	case own && p.handedOver:
		d.takeOver(p, time.Now())
	}
}

// handOver answers the waiting requests with the next owner.
func (d *Dispatcher) handOver(p *pool) {
	if p.handedOver {
		return
	}
	p.handedOver = true
	d.ledger.Close(p.name)
	next, _ := d.owner(p.name)
	event.PoolHandedOver.Log(log.Fields{"pool": p.name, "owner": next.Name, "waiting": len(p.waiters)})
	p.dismiss(next.Name)
}

// owner returns the owner of a pool and whether that is this entry.
func (d *Dispatcher) owner(name string) (owner membership.Entry, own bool) {
	self := d.Peers.Self()
	duty := "pool/" + name
	owner = d.Peers.Owner(duty)
	if owner.Name != self.Name {
		return owner, false
	}
	if !d.stopping {
		return owner, true
	}
	var others []membership.Entry
	for _, e := range d.Peers.Live() {
		if e.Name != self.Name && !e.Leaving {
			others = append(others, e)
		}
	}
	owner, _ = membership.Rendezvous(others, duty)
	return owner, false
}

// pool returns the state of a pool that this entry owns, taking it over at
// first use; found is false if the configuration has no such pool.
func (d *Dispatcher) pool(name string, now time.Time) (p *pool, found bool) {
	if p, found = d.pools[name]; found {
		return p, true
	}
	state := d.Fleet.State()
	if state == nil {
		return nil, false
	}
	if _, found = state.Pools[name]; !found {
		return nil, false
	}
	if d.pools == nil {
		d.pools = make(map[string]*pool)
	}
	if !d.seen {
		d.refresh(now)
	}
	p = d.newPool(name)
	d.pools[name] = p
	d.followPool(p, state, d.ownInstances(state), now)
	d.takeOver(p, now)
	return p, true
}

// takeOver begins to grant for a pool.
func (d *Dispatcher) takeOver(p *pool, now time.Time) {
	p.take(now)
	p.reopen(now)
	d.ledger.Open(p.name)
	d.kick()
}

// wake returns the channel that makes the loop take a step.
func (d *Dispatcher) wake() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kicked == nil {
		d.kicked = make(chan struct{}, 1)
	}
	return d.kicked
}

// kick makes the loop take a step soon; the caller holds the lock.
func (d *Dispatcher) kick() {
	select {
	case d.kicked <- struct{}{}:
	default:
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
