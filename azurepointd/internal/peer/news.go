package peer

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// contact is what this entry knows of what another one knows.
type contact struct {
	// digest is the hash of the live entries that the other one knows.
	digest uint64
	// relayAt is when the relay tells it of the other data centres again.
	relayAt time.Time
}

// message returns the heartbeat for an entry. It lists the live entries only if
// the other one knows others, because a list in every heartbeat would grow with
// the square of the number of entries.
func (d *Directory) message(to membership.Entry) (m *peerrpc.HeartbeatMessage) {
	version, held := d.holdings()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.view.Observe(d.self(now), now)
	m = &peerrpc.HeartbeatMessage{Sender: toInfo(d.self(now)), Digest: d.digest(now), Held: held}
	// The holdings are those of this version or a later one.
	m.Sender.Version = version
	c := d.contact(to.Name)
	if c.digest != m.Digest {
		for _, e := range d.view.All() {
			if e.Name != d.Name && e.Alive(now) {
				m.Peers = append(m.Peers, toInfo(e))
			}
		}
	}
	relay, _ := d.view.Owner(d.DataCentre, relayDuty, now)
	if relay.Name == d.Name && !now.Before(c.relayAt) {
		c.relayAt = now.Add(relayBeats * d.interval())
		m.DataCentres = d.summaries(to.DataCentre, now)
	}
	return m
}

// due tells whether the relay has news for an entry of another data centre.
func (d *Directory) due(e membership.Entry, now time.Time) bool {
	c := d.contact(e.Name)
	return c.digest != d.digest(now) || !now.Before(c.relayAt)
}

// contact returns the contact with an entry; the caller holds the lock.
func (d *Directory) contact(name string) (c *contact) {
	if d.contacts == nil {
		d.contacts = make(map[string]*contact)
	}
	c = d.contacts[name]
	if c == nil {
		c = &contact{}
		d.contacts[name] = c
	}
	return c
}

// summaries describes every data centre but the receiver's.
func (d *Directory) summaries(receiver string, now time.Time) (all []*peerrpc.DataCentreInfo) {
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
			until = d.remoteLimit(now)
		}
		summary.AliveUntilUnixMillis = until.UnixMilli()
		all = append(all, summary)
	}
	return all
}

// digest hashes what is the same at every entry that knows the same live ones.
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

// absorb takes in what another entry said of itself and of others at that time
// or later.
func (d *Directory) absorb(m *peerrpc.HeartbeatMessage, at time.Time) (sender membership.Entry) {
	if m.GetSender().GetName() == "" {
		return sender
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	sender = fromInfo(m.Sender)
	sender.AliveUntil = now.Add(d.lifetime())
	if sender.DataCentre != d.DataCentre {
		sender.AliveUntil = d.remoteLimit(now)
	}
	d.observe(sender, now)
	d.contact(sender.Name).digest = m.Digest
	d.keepReport(sender, m.Held, at)
	for _, info := range m.Peers {
		d.absorbHearsay(fromInfo(info), sender, now)
	}
	if m.Digest == d.digest(now) {
		for _, summary := range m.DataCentres {
			d.absorbSummary(summary, now)
		}
	}
	d.dropLost(now)
	return sender
}

// absorbHearsay takes in an entry that the sender has heard. An entry of the own
// data centre is only contacted, since its own heartbeats decide whether it is
// live; one of another data centre counts as live by the relays' word.
func (d *Directory) absorbHearsay(e, sender membership.Entry, now time.Time) {
	switch e.DataCentre {
	case d.DataCentre:
		if known, found := d.view.Find(e.Name); found && known.Incarnation >= e.Incarnation {
			return
		}
		e.AliveUntil = now
	case sender.DataCentre:
		e.AliveUntil = e.AliveUntil.Add(remoteGraceBeats * d.interval())
	}
	e.AliveUntil = earliest(e.AliveUntil, d.remoteLimit(now))
	d.observe(e, now)
}

// absorbSummary extends the entries of another data centre together; both sides
// know the same ones, because their digests are equal.
func (d *Directory) absorbSummary(summary *peerrpc.DataCentreInfo, now time.Time) {
	if summary.GetName() == d.DataCentre {
		return
	}
	until := time.UnixMilli(summary.GetAliveUntilUnixMillis())
	for _, e := range d.view.Live(summary.GetName(), now) {
		e.AliveUntil = earliest(until, d.remoteLimit(now))
		e.Version = max(e.Version, summary.GetLowestVersion())
		d.observe(e, now)
	}
}

// remoteLimit is the latest time until which an entry of another data centre
// counts as live; the sender's clock may be ahead of ours.
func (d *Directory) remoteLimit(now time.Time) time.Time {
	return now.Add(d.lifetime() + remoteGraceBeats*d.interval())
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func toInfo(e membership.Entry) *peerrpc.PeerInfo {
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

func fromInfo(i *peerrpc.PeerInfo) membership.Entry {
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
