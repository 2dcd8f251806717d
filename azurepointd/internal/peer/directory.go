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

// ErrUnreachable means that the entry is unknown, not heard from, or has been
// replaced by a later incarnation.
var ErrUnreachable = errors.New("peer: entry is not reachable")

// Default timing of heartbeats, used where a setting is zero.
const (
	DefaultInterval = 500 * time.Millisecond
	// DefaultLifetime is four heartbeats, so that two lost ones and a pause of
	// the garbage collector do not move duties.
	DefaultLifetime = 2 * time.Second
)

// forgetAfter is how long a lost entry stays in the view and is still sent
// heartbeats, so that the two sides of a cut find each other again.
const forgetAfter = 10 * time.Minute

// Directory is this entry's view of the others and its connections to them.
type Directory struct {
	Name       string
	DataCentre string
	// Address is the IP number and port at which others reach this entry.
	Address     string
	Incarnation int64
	// Secret is what peers present to each other.
	Secret string
	// Join are addresses of entries to greet while none is known.
	Join []string
	// Discover returns more addresses to greet; nil means none.
	Discover func(ctx context.Context) (addresses []string, err error)
	// Version returns the configuration version in force here.
	Version func() int64
	// Interval is the time between heartbeats; zero means the default.
	Interval time.Duration
	// Lifetime is how long an entry counts as live after a heartbeat.
	Lifetime time.Duration
	// Held returns the draining and releasing instances for which this entry has
	// a grant that has not ended; nil means none.
	Held func() (instances []string)
	// Local answers calls to this entry itself.
	Local peerrpc.Peer

	mu          sync.Mutex
	view        membership.View
	leaving     bool
	connections map[string]*connection
	contacts    map[string]*contact
	reports     map[string]report
	greeted     []string
	discoverAt  time.Time
}

// Self returns this entry as others see it.
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

// Live returns the live entries of the own data centre, this one included.
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

// Owner returns the entry of the own data centre that has a duty.
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

// SetLeaving announces that this entry has begun a planned stop.
func (d *Directory) SetLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Dial returns the peer service of a live entry; incarnation 0 means any. It
// returns ErrUnreachable where a call could only fail.
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
	return d.connect(e).client, nil
}

// observe records an entry that was heard; the caller holds the lock.
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

// dropLost ends the connections of entries that are no longer live.
func (d *Directory) dropLost(now time.Time) {
	for name, c := range d.connections {
		e, found := d.view.Find(name)
		if found && e.Alive(now) && e.Incarnation == c.incarnation && e.Address == c.address {
			continue
		}
		c.drop()
		delete(d.connections, name)
		event.EntryLost.Log(map[string]any{"entry": name, "incarnation": c.incarnation})
	}
	d.view.Expire(now.Add(-forgetAfter))
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

// Dump writes the view as text.
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
