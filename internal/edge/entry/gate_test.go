package entry

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

// newTestGate returns a gate on a port of its own whose clock the test sets.
func newTestGate(t *testing.T, clock func() time.Time) *Gate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return NewGate(l, log.NewNopLogger(), clock)
}

// New callers are refused once several in a row have waited long to be read, and for a moment after the
// last of them. One that opened its connection long before it sent something does not count.
func TestGateOverloadDetection(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGate(t, func() time.Time { return now })
	for range 2 * overloadMinRequests {
		if g.recordRead(time.Minute) || g.recordRead(time.Millisecond) || g.overloaded() {
			t.Fatal("callers are refused though every other one is read at once")
		}
	}
	for i := range overloadMinRequests {
		if got, want := g.recordRead(overloadDelay), i+1 == overloadMinRequests; got != want {
			t.Errorf("after %d that waited: pressed %v, want %v", i+1, got, want)
		}
	}
	now = now.Add(overloadHold - time.Millisecond)
	if !g.overloaded() {
		t.Error("callers are taken again at once")
	}
	now = now.Add(time.Millisecond)
	if g.overloaded() {
		t.Error("callers are refused for ever")
	}
}

// told is a listener that takes the next connection only once the test says so: by then the caller has
// sent what it will. A caller held up between connecting and sending is taken as one that has sent nothing.
type steppedListener struct {
	net.Listener
	accept chan struct{}
}

// Accept waits for the test's word, then takes a connection.
func (l *steppedListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.Listener.Accept()
}

// Pattern: eight times the traffic at a zone's only box of 0.4 cores, which reads 4,000 requests a second
// then while more come: callers were read a second after they had connected, most had left, and 11,000
// to 13,000 of 115,000 tries had no answer, in place of 5,300 to 6,300. A caller is refused whole and at
// once, with when to come back; one that has sent nothing yet is served.
func TestOverloadedGateRejectsUnread(t *testing.T) {
	g := newTestGate(t, time.Now)
	for range overloadMinRequests {
		g.recordRead(overloadDelay)
	}
	g.rejectUntil = time.Now().Add(time.Hour)
	listener := &steppedListener{Listener: g.Listener, accept: make(chan struct{})}
	g.Listener = listener
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := g.Accept(); err == nil {
			accepted <- c
		}
	}()
	for range 20 {
		c := dialGate(t, g)
		if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("b", 9000)); err != nil {
			t.Fatal(err)
		}
		listener.accept <- struct{}{}
		answer, err := io.ReadAll(c)
		if err != nil {
			t.Fatal(err)
		}
		head, body, _ := strings.Cut(string(answer), "\r\n\r\n")
		if !strings.HasPrefix(head, "HTTP/1.1 503 ") || retryAfterOf(t, head) < overloadDelay || !strings.Contains(head, "Connection: close") {
			t.Errorf("answer %q", head)
		}
		if diff := cmp.Diff(`{"error":"overloaded","outcome":"not_run"}`, body); diff != "" {
			t.Error(diff)
		}
	}
	idle := dialGate(t, g)
	defer idle.Close()
	listener.accept <- struct{}{}
	select {
	case c := <-accepted:
		_ = c.Close()
	case <-time.After(5 * time.Second):
		t.Error("a caller that has sent nothing yet is not taken")
	}
}

// comesBack is when an answer asks its caller to come back.
func retryAfterOf(t *testing.T, head string) time.Duration {
	t.Helper()
	_, after, _ := strings.Cut(head, "Retry-After: ")
	text, _, _ := strings.Cut(after, "\r\n")
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Errorf("%q says when to come back by %q", head, text)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Pattern: a pressed router that reads 4,000 requests a second refuses 8,000 callers unread within a second. They
// are told to come back no faster than half of what it reads, the other half being for who comes first: all were
// told a quarter of a second, and the router was as pressed by those who came back.
func TestGateSpreadsRetryAfter(t *testing.T) {
	const reads, rejections = 4000, 8000
	now := time.Unix(1000, 0)
	g := newTestGate(t, func() time.Time { return now })
	// The rate is known after a few half-lives.
	for range 5 * reads {
		now = now.Add(time.Second / reads)
		g.recordRead(overloadDelay)
	}
	const slot = 100 * time.Millisecond
	retries := map[int64]int{}
	for i := range rejections {
		now = now.Add(time.Second / rejections)
		// It goes on reading half as many as it refuses.
		if i%2 == 0 {
			g.recordRead(overloadDelay)
		}
		delay := g.retryAfter()
		if delay < overloadDelay {
			t.Fatalf("told to come back after %v", delay)
		}
		retries[now.Add(delay).UnixNano()/int64(slot)]++
	}
	for _, n := range retries {
		if limit := int(1.2 * reads / 2 * slot.Seconds()); n > limit {
			t.Errorf("%d callers are told the same tenth of a second, at most %d can be read", n, limit)
		}
	}
}

func dialGate(t *testing.T, g *Gate) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// What waited too long to be in time is refused without a target; later requests of its connection
// count from when they come.
func TestRequestReadLateIsRejected(t *testing.T) {
	target := newFakeTarget(t, answer(200, "", "body"))
	s := newSetup(t, newRoute(nil), target)
	s.handler.Gate = newTestGate(t, time.Now)
	s.handler.Clock = time.Now
	ctx := WithConn(t.Context(), nil)
	ctx.Value(connContextKey{}).(*callerConn).acceptedAt = time.Now().Add(-time.Second)
	for range overloadMinRequests {
		s.handler.Gate.recordRead(overloadDelay)
	}
	tryAccept := func() (Reason, time.Duration) {
		r, err := http.NewRequestWithContext(ctx, "GET", "http://h/", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Key", "k")
		r.RequestURI = "/"
		_, p := s.handler.accept(r)
		if p == nil {
			return "", 0
		}
		return p.reason, p.retryAfter
	}
	if reason, retryAfter := tryAccept(); reason != Overloaded || retryAfter < time.Second {
		t.Errorf("after a second unread: %q, come back after %v", reason, retryAfter)
	}
	if reason, _ := tryAccept(); reason != "" {
		t.Errorf("the next request of the connection: %q", reason)
	}
}
