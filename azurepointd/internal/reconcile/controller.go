package reconcile

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
)

// Controller drains and moves the instances of the pools that this entry owns, and marks
// them as failed. Its dependencies have to be set before Run.
type Controller struct {
	Peers     Peers
	Fleet     Fleet
	Grants    Grants
	Endpoints Endpoints
	// If Reports is nil, the grants of earlier owners are taken to end after
	// MaxGrantDuration.
	Reports Reports
	// If Loads is nil, no moves are planned.
	Loads Loads
	// If Health is nil, no instance counts as failing its tasks.
	Health Health
	// Settings may be changed before Run.
	Settings Settings

	mu              sync.Mutex
	settings        Settings
	fleetState      *fleet.State
	instances       map[string]*instanceStatus
	sortedInstances []*instanceStatus // instances, sorted by name
	membership      membershipView
	ownedSince      map[string]time.Time // when this entry became the owner of each pool
	remoteVersions  map[string]*remoteVersion
	waveProgress    map[string]maintenance.Progress
	waveDecision    maintenance.Decision
	proposer        proposer
	spares          spareState
	// reconciledAt is when reconcile last ran. readyAt is when this entry may act again
	// after its start or a stall.
	reconciledAt time.Time
	readyAt      time.Time
	cutOff       bool
	pendingCalls int
	callResults  chan callResult
}

// remoteVersion is the highest version that another data centre has reported, or -1 if
// none of its entries is live.
type remoteVersion struct {
	version int64
	// absentFrom is when the data centre counts as absent unless its version rises.
	absentFrom time.Time
}

// Run starts the maintenance loop. The channel reports the end of the loop, which waits
// for all pending calls and proposals.
func (u *Controller) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	u.initialise(time.Now())
	go func() { end <- u.loop(ctx) }()
	return end
}

func (u *Controller) initialise(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settings = u.Settings.withDefaults()
	u.instances = make(map[string]*instanceStatus)
	u.ownedSince = make(map[string]time.Time)
	u.remoteVersions = make(map[string]*remoteVersion)
	u.callResults = make(chan callResult)
	u.proposer = proposer{
		limit:     rate.NewLimiter(rate.Limit(u.settings.ProposalsPerSecond), u.settings.ProposalBurst),
		results:   make(chan proposalResult),
		histories: make(map[string]*proposalHistory),
	}
	u.spares.initialise(now)
	u.reconciledAt = now
	u.readyAt = now.Add(u.settings.SettleDelay)
	u.membership.unobservedUntil = now
}

func (u *Controller) loop(ctx context.Context) (err error) {
	ticker := time.NewTicker(u.settings.ReconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := u.Fleet.Changed()
		u.reconcile(ctx)
		u.waitForChange(ctx, changed, ticker.C)
	}
	for u.hasPendingWork() {
		select {
		case r := <-u.callResults:
			u.handleCallResult(ctx, r)
		case r := <-u.proposer.results:
			u.handleProposalResult(r)
		}
	}
	return nil
}

// waitForChange handles the results of calls and proposals until the next
// reconciliation is due.
func (u *Controller) waitForChange(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-tick:
			return
		case r := <-u.callResults:
			u.handleCallResult(ctx, r)
		case r := <-u.proposer.results:
			u.handleProposalResult(r)
		}
	}
}

func (u *Controller) hasPendingWork() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pendingCalls > 0 || u.proposer.pending > 0
}

// reconcile compares the configuration in force with the observed state of the
// instances and acts on the differences.
func (u *Controller) reconcile(ctx context.Context) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fleetState = u.Fleet.State()
	if u.fleetState == nil {
		return
	}
	now := time.Now()
	u.detectStall(now)
	u.updateMembership(now)
	u.updateInstances(now)
	u.requestStatuses(ctx, now)
	if !u.isReady(now) {
		u.updateProgress(now)
		return
	}
	for _, s := range u.sortedInstances {
		u.advance(ctx, s, now)
	}
	u.recordFailures(ctx, now)
	u.planWaves(ctx, now)
	u.planSpares(ctx, now)
	u.proposer.pruneHistories(now)
	u.updateGauges()
}

// detectStall detects that this entry did not run for longer than StallThreshold. Its
// view is then outdated and another entry may have owned its pools meanwhile, so it
// only observes for SettleDelay before it acts again.
func (u *Controller) detectStall(now time.Time) {
	if stalled := now.Sub(u.reconciledAt); stalled > u.settings.StallThreshold {
		u.readyAt = now.Add(u.settings.SettleDelay)
		clear(u.ownedSince)
		u.membership.unobservedUntil = now
		for _, s := range u.instances {
			s.propagatedAt = time.Time{}
			s.resetDeadlines(now, u.settings)
		}
		event.EntryStalled.Log(log.Fields{"for": stalled.String()})
	}
	u.reconciledAt = now
}

// isReady reports whether the view of this entry is recent enough to act on.
func (u *Controller) isReady(now time.Time) bool {
	return !now.Before(u.readyAt) && now.Sub(u.reconciledAt) <= u.settings.StallThreshold
}
