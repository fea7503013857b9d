package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/reach"
	"valescale/internal/edge/relay"
	"valescale/internal/rule/match"
)

// Guards against a stream that is given up halfway and ends as complete: a caller that ends its own side of
// the connection after its request still reads the answer.
func TestStreamGivenUpForAHalfClosedCallerIsNotComplete(t *testing.T) {
	release := make(chan struct{})
	target := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		event := eventText(1, 1)
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		_ = w.Flush()
		<-release
		return false
	})
	s := newSetup(t, newRoute(plainStream), target)
	defer close(release)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len(eventText(1, 1)))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the stream ended as complete after event 1 and %q", rest)
	}
}

// Guards against whole answers that are taken for broken because they are not events: a target may answer a
// request of a stream route with another type of content, and without a length.
func TestUnmarkedAnswerOfAnotherTypeOnAStreamRoute(t *testing.T) {
	target := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: application/json\r\n\r\n{}", r.Header.Get("Id"))
		return false
	})
	s := newSetup(t, newRoute(plainStream), target)
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: "{}"}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a stream that ends in order although an event is known to be missing: it broke off inside
// that event, and the target where it was resumed closed without any.
func TestStreamResumedWithoutTheBrokenEventIsNotComplete(t *testing.T) {
	second := newFakeTarget(t, unmarked(""))
	s := newSetup(t, newRoute(resumableRoute), newFakeTarget(t, unmarked(eventText(1, 3)+"id: 4\ndata: pie")), second)
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, 3), Broken: true}, got); diff != "" {
		t.Error(diff)
	}
	if second.count() != 1 {
		t.Errorf("the second target got %d requests, want 1", second.count())
	}
}

// Guards against a broken event that is taken for a comment: lines may end with a carriage return only.
func TestStreamClosedInsideAnEventAfterACommentIsNotComplete(t *testing.T) {
	const whole = "id: 1\rdata: piece 1\r\r"
	s := newSetup(t, newRoute(plainStream), newFakeTarget(t, unmarked(whole+": note\rid: 2\rdata: pie")))
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: whole, Broken: true}, got); diff != "" {
		t.Error(diff)
	}
}

// newLeavingTarget returns a target that accepts no connection any more while it finishes its last answer,
// which says that it is leaving and has neither a length nor chunks.
func newLeavingTarget(t *testing.T, body string) *fakeTarget {
	t.Helper()
	return newTargetProcess(t, func(target *fakeTarget, l net.Listener, c net.Conn) {
		_ = l.Close()
		target.serve(c, func(w *bufio.Writer, r *http.Request) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), body)
			return false
		})
	})
}

// Guards against whole answers that are taken for broken, and repeated, because their target is leaving and
// accepts no connection any more.
func TestUnmarkedAnswerOfALeavingTargetIsDelivered(t *testing.T) {
	for _, c := range []struct {
		name  string
		route func(*match.Route)
		body  string
	}{
		{"plain answer", nil, "all of it"},
		{"plain answer that may be repeated", safeRoute, "all of it"},
		{"stream", plainStream, eventText(1, 3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			other := newFakeTarget(t, unmarked("other"))
			s := newSetup(t, newRoute(c.route), newLeavingTarget(t, c.body), other)
			got := s.callRaw(t, "POST", "HTTP/1.1")
			if diff := cmp.Diff(rawResponse{Status: 200, Body: c.body}, got); diff != "" {
				t.Error(diff)
			}
			if other.count() != 0 {
				t.Error("a whole answer was requested again")
			}
		})
	}
}

// Guards against a target that counts as failing for a whole answer without a marked end, because another
// target had begun the stream with one.
func TestTargetOfAnUnmarkedRestIsNotReportedAsFailing(t *testing.T) {
	s := newSetup(t, newRoute(resumableRoute), newFakeTarget(t, streamEvents(1, 3, 5)), newFakeTarget(t, unmarked(eventText(4, 5))))
	_ = s.callRaw(t, "POST", "HTTP/1.1")
	// The last report follows the end of the answer.
	s.server.Close()
	if diff := cmp.Diff([]string{"ok false", "ok true"}, s.finder.reported()); diff != "" {
		t.Error(diff)
	}
}

