package peer

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// What a router says of itself arrives as it is: routers that disagree on a box's cores
// by a rounding disagree on who is home of a shard, for as long as they live.
func TestMembersArriveAsTheyAre(t *testing.T) {
	for _, cores := range []ident.Cores{0.1, 0.192, 0.4, 0.8, 3} {
		sent := Member{ID: "r", Addr: "10.0.0.1:1", Zone: "a", Region: "co", Incarnation: 7, Cores: cores, State: Live, Seq: 3}
		if diff := cmp.Diff(sent, decodeMember(EncodeMember(sent))); diff != "" {
			t.Errorf("%v cores: %s", cores, diff)
		}
	}
}

// Each router counts its own cores as it knows them and the others' as it heard them. All
// must come to the same homes.
func TestAllRoutersAgreeOnHomes(t *testing.T) {
	routers := []ident.Router{"a", "b", "c", "d", "e", "f", "g"}
	var shards []place.ShardID
	for _, pool := range []ident.Pool{"one", "two", "three", "four", "five"} {
		shards = append(shards, place.ShardID{Pool: pool})
	}
	homes := func(self ident.Router) map[place.ShardID]ident.Router {
		capacities := place.Capacities{}
		for _, r := range routers {
			own := Member{ID: r, Cores: 0.4}
			if r != self {
				own = decodeMember(EncodeMember(own))
			}
			capacities[r] = own.Cores
		}
		assigned := place.AssignBy(shards, routers, capacities)
		out := map[place.ShardID]ident.Router{}
		for _, id := range shards {
			out[id] = assigned.Home(id)
		}
		return out
	}
	for _, r := range routers[1:] {
		if diff := cmp.Diff(homes(routers[0]), homes(r)); diff != "" {
			t.Errorf("%s and %s disagree: %s", routers[0], r, diff)
		}
	}
}
