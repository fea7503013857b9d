package place

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"valescale/internal/plat/ident"
)

// Assignment says which router is home of each shard of a region. Plain rendezvous
// hashing would give a few routers several shards and so most of the control
// traffic. Here a shard whose first router is home of two already goes to one of its
// first few that is home of none. All routers with the same view and configuration
// come to the same; others differ in few shards, which is safe.
type Assignment struct {
	routers    []ident.Router
	capacities Capacities
	// least is the smallest of the capacities.
	minCores ident.Cores
	// choices are the shards' first few routers and one more.
	candidates []shardCandidates
	homes      map[ShardID]ident.Router
	mu         sync.Mutex
	// without are the homes of assignments that lack one router, made when asked for.
	excluding map[ident.Router]map[ShardID]ident.Router
}

// firstFew is among how many routers a shard chooses.
const maxCandidates = 8

// Assign assigns the shards of all pools of a region to its live routers, which can all
// carry the same.
func Assign(ids []ShardID, routers []ident.Router) *Assignment { return AssignBy(ids, routers, nil) }

// AssignBy assigns the shards of all pools of a region to its live routers by what they
// can carry.
func AssignBy(ids []ShardID, routers []ident.Router, capacities Capacities) *Assignment {
	var a Assigner
	return a.Assign(ids, routers, capacities)
}

// assign gives each shard to one of its first few routers, leaving one out.
func (a *Assignment) assign(excluding ident.Router) map[ShardID]ident.Router {
	counts := make(map[ident.Router]int, len(a.candidates))
	// load is how busy a router is once it has some more shards.
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

// scored is a router with its rendezvous score for a shard.
type scoredRouter struct {
	router ident.Router
	score  float64
}

// choice is a shard's first few routers and one more, the first one first.
type shardCandidates struct {
	id  ShardID
	top [maxCandidates + 1]scoredRouter
}

// without returns the choice as it would be without a router; of that the first few are right.
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

// firmest orders shards by their first choices, the firmest first, so that a router's
// nearest shards stay with it.
func byTopScore(a, b shardCandidates) int {
	return cmp.Or(cmp.Compare(b.top[0].score, a.top[0].score),
		cmp.Compare(a.id.Pool, b.id.Pool), cmp.Compare(a.id.Shard, b.id.Shard))
}

// offer puts a router in its place among the first few.
func (c *shardCandidates) insert(s scoredRouter) {
	for i := range c.top {
		if s.before(c.top[i]) {
			c.top[i], s = s, c.top[i]
		}
	}
}

// before reports whether a router comes before another, or before none.
func (s scoredRouter) before(other scoredRouter) bool {
	if other.router == "" || s.score != other.score {
		return other.router == "" || s.score > other.score
	}
	return s.router < other.router
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

// Standbys returns the routers that a shard's home tells its counts: the next in
// line among the live, the one that is home if that is another, and whoever else would be home,
// or next, if all that are known were live. The latter may well believe to be home.
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
