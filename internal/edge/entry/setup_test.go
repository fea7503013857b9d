package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/fake/listen"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// plain is a dialect with short header names.
type plain struct{}

func (plain) Read(h http.Header) Call {
	return Call{ID: RequestID(h.Get("Id")), Key: h.Get("Key")}
}

func (plain) Write(h http.Header, _ Call, o Order) {
	h.Del("Key")
	h.Set("Target", string(o.Target))
	h.Set("Workspace", string(o.Workspace))
	h.Set("Holder", o.Holder)
	if o.After != "" {
		h.Set("After", string(o.After))
	}
}

func (plain) Owns(h http.Header, call Call) bool { return h.Get("Id") == string(call.ID) }

func (plain) Reply(status int, h http.Header) Reply {
	return Reply{
		NotRun: h.Get("Not-Run") != "", Elsewhere: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "",
	}
}

// rules is a configuration that is fresh or not.
type rules struct {
	table *match.Table
	fresh bool
}

func (r rules) Table() *match.Table { return r.table }
func (r rules) Fresh() bool         { return r.fresh }

func (r rules) IdleConns(ident.Service) int { return 0 }

// finder gives targets in turn, without those to avoid.
type finder struct {
	mu      sync.Mutex
	targets []route.Target
	reports []string
	// holder is named with each placement.
	holder *route.Target
	// acquire gives the placements instead if it is set.
	acquire func(context.Context, route.Ask) (*route.Placement, error)
}

func (f *finder) Acquire(ctx context.Context, ask route.Ask) (*route.Placement, error) {
	if f.acquire != nil {
		return f.acquire(ctx, ask)
	}
	for _, t := range f.targets {
		avoided := false
		for _, a := range ask.Avoid {
			avoided = avoided || a == t.ID.Hash()
		}
		if !avoided {
			return &route.Placement{Target: t, Hash: t.ID.Hash(), Holder: f.holder}, nil
		}
	}
	return nil, fault.New("test", route.NoTarget, nil)
}

func (f *finder) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, what)
}

func (f *finder) Report(_ ident.TargetHash, ok bool)      { f.note(fmt.Sprint("ok ", ok)) }
func (f *finder) Cancelled(ident.TargetHash)              { f.note("cancelled") }
func (f *finder) Heard(ident.TargetHash)                  {}
func (f *finder) Silent(ident.TargetHash, time.Time) bool { return false }
func (f *finder) Unreachable(ident.TargetHash)            { f.note("unreachable") }

func (f *finder) Observe(target route.Target, n route.Notice) {
	if n.Leaving {
		f.note(fmt.Sprint("leaving ", target.ID))
	}
	if n.Backoff > 0 {
		f.note(fmt.Sprint("backoff ", target.ID, " ", n.Backoff))
	}
}

// budget gives a number of retries.
type budget struct{ left int }

func (b *budget) Request(ident.Service, time.Time) {}
func (b *budget) Retry(ident.Service, time.Time) bool {
	b.left--
	return b.left >= 0
}

// ends keeps how requests ended.
type ends struct {
	mu   sync.Mutex
	list []Reason
}

func (e *ends) Ended(end End) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, end.Reason)
}

// serving answers one request on a target's connection and reports whether the
// connection stays open.
type serving func(w *bufio.Writer, r *http.Request) bool

// target is a server that is scripted byte by byte.
type target struct {
	addr string
	mu   sync.Mutex
	// runs are the headers of the requests that it read, bodies their bodies.
	runs   []http.Header
	lines  []string
	bodies []string
	closed chan struct{}
}

func newTarget(t *testing.T, serve serving) *target {
	t.Helper()
	out := &target{closed: make(chan struct{}, 16)}
	out.addr = listen.Conns(t, func(c net.Conn) { out.serve(c, serve) })
	return out
}

func (s *target) serve(c net.Conn, serve serving) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
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
		s.mu.Lock()
		s.runs = append(s.runs, r.Header)
		s.lines = append(s.lines, r.Method+" "+r.RequestURI)
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		open := serve(writer, r)
		if writer.Flush() != nil || !open {
			return
		}
	}
}

func (s *target) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// answer writes a whole answer with a length.
func answer(status int, headers, body string) serving {
	return func(w *bufio.Writer, r *http.Request) bool {
		writeAnswer(w, r.Header.Get("Id"), status, headers, body)
		return true
	}
}

func writeAnswer(w *bufio.Writer, id string, status int, headers, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
}

// setup is a handler before some targets.
type setup struct {
	url     string
	handler *Handler
	finder  *finder
	ends    *ends
	budget  *budget
}

func aRoute(change func(*match.Route)) match.Route {
	r := match.Route{
		Name: "r", Host: "h", Prefix: "/", Repeat: retry.Unstarted, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
		GapObjective: 50 * time.Millisecond, Attempts: 1, Shares: []match.Share{{Service: "s", Weight: 1}},
	}
	if change != nil {
		change(&r)
	}
	return r
}

func newSetup(t *testing.T, r match.Route, targets ...*target) *setup {
	t.Helper()
	table, err := match.Compile(match.Config{
		Revision: 1, Routes: []match.Route{r}, Keyed: true, Limits: match.Limits{BodyBytes: 1 << 20},
		Workspaces: []match.Workspace{{Name: "w", Keys: []string{"k"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return newSetupWith(t, rules{table: table, fresh: true}, targets...)
}

func newSetupWith(t *testing.T, r Rules, targets ...*target) *setup {
	t.Helper()
	s := &setup{finder: &finder{}, ends: &ends{}, budget: &budget{left: 10}}
	for i, to := range targets {
		s.finder.targets = append(s.finder.targets, route.Target{ID: ident.Target(fmt.Sprint("t", i)), Addr: to.addr})
	}
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits)
	t.Cleanup(closeConns)
	guarding, closeGuard := guard.New(guard.Parts{Prober: conns, Logger: log.NewNopLogger(), Clock: time.Now, Spread: func() {}})
	t.Cleanup(closeGuard)
	h := New(Parts{
		Dialect: plain{}, Rules: r, Finder: s.finder, Sender: conns, Budget: s.budget, Guard: guarding, Observer: s.ends,
		Logger: log.NewNopLogger(), Clock: time.Now,
	})
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnContext = WithConn
	server.Start()
	t.Cleanup(server.Close)
	s.url = server.URL
	s.handler = h
	return s
}

// got is what a caller gets.
type got struct {
	Status int
	Body   string
	// Cut is set when the answer did not come to its end.
	Cut bool
}

func (s *setup) call(t *testing.T, method, path, body string) (got, http.Header) {
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
		return got{Cut: true}, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return got{Status: resp.StatusCode, Body: string(data), Cut: err != nil}, resp.Header
}

// reset closes a connection without an answer after the request was read.
func reset(*bufio.Writer, *http.Request) bool { return false }

// events writes a stream of numbered events after one, and breaks it off after some.
func events(from, to, last int) serving {
	return func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := from; i <= to; i++ {
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		if to < last {
			// It stops in the middle of an event.
			_, _ = w.WriteString("10\r\nid: 99\ndata: par")
			return false
		}
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	}
}

func pieces(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
