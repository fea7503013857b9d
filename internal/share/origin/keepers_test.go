package origin

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// newRegions returns routers in two regions with three availability zones each, of which those are leaving
// whose number is in leaving.
func newRegions(count int, leaving ...int) []Router {
	var out []Router
	for i := range count {
		region := ident.Region([]string{"co", "br"}[i%2])
		out = append(out, Router{
			ID: ident.Router(fmt.Sprint("router-", i)), Region: region, Zone: ident.Zone(fmt.Sprint(region, "-", i/2%3)),
			Accepts: !slices.Contains(leaving, i),
		})
	}
	return out
}

// Guards against origins that are sent to another region, to a leaving router, or to the router itself, and
// against more or fewer keepers than needed.
func TestKeepersAcceptInTheRegion(t *testing.T) {
	for _, c := range []struct {
		name    string
		count   int
		leaving []int
		want    int
	}{
		{"many", 40, nil, keeperCount},
		{"some leaving", 40, []int{2, 4, 6, 8, 10, 12, 14, 16, 18, 20}, keeperCount},
		{"two in the region", 6, nil, 2},
		{"one leaving", 6, []int{2}, 1},
		{"all leaving", 6, []int{2, 4}, 0},
		{"alone in the region", 2, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			routers := newRegions(c.count, c.leaving...)
			byID := map[ident.Router]Router{}
			for _, r := range routers {
				byID[r.ID] = r
			}
			for bucket := range uint64(bucketCount) {
				kept := keepers(bucket, "router-0", "co", routers)
				if diff := cmp.Diff(c.want, len(kept)); diff != "" {
					t.Errorf("bucket %d: %s", bucket, diff)
				}
				for _, id := range kept {
					if r := byID[id]; r.Region != "co" || !r.Accepts || id == "router-0" {
						t.Errorf("bucket %d: keeper %+v", bucket, r)
					}
				}
			}
		})
	}
}

// Guards against keepers that are not asked since they are in another region or leaving, or because leaving
// routers hide them.
func TestLikelyKeepersOfAllRegions(t *testing.T) {
	for _, c := range []struct {
		name string
		// before are the leaving routers when the origin was sent, now those when it is searched.
		before, now []int
	}{
		{"no change", nil, nil},
		{"keepers leave", nil, []int{2, 4, 6, 8, 10, 3, 5, 7, 9, 11}},
		{"all leave", nil, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23}},
		{"most were leaving", []int{2, 4, 6, 8, 10, 12, 14, 16, 3, 5, 7, 9, 11, 13, 15, 17}, []int{2, 4, 6, 8, 10, 12, 14, 16, 3, 5, 7, 9, 11, 13, 15, 17}},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The streams began at the last routers of each region, which have ended.
			began := []Router{{ID: "router-22", Region: "co"}, {ID: "router-23", Region: "br"}}
			remaining := newRegions(24, c.now...)[:22]
			for bucket := range uint64(bucketCount) {
				likely := likelyKeepers(bucket, "router-0", remaining)
				if slices.Contains(likely, "router-0") {
					t.Errorf("bucket %d: the router asks itself", bucket)
				}
				if !slices.IsSorted(likely) || len(slices.Compact(slices.Clone(likely))) != len(likely) {
					t.Errorf("bucket %d: a router is asked twice: %v", bucket, likely)
				}
				for _, origin := range began {
					for _, id := range keepers(bucket, origin.ID, origin.Region, newRegions(24, c.before...)) {
						if id != "router-0" && !slices.Contains(likely, id) {
							t.Errorf("bucket %d: keeper %s of region %s is not asked", bucket, id, origin.Region)
						}
					}
				}
			}
		})
	}
}
