package upkeep

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

// fakeEntry is an entry with its dispatcher and its home. It sees the log with
// a lag and the other entries by their heartbeats.
type fakeEntry struct {
	*world
	dice *dice

	lock   sync.Mutex
	self   membership.Entry
	upkeep *Upkeep
	stop   func() // ends the present incarnation
	end    <-chan error
	frozen bool
	// gated counts the calls that wait for the end of a freeze, at most 10 ms longer
	// than it lasts.
	gated  atomic.Int32
	cutOff bool
	killed bool
	lags   bool // by ten seconds more
	// viewAt is the time whose view of the log and of the entries this entry
	// has: it stands still while the entry is frozen, and a second longer, and
	// while it is cut off.
	viewAt time.Time
	// wellAt is when the last fault of this entry ended, and ill are the times
	// of all its faults.
	wellAt  time.Time
	ill     []interval
	logAt   time.Time // of the version seen
	grants  map[int]fakeGrant
	held    map[string]int // grants that its home holds, by instance
	changed chan struct{}
	beats   []heartbeat
}

type fakeGrant struct {
	instance fleet.Instance
	runs     time.Duration
	until    time.Time
}

type interval struct {
	from, to time.Time
}

// heartbeat is what an entry said of itself.
type heartbeat struct {
	at   time.Time
	self membership.Entry
	held map[string]int
}

// start begins an incarnation of the entry, without any memory.
func (e *fakeEntry) start(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	e.lock.Lock()
	defer e.lock.Unlock()
	e.self.Incarnation++
	e.stop, e.grants, e.held = stop, make(map[int]fakeGrant), make(map[string]int)
	e.upkeep = &Upkeep{Peers: e, Fleet: e, Grants: e, Endpoints: e, Settings: e.settings}
	if !e.silentReports {
		e.upkeep.Reports = e
	}
	if e.shortPool != "" {
		e.upkeep.Loads = e
	}
	go e.beat(ctx)
	go e.dispatch(ctx)
	e.end = e.upkeep.Run(ctx)
}

// restart kills the entry; a new incarnation starts later.
func (e *fakeEntry) restart(ctx context.Context, later time.Duration) {
	e.suffer(later, &e.killed)
	e.lock.Lock()
	stop, end := e.stop, e.end
	e.self.Incarnation++ // calls of the killed one have no effect
	e.lock.Unlock()
	stop()
	<-end
	time.Sleep(later)
	e.start(ctx)
}

// gate blocks while the entry is frozen. A caller may hold a lock of the upkeep.
func (e *fakeEntry) gate() {
	if !e.is(&e.frozen) {
		return
	}
	e.gated.Add(1)
	defer e.gated.Add(-1)
	for e.is(&e.frozen) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (e *fakeEntry) is(flag *bool) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return *flag
}

// wellDuring tells whether the entry had no fault in an interval, nor ten
// seconds before it.
func (e *fakeEntry) wellDuring(from, to time.Time) bool {
	for _, i := range e.ill {
		if i.from.Before(to) && i.to.After(from) {
			return false
		}
	}
	return true
}

// suffer has a fault for a time.
func (e *fakeEntry) suffer(lasts time.Duration, flag *bool) {
	set := func(on bool) {
		e.lock.Lock()
		defer e.lock.Unlock()
		e.viewAt = e.view()
		*flag = on
		if !on {
			e.wellAt = time.Now()
		}
	}
	e.lock.Lock()
	e.ill = append(e.ill, interval{time.Now(), time.Now().Add(lasts + 2*DefaultSettings.Settle)})
	e.lock.Unlock()
	set(true)
	time.AfterFunc(lasts, func() { set(false) })
}

// well tells whether the entry had no fault for some time.
func (e *fakeEntry) well() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return !e.frozen && !e.cutOff && time.Since(e.wellAt) > 20*time.Second
}

// view returns the time whose view the entry has; its lock is held.
func (e *fakeEntry) view() time.Time {
	if e.frozen || e.cutOff || time.Since(e.wellAt) < time.Second {
		return e.viewAt
	}
	return time.Now()
}

func (e *fakeEntry) Self() membership.Entry {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.self
}

func (e *fakeEntry) State() *fleet.State {
	e.gate()
	e.lock.Lock()
	defer e.lock.Unlock()
	at := e.view().Add(-200 * time.Millisecond)
	if e.lags {
		at = at.Add(-10 * time.Second)
	}
	if at.After(e.logAt) {
		e.logAt = at
	}
	return e.log.at(e.logAt)
}

func (e *fakeEntry) Changed() <-chan struct{} {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.changed
}

func (e *fakeEntry) Propose(ctx context.Context, c fleet.Change) (fleet.Fate, error) {
	e.gate()
	if ctx.Err() != nil || e.is(&e.cutOff) {
		return fleet.Fate{}, errNoAnswer
	}
	late := time.Duration(0)
	if e.faulty() && e.dice.chance(8) {
		late = e.dice.between(time.Second, 20*time.Second)
		e.mayFreeze(2)
	}
	return e.log.propose(ctx, c, late)
}

// faulty tells whether faults still are to happen.
func (e *fakeEntry) faulty() bool {
	return !e.quietRun && time.Now().Before(e.faultsEnd)
}

// mayFreeze freezes the entry in the middle of what it does.
func (e *fakeEntry) mayFreeze(oneIn time.Duration) {
	if e.faulty() && e.dice.chance(oneIn) {
		lasts := e.dice.between(time.Second, 15*time.Second)
		e.suffer(lasts, &e.frozen)
	}
}

func (e *fakeEntry) Leaving(string) bool { return false }

