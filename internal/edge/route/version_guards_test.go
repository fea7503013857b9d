package route_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/home"
)

// recorder is a fleet that records the versions in permit requests.
type recorder struct {
	*fleet
	versions []ident.Version
}

// newRecorder returns a recorder and a router, with pairs of targets of each version.
func newRecorder(versions ...ident.Version) (*recorder, *route.Router) {
	f, _, _ := newFleet()
	recorded := &recorder{fleet: f}
	r := route.New(route.Self{
		ID: edge, Region: "co", AfterFunc: func(_ time.Duration, run func()) { f.deferred = append(f.deferred, run) },
	}, recorded, func() time.Time { return f.now })
	f.setVersions(r, 1, versions...)
	return recorded, r
}

func (f *recorder) Place(ctx context.Context, to ident.Router, request home.PermitRequest, released []uint64) (home.PermitResponse, error) {
	f.versions = append(f.versions, request.Version)
	return f.fleet.Place(ctx, to, request, released)
}

// versionTarget returns a target of setVersions.
func versionTarget(name ident.Target) route.Target { return route.Target{ID: name, Incarnation: 1} }

// Guards against streams that cannot go on, or go on at another version, if only another region has the version.
func TestPoolOfAnotherRegionHasTheVersion(t *testing.T) {
	f, r, _ := newFleet()
	f.setVersions(r, 1, "v1")
	const farPool ident.Pool = "judge@br"
	far := f.pools[0]
	far.Name, far.Region = farPool, "br"
	engine := place.Engine{ID: "far", Hash: ident.Target("far").Hash(), Incarnation: 1, Version: "v2"}
	far.Roster = place.NewRoster(1, []place.Engine{engine})
	for _, name := range routers {
		f.homes[name].SetPool(farPool, place.DefaultBound, far.Roster)
	}
	r.Set([]route.Pool{f.pools[0], far}, place.Assign([]place.ShardID{id, {Pool: farPool}}, routers))
	for _, c := range []struct {
		version, want ident.Version
	}{{"v1", "v1"}, {"v2", "v2"}, {"", "v1"}} {
		p, err := acquireVersion(r, 1, c.version)
		if err != nil {
			t.Fatalf("version %q: %v", c.version, err)
		}
		if diff := cmp.Diff(c.want, p.Target.Version); diff != "" {
			t.Errorf("version %q: %s", c.version, diff)
		}
		p.Release()
	}
}

// Guards against streams that wait for, or are sent to, targets of their version that accept none, and against
// their errors without a Retry-After delay.
func TestUnavailableTargetsOfTheVersion(t *testing.T) {
	const wait = 3 * time.Second
	backoff, leaving := route.Notice{Backoff: wait}, route.Notice{Leaving: true}
	type notices map[ident.Target]route.Notice
	for _, c := range []struct {
		name    string
		notices notices
		// want is the kind of the error, empty if there is none, and retryAfter its delay.
		want       route.Kind
		retryAfter time.Duration
	}{
		{"both in backoff", notices{"v2-0": backoff, "v2-1": backoff}, route.BackingOff, wait},
		{"both leaving", notices{"v2-0": leaving, "v2-1": leaving}, route.NoTarget, time.Second},
		{"one in backoff, one leaving", notices{"v2-0": backoff, "v2-1": leaving}, route.BackingOff, wait},
		{"one in backoff", notices{"v2-0": backoff}, "", 0},
		{"others in backoff", notices{"v1-0": backoff, "v1-1": backoff}, "", 0},
		{"others leaving", notices{"v1-0": leaving, "v1-1": leaving}, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, r, _ := newFleet()
			f.setVersions(r, 1, "v1", "v2")
			for name, n := range c.notices {
				r.ReportNotice(versionTarget(name), n)
			}
			f.requested = nil
			p, err := acquireVersion(r, 1, "v2")
			if diff := cmp.Diff(c.want, fault.KindOf[route.Kind](err)); diff != "" {
				t.Fatalf("%v: %s", err, diff)
			}
			if c.want == "" {
				if _, noticed := c.notices[p.Target.ID]; noticed || p.Target.Version != "v2" {
					t.Errorf("placed at %s", p.Target.ID)
				}
				return
			}
			var retryAfter route.RetryAfter
			errors.As(err, &retryAfter)
			if diff := cmp.Diff(c.retryAfter, retryAfter.Wait); diff != "" {
				t.Error(diff)
			}
			if len(f.requested) != 0 {
				t.Errorf("%d permit requests were sent, want none", len(f.requested))
			}
		})
	}
}

