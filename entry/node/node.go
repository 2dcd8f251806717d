package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/access"
	"github.com/azurepoint/azurepoint/coordination/outage"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/peer"
	"github.com/azurepoint/azurepoint/entry/queue"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Node is an entry instance.
type Node struct {
	// Name identifies the instance across restarts; Address is where other entries
	// reach it.
	Name    string
	Address string
	// DataCentre is the data centre of the instance; new jobs of its callers may be confined
	// to it.
	DataCentre string
	// Process is the start time of the process in Unix nanoseconds.
	Process int64
	// Cores is the CPU that the instance has.
	Cores float64
	Store store.Store
	Peers *peer.Client
	// Endpoints, Directory, Machines, Reports and Manager are passed to the manager
	// of the pools.
	Endpoints manager.Endpoints
	Directory manager.Directory
	Machines  manager.Machines
	Reports   manager.WaveReports
	Manager   manager.Settings
	// Access bounds for how long a removed key is served.
	Access access.Policy
	// Returns decides when callers return that are turned away in an outage.
	Returns outage.Returns

	// view is how recent the configuration is.
	view          access.View
	ownership     *ownership
	configuration atomic.Pointer[inForce]
	stopping      atomic.Bool
	storeReach    reachability
	ownerReach    reachability
	// ownerServes records whether the owner answers that it serves the pools.
	ownerServes reachability
	unsettled   unsettledJobs
	entries     entries
	// cancelView is what this entry, as the owner, has read of the cancel marks beside cancels.
	cancelView cancelView

	mu            sync.Mutex
	activeManager *manager.Manager
	// inbox and cancels hold the jobs that entries stored or cancelled without the
	// owner, with the revisions of their marks; inboxQueues holds the queues of the former.
	inbox       map[string]int64
	cancels     map[string]int64
	inboxQueues map[string]string
	waves       map[int64]manager.Wave
	// pendingCounts holds the last result of Pending by queue.
	pendingCounts map[string]cachedCount

	// noHandoverUntil and noStoreHandoverUntil are the times until which the pools are not
	// handed over again to a stronger entry or because of the store; only the goroutines of a
	// term access them.
	noHandoverUntil, noStoreHandoverUntil time.Time
	// handovers receives the handovers of other entries while this one may claim.
	handovers chan *received
	// suspected requests a probe of the store, and ownerSuspected a lookup of the owner.
	suspected, ownerSuspected chan struct{}
	// cancelsChanged and inboxChanged wake the servers of the marks.
	cancelsChanged, inboxChanged chan struct{}
}

// Init prepares the node; it must be called before every other method.
func (n *Node) Init() {
	n.suspected, n.ownerSuspected = make(chan struct{}, 1), make(chan struct{}, 1)
	n.Store = monitoredStore{Store: n.Store, reach: &n.storeReach, slow: n.suspect}
	n.ownership = &ownership{
		store: n.Store, self: ownerRecord{Name: n.Name, Address: n.Address, Process: n.Process}, changed: make(chan struct{}, 1),
	}
	n.entries.reset()
	n.inbox = make(map[string]int64)
	n.cancels = make(map[string]int64)
	n.inboxQueues = make(map[string]string)
	n.waves = make(map[int64]manager.Wave)
	n.pendingCounts = make(map[string]cachedCount)
	n.cancelsChanged = make(chan struct{}, 1)
	n.inboxChanged = make(chan struct{}, 1)
	n.handovers = make(chan *received)
}

// Run competes for the ownership until the context ends, and then releases it.
func (n *Node) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	return ended
}

func (n *Node) run(ctx context.Context) (err error) {
	// The record of the owner is needed for forwarding until the process ends.
	viewCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	control := &store.Follower{
		Store: n.Store, Prefix: manager.ControlPrefix, Reset: n.resetControl, Apply: n.applyControl,
		OnUnreachable: n.storeLost, OnRecovered: n.storeRegained, Interval: n.entries.watchInterval,
	}
	following := control.Run(viewCtx)
	components := []<-chan error{n.runAccess(viewCtx), n.runOwnerLookup(viewCtx), n.runStoreProbe(viewCtx), n.runRegistration(ctx)}
	for ctx.Err() == nil {
		if h := n.ownership.awaitClaim(ctx, n.handovers); h != nil {
			n.claimHandedOver(ctx, h)
			continue
		}
		n.ownership.awaitYield(ctx)
		retry.Sleep(ctx, claimDelay(n.Cores, n.entries.maxCores()))
		revision, may := n.ownership.claimable()
		if ctx.Err() != nil || !may {
			continue
		}
		t, err := n.ownership.claim(ctx, revision)
		if err != nil {
			event.ClaimFailed.Log(log.Fields{"error": err.Error()})
			n.ownership.awaitRetry(ctx, claimRetryDelay)
			continue
		}
		n.runTerm(ctx, t, nil)
	}
	n.stopping.Store(true)
	cancel()
	for _, component := range components {
		if e := <-component; e != nil && err == nil {
			err = e
		}
	}
	if e := <-following; err == nil {
		err = e
	}
	return err
}

