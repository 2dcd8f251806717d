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

// refreshInterval is how often the assignment of pools and the list of leaving
// instances are read. It is well within the 5 s in which a leaving endpoint may
// still get work.
const refreshInterval = 250 * time.Millisecond

// assignmentInterval is how often all pools are checked for new assignments to
// this entry. Each check computes one hash per pool and entry.
const assignmentInterval = time.Second

// pauseThreshold is the time without a step above which the process counts as
// paused. Another entry may have granted the same slots meanwhile.
const pauseThreshold = 3 * time.Second

// holdAfterPause is how long no grant is issued after a pause: heartbeats need
// that long to show which entry dispatches a pool now.
const holdAfterPause = time.Second

// Dispatcher grants slots of the pools that are assigned to this entry. Peers
// and Fleet must be set before use. Run must be called, because it handles
// timeouts and changes of the configuration.
type Dispatcher struct {
	Peers Peers
	Fleet Fleet
	// Endpoints may be nil; an endpoint that refused work is then tried again
	// after a delay that doubles with each refusal.
	Endpoints Endpoints
	// ClockError is the largest difference between two clocks.
	ClockError time.Duration
	// LongestGrant is the maximum duration of one grant; zero means an hour.
	LongestGrant time.Duration
	// QueueLength is the maximum number of requests that wait for one pool;
	// zero means the default of package share.
	QueueLength int

	mu         sync.Mutex
	pools      map[string]*pool
	version    int64
	configured bool
	// otherDCs are the other data centres that have instances in version
	// otherDCsVersion.
	otherDCs        []string
	otherDCsVersion int64
	estimator       limit.Estimator
	ledger          quota.Ledger
	shortages       map[quota.Account]*shortage
	// lenderRetryAt is the time before which a data centre is not asked for
	// loans, by data centre.
	lenderRetryAt map[string]time.Time
	stopping      bool
	lastStepAt    time.Time
	wakeup        chan struct{}
	// assignmentsCheckedAt is when all pools were last checked for new
	// assignments.
	assignmentsCheckedAt time.Time
	// refreshedAt is when the assignments and the endpoints were last
	// refreshed.
	refreshedAt time.Time
	background  sync.WaitGroup
	// closed is set once no more background work may be started.
	closed bool
}

// Run performs the periodic work and applies changes of the configuration until
// the context ends. The channel is closed when all background work has ended.
func (d *Dispatcher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	wakeup := d.wakeupChannel()
	go func() {
		defer close(done)
		d.loop(ctx, wakeup)
		d.mu.Lock()
		d.closed = true
		d.mu.Unlock()
		d.background.Wait()
	}()
	return done
}

// Stop begins a planned stop: new and waiting requests are redirected to the
// next dispatcher, and releases are still handled.
func (d *Dispatcher) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	for _, p := range d.pools {
		d.handOver(p)
	}
}

func (d *Dispatcher) loop(ctx context.Context, wakeup <-chan struct{}) {
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
		case <-wakeup:
		case <-timer.C:
		}
	}
}

// step performs the work that is due and returns when the next work is due.
func (d *Dispatcher) step(ctx context.Context, now time.Time) (next time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	d.refresh(now)
	next = now.Add(refreshInterval)
	for _, p := range d.pools {
		p.expireGrants(now)
		p.decideQueue(now)
		d.startStatusReads(ctx, p, now)
		d.startLoanCollection(ctx, p)
		d.adjustSpareRequests(ctx, p, now)
		if at, found := p.queue.NextDeadline(); found && at.Before(next) {
			next = at
		}
	}
	d.startBorrowing(ctx, now)
	d.returnUnusedLoans(ctx, now)
	gaugeQueued.Update(d.queuedRequests())
	// A minimum delay bounds the rate of the loop while an item stays due.
	return laterOf(next, now.Add(time.Millisecond))
}

// detectPause schedules a new count of the slots in use after the process was
// paused: its own grants may have ended and other entries may have issued some
// meanwhile.
func (d *Dispatcher) detectPause(now time.Time) {
	paused := !d.lastStepAt.IsZero() && now.Sub(d.lastStepAt) > pauseThreshold
	d.lastStepAt = now
	if !paused {
		return
	}
	event.DispatcherPaused.Log(log.Fields{"pools": len(d.pools)})
	for _, p := range d.pools {
		p.noGrantsUntil = now.Add(holdAfterPause)
		p.scheduleStatusReads(now)
	}
}

// refresh applies a new configuration and updates the assignment of pools and
// the availability of endpoints.
func (d *Dispatcher) refresh(now time.Time) {
	state := d.Fleet.State()
	current := d.configured && state != nil && state.Version == d.version
	if state == nil || (current && now.Sub(d.refreshedAt) < refreshInterval) {
		return
	}
	d.refreshedAt = now
	if !d.configured || state.Version != d.version {
		d.configured, d.version = true, state.Version
		d.applyConfiguration(state, now)
	}
	d.confirmVersions(state, now)
	if now.Sub(d.assignmentsCheckedAt) >= assignmentInterval {
		d.assignmentsCheckedAt = now
		d.takeOverAssignedPools(state, now)
	}
	for name, p := range d.pools {
		d.checkAssignment(p)
		p.updateEndpoints(now)
		d.ledger.SetUntracked(name, p.foreignSlots())
		if p.handedOver && p.isIdle() {
			delete(d.pools, name)
		}
	}
}

