package reconcile

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// fakeEntry is an entry with its dispatcher, which also sends tasks as a primary. It
// sees the log with a delay and the other entries through their heartbeats.
type fakeEntry struct {
	*simulation
	rng *rng

	lock   sync.Mutex
	self   membership.Entry
	upkeep *Controller
	stop   func() // ends the current incarnation
	end    <-chan error
	frozen bool
	// blockedCalls counts the calls that wait for the end of a freeze. They wait at
	// most 10 ms longer than it lasts.
	blockedCalls atomic.Int32
	partitioned  bool
	killed       bool
	lagging      bool // sees the log 10 s later
	// frozenViewAt is the time of the last view of the log and of the entries. The view
	// stands still while the entry is frozen or partitioned, and for one second after a
	// fault.
	frozenViewAt time.Time
	// lastFaultEnd is when the last fault of this entry ended. faultIntervals holds all
	// its faults.
	lastFaultEnd   time.Time
	faultIntervals []interval
	observedLogAt  time.Time // time of the latest version seen
	grants         map[int]fakeGrant
	heldGrants     map[string]int // grants held as a primary, by instance
	changed        chan struct{}
	heartbeats     []heartbeat
}

type fakeGrant struct {
	instance  fleet.Instance
	duration  time.Duration
	expiresAt time.Time
}

type interval struct {
	from, to time.Time
}

// heartbeat is what an entry reported of itself.
type heartbeat struct {
	at         time.Time
	self       membership.Entry
	heldGrants map[string]int
}

// start begins an incarnation of the entry with empty state.
func (e *fakeEntry) start(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	e.lock.Lock()
	defer e.lock.Unlock()
	e.self.Incarnation++
	e.stop, e.grants, e.heldGrants = stop, make(map[int]fakeGrant), make(map[string]int)
	e.upkeep = &Controller{Peers: e, Fleet: e, Grants: e, Endpoints: e, Settings: e.settings}
	if !e.noReports {
		e.upkeep.Reports = e
	}
	if e.shortPool != "" {
		e.upkeep.Loads = e
	}
	go e.sendHeartbeats(ctx)
	go e.dispatchGrants(ctx)
	e.end = e.upkeep.Run(ctx)
}

// restart kills the entry and starts a new incarnation after a delay.
func (e *fakeEntry) restart(ctx context.Context, delay time.Duration) {
	e.injectFault(delay, &e.killed)
	e.lock.Lock()
	stop, end := e.stop, e.end
	e.self.Incarnation++ // calls of the killed incarnation have no effect
	e.lock.Unlock()
	stop()
	<-end
	time.Sleep(delay)
	e.start(ctx)
}

// waitWhileFrozen blocks while the entry is frozen. Its caller may hold the lock that
// Dump needs.
func (e *fakeEntry) waitWhileFrozen() {
	if !e.isSet(&e.frozen) {
		return
	}
	e.blockedCalls.Add(1)
	defer e.blockedCalls.Add(-1)
	for e.isSet(&e.frozen) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (e *fakeEntry) isSet(flag *bool) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return *flag
}

// faultFreeDuring reports whether the entry had no fault in an interval, nor in the ten
// seconds before it.
func (e *fakeEntry) faultFreeDuring(from, to time.Time) bool {
	for _, i := range e.faultIntervals {
		if i.from.Before(to) && i.to.After(from) {
			return false
		}
	}
	return true
}

// injectFault sets a fault flag for a time.
func (e *fakeEntry) injectFault(duration time.Duration, flag *bool) {
	set := func(on bool) {
		e.lock.Lock()
		defer e.lock.Unlock()
		e.frozenViewAt = e.viewAt()
		*flag = on
		if !on {
			e.lastFaultEnd = time.Now()
		}
	}
	e.lock.Lock()
	e.faultIntervals = append(e.faultIntervals, interval{time.Now(), time.Now().Add(duration + 2*DefaultSettings.SettleDelay)})
	e.lock.Unlock()
	set(true)
	time.AfterFunc(duration, func() { set(false) })
}

// faultFree reports whether the entry is neither frozen nor partitioned and its last
// fault ended more than 20 seconds ago.
func (e *fakeEntry) faultFree() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return !e.frozen && !e.partitioned && time.Since(e.lastFaultEnd) > 20*time.Second
}

// viewAt returns the time of the view that the entry has. The caller holds its lock.
func (e *fakeEntry) viewAt() time.Time {
	if e.frozen || e.partitioned || time.Since(e.lastFaultEnd) < time.Second {
		return e.frozenViewAt
	}
	return time.Now()
}

