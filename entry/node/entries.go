package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Intervals and timeouts of the entry list and of the owner lookup.
const (
	// entryLease is how long an entry stays in the list without a renewal; an
	// outdated address only costs a request that gets no answer.
	entryLease = 30 * time.Second
	// entryRenewInterval is how often the lease is renewed, and entryRetryDelay the
	// delay after a failed registration.
	entryRenewInterval = 10 * time.Second
	entryRetryDelay    = time.Second
	// watchIntervalPerEntry times the number of entries is the least time between two watches
	// of an entry.
	watchIntervalPerEntry = time.Millisecond
	// maxWatchInterval bounds it below the time by which strong entries claim the pools before
	// weak ones.
	maxWatchInterval = 150 * time.Millisecond
	// lookupInterval is the time between owner lookups while the store is
	// unreachable: well below the 2 s that a takeover takes.
	lookupInterval = 400 * time.Millisecond
	// probeInterval is the time between reads that check whether the store answers
	// again; callers have 3 s and retry about every second.
	probeInterval = 150 * time.Millisecond
	// suspectAfter is how long the owner or the store may take to answer before the store is
	// probed. The owner answers from memory, or when a store that is not slow has answered.
	suspectAfter = 200 * time.Millisecond
	// suspectTimeout bounds that probe: it may begin an outage for callers, so it waits for a
	// store that is slower than usual.
	suspectTimeout = 400 * time.Millisecond
	// lookupTimeout bounds an owner lookup or a probe; a slow store answers within
	// 300 ms.
	lookupTimeout = 300 * time.Millisecond
	// lookupFanout is how many entries one lookup asks at the same time; half of the
	// entries may have lost the store as well.
	lookupFanout = 4
)

// entryRecord is the value of an entry's key.
type entryRecord struct {
	Address string `json:"address"`
	// Cores is the CPU that the entry has.
	Cores float64 `json:"cores"`
}

// maxCores bounds the cores of an entry; the one with most of them is the first to claim.
const maxCores = 100_000

// decodeEntry parses the value of an entry's key. A record without an address is one of an
// entry that is not asked.
func decodeEntry(value []byte) (r entryRecord, err error) {
	if err = json.Unmarshal(value, &r); err != nil {
		return entryRecord{}, err
	}
	if _, err = input.Whole(r.Cores, maxCores); err != nil {
		return entryRecord{}, errors.Wrap(err, "cores")
	}
	if r.Address != "" {
		err = input.Address(r.Address)
	}
	return r, err
}

// entries holds the listed entries by name. The list is kept while the store is
// unreachable, because the owner lookup needs it then.
type entries struct {
	mu     sync.Mutex
	listed map[string]entryRecord
}

// reset empties the list.
func (e *entries) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = make(map[string]entryRecord)
}

// applyChange applies a change to an entry's key and reports whether the key is one.
func (e *entries) applyChange(c store.Change) (isEntry bool) {
	name, isEntry := strings.CutPrefix(c.Key, manager.EntryPrefix)
	if !isEntry {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Removed {
		delete(e.listed, name)
		return true
	}
	r, err := decodeEntry(c.Value)
	if err != nil {
		if event.RecordInvalidLimited.Allow() {
			event.RecordInvalid.Log(log.Fields{"key": c.Key, "error": input.Excerpt(err)})
		}
		delete(e.listed, name)
		return true
	}
	e.listed[name] = r
	return true
}

// randomAddresses returns the addresses of up to limit random entries other than
// except.
func (e *entries) randomAddresses(except string, limit int) (addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.listed {
		if name != except && r.Address != "" {
			addresses = append(addresses, r.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(limit, len(addresses))]
}

// watchInterval returns the least time between two watches of the view: it keeps up to 150
// entries together to 1,000 of them a second, whatever changes.
func (e *entries) watchInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(time.Duration(len(e.listed))*watchIntervalPerEntry, maxWatchInterval)
}

// maxCores returns the highest number of cores of a listed entry.
func (e *entries) maxCores() (cores float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.listed {
		cores = max(cores, r.Cores)
	}
	return cores
}

// runRegistration keeps this entry in the list until the context ends.
func (n *Node) runRegistration(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		lease := int64(0)
		for ctx.Err() == nil {
			if lease != 0 && n.renewRegistration(ctx, lease) {
				lease = 0
			}
			if lease == 0 {
				lease = n.register(ctx)
			}
			if lease == 0 {
				retry.Sleep(ctx, entryRetryDelay)
				continue
			}
			retry.Sleep(ctx, entryRenewInterval)
		}
		ended <- nil
	}()
	return ended
}

// register writes this entry's key and returns its lease, or 0 if the write failed or
// was not confirmed.
func (n *Node) register(ctx context.Context) (lease int64) {
	value, err := json.Marshal(entryRecord{Address: n.Address, Cores: n.Cores})
	if err != nil {
		event.RecordFailed.Log(log.Fields{"key": manager.EntryPrefix + n.Name, "error": err.Error()})
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease, err = n.Store.Grant(ctx, entryLease); err == nil {
		_, err = n.Store.Commit(ctx, store.Transaction{Puts: []store.Put{{Key: manager.EntryPrefix + n.Name, Value: value, Lease: lease}}})
	}
	if err != nil {
		event.RecordFailed.Log(log.Fields{"key": manager.EntryPrefix + n.Name, "error": err.Error()})
		return 0
	}
	return lease
}

// renewRegistration renews the lease of this entry's key and reports whether the
// lease has ended. Other errors are ignored, because further renewals follow well
// before its end.
func (n *Node) renewRegistration(ctx context.Context, lease int64) (leaseEnded bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return errors.Is(n.Store.Renew(ctx, lease), store.ErrLeaseEnded)
}

// runOwnerLookup requests the owner from other entries while this one cannot reach the store, and
// once if the owner takes longer than suspectAfter, until the context ends. The owner that this
// entry last read from the store may have ended long before.
func (n *Node) runOwnerLookup(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			wake := time.NewTimer(lookupInterval)
			select {
			case <-ctx.Done():
			case <-wake.C:
				if n.storeReach.lost() {
					n.lookUpOwner(ctx)
				}
			case <-n.ownerSuspected:
				n.lookUpOwner(ctx)
				retry.Sleep(ctx, probeInterval)
			}
			wake.Stop()
		}
		ended <- nil
	}()
	return ended
}

