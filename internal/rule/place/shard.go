package place

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// ShardOf returns the shard of a target if its pool has n shards.
func ShardOf(target ident.TargetHash, n int) ident.Shard {
	return ident.Shard(ident.Mix(uint64(target), shardSalt) % uint64(n))
}

// shardSalt makes the choice of a shard independent of the order of engines within it.
const shardSalt = 0x5ca1e

// ShardID identifies a shard of a pool.
type ShardID struct {
	Pool  ident.Pool
	Shard ident.Shard
}

// homeOf returns the router with the highest rendezvous score for a shard, or the empty ID if
// there are no routers.
func homeOf(id ShardID, routers []ident.Router) ident.Router {
	return rendezvous(shardSeed(id), routers)
}

func shardSeed(id ShardID) uint64 {
	return ident.Mix(xxhash.Sum64String(string(id.Pool)), uint64(id.Shard))
}

// OwnerOf returns the router that is home of a named object, such as a workspace's limit.
func OwnerOf(name string, routers []ident.Router) ident.Router {
	return rendezvous(xxhash.Sum64String(name), routers)
}

func rendezvous(seed uint64, routers []ident.Router) ident.Router {
	var best ident.Router
	var bestScore uint64
	for _, r := range routers {
		score := ident.Mix(seed, xxhash.Sum64String(string(r)))
		if best == "" || score > bestScore || (score == bestScore && r < best) {
			best, bestScore = r, score
		}
	}
	return best
}

// Order fills out with the shards in a key's order of preference and returns their number. weights
// are the shards' numbers of usable engines. Shards without usable engines are omitted.
func Order(key ident.ChatKey, weights []int, out []ident.Shard) int {
	n := 0
	var scores [MaxShards]float64
	for s, w := range weights {
		if w <= 0 || n == len(out) {
			continue
		}
		// Weighted rendezvous hashing: the smallest exponential variate of rate w wins.
		score := -math.Log(ident.Unit(ident.Mix(uint64(key), uint64(s)+1))) / float64(w)
		i := n
		for i > 0 && scores[i-1] > score {
			scores[i], out[i] = scores[i-1], out[i-1]
			i--
		}
		scores[i], out[i] = score, ident.Shard(s)
		n++
	}
	return n
}

// MaxShards is the maximum number of shards of a pool.
const MaxShards = 64
