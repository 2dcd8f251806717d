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

// maxConnectionsPerEntry bounds the sockets towards one entry; HTTP/2 carries
// many calls on each.
const maxConnectionsPerEntry = 16

// connection is the client of one incarnation of an entry; all its calls end
// when the entry is lost, so that no caller waits for a frozen peer.
type connection struct {
	incarnation int64
	address     string
	client      peerrpc.Peer
	lost        context.Context
	drop        context.CancelFunc
	transport   *http.Transport
	secret      string
}

// connect returns the connection to a live entry; the caller holds the lock.
func (d *Directory) connect(e membership.Entry) *connection {
	c, found := d.connections[e.Name]
	if found && c.incarnation == e.Incarnation && c.address == e.Address {
		return c
	}
	if found {
		c.drop()
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
	lost, cancel := context.WithCancel(context.Background())
	c.lost = lost
	c.drop = func() {
		cancel()
		c.transport.CloseIdleConnections()
	}
	c.client = peerrpc.NewPeerProtobufClient("http://"+address, c)
	return c
}

// Do sends a request that also ends when the entry is lost.
func (c *connection) Do(r *http.Request) (response *http.Response, err error) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(c.lost, cancel) //nolint:contextcheck // ends the request with the entry's loss too
	end := func() {
		stop()
		cancel()
	}
	r = r.WithContext(ctx)
	r.Header.Set("Authorization", bearer+c.secret)
	response, err = c.transport.RoundTrip(r)
	if err != nil {
		end()
		return nil, err
	}
	response.Body = &endingBody{ReadCloser: response.Body, end: end}
	return response, nil
}

// endingBody releases the context of a request with its body.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close closes the body and ends the request's context.
func (b *endingBody) Close() (err error) {
	err = b.ReadCloser.Close()
	b.end()
	return err
}
