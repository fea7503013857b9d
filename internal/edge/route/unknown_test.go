package route_test

import (
	"context"
	"strconv"
	"testing"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// setUnknownEngines adds engines to the homes' pools that the router does not have, or replaces the
// two that it has by them.
func (f *fleet) setUnknownEngines(count int, replace bool) {
	var engines []place.Engine
	if !replace {
		engines = f.pools[0].Roster.Engines()
	}
	for i := range count {
		name := ident.Target("unknown-" + strconv.Itoa(i))
		engines = append(engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1})
	}
	for _, name := range routers {
		f.homes[name].SetPool(pool, place.DefaultBound, place.NewRoster(1, engines))
	}
}

// Guards against rejections of requests while targets are idle, because an edge router and a home
// have different targets. A change of targets reaches them up to a second apart, so that with a
// thousand routers and ten thousand targets some differ at every moment. For half a second a home
// granted permits on a removed target. The edge router did not have it any more, returned each
// permit, took the shard for full and rejected the request in 0 to 6 ms while three targets were
// idle; the home offered the same target again to the next request. Here the homes have other
// targets permanently: one or many more, or only others.
func TestHomesWithDifferentTargets(t *testing.T) {
	for _, c := range []struct {
		name    string
		count   int
		replace bool
	}{{"one added", 1, false}, {"many added", 40, false}, {"all replaced", 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			f, r, assigned := newFleet()
			f.setUnknownEngines(c.count, c.replace)
			for key := range ident.ChatKey(100) {
				p, err := r.Acquire(context.Background(), route.TargetRequest{Service: "judge", Key: key, Work: ident.OneRequest})
				if err != nil {
					t.Fatalf("chat %d was rejected although two targets are idle: %v", key, err)
				}
				p.Release()
				f.runDeferred()
			}
			if got := f.permits(assigned.Home(id)); got != 0 {
				t.Errorf("the home still counts %d permits, want all released", got)
			}
		})
	}
}
