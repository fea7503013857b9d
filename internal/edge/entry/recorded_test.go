package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/match"
)

// answerLine is what a log line holds about an answer.
type answerLine struct {
	Msg     string
	Framing string
	Ending  string
	Bytes   int
	Events  int
}

// answerLog collects the log lines about requests and their attempts.
type answerLog struct {
	mu    sync.Mutex
	lines []answerLine
	// ended receives a value for each line of a request.
	ended chan struct{}
}

// Write implements io.Writer for a JSON logger, which writes one line at a time.
func (l *answerLog) Write(p []byte) (int, error) {
	var line answerLine
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch line.Msg {
	case "attempt failed":
		l.lines = append(l.lines, line)
	case "request":
		l.lines = append(l.lines, line)
		l.ended <- struct{}{}
	}
	return len(p), nil
}

// recorded is what a router records of a request.
type recorded struct {
	// Reports are those on the target's health; Broken and Served count reports to the guard.
	Reports        []string
	Broken, Served int
	Lines          []answerLine
}

// record sends a request and returns what is recorded of it.
func record(t *testing.T, s *setup) recorded {
	t.Helper()
	lines, guard := &answerLog{ended: make(chan struct{}, 1)}, &fakeGuard{}
	s.handler.Logger, s.handler.Guard = log.NewJSONLogger(lines), guard
	s.callRaw(t, "POST", "HTTP/1.1")
	<-lines.ended
	return recorded{Reports: s.finder.reports, Broken: guard.broke, Served: guard.served, Lines: lines.lines}
}

// broken returns a responder whose answer breaks off after its text, which follows the request's id.
func broken(text string) responder {
	return func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), text)
		return false
	}
}

// newResettingTarget returns a target that resets each connection once the caller of the router has received
// the events of its unmarked answer.
func newResettingTarget(t *testing.T, body string) *fakeTarget {
	t.Helper()
	return newTargetProcess(t, func(target *fakeTarget, _ net.Listener, c net.Conn) {
		target.serve(c, func(w *bufio.Writer, r *http.Request) bool {
			writeUnmarked(w, "HTTP/1.1", r, body)
			_ = w.Flush()
			// The kernel delivers what it holds before the reset.
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		})
	})
}

// chunk returns the headers of an answer in chunks, and one of them of which bytes may be missing.
func chunk(body string, missing int) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body)+missing, body)
}

// sized returns the headers of an answer with a length, and a body of which bytes may be missing.
func sized(body string, missing int) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+missing, body)
}

