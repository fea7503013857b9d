package place

import (
	"time"

	"valescale/internal/plat/ident"
)

// maxShardAttempts is the number of shards that are tried before one of them must place the
// request on its least loaded engine.
const maxShardAttempts = 4

// Search iterates over a pool's shards for one request: first those that its chat prefers, which
// place it only if they have room under the bound, then the least loaded of them, which must place
// it or let it wait.
type Search struct {
	order [maxShardAttempts]ident.Shard
	n     int
	next  int
}

// Step is the next permit request to send.
type Step struct {
	Shard ident.Shard
	// MustPlace requests the shard's least loaded engine. Only then may the request wait.
	MustPlace bool
}

// NewSearch starts a search for a key. If the pool is known to be saturated, trying several shards
// is useless, and the request waits in the first shard. If the version is not empty, only shards with
// usable engines of that version are tried.
func (p *Pool) NewSearch(key ident.ChatKey, version ident.Version, saturated bool) Search {
	var all [MaxShards]ident.Shard
	var s Search
	for _, shard := range all[:p.Order(key, all[:])] {
		if s.n < maxShardAttempts && (version == "" || p.roster.usableInShard(shard, version) > 0) {
			s.order[s.n] = shard
			s.n++
		}
	}
	if saturated {
		s.next = s.n
		s.n = min(s.n, 1)
	}
	return s
}

// Next returns the next step. The last step is returned again on further calls.
func (s *Search) Next(now time.Time, p *Pool) (Step, bool) {
	if s.n == 0 {
		return Step{}, false
	}
	if s.next < s.n {
		step := Step{Shard: s.order[s.next]}
		s.next++
		return step, true
	}
	return Step{Shard: s.leastLoadedShard(p), MustPlace: true}, true
}

// leastLoadedShard returns the tried shard with the lowest average work per engine.
func (s *Search) leastLoadedShard(p *Pool) ident.Shard {
	best := s.order[0]
	for _, shard := range s.order[1:s.n] {
		if p.lessLoaded(shard, best) {
			best = shard
		}
	}
	return best
}

// lessLoaded compares the average work of two shards by their last published loads.
func (p *Pool) lessLoaded(a, b ident.Shard) bool {
	return int64(p.shardLoads[a].work)*int64(p.Weights()[b]) < int64(p.shardLoads[b].work)*int64(p.Weights()[a])
}
