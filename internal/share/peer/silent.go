package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// silentAfter is how long a connection on which something was sent may bring nothing, not
// even the protocol's own frames, before it counts as silent once a request there was not
// answered: longer than a busy box of 0.4 cores is held up, and no longer than a call of
// gossip, with which the other router would be suspected.
const silentAfter = 800 * time.Millisecond

// openConns are the open connections by address. Connections can fall silent for good
// without a reset; all calls to a router share one, so that each of them would wait in
// vain until the connection's own check, seconds apart to save bytes, has found it dead.
type openConns struct {
	mu    sync.Mutex
	conns map[string]map[*openConn]bool
}

// openConn is a connection that knows for how long what it sent has brought nothing.
type openConn struct {
	net.Conn
	mu sync.Mutex
	// asked is when something was first sent after bytes came last; zero for nothing.
	asked  time.Time
	forget func()
}

// Read reads; whatever comes ends a silence.
func (c *openConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.asked = time.Time{}
		c.mu.Unlock()
	}
	return n, err
}

// Write writes, which may begin a silence.
func (c *openConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.asked.IsZero() {
		c.asked = time.Now()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// silent reports whether the connection counts as silent.
func (c *openConn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.asked.IsZero() && time.Since(c.asked) >= silentAfter
}

// Close closes the connection and forgets it.
func (c *openConn) Close() error {
	c.forget()
	return c.Conn.Close()
}

// add follows a connection until it is closed.
func (o *openConns) add(addr string, c net.Conn) net.Conn {
	followed := &openConn{Conn: c}
	followed.forget = func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.conns[addr], followed)
		if len(o.conns[addr]) == 0 {
			delete(o.conns, addr)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns[addr] == nil {
		o.conns[addr] = map[*openConn]bool{}
	}
	o.conns[addr][followed] = true
	return followed
}

// closeSilent closes the connections to an address that have fallen silent. Later calls
// make new ones.
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
		// It is given up; that it cannot be closed changes nothing.
		_ = c.Close()
	}
}

// silenceWatch makes calls and closes the connections on which they are not answered.
type silenceWatch struct {
	next http.RoundTripper
	open *openConns
}

// RoundTrip implements http.RoundTripper.
func (s *silenceWatch) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := s.next.RoundTrip(r)
	if errors.Is(err, context.DeadlineExceeded) {
		s.open.closeSilent(r.URL.Host)
	}
	return resp, err
}
