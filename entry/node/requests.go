package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Timeouts and delays of a caller's request.
const (
	// peerTimeout bounds a request to the owner that writes to the store; a slow
	// store answers within 300 ms.
	peerTimeout = time.Second
	// stateTimeout bounds a query of a state, which the owner answers from memory.
	stateTimeout = 400 * time.Millisecond
	// ownerWait is how long a submission waits for a new owner before the job is
	// stored without one.
	ownerWait = 400 * time.Millisecond
	// refuseAfter is how long a job that is certainly not stored is held before its
	// caller is told to retry later: a quarter of the shortest objective.
	refuseAfter = 500 * time.Millisecond
	// ownerRetryInterval separates submissions to an owner that did not answer the
	// previous call; a job that waits for it may stay unsettled.
	ownerRetryInterval = 250 * time.Millisecond
	// ownerPollInterval is the delay before the owner is determined again.
	ownerPollInterval = 30 * time.Millisecond
	// responseMargin is reserved from the caller's deadline for the transfer of the
	// answer, but at most the part marginPart of the time that is left: callers come back
	// with little of it, and an owner with a store that is not slow answers in 30 ms.
	responseMargin = 150 * time.Millisecond
	marginPart     = 0.3
	// storeTimeout bounds a direct call to the store.
	storeTimeout = 600 * time.Millisecond
	// pendingCountTTL is how long a count of pending jobs may be returned again; it
	// may be 2 s old when it reaches the caller, of which the transfer takes a part.
	pendingCountTTL = 1500 * time.Millisecond
	// refusedRetryDelay is when a caller may retry a job that was not stored.
	refusedRetryDelay = time.Second
	// unstorableRetryDelay is when a caller may retry a job that the store refuses for good; only another
	// limit of the store can change that.
	unstorableRetryDelay = time.Minute
	// ownerStorePatience is how long an owner that has lost the store keeps new jobs: a
	// single call that was rejected or has no answer is no reason to send them elsewhere.
	ownerStorePatience = 100 * time.Millisecond
)

// refuseInOutage returns the refusal of a job that certainly is not stored, because this entry
// reaches neither the store nor an owner that does. The outage has lasted for a time.
func (n *Node) refuseInOutage(reason string, age time.Duration) manager.Reply {
	return manager.Reply{Outcome: manager.Refused, RetryAfter: n.Returns.After(age), Reason: reason}
}

// Submit stores a job through the owner or, if no owner answers, directly in the
// store.
func (n *Node) Submit(ctx context.Context, j job.Job, until time.Time) (r manager.Reply) {
	defer meter.RecordSince("submit", time.Now())
	arrived := time.Now()
	if isolated, age := n.isolation(); isolated && !n.ownsJob(j.ID) {
		meter.Count("refusals.cutOff")
		return n.logSubmission(j, n.refuseInOutage("cut off", age), "breaker", arrived, until)
	}
	j.DataCentre = n.DataCentre
	until = until.Add(-min(responseMargin, time.Duration(marginPart*float64(until.Sub(arrived)))))
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	giveUpAt := arrived.Add(ownerWait)
	var s settlement
	for ctx.Err() == nil && time.Now().Before(giveUpAt) {
		r, err := n.submitToOwner(ctx, j, until)
		a := ownerAttempt(r, err)
		s.add(a)
		if a == ownerAccepted || a == ownerRefused || a == ownerUnsettled && n.storeReach.lost() {
			r.Outcome = s.outcome()
			return n.logSubmission(j, r, "owner", arrived, until)
		}
		if a == ownerUnsettled || a == notOwner && r.RetryAfter > 0 {
			// The owner has lost the store, which this entry may reach.
			break
		}
		retry.Sleep(ctx, ownerPollInterval)
	}
	return n.logSubmission(j, n.storeDirectly(ctx, j, s, arrived.Add(refuseAfter)), "store", arrived, until)
}

