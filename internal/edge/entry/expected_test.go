package entry

import (
	"bufio"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/share/origin"
)

// originCalls records what is said of the streams of the request "caller-1", in order.
type originCalls struct {
	fixedOrigins
	callsMu sync.Mutex
	calls   []string
}

func (o *originCalls) add(what string, r origin.Record) {
	o.callsMu.Lock()
	defer o.callsMu.Unlock()
	if r.Key != origin.NewKey("w", "caller-1") {
		what = "of another stream: " + what
	}
	o.calls = append(o.calls, what+" at "+string(r.Version))
}

func (o *originCalls) Expected(r origin.Record)          { o.add("expected", r) }
func (o *originCalls) Began(r origin.Record)             { o.add("began", r) }
func (o *originCalls) BeganUnexpectedly(r origin.Record) { o.add("began unexpectedly", r) }

// Guards against a stream whose origin is sought in the store and is not there, since it was written only once the
// stream had begun, and against the version of an earlier attempt that counts as the origin.
func TestVersionIsExpectedBeforeTheRequestIsSent(t *testing.T) {
	whole := streamEvents(1, 5, 5)
	for _, c := range []struct {
		name     string
		route    func(*match.Route)
		versions []ident.Version
		first    responder
		headers  []string
		want     []string
	}{
		{"begins at the first target", resumableRoute, []ident.Version{"v1"}, whole, nil, []string{"expected at v1", "sent", "began at v1"}},
		{"begins at another target", resumableRoute, []ident.Version{"v1", "v1"}, closeUnanswered, nil, []string{"expected at v1", "sent", "began at v1"}},
		{"begins at another version", resumableRoute, []ident.Version{"v1", "v2"}, closeUnanswered, nil, []string{"expected at v1", "sent", "began unexpectedly at v2"}},
		{"is resumed", resumableRoute, []ident.Version{"v1"}, whole, []string{"Last-Event", "0", "Resumes", "caller-1"}, []string{"sent", "began at v1"}},
		{"target without a version", resumableRoute, []ident.Version{""}, whole, nil, []string{"sent"}},
		{"not resumable", plainStream, []ident.Version{"v1"}, whole, nil, []string{"sent"}},
		{"not a stream", nil, []ident.Version{"v1"}, whole, nil, []string{"sent"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			known := &originCalls{fixedOrigins: fixedOrigins{found: origin.Found{Origin: origin.Origin{Service: "s", Version: "v1"}, Source: origin.Own}}}
			sent := func(next responder) responder {
				return func(w *bufio.Writer, r *http.Request) bool {
					known.callsMu.Lock()
					known.calls = append(known.calls, "sent")
					known.callsMu.Unlock()
					return next(w, r)
				}
			}
			targets := []*fakeTarget{newFakeTarget(t, sent(c.first))}
			if len(c.versions) > 1 {
				targets = append(targets, newFakeTarget(t, whole))
			}
			s := newVersionSetup(t, newRoute(c.route), "", targets...)
			for i, version := range c.versions {
				s.finder.targets[i].Version = version
			}
			current := s.handler.Rules.(rules)
			current.versionOf = func(target ident.Target) ident.Version {
				at := slices.IndexFunc(s.finder.targets, func(of route.Target) bool { return of.ID == target })
				return s.finder.targets[at].Version
			}
			s.handler.Rules, s.handler.Origins = current, known
			if status, _ := callWith(t, s.url, append([]string{"Id", "caller-1"}, c.headers...)...); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			s.server.Close()
			if diff := cmp.Diff(c.want, known.calls); diff != "" {
				t.Error(diff)
			}
		})
	}
}
