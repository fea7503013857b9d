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
	pressedWait = 250 * time.Millisecond
	// pressedInRow is how many requests in a row must have waited that long. A caller may open a connection
	// long before it sends something; several in a row do not while others come.
	pressedInRow = 8
	// pressedFor is how long new callers are refused after the latest such request.
	pressedFor = 50 * time.Millisecond
	// unreadWait is how long a request that is to be refused is waited for. At a pressed router it is
	// there before its connection is accepted.
	unreadWait = time.Millisecond
	// unreadMost is how much of such a request is read, in bytes: a connection closed with bytes that
	// nobody has read is reset, and the answer lost with it.
	unreadMost = 64 << 10
	// carriedHalfLife is after how long a request that was read counts half in what the router carries: of the
	// thousands a second that a pressed router reads, enough; short enough to follow one that turns slow.
	carriedHalfLife = 500 * time.Millisecond
	// gateLogEvery is the least time between two log lines about refused callers.
	gateLogEvery = time.Second
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
	inRow int
	until time.Time
	// carried counts the requests that were read lately, as of carriedAt.
	carried   float64
	carriedAt time.Time
	// returns are the times that refused callers are told to come back at: at eight times the traffic of one
	// zone thousands a second are refused, and all were told the same quarter of a second.
	returns quota.Returns
	// refused counts the callers since told.
	refused int
	told    time.Time
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
	return &Gate{Listener: l, logger: logger, clock: clock, head: head, body: body, buffer: make([]byte, unreadMost)}
}

// answer is the whole answer to a caller whose request is not looked at.
func (g *Gate) answer(again time.Duration) []byte {
	const textSize = 64
	out := make([]byte, 0, len(g.head)+textSize+len(g.body))
	out = append(out, g.head...)
	out = strconv.AppendFloat(out, again.Seconds(), 'f', 3, 64)
	out = append(out, "\r\n\r\n"...)
	return append(out, g.body...)
}

// Accept returns the next caller that is not refused.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil || !g.pressed() || !g.refuse(c) {
			return c, err
		}
	}
}

// pressed reports whether callers wait too long.
func (g *Gate) pressed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock().Before(g.until)
}

// read notes how long the first request of a connection has waited to be read, and reports whether
// callers wait too long.
func (g *Gate) read(waited time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.carried = g.carried*decay.Kept(now.Sub(g.carriedAt), carriedHalfLife) + 1
	g.carriedAt = now
	if waited < pressedWait {
		g.inRow = 0
		return false
	}
	g.inRow++
	if g.inRow < pressedInRow {
		return false
	}
	g.until = now.Add(pressedFor)
	return true
}

// comeBack is how long a refused caller is asked to stay away, by what this router was seen to read.
func (g *Gate) comeBack() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	carried := g.carried * decay.Kept(now.Sub(g.carriedAt), carriedHalfLife)
	return g.returns.Tell(now, carried*math.Ln2/carriedHalfLife.Seconds(), pressedWait)
}

// refuse answers a caller whose request has come, and reports whether it had.
func (g *Gate) refuse(c net.Conn) bool {
	// None of these calls fails on an open connection, and one that has ended needs no answer.
	_ = c.SetReadDeadline(g.clock().Add(unreadWait))
	n, _ := c.Read(g.buffer)
	if n == 0 {
		_ = c.SetReadDeadline(time.Time{})
		return false
	}
	_, _ = c.Write(g.answer(g.comeBack()))
	_ = c.Close()
	g.note()
	return true
}

// note counts a refused caller and tells the log now and then.
func (g *Gate) note() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused++
	now := g.clock()
	if now.Sub(g.told) < gateLogEvery {
		return
	}
	_ = level.Warn(g.logger).Log("msg", "callers refused unread", "callers", g.refused, "waited_ms", pressedWait.Milliseconds())
	g.refused, g.told = 0, now
}
