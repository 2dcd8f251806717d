package platform

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

// duty is the duty of reading the change log.
const duty = "changes"

const (
	// relayWait is how long an answer to a peer waits for a later version.
	relayWait = 4 * time.Second
	// staleAfter is how long after its last answer from the service the reader
	// still tells its peers that there is no later version. Its watch is answered
	// every storeWait or earlier. A reader that is cut off spends this time, and
	// then up to 3 s until it takes a change from its peers, of the 13 s in which
	// the change is to be in force.
	staleAfter = storeWait + 3*time.Second
	// sampleSize and sampleDecay are the values that go-metrics uses for timers:
	// they weight the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
	// maxRecords bounds the records in one answer to a peer.
	maxRecords = 256
)

// Peers is the view of the other entries.
type Peers interface {
	Self() membership.Entry
	// Live returns the live entries of the own data centre, self included.
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	DataCentres() []string
	Owner(duty string) membership.Entry
	// Dial returns a client of a live entry; incarnation 0 means any.
	Dial(name string, incarnation int64) (peer peerrpc.Peer, err error)
}

// Follower keeps the configuration in force at this entry and the leaving
// instances of its data centre; it is ready once its needs are set.
type Follower struct {
	Peers     Peers
	Instances platform.InstanceWatch
	// Log is the entry's copy of the configuration; its Store must be set.
	Log changelog.Log

	list listing
	// read is when the service last answered, in Unix nanoseconds.
	read atomic.Int64
	// store is the condition of the service.
	store atomic.Int32
	// unlisted is set while the instance list does not answer.
	unlisted atomic.Bool
}

// State returns the configuration in force here; it is never modified after it
// is returned.
func (f *Follower) State() *fleet.State {
	return f.Log.State()
}

// Version returns the version in force here; it never falls.
func (f *Follower) Version() int64 {
	return f.Log.Version()
}

// Changed returns a channel that is closed at the next version; take it before
// the state.
func (f *Follower) Changed() <-chan struct{} {
	return f.Log.Changed()
}

// Propose writes a change to the log and returns its fate once the change is in
// force here. After changelog.ErrOutcomeUnknown the change may be in the log; a
// proposal with the same ID tells. After another error it is not in the log.
func (f *Follower) Propose(ctx context.Context, c fleet.Change) (fate fleet.Fate, err error) {
	began := time.Now()
	fate, err = f.Log.Propose(ctx, c)
	observe("proposeMillis", time.Since(began).Milliseconds())
	switch {
	case errors.Is(err, changelog.ErrOutcomeUnknown):
		count("unknown")
		event.RecordUnknown.Log(log.Fields{"change": c.ID, "error": err.Error()})
	case err != nil:
		count("failed")
	case fate.Refusal != "":
		count("refused")
	default:
		count("accepted")
	}
	return fate, err
}

// Leaving tells whether the platform's list shows the instance as leaving, or
// did so when it last showed it.
func (f *Follower) Leaving(instance string) bool {
	return f.list.has(instance)
}

// Changes returns the records after a version, or the whole state when they are
// no longer kept. The reader of the log waits some seconds for news; an entry
// that cannot tell whether there is any returns an error.
func (f *Follower) Changes(ctx context.Context, q *peerrpc.ChangesRequest) (reply *peerrpc.ChangesReply, err error) {
	if f.Version() <= q.GetAfterVersion() {
		if !f.reads() {
			return nil, twirp.NewError(twirp.Unavailable, "platform: this entry does not read the log")
		}
		f.waitForNews(ctx, q.GetAfterVersion())
	}
	reply = &peerrpc.ChangesReply{Version: f.Version()}
	records, kept := f.Log.Since(q.GetAfterVersion(), maxRecords)
	if kept {
		for _, r := range records {
			reply.Records = append(reply.Records, r.Value)
		}
		return reply, nil
	}
	reply.Snapshot, err = json.Marshal(f.State())
	if err != nil {
		return nil, errors.Wrap(err, "platform: encode the state")
	}
	return reply, nil
}

// reads tells whether this entry has the duty of reading the log and had an
// answer from the service lately.
func (f *Follower) reads() bool {
	return f.owns() && time.Now().Before(f.freshUntil())
}

// freshUntil returns how long the last answer of the service counts.
func (f *Follower) freshUntil() time.Time {
	return time.Unix(0, f.read.Load()).Add(staleAfter)
}

func (f *Follower) owns() bool {
	return f.Peers.Owner(duty).Name == f.Peers.Self().Name
}

// waitForNews returns when there is a later version, after relayWait, or when
// the last answer of the service becomes stale.
func (f *Follower) waitForNews(ctx context.Context, version int64) {
	timer := time.NewTimer(min(relayWait, time.Until(f.freshUntil())))
	defer timer.Stop()
	for {
		changed := f.Changed()
		if f.Version() > version {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func count(name string) {
	metrics.GetOrRegisterCounter("changes."+name, nil).Inc(1)
}

func gauge(name string, value int64) {
	metrics.GetOrRegisterGauge("changes."+name, nil).Update(value)
}

func observe(name string, value int64) {
	sample := metrics.NewExpDecaySample(sampleSize, sampleDecay)
	metrics.GetOrRegisterHistogram("changes."+name, nil, sample).Update(value)
}
