package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/quota"
	"valescale/internal/rule/retry"
)

const (
	// overloadDelay is the time that a request waits unread from which it counts as late. Most
	// interactive requests miss their objective after it.
	overloadDelay = 250 * time.Millisecond
	// busyDelay takes the place of overloadDelay while other routers have room: a caller that is turned away
	// meets one of them within a few round trips.
	busyDelay = 50 * time.Millisecond
	// pressureHold is the time for which a router counts as overloaded for its peers after it rejected
	// callers.
	pressureHold = time.Second
	// overloadMinRequests is the number of consecutive late requests that starts the rejection of
	// new callers. A single caller may open its connection long before it sends a request; several
	// in a row do not while other requests arrive.
	overloadMinRequests = 8
	// overloadHold is how long new callers are rejected after the last late request.
	overloadHold = 50 * time.Millisecond
	// unreadReadTimeout is how long to wait for the request of a caller that is to be rejected. At
	// an overloaded router the request arrives before its connection is accepted.
	unreadReadTimeout = time.Millisecond
	// maxUnreadBytes is the maximum number of bytes of such a request that are read before it is rejected.
	maxUnreadBytes = 64 << 10
	// readRateHalfLife is the half-life of the read rate. It covers enough of the thousands of
	// requests per second that an overloaded router reads, and is short enough to follow a router
	// that becomes slow.
	readRateHalfLife = 500 * time.Millisecond
	// gateLogInterval is the minimum interval between two log lines about rejected callers.
	gateLogInterval = time.Second
)

// Gate is a listener that rejects new callers without reading their requests while earlier callers
// wait too long to be read. Such a rejection costs a small part of the work that the HTTP server
// needs for one. Without it the queue of an overloaded router grows until callers have
// disconnected by the time they are read.
//
// While other routers have room, the gate closes the connection instead: a caller whose request was not
// read may send it to another router at once.
type Gate struct {
	net.Listener
	logger log.Logger
	clock  ident.Clock
	// othersHaveRoom reports whether callers that are turned away will be read by another router.
	othersHaveRoom func() bool
	// conns charges connections to the memory of the box.
	conns *CallerConns
	// head and body are the answer to rejected callers, except for the Retry-After delay.
	head, body []byte
	// buffer receives the discarded requests. Only Accept uses it.
	buffer []byte
	// closed is set once no callers are accepted any more.
	closed atomic.Bool
	// lingering is the number of rejected callers' connections that are kept open.
	lingering atomic.Int64

	mu sync.Mutex
	// consecutiveLate counts consecutive requests that waited too long. New callers are rejected
	// before rejectUntil.
	consecutiveLate int
	rejectUntil     time.Time
	// reads is the decayed number of requests read, as of readsAt.
	reads   float64
	readsAt time.Time
	// retryTimes spreads the Retry-After delays of rejected callers. At eight times the traffic of
	// one zone, thousands of callers are rejected per second, and a constant delay would make all
	// of them retry in the same quarter of a second.
	retryTimes quota.RetryDelays
	// rejected counts the callers rejected since loggedAt.
	rejected int
	loggedAt time.Time
}

// NewGate returns a gate that wraps a listener. The function othersHaveRoom reports whether callers that
// are turned away will be read by another router. Callers are turned away too if conns has no room.
func NewGate(l net.Listener, othersHaveRoom func() bool, conns *CallerConns, logger log.Logger, clock ident.Clock) *Gate {
	body, err := json.Marshal(problemBody{Error: Overloaded, Outcome: retry.NotRun})
	if err != nil {
		// Two strings can always be encoded.
		panic(err)
	}
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\nRetry-After: ",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), len(body))
	return &Gate{Listener: l, othersHaveRoom: othersHaveRoom, conns: conns, logger: logger, clock: clock, head: head, body: body, buffer: make([]byte, maxUnreadBytes)}
}

// response returns the complete answer to a caller whose request is not read.
func (g *Gate) response(retryAfter time.Duration) []byte {
	const textSize = 64
	out := make([]byte, 0, len(g.head)+textSize+len(g.body))
	out = append(out, g.head...)
	out = strconv.AppendFloat(out, retryAfter.Seconds(), 'f', 3, 64)
	out = append(out, "\r\n\r\n"...)
	return append(out, g.body...)
}

