package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Times of ownership.
const (
	// ownerLease is how long an owner is believed without a renewal: two renewals may be
	// lost, or one while the store is slow. A takeover waits for it.
	ownerLease = 1500 * time.Millisecond
	// renewInterval is how often the lease is renewed.
	renewInterval = 350 * time.Millisecond
	// renewTimeout bounds a renewal, as a slow store answers within 300 ms, and
	// renewRetry is when a failed one is repeated: the owner serves again as soon as a
	// store that was away answers.
	renewTimeout = 350 * time.Millisecond
	renewRetry   = 50 * time.Millisecond
	// authorityMargin ends the owner's belief before the store's lease.
	authorityMargin = 100 * time.Millisecond
	// claimSpread is the longest random delay before a claim, so that few entries
	// claim at the same time.
	claimSpread = 40 * time.Millisecond
	// weakDelay is the delay of an entry without any processor beside the strongest one,
	// so that the entries with the most of it claim first.
	weakDelay = 250 * time.Millisecond
	// claimRetry separates claims that failed.
	claimRetry = 250 * time.Millisecond
	// claimTimeout bounds a claim.
	claimTimeout = time.Second
)

// ownerRecord is the value of the owner's key.
type ownerRecord struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Process tells a restarted process from its predecessor.
	Process int64 `json:"process"`
	Term    int64 `json:"term"`
}

// ownership is an entry's view of who owns the pools.
type ownership struct {
	store store.Store
	self  ownerRecord

	mu sync.Mutex
	// owner is the stored owner and revision the revision of its key, 0 if there is
	// none.
	owner    ownerRecord
	revision int64
	// record is the value of the owner's key.
	record []byte
	// heard is an owner of which another entry told while this one had lost the store,
	// and heardRevision the revision of its key.
	heard         ownerRecord
	heardRevision int64
	// viewed is set once the key was read.
	viewed bool
	// held is the term of this process, or nil.
	held *heldTerm

	changed chan struct{}
}

// heldTerm is a term of this process.
type heldTerm struct {
	number   int64
	revision int64
	lease    int64
	// confirmedUntil is the boot time until which the lease lasts for certain.
	confirmedUntil time.Duration
	confirmed      bool
	lost           chan struct{}
	lostOnce       sync.Once
}

func (t *heldTerm) lose() {
	t.lostOnce.Do(func() { close(t.lost) })
}

// view records the stored owner as it was at a revision of the store, and tells
// whether it has changed.
func (o *ownership) view(item store.Item, found bool, asOf int64) (changed bool) {
	var r ownerRecord
	if found {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			event.RecordInvalid.Log(log.Fields{"key": item.Key, "error": err.Error()})
		}
	}
	revision := int64(0)
	if found {
		revision = item.Revision
	}
	o.mu.Lock()
	if o.held != nil && asOf < o.held.revision {
		// The view is older than this process's own claim.
		o.mu.Unlock()
		return false
	}
	changed = !o.viewed || o.revision != revision
	o.viewed = true
	o.owner, o.revision, o.record = r, revision, item.Value
	if asOf >= o.heardRevision {
		o.heard, o.heardRevision = ownerRecord{}, 0
	}
	if o.held != nil && revision != o.held.revision {
		o.held.lose()
	}
	o.mu.Unlock()
	if changed {
		event.OwnerChanged.Log(log.Fields{"owner": r.Name, "term": r.Term, "revision": item.Revision})
		select {
		case o.changed <- struct{}{}:
		default:
		}
	}
	return changed
}

// current returns the latest known owner, if there is one.
func (o *ownership) current() (r ownerRecord, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.heardRevision > o.revision {
		return o.heard, true
	}
	return o.owner, o.revision > 0
}

// stored returns the record of the owner as the store last showed it.
func (o *ownership) stored() (record []byte, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record, o.revision
}

