package place_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

func TestStandbysAreTheNextHomes(t *testing.T) {
	ids := []place.ShardID{id, {Pool: "judge@co", Shard: 1}}
	routers := []ident.Router{"a", "b", "c", "d", "e"}
	all := place.Assign(ids, routers)
	for _, shard := range ids {
		home := all.Home(shard)
		left := slices.DeleteFunc(slices.Clone(routers), func(r ident.Router) bool { return r == home })
		live := place.Assign(ids, left)
		next := live.Home(shard)
		if got := place.Standbys(shard, home, all, all); !slices.Contains(got, next) {
			t.Errorf("standbys %v of %s, want %s among them", got, home, next)
		}
		// A router whose membership view wrongly lists the home as dead takes over, and sends it
		// its counts.
		if got := place.Standbys(shard, next, live, all); !slices.Contains(got, home) {
			t.Errorf("standbys %v of %s, want %s among them", got, next, home)
		}
	}
}

// With as many shards as routers no router is home of more than two shards, and removing one
// router moves few shards beside its own.
func TestAssignmentIsEvenAndStable(t *testing.T) {
	var routers []ident.Router
	for i := range 80 {
		routers = append(routers, ident.Router(fmt.Sprintf("router-%03d", i)))
	}
	var ids []place.ShardID
	for i := range 80 {
		ids = append(ids, place.ShardID{Pool: ident.Pool(fmt.Sprint("pool-", i/16)), Shard: ident.Shard(i % 16)})
	}
	all := place.Assign(ids, routers)
	if got := all.MaxShardsPerRouter(); got > 2 {
		t.Errorf("a router is home of %d shards, want 2 at most", got)
	}
	moved := 0
	for i := range routers {
		left := slices.Delete(slices.Clone(routers), i, i+1)
		without := place.Assign(ids, left)
		for _, id := range ids {
			if all.Home(id) != without.Home(id) {
				moved++
			}
		}
	}
	perLeaving := float64(moved) / float64(len(routers))
	t.Logf("%.2f shards moved per removed router of %d, %d shards at most per router", perLeaving, len(routers), all.MaxShardsPerRouter())
	if perLeaving > 3 {
		t.Errorf("%.2f shards moved per removed router, want 3 at most", perLeaving)
	}
	if home := place.Assign(ids, nil).Home(ids[0]); home != "" {
		t.Errorf("got home %q without routers, want none", home)
	}
}

// mixedFleet returns the shards of one pool, and routers on boxes of three sizes.
func mixedFleet(shards, routers int) (ids []place.ShardID, names []ident.Router, capacities place.Capacities) {
	for i := range shards {
		ids = append(ids, place.ShardID{Pool: "pool", Shard: ident.Shard(i)})
	}
	capacities = place.Capacities{}
	for i := range routers {
		router := ident.Router(fmt.Sprintf("router-%03d", i))
		names = append(names, router)
		capacities[router] = ident.Cores(1 + i%3)
	}
	return ids, names, capacities
}

// The next router is the home of the assignment without the home, for any box sizes.
func TestNextIsHomeWhenHomeIsRemoved(t *testing.T) {
	ids, routers, capacities := mixedFleet(64, 40)
	for _, n := range []int{1, 2, 5, 8, 9, 10, 40} {
		all := place.AssignBy(ids, routers[:n], capacities)
		for i, router := range routers[:n] {
			left := place.AssignBy(ids, slices.Delete(slices.Clone(routers[:n]), i, i+1), capacities)
			for _, id := range ids {
				if diff := cmp.Diff(left.Home(id), all.Next(id, router)); diff != "" {
					t.Fatalf("%d routers, %s removed, shard %d: %s", n, router, id.Shard, diff)
				}
			}
		}
	}
}

func BenchmarkAssign(b *testing.B) {
	ids, routers, capacities := mixedFleet(128, 300)
	for b.Loop() {
		a := place.AssignBy(ids, routers, capacities)
		// A router needs only the assignment without itself.
		a.Next(ids[0], routers[0])
	}
}

// Large boxes are homes of most shards.
func TestLargeBoxesAreHomes(t *testing.T) {
	var routers []ident.Router
	capacities := place.Capacities{}
	const large, small = 0.8, 0.2
	for i := range 64 {
		router := ident.Router(fmt.Sprintf("router-%03d", i))
		routers = append(routers, router)
		capacities[router] = small
		if i%8 == 0 {
			capacities[router] = large
		}
	}
	onLarge := 0
	const pools, shards = 50, 5
	for pool := range pools {
		var ids []place.ShardID
		for shard := range shards {
			ids = append(ids, place.ShardID{Pool: ident.Pool(fmt.Sprint("pool-", pool)), Shard: ident.Shard(shard)})
		}
		assigned := place.AssignBy(ids, routers, capacities)
		for _, id := range ids {
			if capacities[assigned.Home(id)] == large {
				onLarge++
			}
		}
	}
	if onLarge < pools*shards*85/100 {
		t.Errorf("%d of %d shards have a large box as home", onLarge, pools*shards)
	}
	unknown := place.Capacities{routers[1]: small}
	for i, id := range []place.ShardID{{Pool: "a"}, {Pool: "b"}, {Pool: "c"}} {
		if diff := cmp.Diff(place.Assign([]place.ShardID{id}, routers).Home(id), place.AssignBy([]place.ShardID{id}, routers, unknown).Home(id)); diff != "" {
			t.Errorf("shard %d, capacities unknown: %s", i, diff)
		}
	}
}
