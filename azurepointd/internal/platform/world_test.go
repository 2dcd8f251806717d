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

// trouble is what is wrong with the path to an entry or from one to the service.
type trouble int

const (
	none trouble = iota
	broken
	// hanging gives no answer before the caller's deadline.
	hanging
)

// world is a key-value service, an instance list and the entries of some data
// centres, in one bubble of virtual time.
type world struct {
	mu        sync.Mutex
	values    map[string]platform.Entry
	revision  int64
	written   chan struct{}
	listings  []platform.Listing
	listIndex int64
	listed    chan struct{}
	calls     int

	entries map[string]*entry
}

// entry is one entry of the world; it implements Peers, Store and InstanceWatch
// as this entry sees them.
type entry struct {
	*world
	info     membership.Entry
	follower *Follower
	// store and peer are the troubles of its path to the service and to itself.
	store, peer trouble
	stop        context.CancelFunc
	ended       <-chan error
}

func newWorld() *world {
	return &world{
		values:  map[string]platform.Entry{},
		written: make(chan struct{}),
		listed:  make(chan struct{}),
		entries: map[string]*entry{},
	}
}

// start adds an entry with that path to the service and runs it until stopAll.
func (w *world) start(t *testing.T, dataCentre string, n int, store trouble) *entry {
	t.Helper()
	name := fmt.Sprintf("%s-e%d", dataCentre, n)
	e := &entry{world: w, store: store, info: membership.Entry{Name: name, DataCentre: dataCentre, Incarnation: 1}}
	e.follower = &Follower{Peers: e, Instances: e, Log: changelog.Log{Store: e}}
	w.mu.Lock()
	w.entries[name] = e
	w.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	e.stop, e.ended = stop, e.follower.Run(ctx)
	return e
}

func (w *world) stopAll() {
	for _, e := range w.entries {
		e.stop()
	}
	for _, e := range w.entries {
		<-e.ended
	}
}

// called returns the number of calls on the service.
func (w *world) called() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// set changes the troubles of an entry.
func (e *entry) set(store, peer trouble) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store, e.peer = store, peer
}

func (e *entry) Self() membership.Entry { return e.info }

func (e *entry) Live() []membership.Entry { return e.Remote(e.info.DataCentre) }

func (e *entry) Remote(dataCentre string) (live []membership.Entry) {
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

func (e *entry) DataCentres() []string { return []string{"a", "b"} }

func (e *entry) Owner(duty string) membership.Entry {
	owner, _ := membership.Rendezvous(e.Live(), duty)
	return owner
}

// link is a client of another entry; only Changes is called.
type link struct {
	peerrpc.Peer
	to *entry
}

func (e *entry) Dial(name string, _ int64) (peerrpc.Peer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return link{to: e.entries[name]}, nil
}

func (l link) Changes(ctx context.Context, q *peerrpc.ChangesRequest) (*peerrpc.ChangesReply, error) {
	l.to.mu.Lock()
	is := l.to.peer
	l.to.mu.Unlock()
	if err := is.meet(ctx); err != nil {
		return nil, err
	}
	return l.to.follower.Changes(ctx, q)
}

func (i trouble) meet(ctx context.Context) error {
	switch i {
	case broken:
		return errors.New("connection refused")
	case hanging:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// call counts a call on the service and meets the trouble of the path to it; a
// client gives a call up after 5 s.
func (e *entry) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	e.mu.Lock()
	e.calls++
	is := e.store
	e.mu.Unlock()
	if is.meet(ctx) != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (e *entry) Get(ctx context.Context, key string) (v platform.Entry, found bool, err error) {
	if err = e.call(ctx); err != nil {
		return v, false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	v, found = e.values[key]
	return v, found, nil
}

func (e *entry) List(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	return e.Wait(ctx, prefix, 0, time.Time{})
}

func (e *entry) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (bool, error) {
	if err := e.call(ctx); err != nil {
		return false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.values[key].Revision != expected {
		return false, nil
	}
	e.revision++
	e.values[key] = platform.Entry{Key: key, Value: value, Revision: e.revision}
	close(e.written)
	e.written = make(chan struct{})
	return true, nil
}

func (e *entry) Delete(context.Context, string, int64) (bool, error) {
	return false, errors.New("no test removes a key")
}

func (e *entry) Wait(ctx context.Context, prefix string, after int64, until time.Time) (found []platform.Entry, index int64, err error) {
	if err = e.call(ctx); err != nil {
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

func (e *entry) Listings(context.Context, string) ([]platform.Listing, error) {
	return nil, errors.New("no entry reads the list without a watch")
}

func (e *entry) WaitListings(ctx context.Context, _ string, after int64, until time.Time) ([]platform.Listing, int64, error) {
	if err := e.call(ctx); err != nil {
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

func (w *world) show(listings ...platform.Listing) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listings = listings
	w.listIndex++
	close(w.listed)
	w.listed = make(chan struct{})
}

// propose adds a change and returns its index.
func propose(t *testing.T, f *Follower, id string, commands ...fleet.Command) int64 {
	t.Helper()
	if len(commands) == 0 {
		budget := len(id)
		commands = []fleet.Command{{SetPool: &fleet.SetPool{Name: "cover", Budget: &budget}}}
	}
	fate, err := f.Propose(t.Context(), fleet.Change{ID: id, Commands: commands})
	if err != nil || fate.Refusal != "" {
		t.Fatalf("propose %s: fate %+v, error %v", id, fate, err)
	}
	if v := f.Version(); v < fate.Index {
		t.Errorf("version %d is in force at the proposer of change %d", v, fate.Index)
	}
	return fate.Index
}
