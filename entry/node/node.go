package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/peer"
	"github.com/azurepoint/azurepoint/entry/queue"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Node is an entry instance.
type Node struct {
	// Name identifies the instance over restarts; Address is where other entries
	// reach it.
	Name    string
	Address string
	// Process is the start of the process in Unix nanoseconds.
	Process int64
	// Cores is the processor that the instance has.
	Cores float64
	Store store.Store
	Peers *peer.Client
	// Endpoints, Directory and Machines are what a manager of the pools needs.
	Endpoints manager.Endpoints
	Directory manager.Directory
	Machines  manager.Machines
	Reports   manager.WaveReports
	Manager   manager.Settings

	ownership     *ownership
	configuration atomic.Pointer[queue.Configuration]
	stopping      atomic.Bool
	storeReach    reach
	ownerReach    reach
	// ownerServes is lost while the owner answers that it cannot serve.
	ownerServes reach
	doubts      doubts
	entries     entries

	mu     sync.Mutex
	active *manager.Manager
	// inbox and cancels are jobs that entries changed without the owner.
	inbox   map[string]bool
	cancels map[string]bool
	waves   map[int64]manager.Wave
	// counts are the last answers to Pending by queue.
	counts map[string]countAt

	work chan struct{}
}

// Init prepares the node; it must be called before every other method.
func (n *Node) Init() {
	n.Store = watchedStore{Store: n.Store, reach: &n.storeReach}
	n.ownership = &ownership{
		store: n.Store, self: ownerRecord{Name: n.Name, Address: n.Address, Process: n.Process}, changed: make(chan struct{}, 1),
	}
	n.entries.reset()
	n.inbox = make(map[string]bool)
	n.cancels = make(map[string]bool)
	n.waves = make(map[int64]manager.Wave)
	n.counts = make(map[string]countAt)
	n.work = make(chan struct{}, 1)
}

// Run takes part in the ownership until the context ends, and gives it up then.
func (n *Node) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	return ended
}

func (n *Node) run(ctx context.Context) (err error) {
	// The view of the owner is needed until the process ends, for forwarding.
	viewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	control := &store.Follower{
		Store: n.Store, Prefix: manager.ControlPrefix, Reset: n.resetControl, Apply: n.applyControl,
		Lost: n.lostStore, Regained: n.regainedStore,
	}
	following := control.Run(viewing)
	parts := []<-chan error{n.askAround(viewing), n.probeStore(viewing), n.listSelf(ctx)}
	for ctx.Err() == nil {
		n.ownership.awaitClaim(ctx)
		retry.Pause(ctx, claimDelay(n.Cores, n.entries.strongest()))
		revision, may := n.ownership.claimable()
		if ctx.Err() != nil || !may {
			continue
		}
		t, err := n.ownership.claim(ctx, revision)
		if err != nil {
			event.ClaimFailed.Log(log.Fields{"error": err.Error()})
			retry.Pause(ctx, claimRetry)
			continue
		}
		n.own(ctx, t)
	}
	n.stopping.Store(true)
	cancel()
	for _, part := range parts {
		if e := <-part; e != nil && err == nil {
			err = e
		}
	}
	if e := <-following; err == nil {
		err = e
	}
	return err
}

// own manages the pools until the term or the context ends.
func (n *Node) own(ctx context.Context, t *heldTerm) {
	event.OwnershipTaken.Log(log.Fields{"term": t.number, "revision": t.revision})
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &manager.Manager{
		Settings: n.managerSettings(), Store: n.Store, Endpoints: n.Endpoints, Directory: n.Directory, Machines: n.Machines, Reports: n.Reports, Holder: n.Name,
		Pools: n.pools,
		Term: manager.Term{
			Owner:      store.Condition{Key: manager.OwnerKey, Revision: t.revision},
			Number:     t.number,
			OwnerLease: ownerLease,
			Confirmed:  func() bool { return n.ownership.confirmed(t) },
			Lost:       t.lose,
		},
	}
	m.Init()
	ended := m.Run(working)
	n.setActive(m)
	kept := make(chan error, 1)
	go func() {
		n.ownership.keep(working, t)
		kept <- nil
	}()
	n.serveControl(working, t, m)
	n.setActive(nil)
	cancel()
	<-kept
	if err := <-ended; err != nil {
		event.PartFailed.Log(log.Fields{"part": "manager", "error": err.Error()})
	}
	if ctx.Err() == nil {
		event.OwnershipLost.Log(log.Fields{"term": t.number})
		n.ownership.forget(t)
		return
	}
	if err := n.ownership.release(context.WithoutCancel(ctx), t); err != nil {
		event.OwnershipLost.Log(log.Fields{"term": t.number, "error": err.Error()})
	}
}

// controlRetry separates attempts to adopt a job that failed.
const controlRetry = 500 * time.Millisecond

// serveControl passes changes that were made without the owner to the manager,
// until the term or the context ends.
func (n *Node) serveControl(ctx context.Context, t *heldTerm, m *manager.Manager) {
	tick := time.NewTicker(controlRetry)
	defer tick.Stop()
	for {
		n.adopt(ctx, m)
		select {
		case <-ctx.Done():
			return
		case <-t.lost:
			return
		case <-n.work:
		case <-tick.C:
		}
	}
}

