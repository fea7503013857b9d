package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

func TestForwardedUnchanged(t *testing.T) {
	target := newFakeTarget(t, answer(201, "Signed: yes\r\nConnection: x-hop\r\nX-Hop: 1\r\n", "whole"))
	s := newSetup(t, newRoute(nil), target)
	answer, header := s.call(t, "PATCH", "/a%2Fb/c?q=%20&q", "body")
	if diff := cmp.Diff(response{Status: 201, Body: "whole"}, answer); diff != "" {
		t.Error(diff)
	}
	if header.Get("Signed") != "yes" || header.Get("X-Hop") != "" {
		t.Errorf("answer headers: %v", header)
	}
	if diff := cmp.Diff([]string{"PATCH /a%2Fb/c?q=%20&q"}, target.requestLines); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"body"}, target.bodies); diff != "" {
		t.Error(diff)
	}
	targetHeader := target.headers[0]
	if targetHeader.Get("Key") != "" || targetHeader.Get("Target") != "t0" || targetHeader.Get("Workspace") != "w" || targetHeader.Get("Id") != "caller-1" {
		t.Errorf("target headers: %v", targetHeader)
	}
}

func TestRouterAnswers(t *testing.T) {
	table, err := match.Compile(match.Config{Routes: []match.Route{newRoute(func(r *match.Route) { r.Prefix = "/a/" })}, RequireKeys: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		rules  rules
		path   string
		status int
	}{
		{"no configuration", rules{}, "/a/", 503},
		{"no route", rules{table: table, fresh: true}, "/b/", 404},
		{"no route, stale configuration", rules{table: table}, "/b/", 503},
		{"unknown key", rules{table: table, fresh: true}, "/a/", 401},
		{"unknown key, stale configuration", rules{table: table}, "/a/", 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSetupWith(t, c.rules)
			answer, header := s.call(t, "GET", c.path, "")
			if answer.Status != c.status {
				t.Errorf("status %d, want %d", answer.Status, c.status)
			}
			if (c.status == 503) != (header.Get("Retry-After") != "") {
				t.Errorf("Retry-After is %q", header.Get("Retry-After"))
			}
		})
	}
}

func TestRetryAfterFailure(t *testing.T) {
	safe := func(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 2 }
	reject := answer(503, "Not-Run: 1\r\n", "")
	fail := answer(500, "", "failed")
	ok := answer(200, "", "fine")
	for _, c := range []struct {
		name   string
		route  func(*match.Route)
		budget int
		serve  []responder
		want   response
		runs   []int
	}{
		{"mutating, rejected: retried at another target", nil, 9, []responder{reject, ok}, response{Status: 200, Body: "fine"}, []int{1, 1}},
		{"mutating, answer lost: not retried", nil, 9, []responder{closeUnanswered, ok}, response{Status: 502}, []int{1, 0}},
		{"mutating, failed: not retried", nil, 9, []responder{fail, ok}, response{Status: 500, Body: "failed"}, []int{1, 0}},
		{"safe, answer lost: retried", safe, 9, []responder{closeUnanswered, ok}, response{Status: 200, Body: "fine"}, []int{1, 1}},
		{"safe, failed: retried", safe, 9, []responder{fail, ok}, response{Status: 200, Body: "fine"}, []int{1, 1}},
		{"safe, failed twice: maximum attempts reached", safe, 9, []responder{fail, fail, ok}, response{Status: 500, Body: "failed"}, []int{1, 1, 0}},
		{"safe, failed: no retry budget", safe, 0, []responder{fail, ok}, response{Status: 500, Body: "failed"}, []int{1, 0}},
		{"rejected by all", nil, 9, []responder{reject, reject}, response{Status: 503}, []int{1, 1}},
		{"safe, rejected after a lost answer: outcome unknown", safe, 9, []responder{closeUnanswered, reject}, response{Status: 502}, []int{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var targets []*fakeTarget
			for _, serve := range c.serve {
				targets = append(targets, newFakeTarget(t, serve))
			}
			s := newSetup(t, newRoute(c.route), targets...)
			s.budget.left = c.budget
			answer, _ := s.call(t, "POST", "/", "x")
			if c.want.Body == "" {
				answer.Body = ""
			}
			if diff := cmp.Diff(c.want, answer); diff != "" {
				t.Error(diff)
			}
			var runs []int
			for _, target := range targets {
				runs = append(runs, target.count())
			}
			if diff := cmp.Diff(c.runs, runs); diff != "" {
				t.Errorf("runs: %s", diff)
			}
		})
	}
}

