package place

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"valescale/internal/plat/ident"
)

// Assignment maps each shard of a region to its home router. Plain rendezvous hashing would give a
// few routers several shards and so most of the control traffic. Therefore a shard whose
// highest-scoring router is already home of two shards is assigned to one of its next candidates
// that is home of none. Routers with the same membership view and configuration compute the same
// assignment. Routers with different views disagree about few shards, which is safe.
type Assignment struct {
	routers    []ident.Router
	capacities Capacities
	// minCores is the smallest capacity.
	minCores ident.Cores
	// candidates are the highest-scoring routers of each shard.
	candidates []shardCandidates
	homes      map[ShardID]ident.Router
	mu         sync.Mutex
	// excluding caches, for each router, the homes of the assignment without that router.
	excluding map[ident.Router]map[ShardID]ident.Router
}

// maxCandidates is the number of routers that are considered as home of a shard.
const maxCandidates = 8

// Assign assigns the shards of all pools of a region to its live routers, all with equal capacity.
func Assign(ids []ShardID, routers []ident.Router) *Assignment { return AssignBy(ids, routers, nil) }

// AssignBy assigns the shards of all pools of a region to its live routers by capacity.
func AssignBy(ids []ShardID, routers []ident.Router, capacities Capacities) *Assignment {
	var a Assigner
	return a.Assign(ids, routers, capacities)
}

// assign gives each shard to one of its candidates, except for the excluded router.
func (a *Assignment) assign(excluding ident.Router) map[ShardID]ident.Router {
	counts := make(map[ident.Router]int, len(a.candidates))
	// load is the number of shards per capacity of a router after it gets n more shards.
	load := func(r ident.Router, n int) float64 { return float64(counts[r]+n) / a.capacities.of(r, a.minCores) }
	homes := make(map[ShardID]ident.Router, len(a.candidates))
	remaining := make([]shardCandidates, len(a.candidates))
	for i, c := range a.candidates {
		remaining[i] = c.excluding(excluding)
	}
	slices.SortFunc(remaining, byTopScore)
	for _, c := range remaining {
		home := c.top[0].router
		for _, other := range c.top[1:maxCandidates] {
			if other.router != "" && load(other.router, 1) < load(home, 0) {
				home = other.router
			}
		}
		homes[c.id] = home
		counts[home]++
	}
	return homes
}

// scoredRouter is a router with its rendezvous score for a shard.
type scoredRouter struct {
	router ident.Router
	score  float64
}

// shardCandidates holds a shard's maxCandidates highest-scoring routers and one spare, in
// descending order of score.
type shardCandidates struct {
	id  ShardID
	top [maxCandidates + 1]scoredRouter
}

// excluding returns the candidates without a router. Only the first maxCandidates entries of the
// result are valid.
func (c shardCandidates) excluding(router ident.Router) shardCandidates {
	for i := range c.top {
		if router != "" && c.top[i].router == router {
			copy(c.top[i:], c.top[i+1:])
			c.top[maxCandidates] = scoredRouter{}
			break
		}
	}
	return c
}

// byTopScore orders shards by their highest score, descending, so that a router keeps the shards
// for which it has the highest scores.
func byTopScore(a, b shardCandidates) int {
	return cmp.Or(cmp.Compare(b.top[0].score, a.top[0].score),
		cmp.Compare(a.id.Pool, b.id.Pool), cmp.Compare(a.id.Shard, b.id.Shard))
}

// insert adds a router at its rank if its score is high enough.
func (c *shardCandidates) insert(s scoredRouter) {
	for i := range c.top {
		if s.before(c.top[i]) {
			c.top[i], s = s, c.top[i]
		}
	}
}

// before reports whether a router ranks before another. Every router ranks before an empty entry.
func (s scoredRouter) before(other scoredRouter) bool {
	if other.router == "" || s.score != other.score {
		return other.router == "" || s.score > other.score
	}
	return s.router < other.router
}

// Home returns the router that is home of a shard, or the empty ID if there are no routers.
func (a *Assignment) Home(id ShardID) ident.Router {
	if home, ok := a.homes[id]; ok {
		return home
	}
	return homeOf(id, a.routers)
}

// Next returns the router that becomes home of a shard if the given home is removed. The home
// sends it its counts first, and it receives permit requests while the home does not respond.
func (a *Assignment) Next(id ShardID, home ident.Router) ident.Router {
	a.mu.Lock()
	defer a.mu.Unlock()
	excluding, ok := a.excluding[home]
	if !ok {
		excluding = a.assign(home)
		a.excluding[home] = excluding
	}
	if next, ok := excluding[id]; ok {
		return next
	}
	remaining := slices.DeleteFunc(slices.Clone(a.routers), func(r ident.Router) bool { return r == home })
	return homeOf(id, remaining)
}

// Standbys returns the routers to which a shard's home sends its counts: the next home among the
// live routers, the live home if that is another router, and the router that would be home, or
// next, if all known routers were live. The last one may act as home because of its own membership
// view.
func Standbys(id ShardID, self ident.Router, live, known *Assignment) []ident.Router {
	var out []ident.Router
	other := known.Home(id)
	if other == self {
		other = known.Next(id, self)
	}
	for _, r := range []ident.Router{live.Next(id, self), live.Home(id), other} {
		if r != "" && r != self && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// Routers returns the routers to which shards are assigned.
func (a *Assignment) Routers() []ident.Router { return a.routers }

// MaxShardsPerRouter returns the highest number of shards that one router is home of.
func (a *Assignment) MaxShardsPerRouter() int {
	counts := map[ident.Router]int{}
	for _, home := range a.homes {
		counts[home]++
	}
	maxShards := 0
	for n := range maps.Values(counts) {
		maxShards = max(maxShards, n)
	}
	return maxShards
}
