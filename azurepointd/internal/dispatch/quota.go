package dispatch

import (
	"math"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/quota"
)

// overflowPrefix is the prefix of the IDs of requests that the dispatcher of
// another pool sends to that of the spare pool. The name of the other pool
// follows.
const overflowPrefix = "overflow/"

// memberQuota applies the quota ledger of this entry to the members of a pool.
type memberQuota struct {
	d    *Dispatcher
	pool string
}

// Expected returns the cap of a member, or, if the lenders recently refused a
// loan, the slots that the member can use without one.
func (m memberQuota) Expected(member string, now time.Time) (slots int) {
	a := quota.Account{Member: member, Pool: m.pool}
	s, short := m.d.shortages[a]
	if !short || !now.Before(s.noLoansUntil) {
		return m.d.ledger.Cap(member)
	}
	return m.d.ledger.InUse(a) + m.d.ledger.Available(a, now, now)
}

// Use charges a task to the account of the member, and records a shortage if it
// has no room. Work that overflows from another pool is charged there.
func (m memberQuota) Use(id, member string, slots int, until, now time.Time) (allowed bool) {
	if strings.HasPrefix(id, overflowPrefix) {
		return true
	}
	a := quota.Account{Member: member, Pool: m.pool}
	if m.d.ledger.Use(id, a, slots, until, now) {
		return true
	}
	m.d.recordShortage(a, slots, until, now)
	return false
}

// Release frees the slots that Use charged.
func (m memberQuota) Release(id string) {
	m.d.ledger.Release(id, time.Now())
}

// shortage is the need of an account for a loan.
type shortage struct {
	slots int
	// until is the time until which the loan must last at least.
	until time.Time
	// retryAt is when loans are requested again.
	retryAt time.Time
	// noLoansUntil is the time before which the member is expected to get no
	// more loans.
	noLoansUntil time.Time
	borrowing    bool
}

// Delays after all lenders refused a loan.
const (
	borrowRetryDelay = 500 * time.Millisecond
	noLoanPeriod     = time.Second
)

// recordShortage records the need for a loan and triggers the loop; the caller
// holds the lock.
func (d *Dispatcher) recordShortage(a quota.Account, slots int, until, now time.Time) {
	s, found := d.shortages[a]
	if !found {
		if d.shortages == nil {
			d.shortages = make(map[quota.Account]*shortage)
		}
		s = &shortage{}
		d.shortages[a] = s
	}
	s.slots, s.until = max(s.slots, slots), until
	if !s.borrowing && !now.Before(s.retryAt) {
		d.wakeLoop()
	}
}

// applyCaps applies the caps of a version to the ledger.
func (d *Dispatcher) applyCaps(state *fleet.State) {
	d.ledger.DataCentre = d.Peers.Self().DataCentre
	d.ledger.ClockError = d.ClockError
	d.ledger.Observe(state)
}

// confirmVersions passes the lowest version of all known entries to the ledger.
// A data centre that has instances but no known entry may use any version;
// nothing is confirmed then.
func (d *Dispatcher) confirmVersions(state *fleet.State, now time.Time) {
	d.ledger.Expire(now)
	lowest := int64(math.MaxInt64)
	for _, e := range d.Peers.Live() {
		if e.Name != d.Peers.Self().Name {
			lowest = min(lowest, e.Version)
		}
	}
	for _, dc := range d.otherDataCentres(state) {
		entries := d.Peers.Remote(dc)
		if len(entries) == 0 {
			return
		}
		for _, e := range entries {
			lowest = min(lowest, e.Version)
		}
	}
	d.ledger.ConfirmVersion(min(lowest, d.ledger.Version()), now)
}

// otherDataCentres returns the other data centres that have instances.
func (d *Dispatcher) otherDataCentres(state *fleet.State) (names []string) {
	if d.otherDCsVersion != state.Version || d.otherDCs == nil {
		seen := map[string]bool{d.Peers.Self().DataCentre: true}
		d.otherDCs, d.otherDCsVersion = []string{}, state.Version
		for _, i := range state.Instances {
			if !seen[i.DataCentre] {
				seen[i.DataCentre] = true
				d.otherDCs = append(d.otherDCs, i.DataCentre)
			}
		}
	}
	return d.otherDCs
}
