package platform

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

// pathFault is a fault of the network path to an entry, or from an entry to the
// key-value service.
type pathFault int

const (
	noFault pathFault = iota
	refusing
	// hanging calls get no reply before the caller's deadline.
	hanging
)

// cluster simulates a key-value service, an instance list and the entries of some
// data centres with a fake clock.
type cluster struct {
	mu        sync.Mutex
	values    map[string]platform.Item
	revision  int64
	written   chan struct{}
	listings  []platform.ListedInstance
	listIndex int64
	listed    chan struct{}
	calls     int

	entries map[string]*testEntry
}

// testEntry is one entry of the cluster; it implements Peers, Store and
// InstanceWatcher as seen from this entry.
type testEntry struct {
	*cluster
	info     membership.Entry
	follower *Follower
	// storeFault is the fault of the path to the service, peerFault that of the path
	// from other entries to this one.
	storeFault, peerFault pathFault
	stop                  context.CancelFunc
	ended                 <-chan error
}

func newCluster() *cluster {
	return &cluster{
		values:  map[string]platform.Item{},
		written: make(chan struct{}),
		listed:  make(chan struct{}),
		entries: map[string]*testEntry{},
	}
}

// start adds an entry with the given fault of its path to the service, and runs it
// until stopAll.
func (c *cluster) start(t *testing.T, dataCentre string, n int, store pathFault) *testEntry {
	t.Helper()
	name := fmt.Sprintf("%s-e%d", dataCentre, n)
	e := &testEntry{cluster: c, storeFault: store, info: membership.Entry{Name: name, DataCentre: dataCentre, Incarnation: 1}}
	e.follower = &Follower{Peers: e, Instances: e, Log: changelog.Log{Store: e}}
	c.mu.Lock()
	c.entries[name] = e
	c.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	e.stop, e.ended = stop, e.follower.Run(ctx)
	return e
}

func (c *cluster) stopAll() {
	for _, e := range c.entries {
		e.stop()
	}
	for _, e := range c.entries {
		<-e.ended
	}
}

// storeCallCount returns the number of calls to the key-value service and the
// instance list so far.
func (c *cluster) storeCallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// setFaults sets the faults of the paths of an entry.
func (e *testEntry) setFaults(store, peer pathFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeFault, e.peerFault = store, peer
}

func (e *testEntry) Self() membership.Entry { return e.info }

func (e *testEntry) Live() []membership.Entry { return e.Remote(e.info.DataCentre) }

func (e *testEntry) Remote(dataCentre string) (live []membership.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(e.entries)) {
		if o := e.entries[name]; o.info.DataCentre == dataCentre {
			i := o.info
			i.Version = o.follower.Version()
			live = append(live, i)
		}
	}
	return live
}

func (e *testEntry) DataCentres() []string { return []string{"a", "b"} }

func (e *testEntry) Owner(duty string) membership.Entry {
	owner, _ := membership.Rendezvous(e.Live(), duty)
	return owner
}

// peerClient is a client of another entry; only Changes is implemented.
type peerClient struct {
	peerrpc.Peer
	to *testEntry
}

func (e *testEntry) Dial(name string, _ int64) (peerrpc.Peer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return peerClient{to: e.entries[name]}, nil
}

func (c peerClient) Changes(ctx context.Context, q *peerrpc.ChangesRequest) (*peerrpc.ChangesReply, error) {
	c.to.mu.Lock()
	fault := c.to.peerFault
	c.to.mu.Unlock()
	if err := fault.inject(ctx); err != nil {
		return nil, err
	}
	return c.to.follower.Changes(ctx, q)
}

// inject returns the error of a call on a path with the fault, after the delay
// that the fault causes.
func (f pathFault) inject(ctx context.Context) error {
	switch f {
	case refusing:
		return errors.New("connection refused")
	case hanging:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// callStore counts a call to the service and injects the fault of the path to it;
// a call times out after 5 s.
func (e *testEntry) callStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	e.mu.Lock()
	e.calls++
	fault := e.storeFault
	e.mu.Unlock()
	if fault.inject(ctx) != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (e *testEntry) Get(ctx context.Context, key string) (v platform.Item, found bool, err error) {
	if err = e.callStore(ctx); err != nil {
		return v, false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	v, found = e.values[key]
	return v, found, nil
}

func (e *testEntry) List(ctx context.Context, prefix string) ([]platform.Item, int64, error) {
	return e.Wait(ctx, prefix, 0, time.Time{})
}

func (e *testEntry) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (bool, error) {
	if err := e.callStore(ctx); err != nil {
		return false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.values[key].Revision != expected {
		return false, nil
	}
	e.revision++
	e.values[key] = platform.Item{Key: key, Value: value, Revision: e.revision}
	close(e.written)
	e.written = make(chan struct{})
	return true, nil
}

func (e *testEntry) Delete(context.Context, string, int64) (bool, error) {
	return false, errors.New("no test removes a key")
}

func (e *testEntry) Wait(ctx context.Context, prefix string, after int64, until time.Time) (found []platform.Item, index int64, err error) {
	if err = e.callStore(ctx); err != nil {
		return nil, 0, err
	}
	for {
		e.mu.Lock()
		found, index = nil, e.revision+1
		for _, k := range slices.Sorted(maps.Keys(e.values)) {
			if strings.HasPrefix(k, prefix) {
				found = append(found, e.values[k])
			}
		}
		written := e.written
		e.mu.Unlock()
		if index > after || !time.Now().Before(until) {
			return found, index, nil
		}
		select {
		case <-written:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return nil, 0, platform.ErrUnavailable
		}
	}
}

func (e *testEntry) ListInstances(context.Context, string) ([]platform.ListedInstance, error) {
	return nil, errors.New("no entry reads the list without a watch")
}

func (e *testEntry) WaitInstances(ctx context.Context, _ string, after int64, until time.Time) ([]platform.ListedInstance, int64, error) {
	if err := e.callStore(ctx); err != nil {
		return nil, 0, err
	}
	for {
		e.mu.Lock()
		found, index, listed := e.listings, e.listIndex+1, e.listed
		e.mu.Unlock()
		if index > after || !time.Now().Before(until) {
			return found, index, nil
		}
		select {
		case <-listed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return nil, 0, platform.ErrUnavailable
		}
	}
}

// setListings replaces the instance list and wakes its watches.
func (c *cluster) setListings(listings ...platform.ListedInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listings = listings
	c.listIndex++
	close(c.listed)
	c.listed = make(chan struct{})
}

// propose writes a change to the log, fails the test if it is refused, and returns
// its index.
func propose(t *testing.T, f *Follower, id string, commands ...fleet.Command) int64 {
	t.Helper()
	if len(commands) == 0 {
		budget := len(id)
		commands = []fleet.Command{{SetPool: &fleet.SetPool{Name: "cover", Budget: &budget}}}
	}
	result, err := f.Propose(t.Context(), fleet.Change{ID: id, Commands: commands})
	if err != nil || result.Refusal != "" {
		t.Fatalf("propose %s: fate %+v, error %v", id, result, err)
	}
	if v := f.Version(); v < result.Index {
		t.Errorf("version %d is in force at the proposer of change %d", v, result.Index)
	}
	return result.Index
}
