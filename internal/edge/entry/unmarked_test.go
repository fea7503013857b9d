package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// rawResponse is an answer as it arrives on the caller's connection.
type rawResponse struct {
	Status int
	Body   string
	// Marked is set when the answer has a length or chunks.
	Marked bool
	// Broken is set when the answer did not end in order.
	Broken bool
}

// callRaw sends a request on a connection of its own and reads the answer as its framing says.
func (s *setup) callRaw(t *testing.T, method, protocol string) rawResponse {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "%s / %s\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx", method, protocol)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return rawResponse{Broken: true}
	}
	body, err := io.ReadAll(resp.Body)
	return rawResponse{
		Status: resp.StatusCode, Body: string(body), Broken: err != nil,
		Marked: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
	}
}

// unmarked returns a responder whose answer has neither a length nor chunks and ends with its connection.
func unmarked(body string) responder {
	return func(w *bufio.Writer, r *http.Request) bool {
		writeUnmarked(w, "HTTP/1.1", r, body)
		return false
	}
}

func writeUnmarked(w io.Writer, protocol string, r *http.Request, body string) {
	_, _ = fmt.Fprintf(w, "%s 200 OK\r\nId: %s\r\n\r\n%s", protocol, r.Header.Get("Id"), body)
}

// newTargetProcess returns a target that serves its first connection by a function, which also receives the
// listener and may close it as a process that ends does.
func newTargetProcess(t *testing.T, serve func(target *fakeTarget, l net.Listener, c net.Conn)) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	target := &fakeTarget{addr: l.Addr().String(), closed: make(chan struct{}, 1)}
	go func() {
		if c, err := l.Accept(); err == nil {
			serve(target, l, c)
		}
	}()
	return target
}

// newCrashingTarget returns a target whose process ends with its first answer, which has neither a
// length nor chunks: nothing listens at its address once the connection is closed.
func newCrashingTarget(t *testing.T, body string) *fakeTarget {
	t.Helper()
	return newTargetProcess(t, func(target *fakeTarget, l net.Listener, c net.Conn) {
		target.serve(c, func(w *bufio.Writer, r *http.Request) bool {
			writeUnmarked(w, "HTTP/1.1", r, body)
			_ = l.Close()
			return false
		})
	})
}

func plainStream(r *match.Route) { r.Stream = true }

func resumableRoute(r *match.Route) {
	r.Stream, r.Resumable, r.Repeat, r.Attempts = true, true, retry.Safe, 2
}

func safeRoute(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 2 }

// brokenEvents are what a stream that breaks off inside an event sends after its last whole event.
var brokenEvents = map[string]string{
	"inside a line":             "id: 4\ndata: pie",
	"after the line of the id":  "id: 4\n",
	"inside the first line":     "id",
	"before the blank line":     "id: 4\ndata: piece 4\n",
	"before the blank line, CR": "id: 4\r\ndata: piece 4\r\n",
	"inside the blank line, CR": "id: 4\r\ndata: piece 4\r\n\r",
}

// Guards against a broken stream that ends as complete: a stream without length or chunks whose target
// closes the connection inside an event.
func TestStreamClosedInsideAnEventIsNotComplete(t *testing.T) {
	for name, rest := range brokenEvents {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, newRoute(plainStream), newFakeTarget(t, unmarked(eventText(1, 3)+rest)))
			got := s.callRaw(t, "POST", "HTTP/1.1")
			if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, 3), Broken: true}, got); diff != "" {
				t.Error(diff)
			}
			s.server.Close()
			if diff := cmp.Diff([]string{"ok false"}, s.finder.reports); diff != "" {
				t.Errorf("reports on the target: %s", diff)
			}
		})
	}
}

// Guards against a broken event, or a gap, in a stream that goes on at another target after it was closed
// inside an event without a marked end.
func TestStreamClosedInsideAnEventIsResumed(t *testing.T) {
	for name, rest := range brokenEvents {
		t.Run(name, func(t *testing.T) {
			second := newFakeTarget(t, streamEvents(4, 5, 5))
			s := newSetup(t, newRoute(resumableRoute), newFakeTarget(t, unmarked(eventText(1, 3)+rest)), second)
			got := s.callRaw(t, "POST", "HTTP/1.1")
			if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, 5)}, got); diff != "" {
				t.Error(diff)
			}
			if second.count() != 1 || second.headers[0].Get("After") != "3" {
				t.Errorf("the second target got %d requests, want one after event 3", second.count())
			}
			s.server.Close()
			if diff := cmp.Diff([]Ending{EndInsideEvent, EndMarked}, s.recorder.endings); diff != "" {
				t.Errorf("endings: %s", diff)
			}
		})
	}
}

