package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/rule/retry"
)

// ConnLimits are the limits of connections to targets.
type ConnLimits struct {
	// Dial is the timeout for making a connection.
	Dial time.Duration
	// Idle is how long an idle connection is kept if its target sends no keep-alive timeout.
	Idle time.Duration
	// PerTarget is the maximum number of idle connections to one target.
	PerTarget int
	// Header is the maximum size of an answer's header, in bytes.
	Header int64
}

// DefaultConnLimits are for targets a few milliseconds away: a connection that takes longer than a
// quarter of a second is too late for an interactive request.
var DefaultConnLimits = ConnLimits{Dial: 250 * time.Millisecond, Idle: 4 * time.Second, PerTarget: 16, Header: 64 << 10}

// Conns makes attempts over its own connections. Unlike the standard transport it never resends a
// request by itself, and it checks by the header of each answer whether the answer is to the
// request, so that late and surplus answers are skipped.
type Conns struct {
	limits ConnLimits
	dialer Dialer
	dialed atomic.Uint64

	mu sync.Mutex
	// idle contains the idle connections by address, the most recently used last.
	idle   map[string][]*conn
	closed bool
}

// Dialer connects to targets.
type Dialer interface {
	// Dial connects to the target at an address.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Usable reports whether the path of an idle connection may still be used.
	Usable(c net.Conn, addr string) bool
	// Refused reports whether nothing listens at an address any more.
	Refused(ctx context.Context, addr string) bool
	// Check finds out in the background whether the target at an address can be reached.
	Check(addr string)
}

// NewConns returns a connection pool and the function that closes it.
func NewConns(limits ConnLimits, dialer Dialer) (*Conns, func()) {
	c := &Conns{limits: limits, dialer: dialer, idle: map[string][]*conn{}}
	return c, c.close
}

// Dialed returns the number of connections made so far.
func (c *Conns) Dialed() uint64 { return c.dialed.Load() }

// close closes the idle connections. Active ones are closed with their answers.
func (c *Conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, list := range c.idle {
		closeAll(list)
		delete(c.idle, addr)
	}
}

// Sweep closes the idle connections that have expired, that have ended or have unread bytes, and those whose path is
// not used any more.
func (c *Conns) Sweep(now time.Time) {
	var expired []*conn
	c.mu.Lock()
	for addr, list := range c.idle {
		left := list[:0]
		for _, cn := range list {
			if ident.Elapsed(cn.idleSince, now) > cn.keepIdle || !cn.usable() || !c.dialer.Usable(cn.Conn, addr) {
				expired = append(expired, cn)
				continue
			}
			left = append(left, cn)
		}
		c.setIdle(addr, left)
	}
	c.mu.Unlock()
	closeAll(expired)
}

// closeAll closes connections. An error means that the connection is closed already.
func closeAll(list []*conn) {
	for _, cn := range list {
		_ = cn.Close()
	}
}

// silenceTimeout is the time without a byte of an answer after which the idle connections to the
// target are closed. It is several times the usual time to the first byte of a target.
const silenceTimeout = 500 * time.Millisecond

// closeSilent closes the idle connections to an address where a request was not answered within
// silenceTimeout. All connections to a target may become silent at once without a reset, and each
// would cost a failed request to detect.
func (c *Conns) closeSilent(addr string, silence time.Duration) {
	if silence >= silenceTimeout {
		c.CloseIdle(addr)
	}
}

// CloseIdle closes the idle connections to an address, as after a restart of its target: they lead
// to the earlier process, or are broken.
func (c *Conns) CloseIdle(addr string) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	closeAll(list)
}

// takeIdle returns the most recently used idle connection whose idle time is at most maxIdle, or
// nil.
func (c *Conns) takeIdle(addr string, now time.Time, maxIdle time.Duration) *conn {
	for {
		found, expired := c.popIdle(addr, now, maxIdle)
		closeAll(expired)
		if found == nil || found.usable() && c.dialer.Usable(found.Conn, addr) {
			return found
		}
		_ = found.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil, and the expired ones
// that it found.
func (c *Conns) popIdle(addr string, now time.Time, maxIdle time.Duration) (found *conn, expired []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 && found == nil {
		last := list[len(list)-1]
		idle := ident.Elapsed(last.idleSince, now)
		if idle > last.keepIdle {
			expired = append(expired, last)
		} else if idle <= maxIdle {
			found = last
		} else {
			// The remaining connections have been idle for longer.
			break
		}
		list = list[:len(list)-1]
	}
	c.setIdle(addr, list)
	return found, expired
}

// setIdle replaces the idle connections to an address. The caller holds the lock.
func (c *Conns) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(c.idle, addr)
		return
	}
	c.idle[addr] = list
}

// keepIdle makes a connection idle for at most the keep-alive timeout of its target, or closes it.
func (c *Conns) keepIdle(cn *conn, header http.Header, now time.Time) {
	idle := c.limits.Idle
	if advertised, ok := keepAlive(header); ok {
		idle = min(idle, advertised-keepAliveMargin)
	}
	limit := c.idleLimit(cn)
	cn.idleSince = now
	cn.keepIdle = idle
	c.mu.Lock()
	list := c.idle[cn.addr]
	if c.closed || idle <= 0 || len(list) >= limit {
		c.mu.Unlock()
		_ = cn.Close()
		return
	}
	c.idle[cn.addr] = append(list, cn)
	c.mu.Unlock()
}

