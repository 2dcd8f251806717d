package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// fakePeers is a view in which the test decides who owns each duty.
type fakePeers struct {
	mu     sync.Mutex
	self   membership.Entry
	others []membership.Entry
	owners map[string]string
	served map[string]peerrpc.Peer
}

func (p *fakePeers) Self() membership.Entry { return p.self }

func (p *fakePeers) Live() []membership.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := []membership.Entry{p.self}
	for _, e := range p.others {
		if e.DataCentre == p.self.DataCentre {
			live = append(live, e)
		}
	}
	return live
}

func (p *fakePeers) Remote(dataCentre string) (entries []membership.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.others {
		if e.DataCentre == dataCentre {
			entries = append(entries, e)
		}
	}
	return entries
}

func (p *fakePeers) DataCentres() []string { return []string{"north", "south"} }

func (p *fakePeers) Owner(duty string) membership.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, set := p.owners[duty]
	if !set || name == p.self.Name {
		return p.self
	}
	return membership.Entry{Name: name, DataCentre: p.self.DataCentre, Incarnation: 1}
}

func (p *fakePeers) setOwner(duty, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owners == nil {
		p.owners = make(map[string]string)
	}
	p.owners[duty] = name
}

func (p *fakePeers) Dial(name string, _ int64) (peerrpc.Peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, found := p.served[name]; found {
		return s, nil
	}
	return nil, fmt.Errorf("no entry %s", name)
}

// fakeFleet is a configuration that the test replaces.
type fakeFleet struct {
	mu      sync.Mutex
	state   *fleet.State
	changed chan struct{}
	leaving map[string]bool
}

func (f *fakeFleet) State() *fleet.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeFleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeFleet) Leaving(instance string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[instance]
}

// change puts a new version in force.
func (f *fakeFleet) change(edit func(*fleet.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.state
	next.Version++
	next.Instances = make(map[string]fleet.Instance)
	for name, i := range f.state.Instances {
		next.Instances[name] = i
	}
	edit(&next)
	f.state = &next
	close(f.changed)
	f.changed = make(chan struct{})
}

// fakeEndpoints answers with the status that the test set.
type fakeEndpoints struct {
	mu     sync.Mutex
	status map[string]endpointapi.Status
	calls  int
}

func (e *fakeEndpoints) Status(_ context.Context, address string) (*endpointapi.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	s, found := e.status[address]
	if !found {
		return nil, errors.New("no answer")
	}
	return &s, nil
}

func (e *fakeEndpoints) set(address string, state endpointapi.EndpointState, running ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status == nil {
		e.status = make(map[string]endpointapi.Status)
	}
	e.status[address] = endpointapi.Status{State: state, Running: running}
}

// world is a dispatcher with its fakes.
type world struct {
	*Dispatcher
	peers     *fakePeers
	fleet     *fakeFleet
	endpoints *fakeEndpoints
	serial    int
}

// newWorld starts the dispatcher of entry n1 in data centre north, with n
// instances of 2 slots in pool cover and one in pool spare.
func newWorld(t *testing.T, n int) (w *world) {
	state := &fleet.State{
		Version: 1,
		Pools:   map[string]fleet.Pool{"cover": {Name: "cover"}, "spare": {Name: "spare", Spare: true}},
		Members: map[string]fleet.Member{
			"a": {Name: "a", Cap: 100, Share: 1},
			"b": {Name: "b", Cap: 100, Share: 1},
		},
		Instances: map[string]fleet.Instance{},
	}
	w = &world{
		peers:     &fakePeers{self: membership.Entry{Name: "n1", DataCentre: "north", Incarnation: 1, Version: 1}},
		fleet:     &fakeFleet{state: state, changed: make(chan struct{}), leaving: map[string]bool{}},
		endpoints: &fakeEndpoints{},
	}
	add := func(name, pool string) {
		state.Instances[name] = fleet.Instance{
			Name: name, DataCentre: "north", Address: name + ":1", Slots: 2, Pool: pool, Phase: fleet.Serving,
		}
		w.endpoints.set(name+":1", endpointapi.EndpointStateServing)
	}
	for i := range n {
		add(fmt.Sprintf("i%d", i), "cover")
	}
	add("s0", "spare")
	w.Dispatcher = &Dispatcher{Peers: w.peers, Fleet: w.fleet, Endpoints: w.endpoints, ClockError: 250 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	done := w.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// call is a Grant in flight.
type call struct {
	id     string
	reply  *peerrpc.GrantReply
	err    error
	ended  bool
	cancel context.CancelFunc
}

// ask sends a request of member a for one slot of pool cover, after edit.
func (w *world) ask(t *testing.T, edit func(*peerrpc.GrantRequest)) (c *call) {
	w.serial++
	r := &peerrpc.GrantRequest{
		Id: fmt.Sprintf("r%d", w.serial), Pool: "cover", Member: "a", Urgency: "normal", Slots: 1, RunMillis: 1000,
		DeadlineUnixMillis: time.Now().Add(time.Minute).UnixMilli(), Version: 1,
	}
	if edit != nil {
		edit(r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	c = &call{id: r.Id, cancel: cancel}
	go func() {
		c.reply, c.err = w.Grant(ctx, r)
		c.ended = true
	}()
	synctest.Wait()
	return c
}

func (w *world) release(t *testing.T, c *call, result string) {
	t.Helper()
	_, err := w.Release(t.Context(), &peerrpc.ReleaseRequest{
		Id: c.id, Pool: "cover", Endpoint: c.reply.GetEndpoint(), Result: result, RunMillis: 900,
	})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// granted waits until nothing else can happen at this instant.
func (c *call) granted() bool {
	synctest.Wait()
	return c.ended && c.reply.GetGranted()
}
