package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/reach"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/fake/listen"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/match"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/retry"
)

// testDialect is a dialect with short header names.
type testDialect struct{}

func (testDialect) Read(h http.Header) Call {
	return Call{
		ID: RequestID(h.Get("Id")), Key: h.Get("Key"), LastEvent: EventID(h.Get("Last-Event")), Resumes: RequestID(h.Get("Resumes")),
	}
}

func (testDialect) Write(h http.Header, _ Call, o TargetHeaders) {
	h.Del("Key")
	h.Set("Target", string(o.Target))
	h.Set("Workspace", string(o.Workspace))
	h.Set("Holder", o.Holder)
	if o.LastEvent != "" {
		h.Set("After", string(o.LastEvent))
	}
}

func (testDialect) Matches(h http.Header, call Call) bool { return h.Get("Id") == string(call.ID) }

func (testDialect) Reply(status int, h http.Header) Reply {
	reported, err := strconv.ParseFloat(h.Get("Pace"), 64)
	return Reply{
		Pace: pace.Pace(reported), HasPace: err == nil,
		NotRun: h.Get("Not-Run") != "", AddressReassigned: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "",
		Brittle: h.Get("Brittle") != "",
	}
}

// rules is a fixed configuration that is fresh or stale.
type rules struct {
	table *match.Table
	fresh bool
	// version is that of all targets; outdated is set if it is not confirmed.
	version  ident.Version
	outdated *atomic.Bool
	// versionOf, if set, returns the version of each target.
	versionOf func(ident.Target) ident.Version
}

func (r rules) Table() *match.Table { return r.table }
func (r rules) Fresh() bool         { return r.fresh }

func (r rules) ConfirmedVersion(target ident.Target) (ident.Version, bool) {
	if r.versionOf != nil {
		return r.versionOf(target), true
	}
	return r.version, r.outdated == nil || !r.outdated.Load()
}

func (r rules) IdleConns(ident.Service) int { return 0 }
func (r rules) ReportBrittle(ident.Service) {}

// finder returns the first target that is not to be avoided.
type finder struct {
	// silent is whether a silent target has sent nothing to other requests either.
	silent bool
	// silences counts the reports of silent targets.
	silences int
	mu       sync.Mutex
	targets  []route.Target
	reports  []string
	paces    []pace.Report
	// holder is the cache holder of each placement.
	holder *route.Target
	// acquire replaces Acquire if it is set.
	acquire func(context.Context, route.TargetRequest) (*route.Placement, error)
}

func (f *finder) Acquire(ctx context.Context, request route.TargetRequest) (*route.Placement, error) {
	if f.acquire != nil {
		return f.acquire(ctx, request)
	}
	for _, t := range f.targets {
		avoided := false
		for _, a := range request.Avoid {
			avoided = avoided || a == t.ID.Hash()
		}
		if !avoided {
			return &route.Placement{Target: t, Hash: t.ID.Hash(), Holder: f.holder}, nil
		}
	}
	return nil, fault.New("test", route.NoTarget, nil)
}

func (f *finder) record(report string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, report)
}

func (f *finder) Report(_ ident.TargetHash, ok bool) { f.record(fmt.Sprint("ok ", ok)) }
func (f *finder) ReportCancelled(ident.TargetHash)   { f.record("cancelled") }
func (f *finder) ReportReceived(ident.TargetHash)    {}

func (f *finder) ReportSilent(ident.TargetHash, time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silences++
	return f.silent
}

// silentReports returns how often a target was reported as silent.
func (f *finder) silentReports() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silences
}

func (f *finder) ReportGivenUp(ident.TargetHash)     { f.record("ok false") }
func (f *finder) ReportUnreachable(ident.TargetHash) { f.record("unreachable") }

func (f *finder) ReportPace(report pace.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces = append(f.paces, report)
}

