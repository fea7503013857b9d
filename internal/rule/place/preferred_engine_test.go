package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

var preferredBound = place.Bound{
	Factor: 2, Extra: 2 * ident.OneRequest, PreferredFactor: 1.3, DigestTTL: 4 * time.Second, MaxPlaces: 1000,
}

func newEngine(i int) place.Engine {
	id := ident.Target(fmt.Sprint("engine-", i))
	return place.Engine{ID: id, Hash: id.Hash(), Incarnation: 1}
}

// newPreferredHome returns a home with preferredBound and the given number of engines in one shard.
func newPreferredHome(engines int) *place.Home {
	h := place.NewHome(place.ShardID{Pool: "p"}, "router", preferredBound, 1)
	var list []place.Engine
	for i := range engines {
		list = append(list, newEngine(i))
	}
	h.SetEngines(list, []int{engines})
	return h
}

var permits uint64

func placeKey(h *place.Home, key ident.ChatKey, avoid ...ident.TargetHash) place.Decision {
	permits++
	return h.Place(time.Unix(1000, 0), place.Request{Edge: "edge", Permit: permits, Key: key, Work: ident.OneRequest, Avoid: avoid})
}

// A home without stored places chooses the same engine for most keys.
func TestPlacementRepeatsAfterLossOfPlaces(t *testing.T) {
	before, after := newPreferredHome(20), newPreferredHome(20)
	same := 0
	const keys = 200
	for key := range ident.ChatKey(keys) {
		was, is := placeKey(before, key), placeKey(after, key)
		before.Release("edge", permits-1)
		after.Release("edge", permits)
		if was.Engine == is.Engine {
			same++
		}
	}
	if same < keys*9/10 {
		t.Errorf("%d of %d keys were placed on the same engine", same, keys)
	}
}

// A request that is placed on another engine gets the engine from which its prompt can be copied.
func TestHolders(t *testing.T) {
	h := newPreferredHome(4)
	first := placeKey(h, 7)
	second := placeKey(h, 7, first.Engine)
	if diff := cmp.Diff(first.Engine, second.Holder); diff != "" || second.Warm {
		t.Errorf("holder of the second placement: %s, warm %v", diff, second.Warm)
	}
	third := placeKey(h, 7, first.Engine, second.Engine)
	if diff := cmp.Diff(second.Engine, third.Holder); diff != "" {
		t.Errorf("holder of the third placement: %s", diff)
	}
	if again := placeKey(h, 7, second.Engine, third.Engine); again.Engine != first.Engine || !again.Warm {
		t.Errorf("got %+v, want the first engine, which is still stored", again)
	}
	permits++
	lost := h.Place(time.Unix(1000, 0), place.Request{
		Edge: "edge", Permit: permits, Key: 7, Work: ident.OneRequest,
		Avoid: []ident.TargetHash{first.Engine, second.Engine, third.Engine},
		Lost:  []ident.TargetHash{first.Engine, third.Engine},
	})
	if diff := cmp.Diff(second.Engine, lost.Holder); diff != "" {
		t.Errorf("with two holders lost: %s", diff)
	}
}

// Engines that join or leave do not move keys to other shards.
func TestShardOrderIgnoresEngineCounts(t *testing.T) {
	order := func(engines int, key ident.ChatKey) ident.Shard {
		p := place.NewPool("p", 4, preferredBound)
		var list []place.Engine
		for i := range engines {
			list = append(list, newEngine(i))
		}
		p.SetEngines(list)
		var out [place.MaxShards]ident.Shard
		p.Order(key, out[:])
		return out[0]
	}
	for key := range ident.ChatKey(100) {
		if before, after := order(80, key), order(100, key); before != after {
			t.Fatalf("key %d moved from shard %d to %d after engines joined", key, before, after)
		}
	}
}
