package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// Assigner assigns the shards of a region again and again while routers come and go. What a shard thinks of a router
// depends on nobody else, so that only those that came or went are looked at anew: at 1,000 routers of which
// one moves, a thousandth of the work.
type Assigner struct {
	ids        []ShardID
	seeds      []uint64
	minCores   ident.Cores
	routers    map[ident.Router]routerInfo
	candidates []shardCandidates
}

// candidate is a router among which shards choose.
type routerInfo struct {
	hash   uint64
	cores  ident.Cores
	weight float64
}

// Assign assigns shards to routers by what these can carry.
func (a *Assigner) Assign(ids []ShardID, routers []ident.Router, capacities Capacities) *Assignment {
	a.reset(ids, capacities.minCores())
	a.remove(routers, capacities)
	for _, r := range routers {
		if _, known := a.routers[r]; !known {
			a.add(r, capacities)
		}
	}
	out := &Assignment{
		routers: routers, capacities: capacities, minCores: a.minCores, excluding: map[ident.Router]map[ShardID]ident.Router{},
	}
	if len(routers) > 0 {
		out.candidates = slices.Clone(a.candidates)
	}
	out.homes = out.assign("")
	return out
}

// reset begins anew if the shards are others, or the measure of what boxes carry is.
func (a *Assigner) reset(ids []ShardID, minCores ident.Cores) {
	if a.routers != nil && a.minCores == minCores && slices.Equal(a.ids, ids) {
		return
	}
	a.ids, a.minCores = slices.Clone(ids), minCores
	a.seeds = make([]uint64, len(ids))
	a.candidates = make([]shardCandidates, len(ids))
	a.routers = map[ident.Router]routerInfo{}
	for i, id := range ids {
		a.seeds[i] = shardSeed(id)
		a.candidates[i].id = id
	}
}

// remove takes out the routers that are not among some any more, or can carry more or less than before.
func (a *Assigner) remove(routers []ident.Router, capacities Capacities) {
	keptCount := 0
	for _, r := range routers {
		if c, known := a.routers[r]; known && c.cores == capacities[r] {
			keptCount++
		}
	}
	if keptCount == len(a.routers) {
		return
	}
	kept := make(map[ident.Router]routerInfo, keptCount)
	for _, r := range routers {
		if c, known := a.routers[r]; known && c.cores == capacities[r] {
			kept[r] = c
		}
	}
	gone := func(s scoredRouter) bool {
		_, isKept := kept[s.router]
		return s.router != "" && !isKept
	}
	a.routers = kept
	for i := range a.candidates {
		if slices.ContainsFunc(a.candidates[i].top[:], gone) {
			a.recompute(i)
		}
	}
}

// choose finds a shard's first few among all routers.
func (a *Assigner) recompute(i int) {
	a.candidates[i] = shardCandidates{id: a.ids[i]}
	for r, c := range a.routers {
		a.candidates[i].insert(c.score(r, a.seeds[i]))
	}
}

// add has all shards look at a router.
func (a *Assigner) add(r ident.Router, capacities Capacities) {
	c := routerInfo{hash: xxhash.Sum64String(string(r)), cores: capacities[r], weight: weight(capacities.of(r, a.minCores))}
	a.routers[r] = c
	for i := range a.candidates {
		a.candidates[i].insert(c.score(r, a.seeds[i]))
	}
}

// score is a router's rendezvous score for a shard.
func (c routerInfo) score(r ident.Router, seed uint64) scoredRouter {
	return scoredRouter{router: r, score: weighted(ident.Mix(seed, c.hash), c.weight)}
}