// A target that cannot be reached has not run the request, so that even a request that must not be
// repeated is sent to another target.
func TestUnreachableTarget(t *testing.T) {
	reachable := newFakeTarget(t, answer(200, "", "fine"))
	s := newSetup(t, newRoute(nil), &fakeTarget{addr: "127.0.0.1:1"}, reachable)
	answer, _ := s.call(t, "POST", "/", "x")
	if diff := cmp.Diff(response{Status: 200, Body: "fine"}, answer); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"unreachable", "ok true"}, s.finder.reports); diff != "" {
		t.Error(diff)
	}
}

func TestStreams(t *testing.T) {
	stream := func(r *match.Route) { r.Stream = true }
	resumable := func(r *match.Route) { r.Stream, r.Resumable, r.Repeat, r.Attempts = true, true, retry.Safe, 2 }
	for _, c := range []struct {
		name  string
		route func(*match.Route)
		serve []responder
		want  response
		after string
	}{
		{"complete", stream, []responder{streamEvents(1, 5, 5)}, response{Status: 200, Body: eventText(1, 5)}, ""},
		{"truncated", stream, []responder{streamEvents(1, 3, 5), streamEvents(1, 5, 5)}, response{Status: 200, Body: eventText(1, 3), Truncated: true}, ""},
		{"truncated before its first event", stream, []responder{streamEvents(1, 0, 5), streamEvents(1, 5, 5)}, response{Status: 502}, ""},
		{"resumed", resumable, []responder{streamEvents(1, 3, 5), streamEvents(4, 5, 5)}, response{Status: 200, Body: eventText(1, 5)}, "3"},
		{"resumed with events already sent", resumable, []responder{streamEvents(1, 3, 5), streamEvents(2, 5, 5)}, response{Status: 200, Body: eventText(1, 5)}, "3"},
		{"resumed at a target that fails", resumable, []responder{streamEvents(1, 3, 5), answer(500, "", "no")}, response{Status: 200, Body: eventText(1, 3), Truncated: true}, "3"},
		{"restarted", resumable, []responder{closeUnanswered, streamEvents(1, 5, 5)}, response{Status: 200, Body: eventText(1, 5)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var targets []*fakeTarget
			for _, serve := range c.serve {
				targets = append(targets, newFakeTarget(t, serve))
			}
			s := newSetup(t, newRoute(c.route), targets...)
			answer, _ := s.call(t, "POST", "/", "x")
			if c.want.Body == "" {
				answer.Body = ""
			}
			if diff := cmp.Diff(c.want, answer); diff != "" {
				t.Error(diff)
			}
			last := targets[len(targets)-1]
			if last.count() > 0 {
				if diff := cmp.Diff(c.after, last.headers[0].Get("After")); diff != "" {
					t.Errorf("resumed after: %s", diff)
				}
			}
		})
	}
}

// A request that may be repeated is retried at another target if the first one sends nothing.
func TestSilentTarget(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hanging := newFakeTarget(t, func(*bufio.Writer, *http.Request) bool {
		<-release
		return false
	})
	healthy := newFakeTarget(t, answer(200, "", "fine"))
	s := newSetup(t, newRoute(func(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 2 }), hanging, healthy)
	answer, _ := s.call(t, "GET", "/", "")
	if diff := cmp.Diff(response{Status: 200, Body: "fine"}, answer); diff != "" {
		t.Error(diff)
	}
}

// The final answer is sent as soon as the route's timeout expires.
func TestTimeLimit(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hanging := newFakeTarget(t, func(*bufio.Writer, *http.Request) bool {
		<-release
		return false
	})
	s := newSetup(t, newRoute(func(r *match.Route) { r.Timeout = 80 * time.Millisecond }), hanging)
	answer, _ := s.call(t, "POST", "/", "x")
	if answer.Status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504: the request may have run", answer.Status)
	}
}

