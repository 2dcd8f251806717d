package occupancy

import (
	"sync"
	"time"
)

// stuckAfter is how long the client of a connection may leave an answer unread until the connection can make
// room for another one.
const stuckAfter = 250 * time.Millisecond

// newFor is how long a connection keeps its place before its first request.
const newFor = 10 * time.Millisecond

// leavingShare is the part of the memory that connections without a place may take beside it until they are closed:
// 1 of this number.
const leavingShare = 4

// Limits bound what the clients of a listener make the process hold.
type Limits struct {
	// Connections is how many connections are served at a time, and Spare how many more are open while their
	// requests are refused.
	Connections, Spare int
	// Bytes is the memory that the requests of all connections may take.
	Bytes int64
}

// Client is a connection of a table.
type Client struct {
	// interrupt makes a read or write of the connection return at once. It gets the client, as it may be called
	// before Open returns.
	interrupt func(c *Client)

	// All fields below are guarded by the table.
	serving bool
	// answered is set once a request was answered.
	answered    bool
	writing     bool
	interrupted bool
	refused     bool
	bytes       int64
	// waitsSince is when the client was first waited for, unless its request is being served, and
	// writesSince when it was first waited for to read.
	waitsSince, writesSince time.Time
}

// Table holds the connections of a listener. The zero value refuses all of them.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	clients map[*Client]struct{}
	// served counts the clients that are neither refused nor interrupted, and bytes is the memory of their
	// requests; leaving is the memory of the others.
	served         int
	bytes, leaving int64
	// departing counts the clients that are interrupted.
	departing int
}

// SetLimits replaces the limits. Connections that are open stay open.
func (t *Table) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// Open adds a connection, whose interrupt function must not block. If the table is full, the connection makes
// the one whose client has been waited for longest give up its place; without such a one its requests are to be
// refused. The result is nil if not even that is possible until another connection is closed.
func (t *Table) Open(now time.Time, interrupt func(c *Client)) (c *Client, refused bool) {
	t.mu.Lock()
	full := len(t.clients) >= t.limits.Connections+t.limits.Spare
	victim := t.replaceable(now, full)
	t.remove(victim)
	if !full {
		if t.clients == nil {
			t.clients = make(map[*Client]struct{})
		}
		c = &Client{interrupt: interrupt, waitsSince: now, refused: t.served >= t.limits.Connections}
		t.clients[c] = struct{}{}
		if refused = c.refused; !refused {
			t.served++
		}
	}
	t.mu.Unlock()
	if victim != nil {
		victim.interrupt(victim)
	}
	return c, refused
}

// Promote gives a connection a place whose requests are to be refused, if there is one now or another connection can
// make room.
func (t *Table) Promote(c *Client, now time.Time) (served bool) {
	t.mu.Lock()
	if !c.refused || c.interrupted {
		defer t.mu.Unlock()
		return !c.refused
	}
	var victim *Client
	if t.served >= t.limits.Connections {
		victim = t.longestWaiting(now, func(other *Client) bool { return !other.refused })
		t.remove(victim)
	}
	if served = t.served < t.limits.Connections; served {
		c.refused = false
		t.served++
	}
	t.mu.Unlock()
	if victim != nil {
		victim.interrupt(victim)
	}
	return served
}

// replaceable returns the connection that makes room for another one, or nil if there is none or none is needed. The
// caller holds the lock.
func (t *Table) replaceable(now time.Time, full bool) (c *Client) {
	switch {
	case full && t.departing > 0, !full && t.served < t.limits.Connections:
		return nil
	case full:
		c = t.longestWaiting(now, func(c *Client) bool { return c.refused })
	}
	if c == nil {
		c = t.longestWaiting(now, func(c *Client) bool { return !c.refused })
	}
	return c
}

// longestWaiting returns the eligible connection whose client has been waited for longest, or nil if no client is
// waited for. The caller holds the lock.
func (t *Table) longestWaiting(now time.Time, eligible func(c *Client) bool) (longest *Client) {
	var since time.Time
	for c := range t.clients {
		candidate, waits := c.waits(now)
		if waits && !c.interrupted && eligible(c) && (longest == nil || candidate.Before(since)) {
			longest, since = c, candidate
		}
	}
	return longest
}