// Guards against streams without a Retry-After delay when their service has no target of the version, and with
// that of a target of another version.
func TestNoTargetOfTheVersionHasRetryAfter(t *testing.T) {
	for _, othersInBackoff := range []bool{false, true} {
		f, r, _ := newFleet()
		f.setVersions(r, 1, "v1")
		if othersInBackoff {
			r.ReportNotice(versionTarget("v1-0"), route.Notice{Backoff: 3 * time.Second})
		}
		_, err := acquireVersion(r, 1, "v2")
		var retryAfter route.RetryAfter
		errors.As(err, &retryAfter)
		if diff := cmp.Diff(time.Second, retryAfter.Wait); diff != "" {
			t.Errorf("others in backoff %t: %v: %s", othersInBackoff, err, diff)
		}
		if diff := cmp.Diff(route.NoTarget, fault.KindOf[route.Kind](err)); diff != "" {
			t.Errorf("others in backoff %t: %s", othersInBackoff, diff)
		}
	}
}

// Guards against streams that go on at another version because their home ignores the version, and against one
// permit for each target of another version, of which there may be more than the router declines.
func TestHomeIgnoresTheVersion(t *testing.T) {
	f, r := newRecorder("v1", "v2", "v3", "v4", "v5", "v6")
	f.dropVersions = true
	for key := range ident.ChatKey(20) {
		f.requested = nil
		p, err := acquireVersion(r, key, "v2")
		if err != nil {
			t.Fatalf("chat %d: %v", key, err)
		}
		if diff := cmp.Diff(ident.Version("v2"), p.Target.Version); diff != "" {
			t.Errorf("chat %d: %s", key, diff)
		}
		if len(f.requested) > 2 {
			t.Errorf("chat %d: %d permit requests, want 2 at most", key, len(f.requested))
		}
		p.Release()
		f.runDeferred()
	}
}

// Guards against streams that are sent to a target which reports that it is leaving, or requests a backoff,
// while the request waits for its permit.
func TestTargetOfTheVersionBecomesUnavailable(t *testing.T) {
	for _, n := range []route.Notice{{Leaving: true}, {Backoff: 3 * time.Second}} {
		for key := range ident.ChatKey(10) {
			f, r := newRecorder("v1", "v2")
			f.onPlace = func() { r.ReportNotice(versionTarget("v2-0"), n) }
			p, err := acquireVersion(r, key, "v2")
			if err != nil {
				t.Fatalf("%+v, chat %d: %v", n, key, err)
			}
			if diff := cmp.Diff(ident.Target("v2-1"), p.Target.ID); diff != "" {
				t.Errorf("%+v, chat %d: %s", n, key, diff)
			}
		}
	}
}

// Guards against streams that find no target although one of their version may run them, since targets of
// other versions are counted too; and against attempts at targets that failed while others remain.
func TestAvoidedTargetsOfTheVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		// failed are the targets that failed the request, blocked those with an open circuit breaker, backoff
		// those in backoff.
		failed, blocked, backoff []ident.Target
		want                     []ident.Target
	}{
		{"one failed", []ident.Target{"v2-0"}, nil, nil, []ident.Target{"v2-1"}},
		{"all failed", []ident.Target{"v2-0", "v2-1"}, nil, nil, []ident.Target{"v2-0", "v2-1"}},
		{"one failed, others failed", []ident.Target{"v1-0", "v1-1", "v2-0"}, nil, nil, []ident.Target{"v2-1"}},
		{"one blocked", nil, []ident.Target{"v2-0"}, nil, []ident.Target{"v2-1"}},
		{"all blocked", nil, []ident.Target{"v2-0", "v2-1"}, nil, []ident.Target{"v2-0", "v2-1"}},
		{"one blocked, others blocked", nil, []ident.Target{"v1-0", "v1-1", "v2-0"}, nil, []ident.Target{"v2-1"}},
		{"one failed, the other blocked", []ident.Target{"v2-0"}, []ident.Target{"v2-1"}, nil, []ident.Target{"v2-1"}},
		{"one failed, the other in backoff", []ident.Target{"v2-0"}, nil, []ident.Target{"v2-1"}, []ident.Target{"v2-0"}},
		{"one failed, others in backoff", []ident.Target{"v2-0"}, nil, []ident.Target{"v1-0", "v1-1"}, []ident.Target{"v2-1"}},
		{"others failed, one blocked", []ident.Target{"v1-0", "v1-1"}, []ident.Target{"v2-0"}, nil, []ident.Target{"v2-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, r, _ := newFleet()
			f.setVersions(r, 1, "v1", "v2")
			for _, name := range c.blocked {
				for range 20 {
					r.Report(name.Hash(), false)
				}
			}
			for _, name := range c.backoff {
				r.ReportNotice(versionTarget(name), route.Notice{Backoff: 3 * time.Second})
			}
			var avoid []ident.TargetHash
			for _, name := range c.failed {
				avoid = append(avoid, name.Hash())
			}
			for key := range ident.ChatKey(10) {
				p, err := acquireVersion(r, key, "v2", avoid...)
				if err != nil {
					t.Fatalf("chat %d: %v", key, err)
				}
				if !slices.Contains(c.want, p.Target.ID) {
					t.Fatalf("chat %d was placed at %s, want one of %v", key, p.Target.ID, c.want)
				}
				p.Release()
				f.runDeferred()
			}
		})
	}
}