// ownsJob reports whether this entry owns the pools and has the job, which is stored then.
func (n *Node) ownsJob(id string) bool {
	m := n.manager()
	return m != nil && m.HasJob(id)
}

// logSubmission corrects the outcome for other attempts, counts it, and logs it unless the owner has
// accepted the job.
func (n *Node) logSubmission(j job.Job, r manager.Reply, decidedBy string, arrived, until time.Time) manager.Reply {
	r = n.correctOutcome(j.ID, r)
	owner, _ := n.ownership.current()
	fields := log.Fields{
		"job": j.ID, "queue": j.Queue, "by": decidedBy, "term": owner.Term, "reason": r.Reason, "retryAfterMillis": r.RetryAfter.Milliseconds(),
		"heldMillis": time.Since(arrived).Milliseconds(), "timeLeftMillis": time.Until(until).Milliseconds(),
	}
	meter.Count("submissions." + r.Outcome.String())
	switch r.Outcome {
	case manager.Refused, manager.NotOwner:
		event.JobRefused.Log(fields)
	case manager.Unsettled:
		event.JobUnsettled.Log(fields)
	case manager.Accepted:
		if decidedBy == "store" {
			event.JobAccepted.Log(fields)
		}
	}
	return r
}

func (n *Node) submitToOwner(ctx context.Context, j job.Job, until time.Time) (r manager.Reply, err error) {
	if m := n.manager(); m != nil {
		return m.Submit(ctx, j, until), nil
	}
	owner, found := n.ownership.current()
	if !found || n.ownership.isSelf(owner) || !n.ownerReach.mayTry(ownerRetryInterval) {
		return manager.Reply{}, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	slow := time.AfterFunc(suspectAfter, n.suspectOwner)
	defer slow.Stop()
	r, err = n.Peers.Submit(ctx, owner.Address, j, until)
	n.recordOwnerAnswer(owner, err == nil, err == nil && r.Outcome != manager.NotOwner)
	return r, err
}

// refusalByRecord returns the refusal of a job whose key has the record of another organisation's job, or
// a tombstone.
func refusalByRecord(item store.Item, j job.Job) (r manager.Reply, refused bool) {
	stored, err := job.Decode(item.Value, item.Revision)
	switch {
	case err != nil:
		return manager.Reply{}, false
	case !job.MayBeSameJob(stored.Organisation, j.Organisation):
		return manager.Reply{Outcome: manager.Refused, RetryAfter: refusedRetryDelay, Reason: "another organisation's job has this identifier"}, true
	case stored.IsTombstone():
		return manager.TombstoneReply(), true
	default:
		return manager.Reply{}, false
	}
}

// refusalByStore returns the refusal of a job that the store never takes, or whose key it has for another one; the
// transaction is conditional if it creates the record.
func refusalByStore(err error, j job.Job, s settlement, conditional bool) (r manager.Reply, refused bool) {
	var conflict *store.ConflictError
	switch {
	case errors.Is(err, store.ErrInvalid) && !s.mayBeStored:
		meter.Count("refusals.record")
		return manager.Reply{Outcome: manager.Refused, RetryAfter: unstorableRetryDelay, Reason: "the store never takes the record of the job"}, true
	case errors.As(err, &conflict) && conditional:
		return refusalByRecord(conflict.Current[manager.JobKey(j.ID)], j)
	default:
		return manager.Reply{}, false
	}
}

// storeDirectly stores a job with an inbox mark, so that the owner adopts it.
func (n *Node) storeDirectly(ctx context.Context, j job.Job, s settlement, refuseAt time.Time) (r manager.Reply) {
	record := job.Record{Job: j, State: job.Queued}
	record.DataCentre = ""
	value, err := record.Encode()
	if err == nil && len(value) > n.managerSettings().ValueLimit() {
		err = job.ErrTooLong
	}
	if err != nil {
		return manager.Reply{Outcome: s.outcome(), RetryAfter: refusedRetryDelay, Reason: err.Error()}
	}
	t := store.Transaction{
		Conditions: []store.Condition{{Key: manager.JobKey(j.ID)}},
		Puts:       []store.Put{{Key: manager.JobKey(j.ID), Value: value}, {Key: manager.InboxPrefix + j.ID, Value: []byte(j.Queue)}},
	}
	if !s.mayBeStored && n.storeReach.lost() {
		// A write without an answer would leave the caller's job unsettled for
		// nothing.
		meter.Count("refusals.storeLost")
		return n.refuseInOutage("neither owner nor store can be reached", n.storeReach.lostFor())
	}
	for ctx.Err() == nil && !n.cannotStore() {
		err = n.commit(ctx, t)
		a := storeAttempt(err)
		s.add(a)
		if a == storeCommitted {
			return manager.Reply{Outcome: manager.Accepted}
		}
		if r, refused := refusalByStore(err, j, s, len(t.Conditions) > 0); refused {
			return r
		}
		if a == storeFound && len(t.Conditions) > 0 {
			// The stored record is of the same job. Its writer may have given it up
			// when no answer came, so the job is marked for the owner in any case.
			t.Conditions, t.Puts = nil, t.Puts[1:]
			continue
		}
		if !s.mayBeStored && (n.storeReach.lost() || !time.Now().Before(refuseAt)) {
			break
		}
		retry.Sleep(ctx, ownerPollInterval*2)
	}
	return n.notStored(ctx, s)
}

// cannotStore reports whether this entry is cut off, so that the caller is better off with its
// next attempt at another one. A stopping entry looks for no owner and only checks the store.
func (n *Node) cannotStore() bool {
	return n.isolated() || n.stopping.Load() && n.storeReach.lost()
}

// notStored returns the reply to a submission that this entry could not store.
func (n *Node) notStored(ctx context.Context, s settlement) (r manager.Reply) {
	switch {
	case s.mayBeStored:
		isolated, age := n.isolation()
		r = manager.Reply{Outcome: manager.Unsettled, Reason: "the store does not answer after " + s.String()}
		if isolated {
			r.RetryAfter = n.Returns.After(age)
		}
		return r
	case n.storeReach.lost():
		meter.Count("refusals.storeLost")
		return n.refuseInOutage("neither owner nor store can be reached", n.storeReach.lostFor())
	case ctx.Err() != nil:
		meter.Count("refusals.noTime")
		return n.refuseInOutage("no time is left", 0)
	default:
		meter.Count("refusals.storeBusy")
		return n.refuseInOutage("the store rejects the job", 0)
	}
}

func (n *Node) commit(ctx context.Context, t store.Transaction) (err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = n.Store.Commit(ctx, t)
	return err
}

// State returns the state of a job; known is false without an error only if the store
// has no such job.
func (n *Node) State(ctx context.Context, id string, caller job.Caller) (state job.State, known bool, err error) {
	defer meter.RecordSince("state", time.Now())
	if state, known, err = n.stateFromOwner(ctx, id, caller); err == nil && known {
		return state, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, found, err := n.Store.Get(ctx, manager.JobKey(id))
	if err != nil {
		event.JobStateUnreadable.Log(log.Fields{"job": id, "error": err.Error()})
		return "", false, err
	}
	if !found {
		return "", false, nil
	}
	r, err := job.Decode(item.Value, item.Revision)
	if err == nil && (!caller.MaySee(r.Organisation) || r.IsTombstone()) {
		return "", false, nil
	}
	return r.State, err == nil, err
}

func (n *Node) stateFromOwner(ctx context.Context, id string, caller job.Caller) (state job.State, known bool, err error) {
	if m := n.manager(); m != nil {
		state, known, owner := m.State(id, caller)
		if !owner {
			return "", false, errNoOwner
		}
		return state, known, nil
	}
	owner, found := n.ownership.current()
	if !found || n.ownership.isSelf(owner) {
		return "", false, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	slow := time.AfterFunc(suspectAfter, n.suspectOwner)
	defer slow.Stop()
	state, known, isOwner, err := n.Peers.State(ctx, owner.Address, id, caller)
	n.recordOwnerReach(owner, err == nil)
	if err == nil && !isOwner {
		err = errNoOwner
	}
	return state, known, err
}

// Cancel cancels a job through the owner or, if no owner answers or the owner does not have the job, in
// the store. known is false if there is no such job; none with this identifier is created for
// manager.TombstoneRetention then.
func (n *Node) Cancel(ctx context.Context, id string, caller job.Caller) (known bool, err error) {
	for range 2 {
		known, err = n.cancelAtOwner(ctx, id, caller)
		if err == nil && known {
			return true, nil
		}
		if err == nil {
			break
		}
		retry.Sleep(ctx, ownerPollInterval)
	}
	return n.cancelInStore(ctx, id, caller)
}

func (n *Node) cancelAtOwner(ctx context.Context, id string, caller job.Caller) (known bool, err error) {
	state, known, owner := job.State(""), false, false
	if m := n.manager(); m != nil {
		state, known, owner = m.Cancel(ctx, id, caller)
	} else {
		record, found := n.ownership.current()
		if !found || n.ownership.isSelf(record) {
			return false, errNoOwner
		}
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		state, known, owner, err = n.Peers.Cancel(ctx, record.Address, id, caller)
		n.recordOwnerReach(record, err == nil)
	}
	switch {
	case err != nil:
		return false, err
	case !owner, known && !state.Terminal():
		return false, errNoOwner
	}
	return known, nil
}

// cachedCount is a count with the time until which it may be returned.
type cachedCount struct {
	count int64
	until time.Time
}

// Pending returns the number of jobs of a queue that have not started. Without an
// owner it returns the last known number for up to pendingCountTTL.
func (n *Node) Pending(ctx context.Context, queue string) (count int64, err error) {
	count, err = n.pendingFromOwner(ctx, queue)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.pendingCounts[queue] = cachedCount{count: count, until: time.Now().Add(pendingCountTTL)}
		return count, nil
	}
	if last, known := n.pendingCounts[queue]; known && time.Now().Before(last.until) {
		return last.count, nil
	}
	return 0, err
}

func (n *Node) pendingFromOwner(ctx context.Context, queue string) (count int64, err error) {
	if m := n.manager(); m != nil {
		if pending, owner := n.pendingAtOwner(m, queue); owner {
			return int64(pending), nil
		}
		return 0, errNoOwner
	}
	owner, found := n.ownership.current()
	if !found || n.ownership.isSelf(owner) {
		return 0, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	count, isOwner, err := n.Peers.Pending(ctx, owner.Address, queue)
	n.recordOwnerReach(owner, err == nil)
	if err == nil && !isOwner {
		err = errNoOwner
	}
	return count, err
}

// FitsRecord reports whether the store takes the record of a new job until its end.
func (n *Node) FitsRecord(j *job.Job) bool {
	return j.FitsRecord(n.managerSettings().ValueLimit())
}

// KnownPool reports whether the pool is configured.
func (n *Node) KnownPool(name string) bool {
	c := n.configuration.Load()
	if c == nil {
		return false
	}
	_, found := c.Pool(name)
	return found
}

// pools returns the names of the configured pools.
func (n *Node) pools() (p manager.Pools) {
	c := n.configuration.Load()
	if c == nil {
		return manager.Pools{}
	}
	for _, pool := range c.Pools {
		if pool.Spare {
			p.Spare = pool.Name
		} else {
			p.Serving = append(p.Serving, pool.Name)
		}
	}
	return p
}

// organisations returns the terms of the configured organisations.
func (n *Node) organisations() (terms []organisation.Terms, known bool) {
	c := n.configuration.Load()
	if c == nil {
		return nil, false
	}
	return c.terms, true
}
