package dispatch

import (
	"math"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/quota"
)

// overflowPrefix begins the IDs of requests that the dispatcher of another pool
// sends to that of the spare pool; the name of the other pool follows.
const overflowPrefix = "overflow/"

// members is the quota of a pool's members by the ledger of this entry.
type members struct {
	d    *Dispatcher
	pool string
}

// Expected returns the cap, or what the member can use without another loan if
// none was to be had lately.
func (m members) Expected(member string, now time.Time) (slots int) {
	a := quota.Account{Member: member, Pool: m.pool}
	s, short := m.d.shortages[a]
	if !short || !now.Before(s.failedUntil) {
		return m.d.ledger.Cap(member)
	}
	return m.d.ledger.InUse(a) + m.d.ledger.Room(a, now, now)
}

// Use charges a task to the member's account. Work that overflows from another
// pool was charged there.
func (m members) Use(id, member string, slots int, until, now time.Time) (allowed bool) {
	if strings.HasPrefix(id, overflowPrefix) {
		return true
	}
	a := quota.Account{Member: member, Pool: m.pool}
	if m.d.ledger.Use(id, a, slots, until, now) {
		return true
	}
	m.d.noteShortage(a, slots, until, now)
	return false
}

// Release gives back what Use charged.
func (m members) Release(id string) {
	m.d.ledger.Release(id, time.Now())
}

// shortage is an account that needs a loan.
type shortage struct {
	slots int
	// until is how long the loan has to last at least.
	until time.Time
	// retryAt is when loans are asked for again.
	retryAt time.Time
	// failedUntil is how long the member is expected to get no more loans.
	failedUntil time.Time
	asking      bool
}

// Pauses after all lenders refused a loan.
const (
	borrowAgain   = 500 * time.Millisecond
	expectNoLoans = time.Second
)

// noteShortage makes the loop ask for a loan; the caller holds the lock.
func (d *Dispatcher) noteShortage(a quota.Account, slots int, until, now time.Time) {
	s, found := d.shortages[a]
	if !found {
		if d.shortages == nil {
			d.shortages = make(map[quota.Account]*shortage)
		}
		s = &shortage{}
		d.shortages[a] = s
	}
	s.slots, s.until = max(s.slots, slots), until
	if !s.asking && !now.Before(s.retryAt) {
		d.kick()
	}
}

// followCaps takes over a version in the ledger.
func (d *Dispatcher) followCaps(state *fleet.State) {
	d.ledger.DataCentre = d.Peers.Self().DataCentre
	d.ledger.ClockError = d.ClockError
	d.ledger.Observe(state)
}

// confirm tells the ledger which version every known entry has. A data centre
// that has instances and no known entry may go by any version.
func (d *Dispatcher) confirm(state *fleet.State, now time.Time) {
	d.ledger.Expire(now)
	least := int64(math.MaxInt64)
	for _, e := range d.Peers.Live() {
		if e.Name != d.Peers.Self().Name {
			least = min(least, e.Version)
		}
	}
	for _, dc := range d.otherCentres(state) {
		entries := d.Peers.Remote(dc)
		if len(entries) == 0 {
			return
		}
		for _, e := range entries {
			least = min(least, e.Version)
		}
	}
	d.ledger.Confirm(min(least, d.ledger.Version()), now)
}

// otherCentres returns the other data centres that have instances.
func (d *Dispatcher) otherCentres(state *fleet.State) (names []string) {
	if d.centresAt != state.Version || d.centres == nil {
		seen := map[string]bool{d.Peers.Self().DataCentre: true}
		d.centres, d.centresAt = []string{}, state.Version
		for _, i := range state.Instances {
			if !seen[i.DataCentre] {
				seen[i.DataCentre] = true
				d.centres = append(d.centres, i.DataCentre)
			}
		}
	}
	return d.centres
}
