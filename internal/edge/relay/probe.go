package relay

import (
	"context"

	"valescale/internal/plat/sock"
)

// Probe is a connection to a target that carries no request. It stays open for as long as the target's process lives and
// does not close it.
type Probe struct {
	conn   *conn
	closed chan struct{}
}

// Probe connects to the target at an address without a request. It returns nil if it could not, and whether nothing
// listens at the address any more. The idle connections to such a target are closed, since it may wait for them to end.
func (c *Conns) Probe(ctx context.Context, addr string) (probe *Probe, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	cn, err := c.dial(ctx, addr)
	if err != nil {
		if refused = c.dialer.Refused(ctx, addr); refused {
			c.CloseIdle(addr)
		}
		return nil, refused
	}
	probe = &Probe{conn: cn, closed: make(chan struct{})}
	go probe.follow()
	return probe, false
}

// follow waits until the target closes the connection, or sends something that nobody asked for.
func (p *Probe) follow() {
	defer close(p.closed)
	// Whatever the read returns, the connection shows nothing any more.
	_, _ = p.conn.Conn.Read(make([]byte, 1))
}

// Closed returns a channel that is closed once the connection is.
func (p *Probe) Closed() <-chan struct{} { return p.closed }

// Open reports whether the target has not closed the connection. It may be called without a probe.
func (p *Probe) Open() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.closed:
		return false
	default:
		return Peek(p.conn.Conn) == Empty
	}
}

// Close closes the connection. It may be called without a probe.
func (p *Probe) Close() {
	if p != nil {
		_ = p.conn.Close()
	}
}

// Open reports whether the target has not closed the connection of the answer, also while another goroutine reads. What it
// sent before may be unread.
func (a *Answer) Open() bool {
	if a.ended.Load() {
		return false
	}
	if a.Via() != "" {
		// The socket is that of the connection to the other router.
		return true
	}
	return sock.IsEstablished(a.conn.Conn)
}
