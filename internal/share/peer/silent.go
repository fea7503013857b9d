package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// silentTimeout is the time after a write without any received byte, protocol frames included,
// after which a connection counts as silent once a request on it has timed out. It is longer than
// the stalls of a busy box with 0.4 cores and no longer than a gossip call, whose failure makes the
// other router suspect.
const silentTimeout = 800 * time.Millisecond

// openConns tracks the open connections by address. A connection can become permanently silent
// without a reset. All calls to a router share one connection, so each of them would time out until
// the connection's ping, whose interval of seconds saves traffic, detects the failure.
type openConns struct {
	mu    sync.Mutex
	conns map[string]map[*openConn]bool
	// closed is set once all connections are closed.
	closed bool
}

// openConn is a connection that records since when its writes are without a received byte.
type openConn struct {
	net.Conn
	mu sync.Mutex
	// unansweredSince is the time of the first write after the last received bytes; zero if there
	// is none.
	unansweredSince time.Time
	untrack         func()
}

// Read implements net.Conn. Any received byte ends the silence.
func (c *openConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.unansweredSince = time.Time{}
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn. It starts the silence if none is under way.
func (c *openConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.unansweredSince.IsZero() {
		c.unansweredSince = time.Now()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// silent reports whether the connection counts as silent.
func (c *openConn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unansweredSince.IsZero() && time.Since(c.unansweredSince) >= silentTimeout
}

// Close closes the connection and stops tracking it.
func (c *openConn) Close() error {
	c.untrack()
	return c.Conn.Close()
}

// add tracks a connection until it is closed.
func (o *openConns) add(addr string, c net.Conn) net.Conn {
	tracked := &openConn{Conn: c}
	tracked.untrack = func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.conns[addr], tracked)
		if len(o.conns[addr]) == 0 {
			delete(o.conns, addr)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns[addr] == nil {
		o.conns[addr] = map[*openConn]bool{}
	}
	o.conns[addr][tracked] = true
	if o.closed {
		// Calls on the connection fail.
		_ = c.Close()
	}
	return tracked
}

// closeAll closes all connections, and those that are opened later.
func (o *openConns) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, conns := range o.conns {
		for c := range conns {
			// The connection is no longer used. It is tracked until its transport closes it too.
			_ = c.Conn.Close()
		}
	}
}

// closeSilent closes the silent connections to an address. Later calls open new ones.
func (o *openConns) closeSilent(addr string) {
	o.mu.Lock()
	var silent []*openConn
	for c := range o.conns[addr] {
		if c.silent() {
			silent = append(silent, c)
		}
	}
	o.mu.Unlock()
	for _, c := range silent {
		// The connection is no longer used, so an error from closing it has no consequence.
		_ = c.Close()
	}
}

// silentConnCloser is a transport that closes silent connections when a request times out.
type silentConnCloser struct {
	next http.RoundTripper
	open *openConns
}

// RoundTrip implements http.RoundTripper.
func (s *silentConnCloser) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := s.next.RoundTrip(r)
	if errors.Is(err, context.DeadlineExceeded) {
		s.open.closeSilent(r.URL.Host)
	}
	return resp, err
}
