package peer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// ErrUnreachable means that the entry is unknown, has sent no recent heartbeat, or
// has been replaced by a later incarnation.
var ErrUnreachable = errors.New("peer: entry is not reachable")

// Default heartbeat timing, used where a setting is zero.
const (
	DefaultInterval = 500 * time.Millisecond
	// DefaultLifetime is four heartbeats, so that neither two lost heartbeats nor a
	// garbage collection pause moves duties.
	DefaultLifetime = 2 * time.Second
)

// lostEntryRetention is how long a lost entry stays in the view and is still sent
// heartbeats, so that both sides of a network partition reconnect after it heals.
const lostEntryRetention = 10 * time.Minute

// Directory holds this entry's view of the other entries and the connections to
// them.
type Directory struct {
	Name       string
	DataCentre string
	// Address is the IP address and port at which other entries reach this entry.
	Address     string
	Incarnation int64
	// Secret is the shared secret that entries send with each call.
	Secret string
	// Join lists addresses that are sent heartbeats while no live entry is known
	// there.
	Join []string
	// Discover returns further addresses to send heartbeats to; it may be nil.
	Discover func(ctx context.Context) (addresses []string, err error)
	// Version returns the configuration version in force at this entry.
	Version func() int64
	// Interval is the time between heartbeats; zero means DefaultInterval.
	Interval time.Duration
	// Lifetime is how long an entry counts as live after a heartbeat; zero means
	// DefaultLifetime.
	Lifetime time.Duration
	// Held returns the draining and releasing instances for which this entry has an
	// active grant; it may be nil.
	Held func() (instances []string)
	// Local handles calls that are addressed to this entry itself.
	Local peerrpc.Peer

	mu             sync.Mutex
	view           membership.View
	leaving        bool
	connections    map[string]*connection
	exchangeStates map[string]*exchangeState
	grantReports   map[string]grantReport
	discovered     []string
	nextDiscovery  time.Time
}

// Self returns this entry as other entries see it.
func (d *Directory) Self() membership.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self(time.Now())
}

func (d *Directory) self(now time.Time) membership.Entry {
	e := membership.Entry{
		Name:        d.Name,
		DataCentre:  d.DataCentre,
		Address:     d.Address,
		Incarnation: d.Incarnation,
		Leaving:     d.leaving,
		AliveUntil:  now.Add(d.lifetime()),
	}
	if d.Version != nil {
		e.Version = d.Version()
	}
	return e
}

// Live returns the live entries of the own data centre, including this one.
func (d *Directory) Live() []membership.Entry {
	return d.Remote(d.DataCentre)
}

// Remote returns the live entries of a data centre.
func (d *Directory) Remote(dataCentre string) []membership.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.view.Observe(d.self(now), now)
	return d.view.Live(dataCentre, now)
}

// DataCentres returns the names of all known data centres.
func (d *Directory) DataCentres() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.view.Observe(d.self(now), now)
	return d.view.DataCentres()
}

// Owner returns the entry of the own data centre to which a duty is assigned, or
// this entry if none is live.
func (d *Directory) Owner(duty string) membership.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	self := d.self(now)
	d.view.Observe(self, now)
	owner, found := d.view.Owner(d.DataCentre, duty, now)
	if !found {
		return self
	}
	return owner
}

// SetLeaving marks this entry as leaving in its heartbeats, because a planned stop
// has begun.
func (d *Directory) SetLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Dial returns a client of a live entry; incarnation 0 means any. It returns
// ErrUnreachable if a call could only fail.
func (d *Directory) Dial(name string, incarnation int64) (p peerrpc.Peer, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name == d.Name && (incarnation == 0 || incarnation == d.Incarnation) {
		return d.Local, nil
	}
	e, found := d.view.Find(name)
	if !found || !e.Alive(time.Now()) || (incarnation != 0 && incarnation != e.Incarnation) {
		return nil, errors.Wrapf(ErrUnreachable, "entry %q incarnation %d", name, incarnation)
	}
	return d.connectionTo(e).client, nil
}

// observe merges an observed entry into the view and logs new ones. The caller
// holds the lock.
func (d *Directory) observe(e membership.Entry, now time.Time) {
	if e.Name == d.Name {
		return
	}
	_, known := d.view.Find(e.Name)
	d.view.Observe(e, now)
	if !known {
		event.EntryJoined.Log(map[string]any{"entry": e.Name, "dataCentre": e.DataCentre, "incarnation": e.Incarnation})
	}
}

// closeLost closes the connections to entries that are no longer live, and removes
// entries from the view that were lost lostEntryRetention ago.
func (d *Directory) closeLost(now time.Time) {
	for name, c := range d.connections {
		e, found := d.view.Find(name)
		if found && e.Alive(now) && e.Incarnation == c.incarnation && e.Address == c.address {
			continue
		}
		c.disconnect()
		delete(d.connections, name)
		event.EntryLost.Log(map[string]any{"entry": name, "incarnation": c.incarnation})
	}
	d.view.Expire(now.Add(-lostEntryRetention))
}

func (d *Directory) lifetime() time.Duration {
	if d.Lifetime == 0 {
		return DefaultLifetime
	}
	return d.Lifetime
}

func (d *Directory) interval() time.Duration {
	if d.Interval == 0 {
		return DefaultInterval
	}
	return d.Interval
}

// Dump writes the view as readable text.
func (d *Directory) Dump(w io.Writer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.view.Observe(d.self(now), now)
	fmt.Fprintf(w, "peers (self %s, incarnation %d, leaving %t)\n", d.Name, d.Incarnation, d.leaving)
	for _, e := range d.view.All() {
		fmt.Fprintf(w, "  %-16s dataCentre=%s address=%s incarnation=%d version=%d leaving=%t alive=%t\n",
			e.Name, e.DataCentre, e.Address, e.Incarnation, e.Version, e.Leaving, e.Alive(now))
	}
}