// Guards against whole answers that are held until their deadline: the path to their target is lost, with no
// answer to connections, when they end without a marked end.
func TestCheckOfALostPathDoesNotHoldAnAnswer(t *testing.T) {
	s := newSetup(t, newRoute(nil), newFakeTarget(t, unmarked("all of it")))
	var dials atomic.Int32
	dialer, closeDialer := reach.New(reach.Parts{
		Timeout: relay.DefaultConnLimits.Dial, Logger: log.NewNopLogger(), Clock: time.Now,
		Direct: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		},
	})
	t.Cleanup(closeDialer)
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, dialer)
	t.Cleanup(closeConns)
	s.handler.Sender = conns
	began := time.Now()
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: "all of it"}, got); diff != "" {
		t.Error(diff)
	}
	// The deadline of the route is two seconds.
	const limit = 4 * 250 * time.Millisecond
	if took := time.Since(began); took > limit {
		t.Errorf("the caller waited for %s, want at most %s", took, limit)
	}
}

// Guards against a crash that is taken for the end of an answer because the target's process still listens
// for a moment: the connection of the check is accepted by the kernel and reset at once.
func TestTargetThatEndsDuringTheCheckOfItsAnswer(t *testing.T) {
	target := newTargetProcess(t, func(target *fakeTarget, l net.Listener, c net.Conn) {
		target.serve(c, unmarked(eventText(1, 3)))
		check, err := l.Accept()
		if err != nil {
			return
		}
		_ = check.(*net.TCPConn).SetLinger(0)
		_ = check.Close()
		_ = l.Close()
	})
	s := newSetup(t, newRoute(plainStream), target)
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, 3), Broken: true}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against whole events that a caller loses to the reset of its connection: what was sent before the
// break must arrive, also at a caller that reads it later.
func TestBreakWithoutMarkedEndKeepsWholeEvents(t *testing.T) {
	text := eventText(1, 8000)
	s := newSetup(t, newRoute(plainStream), newFakeTarget(t, unmarked(text+"id: 8001\ndata: pie")))
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
	if err != nil {
		t.Fatal(err)
	}
	// The caller does not read while the stream is sent and breaks.
	<-time.After(500 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if len(body) != len(text) || err == nil {
		t.Errorf("the caller got %d bytes of %d, and error %v, want all events and an error", len(body), len(text), err)
	}
}

// Guards against the last small part of a long answer that a caller loses when the target's connection breaks after it: it stayed in
// the buffer of the HTTP server.
func TestBreakOfALongAnswerKeepsItsLastPart(t *testing.T) {
	long, last := strings.Repeat("x", 2*maxBufferedAnswer), "the last part"
	target := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(long)+2*len(last), long)
		_ = w.Flush()
		<-time.After(100 * time.Millisecond)
		_, _ = w.WriteString(last)
		return false
	})
	got, _ := newSetup(t, newRoute(nil), target).call(t, "POST", "/x", "")
	if !got.Truncated || got.Body != long+last {
		t.Errorf("%d bytes of %d, truncated %t", len(got.Body), len(long+last), got.Truncated)
	}
}

// Guards against an empty answer with status 200 for a caller that ends its own side of the connection before
// its answer: the server writes one for a handler that returns without an answer.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s := newSetup(t, newRoute(nil), newFakeTarget(t, func(*bufio.Writer, *http.Request) bool {
		<-release
		return false
	}))
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); len(got) > 0 {
		t.Errorf("the caller got %q and error %v, want no answer", got, err)
	}
}

// Guards against a router whose own end is taken for the end of an answer: the kernel closes the connections of
// a process that ends, which must not look like the end that an answer without a marked end has.
func TestEndOfTheRouterIsNoEndOfAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name, protocol string
		target         func(release <-chan struct{}) responder
	}{
		{"unmarked answer", "HTTP/1.1", func(release <-chan struct{}) responder {
			return func(w *bufio.Writer, r *http.Request) bool {
				writeUnmarked(w, "HTTP/1.1", r, eventText(1, 3))
				_ = w.Flush()
				<-release
				return false
			}
		}},
		{"caller of HTTP/1.0", "HTTP/1.0", func(release <-chan struct{}) responder {
			return func(w *bufio.Writer, r *http.Request) bool {
				streamEvents(1, 3, 5)(w, r)
				_ = w.Flush()
				<-release
				return false
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			s := newSetup(t, newRoute(plainStream), newFakeTarget(t, c.target(release)))
			defer close(release)
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST / %s\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx", c.protocol)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, len(eventText(1, 3)))); err != nil {
				t.Fatal(err)
			}
			s.server.CloseClientConnections()
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the answer ended in order after event 3 and %q", rest)
			}
		})
	}
}
