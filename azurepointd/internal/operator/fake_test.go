package operator

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/command"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const testSecret = "operators-only-1234"

// fakeFleet is what entries see of one log, which applies changes in order.
type fakeFleet struct {
	// delay is how long a proposed change takes to the log.
	delay time.Duration
	// err replaces the answer of the log after the change was applied.
	err error
	// behind keeps later changes from coming into force at the entries.
	behind bool

	mu        sync.Mutex
	state     fleet.State
	log       fleet.State
	proposals int
}

func (f *fakeFleet) Propose(ctx context.Context, c fleet.Change) (fate fleet.Fate, err error) {
	if _, bounded := ctx.Deadline(); !bounded {
		return fate, errors.New("the call has no deadline")
	}
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals++
	if f.log, err = fleet.Apply(f.log, c); err != nil {
		return fate, err
	}
	if !f.behind {
		f.state = f.log
	}
	fate, _ = f.log.FateOf(c.ID)
	return fate, f.err
}

func (f *fakeFleet) State() *fleet.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return new(f.state)
}

func (f *fakeFleet) Leaving(i string) bool  { return i == "a2" }
func (f *fakeFleet) Self() membership.Entry { return membership.Entry{Name: "e1", DataCentre: "north"} }
func (f *fakeFleet) Live() []membership.Entry {
	return []membership.Entry{{Name: "e1", DataCentre: "north"}, {Name: "e2", DataCentre: "north", Version: 5}}
}
func (f *fakeFleet) DataCentres() []string { return []string{"north", "south"} }
func (f *fakeFleet) Remote(string) []membership.Entry {
	return []membership.Entry{{Name: "e3", DataCentre: "south", Version: 9, Incarnation: 3}}
}
func (f *fakeFleet) Dump(w io.Writer) { fmt.Fprintln(w, "state of the fake") }

func (f *fakeFleet) Usage() UsageReport {
	return UsageReport{
		Uses: []Use{
			{DataCentre: "north", Pool: "a", Member: "m", InUse: 3, Share: 4, Cap: 5, Queued: 1, Granted: 7},
			{DataCentre: "south", Pool: "a", Member: "m", InUse: 2, Share: 4, Cap: 5, Granted: 2},
		},
		Refusals: []Refusal{{DataCentre: "north", Pool: "a", Member: "m", Reason: "queue full", Count: 6}},
	}
}

// newFleet returns pool a with a1 rebooting, pool b with b2 back from the wave w,
// and the spare pool s.
func newFleet(t *testing.T) *fakeFleet {
	t.Helper()
	text, err := command.Parse(`create pool a budget 1; create pool b budget 1; create pool s budget 0 spare
		create member m cap 10; create member n cap 2 share 3 minimum 1
		add instance a1 address 10.0.0.1:1 dataCentre north rack r slots 8 pool a
		add instance a2 address 10.0.0.2:1 dataCentre south rack r slots 8 pool a
		add instance b1 address 10.0.0.3:1 dataCentre north rack r slots 8 pool b
		add instance b2 address 10.0.0.4:1 dataCentre north rack r slots 8 pool b
		declare wave old for s; end wave old; declare wave w for a, b`)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeFleet{}
	f.apply(t, "first", text.Steps()...)
	f.apply(t, "second",
		fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: "b2", Wave: "w"}},
		fleet.Command{FinishDrain: &fleet.FinishDrain{Instance: "b2"}},
		fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: "a1", Wave: "w"}},
		fleet.Command{StartReboot: &fleet.StartReboot{Instance: "a1"}},
	)
	return f
}

// apply makes a change that must not be refused.
func (f *fakeFleet) apply(t *testing.T, id string, commands ...fleet.Command) {
	t.Helper()
	next, err := fleet.Apply(f.log, fleet.Change{ID: id, Commands: commands})
	if fate, _ := next.FateOf(id); err != nil || fate.Refusal != "" {
		t.Fatalf("%s refused: %s, %v", id, fate.Refusal, err)
	}
	f.log, f.state = next, next
}

func newOperator(f *fakeFleet) (o *Operator) {
	o = &Operator{
		Fleet: f, Peers: f, Usage: f, Secret: testSecret, Metrics: metrics.NewRegistry(), Parts: []Part{{"fake", f}},
	}
	o.init()
	return o
}

// start serves the API over HTTP and returns its address with a client.
func start(t *testing.T, o *Operator) (url string, c *operatorapi.Client) {
	t.Helper()
	h, err := o.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL, newClient(t, server.URL, testSecret)
}

type bearer string

func (b bearer) Secret(context.Context, operatorapi.OperationName) (operatorapi.Secret, error) {
	return operatorapi.Secret{Token: string(b)}, nil
}

func newClient(t *testing.T, url, token string) (c *operatorapi.Client) {
	t.Helper()
	c, err := operatorapi.NewClient(url, bearer(token))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// refusal is the answer that an error carries, the zero one if it has none.
func refusal(err error) (answer operatorapi.ErrorStatusCode) {
	if e, found := errors.Into[*operatorapi.ErrorStatusCode](err); found {
		answer = *e
	}
	return answer
}
