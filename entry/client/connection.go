package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/occupancy"
)

const (
	// fieldBytes is what a line of a head takes beside its text, once it is parsed.
	fieldBytes = 256
	// readerBytes is the size of the buffer of net/http, in which a part of the next head may be.
	readerBytes = 4096
)

// http2Preface begins a connection of HTTP/2.
const http2Preface = "PRI * HTTP/2.0"

// aLongTimeAgo is a deadline that ends a read or write at once.
var aLongTimeAgo = time.Unix(1, 0)

// connection is a connection of a client.
type connection struct {
	net.Conn

	table  *occupancy.Table
	client *occupancy.Client
	// listener is the one that has accepted the connection, with the limits of its requests.
	listener *listener
	// refused is set while the connection has no place, so that its requests are refused.
	refused bool
	// openedAt is when the connection was accepted.
	openedAt time.Time

	// inHead is set while a head is read, head is its size so far, and tail the number of lines of the last
	// read. One goroutine at a time reads, and net/http changes the state from another one only for HTTP/2.
	inHead     atomic.Bool
	head, tail atomic.Int64
	// last is set once the connection has lost its place with a request that was read: it ends with the answer.
	last atomic.Bool
	// http2 is set for a connection of HTTP/2, the memory of whose requests does not count.
	http2 atomic.Bool

	mu sync.Mutex
	// begun is set once the client has sent something, and headTimeout is the time limit of its first head.
	begun       bool
	headTimeout time.Duration
	// readDeadline is the deadline that the server has set; it is not in force while the connection is
	// interrupted.
	readDeadline time.Time
	interrupted  bool
	// lingering is set once the connection only waits for the client to read the last answer.
	lingering bool
	closed    bool
}

// Read reads from the client. What belongs to a head is charged.
func (c *connection) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.interruptedBeside(p) {
		n, err = c.Conn.Read(p)
	}
	if err != nil {
		c.countTimeout(err)
		return n, err
	}
	c.begin(p[:n])
	if c.http2.Load() {
		return n, nil
	}
	lines := bytes.Count(p[:n], []byte("\n"))
	if !c.inHead.Load() {
		c.tail.Store(0)
		if n <= readerBytes {
			c.tail.Store(int64(lines))
		}
		return n, nil
	}
	if c.head.Add(int64(n)) >= int64(c.listener.headLimit) {
		// The server refuses the request.
		c.listener.count(ReasonHeadTooLarge)
		c.inHead.Store(false)
		return n, nil
	}
	if !c.table.Charge(c.client, time.Now(), int64(n+lines*fieldBytes)) {
		// Without an answer, since a refusal may not be true of a request that is not read.
		c.listener.count(ReasonMemory)
		return 0, io.EOF
	}
	return n, nil
}

// interruptedBeside reports whether a read has only ended because the connection was interrupted, and is one that net/http
// makes beside a request which is read to its end; an error of it would end the context of that request. It returns
// once the request has its place again, or the read has to end.
func (c *connection) interruptedBeside(p []byte) bool {
	// Only these reads are of one byte: others fill a buffer.
	if len(p) != 1 {
		return false
	}
	for {
		c.mu.Lock()
		due, waits := !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline), c.interrupted && !c.closed
		c.mu.Unlock()
		if due || !waits {
			return !due
		}
		time.Sleep(time.Millisecond)
	}
}

// countTimeout counts a read that has ended at a time limit of a head or of an idle connection.
func (c *connection) countTimeout(err error) {
	if !c.inHead.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	interrupted := c.interrupted
	c.mu.Unlock()
	switch {
	case interrupted:
		c.listener.count(ReasonReplaced)
	case c.head.Load() > 0:
		c.listener.count(ReasonHeadTimeout)
	default:
		c.listener.count(ReasonIdle)
	}
}

// begin starts the time limit of the first head at its first byte.
func (c *connection) begin(first []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		return
	}
	c.begun = true
	c.http2.Store(c.listener.server.Streaming && bytes.HasPrefix(first, []byte(http2Preface)))
	if c.headTimeout > 0 {
		_ = c.setReadDeadline(time.Now().Add(c.headTimeout))
	}
}

// SetReadDeadline sets the deadline of reads. The first one of the server is that of the first head, which begins
// once the client sends it.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && !t.IsZero() {
		c.headTimeout = max(0, time.Until(t))
		t = c.openedAt.Add(max(c.headTimeout, c.listener.limits.IdleTimeout))
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline unless the connection is interrupted. The caller holds the lock.
func (c *connection) setReadDeadline(t time.Time) error {
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write writes to the client, which has to read each part in time.
func (c *connection) Write(p []byte) (n int, err error) {
	now := time.Now()
	c.mu.Lock()
	if !c.interrupted {
		_ = c.Conn.SetWriteDeadline(now.Add(c.listener.limits.AnswerTimeout))
	}
	c.mu.Unlock()
	c.table.BeginWrite(c.client, now)
	n, err = c.Conn.Write(p)
	c.table.EndWrite(c.client)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.count(ReasonAnswerUnread)
	}
	return n, err
}

// SetWriteDeadline does nothing: each write has a deadline of its own.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the deadline of reads.
func (c *connection) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// CloseWrite ends the answers. The rest of the connection only avoids a reset before the client has read them.
func (c *connection) CloseWrite() error {
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	c.table.Resume(c.client)
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		return socket.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *connection) Close() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

// close closes the connection. The caller holds the lock.
func (c *connection) close() (err error) {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	err = c.Conn.Close()
	c.table.Close(c.client)
	if c.listener != nil {
		c.listener.open.Add(-1)
	}
	return err
}

// interrupt ends reads and writes while the connection has no place.
func (c *connection) interrupt(client *occupancy.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.table.Interrupted(client) {
		return
	}
	c.interrupted = true
	if c.lingering {
		_ = c.close()
		return
	}
	_ = c.Conn.SetDeadline(aLongTimeAgo)
}

// serve records that the head, or the whole request, is read.
func (c *connection) serve() {
	if !c.table.Serve(c.client) {
		return
	}
	c.last.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = false
	_ = c.Conn.SetWriteDeadline(time.Time{})
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// stateChanged follows the connection for net/http.
func (c *connection) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		c.serve()
	case http.StateIdle:
		c.inHead.Store(true)
		c.head.Store(0)
		c.table.Wait(c.client, time.Now(), c.tail.Load()*fieldBytes)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}
