package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/share/origin"
)

// resumingDialect reads each request as one that resumes a stream.
type resumingDialect struct{ testDialect }

func (d resumingDialect) Read(h http.Header) Call {
	call := d.testDialect.Read(h)
	call.LastEvent, call.Resumes = "3", "begun"
	return call
}

// oneOrigin returns the same origin for each stream.
type oneOrigin struct{ found origin.Found }

func (oneOrigin) Expected(origin.Record) {}

func (oneOrigin) Began(origin.Record) {}

func (oneOrigin) BeganUnexpectedly(origin.Record) {}

func (oneOrigin) Observed(ident.Service) time.Duration { return 0 }

func (o oneOrigin) Find(context.Context, origin.Key, ident.Service) origin.Found { return o.found }

// Guards against a stream that goes on at another service, whose versions have the same names, because its route
// no longer sends to the service at which it began.
func TestStreamDoesNotGoOnAtAnotherService(t *testing.T) {
	resumable := newRoute(func(r *match.Route) { r.Stream, r.Resumable = true, true })
	s := newSetup(t, resumable, newFakeTarget(t, streamEvents(4, 6, 6)))
	s.handler.Dialect = resumingDialect{}
	s.handler.Origins = oneOrigin{origin.Found{Origin: origin.Origin{Service: "earlier", Version: "v1"}, Source: origin.Own}}
	var sought []ident.Service
	s.finder.acquire = func(_ context.Context, request route.TargetRequest) (*route.Placement, error) {
		sought = append(sought, request.Service)
		return nil, fault.New("test", route.NoTarget, nil)
	}
	got, _ := s.call(t, http.MethodPost, "/", "{}")
	if diff := cmp.Diff(http.StatusServiceUnavailable, got.Status); diff != "" {
		t.Error(diff)
	}
	for _, service := range sought {
		if service != "earlier" {
			t.Errorf("a target of service %s was sought, want none or one of the service at which the stream began", service)
		}
	}
}
