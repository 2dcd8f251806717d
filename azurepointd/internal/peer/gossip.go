package peer

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// exchangeState is the state of the heartbeat exchange with another entry.
type exchangeState struct {
	// digest is the hash of the other entry's set of live entries, as last received.
	digest uint64
	// nextSummaryAt is when the relay next sends the summaries of data centres.
	nextSummaryAt time.Time
}

// newHeartbeat builds the heartbeat for an entry. It lists the live entries only
// if the digest of the other entry differs, because the total size of lists in
// every heartbeat would grow with the square of the number of entries.
func (d *Directory) newHeartbeat(to membership.Entry) (m *peerrpc.HeartbeatMessage) {
	version, held := d.ownGrants()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.view.Observe(d.self(now), now)
	m = &peerrpc.HeartbeatMessage{Sender: toPeerInfo(d.self(now)), Digest: d.digest(now), Held: held}
	// The grants were read at this version or a later one.
	m.Sender.Version = version
	c := d.exchangeState(to.Name)
	if c.digest != m.Digest {
		for _, e := range d.view.All() {
			if e.Name != d.Name && e.Alive(now) {
				m.Peers = append(m.Peers, toPeerInfo(e))
			}
		}
	}
	relay, _ := d.view.Owner(d.DataCentre, relayDuty, now)
	if relay.Name == d.Name && !now.Before(c.nextSummaryAt) {
		c.nextSummaryAt = now.Add(heartbeatsPerExchange * d.interval())
		m.DataCentres = d.dataCentreSummaries(to.DataCentre, now)
	}
	return m
}

// exchangeDue reports whether the relay has to send a heartbeat to an entry of
// another data centre.
func (d *Directory) exchangeDue(e membership.Entry, now time.Time) bool {
	c := d.exchangeState(e.Name)
	return c.digest != d.digest(now) || !now.Before(c.nextSummaryAt)
}

// exchangeState returns the state of the exchange with an entry and creates it if
// needed. The caller holds the lock.
func (d *Directory) exchangeState(name string) (c *exchangeState) {
	if d.exchangeStates == nil {
		d.exchangeStates = make(map[string]*exchangeState)
	}
	c = d.exchangeStates[name]
	if c == nil {
		c = &exchangeState{}
		d.exchangeStates[name] = c
	}
	return c
}

// dataCentreSummaries describes every data centre with live entries except the
// receiver's.
func (d *Directory) dataCentreSummaries(receiver string, now time.Time) (summaries []*peerrpc.DataCentreInfo) {
	for _, name := range d.view.DataCentres() {
		live := d.view.Live(name, now)
		if name == receiver || len(live) == 0 {
			continue
		}
		summary := &peerrpc.DataCentreInfo{Name: name, LowestVersion: live[0].Version}
		until := live[0].AliveUntil
		for _, e := range live {
			summary.LowestVersion = min(summary.LowestVersion, e.Version)
			if e.AliveUntil.Before(until) {
				until = e.AliveUntil
			}
		}
		if name == d.DataCentre {
			until = d.latestRemoteExpiry(now)
		}
		summary.AliveUntilUnixMillis = until.UnixMilli()
		summaries = append(summaries, summary)
	}
	return summaries
}

// digest hashes the fields of the live entries that are equal at every entry with
// the same set of live entries.
func (d *Directory) digest(now time.Time) (digest uint64) {
	h := fnv.New64a()
	for _, e := range d.view.All() {
		if !e.Alive(now) {
			continue
		}
		_, _ = h.Write([]byte(e.Name + "\x00" + e.DataCentre + "\x00" + e.Address + "\x00"))
		var numbers [9]byte
		binary.BigEndian.PutUint64(numbers[:], uint64(e.Incarnation))
		if e.Leaving {
			numbers[8] = 1
		}
		_, _ = h.Write(numbers[:])
	}
	return h.Sum64()
}

// mergeHeartbeat merges a heartbeat that was composed at the given time or later
// into the view, and returns its sender.
func (d *Directory) mergeHeartbeat(m *peerrpc.HeartbeatMessage, at time.Time) (sender membership.Entry) {
	if m.GetSender().GetName() == "" {
		return sender
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	sender = fromPeerInfo(m.Sender)
	sender.AliveUntil = now.Add(d.lifetime())
	if sender.DataCentre != d.DataCentre {
		sender.AliveUntil = d.latestRemoteExpiry(now)
	}
	d.observe(sender, now)
	d.exchangeState(sender.Name).digest = m.Digest
	d.recordGrantReport(sender, m.Held, at)
	for _, info := range m.Peers {
		d.mergeIndirectEntry(fromPeerInfo(info), sender, now)
	}
	if m.Digest == d.digest(now) {
		for _, summary := range m.DataCentres {
			d.mergeSummary(summary, now)
		}
	}
	d.closeLost(now)
	return sender
}

// mergeIndirectEntry merges an entry that the sender lists. An entry of the own
// data centre is only contacted, since its own heartbeats decide whether it is
// live; one of another data centre counts as live as reported by the relays.
func (d *Directory) mergeIndirectEntry(e, sender membership.Entry, now time.Time) {
	switch e.DataCentre {
	case d.DataCentre:
		if known, found := d.view.Find(e.Name); found && known.Incarnation >= e.Incarnation {
			return
		}
		e.AliveUntil = now
	case sender.DataCentre:
		e.AliveUntil = e.AliveUntil.Add(remoteGraceHeartbeats * d.interval())
	}
	e.AliveUntil = earliest(e.AliveUntil, d.latestRemoteExpiry(now))
	d.observe(e, now)
}

// mergeSummary extends the lifetime of all live entries of another data centre.
// Both views hold the same entries, because their digests are equal.
func (d *Directory) mergeSummary(summary *peerrpc.DataCentreInfo, now time.Time) {
	if summary.GetName() == d.DataCentre {
		return
	}
	until := time.UnixMilli(summary.GetAliveUntilUnixMillis())
	for _, e := range d.view.Live(summary.GetName(), now) {
		e.AliveUntil = earliest(until, d.latestRemoteExpiry(now))
		e.Version = max(e.Version, summary.GetLowestVersion())
		d.observe(e, now)
	}
}

// latestRemoteExpiry is the latest time until which an entry of another data
// centre may count as live; it limits received times, since the sender's clock may
// be ahead of the local one.
func (d *Directory) latestRemoteExpiry(now time.Time) time.Time {
	return now.Add(d.lifetime() + remoteGraceHeartbeats*d.interval())
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func toPeerInfo(e membership.Entry) *peerrpc.PeerInfo {
	return &peerrpc.PeerInfo{
		Name:                 e.Name,
		DataCentre:           e.DataCentre,
		Incarnation:          e.Incarnation,
		Address:              e.Address,
		Version:              e.Version,
		Leaving:              e.Leaving,
		AliveUntilUnixMillis: e.AliveUntil.UnixMilli(),
	}
}

func fromPeerInfo(i *peerrpc.PeerInfo) membership.Entry {
	return membership.Entry{
		Name:        i.GetName(),
		DataCentre:  i.GetDataCentre(),
		Incarnation: i.GetIncarnation(),
		Address:     i.GetAddress(),
		Version:     i.GetVersion(),
		Leaving:     i.GetLeaving(),
		AliveUntil:  time.UnixMilli(i.GetAliveUntilUnixMillis()),
	}
}
