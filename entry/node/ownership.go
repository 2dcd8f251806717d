package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Timeouts and delays of claims.
const (
	// maxClaimJitter bounds the random delay before a claim, so that few entries
	// claim at the same time.
	maxClaimJitter = 40 * time.Millisecond
	// maxClaimDelay is the delay of an entry with no CPU at all. Entries wait less
	// the closer their cores are to the most that an entry has, so that the strongest
	// entries claim first.
	maxClaimDelay = 250 * time.Millisecond
	// claimRetryDelay is the longest delay after a failed claim.
	claimRetryDelay = 250 * time.Millisecond
	// claimTimeout bounds a claim.
	claimTimeout = time.Second
	// stableAfter is how long after a claim an owner counts as stable: by then it has loaded the jobs and has
	// started what waited.
	stableAfter = 10 * time.Second
	// maxReclaims is how many processes of an entry claim the pools at once from one that has ended before it
	// was stable. The next one yields: it waits until the lease has ended, and yieldDelay longer than the
	// other entries, since what ends it may not end them.
	maxReclaims = 1
	yieldDelay  = time.Second
)

// ownerRecord is the value of the owner's key.
type ownerRecord struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Process distinguishes a restarted process from its predecessor.
	Process int64 `json:"process"`
	Term    int64 `json:"term"`
	// Reclaims counts the processes of this entry, one after the other, that have claimed the pools from
	// the one before, each before its StableAt, in Unix milliseconds.
	Reclaims int   `json:"reclaims,omitempty"`
	StableAt int64 `json:"stableAt,omitempty"`
}

// unstable reports whether the process claimed the pools a short time ago.
func (r *ownerRecord) unstable(now time.Time) bool {
	left := time.UnixMilli(r.StableAt).Sub(now)
	return left > 0 && left <= stableAfter
}

// endsRepeatedly reports whether the entry's processes end soon after they have claimed the pools.
func (r *ownerRecord) endsRepeatedly(now time.Time) bool {
	return r.Reclaims >= maxReclaims && r.unstable(now)
}

// ownership is an entry's view of who owns the pools.
type ownership struct {
	store store.Store
	self  ownerRecord

	mu sync.Mutex
	// owner is the stored owner, and revision the revision of its key or 0 if there
	// is none.
	owner    ownerRecord
	revision int64
	// record is the stored value of the owner's key.
	record []byte
	// reported is an owner that another entry reported while this one could not reach
	// the store, and reportedRevision the revision of its key.
	reported         ownerRecord
	reportedRevision int64
	// keyRead is set once the owner's key was read.
	keyRead bool
	// held is the term of this process, or nil.
	held *heldTerm
	// yields is set once the entry's earlier processes are known to have ended repeatedly.
	yields bool

	changed chan struct{}
}

// applyStored records the stored owner as of a revision of the store, and reports
// whether it has changed.
func (o *ownership) applyStored(item store.Item, found bool, asOf int64) (changed bool) {
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
		// This read is older than the process's own claim.
		o.mu.Unlock()
		return false
	}
	changed = !o.keyRead || o.revision != revision
	o.keyRead = true
	o.owner, o.revision, o.record = r, revision, item.Value
	o.yields = o.yields || o.isPredecessor(&r) && r.endsRepeatedly(time.Now())
	if asOf >= o.reportedRevision {
		o.reported, o.reportedRevision = ownerRecord{}, 0
	}
	if o.held != nil && revision != o.held.revision {
		o.held.end()
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
	if o.reportedRevision > o.revision {
		return o.reported, true
	}
	return o.owner, o.revision > 0
}

// stored returns the value and revision of the owner's key as last read from the
// store.
func (o *ownership) stored() (record []byte, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record, o.revision
}

// applyReported records an owner that another entry read at a revision of the owner's
// key, and reports whether it is newer than the known one. If it is newer than this
// process's own term, the term has ended.
func (o *ownership) applyReported(record []byte, revision int64) (changed bool) {
	var r ownerRecord
	if err := json.Unmarshal(record, &r); err != nil {
		event.RecordInvalid.Log(log.Fields{"key": manager.OwnerKey, "error": err.Error()})
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision <= max(o.revision, o.reportedRevision) {
		return false
	}
	o.reported, o.reportedRevision = r, revision
	event.OwnerReported.Log(log.Fields{"owner": r.Name, "term": r.Term, "revision": revision})
	if o.held != nil && revision > o.held.revision {
		o.held.end()
	}
	return true
}

// isSelf reports whether the record belongs to this process.
func (o *ownership) isSelf(r ownerRecord) bool {
	return r.Name == o.self.Name && r.Process == o.self.Process
}

// isPredecessor reports whether the record belongs to an earlier process of this entry.
func (o *ownership) isPredecessor(r *ownerRecord) bool {
	return r.Name == o.self.Name && r.Process != o.self.Process
}

// claimable reports whether this entry may claim the pools, because there is no owner
// or the owner is an earlier process of this entry and it does not yield, and returns the revision of the
// owner's key.
func (o *ownership) claimable() (revision int64, may bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.keyRead || o.held != nil {
		return 0, false
	}
	return o.revision, o.revision == 0 || o.isPredecessor(&o.owner) && !o.yields
}

// owns reports whether this process has a term, even if it cannot be confirmed.
func (o *ownership) owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held != nil
}

