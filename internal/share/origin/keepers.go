package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// Router is a router that may keep origins.
type Router struct {
	ID     ident.Router
	Zone   ident.Zone
	Region ident.Region
	// Accepts is set if the router is a keeper of new origins: it is live and not leaving.
	Accepts bool
}

const (
	// keeperCount is the number of keepers of an origin besides the router at which the stream began. Any two
	// of them and that router may fail.
	keeperCount = 3
	// askedCount is the number of routers of each region that are asked: the keepers, and those next in order
	// in case that the router which sent the origin saw other routers.
	askedCount = keeperCount + 2
	// bucketCount is the number of groups of streams that have the same keepers. It limits to how many
	// routers a router sends origins.
	bucketCount = 64
)

// bucketOf returns the group of a stream.
func bucketOf(key Key) uint64 { return ident.Mix(uint64(key), bucketSalt) % bucketCount }

// bucketSalt makes the groups independent of other uses of the key.
const bucketSalt = 0x0419

// inOrder returns the first routers of a bucket's order, at most limit. Routers of different availability
// zones come first, so that the loss of a zone loses one of them. A router that disappears moves none of the
// others back, so that the remaining keepers stay among the first.
func inOrder(bucket uint64, routers []Router, limit int) []ident.Router {
	type scored struct {
		Router
		score uint64
	}
	ranked := make([]scored, 0, len(routers))
	for _, r := range routers {
		ranked = append(ranked, scored{r, ident.Mix(bucket, xxhash.Sum64String(string(r.ID)))})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
	zones := map[ident.Zone]bool{}
	var first, rest []ident.Router
	for _, r := range ranked {
		if zones[r.Zone] {
			rest = append(rest, r.ID)
			continue
		}
		zones[r.Zone] = true
		first = append(first, r.ID)
	}
	out := slices.Concat(first, rest)
	return out[:min(len(out), limit)]
}

// keepers returns the routers that keep the origins of a bucket which begin in a region, without the router
// itself.
func keepers(bucket uint64, self ident.Router, region ident.Region, routers []Router) []ident.Router {
	candidates := slices.DeleteFunc(slices.Clone(routers), func(r Router) bool {
		return r.ID == self || r.Region != region || !r.Accepts
	})
	return inOrder(bucket, candidates, keeperCount)
}

// archiverOf returns the router that writes to the store the origins of a bucket which begin in a region, or nothing. It
// is one of the keepers of each other router.
func archiverOf(bucket uint64, region ident.Region, routers []Router) ident.Router {
	candidates := slices.DeleteFunc(slices.Clone(routers), func(r Router) bool { return r.Region != region || !r.Accepts })
	first := inOrder(bucket, candidates, 1)
	if len(first) == 0 {
		return ""
	}
	return first[0]
}

// likelyAmong returns the routers that may keep an origin of a bucket if one of the given routers has sent it. That
// router is none of its own keepers.
func likelyAmong(bucket uint64, routers []Router) []ident.Router {
	out := inOrder(bucket, routers, askedCount)
	for _, sender := range out[:min(len(out), keeperCount)] {
		others := slices.DeleteFunc(slices.Clone(routers), func(r Router) bool { return r.ID == sender })
		out = append(out, inOrder(bucket, others, keeperCount)...)
	}
	return out
}

// likelyKeepers returns the routers of all regions that may keep an origin of a bucket, without the router
// itself. Leaving routers still have what they kept, and may hide those that replace them.
func likelyKeepers(bucket uint64, self ident.Router, routers []Router) []ident.Router {
	regions := map[ident.Region][]Router{}
	for _, r := range routers {
		if r.ID != self {
			regions[r.Region] = append(regions[r.Region], r)
		}
	}
	var out []ident.Router
	for _, all := range regions {
		accepting := slices.DeleteFunc(slices.Clone(all), func(r Router) bool { return !r.Accepts })
		out = append(out, likelyAmong(bucket, accepting)...)
		out = append(out, likelyAmong(bucket, all)...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
