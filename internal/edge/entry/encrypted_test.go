package entry

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answering answers each request.
var answering = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })

// timesOf returns times with an idle time.
func timesOf(idle time.Duration) ConnTimes {
	return ConnTimes{Idle: func() time.Duration { return idle }, Header: 5 * time.Second}
}

// Guards against HTTP/2 connections that are kept without limit: before a first request, after one, and while pings come.
func TestIdleHTTP2ConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name           string
		request, pings bool
		last           int
	}{{"no request", false, false, 0}, {"after a request", true, false, 1}, {"pings", true, true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			const idle = 100 * time.Millisecond
			s := newTLSServer(t, timesOf(idle), answering)
			caller := s.dial(t, true)
			begin(t, caller, c.request)
			start := time.Now()
			if c.pings {
				go func() {
					for caller.sendFrame(frame{kind: pingFrame, payload: make([]byte, 8)}) == nil {
						<-time.After(idle / 10)
					}
				}()
			}
			last, err := caller.awaitEnd()
			if last != c.last || !errors.Is(err, io.EOF) && !isReset(err) {
				t.Errorf("last stream %d, error %v", last, err)
			}
			if took := time.Since(start); took < idle/2 || took > 4*time.Second {
				t.Errorf("ended after %v", took)
			}
			if n := s.conns.IdleCloses(); n != 1 {
				t.Errorf("%d connections count as closed", n)
			}
		})
	}
}

// isReset reports whether an error is that of a connection that was not closed in order, as it still sent.
func isReset(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && !failed.Timeout()
}

// begin begins an HTTP/2 connection, with a request or without.
func begin(t *testing.T, caller *tlsCaller, request bool) {
	t.Helper()
	if !request {
		if err := caller.open(); err != nil {
			t.Fatal(err)
		}
		return
	}
	call(t, caller)
}

// call sends a request, which must be answered.
func call(t *testing.T, caller *tlsCaller) {
	t.Helper()
	if err := caller.request(); err != nil {
		t.Fatal(err)
	}
	if body, _, err := caller.answer(); body != "answer" {
		t.Fatalf("body %q, error %v", body, err)
	}
}

