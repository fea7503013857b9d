package place

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// Assignment says which router is home of each shard of a region. Plain rendezvous
// hashing would give a few routers several shards and so most of the control
// traffic. Here a shard whose first router is home of two already goes to one of its
// first few that is home of none. All routers with the same view and configuration
// come to the same; others differ in few shards, which is safe.
type Assignment struct {
	ids     []ShardID
	routers []ident.Router
	homes   map[ShardID]ident.Router
	mu      sync.Mutex
	// without are the assignments that lack one router, made when asked for.
	without map[ident.Router]*Assignment
}

// firstFew is among how many routers a shard chooses.
const firstFew = 8

// Assign assigns the shards of all pools of a region to its live routers.
func Assign(ids []ShardID, routers []ident.Router) *Assignment {
	a := &Assignment{
		ids: ids, routers: routers, homes: make(map[ShardID]ident.Router, len(ids)), without: map[ident.Router]*Assignment{},
	}
	counts := make(map[ident.Router]int, len(routers))
	for _, c := range choices(ids, routers) {
		home := c.few[0].router
		for _, other := range c.few[1:] {
			if other.router != "" && counts[other.router]+1 < counts[home] {
				home = other.router
			}
		}
		a.homes[c.id] = home
		counts[home]++
	}
	return a
}

// scored is a router with its rendezvous score for a shard.
type scored struct {
	router ident.Router
	score  uint64
}

// choice is a shard's first few routers, the first one first.
type choice struct {
	id  ShardID
	few [firstFew]scored
}

// offer puts a router in its place among the first few.
func (c *choice) offer(s scored) {
	for i := range c.few {
		if c.few[i].router == "" || s.score > c.few[i].score {
			c.few[i], s = s, c.few[i]
		}
	}
}

// choices returns each shard's first few routers, the firmest first choices first,
// so that a router's nearest shards stay with it.
func choices(ids []ShardID, routers []ident.Router) []choice {
	if len(routers) == 0 {
		return nil
	}
	hashes := make([]uint64, len(routers))
	for i, r := range routers {
		hashes[i] = xxhash.Sum64String(string(r))
	}
	out := make([]choice, 0, len(ids))
	for _, id := range ids {
		c := choice{id: id}
		seed := shardSeed(id)
		for i, r := range routers {
			c.offer(scored{router: r, score: ident.Mix(seed, hashes[i])})
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.few[0].score, a.few[0].score),
			cmp.Compare(a.id.Pool, b.id.Pool), cmp.Compare(a.id.Shard, b.id.Shard))
	})
	return out
}

// Home returns the router that is home of a shard, or the empty id without routers.
func (a *Assignment) Home(id ShardID) ident.Router {
	if home, ok := a.homes[id]; ok {
		return home
	}
	return homeOf(id, a.routers)
}

// Next returns the router that would be home of a shard without a given one: the
// first that a home tells its counts, and that is asked while the home is silent.
func (a *Assignment) Next(id ShardID, home ident.Router) ident.Router {
	a.mu.Lock()
	defer a.mu.Unlock()
	without, ok := a.without[home]
	if !ok {
		left := slices.DeleteFunc(slices.Clone(a.routers), func(r ident.Router) bool { return r == home })
		without = Assign(a.ids, left)
		a.without[home] = without
	}
	return without.Home(id)
}

// Standbys returns the routers that a shard's home tells its counts: the next in
// line among the live, and whoever else would be home, or next, if all that are
// known were live. The latter may well believe to be home.
func Standbys(id ShardID, self ident.Router, live, known *Assignment) []ident.Router {
	var out []ident.Router
	other := known.Home(id)
	if other == self {
		other = known.Next(id, self)
	}
	for _, r := range []ident.Router{live.Next(id, self), other} {
		if r != "" && r != self && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// Routers returns the routers among which shards are assigned.
func (a *Assignment) Routers() []ident.Router { return a.routers }

// Busiest is the most shards that one router is home of.
func (a *Assignment) Busiest() int {
	counts := map[ident.Router]int{}
	for _, home := range a.homes {
		counts[home]++
	}
	most := 0
	for n := range maps.Values(counts) {
		most = max(most, n)
	}
	return most
}
