package peer

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const (
	// relayDuty is the duty of exchanging heartbeats with other data centres, so
	// that their number grows with data centres and not with entries.
	relayDuty = "relay"
	// relayBeats is how many heartbeats there are to one exchange between data
	// centres, which nothing urgent waits for.
	relayBeats = 4
	// remoteGraceBeats is how much longer an entry of another data centre counts
	// as live: three exchanges, since news goes through two relays.
	remoteGraceBeats = 3 * relayBeats
	// discoverEvery is the interval between calls of Discover.
	discoverEvery = 10 * time.Second
)

// Run sends heartbeats until the context ends; the channel then gets nil.
func (d *Directory) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(d.interval())
		defer ticker.Stop()
		for {
			d.beat(ctx)
			select {
			case <-ctx.Done():
				d.end()
				ended <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// Announce sends one heartbeat to all and waits for the answers; a planned stop
// uses it to tell that this entry is leaving.
func (d *Directory) Announce(ctx context.Context) {
	done := d.send(ctx, d.targets(true))
	for range cap(done) {
		<-done
	}
}

// Heartbeat answers the heartbeat of another entry with the own view.
func (d *Directory) Heartbeat(_ context.Context, m *peerrpc.HeartbeatMessage) (*peerrpc.HeartbeatMessage, error) {
	// The message may have been on its way for as long as its sender waits.
	sender := d.absorb(m, time.Now().Add(-d.lifetime()))
	return d.message(sender), nil
}

func (d *Directory) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.connections {
		c.drop()
	}
}

// beat sends a round of heartbeats without waiting for slow entries.
func (d *Directory) beat(ctx context.Context) {
	d.discover(ctx)
	d.send(ctx, d.targets(false))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.dropLost(now)
	metrics.GetOrRegisterGauge("peer.live", nil).Update(int64(len(d.view.Live(d.DataCentre, now))))
}

// send sends a heartbeat to each target; the channel's capacity is the number of
// targets, each of which sends once when it is done.
func (d *Directory) send(ctx context.Context, targets []target) (done chan struct{}) {
	done = make(chan struct{}, len(targets))
	for _, t := range targets {
		go func() {
			d.exchange(ctx, t)
			if t.transient {
				t.drop()
			}
			done <- struct{}{}
		}()
	}
	return done
}

func (d *Directory) exchange(ctx context.Context, t target) {
	// A heartbeat older than the lifetime no longer proves that its sender lives.
	ctx, cancel := context.WithTimeout(ctx, d.lifetime())
	defer cancel()
	sent := time.Now()
	reply, err := t.client.Heartbeat(ctx, d.message(t.entry))
	if err != nil {
		metrics.GetOrRegisterCounter("peer.heartbeatsFailed", nil).Inc(1)
		return
	}
	d.absorb(reply, sent)
}

// target is a connection to send a heartbeat on; a transient one serves only
// this heartbeat, because no live entry is known at its address.
type target struct {
	*connection
	// entry is empty for an address that no known entry has.
	entry     membership.Entry
	transient bool
}

// targets returns where to send heartbeats: entries of the data centre, one
// entry of each other data centre if this entry is the relay, and addresses to
// greet that no live entry has. A heartbeat and its answer tell both sides of the
// other, so of two live entries only the first by name sends, unless all is set.
func (d *Directory) targets(all bool) (targets []target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.view.Observe(d.self(now), now)
	addresses := []string{d.Address}
	add := func(e membership.Entry) {
		addresses = append(addresses, e.Address)
		if e.Alive(now) {
			targets = append(targets, target{connection: d.connect(e), entry: e})
			return
		}
		targets = append(targets, target{connection: newConnection(e.Address, d.Secret), entry: e, transient: true})
	}
	for _, e := range d.view.All() {
		mine := all || d.Name < e.Name || !e.Alive(now)
		if mine && e.Name != d.Name && e.DataCentre == d.DataCentre {
			add(e)
		}
	}
	for _, e := range d.remoteRelays(now) {
		mine := d.DataCentre < e.DataCentre && d.due(e, now)
		if all || mine || !e.Alive(now) {
			add(e)
		}
	}
	for _, address := range append(slices.Clone(d.Join), d.greeted...) {
		if !slices.Contains(addresses, address) && !d.knows(address, now) {
			add(membership.Entry{Address: address})
		}
	}
	return targets
}

// remoteRelays returns one entry of each other data centre if this entry is the
// relay of its own.
func (d *Directory) remoteRelays(now time.Time) (relays []membership.Entry) {
	own, _ := d.view.Owner(d.DataCentre, relayDuty, now)
	if own.Name != d.Name {
		return nil
	}
	for _, name := range d.view.DataCentres() {
		if e, found := d.remoteRelay(name, now); found && name != d.DataCentre {
			relays = append(relays, e)
		}
	}
	return relays
}

// remoteRelay picks the entry of another data centre to exchange with; after a
// cut, when none counts as live, it tries the known ones in turn.
func (d *Directory) remoteRelay(dataCentre string, now time.Time) (e membership.Entry, found bool) {
	if e, found = d.view.Owner(dataCentre, relayDuty, now); found {
		return e, true
	}
	var known []membership.Entry
	for _, k := range d.view.All() {
		if k.DataCentre == dataCentre {
			known = append(known, k)
		}
	}
	if len(known) == 0 {
		return e, false
	}
	turn := now.UnixMilli() / d.interval().Milliseconds()
	return known[int(turn%int64(len(known)))], true
}

func (d *Directory) knows(address string, now time.Time) bool {
	return slices.ContainsFunc(d.view.All(), func(e membership.Entry) bool {
		return e.Address == address && e.Alive(now)
	})
}

// discover refreshes the addresses to greet from outside the view.
func (d *Directory) discover(ctx context.Context) {
	d.mu.Lock()
	due := d.Discover != nil && !time.Now().Before(d.discoverAt)
	if due {
		d.discoverAt = time.Now().Add(discoverEvery)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, discoverEvery)
		defer cancel()
		addresses, err := d.Discover(ctx)
		if err != nil {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.greeted = addresses
	}()
}
