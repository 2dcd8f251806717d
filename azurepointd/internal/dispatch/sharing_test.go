package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/quota"
)

// grantsByEndpoint counts the calls that received a grant, by endpoint.
func grantsByEndpoint(calls []*grantCall) (byEndpoint map[string]int) {
	synctest.Wait()
	byEndpoint = map[string]int{}
	for _, c := range calls {
		if c.granted() {
			byEndpoint[c.reply.Endpoint]++
		}
	}
	return byEndpoint
}

func (fx *fixture) requestGrants(t *testing.T, n int) (calls []*grantCall) {
	for range n {
		calls = append(calls, fx.requestGrant(t, nil))
	}
	return calls
}

// Guards the overflow into the spare pool: it is used when the pool's own
// endpoints are full, in the order of the queue, and its slots are returned.
func TestOverflowIntoSparePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		f.addInstance(e, "i0", "north", "cover")
		f.addInstance(e, "s0", "north", "spare")
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		connect(n1, n2)
		calls := n1.requestGrants(t, 6)
		if got := grantsByEndpoint(calls); got["i0"] != 2 || got["s0"] != 2 || n2.InFlight("s0") != 2 {
			t.Fatalf("granted %v, %d in flight at the spare pool", got, n2.InFlight("s0"))
		}
		if calls[3].reply.Address != "s0:1" || calls[4].ended() {
			t.Errorf("fourth request got %v, fifth ended %t", calls[3].reply, calls[4].ended())
		}
		n1.release(t, calls[2], "done")
		if !calls[4].granted() || calls[4].reply.Endpoint != "s0" || calls[5].ended() {
			t.Errorf("fifth request got %v after a release at the spare pool", calls[4].reply)
		}
		calls[5].cancel()
		n1.release(t, calls[3], "done")
		time.Sleep(time.Second)
		if got := n2.InFlight("s0"); got != 1 {
			t.Errorf("%d grants in flight at the spare pool, want 1: no request waits", got)
		}
	})
}

// Guards the cap over several dispatchers and data centres: loans let one pool
// use all of it, it is never exceeded, and a disconnected data centre falls
// back to its own part.
func TestCapHoldsOverDispatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		for i := range 4 {
			f.addInstance(e, fmt.Sprintf("i%d", i), "north", "cover")
			f.addInstance(e, fmt.Sprintf("j%d", i), "south", "cover")
		}
		f.state.Members["a"] = fleet.Member{Name: "a", Cap: 6}
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		s1, s2 := startEntry(t, "s1", "south", f, e), startEntry(t, "s2", "south", f, e)
		down := connect(n1, s1, n2, s2)
		time.Sleep(time.Second)
		north := n1.requestGrants(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedCalls(north)); got != 6 {
			t.Fatalf("%d slots in use, want all 6 of the cap", got)
		}
		south := s1.requestGrants(t, 3)
		time.Sleep(time.Second)
		if got := len(grantedCalls(north)) + len(grantedCalls(south)); got != 6 {
			t.Fatalf("%d slots in use, cap 6", got)
		}
		*down = true // s1 is unreachable
		for _, c := range grantedCalls(north) {
			n1.release(t, c, "done")
		}
		time.Sleep(45 * time.Second) // the loans end
		north = n1.requestGrants(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedCalls(north)); got != 3 {
			t.Errorf("%d slots in use by a data centre that is disconnected, want its part 3", got)
		}
	})
}

func grantedCalls(calls []*grantCall) (list []*grantCall) {
	for _, c := range calls {
		if c.granted() {
			list = append(list, c)
		}
	}
	return list
}

// Guards the cap when a pool has two quota holders, as happens while entries do
// not observe each other: slots that one of them lends are not used or lent by
// the other.
func TestTwoQuotaHoldersKeepTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		for i := range 4 {
			f.addInstance(e, fmt.Sprintf("i%d", i), "north", "cover")
			f.addInstance(e, fmt.Sprintf("j%d", i), "south", "cover")
		}
		f.state.Members["a"] = fleet.Member{Name: "a", Cap: 8}
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		s1 := startEntry(t, "s1", "south", f, e)
		n1.requestGrants(t, 1)
		n2.requestGrant(t, func(r *peerrpc.GrantRequest) { r.Pool = "spare" })
		time.Sleep(100 * time.Millisecond) // both are quota holders of pool cover
		connect(n1, n2, s1)
		south := s1.requestGrants(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedCalls(south)); got > 7 {
			t.Errorf("%d slots in use in the south and 1 in the north, cap 8", got)
		}
	})
}

