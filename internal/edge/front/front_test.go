package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/front"
	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/engine"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
)

const documents = `
[service judge]
kind = engine
[service board]
kind = plain
not_run_status = 429
[policy runs]
service = request.path == "/nowhere" ? request.path : request.path.startsWith("/v1/") ? "judge" : "board"
repeat = request.path == "/orders" ? "never" : request.path == "/pages" ? "safe" : "unstarted"
[workspace bogota]
policy = runs
token_sha256 = %s
`

// fakeParts is a fake of all dependencies of a Front.
type fakeParts struct {
	set     *policy.Set
	acquire error
	// acquireOnce means that only the calls of Acquire after the first one fail, relayOnce that only the first attempt
	// reaches the relay.
	acquireOnce, relayOnce bool
	admit                  error
	send                   error
	claimed                *claim.Ticket
	answer                 *claim.Answer
	claimErr               error
	// backoff is the remaining backoff of all targets.
	backoff time.Duration
	// relay, if set, sends all requests to one address, that of the target with the id "known".
	relay    *relay.Relay
	addr     string
	notices  []route.Notice
	released int
	sent     int
	acquired int
	// stops, if set, reports whether the router is stopping and ends before any request does.
	stops func() bool
	// memory is the account of the front; one of a megabyte if it is nil.
	memory *memory.Account
	// writeTime is the timeout of each write to a caller; the default if it is zero.
	writeTime time.Duration
	// quarantine is the remaining quarantine time of all requests. It starts after
	// quarantineAcquired calls of Acquire and quarantineSent attempts.
	quarantine         time.Duration
	quarantineAcquired int
	quarantineSent     int
	// cleared counts the answers that were reported to the guard.
	cleared int
}

func (p *fakeParts) InForce() config.InForce { return config.InForce{Revision: 1, Set: p.set} }

func (p *fakeParts) Acquire(context.Context, route.TargetRequest) (*route.Placement, error) {
	p.acquired++
	if p.acquireOnce && p.acquired == 1 {
		return &route.Placement{Target: route.Target{ID: "t", Addr: "127.0.0.1:1"}}, nil
	}
	return &route.Placement{Target: route.Target{ID: "t", Addr: "127.0.0.1:1"}}, p.acquire
}

func (p *fakeParts) Begin(context.Context, claim.Key, claim.BodyHash) (*claim.Ticket, *claim.Answer, error) {
	return p.claimed, p.answer, p.claimErr
}

func (p *fakeParts) Send(ctx context.Context, call relay.Call) (*relay.Reply, error) {
	p.sent++
	if p.relay != nil && (!p.relayOnce || p.sent == 1) {
		call.Addr = p.addr
		return p.relay.Send(ctx, call)
	}
	return nil, p.send
}

func (p *fakeParts) Release(*claim.Ticket) { p.released++ }

func (p *fakeParts) Admit(context.Context, policy.Workspace) error              { return p.admit }
func (p *fakeParts) Report(ident.TargetHash, bool)                              {}
func (p *fakeParts) ReportCancelled(ident.TargetHash)                           {}
func (p *fakeParts) BackoffLeft(route.Target) time.Duration                     { return p.backoff }
func (p *fakeParts) Finished(front.Finished)                                    {}
func (p *fakeParts) Finish(*claim.Ticket, claim.Answer)                         {}
func (p *fakeParts) Decided(policy.Workspace, *policy.Request, policy.Decision) {}

// ReportNotice records the notices.
func (p *fakeParts) ReportNotice(_ route.Target, n route.Notice) { p.notices = append(p.notices, n) }

// Target returns the target with the id "known", for resuming a stream.
func (p *fakeParts) Target(id ident.Target) (route.Target, bool) {
	return route.Target{ID: id, Incarnation: 1, Addr: p.addr}, id == "known"
}

func newFront(t *testing.T, p *fakeParts) http.Handler {
	t.Helper()
	docs, err := policy.Split("front.ini", fmt.Appendf(nil, documents, policy.HashToken("bogota")))
	if err != nil {
		t.Fatal(err)
	}
	set, problems := policy.Compile(docs)
	if problems != nil {
		t.Fatal(problems)
	}
	p.set = set
	limits := front.DefaultLimits
	limits.Body = 1000
	if p.writeTime > 0 {
		limits.WriteTime = p.writeTime
	}
	if p.memory == nil {
		p.memory = memory.New(memory.MB, time.Now)
	}
	before := p.memory.Usage().Used
	t.Cleanup(func() {
		if used := p.memory.Usage().Used; used != before {
			t.Errorf("%d bytes are kept after the last request, %d before the first", used, before)
		}
	})
	return front.New(front.Parts{
		Configs: p, Finder: p, Sender: p, Claims: p, Guard: fakeGuard{p}, Directory: p, Observer: p, Logger: log.NewNopLogger(),
		Keys: relay.Keys{make([]byte, 32)}, Clock: time.Now, Memory: p.memory,
		StopsBefore: func(time.Time) bool { return p.stops != nil && p.stops() },
	}, limits).Handler()
}

// fakeGuard quarantines all requests after a number of placements and attempts.
type fakeGuard struct{ *fakeParts }