func (f *finder) ReportNotice(target route.Target, n route.Notice) {
	if n.Leaving {
		f.record(fmt.Sprint("leaving ", target.ID))
	}
	if n.Backoff > 0 {
		f.record(fmt.Sprint("backoff ", target.ID, " ", n.Backoff))
	}
}

func (f *finder) IsLeaving(target route.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.reports, fmt.Sprint("leaving ", target.ID))
}

// budget allows a fixed number of retries.
type budget struct {
	mu   sync.Mutex
	left int
}

func (b *budget) Request(ident.Service, time.Time)           {}
func (b *budget) Usage(ident.Service, time.Time) retry.Usage { return retry.Usage{} }

func (b *budget) HasRetry(ident.Service, time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left > 0
}

func (b *budget) Retry(ident.Service, time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left--
	return b.left >= 0
}

// recorder records the reasons for which requests ended.
type recorder struct {
	mu      sync.Mutex
	reasons []Reason
	// endings are those of the targets' answers.
	endings []Ending
}

func (r *recorder) AnswerEnded(_ ident.Service, ending Ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endings = append(r.endings, ending)
}

// ended returns the reasons so far, once there is one.
func (r *recorder) ended() []Reason {
	for end := time.Now().Add(memoryReturnTimeout); time.Now().Before(end); <-time.After(time.Millisecond) {
		r.mu.Lock()
		reasons := slices.Clone(r.reasons)
		r.mu.Unlock()
		if len(reasons) > 0 {
			return reasons
		}
	}
	return nil
}

func (r *recorder) Ended(end End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons = append(r.reasons, end.Reason)
}

// responder answers one request on a target's connection and reports whether the connection stays
// open.
type responder func(w *bufio.Writer, r *http.Request) bool

// fakeTarget is a server whose answers are scripted byte by byte.
type fakeTarget struct {
	addr string
	mu   sync.Mutex
	// headers and bodies are those of the requests received.
	headers      []http.Header
	requestLines []string
	bodies       []string
	closed       chan struct{}
}

func newFakeTarget(t *testing.T, serve responder) *fakeTarget {
	t.Helper()
	out := &fakeTarget{closed: make(chan struct{}, 16)}
	out.addr = listen.Conns(t, func(c net.Conn) { out.serve(c, serve) })
	return out
}

func (t *fakeTarget) serve(c net.Conn, serve responder) {
	defer func() {
		_ = c.Close()
		t.closed <- struct{}{}
	}()
	reader, writer := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.headers = append(t.headers, r.Header)
		t.requestLines = append(t.requestLines, r.Method+" "+r.RequestURI)
		t.bodies = append(t.bodies, string(body))
		t.mu.Unlock()
		open := serve(writer, r)
		if writer.Flush() != nil || !open {
			return
		}
	}
}

func (t *fakeTarget) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.headers)
}

// answer returns a responder that writes a complete answer with a length.
func answer(status int, headers, body string) responder {
	return func(w *bufio.Writer, r *http.Request) bool {
		writeResponse(w, r.Header.Get("Id"), status, headers, body)
		return true
	}
}

func writeResponse(w *bufio.Writer, id string, status int, headers, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
}

// setup is a handler in front of some targets.
type setup struct {
	url      string
	server   *httptest.Server
	handler  *Handler
	finder   *finder
	recorder *recorder
	budget   *budget
	memory   *memory.Account
	conns    *relay.Conns
	// occupied is the memory that a test takes itself, or nil.
	occupied *memory.Reservation
}

// testMemory is the memory that a handler may keep for its callers.
const testMemory = 16 * memory.MB

// memoryReturnTimeout is how long a test waits for its last requests to end.
const memoryReturnTimeout = 10 * time.Second

