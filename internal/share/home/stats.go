package home

import (
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// InFlight returns the number of permits and the number of queued requests.
func (h *Homes) InFlight() (permits, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		permits += s.home.Len()
		waiting += s.waiting()
	}
	return permits, waiting
}

// EngineRequests returns the load of an engine in requests, or zero if this router is not the home
// of its shard.
func (h *Homes) EngineRequests(pool ident.Pool, engine ident.TargetHash) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	info, ok := h.pools[pool]
	if !ok {
		return 0
	}
	s, ok := h.shards[place.ShardID{Pool: pool, Shard: place.ShardOf(engine, info.roster.Shards())}]
	if !ok {
		return 0
	}
	return int(s.home.LoadOf(engine) / ident.OneRequest)
}

// LoadRatio returns the highest ratio of an engine's load to the mean load of its pool, over the
// engines of all shards of which this router is home.
func (h *Homes) LoadRatio() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	worst := 0.0
	for _, s := range h.shards {
		worst = max(worst, s.home.LoadRatio(h.clock()))
	}
	return worst
}