// runStoreProbe reads a key periodically while the store is unreachable, and once if a call
// takes longer than suspectAfter, until the context ends. A hanging watch would show only seconds
// later that the store does not answer, or that it does so again.
func (n *Node) runStoreProbe(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			wake := time.NewTimer(probeInterval)
			select {
			case <-ctx.Done():
			case <-wake.C:
				if n.storeReach.lost() {
					n.probeStore(ctx, lookupTimeout)
				}
			case <-n.suspected:
				n.probeStore(ctx, suspectTimeout)
				retry.Sleep(ctx, probeInterval)
			}
			wake.Stop()
		}
		ended <- nil
	}()
	return ended
}

// suspect has the store probed, because a call takes longer than suspectAfter.
func (n *Node) suspect() {
	wakeUp(n.suspected)
}

// suspectOwner has the store probed and the owner looked up.
func (n *Node) suspectOwner() {
	wakeUp(n.suspected)
	wakeUp(n.ownerSuspected)
}

func wakeUp(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probeStore reads a key; monitoredStore records whether there was an answer.
func (n *Node) probeStore(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wasLost := n.storeReach.lost()
	if _, _, err := n.Store.Get(ctx, manager.OwnerKey); err == nil && wasLost {
		event.StoreProbed.Log(nil)
	}
}

// lookUpOwner asks a few entries for the owner, and the known owner whether it
// serves, and applies the answers. Entries that do not answer are ignored.
func (n *Node) lookUpOwner(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	owner, known := n.ownership.current()
	others := n.entries.randomAddresses(n.Name, lookupFanout)
	answered := make(chan struct{})
	for _, address := range others {
		go func() {
			v, err := n.Peers.Current(ctx, address)
			if err == nil && v.Revision > 0 && n.ownership.applyReported(v.Record, v.Revision) {
				n.resetOwnerReach()
			}
			answered <- struct{}{}
		}()
	}
	if known && !n.ownership.isSelf(owner) {
		v, err := n.Peers.Current(ctx, owner.Address)
		n.recordOwnerAnswer(owner, err == nil, err == nil && v.Serving)
	}
	for range others {
		<-answered
	}
}

// recordOwnerAnswer records whether the asked owner answered and serves, unless
// another owner is known by now.
func (n *Node) recordOwnerAnswer(asked ownerRecord, answered, serves bool) {
	if n.recordOwnerReach(asked, answered) {
		n.ownerServes.record(serves)
	}
}

// recordOwnerReach records whether the asked owner answered, and reports whether it
// is still the known owner.
func (n *Node) recordOwnerReach(asked ownerRecord, answered bool) (current bool) {
	owner, known := n.ownership.current()
	current = known && owner == asked
	if current {
		n.ownerReach.record(answered)
	}
	return current
}

// resetOwnerReach marks a new owner as reachable, so that callers' requests are sent
// to it.
func (n *Node) resetOwnerReach() {
	n.ownerReach.record(true)
	n.ownerServes.record(true)
}
