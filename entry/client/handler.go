package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// busyRetryDelay is when a client may return that was refused because others take up the process. The requests of
// those that keep to the protocol end much sooner.
const busyRetryDelay = time.Second

// abandonTimeout is how long the rest of a refused request is read, which avoids a reset before the client has
// read the answer.
const abandonTimeout = 500 * time.Millisecond

// placeTries and placeInterval bound the search of a place for a connection.
const (
	placeTries    = 4
	placeInterval = 5 * time.Millisecond
)

// firstPartBytes is the room for a body before its size is seen.
const firstPartBytes = 1024

// defaultBodyFactor is the memory that a body takes while it is read, for each of its bytes.
const defaultBodyFactor = 2

// Errors of a body that cannot be read.
var (
	errTooLong = errors.New("client: the body is too long")
	errTimeout = errors.New("client: the body has not arrived in time")
)

// buffered reads the body of a request before the next handler serves it, so that a client that does not send it
// holds nothing else.
func (l *listener) buffered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if !c.findPlace() {
			l.refuseConnection(w, r, c)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			body, err := c.readBody(r)
			if err != nil {
				l.refuseBody(w, r, err)
				c.abandon()
				return
			}
			r.Body = &bufferedBody{Reader: bytes.NewReader(body), text: body}
		}
		if c.last.Load() {
			w.Header().Set("Connection", "close")
		}
		// The deadline is that of the request, and would end the context of one that takes longer to serve.
		_ = c.SetReadDeadline(time.Time{})
		next.ServeHTTP(w, r)
	})
}

// findPlace returns whether the connection is served. One without a place looks for one for a short time: connections
// with a request after the other wait for their clients only for moments.
func (c *connection) findPlace() bool {
	for n := 0; c.refused; n++ {
		if c.refused = !c.table.Promote(c.client, time.Now()); !c.refused || n == placeTries {
			break
		}
		time.Sleep(placeInterval)
	}
	return !c.refused
}

// refuseConnection refuses a request on a connection without a place.
func (l *listener) refuseConnection(w http.ResponseWriter, r *http.Request, c *connection) {
	l.count(ReasonConnections)
	l.refuse(w, r, http.StatusServiceUnavailable, "too many connections")
	c.abandon()
}

// abandon stops waiting for the rest of a request that is refused. The client has some time to read the answer.
func (c *connection) abandon() {
	_ = c.SetReadDeadline(time.Now().Add(abandonTimeout))
	c.table.Resume(c.client)
}

// streaming lets the next handler read bodies itself. What remains of one after the answer is waited for as long as
// for any body, and the connection can make room for another one in the meantime.
func (l *listener) streaming(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if !c.findPlace() {
			l.refuseConnection(w, r, c)
			return
		}
		next.ServeHTTP(w, r)
		if r.ProtoMajor == 1 {
			c.table.Resume(c.client)
			_ = c.SetReadDeadline(time.Now().Add(l.limits.BodyTimeout))
		}
	})
}

// bufferedBody is a body that has been read.
type bufferedBody struct {
	*bytes.Reader
	text []byte
}

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// ReadBody returns the whole body of a request.
func ReadBody(r *http.Request) (text []byte, err error) {
	if b, buffered := r.Body.(*bufferedBody); buffered {
		return b.text, nil
	}
	return io.ReadAll(r.Body)
}

// readBody reads the body of a request. Its connection can make room for another one in the meantime.
func (c *connection) readBody(r *http.Request) (body []byte, err error) {
	limit := c.listener.limits.BodyBytes
	if r.ContentLength > limit {
		return nil, errTooLong
	}
	deadline := time.Now().Add(c.listener.limits.BodyTimeout)
	_ = c.SetReadDeadline(deadline)
	c.table.Resume(c.client)
	defer c.serve()
	factor := max(defaultBodyFactor, c.listener.server.BodyFactor)
	body = make([]byte, 0, firstPartBytes)
	for n := 0; err == nil; {
		if len(body) == cap(body) {
			body = grow(body, r.ContentLength)
		}
		n, err = r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errTooLong
		case !c.table.Charge(c.client, time.Now(), factor*int64(n)):
			return nil, ErrBusy
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		return body, nil
	case c.table.Interrupted(c.client):
		return nil, ErrBusy
	case !time.Now().Before(deadline):
		// The error of net/http for a trailer does not wrap that of the connection.
		return nil, errTimeout
	default:
		return nil, err
	}
}

// grow returns a body with twice the room, but no more than its announced size needs.
func grow(body []byte, announced int64) []byte {
	room := 2 * cap(body)
	if announced > int64(len(body)) {
		// One byte more, for the read that finds the end.
		room = min(room, int(announced)+1)
	}
	return append(make([]byte, 0, room), body...)
}

// refuseBody refuses a request whose body could not be read.
func (l *listener) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, ErrBusy):
		l.count(ReasonMemory)
		l.refuse(w, r, http.StatusServiceUnavailable, ErrBusy.Error())
	case errors.Is(err, errTooLong):
		l.count(ReasonBodyTooLarge)
		l.refuse(w, r, http.StatusRequestEntityTooLarge, "the body is above "+strconv.FormatInt(l.limits.BodyBytes, 10)+" bytes")
	case errors.Is(err, errTimeout):
		l.count(ReasonBodyTimeout)
		l.refuse(w, r, http.StatusRequestTimeout, "the body did not arrive within "+l.limits.BodyTimeout.String())
	default:
		l.refuse(w, r, http.StatusBadRequest, "the body cannot be read")
	}
}

// refuse answers a request that is not served, and ends its connection: the rest of the request is not read.
func (l *listener) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(busyRetryDelay/time.Second)))
	}
	if l.server.WriteRefusal != nil {
		l.server.WriteRefusal(w, r, status, reason)
		return
	}
	http.Error(w, reason, status)
}

// Errors of Hold.
var (
	// ErrBusy means that other requests take up the memory.
	ErrBusy = errors.New("other requests take up the memory")
	// ErrTooLarge means that the request takes more than the memory for all requests.
	ErrTooLarge = errors.New("the request takes more memory than all requests may")
)

// Hold charges the memory that a request needs beside its head and its body until it is answered. The error is
// ErrBusy or ErrTooLarge.
func Hold(ctx context.Context, bytes int64) error {
	c := connectionOf(ctx)
	switch {
	case c == nil || c.table.Charge(c.client, time.Now(), bytes):
		return nil
	case c.table.Fits(c.client, bytes):
		c.listener.count(ReasonMemory)
		return ErrBusy
	default:
		c.listener.count(ReasonTooLarge)
		return ErrTooLarge
	}
}

// RefuseHold answers a request for which Hold has returned an error.
func RefuseHold(w http.ResponseWriter, r *http.Request, err error) {
	l := connectionOf(r.Context()).listener
	if errors.Is(err, ErrTooLarge) {
		l.refuse(w, r, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	l.refuse(w, r, http.StatusServiceUnavailable, err.Error())
}