func (p fakeGuard) Quarantine([]crash.Trait) crash.Quarantine {
	if p.acquired < p.quarantineAcquired || p.sent < p.quarantineSent {
		return crash.Quarantine{}
	}
	return crash.Quarantine{Left: p.quarantine}
}

func (p fakeGuard) Admit(traits []crash.Trait) crash.Quarantine { return p.Quarantine(traits) }

func (p fakeGuard) Abandon([]crash.Trait)                {}
func (p fakeGuard) ReportInterrupted(guard.Interruption) {}
func (p fakeGuard) Served([]crash.Trait)                 { p.cleared++ }

// call sends a request with the token of a workspace.
func call(handler http.Handler, method, path string, body io.Reader, token, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, body)
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", key)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

func TestErrorResponses(t *testing.T) {
	retryAfter := route.RetryAfter{Wait: 1500 * time.Millisecond}
	routeError := func(kind route.Kind) error { return fault.New("route.Acquire", kind, retryAfter) }
	claimError := func(kind claim.Kind) error { return fault.New("claim.Begin", kind, nil) }
	cases := []struct {
		name           string
		method         string
		path           string
		body           string
		key            string
		fakeParts      fakeParts
		status         int
		outcome        retry.Outcome
		code           front.Code
		wantRetryAfter string
	}{
		{"not JSON", "POST", front.ChatPath, "{", "", fakeParts{}, 400, retry.NotRun, front.CodeBadRequest, ""},
		{"no messages", "POST", front.ChatPath, `{"messages":[]}`, "", fakeParts{}, 400, retry.NotRun, front.CodeBadRequest, ""},
		{"too large", "POST", front.ChatPath, strings.Repeat("x", 1001), "", fakeParts{}, 413, retry.NotRun, front.CodeTooLarge, ""},
		{"missing resume id", "GET", front.ChatPath, "", "", fakeParts{}, 400, retry.NotRun, front.CodeBadResume, ""},
		{"no such service", "GET", "/nowhere", "", "", fakeParts{}, 404, retry.NotRun, front.CodeNoService, ""},
		{"rate limited", "GET", "/x", "", "", fakeParts{admit: routeError(route.Limited)}, 429, retry.NotRun, front.CodeRateLimited, "2"},
		{"queue full", "GET", "/x", "", "", fakeParts{acquire: routeError(route.Shed)}, 429, retry.NotRun, front.CodeOverloaded, "2"},
		{"queue timeout", "GET", "/x", "", "", fakeParts{acquire: routeError(route.TimedOut)}, 503, retry.NotRun, front.CodeWaitedTooLong, "2"},
		{"no target", "GET", "/x", "", "", fakeParts{acquire: routeError(route.NoTarget)}, 503, retry.NotRun, front.CodeNoTarget, "2"},
		{"connection lost after sending", "GET", "/x", "", "", fakeParts{send: fault.New("relay.Send", relay.Broken, nil)}, 502, retry.Unknown, front.CodeTargetFailed, ""},
		{"missing idempotency key", "POST", "/orders", "", "", fakeParts{}, 400, retry.NotRun, front.CodeKeyNeeded, ""},
		{"idempotency key of another body", "POST", "/orders", "", "k", fakeParts{claimErr: claimError(claim.Mismatch)}, 422, retry.NotRun, front.CodeKeyMismatch, ""},
		{"already running", "POST", "/orders", "", "k", fakeParts{claimErr: claimError(claim.Running)}, 409, retry.Unknown, front.CodeAlreadySent, "1"},
		{"store unavailable", "POST", "/orders", "", "k", fakeParts{claimErr: claimError(claim.Unavailable)}, 503, retry.NotRun, front.CodeStoreDown, "2"},
		{"store restored", "POST", "/orders", "", "k", fakeParts{claimErr: claimError(claim.Restored)}, 503, retry.NotRun, front.CodeStoreDown, "3"},
		{"stored answer", "POST", "/orders", "", "k", fakeParts{answer: &claim.Answer{Status: 201}}, 201, retry.Done, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := c.fakeParts
			w := call(newFront(t, &p), c.method, c.path, strings.NewReader(c.body), "bogota", c.key)
			got := []string{fmt.Sprint(w.Code), w.Header().Get(front.OutcomeHeader), w.Header().Get("Retry-After")}
			want := []string{fmt.Sprint(c.status), string(c.outcome), c.wantRetryAfter}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
			if !strings.Contains(w.Body.String(), string(c.code)) {
				t.Errorf("body %s does not contain code %s", w.Body, c.code)
			}
		})
	}
}

// unreadableBody is a request body that fails the test if it is read.
type unreadableBody struct{ t *testing.T }

func (b unreadableBody) Read([]byte) (int, error) {
	b.t.Error("the body of an unauthenticated request was read")
	return 0, io.EOF
}

func TestBodyOfUnauthenticatedRequestIsNotRead(t *testing.T) {
	handler := newFront(t, &fakeParts{})
	for _, path := range []string{front.ChatPath, "/orders"} {
		if w := call(handler, "POST", path, unreadableBody{t}, "nobody", "k"); w.Code != http.StatusUnauthorized {
			t.Errorf("%s: status %d", path, w.Code)
		}
	}
}