// SetManagerSettings sets the settings of the next manager, which is created with the
// next term.
func (n *Node) SetManagerSettings(s manager.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Manager = s
}

func (n *Node) managerSettings() manager.Settings {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Manager
}

func (n *Node) setActive(m *manager.Manager) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeManager = m
	if m != nil {
		m.SetWaves(slices.Collect(maps.Values(n.waves)))
	}
}

// SetWave adds a declared maintenance wave, or removes it if declared is false.
func (n *Node) SetWave(w manager.Wave, declared bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.waves[w.Number]; known && declared {
		// The deadline of the wave counts from its first declaration.
		return
	}
	if declared {
		n.waves[w.Number] = w
	} else {
		delete(n.waves, w.Number)
	}
	if n.activeManager != nil {
		n.activeManager.SetWaves(slices.Collect(maps.Values(n.waves)))
	}
}

// manager returns the running manager, or nil if this entry does not own the pools.
func (n *Node) manager() *manager.Manager {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeManager
}

func (n *Node) resetControl(items []store.Item, asOf int64) {
	n.resetMarks(items)
	n.entries.reset()
	owner, found := store.Item{}, false
	for _, i := range items {
		if i.Key == manager.OwnerKey {
			owner, found = i, true
			continue
		}
		n.entries.applyChange(store.Change{Item: i})
	}
	if n.ownership.applyStored(owner, found, asOf) {
		n.resetOwnerReach()
	}
}

func (n *Node) applyControl(changes []store.Change) {
	for _, c := range changes {
		if c.Key == manager.OwnerKey {
			if n.ownership.applyStored(c.Item, !c.Removed, c.Revision) {
				n.resetOwnerReach()
			}
			continue
		}
		if !n.entries.applyChange(c) {
			n.applyMark(c)
		}
	}
}

func (n *Node) storeLost(err error) {
	event.StoreUnreachable.Log(log.Fields{"error": err.Error()})
}

func (n *Node) storeRegained() {
	event.StoreRecovered.Log(nil)
}

// SetConfiguration applies a configuration unless it is older than the current one.
func (n *Node) SetConfiguration(c *queue.Configuration) {
	current := n.configuration.Load()
	if current != nil && c.Version < current.Version {
		return
	}
	n.configuration.Store(newInForce(c))
	event.ConfigInForce.Log(log.Fields{"version": c.Version, "queues": len(c.Queues), "pools": len(c.Pools), "organisations": len(c.Organisations)})
}

// Stop makes the node report that it is not ready, so that callers use other entries.
func (n *Node) Stop() {
	n.stopping.Store(true)
}

// Ready reports whether this entry can serve callers: it has read the configuration, may rely
// on its keys, and reaches the owner or the store.
func (n *Node) Ready() bool {
	return n.configuration.Load() != nil && !n.stopping.Load() && !n.isolated() && !n.accessClosed()
}

// isolated reports whether this entry reaches neither the store nor an owner that
// does.
func (n *Node) isolated() (isolated bool) {
	isolated, _ = n.isolation()
	return isolated
}

// isolation reports whether this entry reaches neither the store nor an owner that does, and
// for how long it has known.
func (n *Node) isolation() (isolated bool, age time.Duration) {
	if !n.storeReach.lost() {
		return false, 0
	}
	age = n.storeReach.lostFor()
	if m := n.manager(); m != nil {
		return !m.Term.Confirmed() || n.ownerLostStore(), age
	}
	return n.ownerReach.lost() || n.ownerServes.lost(), min(age, max(n.ownerReach.lostFor(), n.ownerServes.lostFor()))
}

// ownerLostStore reports whether this entry, as the owner, has lost the store for so long that
// it takes no new jobs.
func (n *Node) ownerLostStore() bool {
	return n.storeReach.lostFor() > ownerStorePatience
}

// errNoOwner means that no owner of the pools is known or answers.
var errNoOwner = errors.New("node: no owner of the pools answers")
