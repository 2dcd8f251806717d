package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/traffic"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// maxConnectionsPerEntry limits the sockets to one entry; HTTP/2 multiplexes many
// calls on each.
const maxConnectionsPerEntry = 16

// connection is the client of one incarnation of an entry. Its calls are cancelled
// when the entry is no longer live, so that no caller waits for a frozen peer.
type connection struct {
	incarnation int64
	address     string
	client      peerrpc.Peer
	ctx         context.Context
	disconnect  context.CancelFunc
	transport   *http.Transport
	secret      string
}

// connectionTo returns the connection to a live entry and opens a new one if the
// incarnation or address has changed. The caller holds the lock.
func (d *Directory) connectionTo(e membership.Entry) *connection {
	c, found := d.connections[e.Name]
	if found && c.incarnation == e.Incarnation && c.address == e.Address {
		return c
	}
	if found {
		c.disconnect()
	}
	c = newConnection(e.Address, d.Secret)
	c.incarnation = e.Incarnation
	if d.connections == nil {
		d.connections = make(map[string]*connection)
	}
	d.connections[e.Name] = c
	return c
}

func newConnection(address, secret string) *connection {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	c := &connection{
		address: address,
		secret:  secret,
		transport: &http.Transport{
			Protocols:       &protocols,
			MaxConnsPerHost: maxConnectionsPerEntry,
			IdleConnTimeout: time.Minute,
			DialContext:     traffic.NewMeter("peer").DialContext,
		},
	}
	connCtx, cancel := context.WithCancel(context.Background())
	c.ctx = connCtx
	c.disconnect = func() {
		cancel()
		c.transport.CloseIdleConnections()
	}
	c.client = peerrpc.NewPeerProtobufClient("http://"+address, c)
	return c
}

// Do sends a request that is also cancelled when the connection is closed.
func (c *connection) Do(r *http.Request) (response *http.Response, err error) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(c.ctx, cancel) //nolint:contextcheck // also cancels the request when the connection is closed
	release := func() {
		stop()
		cancel()
	}
	r = r.WithContext(ctx)
	r.Header.Set("Authorization", bearerPrefix+c.secret)
	response, err = c.transport.RoundTrip(r)
	if err != nil {
		release()
		return nil, err
	}
	response.Body = &cancelOnCloseBody{ReadCloser: response.Body, cancel: release}
	return response, nil
}

// cancelOnCloseBody cancels the context of a request when its response body is
// closed.
type cancelOnCloseBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and cancels the request's context.
func (b *cancelOnCloseBody) Close() (err error) {
	err = b.ReadCloser.Close()
	b.cancel()
	return err
}