// waits reports whether the process waits for the client, so that the connection may lose its place, and since when.
func (c *Client) waits(now time.Time) (since time.Time, waits bool) {
	if c.writing && now.Sub(c.writesSince) > stuckAfter {
		return c.writesSince, true
	}
	// A new connection has not had the time to send its request.
	return c.waitsSince, !c.serving && !c.writing && (c.answered || now.Sub(c.waitsSince) >= newFor)
}

// remove takes the place and the memory of a connection away, if there is one. The caller holds the lock.
func (t *Table) remove(c *Client) {
	if c == nil {
		return
	}
	c.interrupted = true
	t.departing++
	if !c.refused {
		t.served--
	}
	t.bytes -= c.bytes
	t.leaving += c.bytes
}

// Interrupted reports whether the connection has lost its place.
func (t *Table) Interrupted(c *Client) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.interrupted
}

// Wait records that the process waits for the client to send. The memory of an earlier request is reduced to a
// number of bytes.
func (t *Table) Wait(c *Client, now time.Time, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.serving {
		c.serving, c.answered, c.waitsSince = false, true, now
	}
	t.setBytes(c, min(c.bytes, bytes))
}

// Resume records that the process waits for the rest of a request, which counts from the time of the wait
// before.
func (t *Table) Resume(c *Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.serving = false
}

// Serve records that a request, or its head, is complete. The result is set if the connection had lost its place
// at that moment; it has one again, since its request has been read.
func (t *Table) Serve(c *Client) (wasInterrupted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.serving = true
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	t.departing--
	if !c.refused {
		t.served++
	}
	t.bytes += c.bytes
	t.leaving -= c.bytes
	return true
}

// BeginWrite and EndWrite enclose a write to the client.
func (t *Table) BeginWrite(c *Client, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.writing, c.writesSince = true, now
}

// EndWrite ends a write to the client.
func (t *Table) EndWrite(c *Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.writing = false
}

// Charge adds the memory of a request. If the requests take too much, connections whose clients have been waited
// for longer give up their places. It returns false, and adds nothing, if that does not suffice. A request is
// always admitted alone.
func (t *Table) Charge(c *Client, now time.Time, bytes int64) (admitted bool) {
	t.mu.Lock()
	if c.interrupted {
		t.mu.Unlock()
		return false
	}
	var victims []*Client
	if over := t.bytes + bytes - t.limits.Bytes; over > 0 && t.evictable(c, now) >= over {
		for t.bytes+bytes > t.limits.Bytes {
			victim := t.longestWaiting(now, func(other *Client) bool { return other != c && other.bytes > 0 })
			t.remove(victim)
			victims = append(victims, victim)
		}
	}
	// What the connections without a place take is still held.
	if admitted = t.bytes+bytes <= t.limits.Bytes && t.leaving <= t.limits.Bytes/leavingShare; admitted {
		t.setBytes(c, c.bytes+bytes)
	}
	t.mu.Unlock()
	for _, v := range victims {
		v.interrupt(v)
	}
	return admitted
}

// Fits reports whether a request of a size is admitted if there is no other.
func (t *Table) Fits(c *Client, bytes int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.bytes+bytes <= t.limits.Bytes
}

// evictable returns the memory of the connections whose clients are waited for, other than one. The caller holds
// the lock.
func (t *Table) evictable(other *Client, now time.Time) (bytes int64) {
	for c := range t.clients {
		if _, waits := c.waits(now); waits && c != other && !c.interrupted {
			bytes += c.bytes
		}
	}
	return bytes
}

// setBytes changes the memory of a connection. The caller holds the lock.
func (t *Table) setBytes(c *Client, bytes int64) {
	if c.interrupted {
		t.leaving += bytes - c.bytes
	} else {
		t.bytes += bytes - c.bytes
	}
	c.bytes = bytes
}

// Close removes a connection; it may be called again.
func (t *Table) Close(c *Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.clients[c]; !open {
		return
	}
	t.setBytes(c, 0)
	switch {
	case c.interrupted:
		t.departing--
	case !c.refused:
		t.served--
	}
	delete(t.clients, c)
}

// Usage is what the clients of a listener make the process hold.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what is held now.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Usage{Connections: len(t.clients), Bytes: t.bytes + t.leaving}
}
