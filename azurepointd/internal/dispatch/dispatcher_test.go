package dispatch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Guards the way of a request: it waits while the slots are taken, is granted
// on the release of another, and the lease is ten times the declared run time,
// which is all that is known, and 10 s more.
func TestGrantWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		first, second, third := w.ask(t, nil), w.ask(t, nil), w.ask(t, nil)
		if !first.granted() || !second.granted() || third.ended() {
			t.Fatalf("granted %t, %t, third ended %t", first.granted(), second.granted(), third.ended())
		}
		if got, want := first.reply.UntilUnixMillis, time.Now().Add(20*time.Second).UnixMilli(); got != want {
			t.Errorf("lease ends at %d, want %d", got, want)
		}
		if first.reply.Address != "i0:1" || w.InFlight("i0") != 2 {
			t.Errorf("address %q, %d in flight", first.reply.Address, w.InFlight("i0"))
		}
		w.release(t, first, "done")
		if !third.granted() {
			t.Error("the waiting request was not granted on a release")
		}
	})
}

// Guards against a grant that is lost with its caller: a cancelled call leaves
// the queue at once and does not hold a slot.
func TestCancelledCallLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.ask(t, nil)
		held := w.ask(t, nil)
		gone, next := w.ask(t, nil), w.ask(t, nil)
		gone.cancel()
		synctest.Wait()
		if u := w.Usage()[0]; u.Totals.Queued != 1 || !gone.ended() || gone.err == nil {
			t.Fatalf("%d queued, cancelled call ended %t with %v", u.Totals.Queued, gone.ended(), gone.err)
		}
		w.release(t, held, "done")
		if !next.granted() || w.InFlight("i0") != 2 {
			t.Error("the slot went to the cancelled call")
		}
	})
}

// Guards against a second grant for one request after a lost answer, and
// against two calls that wait for the same request.
func TestRepeatedRequestJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		same := func(r *peerrpc.GrantRequest) { r.Id = "same" }
		first, again := w.ask(t, same), w.ask(t, same)
		if !again.granted() || again.reply.UntilUnixMillis != first.reply.UntilUnixMillis || w.InFlight("i0") != 1 {
			t.Errorf("repeated request got %v, %d in flight", again.reply, w.InFlight("i0"))
		}
		w.ask(t, nil)
		other := func(r *peerrpc.GrantRequest) { r.Id = "other" }
		waiting, repeated := w.ask(t, other), w.ask(t, other)
		if !waiting.ended() || repeated.ended() {
			t.Fatal("the earlier call was not superseded")
		}
		w.release(t, first, "done")
		if !repeated.granted() {
			t.Error("the repeated call was not granted")
		}
	})
}

// Guards against work on instances that drain, failed, are on the list as
// leaving, or refused work; the last one until its status says serving.
func TestClosedEndpointsGetNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		w.fleet.change(func(s *fleet.State) {
			drained, failed := s.Instances["i0"], s.Instances["i1"]
			drained.Phase, failed.Failed = fleet.Draining, true
			s.Instances["i0"], s.Instances["i1"] = drained, failed
		})
		w.fleet.mu.Lock()
		w.fleet.leaving["i2"] = true
		w.fleet.mu.Unlock()
		time.Sleep(time.Second)
		c := w.ask(t, nil)
		if !c.granted() || c.reply.Endpoint != "i3" {
			t.Fatalf("granted on %q, want i3", c.reply.GetEndpoint())
		}
		w.endpoints.set("i3:1", endpointapi.EndpointStateDraining)
		w.release(t, c, "refused")
		if c = w.ask(t, nil); !c.ended() || c.granted() || !strings.Contains(c.reply.Reason, "noEndpoint") {
			t.Fatalf("reply %v, want a refusal: no endpoint is open", c.reply)
		}
		time.Sleep(5 * time.Second)
		w.endpoints.set("i3:1", endpointapi.EndpointStateServing)
		time.Sleep(time.Second)
		if c = w.ask(t, nil); !c.granted() {
			t.Errorf("reply %v after the endpoint serves again", c.reply)
		}
	})
}

