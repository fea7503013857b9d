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
	ids     []ShardID
	seeds   []uint64
	least   ident.Cores
	routers map[ident.Router]candidate
	choices []choice
}

// candidate is a router among which shards choose.
type candidate struct {
	hash  uint64
	cores ident.Cores
	pull  float64
}

// Assign assigns shards to routers by what these can carry.
func (a *Assigner) Assign(ids []ShardID, routers []ident.Router, capacities Capacities) *Assignment {
	a.reset(ids, capacities.least())
	a.remove(routers, capacities)
	for _, r := range routers {
		if _, known := a.routers[r]; !known {
			a.add(r, capacities)
		}
	}
	out := &Assignment{
		routers: routers, capacities: capacities, least: a.least, without: map[ident.Router]map[ShardID]ident.Router{},
	}
	if len(routers) > 0 {
		out.choices = slices.Clone(a.choices)
	}
	out.homes = out.assign("")
	return out
}

// reset begins anew if the shards are others, or the measure of what boxes carry is.
func (a *Assigner) reset(ids []ShardID, least ident.Cores) {
	if a.routers != nil && a.least == least && slices.Equal(a.ids, ids) {
		return
	}
	a.ids, a.least = slices.Clone(ids), least
	a.seeds = make([]uint64, len(ids))
	a.choices = make([]choice, len(ids))
	a.routers = map[ident.Router]candidate{}
	for i, id := range ids {
		a.seeds[i] = shardSeed(id)
		a.choices[i].id = id
	}
}

// remove takes out the routers that are not among some any more, or can carry more or less than before.
func (a *Assigner) remove(routers []ident.Router, capacities Capacities) {
	stay := 0
	for _, r := range routers {
		if c, known := a.routers[r]; known && c.cores == capacities[r] {
			stay++
		}
	}
	if stay == len(a.routers) {
		return
	}
	kept := make(map[ident.Router]candidate, stay)
	for _, r := range routers {
		if c, known := a.routers[r]; known && c.cores == capacities[r] {
			kept[r] = c
		}
	}
	gone := func(s scored) bool {
		_, stays := kept[s.router]
		return s.router != "" && !stays
	}
	a.routers = kept
	for i := range a.choices {
		if slices.ContainsFunc(a.choices[i].few[:], gone) {
			a.choose(i)
		}
	}
}

// choose finds a shard's first few among all routers.
func (a *Assigner) choose(i int) {
	a.choices[i] = choice{id: a.ids[i]}
	for r, c := range a.routers {
		a.choices[i].offer(c.score(r, a.seeds[i]))
	}
}

// add has all shards look at a router.
func (a *Assigner) add(r ident.Router, capacities Capacities) {
	c := candidate{hash: xxhash.Sum64String(string(r)), cores: capacities[r], pull: pull(capacities.of(r, a.least))}
	a.routers[r] = c
	for i := range a.choices {
		a.choices[i].offer(c.score(r, a.seeds[i]))
	}
}

// score is a router's rendezvous score for a shard.
func (c candidate) score(r ident.Router, seed uint64) scored {
	return scored{router: r, score: drawn(ident.Mix(seed, c.hash), c.pull)}
}