// awaitClaim returns once the pools may be claimed, or with a handover of them.
func (o *ownership) awaitClaim(ctx context.Context, handovers <-chan *received) (h *received) {
	for ctx.Err() == nil {
		if _, may := o.claimable(); may {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-o.changed:
		case h = <-handovers:
			return h
		}
	}
	return nil
}

// awaitRetry returns after the delay of a failed claim, or once the owner's key has changed. The
// strongest entry would otherwise still wait if the entry that won the claim ends soon.
func (o *ownership) awaitRetry(ctx context.Context, delay time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, delay)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-o.changed:
	}
}

// claim tries to become the owner; it fails if the owner's key no longer has the
// given revision.
func (o *ownership) claim(ctx context.Context, revision int64) (t *heldTerm, err error) {
	defer fault.Annotate(&err, "node: claim the pools")
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	items, _, err := o.store.Range(ctx, manager.TermKey)
	if err != nil {
		return nil, err
	}
	number, termRevision, since, err := nextTerm(items)
	if err != nil {
		return nil, err
	}
	confinement, err := json.Marshal(confinementRecord{Since: since, Term: number})
	if err != nil {
		return nil, err
	}
	granted := bootTime()
	lease, err := o.store.Grant(ctx, ownerLease)
	if err != nil {
		return nil, err
	}
	record := o.nextRecord(revision, time.Now())
	record.Term = number
	value, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	written, err := o.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: manager.OwnerKey, Revision: revision}, {Key: manager.TermKey, Revision: termRevision}},
		Puts: []store.Put{
			{Key: manager.OwnerKey, Value: value, Lease: lease},
			{Key: manager.TermKey, Value: []byte(strconv.FormatInt(number, 10))},
			{Key: manager.ConfinementKey, Value: confinement},
		},
	})
	if err != nil {
		return nil, err
	}
	t = &heldTerm{
		number: number, confinedSince: since, revision: written, lease: lease, lost: make(chan struct{}), renewalFailed: make(chan struct{}, 1),
	}
	t.extend(granted)
	o.hold(t, record, value)
	return t, nil
}

// nextRecord returns the record with which this process claims the pools from the owner whose key has a
// revision.
func (o *ownership) nextRecord(revision int64, now time.Time) (r ownerRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r = o.self
	r.StableAt = now.Add(stableAfter).UnixMilli()
	if o.revision == revision && revision > 0 && o.isPredecessor(&o.owner) && o.owner.unstable(now) {
		r.Reclaims = o.owner.Reclaims + 1
	}
	return r
}

// awaitYield returns after yieldDelay if this process yields.
func (o *ownership) awaitYield(ctx context.Context) {
	o.mu.Lock()
	yields := o.yields
	o.yields = false
	o.mu.Unlock()
	if yields {
		event.ClaimYielded.Log(nil)
		retry.Sleep(ctx, yieldDelay)
	}
}

// hold makes a claimed term the one of this process; record and value are those of the owner's
// key.
func (o *ownership) hold(t *heldTerm, record ownerRecord, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held = t
	if t.revision >= o.revision {
		o.owner, o.revision, o.record = record, t.revision, value
	} else {
		// A later revision of the key was seen before the answer to this claim.
		t.end()
	}
}

// serving reports whether this process owns the pools with a confirmed lease; it may
// still be loading the jobs.
func (o *ownership) serving() bool {
	o.mu.Lock()
	t := o.held
	o.mu.Unlock()
	return t != nil && t.confirmed()
}

// releaseTerm gives the term up, so that another entry can take over at once.
func (o *ownership) releaseTerm(ctx context.Context, t *heldTerm) (err error) {
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

// dropTerm ends a term that was lost.
func (o *ownership) dropTerm(t *heldTerm) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held == t {
		o.held = nil
	}
}

// claimDelay returns the delay before a claim by an entry with the given cores, where
// maxCores is the most that a listed entry has.
func claimDelay(cores, maxCores float64) time.Duration {
	delay := time.Duration(float64(maxClaimDelay) * (1 - min(cores/max(maxCores, cores, minCores), 1)))
	return delay + time.Duration(rand.Int64N(int64(maxClaimJitter)))
}

// minCores is below the cores of any entry; it prevents a division by zero.
const minCores = 0.01
