package place

import (
	"time"

	"valescale/internal/plat/ident"
)

// maxTries is how many shards are asked before one is asked to take the request
// on its least loaded engine.
const maxShardAttempts = 4

// Search is one request's way through a pool's shards: first those that its chat
// prefers, each asked whether it has room under the bound, then the least loaded
// of them, which is to take the request or let it wait.
type Search struct {
	order [maxShardAttempts]ident.Shard
	n     int
	next  int
}

// Step is what to ask next.
type Step struct {
	Shard ident.Shard
	// Must asks for the shard's least loaded engine; only then may the request wait.
	Must bool
}

// NewSearch starts a search for a key. With the pool known to be saturated, asking
// around is useless, and the first shard is to let the request wait.
func (p *Pool) NewSearch(key ident.ChatKey, saturated bool) Search {
	var all [MaxShards]ident.Shard
	var s Search
	s.n = min(p.Order(key, all[:]), maxShardAttempts)
	copy(s.order[:], all[:s.n])
	if saturated {
		s.next = s.n
		s.n = min(s.n, 1)
	}
	return s
}

// Next returns what to ask next; it may be called again after the last step, which
// is then the same.
func (s *Search) Next(now time.Time, p *Pool) (Step, bool) {
	if s.n == 0 {
		return Step{}, false
	}
	if s.next < s.n {
		step := Step{Shard: s.order[s.next]}
		s.next++
		return step, true
	}
	return Step{Shard: s.leastLoadedShard(p), Must: true}, true
}

// lightest returns the tried shard whose engines have the least work on average.
func (s *Search) leastLoadedShard(p *Pool) ident.Shard {
	best := s.order[0]
	for _, shard := range s.order[1:s.n] {
		if p.lessLoaded(shard, best) {
			best = shard
		}
	}
	return best
}

// lighter compares two shards' average work as their homes said last.
func (p *Pool) lessLoaded(a, b ident.Shard) bool {
	return int64(p.shardLoads[a].work)*int64(p.Weights()[b]) < int64(p.shardLoads[b].work)*int64(p.Weights()[a])
}
