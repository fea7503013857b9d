package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/quota"
	"valescale/internal/rule/retry"
)

const (
	// pressedWait is how long requests must wait between the accepting of their connections and their
	// being read for new callers to be refused unread: most interactive requests are late by then.
	overloadDelay = 250 * time.Millisecond
	// pressedInRow is how many requests in a row must have waited that long. A caller may open a connection
	// long before it sends something; several in a row do not while others come.
	overloadMinRequests = 8
	// pressedFor is how long new callers are refused after the latest such request.
	overloadHold = 50 * time.Millisecond
	// unreadWait is how long a request that is to be refused is waited for. At a pressed router it is
	// there before its connection is accepted.
	unreadReadTimeout = time.Millisecond
	// unreadMost is how much of such a request is read, in bytes: a connection closed with bytes that
	// nobody has read is reset, and the answer lost with it.
	maxUnreadBytes = 64 << 10
	// carriedHalfLife is after how long a request that was read counts half in what the router carries: of the
	// thousands a second that a pressed router reads, enough; short enough to follow one that turns slow.
	readRateHalfLife = 500 * time.Millisecond
	// gateLogEvery is the least time between two log lines about refused callers.
	gateLogInterval = time.Second
)

// Gate is a listener that refuses new callers at once, unread, while those before them wait long to
// be read. Such a refusal costs a small part of what the server needs for one; without it the queue in
// a pressed router grows until each caller is read after it has left.
type Gate struct {
	net.Listener
	logger log.Logger
	clock  ident.Clock
	// head and body are the answer to refused callers, but for when to come back.
	head, body []byte
	// buffer is where unread requests go; only Accept uses it.
	buffer []byte

	mu sync.Mutex
	// inRow counts the requests in a row that waited too long, until is until when callers are refused.
	consecutiveLate int
	rejectUntil     time.Time
	// carried counts the requests that were read lately, as of carriedAt.
	reads   float64
	readsAt time.Time
	// returns are the times that refused callers are told to come back at: at eight times the traffic of one
	// zone thousands a second are refused, and all were told the same quarter of a second.
	retryTimes quota.Returns
	// refused counts the callers since told.
	rejected int
	loggedAt time.Time
}

// NewGate returns a gate in front of a listener.
func NewGate(l net.Listener, logger log.Logger, clock ident.Clock) *Gate {
	body, err := json.Marshal(problemBody{Error: Overloaded, Outcome: retry.NotRun})
	if err != nil {
		// Two strings can always be encoded.
		panic(err)
	}
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\nRetry-After: ",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), len(body))
	return &Gate{Listener: l, logger: logger, clock: clock, head: head, body: body, buffer: make([]byte, maxUnreadBytes)}
}

// answer is the whole answer to a caller whose request is not looked at.
func (g *Gate) response(retryAfter time.Duration) []byte {
	const textSize = 64
	out := make([]byte, 0, len(g.head)+textSize+len(g.body))
	out = append(out, g.head...)
	out = strconv.AppendFloat(out, retryAfter.Seconds(), 'f', 3, 64)
	out = append(out, "\r\n\r\n"...)
	return append(out, g.body...)
}

// Accept returns the next caller that is not refused.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil || !g.overloaded() || !g.reject(c) {
			return c, err
		}
	}
}

// pressed reports whether callers wait too long.
func (g *Gate) overloaded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock().Before(g.rejectUntil)
}

// read notes how long the first request of a connection has waited to be read, and reports whether
// callers wait too long.
func (g *Gate) recordRead(delay time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.reads = g.reads*decay.Kept(now.Sub(g.readsAt), readRateHalfLife) + 1
	g.readsAt = now
	if delay < overloadDelay {
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

// comeBack is how long a refused caller is asked to stay away, by what this router was seen to read.
func (g *Gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	reads := g.reads * decay.Kept(now.Sub(g.readsAt), readRateHalfLife)
	return g.retryTimes.Tell(now, reads*math.Ln2/readRateHalfLife.Seconds(), overloadDelay)
}

// refuse answers a caller whose request has come, and reports whether it had.
func (g *Gate) reject(c net.Conn) bool {
	// None of these calls fails on an open connection, and one that has ended needs no answer.
	_ = c.SetReadDeadline(g.clock().Add(unreadReadTimeout))
	n, _ := c.Read(g.buffer)
	if n == 0 {
		_ = c.SetReadDeadline(time.Time{})
		return false
	}
	_, _ = c.Write(g.response(g.retryAfter()))
	_ = c.Close()
	g.logRejected()
	return true
}

// note counts a refused caller and tells the log now and then.
func (g *Gate) logRejected() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rejected++
	now := g.clock()
	if now.Sub(g.loggedAt) < gateLogInterval {
		return
	}
	_ = level.Warn(g.logger).Log("msg", "callers refused unread", "callers", g.rejected, "waited_ms", overloadDelay.Milliseconds())
	g.rejected, g.loggedAt = 0, now
}