// Guards against broken answers that count as a success of their target, or as none of its crashes, and whose
// log lines don't show how they ended.
func TestEndsOfAnswersAreRecorded(t *testing.T) {
	const part, rest = "some of it", "id: 4\n"
	events, long := eventText(1, 3), strings.Repeat("x", maxBufferedAnswer+1)
	attempt := func(framing, ending string, bytes, events int) []answerLine {
		return []answerLine{{"attempt failed", framing, ending, bytes, events}, {"request", framing, ending, bytes, events}}
	}
	request := func(framing, ending string, bytes, events int) []answerLine {
		return []answerLine{{"request", framing, ending, bytes, events}}
	}
	failure := func(lines []answerLine) recorded {
		return recorded{Reports: []string{"ok false"}, Broken: 1, Lines: lines}
	}
	for _, c := range []struct {
		name   string
		route  func(*match.Route)
		target func(*testing.T) *fakeTarget
		want   recorded
	}{
		{"stream inside an event", plainStream, scripted(unmarked(events + rest)), failure(attempt("unmarked", "inside_event", len(events+rest), 3))},
		{"stream of a target that ended", plainStream, crashing(events), failure(attempt("unmarked", "target_gone", len(events), 3))},
		{"stream without events", plainStream, scripted(unmarked("")), failure(attempt("unmarked", "without_event", 0, 0))},
		{"stream, reset", plainStream, resetting(events), failure(attempt("unmarked", "broken", len(events), 3))},
		{"stream inside a chunk", plainStream, scripted(broken(chunk(events+rest, 1))), failure(attempt("chunks", "broken", len(events+rest), 3))},
		{"stream in whole chunks, inside an event", plainStream, scripted(broken(chunk(events+rest, 0) + "\r\n0\r\n\r\n")), failure(attempt("chunks", "inside_event", len(events+rest), 3))},
		{"stream short of its length", plainStream, scripted(broken(sized(events, 1))), failure(attempt("length", "broken", len(events), 3))},
		{"plain, short of its length", nil, scripted(broken(sized(part, 1))), failure(attempt("length", "broken", len(part), 0))},
		{"plain, of a target that ended", nil, crashing(part), failure(attempt("unmarked", "target_gone", len(part), 0))},
		{"plain, reset", nil, resetting(part), failure(attempt("unmarked", "broken", len(part), 0))},
		{"long, short of its length", nil, scripted(broken(sized(long, 1))), failure(request("length", "broken", len(long), 0))},
		{"long, of a target that ended", nil, crashing(long), failure(request("unmarked", "target_gone", len(long), 0))},
		{"whole stream", plainStream, scripted(streamEvents(1, 3, 3)), recorded{Reports: []string{"ok true"}, Served: 1, Lines: request("chunks", "marked", len(events), 3)}},
		{"whole plain answer", nil, scripted(answer(200, "", part)), recorded{Reports: []string{"ok true"}, Served: 1, Lines: request("length", "marked", len(part), 0)}},
		{"unmarked stream", plainStream, scripted(unmarked(events)), recorded{Reports: []string{"ok true"}, Lines: request("unmarked", "unmarked", len(events), 3)}},
		{"unmarked plain answer", nil, scripted(unmarked(part)), recorded{Reports: []string{"ok true"}, Lines: request("unmarked", "unmarked", len(part), 0)}},
		{"unmarked long answer", nil, scripted(unmarked(long)), recorded{Reports: []string{"ok true"}, Lines: request("unmarked", "unmarked", len(long), 0)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, record(t, newSetup(t, newRoute(c.route), c.target(t)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// scripted, crashing and resetting return functions that start a target.
func scripted(serve responder) func(*testing.T) *fakeTarget {
	return func(t *testing.T) *fakeTarget { return newFakeTarget(t, serve) }
}

func crashing(body string) func(*testing.T) *fakeTarget {
	return func(t *testing.T) *fakeTarget { return newCrashingTarget(t, body) }
}

func resetting(body string) func(*testing.T) *fakeTarget {
	return func(t *testing.T) *fakeTarget { return newResettingTarget(t, body) }
}

// Guards against a broken answer that is not recorded because its request goes on at another target.
func TestBrokenAnswerOfARequestThatGoesOnIsRecorded(t *testing.T) {
	events := eventText(1, 3)
	s := newSetup(t, newRoute(resumableRoute), newFakeTarget(t, unmarked(events+"id: 4\n")), newFakeTarget(t, streamEvents(4, 5, 5)))
	want := recorded{Reports: []string{"ok false", "ok true"}, Broken: 1, Served: 1, Lines: []answerLine{
		{"attempt failed", "unmarked", "inside_event", len(events + "id: 4\n"), 3}, {"request", "chunks", "marked", len(eventText(4, 5)), 2},
	}}
	if diff := cmp.Diff(want, record(t, s)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a request that crashes one target after the other and is not quarantined, because the targets
// mark no end of their answers and close them in order.
func TestCrashesWithUnmarkedAnswersQuarantineTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		route func(*match.Route)
		body  string
	}{"stream": {resumableRoute, eventText(1, 3)}, "plain": {safeRoute, "some of it"}} {
		t.Run(name, func(t *testing.T) {
			const crashes = 3
			var targets []*fakeTarget
			for range crashes {
				targets = append(targets, newCrashingTarget(t, c.body))
			}
			s := newSetup(t, newRoute(func(r *match.Route) { c.route(r); r.Attempts = crashes }), targets...)
			s.callRaw(t, "POST", "HTTP/1.1")
			request := ident.NewFingerprint("w", "h", ident.HashRequest("POST", "/", []byte("x")))
			deadline := time.After(5 * time.Second)
			for s.handler.Guard.Quarantine([]crash.Trait{crash.Request(request)}).Left == 0 {
				select {
				case <-deadline:
					t.Fatalf("a request under which %d targets crashed is not quarantined", crashes)
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
}

// Guards against the line of an attempt without an answer that shows the answer of the attempt before.
func TestAttemptWithoutAnswerIsNotRecordedWithAnother(t *testing.T) {
	text := eventText(1, 3) + "id: 4\n"
	s := newSetup(t, newRoute(resumableRoute), newFakeTarget(t, unmarked(text)), newFakeTarget(t, closeUnanswered))
	got := record(t, s)
	want := []answerLine{{"attempt failed", "unmarked", "inside_event", len(text), 3}, {Msg: "attempt failed"}}
	if diff := cmp.Diff(want, got.Lines[:min(2, len(got.Lines))]); diff != "" {
		t.Error(diff)
	}
}