// Connect makes a new connection to a target and keeps it for the next request there, in place of the one that has been idle
// for the longest time if there are more than maxIdleConns; zero means the limit for all targets. It reports whether it
// could.
func (c *Conns) Connect(ctx context.Context, addr string, maxIdleConns int) bool {
	cn, err := c.dial(ctx, addr)
	if err != nil {
		return false
	}
	cn.maxIdle = maxIdleConns
	c.dropOldest(addr, c.idleLimit(cn)-1)
	c.keepIdle(cn, nil, time.Now())
	return true
}

// dropOldest closes the connections that have been idle for the longest time until at most the given number are left.
func (c *Conns) dropOldest(addr string, limit int) {
	c.mu.Lock()
	list := c.idle[addr]
	excess := max(len(list)-limit, 0)
	dropped := list[:excess]
	c.setIdle(addr, list[excess:])
	c.mu.Unlock()
	closeAll(dropped)
}

// idleLimit returns how many idle connections to the target of a connection may be kept.
func (c *Conns) idleLimit(cn *conn) int {
	if cn.maxIdle > 0 {
		return min(c.limits.PerTarget, cn.maxIdle)
	}
	return c.limits.PerTarget
}

// keepAliveMargin is how long before the target's keep-alive timeout a connection expires, so that
// no request crosses the close in transit. A round trip takes a few milliseconds.
const keepAliveMargin = 300 * time.Millisecond

// keepAlive returns how long a target keeps idle connections, from its Keep-Alive header.
func keepAlive(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// dial makes a connection.
func (c *Conns) dial(ctx context.Context, addr string) (*conn, error) {
	const op = "relay.Dial"
	start := time.Now()
	raw, err := c.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, newFailure(op, dialErrorKind(err, time.Since(start)-c.limits.Dial), retry.Dialing, err)
	}
	c.dialed.Add(1)
	return newConn(addr, raw, c.limits.Header), nil
}

// ConnectionRefused reports whether nothing listens at a target's address any more, as after the
// end of its process. A box that does not respond within the dial timeout gives no result and
// counts as running.
func (c *Conns) ConnectionRefused(ctx context.Context, addr string) bool {
	return c.dialer.Refused(ctx, addr)
}

// acceptedDelay is how long a connection must stay open to show that its target is running. The kernel may
// accept a connection for a process that is ending, and reset it as soon as the process has ended.
const acceptedDelay = 20 * time.Millisecond

// teardownDelay is how long the check of an ended connection waits for the kernel to close the listener of a process that
// has ended. A connection that is made meanwhile may be dropped at its other end without a reset, and seem open for good.
const teardownDelay = 10 * time.Millisecond

// endTimeout limits the search for the end of a target's process: an attempt to connect on each path. An
// answer that may be whole waits for it.
const endTimeout = 400 * time.Millisecond

// HasEnded connects to a target and reports whether nothing listens at its address any more. It returns
// false if that cannot be found out. The connection is kept for a later request, among at most maxIdleConns
// idle ones; zero means the limit for all targets.
func (c *Conns) HasEnded(ctx context.Context, addr string, maxIdleConns int) bool {
	began := time.Now()
	ended := c.checkEnded(ctx, addr, maxIdleConns)
	if !ended && time.Since(began) > endTimeout+LocalDelayThreshold {
		// This router was delayed itself, so that the check could find out nothing.
		return c.checkEnded(ctx, addr, maxIdleConns)
	}
	return ended
}

// checkEnded makes one check of HasEnded.
func (c *Conns) checkEnded(ctx context.Context, addr string, maxIdleConns int) bool {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	pause.Sleep(ctx, teardownDelay)
	cn, err := c.dial(ctx, addr)
	if err != nil {
		return c.dialer.Refused(ctx, addr)
	}
	pause.Sleep(ctx, acceptedDelay)
	if !cn.usable() {
		_ = cn.Close()
		return c.dialer.Refused(ctx, addr)
	}
	cn.maxIdle = maxIdleConns
	c.keepIdle(cn, nil, time.Now())
	return false
}

// isRefused makes a connection to check whether it is refused.
func isRefused(ctx context.Context, dialer net.Dialer, addr string) bool {
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		// Only the result of the dial matters; an error of the close is ignored.
		_ = raw.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ReportSilent reports that nothing has arrived from the target at an address for longer than usual.
func (c *Conns) ReportSilent(addr string) { c.dialer.Check(addr) }

// bufferedConn is a connection that reads ahead.
type bufferedConn interface {
	// Buffered returns the number of bytes that were received and not read.
	Buffered() int
}

// usable reports whether an idle connection is still open and has no unread bytes: bytes that
// arrive without a request answer none.
func (c *conn) usable() bool {
	if b, ok := c.Conn.(bufferedConn); ok && b.Buffered() > 0 {
		return false
	}
	return c.reader.Buffered() == 0 && Peek(c.Conn) == Empty
}
