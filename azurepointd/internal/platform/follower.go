package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

// duty is the duty of reading the change log and the instance list.
const duty = "changes"

const (
	// relayWait is how long an answer to a peer waits for a new version.
	relayWait = 5 * time.Second
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
	// down is set while the key-value service does not answer.
	down atomic.Bool

	mu       sync.Mutex
	snapshot int64
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

// Changed returns a channel that is closed at the next version.
func (f *Follower) Changed() <-chan struct{} {
	return f.Log.Changed()
}

// Propose writes a change to the log and returns its fate once the change is in
// force here; after an error the outcome is unknown.
func (f *Follower) Propose(ctx context.Context, c fleet.Change) (fate fleet.Fate, err error) {
	return f.Log.Propose(ctx, c)
}

// Leaving tells whether the platform's list shows the instance as leaving.
func (f *Follower) Leaving(instance string) bool {
	return f.list.has(instance)
}

// Changes returns the records after a version, or the whole state when they are
// no longer kept; it waits some seconds for news.
func (f *Follower) Changes(ctx context.Context, q *peerrpc.ChangesRequest) (reply *peerrpc.ChangesReply, err error) {
	f.waitForNews(ctx, q)
	names, _ := f.list.current()
	reply = &peerrpc.ChangesReply{Version: f.Version(), Leaving: names}
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

// waitForNews returns when there is a later version or another list than the
// asking entry has, or after relayWait.
func (f *Follower) waitForNews(ctx context.Context, q *peerrpc.ChangesRequest) {
	timer := time.NewTimer(relayWait)
	defer timer.Stop()
	for {
		changed, listed := f.Changed(), f.list.changed()
		_, digest := f.list.current()
		if f.Version() > q.GetAfterVersion() || digest != q.GetLeavingDigest() {
			return
		}
		select {
		case <-changed:
		case <-listed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Dump writes the version and what is known of the platform as text.
func (f *Follower) Dump(w io.Writer) {
	s := f.State()
	names, _ := f.list.current()
	fmt.Fprintf(w, "changes: version=%d reader=%s storeDown=%t pools=%d members=%d instances=%d waves=%d leaving=%v\n",
		s.Version, f.Peers.Owner(duty).Name, f.down.Load(), len(s.Pools), len(s.Members), len(s.Instances), len(s.Waves), names)
}

func count(name string) {
	metrics.GetOrRegisterCounter("changes."+name, nil).Inc(1)
}
