package place_test

import (
	"testing"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Seen: routers that took nearly all of 18 engines for unreachable sent their requests to two of
// them, which held 42 where the mean was 12. How: the shard was full for it, so that each of its
// requests had to be placed. Cause: such a request went to the least loaded engine of those
// left, whatever that held. Proof: the requests' lines, of rule least_loaded, with the counts
// that the home had when it decided.
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
		request.Must = true
		request.Avoid = avoid
		d := h.Place(start, request)
		if d.Result != place.Placed {
			if d.Result != place.Full {
				t.Fatalf("got %v at the bound, want a refusal at once: the other engines have room", d.Result)
			}
			continue
		}
		if got := excess(h, list, d.Engine); got > 1 {
			t.Fatalf("%.1f requests above the bound", got)
		}
	}
}