// checkMemoryReturned checks that nothing is kept after the last request of a test, however the requests ended.
func checkMemoryReturned(t *testing.T, account *memory.Account) {
	t.Helper()
	deadline := time.After(memoryReturnTimeout)
	for account.Usage().Used != 0 {
		select {
		case <-deadline:
			t.Errorf("still kept after the last request: %v", account.Usage().ByUse)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// testConnTimes are the times of connections that wait for none of them.
var testConnTimes = ConnTimes{Idle: func() time.Duration { return time.Minute }, Header: time.Minute}

// testConns returns an account of connections with room for all of a test.
func testConns() *CallerConns {
	conns, _ := NewCallerConns(memory.New(testMemory, time.Now), testConnTimes)
	return conns
}

func newRoute(change func(*match.Route)) match.Route {
	r := match.Route{
		Name: "r", Host: "h", Prefix: "/", Repeat: retry.Unstarted, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
		GapObjective: 50 * time.Millisecond, Attempts: 1, Shares: []match.Share{{Service: "s", Weight: 1}},
	}
	if change != nil {
		change(&r)
	}
	return r
}

func newSetup(t *testing.T, r match.Route, targets ...*fakeTarget) *setup {
	t.Helper()
	table, err := match.Compile(match.Config{
		Revision: 1, Routes: []match.Route{r}, RequireKeys: true, Limits: match.Limits{BodyBytes: 1 << 20},
		Workspaces: []match.Workspace{{Name: "w", Keys: []string{"k"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return newSetupWith(t, rules{table: table, fresh: true}, targets...)
}

func newSetupWith(t *testing.T, r Rules, targets ...*fakeTarget) *setup {
	t.Helper()
	s := &setup{finder: &finder{}, recorder: &recorder{}, budget: &budget{left: 10}, memory: memory.New(testMemory, time.Now)}
	for i, target := range targets {
		s.finder.targets = append(s.finder.targets, route.Target{ID: ident.Target(fmt.Sprint("t", i)), Addr: target.addr})
	}
	dialer, closeDialer := reach.New(reach.Parts{Timeout: relay.DefaultConnLimits.Dial, Logger: log.NewNopLogger(), Clock: time.Now})
	t.Cleanup(closeDialer)
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, dialer)
	t.Cleanup(closeConns)
	s.conns = conns
	requestGuard, closeGuard := guard.New(guard.Parts{Prober: conns, Logger: log.NewNopLogger(), Clock: time.Now, TriggerGossip: func() {}, Rank: func(uint64) int { return 0 }})
	t.Cleanup(closeGuard)
	h := New(Parts{
		Dialect: testDialect{}, Rules: r, Finder: s.finder, Sender: conns, Budget: s.budget, Guard: requestGuard, Observer: s.recorder,
		Logger: log.NewNopLogger(), Clock: time.Now, Memory: s.memory,
	})
	t.Cleanup(func() {
		if s.occupied != nil {
			s.occupied.Close()
		}
		checkMemoryReturned(t, s.memory)
	})
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnContext = WithConn
	server.Start()
	t.Cleanup(server.Close)
	s.url, s.server = server.URL, server
	s.handler = h
	return s
}

// response is the answer that a caller receives.
type response struct {
	Status int
	Body   string
	// Truncated is set when the end of the answer was not received.
	Truncated bool
}

func (s *setup) call(t *testing.T, method, path, body string) (response, http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "caller-1")
	r.Header.Set("Key", "k")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{Truncated: true}, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{Status: resp.StatusCode, Body: string(data), Truncated: err != nil}, resp.Header
}

// closeUnanswered closes the connection without an answer after the request has been read.
func closeUnanswered(*bufio.Writer, *http.Request) bool { return false }

// streamEvents returns a responder that writes the events numbered from the first to the second
// number. If the latter is below the last number, the stream breaks off after it.
func streamEvents(from, to, last int) responder {
	return func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := from; i <= to; i++ {
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		if to < last {
			// The stream stops in the middle of an event.
			_, _ = w.WriteString("10\r\nid: 99\ndata: par")
			return false
		}
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
