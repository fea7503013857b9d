package peer

import (
	"net"
	"sync/atomic"
)

// segmentHeader is what IP and TCP add to each written segment, in bytes: an IPv4
// header and a TCP header with timestamps. Acknowledgements without data are not seen.
const segmentHeader = 52

// Meter counts what goes over control connections, in bytes.
type Meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
	writes   atomic.Uint64
}

// Traffic is what a meter has counted.
type Traffic struct {
	// Sent and Received are bytes above TCP, TLS records included.
	Sent     uint64
	Received uint64
	// Headers are the bytes that IP and TCP headers of the sent segments add.
	Headers uint64
}

// Total is all that left this process.
func (t Traffic) Total() uint64 { return t.Sent + t.Headers }

// Traffic returns the counts so far.
func (m *Meter) Traffic() Traffic {
	return Traffic{Sent: m.sent.Load(), Received: m.received.Load(), Headers: m.writes.Load() * segmentHeader}
}

// Conn counts a connection's bytes.
func (m *Meter) Conn(c net.Conn) net.Conn { return &meteredConn{Conn: c, meter: m} }

// Listener counts the bytes of all connections that a listener accepts.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept waits for the next connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read counts what was received.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write counts what was sent.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(uint64(n))
	c.meter.writes.Add(1)
	return n, err
}