// hear takes over what another entry read of the owner's key at a revision. A later
// key than that of this process's term shows that the term is over. Changed tells
// whether the owner is another one than was known.
func (o *ownership) hear(record []byte, revision int64) (changed bool) {
	var r ownerRecord
	if err := json.Unmarshal(record, &r); err != nil {
		event.RecordInvalid.Log(log.Fields{"key": manager.OwnerKey, "error": err.Error()})
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision <= max(o.revision, o.heardRevision) {
		return false
	}
	o.heard, o.heardRevision = r, revision
	event.OwnerReported.Log(log.Fields{"owner": r.Name, "term": r.Term, "revision": revision})
	if o.held != nil && revision > o.held.revision {
		o.held.lose()
	}
	return true
}

// isSelf tells whether the record is of this process.
func (o *ownership) isSelf(r ownerRecord) bool {
	return r.Name == o.self.Name && r.Process == o.self.Process
}

// claimable tells whether this entry may claim the pools, as there is no owner, or
// the owner is an earlier process of this entry, and the revision that the owner's
// key has then.
func (o *ownership) claimable() (revision int64, may bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.viewed || o.held != nil {
		return 0, false
	}
	return o.revision, o.revision == 0 || (o.owner.Name == o.self.Name && o.owner.Process != o.self.Process)
}

// awaitClaim returns once the pools may be claimed.
func (o *ownership) awaitClaim(ctx context.Context) {
	for ctx.Err() == nil {
		if _, may := o.claimable(); may {
			return
		}
		select {
		case <-ctx.Done():
		case <-o.changed:
		}
	}
}

// claim tries to become the owner while the owner's key has a revision.
func (o *ownership) claim(ctx context.Context, revision int64) (t *heldTerm, err error) {
	defer fault.Annotate(&err, "node: claim the pools")
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	term, found, err := o.store.Get(ctx, manager.TermKey)
	if err != nil {
		return nil, err
	}
	number := int64(0)
	if found {
		if number, err = strconv.ParseInt(string(term.Value), 10, 64); err != nil {
			return nil, err
		}
	}
	number++
	granted := bootTime()
	lease, err := o.store.Grant(ctx, ownerLease)
	if err != nil {
		return nil, err
	}
	record := o.self
	record.Term = number
	value, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	written, err := o.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: manager.OwnerKey, Revision: revision}, {Key: manager.TermKey, Revision: term.Revision}},
		Puts: []store.Put{
			{Key: manager.OwnerKey, Value: value, Lease: lease},
			{Key: manager.TermKey, Value: []byte(strconv.FormatInt(number, 10))},
		},
	})
	if err != nil {
		return nil, err
	}
	t = &heldTerm{
		number: number, revision: written, lease: lease, confirmed: true,
		confirmedUntil: granted + ownerLease - authorityMargin, lost: make(chan struct{}),
	}
	o.mu.Lock()
	o.held = t
	if written >= o.revision {
		o.owner, o.revision, o.record = record, written, value
	} else {
		// A later key was seen before the answer to this claim.
		t.lose()
	}
	o.mu.Unlock()
	return t, nil
}

// serving tells whether this process owns the pools for certain; it may still be
// loading the jobs.
func (o *ownership) serving() bool {
	o.mu.Lock()
	t := o.held
	o.mu.Unlock()
	return t != nil && o.confirmed(t)
}

// confirmed tells whether the term is certain to last now.
func (o *ownership) confirmed(t *heldTerm) bool {
	now := bootTime()
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-t.lost:
		return false
	default:
	}
	certain := now < t.confirmedUntil
	if certain != t.confirmed {
		t.confirmed = certain
		e := event.OwnershipUnconfirmed
		if certain {
			e = event.OwnershipConfirmed
		}
		e.Log(log.Fields{"term": t.number, "leaseLeftMillis": (t.confirmedUntil - now).Milliseconds()})
	}
	return certain
}

// keep renews the term's lease until the term or the context ends.
func (o *ownership) keep(ctx context.Context, t *heldTerm) {
	next := time.NewTimer(renewInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.lost:
			return
		case <-next.C:
			if o.renew(ctx, t) {
				next.Reset(renewInterval)
			} else {
				next.Reset(renewRetry)
			}
		}
	}
}

// renew renews the term's lease once.
func (o *ownership) renew(ctx context.Context, t *heldTerm) (renewed bool) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := bootTime()
	err := o.store.Renew(ctx, t.lease)
	switch {
	case err == nil:
		o.mu.Lock()
		t.confirmedUntil = sent + ownerLease - authorityMargin
		o.mu.Unlock()
	case errors.Is(err, store.ErrNoLease):
		event.OwnershipLost.Log(log.Fields{"term": t.number, "reason": "the lease has ended"})
		t.lose()
	}
	return err == nil
}

// release gives the term up, so that another entry takes over at once.
func (o *ownership) release(ctx context.Context, t *heldTerm) (err error) {
	defer fault.Annotate(&err, "node: give up the pools")
	o.mu.Lock()
	o.held = nil
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = o.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: manager.OwnerKey, Revision: t.revision}},
		Removes:    []string{manager.OwnerKey},
	})
	return err
}

// forget ends a term that was lost.
func (o *ownership) forget(t *heldTerm) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held == t {
		o.held = nil
	}
}

// claimDelay returns the delay before a claim of an entry with a number of cores,
// where the strongest entry has so many.
func claimDelay(cores, strongest float64) time.Duration {
	weak := time.Duration(float64(weakDelay) * (1 - min(cores/max(strongest, cores, leastCores), 1)))
	return weak + time.Duration(rand.Int64N(int64(claimSpread)))
}

// leastCores is less processor than any entry has.
const leastCores = 0.01