// Guards against broken streams that end as complete although their framing is complete: the last event has
// no end.
func TestMarkedStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	s := newSetup(t, newRoute(plainStream), newFakeTarget(t, answer(200, "Content-Type: text/event-stream\r\n", eventText(1, 3)+"id: 4\n")))
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, 3), Marked: true, Broken: true}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against an end that the router marks and the target did not: the caller could no longer see that
// the answer may be broken.
func TestUnmarkedEndStaysUnmarked(t *testing.T) {
	long := strings.Repeat("x", maxBufferedAnswer+1)
	for _, c := range []struct {
		name  string
		route func(*match.Route)
		body  string
	}{
		{"stream", plainStream, eventText(1, 5)},
		{"stream that may be resumed", resumableRoute, eventText(1, 5)},
		{"stream with a comment at its end", plainStream, eventText(1, 5) + ": end\n"},
		{"plain answer", nil, "all of it"},
		{"plain answer that is empty", nil, ""},
		{"long plain answer", nil, long},
	} {
		t.Run(c.name, func(t *testing.T) {
			target, other := newFakeTarget(t, unmarked(c.body)), newFakeTarget(t, unmarked("other"))
			s := newSetup(t, newRoute(c.route), target, other)
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

// Guards against answers that are taken for complete because the target's process ended between two events,
// or in the middle of a plain answer, whose end nothing marks.
func TestUnmarkedAnswerOfATargetThatEndedIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name  string
		route func(*match.Route)
		body  string
		want  rawResponse
	}{
		{"stream", plainStream, eventText(1, 3), rawResponse{Status: 200, Body: eventText(1, 3), Broken: true}},
		{"stream that goes on elsewhere", resumableRoute, eventText(1, 3), rawResponse{Status: 200, Body: eventText(1, 5)}},
		{"plain answer", nil, "some of it", rawResponse{Status: 502, Marked: true}},
		{"plain answer that may be repeated", safeRoute, "some of it", rawResponse{Status: 200, Body: "all", Marked: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			second := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
				if r.Header.Get("After") != "" {
					return streamEvents(4, 5, 5)(w, r)
				}
				return answer(200, "", "all")(w, r)
			})
			s := newSetup(t, newRoute(c.route), newCrashingTarget(t, c.body), second)
			got := s.callRaw(t, "POST", "HTTP/1.1")
			if c.want.Body == "" {
				got.Body = ""
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against an unmarked stream without any event that ends as complete: nothing shows that the target
// had an answer.
func TestUnmarkedStreamWithoutEventsIsNotComplete(t *testing.T) {
	s := newSetup(t, newRoute(plainStream), newFakeTarget(t, unmarked("")))
	if got := s.callRaw(t, "POST", "HTTP/1.1"); got.Status != http.StatusBadGateway {
		t.Errorf("the caller got %+v, want 502", got)
	}
}

// Guards against a break that a caller takes for the end because its own answer has no marked end, as for
// callers of HTTP/1.0.
func TestBreakIsVisibleWithoutMarkedEnd(t *testing.T) {
	s := newSetup(t, newRoute(plainStream), newFakeTarget(t, streamEvents(1, 3, 5)))
	got := s.callRaw(t, "POST", "HTTP/1.0")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, 3), Broken: true}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a stream whose first part promised a marked end, and whose last part, of another target,
// has none: the router would mark an end that no target marked.
func TestResumedStreamWithoutMarkedEndIsNotComplete(t *testing.T) {
	s := newSetup(t, newRoute(resumableRoute), newFakeTarget(t, streamEvents(1, 3, 5)), newFakeTarget(t, unmarked(eventText(4, 5))))
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, 5), Marked: true, Broken: true}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against whole answers that are taken for broken because they have no length: those without a body,
// and those of targets that speak HTTP/1.0.
func TestWholeAnswersWithoutLength(t *testing.T) {
	for _, c := range []struct {
		name, method, head, body string
		want                     rawResponse
	}{
		{"HEAD", "HEAD", "HTTP/1.1 200 OK", "", rawResponse{Status: 200, Marked: true}},
		{"204", "POST", "HTTP/1.1 204 No Content", "", rawResponse{Status: 204, Marked: true}},
		{"HTTP/1.0", "POST", "HTTP/1.0 200 OK", "all of it", rawResponse{Status: 200, Body: "all of it"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
				_, _ = fmt.Fprintf(w, "%s\r\nId: %s\r\n\r\n%s", c.head, r.Header.Get("Id"), c.body)
				return false
			})
			s := newSetup(t, newRoute(nil), target)
			got := s.callRaw(t, c.method, "HTTP/1.1")
			got.Marked = got.Marked || c.method == "HEAD"
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
