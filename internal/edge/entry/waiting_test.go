package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/memory"
)

// newWaitingConn returns a connection and that of its caller.
func newWaitingConn(t *testing.T, times ConnTimes) (*waitingConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conns, closeConns := NewCallerConns(memory.New(testMemory, time.Now), times)
	w := conns.accepted(accepted).(*waitingConn)
	t.Cleanup(func() {
		_, _ = caller.Close(), w.Close()
		closeConns()
	})
	return w, caller
}

// A caller that has sent a few bytes of a further request must not hold its connection for longer than the time of a header, whether the
// bytes came after the last answer or before.
func TestBegunRequestEndsWithTheTimeOfAHeader(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprint("read ahead ", ahead), func(t *testing.T) {
			w, caller := newWaitingConn(t, ConnTimes{Idle: func() time.Duration { return time.Hour }, Header: 50 * time.Millisecond})
			w.phase = connRequest
			if !ahead {
				w.becameIdle()
			}
			if _, err := io.WriteString(caller, "G"); err != nil {
				t.Fatal(err)
			}
			if n, err := w.Read(make([]byte, 1)); n != 1 {
				t.Fatalf("%d bytes, error %v", n, err)
			}
			if ahead {
				w.becameIdle()
				// The HTTP server takes deadlines back after an answer.
				_ = w.SetReadDeadline(time.Time{})
			}
			ended := make(chan error, 1)
			go func() {
				_, err := w.Read(make([]byte, 9))
				ended <- err
			}()
			select {
			case err := <-ended:
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Error(err)
				}
			case <-time.After(5 * time.Second):
				t.Error("the connection is held")
			}
		})
	}
}

// A header that is too large for the HTTP server must be answered, although its rest is not read.
func TestTooLargeHeaderIsAnswered(t *testing.T) {
	g := newTestGate(t, time.Now)
	server := &http.Server{Handler: http.NotFoundHandler(), MaxHeaderBytes: 1 << 10, ConnContext: WithConn, ConnState: g.conns.StateChanged}
	go func() { _ = server.Serve(g) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 20 {
		c := dialGate(t, g)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("x", 100<<10)+"\r\n\r\n")
		answer, err := io.ReadAll(c)
		if status, _, _ := strings.Cut(string(answer), "\r\n"); status != "HTTP/1.1 431 Request Header Fields Too Large" {
			t.Errorf("status %q, error %v", status, err)
		}
		_ = c.Close()
	}
}

// A request whose body becomes whole while the router stops must not be sent to a target if the router may end before its answer does.
// Guards against requests that were run and cut at the end of a stop.
func TestBodyThatIsWholeLateInAStopIsRefused(t *testing.T) {
	const stop = time.Second
	target := newFakeTarget(t, answer(200, "", "body"))
	s := newSetup(t, newRoute(nil), target)
	g := newTestGate(t, time.Now)
	s.handler.Gate = g
	server := &http.Server{Handler: s.handler, ConnContext: WithConn, ConnState: g.conns.StateChanged}
	go func() { _ = server.Serve(g) }()
	t.Cleanup(func() { _ = server.Close() })
	c := dialGate(t, g)
	defer c.Close()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nContent-Length: 6\r\n\r\nabc"); err != nil {
		t.Fatal(err)
	}
	for conns := g.conns.list(); len(conns) == 0 || conns[0].currentPhase() != connRequest; conns = g.conns.list() {
		<-time.After(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), stop)
	defer cancel()
	go func() { _ = g.conns.Stop(ctx) }()
	for !g.conns.StopsBefore(time.Now().Add(2 * stop)) {
		<-time.After(time.Millisecond)
	}
	if _, err := io.WriteString(c, "def"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	head, body, _ := strings.Cut(string(answer), "\r\n\r\n")
	status, _, _ := strings.Cut(head, "\r\n")
	if diff := cmp.Diff([]string{"HTTP/1.1 503 Service Unavailable", `{"error":"router_stopping","outcome":"not_run"}`}, []string{status, body}); diff != "" {
		t.Errorf("error %v: %s", err, diff)
	}
	if got := target.count(); got != 0 {
		t.Errorf("%d requests reached the target", got)
	}
}

// currentPhase returns the phase of a connection.
func (c *waitingConn) currentPhase() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// queuedListener is a listener whose connections stay in the system's queue until the test allows it.
type queuedListener struct {
	*net.TCPListener
	accept chan struct{}
}

// Accept waits for the test, then accepts a connection.
func (l *queuedListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.TCPListener.Accept()
}

// Callers whose connections are not accepted yet when the router stops accepting must be served: the system resets them with the
// listener.
func TestQueuedCallersAreServedAtAStop(t *testing.T) {
	const callers = 5
	g := newTestGate(t, time.Now)
	listener := &queuedListener{TCPListener: g.Listener.(*net.TCPListener), accept: make(chan struct{})}
	g.Listener = listener
	server := &http.Server{Handler: http.NotFoundHandler(), ConnContext: WithConn, ConnState: g.conns.StateChanged}
	served := make(chan error)
	go func() { served <- server.Serve(g) }()
	t.Cleanup(func() { _ = server.Close() })
	var queued []net.Conn
	for range callers {
		c := dialGate(t, g)
		defer c.Close()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		queued = append(queued, c)
	}
	closed := make(chan error)
	go func() { closed <- g.Close() }()
	<-time.After(50 * time.Millisecond)
	close(listener.accept)
	for _, c := range queued {
		answer, err := io.ReadAll(c)
		if status, _, _ := strings.Cut(string(answer), "\r\n"); status != "HTTP/1.1 404 Not Found" {
			t.Errorf("status %q, error %v", status, err)
		}
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if err := <-served; err != http.ErrServerClosed {
		t.Error(err)
	}
}

// A stop must refuse late requests from the time that was announced, even if the steps before the connections end take longer:
// the store, or peers, may not respond meanwhile.
func TestAnnouncedStopRefusesInTime(t *testing.T) {
	const delay = 50 * time.Millisecond
	conns := testConns()
	conns.AnnounceStop(time.Now().Add(delay), time.Now().Add(2*delay))
	got := []bool{conns.StopsBefore(time.Now().Add(time.Second))}
	<-time.After(delay)
	got = append(got, conns.StopsBefore(time.Now()), conns.StopsBefore(time.Now().Add(time.Second)))
	if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
