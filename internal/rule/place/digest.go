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

// Digest is what a home publishes of its shard.
type Digest struct {
	ID   ShardID
	Home ident.Router
	// Seq orders the digests of one home.
	Seq uint64
	// Work is the shard's work as this home knows it, another home's share included.
	Work ident.Work
	// Loads are what this home admitted itself.
	Loads []EngineWork
	// Places are where chats went since the last digest.
	Places []ChatPlace
}

// Sum is one shard's work, as its home said some time ago. Sums travel with
// requests for permits and their answers, so that homes learn the pool's mean
// without messages of their own.
type Sum struct {
	Shard ident.Shard
	Age   time.Duration
	Work  ident.Work
}

// sums holds the latest known work of each shard of a pool.
type shardLoads [MaxShards]struct {
	at   time.Time
	work ident.Work
}

// note keeps a sum if it is later than the one known, and reports whether it was.
func (s *shardLoads) update(now time.Time, sum Sum) bool {
	if sum.Shard >= MaxShards {
		return false
	}
	known := &s[sum.Shard]
	at := now.Add(-max(sum.Age, 0))
	if !at.After(known.at) {
		return false
	}
	known.at, known.work = at, max(sum.Work, 0)
	return true
}

// Work that was there some time ago may have ended since. An old sum counts for
// less, so that a mean from old news is too low, which costs an ask elsewhere,
// rather than too high, which would break the bound.
const (
	baseStaleRatio      = 0.01
	staleRatioPerSecond = 0.02
	maxStaleRatio       = 0.25
)

// total adds up what is not older than a limit, without one shard.
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

// reweigh lowers the sums of shards that have lost engines: what their homes said
// still has the lost engines' work in it.
func (s *shardLoads) scaleToWeights(before, after []int) {
	for i := range min(len(before), len(after)) {
		if after[i] < before[i] {
			s[i].work = s[i].work * ident.Work(after[i]) / ident.Work(before[i])
		}
	}
}

// foreign is what another home of the same shard admitted.
type peerShare struct {
	digest Digest
	at     time.Time
}

// Digest returns what this home admitted itself and the shard's work as it knows it.
func (h *Home) Digest() Digest {
	h.seq++
	d := Digest{ID: h.id, Home: h.self, Seq: h.seq, Work: h.SureWork()}
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

// Work is the work on the shard's usable engines.
func (h *Home) Work() ident.Work {
	var work ident.Work
	for i := range h.engines {
		if h.engines[i].usable() {
			work += h.engines[i].load()
		}
	}
	return work
}

// SureWork is the work on the shard's usable engines without that of edges that may be gone.
func (h *Home) SureWork() ident.Work { return max(h.Work()-h.suspectWork(), 0) }

// MergeSums takes in other shards' work as an edge heard of it.
func (h *Home) MergeSums(now time.Time, list []Sum) {
	for _, s := range list {
		if s.Shard != h.id.Shard {
			h.shardLoads.update(now, s)
		}
	}
}

// sumsInAnswer is how many other shards' work an answer carries.
const maxLoadsPerResponse = 4

// NextSums returns some other shards' work, other ones with each call, so that news
// spreads from edge to edge through the homes that they ask.
func (h *Home) NextSums(now time.Time) []Sum {
	var out []Sum
	shards := len(h.weights)
	for range shards {
		h.lastSentShard = (h.lastSentShard + 1) % shards
		s := &h.shardLoads[h.lastSentShard]
		age := now.Sub(s.at)
		if ident.Shard(h.lastSentShard) == h.id.Shard || age > h.bound.DigestLife {
			continue
		}
		out = append(out, Sum{Shard: ident.Shard(h.lastSentShard), Age: age, Work: s.work})
		if len(out) == maxLoadsPerResponse {
			break
		}
	}
	return out
}

// Merge takes in another home's digest of any shard of the same pool: another
// shard's work for the mean, another home's share of this shard for its engines' loads.
func (h *Home) Merge(now time.Time, d Digest) {
	if d.Home == h.self || d.ID.Pool != h.id.Pool {
		return
	}
	if d.ID.Shard != h.id.Shard {
		h.shardLoads.update(now, Sum{Shard: d.ID.Shard, Work: d.Work})
		return
	}
	if old, ok := h.peerShare[d.Home]; ok && old.digest.Seq >= d.Seq {
		return
	}
	h.peerShare[d.Home] = peerShare{digest: d, at: now}
	h.recount()
}

// expire drops other homes' shares that were not renewed in time.
func (h *Home) expire(now time.Time) {
	for home, f := range h.peerShare {
		if now.Sub(f.at) > h.bound.DigestLife {
			delete(h.peerShare, home)
			h.recount()
		}
	}
}

// recount adds other homes' shares of this shard to its engines' loads.
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
