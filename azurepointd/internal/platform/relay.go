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
	// relayMargin is how much longer than relayWait an answer may take.
	relayMargin = 2 * time.Second
	// catchUpCheck is how often an entry compares its version with those in the
	// heartbeats, and catchUpAfter how long it may be behind before it asks a
	// peer that is ahead; the reader has news earlier unless something fails.
	catchUpCheck = time.Second
	catchUpAfter = 2 * time.Second
	// catchUpTimeout bounds the question to a peer that is ahead, which answers
	// without waiting.
	catchUpTimeout = 3 * time.Second
	// catchUpTries is how many of the peers that are ahead are asked at once; the
	// order is random, so that entries that don't answer don't hide the others.
	catchUpTries = 4
)

// ask takes the records after the own version from a peer, which waits for news
// before it answers.
func (f *Follower) ask(ctx context.Context, e membership.Entry) (err error) {
	defer func() {
		if err != nil {
			count("relayFailed")
		}
	}()
	peer, err := f.Peers.Dial(e.Name, e.Incarnation)
	if err != nil {
		return errors.Wrap(err, "platform: dial")
	}
	limited, cancel := context.WithTimeout(ctx, relayWait+relayMargin)
	defer cancel()
	version := f.Version()
	reply, err := peer.Changes(limited, &peerrpc.ChangesRequest{AfterVersion: version, Limit: maxRecords})
	if err != nil {
		return errors.Wrap(err, "platform: changes")
	}
	return f.take(version, reply)
}

// take puts a peer's answer to a question after a version in force.
func (f *Follower) take(version int64, reply *peerrpc.ChangesReply) (err error) {
	if len(reply.GetSnapshot()) > 0 {
		s, err := decodeState(reply.GetSnapshot())
		if err != nil {
			return err
		}
		f.Log.Adopt(s)
		return nil
	}
	records := make([]changelog.Record, 0, len(reply.GetRecords()))
	for i, value := range reply.GetRecords() {
		records = append(records, changelog.Record{Index: version + 1 + int64(i), Value: value})
	}
	_, err = f.Log.Accept(records)
	return err
}

// decodeState refuses fields that this release does not know: without them the
// entry would have another configuration than its peers.
func decodeState(text []byte) (s *fleet.State, err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	s = &fleet.State{}
	if err = d.Decode(s); err != nil {
		return nil, errors.Wrap(err, "platform: state of a peer")
	}
	return s, nil
}

// lag is how far the entry is known to be behind its peers.
type lag struct {
	version int64
	since   time.Time
}

// catchUp asks a peer that is ahead, when the reader and the service have
// brought no news for some seconds: the reader may be frozen or cut off, or the
// service may not be reachable from this data centre or at all.
func (f *Follower) catchUp(ctx context.Context) {
	var behind lag
	for ctx.Err() == nil {
		ahead := f.ahead()
		if len(ahead) == 0 || f.Version() >= behind.version {
			behind = lag{since: time.Now()}
		}
		if len(ahead) > 0 && behind.version == 0 {
			behind.version = ahead[0].Version
		}
		if len(ahead) > 0 && (f.Version() == 0 || time.Since(behind.since) >= catchUpAfter) {
			f.askAhead(ctx, ahead)
		}
		pause(ctx, catchUpCheck)
	}
}

// ahead returns the live entries with a later version, in random order.
func (f *Follower) ahead() (entries []membership.Entry) {
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

// askAhead takes news from the first peer that has any to give.
func (f *Follower) askAhead(ctx context.Context, ahead []membership.Entry) {
	before := f.Version()
	for _, p := range ahead[:min(catchUpTries, len(ahead))] {
		limited, cancel := context.WithTimeout(ctx, catchUpTimeout)
		err := f.ask(limited, p)
		cancel()
		if err == nil && f.Version() > before {
			f.announce(before)
			event.TakenFromPeer.Log(log.Fields{"peer": p.Name, "version": f.Version()})
			return
		}
	}
}
