package entry

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"time"
)

const (
	// maxLingering is the maximum number of rejected callers' connections that are kept open at once. They take
	// two megabytes of memory at most, less than the reserve of a box of 64 MB.
	maxLingering = 128
	// lateRequestTimeout is how long to wait for the request of a caller that the box has no memory for: some
	// times longer than callers take to send one after they connect.
	lateRequestTimeout = 100 * time.Millisecond
	// discardTimeout is how long the rest of a rejected request is read. Most callers close their connections a
	// round trip after the rejection.
	discardTimeout = 300 * time.Millisecond
	// maxDiscardBytes is the maximum number of bytes of that rest: what a caller sends within some round trips.
	maxDiscardBytes = 4 << 20
)

// linger calls f outside the goroutine that accepts connections, and closes the connection after it. It reports
// whether it did: not while maxLingering connections are kept.
//
// The memory is charged also if there is no room for a further caller: it comes from the reserve that other
// connections leave.
func (g *Gate) linger(c net.Conn, f func()) bool {
	if g.lingering.Add(1) > maxLingering {
		g.lingering.Add(-1)
		return false
	}
	reserved := g.conns.reserved
	reserved.Add(connSize)
	go func() {
		defer g.lingering.Add(-1)
		defer reserved.Shrink(connSize)
		defer c.Close()
		f()
	}()
	return true
}

// closeRejected closes the connection of a caller that was sent its rejection. Closing a connection with unread
// bytes, or to which bytes are still sent, resets it, and the rejection is lost: what may follow is read first.
func (g *Gate) closeRejected(c net.Conn, whole bool) {
	if whole || !g.linger(c, func() { discardRest(c) }) {
		_ = c.Close()
	}
}

// discardRest ends the answer to a caller, and reads what the caller still sends.
func discardRest(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		// It fails only on a closed connection.
		_ = w.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c, maxDiscardBytes)
}

// rejectLate rejects the request of a caller that the box has no memory for if it arrives within
// lateRequestTimeout.
func (g *Gate) rejectLate(c net.Conn) {
	defer g.logRejected(NoMemory)
	_ = c.SetReadDeadline(time.Now().Add(lateRequestTimeout))
	var first [1]byte
	if n, _ := c.Read(first[:]); n == 0 {
		return
	}
	_, _ = c.Write(g.response(g.retryAfter()))
	discardRest(c)
}

// isWhole reports whether the bytes that were read of a connection are a whole request. It may report false for one
// that is.
func isWhole(request []byte) bool {
	head, body, ended := bytes.Cut(request, []byte("\r\n\r\n"))
	if !ended {
		return false
	}
	length := 0
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return false
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				return false
			}
			length = n
		}
	}
	return len(body) == length
}
