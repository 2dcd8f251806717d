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
	// relayDuty is the duty of exchanging heartbeats with other data centres. Only
	// one entry of each data centre has it, so that the number of these exchanges
	// grows with the data centres and not with the entries.
	relayDuty = "relay"
	// heartbeatsPerExchange is the number of heartbeat intervals between two
	// exchanges with another data centre; nothing urgent depends on them.
	heartbeatsPerExchange = 4
	// remoteGraceHeartbeats is how many heartbeat intervals longer an entry of
	// another data centre counts as live: three exchanges, since updates pass
	// through two relays.
	remoteGraceHeartbeats = 3 * heartbeatsPerExchange
	// discoverInterval is the time between calls of Discover.
	discoverInterval = 10 * time.Second
)

// Run sends heartbeats until the context ends; the channel then receives nil.
func (d *Directory) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(d.interval())
		defer ticker.Stop()
		for {
			d.sendRound(ctx)
			select {
			case <-ctx.Done():
				d.closeConnections()
				ended <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// Announce sends a heartbeat to all entries and waits for the replies. It is
// called in a planned stop, to report that this entry is leaving.
func (d *Directory) Announce(ctx context.Context) {
	done := d.startHeartbeats(ctx, d.targets(true))
	for range cap(done) {
		<-done
	}
}

// Heartbeat handles the heartbeat of another entry and replies with one of its
// own.
func (d *Directory) Heartbeat(_ context.Context, m *peerrpc.HeartbeatMessage) (*peerrpc.HeartbeatMessage, error) {
	// The message may have been in transit for up to the sender's timeout.
	sender := d.mergeHeartbeat(m, time.Now().Add(-d.lifetime()))
	return d.newHeartbeat(sender), nil
}

func (d *Directory) closeConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.connections {
		c.disconnect()
	}
}

// sendRound sends a round of heartbeats without waiting for slow entries.
func (d *Directory) sendRound(ctx context.Context) {
	d.refreshDiscovered(ctx)
	d.startHeartbeats(ctx, d.targets(false))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.closeLost(now)
	metrics.GetOrRegisterGauge("peer.live", nil).Update(int64(len(d.view.Live(d.DataCentre, now))))
}

// startHeartbeats sends a heartbeat to each target concurrently. The channel has
// the capacity for one value per target, which is sent when the target is done.
func (d *Directory) startHeartbeats(ctx context.Context, targets []heartbeatTarget) (done chan struct{}) {
	done = make(chan struct{}, len(targets))
	for _, t := range targets {
		go func() {
			d.sendHeartbeat(ctx, t)
			if t.transient {
				t.disconnect()
			}
			done <- struct{}{}
		}()
	}
	return done
}

func (d *Directory) sendHeartbeat(ctx context.Context, t heartbeatTarget) {
	// A heartbeat older than the lifetime does not show that its sender is live.
	ctx, cancel := context.WithTimeout(ctx, d.lifetime())
	defer cancel()
	sent := time.Now()
	reply, err := t.client.Heartbeat(ctx, d.newHeartbeat(t.entry))
	if err != nil {
		metrics.GetOrRegisterCounter("peer.heartbeatsFailed", nil).Inc(1)
		return
	}
	d.mergeHeartbeat(reply, sent)
}

// heartbeatTarget is a connection on which a heartbeat is sent. A transient
// connection is used for this heartbeat only, because no live entry is known at
// its address.
type heartbeatTarget struct {
	*connection
	// entry is the zero value for an address at which no entry is known.
	entry     membership.Entry
	transient bool
}

// targets returns where to send heartbeats: the entries of the data centre, one
// entry of each other data centre if this entry is the relay, and the join and
// discovered addresses at which no live entry is known. A heartbeat and its reply
// update both sides, so of two live entries only the first by name sends, unless
// all is set.
func (d *Directory) targets(all bool) (targets []heartbeatTarget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.view.Observe(d.self(now), now)
	addresses := []string{d.Address}
	addTarget := func(e membership.Entry) {
		addresses = append(addresses, e.Address)
		if e.Alive(now) {
			targets = append(targets, heartbeatTarget{connection: d.connectionTo(e), entry: e})
			return
		}
		targets = append(targets, heartbeatTarget{connection: newConnection(e.Address, d.Secret), entry: e, transient: true})
	}
	for _, e := range d.view.All() {
		initiates := all || d.Name < e.Name || !e.Alive(now)
		if initiates && e.Name != d.Name && e.DataCentre == d.DataCentre {
			addTarget(e)
		}
	}
	for _, e := range d.remoteRelays(now) {
		initiatesExchange := d.DataCentre < e.DataCentre && d.exchangeDue(e, now)
		if all || initiatesExchange || !e.Alive(now) {
			addTarget(e)
		}
	}
	for _, address := range append(slices.Clone(d.Join), d.discovered...) {
		if !slices.Contains(addresses, address) && !d.isLiveAddress(address, now) {
			addTarget(membership.Entry{Address: address})
		}
	}
	return targets
}

// remoteRelays returns one entry of each other data centre if this entry is the
// relay of its own.
func (d *Directory) remoteRelays(now time.Time) (relays []membership.Entry) {
	relay, _ := d.view.Owner(d.DataCentre, relayDuty, now)
	if relay.Name != d.Name {
		return nil
	}
	for _, name := range d.view.DataCentres() {
		if e, found := d.remoteRelay(name, now); found && name != d.DataCentre {
			relays = append(relays, e)
		}
	}
	return relays
}

// remoteRelay returns the entry of another data centre to exchange heartbeats
// with. After a network partition, when none of them counts as live, it rotates
// through the known ones.
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
	round := now.UnixMilli() / d.interval().Milliseconds()
	return known[int(round%int64(len(known)))], true
}

func (d *Directory) isLiveAddress(address string, now time.Time) bool {
	return slices.ContainsFunc(d.view.All(), func(e membership.Entry) bool {
		return e.Address == address && e.Alive(now)
	})
}

// refreshDiscovered calls Discover in the background once every discoverInterval.
func (d *Directory) refreshDiscovered(ctx context.Context) {
	d.mu.Lock()
	due := d.Discover != nil && !time.Now().Before(d.nextDiscovery)
	if due {
		d.nextDiscovery = time.Now().Add(discoverInterval)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, discoverInterval)
		defer cancel()
		addresses, err := d.Discover(ctx)
		if err != nil {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.discovered = addresses
	}()
}