// beat tells the others of this entry every half second.
func (e *fakeEntry) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s := e.State()
		e.lock.Lock()
		if s.Version != e.self.Version {
			close(e.changed)
			e.changed = make(chan struct{})
			e.self.Version = s.Version
		}
		e.beats = append(e.beats, heartbeat{time.Now(), e.self, maps.Clone(e.held)})
		e.lock.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// heard returns the last heartbeat of an entry up to a time.
func (e *fakeEntry) heard(at time.Time) (h heartbeat) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for k := len(e.beats) - 1; k >= 0; k-- {
		if !e.beats[k].at.After(at) {
			return e.beats[k]
		}
	}
	return heartbeat{}
}

func (e *fakeEntry) seen(dataCentre string, visit func(m membership.Entry, h heartbeat)) {
	e.gate()
	e.lock.Lock()
	at, cutOff, self := e.view(), e.cutOff, e.self
	e.lock.Unlock()
	for _, o := range e.entries {
		h := o.heard(at)
		m := h.self
		m.AliveUntil = h.at.Add(lease)
		if o == e {
			m = self
		}
		if e.liesOfVersion {
			m.Version = e.log.head().Version
		}
		alive := o == e || m.Alive(time.Now()) && !cutOff && !o.is(&o.cutOff)
		if m.DataCentre == dataCentre && alive {
			visit(m, h)
		}
	}
}

func (e *fakeEntry) Live() (live []membership.Entry) {
	e.seen(e.Self().DataCentre, func(m membership.Entry, _ heartbeat) { live = append(live, m) })
	return live
}

func (e *fakeEntry) Remote(dataCentre string) (remote []membership.Entry) {
	e.seen(dataCentre, func(m membership.Entry, _ heartbeat) { remote = append(remote, m) })
	return remote
}

func (e *fakeEntry) Owner(duty string) membership.Entry {
	owner, _ := membership.Rendezvous(e.Live(), duty)
	return owner
}

// None is what the entries reported of the grants that their homes hold.
func (e *fakeEntry) None(instance string, version int64, since time.Time) (none bool) {
	none = true
	e.seen(e.Self().DataCentre, func(_ membership.Entry, h heartbeat) {
		none = none && h.self.Version >= version && h.at.After(since) && h.held[instance] == 0
	})
	return none || e.blind || e.liesOfVersion
}

func (e *fakeEntry) InFlight(instance string) (n int) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, g := range e.grants {
		if g.instance.Name == instance && time.Now().Before(g.until) && !e.blind && !e.liesOfVersion {
			n++
		}
	}
	return n
}

// Load is the load of a pool that asks for much more than it has, or nothing.
func (e *fakeEntry) Load(pool string) (l maintenance.PoolLoad, known bool) {
	if pool == e.shortPool {
		return maintenance.PoolLoad{Queued: 100}, true
	}
	return maintenance.PoolLoad{FreeSlots: 1000}, true
}

func (e *fakeEntry) OldestGrantEnds(string) time.Time { return time.Time{} }

// dispatch gives grants in the pools that the entry believes to own, unless its
// own lease has ended because its view of the others is too old.
func (e *fakeEntry) dispatch(ctx context.Context) {
	for id := 0; ctx.Err() == nil; id++ {
		time.Sleep(e.dice.between(200*time.Millisecond, 600*time.Millisecond))
		live := e.Live()
		e.lock.Lock()
		ended := time.Since(e.view()) > lease
		e.lock.Unlock()
		pool := []string{"a", "b"}[id%2]
		if !ended && e.Owner("pool/"+pool).Name == e.Self().Name {
			e.give(id, pool, live)
		}
	}
}

func (e *fakeEntry) give(id int, pool string, live []membership.Entry) {
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
	g := fakeGrant{instance: free[e.dice.between(0, time.Duration(len(free)))], runs: e.dice.between(100*time.Millisecond, 8*time.Second)}
	g.until = time.Now().Add(g.runs + 10*time.Second)
	e.lock.Lock()
	e.grants[id] = g
	grants := e.grants
	e.lock.Unlock()
	name := live[e.dice.between(0, time.Duration(len(live)))].Name
	for _, h := range e.entries {
		if m := h.Self(); m.Name == name {
			go func() {
				h.home(m.Incarnation, g)
				e.lock.Lock()
				delete(grants, id)
				e.lock.Unlock()
			}()
		}
	}
}

// home sends a task under a grant, mostly at once, now and then much later, if
// its own version has the instance serving in the pool.
func (e *fakeEntry) home(incarnation int64, g fakeGrant) {
	e.hold(g.instance.Name, 1)
	defer e.hold(g.instance.Name, -1)
	delay := e.dice.between(time.Millisecond, 20*time.Millisecond)
	if e.dice.chance(20) {
		delay = e.dice.between(time.Second, 8*time.Second)
	}
	time.Sleep(delay)
	now := e.State().Instances[g.instance.Name] // waits while this entry is frozen
	moved := now.Phase != fleet.Serving || now.Pool != g.instance.Pool
	inTime := time.Now().Before(g.until.Add(-250 * time.Millisecond))
	if inTime && (!moved || e.uncheckedHomes) && e.Self().Incarnation == incarnation {
		e.run(e, g)
	}
}

func (e *fakeEntry) hold(instance string, n int) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.held[instance] += n
}

func (e *fakeEntry) Status(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.call(ctx, e, address, "status")
}

func (e *fakeEntry) Drain(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.call(ctx, e, address, "drain")
}

func (e *fakeEntry) CancelDrain(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.call(ctx, e, address, "cancelDrain")
}

func (e *fakeEntry) Reboot(ctx context.Context, address string) (*endpointapi.Status, error) {
	return e.call(ctx, e, address, "reboot")
}
