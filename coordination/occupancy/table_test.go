package occupancy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// connection is a connection of the tests that records whether it was interrupted.
type connection struct {
	*Client
	interrupted bool
}

func open(t *Table, now time.Time) (c *connection, refused bool) {
	c = &connection{}
	c.Client, refused = t.Open(now, func(*Client) { c.interrupted = true })
	return c, refused
}

// Guards against a full table that turns new connections away while it holds others whose clients send nothing, and
// against one that ends a request which is being served.
func TestFullTableReplacesTheLongestWaiting(t *testing.T) {
	var table Table
	table.SetLimits(Limits{Connections: 3, Spare: 1, Bytes: 100})
	now := time.Unix(100, 0)
	var c [3]*connection
	for i := range c {
		c[i], _ = open(&table, now.Add(time.Duration(i)*time.Second))
	}
	table.Serve(c[0].Client)
	if _, refused := open(&table, now.Add(4*time.Second)); refused || !c[1].interrupted || c[0].interrupted || c[2].interrupted {
		t.Fatalf("refused %t, interrupted %t %t %t, want the second", refused, c[0].interrupted, c[1].interrupted, c[2].interrupted)
	}
	if d, _ := open(&table, now); d.Client != nil {
		t.Error("a connection was opened beyond the limit")
	}
	table.Close(c[1].Client)
	table.Close(c[1].Client)
	if d, refused := open(&table, now.Add(5*time.Second)); d.Client == nil || refused {
		t.Error("the place of a closed connection was not used")
	}
}

// Guards against a table without a client that is waited for whose next connections wait as well, instead of being
// refused.
func TestConnectionsBeyondServedOnesAreRefused(t *testing.T) {
	var table Table
	table.SetLimits(Limits{Connections: 2, Spare: 2})
	now := time.Unix(100, 0)
	var served [2]*connection
	for i := range served {
		served[i], _ = open(&table, now)
		table.Serve(served[i].Client)
	}
	first, refused := open(&table, now)
	if !refused {
		t.Fatal("the third connection is served")
	}
	second, _ := open(&table, now.Add(time.Second))
	if d, _ := open(&table, now.Add(2*time.Second)); d.Client != nil || !first.interrupted || second.interrupted {
		t.Errorf("interrupted %t and %t, want the first of the refused ones", first.interrupted, second.interrupted)
	}
	table.Serve(second.Client)
	if table.Promote(second.Client, now) {
		t.Error("a connection found a place while all are served")
	}
	table.Wait(served[0].Client, now.Add(3*time.Second), 0)
	if !table.Promote(second.Client, now.Add(4*time.Second)) || !served[0].interrupted || served[1].interrupted {
		t.Error("a connection found no place although a client is waited for")
	}
}

// Guards against requests that take more memory together than the limit, and against one that is refused although
// clients that send nothing hold the memory.
func TestMemoryIsTakenFromTheLongestWaiting(t *testing.T) {
	var table Table
	table.SetLimits(Limits{Connections: 10, Bytes: 100})
	now := time.Unix(100, 0)
	idle, _ := open(&table, now)
	slow, _ := open(&table, now.Add(time.Second))
	served, _ := open(&table, now.Add(time.Second))
	table.Charge(slow.Client, now, 20)
	table.Charge(served.Client, now, 60)
	table.Serve(served.Client)
	c, _ := open(&table, now.Add(2*time.Second))
	if !table.Charge(c.Client, now.Add(2*time.Second), 40) || !slow.interrupted || idle.interrupted || served.interrupted {
		t.Fatalf("interrupted %t %t %t, want the slow one", idle.interrupted, slow.interrupted, served.interrupted)
	}
	table.Close(slow.Client)
	if table.Charge(c.Client, now, 1) {
		t.Error("101 bytes were admitted")
	}
	if table.Fits(c.Client, 61) || !table.Fits(c.Client, 60) {
		t.Error("a request of 100 bytes fits, and no larger one")
	}
	if u := table.Usage(); u.Bytes != 100 || u.Connections != 3 {
		t.Errorf("usage %+v", u)
	}
}