// Guards against a stop that keeps idle HTTP/2 connections, or ends them without a word about what was run.
func TestIdleHTTP2ConnectionEndsAtAStop(t *testing.T) {
	for _, request := range []bool{false, true} {
		t.Run(fmt.Sprint("request ", request), func(t *testing.T) {
			s := newTLSServer(t, timesOf(time.Hour), answering)
			caller := s.dial(t, true)
			begin(t, caller, request)
			phase, streams := connOpened, 0
			if request {
				phase, streams = connIdle, 1
			}
			s.waitForPhase(t, phase)
			stopped := s.stop(t)
			if last, err := caller.awaitEnd(); last != streams || !errors.Is(err, io.EOF) {
				t.Errorf("last stream %d, error %v", last, err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a stop that cuts HTTP/2 requests in flight, or does not tell their callers to leave.
func TestHTTP2RequestInFlightAtAStopIsAnswered(t *testing.T) {
	release := make(chan struct{})
	s := newTLSServer(t, timesOf(time.Hour), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		answering(w, r)
	}))
	caller := s.dial(t, true)
	if err := caller.request(); err != nil {
		t.Fatal(err)
	}
	s.waitForRequest(t)
	stopped := s.stop(t)
	f, err := caller.receiveFrame()
	for ; err == nil && f.kind != goAwayFrame; f, err = caller.receiveFrame() {
		// Frames that begin the connection come before.
	}
	if err != nil {
		t.Fatalf("the caller was not told to leave: %v", err)
	}
	close(release)
	if body, _, err := caller.answer(); body != "answer" {
		t.Errorf("body %q, error %v", body, err)
	}
	if _, err := caller.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// waitForRequest waits until the only connection, of HTTP/2, has a request in flight.
func (s *tlsServer) waitForRequest(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); <-time.After(time.Millisecond) {
		if conns := s.conns.list(); len(conns) == 1 && conns[0].hasRequestInFlight() {
			return
		}
	}
	t.Fatal("no request is in flight")
}

// hasRequestInFlight reports whether a request is in flight on an HTTP/2 connection.
func (c *waitingConn) hasRequestInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequest && c.phase == connRequest
}

// heldWriter is a caller's connection whose writes are held after the first one.
type heldWriter struct {
	net.Conn
	written bool
	release <-chan struct{}
}

// Write implements net.Conn.
func (c *heldWriter) Write(p []byte) (int, error) {
	if c.written {
		<-c.release
	}
	c.written = true
	return c.Conn.Write(p)
}

// Guards against a stop that ends connections whose TLS handshake is under way: their callers send a request at its end.
func TestRequestAfterAHandshakeThatMeetsAStopIsAnswered(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprint("HTTP/2 ", http2), func(t *testing.T) {
			s := newTLSServer(t, timesOf(time.Hour), answering)
			release := make(chan struct{})
			caller := s.encrypt(&heldWriter{Conn: s.connect(t), release: release}, http2)
			sent := make(chan error, 1)
			go func() { sent <- caller.request() }()
			s.waitForPhase(t, connHandshake)
			stopped := s.stop(t)
			close(release)
			if err := <-sent; err != nil {
				t.Fatal(err)
			}
			if body, _, err := caller.answer(); body != "answer" {
				t.Errorf("body %q, error %v", body, err)
			}
			if _, err := caller.awaitEnd(); !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// silentCallers are callers that send no request, each with how it begins.
var silentCallers = []struct {
	name  string
	begin func(*testing.T, *tlsServer) net.Conn
	phase connPhase
}{
	{"nothing", func(t *testing.T, s *tlsServer) net.Conn { return s.connect(t) }, connNew},
	{"a part of a handshake", func(t *testing.T, s *tlsServer) net.Conn {
		c := s.connect(t)
		// The begin of a record of 512 bytes.
		_, _ = c.Write([]byte{22, 3, 1, 2, 0, 1})
		return c
	}, connHandshake},
	{"a handshake for HTTP/1.1", func(t *testing.T, s *tlsServer) net.Conn { return s.dial(t, false) }, connNew},
	{"a handshake for HTTP/2", func(t *testing.T, s *tlsServer) net.Conn { return s.dial(t, true) }, connNew},
}

// Guards against a stop that is held by callers that open a connection and send nothing.
func TestSilentEncryptedCallersDoNotHoldAStop(t *testing.T) {
	for _, c := range silentCallers {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTLSServer(t, timesOf(time.Hour), answering)
			conn := c.begin(t, s)
			s.waitForPhase(t, c.phase)
			if err := <-s.stop(t); err != nil {
				t.Error(err)
			}
			if _, err := io.Copy(io.Discard, conn); err != nil && !isReset(err) {
				t.Error(err)
			}
		})
	}
}

// Guards against connections that are kept although their callers send no request, of either protocol.
func TestSilentEncryptedCallersEndWithTheTimeOfAHeader(t *testing.T) {
	for _, c := range silentCallers {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			times := timesOf(time.Hour)
			times.Header = 500 * time.Millisecond
			s := newTLSServer(t, times, answering)
			conn := c.begin(t, s)
			start := time.Now()
			if _, err := io.Copy(io.Discard, conn); err != nil && !isReset(err) {
				t.Error(err)
			}
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("ended after %v", took)
			}
		})
	}
}

// Guards against requests that have arrived on an encrypted connection when its idle time ends, or when a stop begins, and are dropped.
func TestEncryptedRequestThatMeetsAnEndIsAnswered(t *testing.T) {
	for _, stop := range []bool{false, true} {
		t.Run(fmt.Sprint("stop ", stop), func(t *testing.T) {
			times := timesOf(20 * time.Millisecond)
			if stop {
				times = timesOf(time.Hour)
			}
			held, release := make(chan struct{}, 1), make(chan struct{})
			s := newHeldTLSServer(t, times, answering, func() {
				held <- struct{}{}
				<-release
			})
			caller := s.dial(t, false)
			call(t, caller)
			<-held
			if err := caller.request(); err != nil {
				t.Fatal(err)
			}
			stopped := make(<-chan error)
			if stop {
				stopped = s.stop(t)
			}
			<-time.After(100 * time.Millisecond)
			close(release)
			if body, _, err := caller.answer(); body != "answer" {
				t.Errorf("body %q, error %v", body, err)
			}
			if _, err := caller.awaitEnd(); !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			if stop {
				if err := <-stopped; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// Guards against HTTP/2 requests that arrive at the end of the idle time and end without an answer or a word that they were not run.
func TestHTTP2RequestsThatMeetTheIdleTimeAreAnswered(t *testing.T) {
	const idle, requests = 2 * time.Millisecond, 96
	s := newTLSServer(t, timesOf(idle), answering)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: s.roots, ServerName: "example.com"}, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	for n := range requests {
		resp, err := client.Get("https://" + s.addr)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != "answer" || resp.ProtoMajor != 2 {
			t.Fatalf("request %d: body %q, %s, error %v", n, body, resp.Proto, err)
		}
		<-time.After(idle - 400*time.Microsecond + time.Duration(n%16)*50*time.Microsecond)
	}
}