// An answer to no request, or to an earlier one, must not be forwarded.
func TestMismatchedAnswers(t *testing.T) {
	var once sync.Once
	extraAnswer := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
		once.Do(func() { writeResponse(w, "somebody-else", 200, "", "foreign") })
		writeResponse(w, r.Header.Get("Id"), 200, "", "own")
		return true
	})
	s := newSetup(t, newRoute(nil), extraAnswer)
	for range 2 {
		answer, _ := s.call(t, "POST", "/", "x")
		if diff := cmp.Diff(response{Status: 200, Body: "own"}, answer); diff != "" {
			t.Error(diff)
		}
	}
	malformed := newFakeTarget(t, func(w *bufio.Writer, _ *http.Request) bool {
		_, _ = w.WriteString("\x16\x03\x01 this is no answer\r\n\r\n")
		return false
	})
	s = newSetup(t, newRoute(nil), malformed)
	if answer, _ := s.call(t, "POST", "/", "x"); answer.Status != http.StatusBadGateway {
		t.Errorf("status %d for a malformed response, want 502", answer.Status)
	}
}

// An answer without a length ends with the connection, which must not be reused, and reaches the caller in
// the same way.
func TestAnswerWithoutLength(t *testing.T) {
	target := newFakeTarget(t, unmarked("all of it"))
	s := newSetup(t, newRoute(nil), target)
	for range 2 {
		got := s.callRaw(t, "POST", "HTTP/1.1")
		if diff := cmp.Diff(rawResponse{Status: 200, Body: "all of it"}, got); diff != "" {
			t.Error(diff)
		}
	}
}

// A caller's disconnect cancels the request at its target.
func TestCallerDisconnects(t *testing.T) {
	started := make(chan struct{})
	hold := make(chan struct{})
	defer close(hold)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	readErr := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			readErr <- err
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		if _, err := http.ReadRequest(reader); err != nil {
			readErr <- err
			return
		}
		close(started)
		_, err = reader.ReadByte()
		readErr <- err
	}()
	s := newSetup(t, newRoute(nil), &fakeTarget{addr: l.Addr().String()})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "GET", s.url+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "caller-1")
	r.Header.Set("Key", "k")
	go func() {
		<-started
		cancel()
	}()
	if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
		_ = resp.Body.Close()
		t.Fatal("a disconnected caller received an answer")
	}
	select {
	case err := <-readErr:
		if err == nil {
			t.Error("the target received another byte")
		}
	case <-time.After(time.Second):
		t.Error("the target connection is still open a second after the caller disconnected")
	}
}

// A stream of a route without a gap objective has no event timeout.
func TestStreamWithoutGapObjective(t *testing.T) {
	first, second := newFakeTarget(t, streamEvents(1, 5, 5)), newFakeTarget(t, streamEvents(1, 5, 5))
	s := newSetup(t, newRoute(func(r *match.Route) {
		r.Stream, r.Resumable, r.Repeat, r.Attempts, r.GapObjective = true, true, retry.Safe, 2, 0
	}), first, second)
	answer, _ := s.call(t, "POST", "/", "x")
	if diff := cmp.Diff(response{Status: 200, Body: eventText(1, 5)}, answer); diff != "" {
		t.Error(diff)
	}
	if second.count() != 0 {
		t.Error("a healthy stream was retried at a second target")
	}
}

// The answer to HEAD has the Content-Length of the target and no body.
func TestHead(t *testing.T) {
	target := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 42\r\n\r\n", r.Header.Get("Id"))
		return true
	})
	s := newSetup(t, newRoute(nil), target)
	answer, header := s.call(t, "HEAD", "/", "")
	if diff := cmp.Diff(response{Status: 200}, answer); diff != "" {
		t.Error(diff)
	}
	if header.Get("Content-Length") != "42" {
		t.Errorf("Content-Length is %q, want 42", header.Get("Content-Length"))
	}
}