// Guards against using lent slots twice: when the lender fails, the next quota
// holder must still count its loan to another data centre, of which it has a copy.
func TestLoanSurvivesItsLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		for i := range 4 {
			f.addInstance(e, fmt.Sprintf("i%d", i), "north", "cover")
			f.addInstance(e, fmt.Sprintf("j%d", i), "south", "cover")
		}
		f.state.Members["a"] = fleet.Member{Name: "a", Cap: 8}
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		s1 := startEntry(t, "s1", "south", f, e)
		connect(n1, n2, s1)
		// Quota holders of the same pool hand it over once they observe each other;
		// TestTwoKeepersKeepTheCap covers the loans that they grant until then.
		time.Sleep(time.Second)
		n1.requestGrants(t, 1) // n1 takes the pool over
		south := s1.requestGrants(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedCalls(south)); got != 7 {
			t.Fatalf("%d slots in use in the south, want 7", got)
		}
		n2.peers.setOwner("pool/cover", "n2")
		n2.peers.mu.Lock()
		n2.peers.others = n2.peers.others[1:] // n1 is down
		n2.peers.mu.Unlock()
		north := n2.requestGrants(t, 4)
		time.Sleep(time.Second)
		if got := len(grantedCalls(north)); got > 1 {
			t.Errorf("%d slots in use by the next quota holder besides 7 in the south, cap 8", got)
		}
		if part := n2.ledger.Allocation(quota.Account{Member: "a", Pool: "cover"}); part != 4 {
			t.Errorf("part %d, want 4: the cap is bound by the loan alone", part)
		}
	})
}

// Guards against an endpoint that fails every task and, because its slots are
// soon free again, attracts the work.
func TestFailingEndpointIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 3)
		failed := 0
		for range 60 {
			c := fx.requestGrant(t, nil)
			result := "done"
			if c.reply.Endpoint == "i0" {
				result = "failed"
				failed++
			}
			fx.release(t, c, result)
			time.Sleep(10 * time.Millisecond)
		}
		if failed == 0 || failed > 12 {
			t.Errorf("%d requests failed on the bad endpoint, want 5 to 12", failed)
		}
		for _, u := range fx.Usage()[0].Endpoints {
			if (u.Closed == "ejected") != (u.Name == "i0") {
				t.Errorf("endpoint %s closed for %q", u.Name, u.Closed)
			}
		}
	})
}

// Guards against declared run times that are wrong by a factor of ten: the
// lease follows the run times that were observed for the member.
func TestLeaseFollowsObservedRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		declares := func(r *peerrpc.GrantRequest) { r.RunMillis = 90 }
		for range 30 {
			fx.release(t, fx.requestGrant(t, declares), "done") // each ran for 900 ms
		}
		c := fx.requestGrant(t, declares)
		lease := time.Until(time.UnixMilli(c.reply.UntilUnixMillis))
		if lease < 10900*time.Millisecond || lease > 12*time.Second {
			t.Errorf("lease of %v, want 10 s and a little more than 900 ms", lease)
		}
	})
}

// Guards against requests that use more slots than they declare.
func TestObservedUsageRaisesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		for range 8 {
			c := fx.requestGrant(t, nil)
			fx.endpoints.mu.Lock()
			fx.endpoints.status["i0:1"] = endpointapi.Status{
				State:   endpointapi.EndpointStateServing,
				Running: []string{c.id},
				Usage:   []endpointapi.Usage{{Task: c.id, Slots: 2}},
			}
			fx.endpoints.mu.Unlock()
			time.Sleep(5 * time.Second)
			fx.release(t, c, "done")
		}
		first, second := fx.requestGrant(t, nil), fx.requestGrant(t, nil)
		if !first.granted() || second.ended() {
			t.Errorf("granted %t, second ended %t: both slots are needed for one", first.granted(), second.ended())
		}
	})
}