// Guards against a new dispatcher that grants the slots of its predecessor's
// running tasks.
func TestTakeOverCountsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.endpoints.set("i0:1", endpointapi.EndpointStateServing, "old1")
		w.peers.setOwner("pool/cover", "n2")
		if c := w.ask(t, nil); c.reply.GetOwner() != "n2" {
			t.Fatalf("reply %v, want owner n2", c.reply)
		}
		w.peers.setOwner("pool/cover", "n1")
		first := w.ask(t, nil)
		time.Sleep(time.Second)
		second := w.ask(t, nil)
		if !first.granted() || second.ended() {
			t.Fatalf("granted %t, second ended %t: one slot is in use by an old task", first.granted(), second.ended())
		}
		w.endpoints.set("i0:1", endpointapi.EndpointStateServing)
		time.Sleep(time.Second)
		if !second.granted() {
			t.Error("the slot of the old task was not used after its end")
		}
	})
}

// Guards against requests that wait at an entry which no longer owns the pool,
// and against releases that are lost in a planned stop.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		link(w, startEntry(t, "n2", "north", w.fleet, w.endpoints))
		first := w.ask(t, nil)
		w.ask(t, nil)
		waiting := w.ask(t, nil)
		w.Stop()
		synctest.Wait()
		if waiting.reply.GetOwner() != "n2" || w.ask(t, nil).reply.GetOwner() != "n2" {
			t.Fatalf("waiting request got %v, want owner n2", waiting.reply)
		}
		w.release(t, first, "done")
		if got := w.InFlight("i0"); got != 1 {
			t.Errorf("%d grants in flight after a release during the stop, want 1", got)
		}
	})
}

// Guards against slots that stay taken after a home died, and against taking
// them back while the task may still run.
func TestGrantTakenBackAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.ask(t, nil)
		ends := w.OldestGrantEnds("i0")
		if want := time.Now().Add(20*time.Second + w.ClockError); !ends.Equal(want) {
			t.Errorf("grants end at %v, want %v", ends, want)
		}
		time.Sleep(time.Until(ends) - time.Millisecond)
		if w.InFlight("i0") != 1 {
			t.Error("grant taken back before its end")
		}
		time.Sleep(2 * time.Millisecond)
		if w.InFlight("i0") != 0 {
			t.Error("grant not taken back after its end")
		}
	})
}

// Guards against work for an endpoint that refused some while its status
// cannot be read, and against keeping it out for ever.
func TestRefusalWithoutStatusPausesEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.mu.Lock()
		w.Endpoints = nil
		w.mu.Unlock()
		for pause := shortestPause; pause < 10*time.Second; pause *= 2 {
			c := w.ask(t, nil)
			if !c.granted() {
				t.Fatalf("reply %v, want a grant", c.reply)
			}
			w.release(t, c, "refused")
			if c = w.ask(t, nil); !c.ended() || c.granted() {
				t.Errorf("reply %v right after a refusal, want noEndpoint", c.reply)
			}
			time.Sleep(pause - time.Millisecond)
			if c = w.ask(t, nil); !c.ended() || c.granted() {
				t.Errorf("reply %v before the pause of %v ended", c.reply, pause)
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against grants by a process that stood still: another entry may own
// the pool by now, and only heartbeats show it.
func TestNoGrantRightAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.release(t, w.ask(t, nil), "done")
		w.mu.Lock()
		w.lastLoop = time.Now().Add(-pauseLimit - time.Second)
		w.mu.Unlock()
		c := w.ask(t, nil)
		time.Sleep(pauseHold - time.Millisecond)
		if c.granted() {
			t.Error("granted right after a pause")
		}
		time.Sleep(refreshEvery)
		if !c.granted() {
			t.Error("not granted after heartbeats had time to arrive")
		}
	})
}
