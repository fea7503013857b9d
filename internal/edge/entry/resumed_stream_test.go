package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/share/origin"
)

// search is a search for the origin of a stream.
type search struct {
	Key     origin.Key
	Service ident.Service
}

// fixedOrigins finds the same origin for all streams, and records the searches and the streams that began.
type fixedOrigins struct {
	found origin.Found
	// onBegan is called for each stream that began, if it is set.
	onBegan  func()
	mu       sync.Mutex
	searches []search
	began    []origin.Record
}

func (o *fixedOrigins) Expected(origin.Record) {}

func (o *fixedOrigins) BeganUnexpectedly(r origin.Record) { o.Began(r) }

func (o *fixedOrigins) Began(r origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.began = append(o.began, r)
	if o.onBegan != nil {
		o.onBegan()
	}
}

func (o *fixedOrigins) Observed(ident.Service) time.Duration { return 0 }

func (o *fixedOrigins) Find(_ context.Context, key origin.Key, service ident.Service) origin.Found {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.searches = append(o.searches, search{key, service})
	return o.found
}

// sought is what a request to the finder says about the version.
type sought struct {
	Service ident.Service
	Version ident.Version
}

// recordSought records the requests to the finder of a setup.
func recordSought(s *setup) *[]sought {
	var out []sought
	plain := &finder{targets: s.finder.targets, holder: s.finder.holder}
	s.finder.acquire = func(ctx context.Context, request route.TargetRequest) (*route.Placement, error) {
		out = append(out, sought{request.Service, request.Version})
		return plain.Acquire(ctx, request)
	}
	return &out
}

