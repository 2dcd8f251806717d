package client

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/occupancy"
)

// Reason is why a client is refused or disconnected.
type Reason string

// Reasons, each for a limit.
const (
	// ReasonConnections refuses a request because all connections are being served, and ReasonReplaced ends a
	// connection that waits for its client, so that another one is served.
	ReasonConnections Reason = "connections"
	ReasonReplaced    Reason = "replaced"
	// ReasonMemory refuses a request because others take up the memory for requests.
	ReasonMemory Reason = "memory"
	// ReasonTooLarge refuses a request that takes more than the memory for all requests.
	ReasonTooLarge Reason = "tooLarge"
	// The other reasons name a limit of one request or connection.
	ReasonHeadTooLarge Reason = "headTooLarge"
	ReasonHeadTimeout  Reason = "headTimeout"
	ReasonBodyTooLarge Reason = "bodyTooLarge"
	ReasonBodyTimeout  Reason = "bodyTimeout"
	ReasonAnswerUnread Reason = "answerUnread"
	ReasonIdle         Reason = "idle"
)

const (
	// acceptRetryDelay separates attempts to accept a connection that failed or have no room.
	acceptRetryDelay = 5 * time.Millisecond
	// headSlack is how much more of a head net/http reads than its limit.
	headSlack = 4096
	// timeSlack is added to the times of clients, so that none is cut off by the transfer.
	timeSlack = time.Second
)

// Server is an HTTP server with a listener whose limits can change while it serves. Set the fields before Serve.
type Server struct {
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// Limits are those at the start; SetLimits changes them.
	Limits Limits
	// Table holds the connections.
	Table *occupancy.Table
	// OnRefusal is called for each client that is refused or disconnected because of a limit.
	OnRefusal func(server string, r Reason)
	// WriteRefusal writes the answer to a refused request; without it the reason is sent as text.
	WriteRefusal func(w http.ResponseWriter, r *http.Request, status int, reason string)
	// Streaming is set if the handler reads bodies itself and connections may use HTTP/2; the memory of bodies
	// is then not bounded.
	Streaming bool
	// BodyFactor is the memory that a request takes for each byte of its body, if it is more than 2: the handler
	// decodes it without Hold.
	BodyFactor int64
	// Protocols are those of net/http.
	Protocols *http.Protocols

	accepted chan *connection
	ended    chan struct{}

	mu      sync.Mutex
	current *listener
	// retired had earlier limits and have connections with requests.
	retired []*listener
	// closing is set once the limits no longer change, because the server ends.
	closing bool
	// stop ends the accept loop.
	stop context.CancelFunc
}

// Serve accepts connections until the server is shut down. The result receives the error with which it ends, or
// nil.
func (s *Server) Serve(ctx context.Context) <-chan error {
	ctx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	s.accepted, s.ended = make(chan *connection), make(chan struct{})
	s.SetLimits(s.Limits)
	result := make(chan error, 1)
	go func() {
		err := s.accept(ctx)
		close(s.ended)
		result <- err
	}()
	return result
}

// accept passes new connections on to the server in force.
func (s *Server) accept(ctx context.Context) error {
	for ctx.Err() == nil {
		socket, err := s.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) && ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "client: accept")
		case err != nil:
			// The process may have no descriptor left.
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &connection{Conn: socket, table: s.Table, openedAt: time.Now()}
		c.inHead.Store(true)
		for c.client == nil && ctx.Err() == nil {
			if c.client, c.refused = s.Table.Open(time.Now(), c.interrupt); c.client == nil {
				time.Sleep(acceptRetryDelay)
			}
		}
		select {
		case s.accepted <- c:
		case <-ctx.Done():
			_ = c.Close()
		}
	}
	return nil
}

// SetLimits puts limits into force. Connections with earlier ones end once they have no request.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.current != nil && s.current.limits == l {
		return
	}
	s.retired = slices.DeleteFunc(s.retired, func(n *listener) bool { return n.open.Load() == 0 })
	if s.current != nil {
		_ = s.current.Close()
		s.current.http.SetKeepAlivesEnabled(false)
		s.retired = append(s.retired, s.current)
	}
	s.current = s.newListener(l)
	go func(n *listener) { n.served <- n.http.Serve(n) }(s.current)
}

func (s *Server) newListener(l Limits) (n *listener) {
	n = &listener{server: s, limits: l, table: s.Table, closed: make(chan struct{}), served: make(chan error, 1), headLimit: l.HeadBytes + headSlack}
	handler := n.buffered(s.Handler)
	if s.Streaming {
		handler = n.streaming(s.Handler)
	}
	n.http = &http.Server{
		Handler: handler, MaxHeaderBytes: l.HeadBytes, ReadHeaderTimeout: l.HeadTimeout + timeSlack, IdleTimeout: l.IdleTimeout + timeSlack,
		Protocols: s.Protocols,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if k, ok := c.(*connection); ok {
				k.stateChanged(state)
			}
		},
	}
	return n
}

// DisableKeepAlives ends each connection with its next answer, and those without a request at once.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.current.http.SetKeepAlivesEnabled(false)
}

// Shutdown accepts no new connections, and waits for the requests that are served until the context ends; then it
// closes their connections.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	s.mu.Lock()
	s.closing = true
	listeners := append([]*listener{s.current}, s.retired...)
	s.mu.Unlock()
	s.stop()
	err = s.Listener.Close()
	<-s.ended
	for _, l := range listeners {
		if e := l.http.Shutdown(ctx); e != nil {
			_ = l.http.Close()
			err = e
		}
		// It ends with the error of a closed listener.
		<-l.served
		l.served <- nil
	}
	return err
}

// listener passes the connections of a server on to net/http while limits are in force.
type listener struct {
	server    *Server
	limits    Limits
	headLimit int
	table     *occupancy.Table
	http      *http.Server
	// open counts the connections.
	open      atomic.Int64
	closeOnce sync.Once
	closed    chan struct{}
	// served receives the end of net/http's accept loop.
	served chan error
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.server.accepted:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.listener = l
		l.open.Add(1)
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the server.
func (l *listener) Addr() net.Addr {
	return l.server.Listener.Addr()
}

func (l *listener) count(r Reason) {
	if l.server.OnRefusal != nil {
		l.server.OnRefusal(l.server.Name, r)
	}
}
