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

// fakeFleet implements Fleet, Peers, Usage and the dump for entries that share one
// change log; it applies changes in order.
type fakeFleet struct {
	// proposeDelay is how long a proposed change takes to reach the log.
	proposeDelay time.Duration
	// proposeErr is returned by Propose after the change was applied to the log.
	proposeErr error
	// holdState keeps proposed changes out of the state that the entries see.
	holdState bool

	mu        sync.Mutex
	state     fleet.State
	logState  fleet.State
	proposals int
}

func (f *fakeFleet) Propose(ctx context.Context, c fleet.Change) (result fleet.ChangeResult, err error) {
	if _, bounded := ctx.Deadline(); !bounded {
		return result, errors.New("the call has no deadline")
	}
	time.Sleep(f.proposeDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals++
	if f.logState, err = fleet.Apply(f.logState, c); err != nil {
		return result, err
	}
	if !f.holdState {
		f.state = f.logState
	}
	result, _ = f.logState.ResultOf(c.ID)
	return result, f.proposeErr
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

// newFleet returns a fleet with pool a, in which a1 is rebooting, pool b, in which
// wave w has already maintained b2, and the spare pool s.
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
	f.mustApply(t, "first", text.Steps()...)
	f.mustApply(t, "second",
		fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: "b2", Wave: "w"}},
		fleet.Command{FinishDrain: &fleet.FinishDrain{Instance: "b2"}},
		fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: "a1", Wave: "w"}},
		fleet.Command{StartReboot: &fleet.StartReboot{Instance: "a1"}},
	)
	return f
}

// mustApply applies a change and fails the test if it is refused.
func (f *fakeFleet) mustApply(t *testing.T, id string, commands ...fleet.Command) {
	t.Helper()
	next, err := fleet.Apply(f.logState, fleet.Change{ID: id, Commands: commands})
	if result, _ := next.ResultOf(id); err != nil || result.Refusal != "" {
		t.Fatalf("%s refused: %s, %v", id, result.Refusal, err)
	}
	f.logState, f.state = next, next
}

func newOperator(f *fakeFleet) (o *Operator) {
	o = &Operator{
		Fleet: f, Peers: f, Usage: f, Secret: testSecret, Metrics: metrics.NewRegistry(), Parts: []Part{{"fake", f}},
	}
	o.init()
	return o
}

// startServer serves the API over HTTP and returns its URL and a client.
func startServer(t *testing.T, o *Operator) (url string, c *operatorapi.Client) {
	t.Helper()
	h, err := o.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL, newClient(t, server.URL, testSecret)
}

// staticSecret is a security source that always presents the same bearer token.
type staticSecret string

func (s staticSecret) Secret(context.Context, operatorapi.OperationName) (operatorapi.Secret, error) {
	return operatorapi.Secret{Token: string(s)}, nil
}

func newClient(t *testing.T, url, token string) (c *operatorapi.Client) {
	t.Helper()
	c, err := operatorapi.NewClient(url, staticSecret(token))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// errorResponse returns the API response that the error carries, or the zero value
// if there is none.
func errorResponse(err error) (response operatorapi.ErrorStatusCode) {
	if e, found := errors.Into[*operatorapi.ErrorStatusCode](err); found {
		response = *e
	}
	return response
}