// newVersionSetup returns a setup whose targets all have a version, with a service that copies prefixes and one
// that does not.
func newVersionSetup(t *testing.T, r match.Route, version ident.Version, targets ...*fakeTarget) *setup {
	t.Helper()
	table, err := match.Compile(match.Config{
		Revision: 1, Routes: []match.Route{r}, RequireKeys: true, Limits: match.Limits{BodyBytes: 1 << 20},
		Workspaces: []match.Workspace{{Name: "w", Keys: []string{"k"}}},
		Services:   []match.Service{{Name: "s"}, {Name: "copying", CopiesPrefixes: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := newSetupWith(t, rules{table: table, fresh: true, version: version}, targets...)
	for i := range s.finder.targets {
		s.finder.targets[i].Version = version
	}
	return s
}

// callWith sends a request with headers in pairs of names and values, and returns the status and headers of
// the answer once all of it is received.
func callWith(t *testing.T, url string, namesAndValues ...string) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Key", "k")
	for i := 0; i < len(namesAndValues); i += 2 {
		r.Header.Set(namesAndValues[i], namesAndValues[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header
}

// Guards against a resumed stream that goes on at another version than the one at which it began, because
// nothing is known about its origin.
func TestStreamsOfUnknownOriginAreRejected(t *testing.T) {
	type outcome struct {
		Status     int
		RetryAfter string
		Sends      int
		Reason     Reason
	}
	rejected := outcome{http.StatusServiceUnavailable, "0.500", 0, UnknownOrigin}
	served := outcome{http.StatusOK, "", 1, Served}
	for _, c := range []struct {
		source origin.Source
		want   outcome
	}{
		{origin.Unknown, rejected},
		{origin.Overloaded, rejected},
		{origin.Own, served},
		{origin.Peer, served},
		{origin.SingleVersion, served},
	} {
		t.Run(string(c.source), func(t *testing.T) {
			target := newFakeTarget(t, streamEvents(4, 5, 5))
			s := newVersionSetup(t, newRoute(resumableRoute), "v1", target)
			s.handler.Origins = &fixedOrigins{found: origin.Found{Origin: origin.Origin{Service: "s", Version: "v1"}, Source: c.source}}
			status, header := callWith(t, s.url, "Id", "caller-1", "Last-Event", "3", "Resumes", "first")
			s.server.Close()
			got := outcome{Status: status, RetryAfter: header.Get("Retry-After"), Sends: target.count(), Reason: s.recorder.lastReason(t)}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// lastReason returns the reason of the only request that has ended.
func (r *recorder) lastReason(t *testing.T) Reason {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reasons) != 1 {
		t.Fatalf("requests ended for the reasons %v, want one", r.reasons)
	}
	return r.reasons[0]
}

// Guards against a resumed stream that is sent to a target of another version or service than the one that
// began it, or to a service that its route does not use any more.
func TestResumedStreamsAreSentToTheirOrigin(t *testing.T) {
	for _, c := range []struct {
		name   string
		origin origin.Origin
		want   []sought
		holder string
	}{
		{"own service", origin.Origin{Service: "s", Version: "v1"}, []sought{{"s", "v1"}}, ""},
		{"other service of the route", origin.Origin{Service: "copying", Version: "v1"}, []sought{{"copying", "v1"}}, "holder"},
		{"service without a share of the route", origin.Origin{Service: "removed", Version: "v1"}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoute(resumableRoute)
			r.Shares = []match.Share{{Service: "s", Weight: 1}, {Service: "copying", Weight: 0}}
			target := newFakeTarget(t, streamEvents(4, 5, 5))
			s := newVersionSetup(t, r, "v1", target)
			s.finder.holder = &route.Target{Addr: "holder"}
			requests := recordSought(s)
			s.handler.Origins = &fixedOrigins{found: origin.Found{Origin: c.origin, Source: origin.Own}}
			_, _ = callWith(t, s.url, "Id", "caller-1", "Last-Event", "3", "Resumes", "first")
			s.server.Close()
			if diff := cmp.Diff(c.want, *requests); diff != "" {
				t.Error(diff)
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			if len(target.headers) != len(c.want) {
				t.Fatalf("the target received %d requests, want %d", len(target.headers), len(c.want))
			}
			if len(c.want) == 0 {
				return
			}
			if diff := cmp.Diff(c.holder, target.headers[0].Get("Holder")); diff != "" {
				t.Errorf("holder of cached prefixes: %s", diff)
			}
		})
	}
}

// Guards against origins that are searched under another key than the one under which the stream was recorded,
// and against searches for requests that resume nothing.
func TestKeysOfSearchedOrigins(t *testing.T) {
	key := origin.NewKey("w", "first")
	for _, c := range []struct {
		name    string
		route   func(*match.Route)
		headers []string
		want    []search
	}{
		{"named request", resumableRoute, []string{"Id", "caller-1", "Last-Event", "3", "Resumes", "first"}, []search{{key, "s"}}},
		{"without a name", resumableRoute, []string{"Id", "caller-1", "Last-Event", "3"}, []search{{0, "s"}}},
		{"without an event", resumableRoute, []string{"Id", "caller-1", "Resumes", "first"}, nil},
		{"not a stream", nil, []string{"Id", "caller-1", "Last-Event", "3", "Resumes", "first"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newVersionSetup(t, newRoute(c.route), "v1", newFakeTarget(t, streamEvents(4, 5, 5)))
			known := &fixedOrigins{found: origin.Found{Origin: origin.Origin{Service: "s", Version: "v1"}, Source: origin.Own}}
			s.handler.Origins = known
			if status, _ := callWith(t, s.url, c.headers...); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			s.server.Close()
			if diff := cmp.Diff(c.want, known.searches); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// headWriter records that the head of an answer is sent to the caller.
type headWriter struct {
	http.ResponseWriter
	sent *atomic.Bool
}

func (w headWriter) WriteHeader(status int) {
	w.sent.Store(true)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap makes the methods of the server's writer available to http.ResponseController.
func (w headWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against streams that cannot be resumed since their origin is recorded too late, under another key or
// not at all, and against records of streams that nobody can resume.
func TestOriginIsRecordedOnceBeforeTheFirstPart(t *testing.T) {
	record := func(request string) []origin.Record {
		return []origin.Record{{Key: origin.NewKey("w", request), Origin: origin.Origin{Service: "s", Version: "v1"}}}
	}
	notResumable := func(r *match.Route) {
		resumableRoute(r)
		r.Resumable = false
	}
	for _, c := range []struct {
		name    string
		route   func(*match.Route)
		version ident.Version
		headers []string
		want    []origin.Record
	}{
		{"first request", resumableRoute, "v1", []string{"Id", "caller-1"}, record("caller-1")},
		{"resumed stream", resumableRoute, "v1", []string{"Id", "caller-1", "Last-Event", "0", "Resumes", "first"}, record("first")},
		{"resumed stream without a name", resumableRoute, "v1", []string{"Id", "caller-1", "Last-Event", "0"}, nil},
		{"request without an ID", resumableRoute, "v1", nil, nil},
		{"target without a version", resumableRoute, "", []string{"Id", "caller-1"}, nil},
		{"route that is not resumable", notResumable, "v1", []string{"Id", "caller-1"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newVersionSetup(t, newRoute(c.route), c.version, newFakeTarget(t, streamEvents(1, 5, 5)))
			var sent, late atomic.Bool
			known := &fixedOrigins{
				found:   origin.Found{Origin: origin.Origin{Service: "s", Version: c.version}, Source: origin.Own},
				onBegan: func() { late.Store(sent.Load()) },
			}
			s.handler.Origins = known
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				s.handler.ServeHTTP(headWriter{w, &sent}, r)
			}))
			t.Cleanup(server.Close)
			if status, _ := callWith(t, server.URL, c.headers...); status != http.StatusOK || !sent.Load() {
				t.Errorf("status %d, want 200", status)
			}
			server.Close()
			if diff := cmp.Diff(c.want, known.began); diff != "" {
				t.Error(diff)
			}
			if late.Load() {
				t.Error("the caller had a part of the answer before its origin was recorded")
			}
		})
	}
}

// versionNames are canaries that choose the canary version, and have a name for each version.
type versionNames struct{ noCanaries }

func (versionNames) Choose(service ident.Service) ident.Service { return service + "-chosen" }

func (versionNames) NameOf(service ident.Service, version ident.Version) ident.Service {
	return service + "-" + ident.Service(version)
}

// Guards against a stream whose rest comes from another version than its first part, and against a bound
// version that is sought under the name of the service while a canary version has its own.
func TestVersionOfTheFirstPartBindsTheRest(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   responder
		headers []string
		want    []sought
	}{
		{"nothing sent yet", closeUnanswered, []string{"Id", "caller-1"}, []sought{{"s-chosen", ""}, {"s", ""}}},
		{"part sent", streamEvents(1, 3, 5), []string{"Id", "caller-1"}, []sought{{"s-chosen", ""}, {"s-v1", "v1"}}},
		{"resumed", closeUnanswered, []string{"Id", "caller-1", "Last-Event", "3", "Resumes", "first"}, []sought{{"s-v1", "v1"}, {"s-v1", "v1"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newVersionSetup(t, newRoute(resumableRoute), "v1", newFakeTarget(t, c.first), newFakeTarget(t, streamEvents(4, 5, 5)))
			known := &fixedOrigins{found: origin.Found{Origin: origin.Origin{Service: "s", Version: "v1"}, Source: origin.Own}}
			s.handler.Origins, s.handler.Canaries = known, versionNames{}
			requests := recordSought(s)
			if status, _ := callWith(t, s.url, c.headers...); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			s.server.Close()
			if diff := cmp.Diff(c.want, *requests); diff != "" {
				t.Error(diff)
			}
			if len(known.began) != 1 {
				t.Errorf("%d origins recorded, want 1", len(known.began))
			}
		})
	}
}

// Guards against a resumed stream that is placed as if it were another request: the target of its first part
// may still have its prompt cached.
func TestPlacementKeyOfResumedStreams(t *testing.T) {
	parts := []PromptPart{{ID: "shared"}, {ID: "own"}}
	for _, c := range []struct {
		name      string
		resumable bool
		sticky    bool
		call      Call
		want      ident.ChatKey
	}{
		{"first request", true, false, Call{ID: "caller-1"}, ident.NewChatKey("w", "caller-1")},
		{"resumed", true, false, Call{ID: "caller-1", LastEvent: "3", Resumes: "first"}, ident.NewChatKey("w", "first")},
		{"resumed without a name", true, false, Call{ID: "caller-1", LastEvent: "3"}, ident.NewChatKey("w", "caller-1")},
		{"without an event", true, false, Call{ID: "caller-1", Resumes: "first"}, ident.NewChatKey("w", "caller-1")},
		{"not resumable", false, false, Call{ID: "caller-1", LastEvent: "3", Resumes: "first"}, ident.NewChatKey("w", "caller-1")},
		{"shared prompt part", true, true, Call{ID: "caller-1", LastEvent: "3", Resumes: "first", Parts: parts}, ident.NewChatKey("", "shared")},
	} {
		j := &job{call: c.call, route: &match.Route{Stream: true, Resumable: c.resumable, Sticky: c.sticky}, workspace: &match.Workspace{Name: "w"}}
		if diff := cmp.Diff(c.want, j.newPlacementKey()); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// Guards against a bound version that is sought under one name only: that of a canary has its targets under its
// own name, or that of its service while a rollout changes state. No other version is sought under either.
func TestBoundVersionIsSoughtUnderBothNames(t *testing.T) {
	s := newVersionSetup(t, newRoute(resumableRoute), "v1")
	s.handler.Origins = &fixedOrigins{found: origin.Found{Origin: origin.Origin{Service: "s", Version: "v1"}, Source: origin.Own}}
	s.handler.Canaries = versionNames{}
	requests := recordSought(s)
	status, _ := callWith(t, s.url, "Id", "caller-1", "Last-Event", "3", "Resumes", "first")
	s.server.Close()
	if diff := cmp.Diff(http.StatusServiceUnavailable, status); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]sought{{"s-v1", "v1"}, {"s", "v1"}}, *requests); diff != "" {
		t.Error(diff)
	}
}
