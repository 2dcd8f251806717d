package traffic

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Meter counts the bytes of one kind of connection in the metrics
// "name.bytesIn" and "name.bytesOut".
type Meter struct {
	in  metrics.Counter
	out metrics.Counter
}

// NewMeter returns the meter of that name.
func NewMeter(name string) (m *Meter) {
	return &Meter{
		in:  metrics.GetOrRegisterCounter(name+".bytesIn", nil),
		out: metrics.GetOrRegisterCounter(name+".bytesOut", nil),
	}
}

// DialContext connects as net.Dialer does and counts the connection's bytes.
func (m *Meter) DialContext(ctx context.Context, network, address string) (c net.Conn, err error) {
	c, err = new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, meter: m}, nil
}

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, meter: m}
}

type listener struct {
	net.Listener
	meter *Meter
}

// Accept waits for the next connection.
func (l *listener) Accept() (c net.Conn, err error) {
	c, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, meter: l.meter}, nil
}

type connection struct {
	net.Conn
	meter *Meter
}

// Read reads and counts.
func (c *connection) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.meter.in.Inc(int64(n))
	return n, err
}

// Write writes and counts.
func (c *connection) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.meter.out.Inc(int64(n))
	return n, err
}
