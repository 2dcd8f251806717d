package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const (
	// changesMargin is how much longer than changesWait a reply may take.
	changesMargin = 2 * time.Second
	// catchUpInterval is how often an entry compares its version with those in the
	// heartbeats, and catchUpDelay how long it may be behind before it requests
	// records from a peer with a later version; unless something fails, the records
	// arrive from the reader earlier.
	catchUpInterval = time.Second
	catchUpDelay    = 2 * time.Second
	// catchUpTimeout limits a request to a peer with a later version, which replies
	// without waiting.
	catchUpTimeout = 3 * time.Second
	// catchUpAttempts is how many of the peers with a later version are tried in one
	// round. Their order is random, so that unresponsive entries do not keep the
	// others from being tried.
	catchUpAttempts = 4
)

// fetchChanges requests the records after the own version from a peer, which may
// wait for a later version before it replies, and applies them.
func (f *Follower) fetchChanges(ctx context.Context, e membership.Entry) (err error) {
	defer func() {
		if err != nil {
			incrementCounter("relayFailed")
		}
	}()
	peer, err := f.Peers.Dial(e.Name, e.Incarnation)
	if err != nil {
		return errors.Wrap(err, "platform: connect to peer")
	}
	replyCtx, cancel := context.WithTimeout(ctx, changesWait+changesMargin)
	defer cancel()
	version := f.Version()
	reply, err := peer.Changes(replyCtx, &peerrpc.ChangesRequest{AfterVersion: version, Limit: maxRecords})
	if err != nil {
		return errors.Wrap(err, "platform: request changes")
	}
	return f.applyReply(version, reply)
}

// applyReply applies a reply to a request for the records after the given version.
func (f *Follower) applyReply(version int64, reply *peerrpc.ChangesReply) (err error) {
	if len(reply.GetSnapshot()) > 0 {
		s, err := decodeState(reply.GetSnapshot())
		if err != nil {
			return err
		}
		f.Log.AdoptState(s)
		return nil
	}
	records := make([]changelog.Record, 0, len(reply.GetRecords()))
	for i, value := range reply.GetRecords() {
		records = append(records, changelog.Record{Index: version + 1 + int64(i), Value: value})
	}
	_, err = f.Log.ApplyRecords(records)
	return err
}

// decodeState rejects fields that are unknown to this release: without them the
// entry would have another configuration than its peers.
func decodeState(text []byte) (s *fleet.State, err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	s = &fleet.State{}
	if err = d.Decode(s); err != nil {
		return nil, errors.Wrap(err, "platform: decode state from peer")
	}
	return s, nil
}

// lag is a later version that peers have, and the time since which it is missing
// here.
type lag struct {
	version int64
	since   time.Time
}

// catchUp requests the records from a peer with a later version when neither the
// reader nor the service has delivered them for catchUpDelay: the reader may be
// frozen or cut off, or the service unreachable from this data centre or down.
func (f *Follower) catchUp(ctx context.Context) {
	var behind lag
	for ctx.Err() == nil {
		ahead := f.entriesAhead()
		if len(ahead) == 0 || f.Version() >= behind.version {
			behind = lag{since: time.Now()}
		}
		if len(ahead) > 0 && behind.version == 0 {
			behind.version = ahead[0].Version
		}
		if len(ahead) > 0 && (f.Version() == 0 || time.Since(behind.since) >= catchUpDelay) {
			f.fetchFromAhead(ctx, ahead)
		}
		sleep(ctx, catchUpInterval)
	}
}

// entriesAhead returns the live entries with a later version, in random order.
func (f *Follower) entriesAhead() (entries []membership.Entry) {
	peers := slices.Clone(f.Peers.Live())
	for _, name := range f.Peers.DataCentres() {
		if name != f.Peers.Self().DataCentre {
			peers = append(peers, f.Peers.Remote(name)...)
		}
	}
	for _, p := range peers {
		if p.Name != f.Peers.Self().Name && p.Version > f.Version() {
			entries = append(entries, p)
		}
	}
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

// fetchFromAhead requests records from up to catchUpAttempts entries until one has
// delivered a later version.
func (f *Follower) fetchFromAhead(ctx context.Context, entries []membership.Entry) {
	before := f.Version()
	for _, p := range entries[:min(catchUpAttempts, len(entries))] {
		requestCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		err := f.fetchChanges(requestCtx, p)
		cancel()
		if err == nil && f.Version() > before {
			f.recordVersion(before)
			event.ConfigurationLoadedFromPeer.Log(log.Fields{"peer": p.Name, "version": f.Version()})
			return
		}
	}
}
