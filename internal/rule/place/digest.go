package place

import (
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
	// Work is the sum over the shard's usable engines.
	Work  ident.Work
	Loads []EngineWork
}

type digestKey struct {
	id   ShardID
	home ident.Router
}

type kept struct {
	digest Digest
	at     time.Time
}

type digests map[digestKey]kept

// Digest returns what this home admitted itself, without what others published.
func (h *Home) Digest() Digest {
	h.seq++
	d := Digest{ID: h.id, Home: h.self, Seq: h.seq}
	for i := range h.engines {
		e := &h.engines[i]
		if e.usable() {
			d.Work += e.own
		}
		if e.own != 0 {
			d.Loads = append(d.Loads, EngineWork{Engine: e.Hash, Work: e.own})
		}
	}
	return d
}

// Merge takes in another home's digest of any shard of the same pool. Older
// digests than the one known are dropped. It reports whether the digest was new.
func (h *Home) Merge(now time.Time, d Digest) bool {
	if d.Home == h.self || d.ID.Pool != h.id.Pool {
		return false
	}
	key := digestKey{d.ID, d.Home}
	if old, ok := h.digests[key]; ok && old.digest.Seq >= d.Seq {
		return false
	}
	h.digests[key] = kept{digest: d, at: now}
	h.recount(now)
	return true
}

// DropHome forgets what a router published once it is known to be gone and its edges have moved.
func (h *Home) DropHome(now time.Time, home ident.Router) {
	for key := range h.digests {
		if key.home == home {
			delete(h.digests, key)
		}
	}
	h.recount(now)
}

// expire drops digests that were not renewed in time.
func (h *Home) expire(now time.Time) {
	for key, k := range h.digests {
		if now.Sub(k.at) > h.bound.DigestLife {
			delete(h.digests, key)
			h.recount(now)
		}
	}
}

// recount adds up the digests: other shards' sums into the mean, other homes'
// counts of this shard into its engines' loads.
func (h *Home) recount(time.Time) {
	h.others = 0
	for i := range h.engines {
		h.engines[i].foreign = 0
	}
	for key, k := range h.digests {
		if key.id != h.id {
			h.others += k.digest.Work
			continue
		}
		for _, l := range k.digest.Loads {
			if i, ok := h.index[l.Engine]; ok {
				h.engines[i].foreign += l.Work
			}
		}
	}
}
