package traffic

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Meter counts the bytes that are read and written on one kind of connection, in
// the metrics "name.bytesIn" and "name.bytesOut".
type Meter struct {
	in  metrics.Counter
	out metrics.Counter
}

// NewMeter returns a meter whose metric names start with the given name.
func NewMeter(name string) (m *Meter) {
	return &Meter{
		in:  metrics.GetOrRegisterCounter(name+".bytesIn", nil),
		out: metrics.GetOrRegisterCounter(name+".bytesOut", nil),
	}
}

// DialContext connects like net.Dialer and counts the bytes of the connection.
func (m *Meter) DialContext(ctx context.Context, network, address string) (c net.Conn, err error) {
	c, err = new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: m}, nil
}

// Listener returns a listener that counts the bytes of its connections.
func (m *Meter) Listener(l net.Listener) net.Listener {
	return &meteredListener{Listener: l, meter: m}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection with its bytes counted.
func (l *meteredListener) Accept() (c net.Conn, err error) {
	c, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.meter.in.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.meter.out.Inc(int64(n))
	return n, err
}
