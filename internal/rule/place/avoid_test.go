package place_test

import (
	"testing"

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
