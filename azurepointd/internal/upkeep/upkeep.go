package upkeep

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

// Upkeep carries out drains and moves; it is ready once its needs are set.
type Upkeep struct {
	Peers     Peers
	Fleet     Fleet
	Grants    Grants
	Endpoints Endpoints
	// Reports may be nil; then grants of earlier owners end after LongestGrant.
	Reports Reports
	// Loads may be nil; then no moves are planned.
	Loads Loads
	// Health may be nil; then no instance counts as failing its tasks.
	Health Health
	// Settings may be changed before Run.
	Settings Settings

	mu       sync.Mutex
	settings Settings
	state    *fleet.State
	sights   map[string]*sight
	order    []*sight // the sights by name
	entries  entries
	pools    map[string]time.Time // when this entry came to own each pool
	behind   map[string]*lag
	progress map[string]maintenance.Progress
	decision maintenance.Decision
	proposer proposer
	spares   spares
	// lookedAt is when the state was looked at last, and settledAt when this
	// entry may act again after its start or a stall.
	lookedAt  time.Time
	settledAt time.Time
	cutOff    bool
	calls     int
	answers   chan answer
}

// lag is how another data centre's versions follow.
type lag struct {
	version int64
	// absentAt is when the data centre counts as absent unless its version rises.
	absentAt time.Time
}

// Run starts the upkeep; the channel reports its end, after all calls ended.
func (u *Upkeep) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	u.start(time.Now())
	go func() { end <- u.loop(ctx) }()
	return end
}

func (u *Upkeep) start(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settings = u.Settings.withDefaults()
	u.sights = make(map[string]*sight)
	u.pools = make(map[string]time.Time)
	u.behind = make(map[string]*lag)
	u.answers = make(chan answer)
	u.proposer = proposer{
		limit: rate.NewLimiter(rate.Limit(u.settings.ProposalsPerSecond), u.settings.ProposalBurst),
		fates: make(chan fate),
		holds: make(map[string]*hold),
	}
	u.spares.start(now)
	u.lookedAt = now
	u.settledAt = now.Add(u.settings.Settle)
	u.entries.missedUntil = now
}

func (u *Upkeep) loop(ctx context.Context) (err error) {
	ticker := time.NewTicker(u.settings.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := u.Fleet.Changed()
		u.look(ctx)
		u.wait(ctx, changed, ticker.C)
	}
	for u.busy() {
		select {
		case a := <-u.answers:
			u.answered(ctx, a)
		case f := <-u.proposer.fates:
			u.decided(f)
		}
	}
	return nil
}

// wait handles answers until it is time to look at the whole state again.
func (u *Upkeep) wait(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-tick:
			return
		case a := <-u.answers:
			u.answered(ctx, a)
		case f := <-u.proposer.fates:
			u.decided(f)
		}
	}
}

func (u *Upkeep) busy() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.calls > 0 || u.proposer.running > 0
}

// look compares the state in force with what is seen and acts on it.
func (u *Upkeep) look(ctx context.Context) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = u.Fleet.State()
	if u.state == nil {
		return
	}
	now := time.Now()
	u.notice(now)
	u.meet(now)
	u.track(now)
	u.poll(ctx, now)
	if !u.ready(now) {
		u.follow(now)
		return
	}
	for _, s := range u.order {
		u.step(ctx, s, now)
	}
	u.mark(ctx, now)
	u.plan(ctx, now)
	u.planSpares(ctx, now)
	u.proposer.forget(now)
	u.measure()
}

// notice detects that this entry did not run for a while; then its view is
// old, another entry may have owned its pools, and it watches before it acts.
func (u *Upkeep) notice(now time.Time) {
	if stalled := now.Sub(u.lookedAt); stalled > u.settings.StallLimit {
		u.settledAt = now.Add(u.settings.Settle)
		clear(u.pools)
		u.entries.missedUntil = now
		for _, s := range u.sights {
			s.heldAt = time.Time{}
			s.renew(now, u.settings)
		}
		event.EntryStalled.Log(log.Fields{"for": stalled.String()})
	}
	u.lookedAt = now
}

// ready tells whether this entry's view is good enough to act on.
func (u *Upkeep) ready(now time.Time) bool {
	return !now.Before(u.settledAt) && now.Sub(u.lookedAt) <= u.settings.StallLimit
}
