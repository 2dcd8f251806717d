package peer

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/membership"
)

// report is what an entry said of the grants that it has.
type report struct {
	incarnation int64
	version     int64
	// held are the draining and releasing instances with a grant.
	held []string
	// at is a time before which the report was not made.
	at time.Time
}

// holdings returns the version in force and the grants at that version or later.
// Held takes locks of other parts, so the own lock must not be held.
func (d *Directory) holdings() (version int64, held []string) {
	if d.Version != nil {
		version = d.Version()
	}
	if d.Held != nil {
		held = d.Held()
	}
	return version, held
}

func (d *Directory) keepReport(sender membership.Entry, held []string, at time.Time) {
	if d.reports == nil {
		d.reports = make(map[string]report)
	}
	old, known := d.reports[sender.Name]
	if known && old.incarnation == sender.Incarnation && at.Before(old.at) {
		return
	}
	d.reports[sender.Name] = report{
		incarnation: sender.Incarnation, version: sender.Version, held: held, at: at,
	}
}

// None tells whether every live entry of the data centre, this one included, has
// said since that time, at this version or a later one, that it has no grant for
// the instance.
func (d *Directory) None(instance string, version int64, since time.Time) bool {
	own, held := d.holdings()
	if own < version || slices.Contains(held, instance) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.view.Live(d.DataCentre, time.Now()) {
		r := d.reports[e.Name]
		current := r.incarnation == e.Incarnation && r.version >= version && !r.at.Before(since)
		if e.Name != d.Name && (!current || slices.Contains(r.held, instance)) {
			return false
		}
	}
	return true
}