// Guards against permit requests without the version: a home would grant permits on targets of others, which
// the router can only decline.
func TestPermitRequestsHaveTheVersion(t *testing.T) {
	f, r := newRecorder("v1", "v2")
	var want []ident.Version
	for key := range ident.ChatKey(20) {
		p, err := acquireVersion(r, key, "v2")
		if err != nil {
			t.Fatal(err)
		}
		p.Release()
		f.runDeferred()
		want = append(want, "v2")
	}
	if diff := cmp.Diff(want, f.versions); diff != "" {
		t.Error(diff)
	}
}

// Guards against placements without a home at targets of another version, each of which must be undone.
func TestVersionWithoutHome(t *testing.T) {
	f, r, _ := newFleet()
	f.setVersions(r, 1, "v1", "v2")
	for _, name := range routers {
		f.down[name] = true
	}
	const requests = 20
	for key := range ident.ChatKey(requests) {
		// The requests go on, so that the targets of the other version have the lowest load.
		if _, err := acquireVersion(r, key, "v2"); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(uint64(requests), r.Stats().LocalPlacements); diff != "" {
		t.Error(diff)
	}
}

// Guards against another attempt at a target that failed, or has an open circuit breaker, while one of the version
// remains: leaving targets do not count.
func TestLeavingTargetsOfTheVersionAreNotCounted(t *testing.T) {
	for _, blocked := range []bool{false, true} {
		f, r, assigned := newFleet()
		f.setVersions(r, 1, "v1", "v2")
		third := place.Engine{ID: "v2-2", Hash: ident.Target("v2-2").Hash(), Incarnation: 1, Version: "v2"}
		leaving, _ := f.pools[0].Roster.Engine(ident.Target("v2-0").Hash())
		leaving.Leaving = true
		f.pools[0].Roster = f.pools[0].Roster.With([]place.Engine{third, leaving}, nil)
		for _, name := range routers {
			f.homes[name].SetPool(pool, place.DefaultBound, f.pools[0].Roster)
		}
		r.Set(f.pools, assigned)
		avoid := []ident.TargetHash{ident.Target("v2-0").Hash(), ident.Target("v2-1").Hash()}
		if blocked {
			for _, hash := range avoid {
				for range 20 {
					r.Report(hash, false)
				}
			}
			avoid = nil
		}
		for key := range ident.ChatKey(10) {
			p, err := acquireVersion(r, key, "v2", avoid...)
			if err != nil {
				t.Fatalf("blocked %t, chat %d: %v", blocked, key, err)
			}
			if diff := cmp.Diff(third.ID, p.Target.ID); diff != "" {
				t.Errorf("blocked %t, chat %d: %s", blocked, key, diff)
			}
			p.Release()
			f.runDeferred()
		}
	}
}

// Guards against a Retry-After delay that is lost when all targets of the version in the own region are in backoff
// and those of another region are leaving.
func TestRetryAfterOfTheVersionInTwoRegions(t *testing.T) {
	f, r, _ := newFleet()
	f.setVersions(r, 1, "v2")
	far := f.pools[0]
	far.Name, far.Region = "judge@br", "br"
	far.Roster = place.NewRoster(1, []place.Engine{{ID: "far", Hash: ident.Target("far").Hash(), Incarnation: 1, Version: "v2"}})
	r.Set([]route.Pool{f.pools[0], far}, place.Assign([]place.ShardID{id, {Pool: far.Name}}, routers))
	r.ReportNotice(versionTarget("v2-0"), route.Notice{Backoff: 3 * time.Second})
	r.ReportNotice(versionTarget("v2-1"), route.Notice{Backoff: 2 * time.Second})
	r.ReportNotice(versionTarget("far"), route.Notice{Leaving: true})
	_, err := acquireVersion(r, 1, "v2")
	var retryAfter route.RetryAfter
	errors.As(err, &retryAfter)
	if diff := cmp.Diff(2*time.Second, retryAfter.Wait); diff != "" {
		t.Errorf("%v: %s", err, diff)
	}
	if diff := cmp.Diff(route.BackingOff, fault.KindOf[route.Kind](err)); diff != "" {
		t.Error(diff)
	}
}
