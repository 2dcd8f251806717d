package request_test

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// fixedFleet is a configuration that never changes.
type fixedFleet fleet.State

func (f *fixedFleet) State() *fleet.State { return (*fleet.State)(f) }

// Guards P2 and P6: a primary that uses a grant issued under an earlier version
// must not send work to an instance that by now drains, moves, has failed or is
// in another pool.
func TestGrantOfAnInstanceThatIsNoLongerServing(t *testing.T) {
	pools := map[string]fleet.Pool{"pool": {Name: "pool"}, "other": {Name: "other"}, "spare": {Name: "spare", Spare: true}}
	for name, c := range map[string]struct {
		instance fleet.Instance
		sent     bool
	}{
		"serving":       {fleet.Instance{Pool: "pool", Phase: fleet.Serving}, true},
		"overflow":      {fleet.Instance{Pool: "spare", Phase: fleet.Serving}, true},
		"draining":      {fleet.Instance{Pool: "pool", Phase: fleet.Draining}, false},
		"releasing":     {fleet.Instance{Pool: "pool", Phase: fleet.Releasing}, false},
		"failed":        {fleet.Instance{Pool: "pool", Phase: fleet.Serving, Failed: true}, false},
		"in other pool": {fleet.Instance{Pool: "other", Phase: fleet.Serving}, false},
		"unknown":       {fleet.Instance{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, &cluster{}, func(t *testing.T, cl *cluster) {
				state := &fixedFleet{Version: 7, Pools: pools, Instances: map[string]fleet.Instance{}}
				for _, e := range cl.endpoints {
					if c.instance.Pool != "" {
						state.Instances[e.name] = c.instance
					}
				}
				n := cl.entries["e0"]
				n.home.Fleet = state
				o, err := n.caller.SubmitRequest(t.Context(), newSubmission(t, n, time.Second, time.Minute))
				if err != nil {
					t.Fatal(err)
				}
				want := callerapi.OutcomeStateNotRun
				if c.sent {
					want = callerapi.OutcomeStateDone
				}
				if starts := len(cl.operations); o.State != want || (starts > 0) != c.sent {
					t.Errorf("outcome %s (%s) after %d starts", o.State, o.Reason.Value, starts)
				}
			})
		})
	}
}
