package place_test

import (
	"fmt"
	"testing"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Guards against requests that must be placed and exceed the bound. A router that considered
// nearly all of 18 engines unreachable sent its requests to the remaining two, which then held 42
// requests at a mean of 12: the shard was full for that router, so each of its requests had to be
// placed, and was sent to the least loaded remaining engine regardless of its load.
func TestRequestsThatMustBePlacedKeepTheBound(t *testing.T) {
	const (
		listed = 6
		spread = 24
		more   = 40
	)
	h, list := newHome(listed)
	for n := uint64(1); n <= spread; n++ {
		h.Place(start, permitRequest(n, ident.ChatKey(n)))
	}
	var avoid []ident.TargetHash
	for _, e := range list[1:] {
		avoid = append(avoid, e.Hash)
	}
	for n := uint64(spread + 1); n <= spread+more; n++ {
		request := permitRequest(n, ident.ChatKey(n))
		request.MustPlace = true
		request.Avoid = avoid
		d := h.Place(start, request)
		if d.Result != place.Placed {
			if d.Result != place.Full {
				t.Fatalf("got %v at the bound, want full: the other engines have room", d.Result)
			}
			continue
		}
		if got := excess(h, list, d.Engine); got > 1 {
			t.Fatalf("%.1f requests above the bound", got)
		}
	}
}

// Guards against a load bound that grows with the load of the few engines of one version: engines of other versions
// run other requests, so they count in the mean even while they have none.
func TestBoundCountsEnginesOfOtherVersions(t *testing.T) {
	const versions, more = 4, 40
	h := place.NewHome(place.ShardID{Pool: "p"}, "home", place.DefaultBound, 1)
	var engines []place.Engine
	for i, version := range []ident.Version{"v1", "v2", "v3", "v4"} {
		name := ident.Target(fmt.Sprint("engine-", i))
		engines = append(engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Version: version})
	}
	h.SetRoster(place.NewRoster(1, engines))
	now := time.Unix(1000, 0)
	request := func(permit int, version ident.Version) {
		h.Place(now, place.Request{
			Edge: "edge", Permit: uint64(permit), Key: ident.ChatKey(permit), Work: ident.OneRequest, MustPlace: true, Version: version,
		})
	}
	for permit := range more {
		request(permit, "v1")
	}
	load := h.LoadOf(engines[0].Hash).Requests()
	if limit := place.DefaultBound.Factor*load/versions + 1; load > limit {
		t.Errorf("one of %d engines runs %v requests, the others none; want at most %v", versions, load, limit)
	}
}
