package route_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// setVersions replaces the engines by pairs of each version, in a number of shards.
func (f *fleet) setVersions(r *route.Router, shards int, versions ...ident.Version) {
	var engines []place.Engine
	for _, version := range versions {
		for i := range 2 {
			name := ident.Target(fmt.Sprint(version, "-", i))
			engines = append(engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Version: version})
		}
	}
	p := f.pools[0]
	p.Service.Shards = shards
	p.Roster = place.NewRoster(shards, engines)
	f.pools[0] = p
	for _, name := range routers {
		f.homes[name].SetPool(pool, place.DefaultBound, place.NewRoster(shards, engines))
	}
	var ids []place.ShardID
	for shard := range shards {
		ids = append(ids, place.ShardID{Pool: pool, Shard: ident.Shard(shard)})
	}
	r.Set(f.pools, place.Assign(ids, routers))
}

func acquireVersion(r *route.Router, key ident.ChatKey, version ident.Version, avoid ...ident.TargetHash) (*route.Placement, error) {
	return r.Acquire(context.Background(), route.TargetRequest{
		Service: "judge", Key: key, Work: ident.OneRequest, Version: version, Avoid: avoid,
	})
}

// Guards against streams that go on at a target of another version: by a home, by this router alone, by a home
// that does not know versions, and in a pool of which few shards have the version.
func TestOnlyTargetsOfTheVersion(t *testing.T) {
	for _, c := range []struct {
		name       string
		shards     int
		olderHomes bool
		down       bool
	}{{"home", 1, false, false}, {"no home", 1, false, true}, {"older home", 1, true, false}, {"many shards", 16, false, false}} {
		t.Run(c.name, func(t *testing.T) {
			f, r, _ := newFleet()
			f.setVersions(r, c.shards, "v1", "v2", "v3")
			f.dropVersions = c.olderHomes
			for _, name := range routers {
				f.down[name] = c.down
			}
			for key := range ident.ChatKey(40) {
				p, err := acquireVersion(r, key, "v2")
				if err != nil {
					t.Fatalf("chat %d: %v", key, err)
				}
				if p.Target.Version != "v2" {
					t.Fatalf("chat %d was placed at version %s, want v2", key, p.Target.Version)
				}
				p.Release()
				f.runDeferred()
			}
		})
	}
}

// Guards against a stream that waits for a version, or goes on at another one, when none of its targets
// accepts new work.
func TestNoTargetOfTheVersion(t *testing.T) {
	f, r, _ := newFleet()
	f.setVersions(r, 1, "v1")
	_, err := acquireVersion(r, 1, "v2")
	if diff := cmp.Diff(route.NoTarget, fault.KindOf[route.Kind](err)); diff != "" {
		t.Error(diff)
	}
}
