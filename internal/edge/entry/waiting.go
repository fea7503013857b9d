package entry

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
)

// connPhase is what a caller's connection is used for.
type connPhase int

const (
	// connNew means that nothing was read since the connection was accepted, or since its TLS handshake was done.
	connNew connPhase = iota
	// connHandshake means that a part of a TLS handshake was read.
	connHandshake
	// connOpened means that an HTTP/2 connection is open and had no request yet.
	connOpened
	// connIdle means that nothing but a blank line was read since the last answer.
	connIdle
	// connBegun means that the first bytes of a further request were read, too few for the HTTP server to limit
	// the time of its header.
	connBegun
	// connHeader means that a request's header is being read.
	connHeader
	// connRequest means that a request's header was read, and the request is not answered yet. On an HTTP/2
	// connection it means that some request is not answered yet.
	connRequest
)

// pastTime is a read deadline that has passed.
var pastTime = time.Unix(1, 0)

// waitingConn is the connection of a caller that is closed when it waits for a request for too long. Whether it does
// is decided in one place, by the goroutine that reads it: a timer only wakes that goroutine by a read deadline that
// has passed. What has arrived in the socket by then is read and answered, also by a router that was delayed.
//
// The HTTP server itself sets read deadlines: when a connection becomes idle it takes the last one back, after a few
// bytes of a request it limits the time of the header, and after the header it takes that back. It also limits the
// time of a TLS handshake, and takes that back after it.
type waitingConn struct {
	net.Conn
	conns *CallerConns
	// encrypted is set if the bytes of this connection are those of TLS. What they mean is not known then: any that
	// follow an answer count as the begin of a request.
	encrypted bool

	mu sync.Mutex
	// phase is what the connection is used for, since when if it waits for a request.
	phase connPhase
	since time.Time
	// timer calls expire; nil before it is first needed.
	timer *time.Timer
	// ending is set once the reading goroutine was told to end the connection unless something has arrived.
	ending bool
	// readAhead is set if a byte that follows the current request was read, and is no part of a blank line.
	readAhead bool
	// deadline is the read deadline that applies, and late is set while it was taken back to read what had arrived before it.
	deadline time.Time
	late     bool
	// handshaking is set until the TLS handshake is done.
	handshaking bool
	// goAway tells the caller to send no further requests on an HTTP/2 connection, which ends once those in flight
	// are answered; nil for other connections. hasRequest is set once the connection had a request.
	goAway     func()
	hasRequest bool
}

// Read implements net.Conn.
func (c *waitingConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.received(p, n)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.hasArrived() {
			return n, err
		}
	}
}

// received records that n bytes were read into a buffer.
func (c *waitingConn) received(p []byte, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.goAway != nil {
		return
	}
	// A deadline that was replaced applies again. One that has passed lets the next read look for what has arrived.
	set := c.late || c.ending
	blank := isBlank(p[:n])
	switch {
	case c.phase == connNew:
		c.begin(set)
	case c.phase == connHandshake:
		c.since = time.Now()
	case c.phase == connIdle && !blank:
		c.phase = connBegun
		c.deadline = time.Now().Add(c.conns.times.Header)
		set = true
	case c.phase == connRequest:
		// During a request, the HTTP server reads single bytes only to see whether the caller disconnects.
		c.readAhead = len(p) == 1 && !blank
	}
	c.late, c.ending = false, false
	if set {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.expireLocked()
}

// begin records the first bytes of a connection, or of what follows its TLS handshake. The time of what they begin is
// counted from now on if the deadline is to be set.
func (c *waitingConn) begin(set bool) {
	c.phase = connHeader
	if c.handshaking {
		c.phase, c.since = connHandshake, time.Now()
	}
	if set {
		c.deadline = time.Now().Add(c.conns.times.Header)
	}
}

// isBlank reports whether bytes are part of a blank line. Some callers send one after a body, and the HTTP server skips it.
func isBlank(p []byte) bool { return len(bytes.Trim(p, "\r\n")) == 0 }

// hasArrived reports whether bytes are to be read although the read deadline has passed: the router was delayed, or
// they met the end of the idle time. Later bytes of a body end with their deadline.
func (c *waitingConn) hasArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connRequest {
		return false
	}
	if relay.Peek(c.Conn) != relay.Readable {
		if c.ending {
			c.conns.idleCloses.Add(1)
		}
		return false
	}
	c.late = true
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// SetReadDeadline implements net.Conn.
func (c *waitingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == connIdle && !t.IsZero():
		// The HTTP server had read the first bytes together with the request before.
		c.phase, c.ending = connHeader, false
	case c.phase == connBegun && !t.IsZero():
		c.phase = connHeader
	case c.phase == connBegun:
		t = time.Now().Add(c.conns.times.Header)
	case c.phase == connHeader && t.IsZero():
		c.phase = connRequest
	case c.encrypted && t.IsZero():
		c.decrypted()
	}
	c.deadline = t
	if c.ending && c.goAway == nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *waitingConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// becameIdle records that the last request was answered. The reading goroutine calls it.
func (c *waitingConn) becameIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = connIdle, time.Now()
	if c.readAhead {
		c.phase, c.readAhead = connBegun, false
		return
	}
	c.expireLocked()
}

// expire ends the connection if it waits for too long, by the time that is in force now.
func (c *waitingConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked()
}

// expireLocked is expire for a caller that holds the lock.
func (c *waitingConn) expireLocked() {
	if c.ending || !c.waits() {
		return
	}
	limit, limited := c.conns.waitLimit(c.phase)
	if !limited {
		return
	}
	if left := limit - time.Since(c.since); left > 0 {
		c.wakeAfter(left)
		return
	}
	c.ending = true
	if c.goAway != nil {
		c.endHTTP2()
		return
	}
	_ = c.Conn.SetReadDeadline(pastTime)
}

// waits reports whether the connection is one that may be ended.
func (c *waitingConn) waits() bool {
	switch c.phase {
	case connNew, connIdle, connHandshake, connOpened:
		return true
	case connRequest:
		return c.goAway != nil && c.hasRequest
	default:
		return false
	}
}

// wakeAfter calls expire after a time.
func (c *waitingConn) wakeAfter(d time.Duration) {
	if c.timer == nil {
		c.timer = time.AfterFunc(d, c.expire)
		return
	}
	c.timer.Reset(d)
}

// CloseWrite ends the sending side of the connection. The HTTP server does so before it closes a connection whose
// request it has not read to the end, so that the caller receives the answer.
func (c *waitingConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *waitingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = connRequest
	if c.timer != nil {
		c.timer.Stop()
	}
	return c.Conn.Close()
}