// adopt makes the owner take over what other entries stored.
func (n *Node) adopt(ctx context.Context, m *manager.Manager) {
	inbox, cancels := n.waiting()
	if len(inbox)+len(cancels) == 0 || !m.Loaded() {
		return
	}
	var handled []string
	for _, id := range inbox {
		if err := m.Adopt(ctx, id); err == nil {
			handled = append(handled, manager.InboxPrefix+id)
		}
	}
	for _, id := range cancels {
		if err := m.Adopt(ctx, id); err != nil {
			continue
		}
		waiting, cancel := context.WithTimeout(ctx, controlRetry)
		if state, known, owner := m.Cancel(waiting, id); owner && (!known || state.Terminal()) {
			handled = append(handled, manager.CancelPrefix+id)
		}
		cancel()
	}
	const most = store.MaxTransactionOps
	for len(handled) > 0 && ctx.Err() == nil {
		part := handled[:min(most, len(handled))]
		handled = handled[len(part):]
		if err := n.commit(ctx, store.Transaction{Removes: part}); err != nil {
			event.RecordFailed.Log(log.Fields{"action": "remove marks", "error": err.Error()})
			return
		}
	}
}

func (n *Node) waiting() (inbox, cancels []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.inbox {
		inbox = append(inbox, id)
	}
	for id := range n.cancels {
		cancels = append(cancels, id)
	}
	return inbox, cancels
}

// SetManagerSettings changes the settings of the next manager of the pools.
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
	n.active = m
	if m != nil {
		m.SetWaves(slices.Collect(maps.Values(n.waves)))
	}
}

// SetWave declares a maintenance wave, or ends its declaration.
func (n *Node) SetWave(w manager.Wave, declared bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.waves[w.Number]; known && declared {
		// The time within which it has to be over counts from the first sight.
		return
	}
	if declared {
		n.waves[w.Number] = w
	} else {
		delete(n.waves, w.Number)
	}
	if n.active != nil {
		n.active.SetWaves(slices.Collect(maps.Values(n.waves)))
	}
}

// manager returns the running manager if this entry owns the pools.
func (n *Node) manager() *manager.Manager {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active
}

func (n *Node) resetControl(items []store.Item, asOf int64) {
	n.mu.Lock()
	clear(n.inbox)
	clear(n.cancels)
	n.mu.Unlock()
	n.entries.reset()
	owner, found := store.Item{}, false
	for _, i := range items {
		if i.Key == manager.OwnerKey {
			owner, found = i, true
			continue
		}
		if !n.entries.note(store.Change{Item: i}) {
			n.mark(i.Key, true)
		}
	}
	if n.ownership.view(owner, found, asOf) {
		n.newOwner()
	}
}

func (n *Node) applyControl(changes []store.Change) {
	for _, c := range changes {
		if c.Key == manager.OwnerKey {
			if n.ownership.view(c.Item, !c.Removed, c.Revision) {
				n.newOwner()
			}
			continue
		}
		if !n.entries.note(c) {
			n.mark(c.Key, !c.Removed)
		}
	}
}

// mark records that a job was changed without the owner, or that the owner has
// taken the change over.
func (n *Node) mark(key string, present bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for prefix, marked := range map[string]map[string]bool{manager.InboxPrefix: n.inbox, manager.CancelPrefix: n.cancels} {
		id, found := strings.CutPrefix(key, prefix)
		switch {
		case !found:
		case present:
			marked[id] = true
		default:
			delete(marked, id)
		}
	}
	select {
	case n.work <- struct{}{}:
	default:
	}
}

func (n *Node) lostStore(err error) {
	event.StoreLost.Log(log.Fields{"error": err.Error()})
}

func (n *Node) regainedStore() {
	event.StoreRegained.Log(nil)
}

// SetConfiguration puts a configuration in force unless a later one is.
func (n *Node) SetConfiguration(c *queue.Configuration) {
	earlier := n.configuration.Load()
	if earlier != nil && c.Version <= earlier.Version {
		return
	}
	n.configuration.Store(c)
	event.ConfigInForce.Log(log.Fields{"version": c.Version, "queues": len(c.Queues), "pools": len(c.Pools)})
}

// Stop makes the node not ready, so that callers go elsewhere.
func (n *Node) Stop() {
	n.stopping.Store(true)
}

// Ready tells whether callers should come to this entry: it knows the
// configuration, and reaches the owner or the store.
func (n *Node) Ready() bool {
	return n.configuration.Load() != nil && !n.stopping.Load() && !n.cut()
}

// cut tells whether this entry reaches neither the store nor an owner that does.
func (n *Node) cut() bool {
	if !n.storeReach.lost() {
		return false
	}
	if m := n.manager(); m != nil {
		return !m.Term.Confirmed()
	}
	return n.ownerReach.lost() || n.ownerServes.lost()
}

// errNoOwner means that no owner of the pools is known or answers.
var errNoOwner = errors.New("node: no owner of the pools answers")
