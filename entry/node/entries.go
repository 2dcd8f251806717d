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

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Times of the entries' list.
const (
	// entryLease is how long an entry stays in the list without a renewal; a stale
	// address only costs a question without an answer.
	entryLease = 30 * time.Second
	// entryRenew is how often the lease is renewed, and entryRetry when an entry that
	// could not list itself tries again.
	entryRenew = 10 * time.Second
	entryRetry = time.Second
	// askInterval separates questions about the owner while the store is lost: well
	// below the 2 s that a takeover takes.
	askInterval = 400 * time.Millisecond
	// probeInterval separates reads that show whether the store is back; callers have
	// 3 s, and come back about every second.
	probeInterval = 150 * time.Millisecond
	// askTimeout bounds a question or a probe; a slow store answers within 300 ms.
	askTimeout = 300 * time.Millisecond
	// askEntries is how many entries are asked at once; half of the entries may have
	// lost the store as well.
	askEntries = 4
)

// entryRecord is the value of an entry's key.
type entryRecord struct {
	Address string `json:"address"`
	// Cores is the processor that the entry has.
	Cores float64 `json:"cores"`
}

// entries are the listed entries by name; the zero value is empty. It keeps its last
// state while the store is lost, as that is when it is needed.
type entries struct {
	mu     sync.Mutex
	listed map[string]entryRecord
}

// reset replaces the list.
func (e *entries) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = make(map[string]entryRecord)
}

// note records a change of an entry's key, and tells whether it is one.
func (e *entries) note(c store.Change) (isEntry bool) {
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
	var r entryRecord
	if err := json.Unmarshal(c.Value, &r); err != nil {
		event.RecordInvalid.Log(log.Fields{"key": c.Key, "error": err.Error()})
		return true
	}
	e.listed[name] = r
	return true
}

// some returns the addresses of a few random entries other than one.
func (e *entries) some(except string, most int) (addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.listed {
		if name != except {
			addresses = append(addresses, r.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(most, len(addresses))]
}

// strongest returns the most processor that a listed entry has.
func (e *entries) strongest() (cores float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.listed {
		cores = max(cores, r.Cores)
	}
	return cores
}

// listSelf keeps this entry in the list until the context ends.
func (n *Node) listSelf(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		lease := int64(0)
		for ctx.Err() == nil {
			if lease != 0 && n.renewEntry(ctx, lease) {
				lease = 0
			}
			if lease == 0 {
				lease = n.enter(ctx)
			}
			if lease == 0 {
				retry.Pause(ctx, entryRetry)
				continue
			}
			retry.Pause(ctx, entryRenew)
		}
		ended <- nil
	}()
	return ended
}

// enter writes this entry's key and returns its lease, or 0 if it was not written
// for certain.
func (n *Node) enter(ctx context.Context) (lease int64) {
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

// renewEntry renews the lease of this entry's key and tells whether it has ended. After
// any other error it goes on, and the next renewals come well before its end.
func (n *Node) renewEntry(ctx context.Context, lease int64) (over bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return errors.Is(n.Store.Renew(ctx, lease), store.ErrNoLease)
}

// askAround asks other entries for the owner while this one has lost the store, until
// the context ends: its own view then names an owner that may be long gone.
func (n *Node) askAround(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if n.storeReach.lost() {
				n.ask(ctx)
			}
			retry.Pause(ctx, askInterval)
		}
		ended <- nil
	}()
	return ended
}

// probeStore reads a key again and again while the store is lost, until the context
// ends: a watch that hangs would show seconds late that the store answers again.
func (n *Node) probeStore(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if n.storeReach.lost() {
				n.probe(ctx)
			}
			retry.Pause(ctx, probeInterval)
		}
		ended <- nil
	}()
	return ended
}

// probe reads a key; the store's reach records whether there was an answer.
func (n *Node) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if _, _, err := n.Store.Get(ctx, manager.OwnerKey); err == nil {
		event.StoreProbed.Log(nil)
	}
}

// ask asks a few entries for the owner, and the owner whether it serves, and takes the
// answers over. An entry that does not answer tells nothing.
func (n *Node) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	owner, known := n.ownership.current()
	others := n.entries.some(n.Name, askEntries)
	answered := make(chan struct{})
	for _, address := range others {
		go func() {
			v, err := n.Peers.Current(ctx, address)
			if err == nil && v.Revision > 0 && n.ownership.hear(v.Record, v.Revision) {
				n.newOwner()
			}
			answered <- struct{}{}
		}()
	}
	if known && !n.ownership.isSelf(owner) {
		v, err := n.Peers.Current(ctx, owner.Address)
		n.noteOwner(owner, err == nil, err == nil && v.Serving)
	}
	for range others {
		<-answered
	}
}

// noteOwner records how an owner answered, unless another one is known by now.
func (n *Node) noteOwner(asked ownerRecord, answered, serves bool) {
	if n.noteReach(asked, answered) {
		n.ownerServes.note(serves)
	}
}

// noteReach records whether an owner answered, and tells whether it is still the one
// that is known.
func (n *Node) noteReach(asked ownerRecord, answered bool) (current bool) {
	owner, known := n.ownership.current()
	current = known && owner == asked
	if current {
		n.ownerReach.note(answered)
	}
	return current
}

// newOwner lets callers' requests try a new owner.
func (n *Node) newOwner() {
	n.ownerReach.note(true)
	n.ownerServes.note(true)
}