// A claim is released if the request was not sent, and kept if the request may have run.
func TestClaimAfterFailure(t *testing.T) {
	cases := []struct {
		name      string
		fakeParts fakeParts
		released  int
	}{
		{"no target", fakeParts{acquire: fault.New("route.Acquire", route.NoTarget, nil)}, 1},
		{"connection lost after sending", fakeParts{send: fault.New("relay.Send", relay.Broken, nil)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := c.fakeParts
			p.claimed = &claim.Ticket{}
			call(newFront(t, &p), "POST", "/orders", strings.NewReader("roses"), "bogota", "k")
			if p.released != c.released || p.sent > 1 {
				t.Errorf("claim released %d times after %d attempts, want %d releases after at most 1 attempt", p.released, p.sent, c.released)
			}
		})
	}
}

// A quarantined request takes no target and releases its claim. If an earlier request with its key
// was sent, the response states that it may have run, or is the stored answer. A request that is
// quarantined while it waits for a target is not sent, and one that is quarantined after its own
// attempt is not retried.
func TestQuarantinedRequests(t *testing.T) {
	lost := fault.New("relay.Send", relay.Broken, nil)
	running := fault.New("claim.Begin", claim.Running, nil)
	stored := &claim.Answer{Status: 201}
	type result struct {
		Status, Acquired, Sent, Released int
		RetryAfter                       string
	}
	cases := map[string]struct {
		path string
		p    fakeParts
		want result
	}{
		"from the start":             {"/orders", fakeParts{quarantine: 90 * time.Second}, result{503, 0, 0, 1, "90"}},
		"key already running":        {"/orders", fakeParts{quarantine: 90 * time.Second, claimErr: running}, result{409, 0, 0, 0, "1"}},
		"answer stored":              {"/orders", fakeParts{quarantine: 90 * time.Second, answer: stored}, result{201, 0, 0, 0, ""}},
		"while waiting for a target": {"/orders", fakeParts{quarantine: 90 * time.Second, quarantineAcquired: 1}, result{503, 1, 0, 1, "90"}},
		"by its own attempt":         {"/pages", fakeParts{quarantine: 90 * time.Second, quarantineSent: 1, send: lost}, result{502, 1, 1, 0, ""}},
	}
	for name, c := range cases {
		c.p.claimed = &claim.Ticket{}
		w := call(newFront(t, &c.p), "POST", c.path, strings.NewReader("body"), "bogota", "key")
		got := result{w.Code, c.p.acquired, c.p.sent, c.p.released, w.Header().Get("Retry-After")}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against a failure of a target that clears a request under which targets crash.
func TestOnlySuccessfulAnswersClearRequests(t *testing.T) {
	cleared := map[int]int{}
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusInternalServerError} {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(target.Close)
		sender, closeSender := relay.New(relay.DefaultLimits)
		t.Cleanup(closeSender)
		p := &fakeParts{relay: sender, addr: target.Listener.Addr().String()}
		call(newFront(t, p), "POST", "/board", strings.NewReader("body"), "bogota", "key")
		cleared[status] = p.cleared
	}
	if diff := cmp.Diff(map[int]int{http.StatusOK: 1, http.StatusBadRequest: 0, http.StatusInternalServerError: 0}, cleared); diff != "" {
		t.Error(diff)
	}
}

// resume requests to resume a stream of the target "known".
func resume(handler http.Handler) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, resumeRequest())
	return w
}

// resumeRequest returns a request that resumes a stream.
func resumeRequest() *http.Request {
	r := httptest.NewRequest("GET", front.ChatPath, nil)
	r.Header.Set("Authorization", "Bearer bogota")
	r.Header.Set("Last-Event-Id", relay.Keys{make([]byte, 32)}.Seal("bogota", relay.Token{Target: "known", Incarnation: 1, Stream: "s"}))
	return r
}

// A stream is not resumed during the backoff of its target: the response is an immediate error with
// a Retry-After delay.
func TestResumeDuringBackoff(t *testing.T) {
	p := fakeParts{backoff: 1500 * time.Millisecond}
	w := resume(newFront(t, &p))
	got := []string{fmt.Sprint(w.Code), w.Header().Get("Retry-After"), fmt.Sprint(p.sent)}
	if diff := cmp.Diff([]string{"503", "2", "0"}, got); diff != "" {
		t.Error(diff)
	}
}

// The leaving header of a target is processed also in the response to a resumed stream.
func TestResumeAtLeavingTarget(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.LeavingHeader, "true")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(target.Close)
	sender, closeSender := relay.New(relay.DefaultLimits)
	t.Cleanup(closeSender)
	p := fakeParts{relay: sender, addr: target.Listener.Addr().String()}
	if w := resume(newFront(t, &p)); w.Code != http.StatusOK {
		t.Fatalf("status %d, want 200", w.Code)
	}
	if len(p.notices) != 1 || !p.notices[0].Leaving {
		t.Errorf("notices %+v, want one of a leaving target", p.notices)
	}
}
