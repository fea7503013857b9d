package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
	"valescale/internal/share/feed"
	"valescale/internal/share/origin"
	"valescale/internal/share/peer"
)

// versionRows is a fake decoder of rows whose value is a target's version, or "?" for an invalid row.
type versionRows struct{ Rows }

func (versionRows) TargetTable() table.Name { return "targets" }

func (versionRows) Target(row table.Row) (Target, error) {
	box := boxes.Box{ID: string(row.Key), Service: testService, State: boxes.Live, Incarnation: 1}
	target := Target{Box: box, Version: ident.Version(row.Value)}
	if target.Version == "?" {
		return target, fault.New("node.test", BadRow, nil)
	}
	return target, nil
}

// Guards against versions that are counted although no target has them any more, so that streams cannot be
// resumed, and against versions that are not counted, so that streams go on at another one.
func TestVersionsOfRowsAreCounted(t *testing.T) {
	const canaryName = testService + canarySuffix
	for _, c := range []struct {
		name string
		// serviceName is the name under which targets are kept.
		serviceName ident.Service
		changes     []feed.Change
		want        origin.Found
	}{
		{"same version", testService, []feed.Change{{Rows: rowsOf(2, "x", "v1")}}, singleVersion("v1")},
		{"changed row", testService, []feed.Change{{Rows: rowsOf(2, "x", "v2")}}, singleVersion("v2")},
		{"other target with another version", testService, []feed.Change{{Rows: rowsOf(2, "y", "v2")}}, origin.Found{Source: origin.Unknown, Lost: true}},
		{"removed row", testService, []feed.Change{{Removed: []table.Key{"x"}}}, origin.Found{Source: origin.Unknown}},
		{"spoilt row", testService, []feed.Change{{Rows: rowsOf(2, "x", "?")}}, origin.Found{Source: origin.Unknown}},
		{"removed and added again", testService, []feed.Change{{Removed: []table.Key{"x"}}, {Rows: rowsOf(2, "x", "v1")}}, singleVersion("v1")},
		{"spoilt and valid again", testService, []feed.Change{{Rows: rowsOf(2, "x", "?")}, {Rows: rowsOf(3, "x", "v1")}}, singleVersion("v1")},
		{"kept under the name of a canary", canaryName, []feed.Change{{Rows: rowsOf(2, "x", "v2")}}, singleVersion("v2")},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			clock := func() time.Time { return now }
			s := newState(versionRows{}, log.NewNopLogger(), clock)
			s.serviceName = func(ident.Service, ident.Version) ident.Service { return c.serviceName }
			s.origins = origin.New(origin.Parts{
				Self: "self", Routers: func() []origin.Router { return nil }, RoutersVersion: func() uint64 { return 1 },
				AnyDead: func() bool { return false }, RowsCurrent: func() bool { return true }, WokeAt: func() time.Time { return time.Time{} }, Store: emptyTables{},
				Logger: log.NewNopLogger(), Clock: clock,
			})
			s.updateTargets(feed.Change{Rows: rowsOf(1, "x", "v1")})
			for _, change := range c.changes {
				s.updateTargets(change)
			}
			// Versions that are gone count for this time.
			now = now.Add(origin.Lifetime)
			if diff := cmp.Diff(c.want, s.origins.Find(t.Context(), 1, testService)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// emptyTables is a store without rows.
type emptyTables struct{ origin.Store }

func (emptyTables) Range(context.Context, table.Name, table.Key, table.Key) (table.Page, error) {
	return table.Page{}, nil
}

// singleVersion is the result of a search at a router that has no origins and knows one version.
func singleVersion(version ident.Version) origin.Found {
	return origin.Found{Origin: origin.Origin{Service: testService, Version: version}, Source: origin.SingleVersion}
}

// Guards against origins that are sent to routers which cannot keep them.
func TestRoutersThatKeepOrigins(t *testing.T) {
	now := time.Unix(1000, 0)
	view := peer.NewView(now, peer.Member{ID: "self", Zone: "a", Region: "r", Incarnation: 1}, peer.DefaultLimits)
	for id, state := range map[ident.Router]peer.State{"dead": peer.Dead, "leaving": peer.Leaving, "live": peer.Live} {
		m := peer.Member{ID: id, Zone: "b", Region: "r", Incarnation: 1, Seq: 1, State: state}
		view.Incoming(now, peer.Digest{From: id, Members: []peer.Member{m}})
	}
	n := &Node{peers: peer.NewNode(view, nil, nil, peer.DefaultPace, nil, 1, func() time.Time { return now })}
	got := map[ident.Router]origin.Router{}
	for _, r := range n.originRouters() {
		got[r.ID] = r
	}
	want := map[ident.Router]origin.Router{
		"self":    {ID: "self", Zone: "a", Region: "r", Accepts: true},
		"live":    {ID: "live", Zone: "b", Region: "r", Accepts: true},
		"leaving": {ID: "leaving", Zone: "b", Region: "r"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a stream that is bound to a version and sought under a name that has none of its targets.
func TestNamesOfVersions(t *testing.T) {
	names := func(ratio float64) []ident.Service {
		r := newRollouts(ratio, 1, log.NewNopLogger(), time.Now)
		r.setRollouts([]canary.Order{{Service: testService, Version: "v2", Period: time.Minute, Number: 1}}, 0)
		return []ident.Service{r.NameOf(testService, "v1"), r.NameOf(testService, "v2"), r.NameOf("other", "v2")}
	}
	if diff := cmp.Diff([]ident.Service{testService, testService + canarySuffix, "other"}, names(maxCanaryRatio)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]ident.Service{testService, testService, "other"}, names(0)); diff != "" {
		t.Errorf("rollouts not followed: %s", diff)
	}
}

// Guards against streams that go on by a version which a row newer than the pools has replaced, or which was
// last confirmed before this process was suspended.
func TestConfirmedVersions(t *testing.T) {
	type confirmed struct {
		Version   ident.Version
		Confirmed bool
	}
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	n := &Node{
		Parts: Parts{Rows: versionRows{}}, replicas: feed.NewReplicas(log.NewNopLogger(), clock),
		state: newState(versionRows{}, log.NewNopLogger(), clock), suspension: newSuspension(clock),
	}
	n.replicas.AddTable("targets", feed.Rules{}, func(change feed.Change) { n.state.updateTargets(change) })
	receive := func(version table.Version, keysAndValues ...string) {
		rows := rowsOf(version, keysAndValues...)
		page := table.Page{Rows: rows, At: table.Position{Version: version}, Full: true}
		if !n.replicas.Apply("targets", table.Position{}, page) {
			t.Errorf("version %d was not applied", version)
		}
	}
	for _, step := range []struct {
		name string
		do   func()
		want confirmed
	}{
		{"nothing received", func() {}, confirmed{}},
		{"first row", func() { receive(1, "x", "v1") }, confirmed{"v1", true}},
		{"newer row", func() { receive(2, "x", "v2") }, confirmed{"v2", true}},
		{"suspended", func() { now = now.Add(minSuspension) }, confirmed{"v2", false}},
		{"confirmed again", func() { receive(3, "x", "v2") }, confirmed{"v2", true}},
		{"spoilt row", func() { receive(4, "x", "?") }, confirmed{"", true}},
		{"valid row again", func() { receive(5, "x", "v2") }, confirmed{"v2", true}},
		{"removed row", func() { receive(6) }, confirmed{"", true}},
	} {
		step.do()
		version, current := n.ConfirmedVersion("x")
		if diff := cmp.Diff(step.want, confirmed{version, current}); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
	}
}
