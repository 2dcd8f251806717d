package peer

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/membership"
)

// grantReport lists the grants that an entry has reported.
type grantReport struct {
	incarnation int64
	version     int64
	// held lists the draining and releasing instances with a grant.
	held []string
	// notBefore is a lower bound of the time at which the report was made.
	notBefore time.Time
}

// ownGrants returns the version in force, and the instances with a grant of this
// entry at that version or later. Held acquires locks of other components, so the
// caller must not hold the Directory's lock.
func (d *Directory) ownGrants() (version int64, held []string) {
	if d.Version != nil {
		version = d.Version()
	}
	if d.Held != nil {
		held = d.Held()
	}
	return version, held
}

func (d *Directory) recordGrantReport(sender membership.Entry, held []string, at time.Time) {
	if d.grantReports == nil {
		d.grantReports = make(map[string]grantReport)
	}
	old, known := d.grantReports[sender.Name]
	if known && old.incarnation == sender.Incarnation && at.Before(old.notBefore) {
		return
	}
	d.grantReports[sender.Name] = grantReport{
		incarnation: sender.Incarnation, version: sender.Version, held: held, notBefore: at,
	}
}

// None reports whether every live entry of the data centre, including this one,
// has reported no grant for the instance, at the given version or later and not
// before the given time.
func (d *Directory) None(instance string, version int64, since time.Time) bool {
	own, held := d.ownGrants()
	if own < version || slices.Contains(held, instance) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.view.Live(d.DataCentre, time.Now()) {
		r := d.grantReports[e.Name]
		current := r.incarnation == e.Incarnation && r.version >= version && !r.notBefore.Before(since)
		if e.Name != d.Name && (!current || slices.Contains(r.held, instance)) {
			return false
		}
	}
	return true
}
