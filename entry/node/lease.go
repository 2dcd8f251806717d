package node

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/store"
)

// The owner's lease and its renewal.
const (
	// ownerLease is how long an owner keeps its ownership without a renewal: two
	// renewals may be lost, or one while the store is slow. A takeover has to wait
	// for its end.
	ownerLease = 1500 * time.Millisecond
	// renewInterval is how often a renewal is sent, whether or not the one before was answered.
	// One without an answer by then counts as failed, because a slow store answers within
	// 300 ms.
	renewInterval = 350 * time.Millisecond
	// renewRetryDelay is the delay after a failed renewal; it is short, so that the
	// owner serves again as soon as the store answers.
	renewRetryDelay = 50 * time.Millisecond
	// ownerLeaseMargin is how long before the lease ends in the store the owner stops
	// relying on it.
	ownerLeaseMargin = 100 * time.Millisecond
	// answerReadTime is after which time the runtime has queued the goroutine of an answer that
	// has arrived: on a busy process it checks the connections every 10 ms.
	answerReadTime = 20 * time.Millisecond
	// answerSteps is how often a call waits for its goroutine to run: when it has opened a
	// connection, when it has got one and when its answer has arrived.
	answerSteps = 3
)

// heldTerm is a term of this process.
type heldTerm struct {
	number int64
	// confinedSince is the first term from which on all owners have kept the tasks of
	// confined jobs in their data centres.
	confinedSince int64
	revision      int64
	lease         int64
	// confirmedUntil is the boot time until which the lease is certain to last, in nanoseconds.
	// Every order and poll reads it, so that it has no lock.
	confirmedUntil atomic.Int64
	// unconfirmed is set while the lease is not certain to last, as it was logged.
	unconfirmed atomic.Bool
	// mu guards failedRenewals, which counts the renewals that have failed in a row, and
	// failingSince, when the first one of them failed.
	mu             sync.Mutex
	failedRenewals int
	failingSince   time.Time
	// renewalFailed wakes watchForHandover when the store seems to be lost.
	renewalFailed chan struct{}
	// reason is why the owner itself has ended the term, and successors are the entries that
	// may take over; both are set before the term ends.
	reason     handoverReason
	successors []successor
	lost       chan struct{}
	lostOnce   sync.Once
}

// over reports whether the term has ended.
func (t *heldTerm) over() bool {
	select {
	case <-t.lost:
		return true
	default:
		return false
	}
}

func (t *heldTerm) end() {
	t.lostOnce.Do(func() { close(t.lost) })
}

// extend records that the store has carried out a grant or renewal which was sent at a boot
// time. Answers may be read in another order than the renewals were sent.
func (t *heldTerm) extend(sent time.Duration) {
	until := int64(sent + ownerLease - ownerLeaseMargin)
	for {
		known := t.confirmedUntil.Load()
		if known >= until || t.confirmedUntil.CompareAndSwap(known, until) {
			return
		}
	}
}

// confirmed reports whether the term is certain to last at this moment.
func (t *heldTerm) confirmed() bool {
	if t.over() {
		return false
	}
	// The boot time is read last, so that a pause before it cannot hide the end of the lease.
	left := time.Duration(t.confirmedUntil.Load())
	left -= bootTime()
	certain := left > 0
	if t.unconfirmed.Load() == certain && t.unconfirmed.CompareAndSwap(certain, !certain) {
		e := event.OwnershipUnconfirmed
		if certain {
			e = event.OwnershipConfirmed
		}
		e.Log(log.Fields{"term": t.number, "leaseLeftMillis": left.Milliseconds()})
	}
	return certain
}

// renewal is a renewal that was sent.
type renewal struct {
	answered atomic.Bool
	// failed is set once the renewal was counted as failed; it is guarded by the term's mu.
	failed bool
}

// keepLease renews the term's lease until the term or the context ends. Renewals do not wait
// for each other: on a busy owner their answers are read late, and each counts from when it
// was sent.
func (o *ownership) keepLease(ctx context.Context, t *heldTerm) {
	ctx, cancel := context.WithCancel(ctx)
	failures, checks := make(chan *renewal), make(chan struct{})
	renewing, checking := 0, 0
	defer func() {
		cancel()
		for ; renewing > 0; renewing-- {
			<-failures
		}
		for ; checking > 0; checking-- {
			<-checks
		}
	}()
	var last *renewal
	next := time.NewTimer(renewInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.lost:
			return
		case failed := <-failures:
			renewing--
			if failed != nil && failed == last {
				next.Reset(renewRetryDelay)
			}
		case <-checks:
			checking--
		case <-next.C:
			if last != nil && !last.answered.Load() {
				checking++
				go func(r *renewal) {
					t.checkMissed(ctx, r)
					checks <- struct{}{}
				}(last)
			}
			r := &renewal{}
			last = r
			renewing++
			go func() {
				if o.renewLease(ctx, t, r) {
					r = nil
				}
				failures <- r
			}()
			next.Reset(renewInterval)
		}
	}
}

// checkMissed counts a renewal as failed that has no answer. An answer may have arrived that a
// busy process has not read, so that this goroutine first gets in line behind those that are
// ready to run, as often as the call may have to.
func (t *heldTerm) checkMissed(ctx context.Context, r *renewal) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(answerReadTime):
	}
	for range answerSteps {
		runtime.Gosched()
	}
	if !r.answered.Load() {
		t.recordFailure(r)
	}
}

// renewLease sends one renewal and applies its answer.
func (o *ownership) renewLease(ctx context.Context, t *heldTerm, r *renewal) (renewed bool) {
	// A later answer would extend nothing.
	ctx, cancel := context.WithTimeout(ctx, ownerLease-ownerLeaseMargin)
	defer cancel()
	sent := bootTime()
	err := o.store.Renew(ctx, t.lease)
	r.answered.Store(true)
	switch {
	case err == nil:
		t.extend(sent)
		t.recordSuccess()
	case errors.Is(err, store.ErrLeaseEnded):
		event.OwnershipLost.Log(log.Fields{"term": t.number, "reason": "the lease has ended"})
		t.end()
	default:
		t.recordFailure(r)
	}
	return err == nil
}

func (t *heldTerm) recordSuccess() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedRenewals = 0
}

// recordFailure counts a renewal among those that fail in a row, and wakes watchForHandover
// once the store seems to be lost.
func (t *heldTerm) recordFailure(r *renewal) {
	t.mu.Lock()
	if !r.failed {
		r.failed = true
		if t.failedRenewals++; t.failedRenewals == 1 {
			t.failingSince = time.Now()
		}
	}
	t.mu.Unlock()
	if t.storeLost() {
		select {
		case t.renewalFailed <- struct{}{}:
		default:
		}
	}
}

// storeLost reports whether the last renewals have failed.
func (t *heldTerm) storeLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failedRenewals >= maxFailedRenewals && time.Since(t.failingSince) >= storeLossTime
}