// The cache holder's address is sent only to engines that can copy cached prompt prefixes.
func TestHolderSentOnlyToCopyingEngines(t *testing.T) {
	for _, copies := range []bool{true, false} {
		target := newFakeTarget(t, answer(200, "", "fine"))
		table, err := match.Compile(match.Config{
			Routes: []match.Route{newRoute(nil)}, Limits: match.Limits{BodyBytes: 1 << 20},
			Services: []match.Service{{Name: "s", CopiesPrefixes: copies}},
		})
		if err != nil {
			t.Fatal(err)
		}
		s := newSetupWith(t, rules{table: table, fresh: true}, target)
		s.finder.holder = &route.Target{ID: "other", Addr: "10.0.0.9:8"}
		if answer, _ := s.call(t, "POST", "/", "x"); answer.Status != http.StatusOK {
			t.Fatalf("status %d", answer.Status)
		}
		want := ""
		if copies {
			want = "10.0.0.9:8"
		}
		if diff := cmp.Diff(want, target.headers[0].Get("Holder")); diff != "" {
			t.Errorf("copiesCache %v: %s", copies, diff)
		}
	}
}

// A request whose header exceeds the configured limit must reach no target.
func TestHeaderLimit(t *testing.T) {
	target := newFakeTarget(t, answer(200, "", "fine"))
	const limit = 600
	table, err := match.Compile(match.Config{
		Routes: []match.Route{newRoute(nil)}, Limits: match.Limits{BodyBytes: 1 << 20, HeaderBytes: limit},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := newSetupWith(t, rules{table: table, fresh: true}, target)
	if answer, _ := s.call(t, "POST", "/", "x"); answer.Status != http.StatusOK {
		t.Errorf("a short header: status %d", answer.Status)
	}
	if answer, _ := s.call(t, "POST", "/?"+strings.Repeat("q", limit), "x"); answer.Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a long header: status %d", answer.Status)
	}
	if diff := cmp.Diff(1, len(target.headers)); diff != "" {
		t.Errorf("runs: %s", diff)
	}
}

// A router that is still without a configuration after its startup period rejects requests
// immediately, because it cannot estimate when it will have one.
func TestNoConfigurationRejectsImmediately(t *testing.T) {
	s := newSetupWith(t, rules{})
	s.handler.startedAt = time.Now().Add(-startupConfigTimeout)
	began := time.Now()
	got, header := s.call(t, "GET", "/", "")
	if took := time.Since(began); took > startupConfigTimeout/2 {
		t.Errorf("rejected after %v", took)
	}
	if got.Status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("got %+v with headers %v", got, header)
	}
}

// delayedRules are rules whose configuration becomes available some time after the start.
type delayedRules struct {
	rules
	availableAt time.Time
}

func (r delayedRules) Table() *match.Table {
	if time.Now().Before(r.availableAt) {
		return nil
	}
	return r.table
}

// A starting router holds requests for a part of their own deadline instead of rejecting requests
// that it could serve a moment later. This occurs when all boxes restart at once and callers
// connect before the routers have a configuration, which takes 0.5 s over a link of 10 Mbit/s.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	target := newFakeTarget(t, answer(200, "", "body"))
	for _, c := range []struct {
		name   string
		after  time.Duration
		waitMs string
		status int
	}{
		{"available within the request's maximum wait", 100 * time.Millisecond, "1000", 200},
		{"available after the maximum wait", 400 * time.Millisecond, "1000", 503},
		{"a request with a later deadline", 400 * time.Millisecond, "4000", 200},
	} {
		s := newSetup(t, newRoute(nil), target)
		s.handler.startedAt = time.Now()
		s.handler.Rules = delayedRules{rules{table: s.handler.Rules.Table(), fresh: true}, time.Now().Add(c.after)}
		s.handler.Dialect = deadlineDialect{waitMs: c.waitMs}
		if got, _ := s.call(t, "GET", "/", ""); got.Status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, got.Status, c.status)
		}
	}
}

// deadlineDialect is a dialect whose callers set a deadline in milliseconds.
type deadlineDialect struct {
	testDialect
	waitMs string
}

func (d deadlineDialect) Read(h http.Header) Call {
	call := d.testDialect.Read(h)
	call.Wait, _ = time.ParseDuration(d.waitMs + "ms")
	return call
}
