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

// granted counts the calls that hold a grant, by endpoint.
func count(calls []*call) (byEndpoint map[string]int) {
	synctest.Wait()
	byEndpoint = map[string]int{}
	for _, c := range calls {
		if c.granted() {
			byEndpoint[c.reply.Endpoint]++
		}
	}
	return byEndpoint
}

func (w *world) askMany(t *testing.T, n int) (calls []*call) {
	for range n {
		calls = append(calls, w.ask(t, nil))
	}
	return calls
}

// Guards the overflow into the spare pool: it is used when the own endpoints
// are full, in the order of the queue, and its slots are returned.
func TestOverflowIntoSparePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		f.add(e, "i0", "north", "cover")
		f.add(e, "s0", "north", "spare")
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		link(n1, n2)
		calls := n1.askMany(t, 6)
		if got := count(calls); got["i0"] != 2 || got["s0"] != 2 || n2.InFlight("s0") != 2 {
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
			t.Errorf("%d grants in flight at the spare pool, want 1: nobody waits", got)
		}
	})
}

// Guards the cap over several dispatchers and data centres: loans make all of
// it usable in one pool, it is never exceeded, and a data centre that is cut
// off is left with its part.
func TestCapHoldsOverDispatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		for i := range 4 {
			f.add(e, fmt.Sprintf("i%d", i), "north", "cover")
			f.add(e, fmt.Sprintf("j%d", i), "south", "cover")
		}
		f.state.Members["a"] = fleet.Member{Name: "a", Cap: 6}
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		s1, s2 := startEntry(t, "s1", "south", f, e), startEntry(t, "s2", "south", f, e)
		down := link(n1, s1, n2, s2)
		time.Sleep(time.Second)
		north := n1.askMany(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedOf(north)); got != 6 {
			t.Fatalf("%d slots in use, want all 6 of the cap", got)
		}
		south := s1.askMany(t, 3)
		time.Sleep(time.Second)
		if got := len(grantedOf(north)) + len(grantedOf(south)); got != 6 {
			t.Fatalf("%d slots in use, cap 6", got)
		}
		*down = true // s1 cannot be reached
		for _, c := range grantedOf(north) {
			n1.release(t, c, "done")
		}
		time.Sleep(45 * time.Second) // the loans end
		north = n1.askMany(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedOf(north)); got != 3 {
			t.Errorf("%d slots in use by a data centre that is cut off, want its part 3", got)
		}
	})
}

func grantedOf(calls []*call) (list []*call) {
	for _, c := range calls {
		if c.granted() {
			list = append(list, c)
		}
	}
	return list
}

// Guards the cap against two keepers of one pool, as after entries that did not
// see each other: what one lends, the other does not use or lend as well.
func TestTwoKeepersKeepTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		for i := range 4 {
			f.add(e, fmt.Sprintf("i%d", i), "north", "cover")
			f.add(e, fmt.Sprintf("j%d", i), "south", "cover")
		}
		f.state.Members["a"] = fleet.Member{Name: "a", Cap: 8}
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		s1 := startEntry(t, "s1", "south", f, e)
		n1.askMany(t, 1)
		n2.ask(t, func(r *peerrpc.GrantRequest) { r.Pool = "spare" })
		time.Sleep(100 * time.Millisecond) // both keep pool cover
		link(n1, n2, s1)
		south := s1.askMany(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedOf(south)); got > 7 {
			t.Errorf("%d slots in use in the south and 1 in the north, cap 8", got)
		}
	})
}

// Guards a loan to another data centre against the death of the lender: the
// next keeper has a copy and does not use the slots a second time.
func TestLoanOutlivesItsLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFleet(), &fakeEndpoints{}
		for i := range 4 {
			f.add(e, fmt.Sprintf("i%d", i), "north", "cover")
			f.add(e, fmt.Sprintf("j%d", i), "south", "cover")
		}
		f.state.Members["a"] = fleet.Member{Name: "a", Cap: 8}
		n1, n2 := startEntry(t, "n1", "north", f, e), startEntry(t, "n2", "north", f, e)
		s1 := startEntry(t, "s1", "south", f, e)
		link(n1, n2, s1)
		// Entries that kept the pool before they saw each other hand it over;
		// TestTwoKeepersKeepTheCap has what they may lend until then.
		time.Sleep(time.Second)
		n1.askMany(t, 1) // n1 takes the pool over
		south := s1.askMany(t, 8)
		time.Sleep(time.Second)
		if got := len(grantedOf(south)); got != 7 {
			t.Fatalf("%d slots in use in the south, want 7", got)
		}
		n2.peers.setOwner("pool/cover", "n2")
		n2.peers.mu.Lock()
		n2.peers.others = n2.peers.others[1:] // n1 is gone
		n2.peers.mu.Unlock()
		north := n2.askMany(t, 4)
		time.Sleep(time.Second)
		if got := len(grantedOf(north)); got > 1 {
			t.Errorf("%d slots in use by the next keeper besides 7 in the south, cap 8", got)
		}
		if part := n2.ledger.Part(quota.Account{Member: "a", Pool: "cover"}); part != 4 {
			t.Errorf("part %d, want 4: the cap is bound by the loan alone", part)
		}
	})
}

// Guards against an endpoint that fails everything and attracts the work.
func TestFailingEndpointIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		failed := 0
		for range 60 {
			c := w.ask(t, nil)
			result := "done"
			if c.reply.Endpoint == "i0" {
				result = "failed"
				failed++
			}
			w.release(t, c, result)
			time.Sleep(10 * time.Millisecond)
		}
		if failed == 0 || failed > 12 {
			t.Errorf("%d requests failed on the bad endpoint, want 5 to 12", failed)
		}
		for _, u := range w.Usage()[0].Endpoints {
			if (u.Closed == "ejected") != (u.Name == "i0") {
				t.Errorf("endpoint %s closed for %q", u.Name, u.Closed)
			}
		}
	})
}

// Guards against declared run times that are off by ten: the lease follows what
// was seen of the member.
func TestLeaseFollowsLearnedRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		declares := func(r *peerrpc.GrantRequest) { r.RunMillis = 90 }
		for range 30 {
			w.release(t, w.ask(t, declares), "done") // each ran for 900 ms
		}
		c := w.ask(t, declares)
		lease := time.Until(time.UnixMilli(c.reply.UntilUnixMillis))
		if lease < 10900*time.Millisecond || lease > 12*time.Second {
			t.Errorf("lease of %v, want 10 s and a little more than 900 ms", lease)
		}
	})
}

// Guards against requests that use more slots than they declare.
func TestLearnedSizeTakesMoreSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		for range 8 {
			c := w.ask(t, nil)
			w.endpoints.mu.Lock()
			w.endpoints.status["i0:1"] = endpointapi.Status{
				State:   endpointapi.EndpointStateServing,
				Running: []string{c.id},
				Usage:   []endpointapi.Usage{{Task: c.id, Slots: 2}},
			}
			w.endpoints.mu.Unlock()
			time.Sleep(5 * time.Second)
			w.release(t, c, "done")
		}
		first, second := w.ask(t, nil), w.ask(t, nil)
		if !first.granted() || second.ended() {
			t.Errorf("granted %t, second ended %t: both slots are needed for one", first.granted(), second.ended())
		}
	})
}