// takeOverAssignedPools takes over assigned pools before their first request,
// so that their parts of the caps can be lent and the status of their endpoints
// is already read when a request arrives.
func (d *Dispatcher) takeOverAssignedPools(state *fleet.State, now time.Time) {
	for name := range state.Pools {
		if _, isSelf := d.dispatcherOf(name); isSelf {
			d.openPool(name, now)
		}
	}
}

// applyConfiguration applies the instances, members and caps of a new version
// to all pools.
func (d *Dispatcher) applyConfiguration(state *fleet.State, now time.Time) {
	d.applyCaps(state)
	instances := d.localInstances(state)
	for _, p := range d.pools {
		d.configurePool(p, state, instances, now)
	}
}

func (d *Dispatcher) configurePool(p *pool, state *fleet.State, instances map[string][]fleet.Instance, now time.Time) {
	p.setInstances(instances[p.name], now)
	p.configureSparePool(state, instances)
	for _, m := range state.Members {
		p.queue.SetMember(share.Member{Name: m.Name, Weight: m.Share, Minimum: d.ledger.Minimum(m.Name, m.Minimum)})
	}
}

// startLoanCollection starts, once per takeover, the query for the loans that
// earlier quota holders of the pool granted.
func (d *Dispatcher) startLoanCollection(ctx context.Context, p *pool) {
	if p.loanQueryStarted || p.handedOver {
		return
	}
	p.loanQueryStarted, p.collectingLoans = true, true
	d.goBackground(func() { d.collectLoans(ctx, p) })
}

// goBackground runs work in a goroutine that Run waits for; the caller holds
// the lock.
func (d *Dispatcher) goBackground(work func()) {
	if !d.closed {
		d.background.Go(work)
	}
}

func (d *Dispatcher) queuedRequests() (requests int64) {
	for _, p := range d.pools {
		requests += int64(p.queue.Totals().Queued)
	}
	return requests
}

// localInstances returns the instances of this data centre by pool.
func (d *Dispatcher) localInstances(state *fleet.State) (byPool map[string][]fleet.Instance) {
	dataCentre := d.Peers.Self().DataCentre
	byPool = make(map[string][]fleet.Instance)
	for _, i := range state.Instances {
		if i.DataCentre == dataCentre {
			byPool[i.Pool] = append(byPool[i.Pool], i)
		}
	}
	return byPool
}

// checkAssignment hands a pool over when it is assigned to another entry, and
// takes it over again when it is assigned back to this one.
func (d *Dispatcher) checkAssignment(p *pool) {
	_, isSelf := d.dispatcherOf(p.name)
	switch {
	case !isSelf && !p.handedOver:
		d.handOver(p)
	case isSelf && p.handedOver:
		d.takeOver(p, time.Now())
	}
}

// handOver redirects the waiting requests of a pool to its next dispatcher.
func (d *Dispatcher) handOver(p *pool) {
	if p.handedOver {
		return
	}
	p.handedOver = true
	d.ledger.ClosePool(p.name)
	next, _ := d.dispatcherOf(p.name)
	event.PoolHandedOver.Log(log.Fields{"pool": p.name, "owner": next.Name, "waiting": len(p.waiters)})
	p.redirectWaiters(next.Name)
}

// dispatcherOf returns the dispatcher of a pool and whether that is this entry.
// During a planned stop it returns the entry to which the pool is assigned
// next.
func (d *Dispatcher) dispatcherOf(name string) (dispatcher membership.Entry, isSelf bool) {
	self := d.Peers.Self()
	duty := "pool/" + name
	dispatcher = d.Peers.Owner(duty)
	if dispatcher.Name != self.Name {
		return dispatcher, false
	}
	if !d.stopping {
		return dispatcher, true
	}
	var others []membership.Entry
	for _, e := range d.Peers.Live() {
		if e.Name != self.Name && !e.Leaving {
			others = append(others, e)
		}
	}
	dispatcher, _ = membership.Rendezvous(others, duty)
	return dispatcher, false
}

// openPool returns a pool and takes it over at first use. found is false if the
// configuration has no such pool.
func (d *Dispatcher) openPool(name string, now time.Time) (p *pool, found bool) {
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
	if !d.configured {
		d.refresh(now)
	}
	p = d.newPool(name)
	d.pools[name] = p
	d.configurePool(p, state, d.localInstances(state), now)
	d.takeOver(p, now)
	return p, true
}

// takeOver makes this entry grant slots of a pool.
func (d *Dispatcher) takeOver(p *pool, now time.Time) {
	p.beginGranting(now)
	p.updateEndpoints(now)
	d.ledger.OpenPool(p.name)
	d.wakeLoop()
}

// wakeupChannel returns the channel that triggers a step of the loop.
func (d *Dispatcher) wakeupChannel() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wakeup == nil {
		d.wakeup = make(chan struct{}, 1)
	}
	return d.wakeup
}

// wakeLoop triggers a step of the loop; the caller holds the lock.
func (d *Dispatcher) wakeLoop() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