func (e *fakeEntry) Self() membership.Entry {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.self
}

func (e *fakeEntry) State() *fleet.State {
	e.waitWhileFrozen()
	e.lock.Lock()
	defer e.lock.Unlock()
	at := e.viewAt().Add(-200 * time.Millisecond)
	if e.lagging {
		at = at.Add(-10 * time.Second)
	}
	if at.After(e.observedLogAt) {
		e.observedLogAt = at
	}
	return e.log.at(e.observedLogAt)
}

func (e *fakeEntry) Changed() <-chan struct{} {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.changed
}

func (e *fakeEntry) Propose(ctx context.Context, c fleet.Change) (fleet.ChangeResult, error) {
	e.waitWhileFrozen()
	if ctx.Err() != nil || e.isSet(&e.partitioned) {
		return fleet.ChangeResult{}, errNoAnswer
	}
	delay := time.Duration(0)
	if e.faultsActive() && e.rng.chance(8) {
		delay = e.rng.between(time.Second, 20*time.Second)
		e.maybeFreeze(2)
	}
	return e.log.propose(ctx, c, delay)
}

// faultsActive reports whether faults are still injected.
func (e *fakeEntry) faultsActive() bool {
	return !e.noFaults && time.Now().Before(e.faultsEnd)
}

// maybeFreeze freezes the entry in the middle of an operation with a probability of
// 1/oneIn.
func (e *fakeEntry) maybeFreeze(oneIn time.Duration) {
	if e.faultsActive() && e.rng.chance(oneIn) {
		duration := e.rng.between(time.Second, 15*time.Second)
		e.injectFault(duration, &e.frozen)
	}
}

func (e *fakeEntry) Leaving(string) bool { return false }

// sendHeartbeats records a heartbeat of this entry every half second.
func (e *fakeEntry) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		s := e.State()
		e.lock.Lock()
		if s.Version != e.self.Version {
			close(e.changed)
			e.changed = make(chan struct{})
			e.self.Version = s.Version
		}
		e.heartbeats = append(e.heartbeats, heartbeat{time.Now(), e.self, maps.Clone(e.heldGrants)})
		e.lock.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// lastHeartbeat returns the last heartbeat of an entry up to a time.
func (e *fakeEntry) lastHeartbeat(at time.Time) (h heartbeat) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for k := len(e.heartbeats) - 1; k >= 0; k-- {
		if !e.heartbeats[k].at.After(at) {
			return e.heartbeats[k]
		}
	}
	return heartbeat{}
}

func (e *fakeEntry) visitLive(dataCentre string, visit func(m membership.Entry, h heartbeat)) {
	e.waitWhileFrozen()
	e.lock.Lock()
	at, partitioned, self := e.viewAt(), e.partitioned, e.self
	e.lock.Unlock()
	for _, o := range e.entries {
		h := o.lastHeartbeat(at)
		m := h.self
		m.AliveUntil = h.at.Add(heartbeatLease)
		if o == e {
			m = self
		}
		if e.overstateVersion {
			m.Version = e.log.head().Version
		}
		alive := o == e || m.Alive(time.Now()) && !partitioned && !o.isSet(&o.partitioned)
		if m.DataCentre == dataCentre && alive {
			visit(m, h)
		}
	}
}

func (e *fakeEntry) Live() (live []membership.Entry) {
	e.visitLive(e.Self().DataCentre, func(m membership.Entry, _ heartbeat) { live = append(live, m) })
	return live
}

func (e *fakeEntry) Remote(dataCentre string) (remote []membership.Entry) {
	e.visitLive(dataCentre, func(m membership.Entry, _ heartbeat) { remote = append(remote, m) })
	return remote
}

func (e *fakeEntry) Owner(key string) membership.Entry {
	owner, _ := membership.Rendezvous(e.Live(), key)
	return owner
}

// None reports whether every live entry has reported that it holds no grant for the
// instance.
func (e *fakeEntry) None(instance string, version int64, since time.Time) (none bool) {
	none = true
	e.visitLive(e.Self().DataCentre, func(_ membership.Entry, h heartbeat) {
		none = none && h.self.Version >= version && h.at.After(since) && h.heldGrants[instance] == 0
	})
	return none || e.hideRunning || e.overstateVersion
}

