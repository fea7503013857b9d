package entry

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/share/origin"
)

// origins records the streams that began, and has one origin for those that are resumed.
type origins struct {
	noOrigins
	began []origin.Record
}

func (o *origins) Began(r origin.Record) { o.began = append(o.began, r) }

// Guards against streams that go on at another version after this router was suspended: its targets may have
// been replaced meanwhile, under the same names.
func TestStreamsDoNotGoOnByOutdatedVersions(t *testing.T) {
	for _, c := range []struct {
		name     string
		latest   ident.Version
		outdated bool
		current  bool
	}{
		{"confirmed", "v1", false, true},
		{"not confirmed since a suspension", "v1", true, false},
		{"newer row than the pools", "v2", false, false},
	} {
		table, err := match.Compile(match.Config{
			Revision: 1, Routes: []match.Route{newRoute(resumableRoute)}, RequireKeys: true, Limits: match.Limits{BodyBytes: 1 << 20},
			Workspaces: []match.Workspace{{Name: "w", Keys: []string{"k"}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		var flag atomic.Bool
		flag.Store(c.outdated)
		second := newFakeTarget(t, streamEvents(4, 5, 5))
		s := newSetupWith(t, rules{table: table, fresh: true, version: c.latest, outdated: &flag}, newFakeTarget(t, streamEvents(1, 3, 5)), second)
		for i := range s.finder.targets {
			s.finder.targets[i].Version = "v1"
		}
		known := &origins{}
		s.handler.Origins = known
		got := s.callRaw(t, "POST", "HTTP/1.1")
		want := rawResponse{Status: http.StatusOK, Body: eventText(1, 5), Marked: true}
		began := 1
		if !c.current {
			want, began = rawResponse{Status: http.StatusOK, Body: eventText(1, 3), Marked: true, Broken: true}, 0
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
		if len(known.began) != began {
			t.Errorf("%s: %d origins recorded, want %d", c.name, len(known.began), began)
		}
	}
}
