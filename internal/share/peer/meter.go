package peer

import (
	"net"
	"sync/atomic"
)

// segmentHeaderBytes is the overhead of IP and TCP for each written segment: an IPv4 header and a
// TCP header with timestamps. Acknowledgements without data are not counted.
const segmentHeaderBytes = 52

// Meter counts the bytes that are sent and received over control connections.
type Meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
	writes   atomic.Uint64
}

// Traffic is the state of a meter's counters at one time.
type Traffic struct {
	// Sent and Received are payload bytes of TCP, TLS records included.
	Sent     uint64
	Received uint64
	// Headers is the number of bytes of the IP and TCP headers of the sent segments.
	Headers uint64
}

// Total returns the number of bytes that the process sent, headers included.
func (t Traffic) Total() uint64 { return t.Sent + t.Headers }

// Traffic returns the current counts.
func (m *Meter) Traffic() Traffic {
	return Traffic{Sent: m.sent.Load(), Received: m.received.Load(), Headers: m.writes.Load() * segmentHeaderBytes}
}

// Conn wraps a connection so that its bytes are counted.
func (m *Meter) Conn(c net.Conn) net.Conn { return &meteredConn{Conn: c, meter: m} }

// Listener wraps a listener so that the bytes of all accepted connections are counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
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

// Read implements net.Conn and counts the received bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn and counts the sent bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(uint64(n))
	c.meter.writes.Add(1)
	return n, err
}