func (e *fakeEntry) InFlight(instance string) (n int) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, g := range e.grants {
		if g.instance.Name == instance && time.Now().Before(g.expiresAt) && !e.hideRunning && !e.overstateVersion {
			n++
		}
	}
	return n
}

// shortPoolDemand is the slots that shortPool needs in a data centre: two instances more
// than it has at the start, which leaves the spare pool what it wants.
const shortPoolDemand = 7 * 8

// Load returns for shortPool a queue for what its serving instances lack to the demand,
// and free slots for all other pools.
func (e *fakeEntry) Load(pool string) (l maintenance.PoolObservation, known bool) {
	if pool != e.shortPool {
		return maintenance.PoolObservation{FreeSlots: 1000}, true
	}
	slots := 0
	for _, i := range e.State().Instances {
		if i.Pool == pool && i.DataCentre == e.Self().DataCentre && !maintenance.Unavailable(i) {
			slots += i.Slots
		}
	}
	return maintenance.PoolObservation{Queued: max(0, shortPoolDemand-slots), FreeSlots: max(0, slots-shortPoolDemand)}, true
}

func (e *fakeEntry) LastGrantEnd(string) time.Time { return time.Time{} }

// dispatchGrants issues grants in the pools that the entry owns according to its view,
// unless its own lease has ended because its view of the others is too old.
func (e *fakeEntry) dispatchGrants(ctx context.Context) {
	for id := 0; ctx.Err() == nil; id++ {
		time.Sleep(e.rng.between(200*time.Millisecond, 600*time.Millisecond))
		live := e.Live()
		e.lock.Lock()
		ended := time.Since(e.viewAt()) > heartbeatLease
		e.lock.Unlock()
		pool := []string{"a", "b"}[id%2]
		if !ended && e.Owner("pool/"+pool).Name == e.Self().Name {
			e.issueGrant(id, pool, live)
		}
	}
}

func (e *fakeEntry) issueGrant(id int, pool string, live []membership.Entry) {
	var free []fleet.Instance
	for _, i := range e.State().Instances {
		if i.Pool == pool && i.DataCentre == e.Self().DataCentre && i.Phase == fleet.Serving && !i.Failed {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return
	}
	slices.SortFunc(free, func(a, b fleet.Instance) int { return strings.Compare(a.Name, b.Name) })
	g := fakeGrant{instance: free[e.rng.between(0, time.Duration(len(free)))], duration: e.rng.between(100*time.Millisecond, 8*time.Second)}
	g.expiresAt = time.Now().Add(g.duration + 10*time.Second)
	e.lock.Lock()
	e.grants[id] = g
	grants := e.grants
	e.lock.Unlock()
	name := live[e.rng.between(0, time.Duration(len(live)))].Name
	for _, h := range e.entries {
		if m := h.Self(); m.Name == name {
			go func() {
				h.sendTask(m.Incarnation, g)
				e.lock.Lock()
				delete(grants, id)
				e.lock.Unlock()
			}()
		}
	}
}

// sendTask sends a task under a grant if the own version of the entry has the instance
// serving in the pool. Most tasks are sent within 20 ms; one task in twenty is sent 1 s
// to 8 s later.
func (e *fakeEntry) sendTask(incarnation int64, g fakeGrant) {
	e.addHeldGrants(g.instance.Name, 1)
	defer e.addHeldGrants(g.instance.Name, -1)
	delay := e.rng.between(time.Millisecond, 20*time.Millisecond)
	if e.rng.chance(20) {
		delay = e.rng.between(time.Second, 8*time.Second)
	}
	time.Sleep(delay)
	current := e.State().Instances[g.instance.Name] // blocks while this entry is frozen
	changed := current.Phase != fleet.Serving || current.Pool != g.instance.Pool
	inTime := time.Now().Before(g.expiresAt.Add(-250 * time.Millisecond))
	if inTime && (!changed || e.sendUnchecked) && e.Self().Incarnation == incarnation {
		e.runTask(e, g)
	}
}

func (e *fakeEntry) addHeldGrants(instance string, n int) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.heldGrants[instance] += n
}

func (e *fakeEntry) Status(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.callEndpoint(ctx, e, address, "status")
}

func (e *fakeEntry) Drain(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.callEndpoint(ctx, e, address, "drain")
}

func (e *fakeEntry) CancelDrain(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.callEndpoint(ctx, e, address, "cancelDrain")
}

func (e *fakeEntry) Reboot(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.callEndpoint(ctx, e, address, "reboot")
}