// Guards against an ordinary connection that loses its place before its request has arrived, while another one is between
// two requests.
func TestNewConnectionsKeepTheirPlaces(t *testing.T) {
	var table Table
	table.SetLimits(Limits{Connections: 2, Spare: 2})
	now := time.Unix(100, 0)
	busy, _ := open(&table, now)
	table.Serve(busy.Client)
	fresh, _ := open(&table, now.Add(time.Second))
	table.Wait(busy.Client, now.Add(time.Second+newFor/2), 0)
	if _, refused := open(&table, now.Add(time.Second+newFor/2)); refused || fresh.interrupted || !busy.interrupted {
		t.Errorf("refused %t, interrupted %t and %t, want the one between two requests", refused, fresh.interrupted, busy.interrupted)
	}
}

// Guards against a client that reads no answer and keeps its place, and against one that loses it while the answer is
// on its way.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	var table Table
	table.SetLimits(Limits{Connections: 1})
	now := time.Unix(100, 0)
	deaf, _ := open(&table, now)
	table.Serve(deaf.Client)
	table.BeginWrite(deaf.Client, now)
	if open(&table, now.Add(stuckAfter)); deaf.interrupted {
		t.Fatal("a new answer was interrupted")
	}
	if open(&table, now.Add(2*stuckAfter)); !deaf.interrupted {
		t.Error("an answer that nobody reads keeps its place")
	}
}

// Guards against a request that is read to its end and loses its place at that moment, and is then cut off.
func TestCompleteRequestKeepsItsPlace(t *testing.T) {
	var table Table
	table.SetLimits(Limits{Connections: 1, Spare: 4, Bytes: 10})
	now := time.Unix(100, 0)
	c, _ := open(&table, now)
	table.Charge(c.Client, now, 4)
	open(&table, now.Add(time.Second))
	if !c.interrupted || !table.Serve(c.Client) || table.Interrupted(c.Client) {
		t.Error("the complete request has no place")
	}
	if u := table.Usage(); u.Bytes != 4 {
		t.Errorf("%d bytes, want 4", u.Bytes)
	}
}

// Guards against counts that drift: in any order of calls the table holds no more than its limits, and nothing once
// all connections are closed.
func TestRandomClients(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, seed))
		var table Table
		limits := Limits{Connections: 1 + rng.IntN(6), Spare: rng.IntN(3), Bytes: int64(rng.IntN(200))}
		table.SetLimits(limits)
		var all []*Client
		now := time.Unix(100, 0)
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			if rng.IntN(4) == 0 {
				if c, _ := table.Open(now, func(*Client) {}); c != nil {
					all = append(all, c)
				}
			}
			if len(all) == 0 {
				continue
			}
			i := rng.IntN(len(all))
			switch c := all[i]; rng.IntN(9) {
			case 8:
				table.Promote(c, now)
			case 0:
				table.Wait(c, now, int64(rng.IntN(20)))
			case 1:
				table.Serve(c)
			case 2:
				table.Resume(c)
			case 3:
				table.BeginWrite(c, now)
			case 4:
				table.EndWrite(c)
			case 5, 6:
				table.Charge(c, now, int64(rng.IntN(60)))
			case 7:
				table.Close(c)
				all = append(all[:i], all[i+1:]...)
			}
			u := table.Usage()
			if u.Connections > limits.Connections+limits.Spare || table.bytes < 0 || table.leaving < 0 || table.served < 0 || table.departing < 0 {
				t.Fatalf("seed %d: %+v beyond %+v, served %d, leaving %d", seed, u, limits, table.served, table.leaving)
			}
		}
		for _, c := range all {
			table.Close(c)
		}
		if u := table.Usage(); u != (Usage{}) || table.served != 0 || table.departing != 0 || table.bytes != 0 || table.leaving != 0 {
			t.Fatalf("seed %d: %+v are held without a connection", seed, u)
		}
	}
}
