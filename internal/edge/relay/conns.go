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
	"valescale/internal/rule/retry"
)

// ConnLimits bound connections to targets.
type ConnLimits struct {
	// Dial bounds the making of a connection.
	Dial time.Duration
	// Idle is how long a connection without requests is kept when its target names no time.
	Idle time.Duration
	// PerTarget is how many idle connections one target gets at most.
	PerTarget int
	// Header is the largest header of an answer, in bytes.
	Header int64
}

// DefaultConnLimits suit targets that are a few milliseconds away: a connection that
// is not there after a quarter of a second will not be in time for an interactive request.
var DefaultConnLimits = ConnLimits{Dial: 250 * time.Millisecond, Idle: 4 * time.Second, PerTarget: 16, Header: 64 << 10}

// Conns makes attempts over connections of its own. Unlike the standard transport it
// never sends a request twice by itself, and it tells by each answer's header whether
// the answer belongs to the request, so that late and surplus answers are skipped.
type Conns struct {
	limits ConnLimits
	dialer net.Dialer
	dialed atomic.Uint64

	mu sync.Mutex
	// idle are the connections without a request by address, the latest used last.
	idle   map[string][]*conn
	closed bool
}

// NewConns returns connections and the function that closes the idle ones for good.
func NewConns(limits ConnLimits) (*Conns, func()) {
	c := &Conns{limits: limits, dialer: net.Dialer{Timeout: limits.Dial, KeepAlive: -1}, idle: map[string][]*conn{}}
	return c, c.close
}

// Dialed is the number of connections made so far.
func (c *Conns) Dialed() uint64 { return c.dialed.Load() }

// close closes the idle connections; those in use follow as their answers are closed.
func (c *Conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, list := range c.idle {
		closeAll(list)
		delete(c.idle, addr)
	}
}

// Sweep closes the connections that may not be used again.
func (c *Conns) Sweep(now time.Time) {
	var expired []*conn
	c.mu.Lock()
	for addr, list := range c.idle {
		left := list[:0]
		for _, cn := range list {
			if ident.Elapsed(cn.idleSince, now) > cn.keepIdle {
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

// closeAll closes connections. One that cannot be closed is closed already.
func closeAll(list []*conn) {
	for _, cn := range list {
		_ = cn.Close()
	}
}

// silentAfter is after how long without a byte of an answer the idle connections to its
// target are not used again: several times what a target takes to its first byte.
const silenceTimeout = 500 * time.Millisecond

// distrust closes the idle connections to an address where a request was not answered for a
// while. Connections may fall silent for good without a reset, all of a target's at once,
// and each would cost a request to find out.
func (c *Conns) closeSilent(addr string, silence time.Duration) {
	if silence >= silenceTimeout {
		c.Forget(addr)
	}
}

// Forget closes the idle connections to an address, as when its target has started anew: they end
// at the earlier process, or nowhere.
func (c *Conns) Forget(addr string) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	closeAll(list)
}

// take returns an idle connection that was used within fresh, the latest first, or nil.
func (c *Conns) takeIdle(addr string, now time.Time, fresh time.Duration) *conn {
	for {
		found, expired := c.popIdle(addr, now, fresh)
		closeAll(expired)
		if found == nil || found.usable() {
			return found
		}
		_ = found.Close()
	}
}

// pick takes the latest idle connection out, or nil, and those that it found expired.
func (c *Conns) popIdle(addr string, now time.Time, fresh time.Duration) (found *conn, expired []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 && found == nil {
		last := list[len(list)-1]
		idle := ident.Elapsed(last.idleSince, now)
		if idle > last.keepIdle {
			expired = append(expired, last)
		} else if idle <= fresh {
			found = last
		} else {
			// The others have been idle for longer still.
			break
		}
		list = list[:len(list)-1]
	}
	c.setIdle(addr, list)
	return found, expired
}

// put replaces an address's idle connections; the caller holds the lock.
func (c *Conns) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(c.idle, addr)
		return
	}
	c.idle[addr] = list
}

// keep makes a connection idle until its target's own limit, or closes it.
func (c *Conns) keepIdle(cn *conn, header http.Header, now time.Time) {
	idle := c.limits.Idle
	if advertised, ok := keepAlive(header); ok {
		idle = min(idle, advertised-keepAliveMargin)
	}
	limit := c.limits.PerTarget
	if cn.maxIdle > 0 {
		limit = min(limit, cn.maxIdle)
	}
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

// keepAliveMargin is how long before its target would close it a connection is given
// up: a request must not cross the close. A round trip is a few milliseconds.
const keepAliveMargin = 300 * time.Millisecond

// keepAlive reads how long a target keeps an idle connection.
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
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, newFailure(op, dialErrorKind(err, time.Since(start)-c.limits.Dial), retry.Dialing, err)
	}
	c.dialed.Add(1)
	return newConn(addr, raw, c.limits.Header), nil
}

// Gone reports whether nothing listens at a target's address any more, as after its process has
// ended. A box that does not answer within the time to connect tells neither.
func (c *Conns) Gone(ctx context.Context, addr string) bool { return gone(ctx, c.dialer, addr) }

// gone makes a connection only to see whether it is refused.
func gone(ctx context.Context, dialer net.Dialer, addr string) bool {
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		// It has served its purpose; that it cannot be closed changes nothing.
		_ = raw.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// quiet reports whether an idle connection is still open and holds no unread bytes:
// bytes that came without a request belong to none.
func (c *conn) usable() bool { return c.reader.Buffered() == 0 && Peek(c.Conn) == Quiet }
