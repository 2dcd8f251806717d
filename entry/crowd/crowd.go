package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds a new connection, and writeTimeout a write to a server that does not read.
	dialTimeout  = 5 * time.Second
	writeTimeout = 2 * time.Second
	// reconnectDelay separates the connections of a client that are closed by the server.
	reconnectDelay = 20 * time.Millisecond
)

// Behaviour is what each client of a crowd does.
type Behaviour struct {
	Name string
	// Clients is the number of clients, each with one connection at a time.
	Clients int
	// Connections is how many connections a client opens, one after another, if the server closes them;
	// 0 means 1.
	Connections int
	// Send writes what the client sends on a connection. It returns an error once the server has closed it.
	Send func(w io.Writer) (err error)
	// Deaf is set if the client never reads.
	Deaf bool
}

// Crowd is a number of clients that hold their connections.
type Crowd struct {
	cancel  context.CancelFunc
	settled sync.WaitGroup
	ended   sync.WaitGroup
	// Opened counts the connections.
	Opened atomic.Int64
}

// Start starts the clients of a crowd against an address.
func Start(ctx context.Context, address string, b Behaviour) (c *Crowd) {
	ctx, cancel := context.WithCancel(ctx)
	c = &Crowd{cancel: cancel}
	for range b.Clients {
		c.settled.Add(1)
		c.ended.Go(func() { c.runClient(ctx, address, b) })
	}
	return c
}

// Settled returns once each client has sent everything or was refused on its last connection.
func (c *Crowd) Settled() {
	c.settled.Wait()
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.cancel()
	c.ended.Wait()
}

func (c *Crowd) runClient(ctx context.Context, address string, b Behaviour) {
	settle := sync.OnceFunc(c.settled.Done)
	defer settle()
	dialer := net.Dialer{Timeout: dialTimeout}
	for range max(1, b.Connections) {
		connection, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			c.Opened.Add(1)
			c.hold(ctx, connection, b, settle)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// hold sends on a connection and keeps it until the server closes it or the context ends.
func (c *Crowd) hold(ctx context.Context, connection net.Conn, b Behaviour, settle func()) {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer func() {
		stop()
		_ = connection.Close()
	}()
	received := make(chan error, 1)
	if !b.Deaf {
		go func() {
			_, err := io.Copy(io.Discard, connection)
			received <- err
		}()
	}
	if b.Send != nil {
		if err := b.Send(impatient{connection}); err != nil && !isTimeout(err) {
			return
		}
	}
	settle()
	if b.Deaf {
		<-ctx.Done()
		return
	}
	<-received
}

// impatient ends a write that the server does not take.
type impatient struct {
	net.Conn
}

func (i impatient) Write(p []byte) (n int, err error) {
	_ = i.SetWriteDeadline(time.Now().Add(writeTimeout))
	return i.Conn.Write(p)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // the error of the write itself
	return ok && timeout.Timeout()
}
