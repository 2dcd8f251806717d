package platform

import (
	"context"
	"encoding/json"
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
	// storeWait is how long a watch on the service waits; each one is a call.
	storeWait = 20 * time.Second
	// ownerCheck is how soon a reader notices that the duty has gone to another
	// entry, which else would wait for a change as a second reader.
	ownerCheck = time.Second
	// retryPause is the wait after a failure of the service and of all peers.
	retryPause = 500 * time.Millisecond
	// loadTimeout bounds one attempt to load the configuration.
	loadTimeout = 10 * time.Second
	// relayMargin is how much longer than relayWait an answer may take.
	relayMargin = 2 * time.Second
	// listWait is how long a watch on the instance list waits.
	listWait = 20 * time.Second
)

// Run follows the log and the list until the context ends; the channel then
// gets nil.
func (f *Follower) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		f.followList(ctx)
	}()
	go func() {
		f.followLog(ctx)
		<-listed
		ended <- nil
	}()
	return ended
}

func (f *Follower) followLog(ctx context.Context) {
	f.load(ctx)
	for ctx.Err() == nil {
		owner := f.Peers.Owner(duty)
		if owner.Name != f.Peers.Self().Name {
			if f.askPeer(ctx, owner) == nil {
				continue
			}
			event.ReaderUnreachable.Log(log.Fields{"reader": owner.Name})
		}
		if f.read(ctx) != nil && f.askAny(ctx) != nil {
			pause(ctx, retryPause)
		}
	}
}

// load takes the first configuration from the service, or from any peer while
// the service does not answer.
func (f *Follower) load(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, loadTimeout)
		err := f.Log.Load(limited)
		cancel()
		f.note(err)
		if err == nil || f.askAny(ctx) == nil {
			event.ConfigurationLoaded.Log(log.Fields{"version": f.Version()})
			return
		}
		pause(ctx, retryPause)
	}
}

// read waits at the service for the next change, as long as this entry is the
// reader.
func (f *Follower) read(ctx context.Context) (err error) {
	limited, cancel := context.WithTimeout(ctx, storeWait+loadTimeout)
	defer cancel()
	stop := f.stopWhenReplaced(limited, cancel)
	defer stop()
	_, err = f.Log.Follow(limited, time.Now().Add(storeWait))
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		return nil
	}
	f.note(err)
	if err == nil {
		f.compact(ctx)
	}
	return err
}

// stopWhenReplaced cancels a wait once another entry has the duty.
func (f *Follower) stopWhenReplaced(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	ticker := time.NewTicker(ownerCheck)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if f.Peers.Owner(duty).Name != f.Peers.Self().Name {
					cancel()
				}
			}
		}
	}()
	return func() {
		cancel()
		ticker.Stop()
		<-done
	}
}

// note logs when the service begins or ceases to answer.
func (f *Follower) note(err error) {
	switch {
	case err == nil:
		if f.down.Swap(false) {
			event.StoreReachable.Log(nil)
		}
	case errors.Is(err, changelog.ErrCorrupt):
		event.LogUnreadable.Log(log.Fields{"error": err.Error()})
	case !f.down.Swap(true):
		event.StoreUnreachable.Log(log.Fields{"error": err.Error()})
	}
}

// compact writes a snapshot when one is due.
func (f *Follower) compact(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.Log.Due(f.snapshot) {
		return
	}
	stored, err := f.Log.Compact(ctx)
	if err != nil {
		event.CompactionFailed.Log(log.Fields{"error": err.Error()})
		return
	}
	f.snapshot = stored
}

// askAny takes the configuration from any live peer, first of the own data
// centre; it returns an error if none had a later version.
func (f *Follower) askAny(ctx context.Context) (err error) {
	peers := f.Peers.Live()
	for _, name := range f.Peers.DataCentres() {
		if name != f.Peers.Self().DataCentre {
			peers = append(peers, f.Peers.Remote(name)...)
		}
	}
	for _, p := range peers {
		if p.Name == f.Peers.Self().Name || p.Version <= f.Version() {
			continue
		}
		if err = f.askPeer(ctx, p); err == nil {
			return nil
		}
	}
	return errors.New("platform: no peer has a later version")
}

// askPeer takes the records after the own version from a peer, which waits for
// news before it answers.
func (f *Follower) askPeer(ctx context.Context, e membership.Entry) (err error) {
	peer, err := f.Peers.Dial(e.Name, e.Incarnation)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, relayWait+relayMargin)
	defer cancel()
	_, digest := f.list.current()
	version := f.Version()
	reply, err := peer.Changes(limited, &peerrpc.ChangesRequest{
		AfterVersion: version, Limit: maxRecords, LeavingDigest: digest,
	})
	if err != nil {
		count("relayFailed")
		return err
	}
	if e.DataCentre == f.Peers.Self().DataCentre {
		f.list.set(reply.GetLeaving())
	}
	return f.take(version, reply)
}

// take puts a peer's answer to a question after a version in force.
func (f *Follower) take(version int64, reply *peerrpc.ChangesReply) (err error) {
	if len(reply.GetSnapshot()) > 0 {
		var s fleet.State
		if err = json.Unmarshal(reply.GetSnapshot(), &s); err != nil {
			return errors.Wrap(err, "platform: state of a peer")
		}
		f.Log.Adopt(&s)
		return nil
	}
	var records []changelog.Record
	for i, value := range reply.GetRecords() {
		records = append(records, changelog.Record{Index: version + 1 + int64(i), Value: value})
	}
	_, err = f.Log.Accept(records)
	return err
}

// followList watches the platform's list as long as this entry is the reader;
// else the list comes with the changes.
func (f *Follower) followList(ctx context.Context) {
	var index int64
	for ctx.Err() == nil {
		if f.Peers.Owner(duty).Name != f.Peers.Self().Name {
			pause(ctx, ownerCheck)
			index = 0
			continue
		}
		limited, cancel := context.WithTimeout(ctx, listWait+loadTimeout)
		listings, next, err := f.Instances.WaitListings(limited, f.Peers.Self().DataCentre, index, time.Now().Add(listWait))
		cancel()
		if err != nil {
			count("listFailed")
			pause(ctx, retryPause)
			continue
		}
		index = next
		f.list.set(leavingOf(listings))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
