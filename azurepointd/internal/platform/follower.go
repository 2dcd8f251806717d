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

// changesDuty is the duty of reading the change log.
const changesDuty = "changes"

const (
	// changesWait is how long a request of a peer waits for a later version.
	changesWait = 4 * time.Second
	// staleAfter is how long after its last answer from the service a reader still
	// reports to its peers that there is no later version; its watch is answered
	// within storeWatchTimeout. If the reader is cut off, this time counts towards
	// the 13 s within which a change has to be in force, and so do the up to 3 s
	// until it fetches the change from a peer.
	staleAfter = storeWatchTimeout + 3*time.Second
	// sampleSize and sampleDecay are the values that go-metrics uses for timers:
	// they weight the samples towards the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
	// maxRecords limits the records in one reply to a peer.
	maxRecords = 256
)

// Peers is the view of the other entries.
type Peers interface {
	Self() membership.Entry
	// Live returns the live entries of the own data centre, including this one.
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	DataCentres() []string
	Owner(duty string) membership.Entry
	// Dial returns a client of a live entry; incarnation 0 means any.
	Dial(name string, incarnation int64) (peer peerrpc.Peer, err error)
}

// Follower keeps the configuration in force at this entry and the leaving
// instances of its data centre. Peers, Instances and Log.Store must be set before
// use.
type Follower struct {
	Peers     Peers
	Instances platform.InstanceWatcher
	// Log is the entry's copy of the change log and the configuration.
	Log changelog.Log

	leaving leavingInstances
	// lastStoreAnswer is when the key-value service last answered, in Unix
	// nanoseconds.
	lastStoreAnswer atomic.Int64
	// storeStatus holds the serviceStatus of the key-value service.
	storeStatus atomic.Int32
	// listUnreachable is set while requests for the instance list fail.
	listUnreachable atomic.Bool
}

// State returns the configuration in force at this entry, which is never modified
// afterwards.
func (f *Follower) State() *fleet.State {
	return f.Log.State()
}

// Version returns the version in force at this entry; it never decreases.
func (f *Follower) Version() int64 {
	return f.Log.Version()
}

// Changed returns a channel that is closed at the next version. Call it before
// State, so that no version is missed.
func (f *Follower) Changed() <-chan struct{} {
	return f.Log.Changed()
}

// Propose writes a change to the log and returns its result once the change is in
// force at this entry. After changelog.ErrOutcomeUnknown the log may contain the
// change; proposing it again with the same ID returns its result. After any other
// error the log does not contain it.
func (f *Follower) Propose(ctx context.Context, c fleet.Change) (result fleet.ChangeResult, err error) {
	proposedAt := time.Now()
	result, err = f.Log.Propose(ctx, c)
	updateHistogram("proposeMillis", time.Since(proposedAt).Milliseconds())
	switch {
	case errors.Is(err, changelog.ErrOutcomeUnknown):
		incrementCounter("unknown")
		event.ChangeResultUnknown.Log(log.Fields{"change": c.ID, "error": err.Error()})
	case err != nil:
		incrementCounter("failed")
	case result.Refusal != "":
		incrementCounter("refused")
	default:
		incrementCounter("accepted")
	}
	return result, err
}

// Leaving reports whether the platform listed the instance as leaving when the list
// last contained it.
func (f *Follower) Leaving(instance string) bool {
	return f.leaving.contains(instance)
}

// Changes returns the records after a version, or the whole state if those records
// are no longer kept. The reader of the log waits up to changesWait for a later
// version; any other entry without a later version returns an error, since it
// cannot determine whether there is one.
func (f *Follower) Changes(ctx context.Context, q *peerrpc.ChangesRequest) (reply *peerrpc.ChangesReply, err error) {
	if f.Version() <= q.GetAfterVersion() {
		if !f.isCurrentReader() {
			return nil, twirp.NewError(twirp.Unavailable, "platform: this entry is not the current reader of the log")
		}
		f.waitForLaterVersion(ctx, q.GetAfterVersion())
	}
	reply = &peerrpc.ChangesReply{Version: f.Version()}
	records, kept := f.Log.RecordsSince(q.GetAfterVersion(), maxRecords)
	if kept {
		for _, r := range records {
			reply.Records = append(reply.Records, r.Value)
		}
		return reply, nil
	}
	reply.Snapshot, err = json.Marshal(f.State())
	if err != nil {
		return nil, errors.Wrap(err, "platform: encode state")
	}
	return reply, nil
}

// isCurrentReader reports whether this entry has the duty of reading the log, and
// the last answer of the service is not stale.
func (f *Follower) isCurrentReader() bool {
	return f.ownsChangesDuty() && time.Now().Before(f.freshUntil())
}

// freshUntil returns when the last answer of the service becomes stale.
func (f *Follower) freshUntil() time.Time {
	return time.Unix(0, f.lastStoreAnswer.Load()).Add(staleAfter)
}

func (f *Follower) ownsChangesDuty() bool {
	return f.Peers.Owner(changesDuty).Name == f.Peers.Self().Name
}

// waitForLaterVersion returns when there is a later version, after changesWait, or
// when the last answer of the service becomes stale.
func (f *Follower) waitForLaterVersion(ctx context.Context, version int64) {
	timer := time.NewTimer(min(changesWait, time.Until(f.freshUntil())))
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

func incrementCounter(name string) {
	metrics.GetOrRegisterCounter("changes."+name, nil).Inc(1)
}

func setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge("changes."+name, nil).Update(value)
}

func updateHistogram(name string, value int64) {
	sample := metrics.NewExpDecaySample(sampleSize, sampleDecay)
	metrics.GetOrRegisterHistogram("changes."+name, nil, sample).Update(value)
}
