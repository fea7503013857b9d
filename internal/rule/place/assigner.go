package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// Assigner updates the assignment of a region's shards as routers join and leave. A shard's score
// for a router depends on no other router, so only routers that joined or left are scored again:
// with 1,000 routers of which one changes, a thousandth of the work.
type Assigner struct {
	ids        []ShardID
	seeds      []uint64
	minCores   ident.Cores
	routers    map[ident.Router]routerInfo
	candidates []shardCandidates
}

// routerInfo is a router with the inputs of its rendezvous scores.
type routerInfo struct {
	hash   uint64
	cores  ident.Cores
	weight float64
}

// Assign assigns shards to routers by capacity.
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

// reset discards all scores if the shards or the smallest capacity changed.
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

// remove drops the routers that are no longer listed or whose capacity changed.
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
	removed := func(s scoredRouter) bool {
		_, isKept := kept[s.router]
		return s.router != "" && !isKept
	}
	a.routers = kept
	for i := range a.candidates {
		if slices.ContainsFunc(a.candidates[i].top[:], removed) {
			a.recompute(i)
		}
	}
}

// recompute selects a shard's candidates from all routers.
func (a *Assigner) recompute(i int) {
	a.candidates[i] = shardCandidates{id: a.ids[i]}
	for r, c := range a.routers {
		a.candidates[i].insert(c.score(r, a.seeds[i]))
	}
}

// add scores a new router for all shards.
func (a *Assigner) add(r ident.Router, capacities Capacities) {
	c := routerInfo{hash: xxhash.Sum64String(string(r)), cores: capacities[r], weight: weight(capacities.of(r, a.minCores))}
	a.routers[r] = c
	for i := range a.candidates {
		a.candidates[i].insert(c.score(r, a.seeds[i]))
	}
}

// score returns a router's rendezvous score for a shard.
func (c routerInfo) score(r ident.Router, seed uint64) scoredRouter {
	return scoredRouter{router: r, score: weighted(ident.Mix(seed, c.hash), c.weight)}
}
