package home

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// The basis of a placement reaches the log of the edge router at a resolution of a tenth of a
// request.
func TestBasisRoundTrip(t *testing.T) {
	for _, rule := range []place.Rule{place.WithinBound, place.LeastLoaded, place.BeyondSlots} {
		want := PermitResponse{
			Result: Placed, Engine: 7,
			Basis: place.Basis{Rule: rule, Load: 12 * ident.OneRequest, Mean: 64 * ident.OneRequest / 10},
		}
		if diff := cmp.Diff(want, decodePermitResponse(encodePermitResponse(want)), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	}
	rejected := PermitResponse{Result: Shed, Held: 3}
	if diff := cmp.Diff(rejected, decodePermitResponse(encodePermitResponse(rejected)), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}
