package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// homesOf returns the home and the next router of each shard.
func homesOf(a *place.Assignment, ids []place.ShardID) map[place.ShardID][2]ident.Router {
	out := map[place.ShardID][2]ident.Router{}
	for _, id := range ids {
		home := a.Home(id)
		out[id] = [2]ident.Router{home, a.Next(id, home)}
	}
	return out
}

// Routers with different histories of the same fleet must compute the same homes, so an updated
// assignment must equal a new one.
func TestAssignmentIsIndependentOfHistory(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		ids, names, capacities := mixedFleet(24, 60)
		var assigner place.Assigner
		for step := range 30 {
			var routers []ident.Router
			for _, r := range names {
				// Every tenth step removes half of the fleet at once.
				if share := rng.IntN(10); step%10 == 9 && share < 5 || share > 0 && step%10 != 9 {
					routers = append(routers, r)
				}
			}
			now := place.Capacities{}
			for r, cores := range capacities {
				now[r] = cores
			}
			now[names[rng.IntN(len(names))]] = ident.Cores(rng.IntN(5))
			shards := ids[:len(ids)-step%3]
			got := assigner.Assign(shards, routers, now)
			want := place.AssignBy(shards, routers, now)
			if diff := cmp.Diff(homesOf(want, shards), homesOf(got, shards)); diff != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, diff)
			}
		}
	}
}

// BenchmarkAssigner measures the update after one router leaves or rejoins.
func BenchmarkAssigner(b *testing.B) {
	for _, routers := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			ids, names, capacities := mixedFleet(80, routers)
			var assigner place.Assigner
			assigner.Assign(ids, names, capacities)
			for i := 0; b.Loop(); i++ {
				assigner.Assign(ids, names[:routers-i%2], capacities)
			}
		})
	}
}
