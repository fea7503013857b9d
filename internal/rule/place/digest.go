package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// EngineWork is the work that one home has admitted to one engine.
type EngineWork struct {
	Engine ident.TargetHash
	Work   ident.Work
}

// Digest is the state that a home publishes about its shard.
type Digest struct {
	ID   ShardID
	Home ident.Router
	// Seq orders the digests of one home.
	Seq uint64
	// Work is the shard's total work according to this home, including the shares of other homes.
	Work ident.Work
	// Loads is the work on each engine that this home admitted itself.
	Loads []EngineWork
	// Places are the chats that moved to another engine since the last digest.
	Places []ChatPlace
	// Paces are the paces of the shard's engines, as far as they are known.
	Paces []EnginePace
}

// ShardLoad is the load of one shard as published by its home some time ago. Shard loads are sent
// with permit requests and responses, so that homes compute the pool's mean without additional
// messages.
type ShardLoad struct {
	Shard ident.Shard
	Age   time.Duration
	Work  ident.Work
}

// shardLoads holds the latest known load of each shard of a pool.
type shardLoads [MaxShards]struct {
	at   time.Time
	work ident.Work
}

// update stores a shard load if it is newer than the stored one, and reports whether it was.
func (s *shardLoads) update(now time.Time, load ShardLoad) bool {
	if load.Shard >= MaxShards {
		return false
	}
	known := &s[load.Shard]
	at := now.Add(-max(load.Age, 0))
	if !at.After(known.at) {
		return false
	}
	known.at, known.work = at, max(load.Work, 0)
	return true
}

// The load of a shard may have decreased since it was published. Older loads are reduced, so that
// a mean computed from stale values is too low, which costs a request to another shard, instead of
// too high, which would break the bound.
const (
	baseStaleRatio      = 0.01
	staleRatioPerSecond = 0.02
	maxStaleRatio       = 0.25
)

// total returns the sum of the loads that are at most maxAge old, without one shard.
func (s *shardLoads) total(now time.Time, maxAge time.Duration, without ident.Shard) ident.Work {
	total := 0.0
	for i := range s {
		age := now.Sub(s[i].at)
		if ident.Shard(i) == without || age > maxAge {
			continue
		}
		stale := min(baseStaleRatio+staleRatioPerSecond*age.Seconds(), maxStaleRatio)
		total += float64(s[i].work) * (1 - stale)
	}
	return ident.Work(total)
}

// scaleToWeights reduces the loads of shards that lost engines. The published loads still include
// the work of the lost engines.
func (s *shardLoads) scaleToWeights(before, after []int) {
	for i := range min(len(before), len(after)) {
		if after[i] < before[i] {
			s[i].work = s[i].work * ident.Work(after[i]) / ident.Work(before[i])
		}
	}
}

// peerShare is the work that another home of the same shard admitted.
type peerShare struct {
	digest Digest
	at     time.Time
}

// Digest returns the work that this home admitted itself and the shard's total load, and clears
// the pending place changes.
func (h *Home) Digest() Digest {
	h.seq++
	d := Digest{ID: h.id, Home: h.self, Seq: h.seq, Work: h.ConfirmedWork()}
	for i := range h.engines {
		e := &h.engines[i]
		if e.own != 0 {
			d.Loads = append(d.Loads, EngineWork{Engine: e.Hash, Work: e.own})
		}
	}
	d.Places = slices.Clone(h.placeChanges)
	h.placeChanges = h.placeChanges[:0]
	return d
}

// Work returns the work on the shard's usable engines.
func (h *Home) Work() ident.Work {
	var work ident.Work
	for i := range h.engines {
		if h.engines[i].usable() {
			work += h.engines[i].load()
		}
	}
	return work
}

// ConfirmedWork returns the work on the shard's usable engines without that of suspect edge routers.
func (h *Home) ConfirmedWork() ident.Work { return max(h.Work()-h.suspectWork(), 0) }

// MergeShardLoads merges the loads of other shards that an edge router sent.
func (h *Home) MergeShardLoads(now time.Time, list []ShardLoad) {
	for _, s := range list {
		if s.Shard != h.id.Shard {
			h.shardLoads.update(now, s)
		}
	}
}

// maxLoadsPerResponse is the number of shard loads in a permit response.
const maxLoadsPerResponse = 4

// NextShardLoads returns the loads of some other shards, in rotation, so that shard loads spread
// between edge routers through the homes to which they send permit requests.
func (h *Home) NextShardLoads(now time.Time) []ShardLoad {
	var out []ShardLoad
	shards := len(h.weights)
	for range shards {
		h.lastSentShard = (h.lastSentShard + 1) % shards
		s := &h.shardLoads[h.lastSentShard]
		age := now.Sub(s.at)
		if ident.Shard(h.lastSentShard) == h.id.Shard || age > h.bound.DigestTTL {
			continue
		}
		out = append(out, ShardLoad{Shard: ident.Shard(h.lastSentShard), Age: age, Work: s.work})
		if len(out) == maxLoadsPerResponse {
			break
		}
	}
	return out
}

// Merge merges another home's digest for a shard of the same pool: another shard's load counts in
// the mean, another home's share of this shard in the loads of its engines.
func (h *Home) Merge(now time.Time, d Digest) {
	if d.Home == h.self || d.ID.Pool != h.id.Pool {
		return
	}
	if d.ID.Shard != h.id.Shard {
		h.shardLoads.update(now, ShardLoad{Shard: d.ID.Shard, Work: d.Work})
		return
	}
	if old, ok := h.peerShare[d.Home]; ok && old.digest.Seq >= d.Seq {
		return
	}
	h.peerShare[d.Home] = peerShare{digest: d, at: now}
	h.mergePaces(now, d.Paces)
	h.recount()
}

// expire removes the shares of other homes that were not renewed within DigestTTL.
func (h *Home) expire(now time.Time) {
	for home, f := range h.peerShare {
		if now.Sub(f.at) > h.bound.DigestTTL {
			delete(h.peerShare, home)
			h.recount()
		}
	}
}

// recount recomputes the work on the shard's engines that other homes admitted.
func (h *Home) recount() {
	for i := range h.engines {
		h.engines[i].peerShare = 0
	}
	h.peerWork = 0
	for _, f := range h.peerShare {
		for _, l := range f.digest.Loads {
			h.peerWork += l.Work
			if i, ok := h.index[l.Engine]; ok {
				h.engines[i].peerShare += l.Work
			}
		}
	}
}