// Close closes the listener once the callers that it has queued are accepted, and waits until those that were
// rejected have their answers. Both take queueTimeout at most.
func (g *Gate) Close() error {
	g.closed.Store(true)
	deadline := time.Now().Add(queueTimeout)
	err := closeOnceAccepted(g.Listener, deadline)
	waitWhile(func() bool { return g.lingering.Load() > 0 }, deadline)
	return err
}

// Accept returns the next connection that is not rejected, or http.ErrServerClosed after Close.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		switch {
		case err != nil && g.closed.Load():
			return nil, http.ErrServerClosed
		case err != nil:
			return nil, err
		case !g.conns.hasRoom():
			g.refuseConn(c)
		case !g.Overloaded() || !g.turnAway(c):
			return g.conns.accepted(c), nil
		}
	}
}

// Overloaded reports whether new callers are to be rejected.
func (g *Gate) Overloaded() bool { return g.overloadedSince(0) }

// Pressed reports whether callers have been rejected within pressureHold.
func (g *Gate) Pressed() bool { return g.overloadedSince(pressureHold) }

// overloadedSince reports whether new callers are to be rejected, or were within a period.
func (g *Gate) overloadedSince(period time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock().Before(g.rejectUntil.Add(period))
}

// recordRead records how long the first request of a connection waited to be read, and reports
// whether the router is overloaded and no other router has room, so that requests which are too late
// must give way to others.
func (g *Gate) recordRead(delay time.Duration) bool {
	limit, relieved := overloadDelay, false
	if delay >= busyDelay && g.othersHaveRoom() {
		limit, relieved = busyDelay, true
	}
	return g.recordDelay(delay, limit) && !relieved
}

// recordDelay records a delay, and reports whether the router is overloaded as so many in a row reached the
// limit.
func (g *Gate) recordDelay(delay, limit time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.reads = g.reads*decay.Factor(now.Sub(g.readsAt), readRateHalfLife) + 1
	g.readsAt = now
	if delay < limit {
		g.consecutiveLate = 0
		return false
	}
	g.consecutiveLate++
	if g.consecutiveLate < overloadMinRequests {
		return false
	}
	g.rejectUntil = now.Add(overloadHold)
	return true
}

// retryAfter returns the Retry-After delay for a rejected caller, based on the rate at which this
// router reads requests.
func (g *Gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	reads := g.reads * decay.Factor(now.Sub(g.readsAt), readRateHalfLife)
	return g.retryTimes.Next(now, reads*math.Ln2/readRateHalfLife.Seconds(), overloadDelay)
}

// turnAway rejects a caller, or closes its connection if another router has room. It reports whether it did.
func (g *Gate) turnAway(c net.Conn) bool {
	if !g.othersHaveRoom() {
		return g.reject(c, Overloaded)
	}
	if l, ok := c.(lingerer); ok {
		// The option cannot be set only on a connection that is closed already.
		_ = l.SetLinger(0)
	}
	_ = c.Close()
	g.logRejected(Overloaded)
	return true
}

// refuseConn closes a connection for which the box has no memory. It rejects the caller's request if that has
// arrived, or arrives within a short time.
func (g *Gate) refuseConn(c net.Conn) {
	if !g.reject(c, NoMemory) && !g.linger(c, func() { g.rejectLate(c) }) {
		_ = c.Close()
		g.logRejected(NoMemory)
	}
}

// reject sends the rejection if the caller's request has arrived, and reports whether it had.
func (g *Gate) reject(c net.Conn, reason Reason) bool {
	// These calls do not fail on an open connection, and a closed one needs no answer.
	_ = c.SetReadDeadline(g.clock().Add(unreadReadTimeout))
	n, _ := c.Read(g.buffer)
	_ = c.SetReadDeadline(time.Time{})
	if n == 0 {
		if relay.Peek(c) != relay.Readable {
			return false
		}
		// This router was delayed until the deadline had passed; what has arrived can be read without a wait.
		n, _ = c.Read(g.buffer)
	}
	_, _ = c.Write(g.response(g.retryAfter()))
	g.closeRejected(c, isWhole(g.buffer[:n]))
	g.logRejected(reason)
	return true
}

// logRejected counts a rejected caller and logs the count at most once per gateLogInterval.
func (g *Gate) logRejected(reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rejected++
	now := g.clock()
	if now.Sub(g.loggedAt) < gateLogInterval {
		return
	}
	_ = level.Warn(g.logger).Log("msg", "router overloaded; callers rejected without reading their requests", "reason", reason, "callers", g.rejected, "waited_ms", overloadDelay.Milliseconds())
	g.rejected, g.loggedAt = 0, now
}
