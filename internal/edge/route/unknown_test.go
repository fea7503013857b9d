package route_test

import (
	"context"
	"strconv"
	"testing"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// strangers has the homes know some engines more than the router does, or without the two that it knows.
func (f *fleet) setUnknownEngines(count int, replace bool) {
	var engines []place.Engine
	if !replace {
		engines = f.pools[0].Roster.Engines()
	}
	for i := range count {
		name := ident.Target("stranger-" + strconv.Itoa(i))
		engines = append(engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1})
	}
	for _, name := range routers {
		f.homes[name].SetPool(pool, place.DefaultBound, place.NewRoster(1, engines))
	}
}

// Seen: for half a second after an edge had learnt that a target is gone and before its home had, requests were
// refused as if all were busy, in 0 to 6 ms, while three targets idled.
//
// How: the home gave places at the target that had gone. The edge, which does not know it, gave them back and took the
// answer for one of a full shard; it told nobody, so that the home offered the same again to the next request.
//
// Cause: an edge and a home were taken to know the same targets. A change reaches them up to a second apart, so
// that with a thousand routers and ten thousand targets some disagree at every moment.
//
// Proof: here homes know targets that the router does not, for good: a few, many, or no others.
func TestHomesWithDifferentTargets(t *testing.T) {
	for _, c := range []struct {
		name    string
		count   int
		replace bool
	}{{"one more", 1, false}, {"many more", 40, false}, {"others alone", 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			f, r, assigned := newFleet()
			f.setUnknownEngines(c.count, c.replace)
			for key := range ident.ChatKey(100) {
				p, err := r.Acquire(context.Background(), route.Ask{Service: "judge", Key: key, Work: ident.OneRequest})
				if err != nil {
					t.Fatalf("chat %d was refused before two idle targets: %v", key, err)
				}
				p.Release()
				f.runDeferred()
			}
			if got := f.permits(assigned.Home(id)); got != 0 {
				t.Errorf("%d places are still counted at the home, want all given back", got)
			}
		})
	}
}
