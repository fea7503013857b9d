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
type sums [MaxShards]struct {
	at   time.Time
	work ident.Work
}

// note keeps a sum if it is later than the one known, and reports whether it was.
func (s *sums) note(now time.Time, sum Sum) bool {
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
	staleAtOnce    = 0.01
	stalePerSecond = 0.02
	staleAtMost    = 0.25
)

// total adds up what is not older than a limit, without one shard.
func (s *sums) total(now time.Time, life time.Duration, without ident.Shard) ident.Work {
	total := 0.0
	for i := range s {
		age := now.Sub(s[i].at)
		if ident.Shard(i) == without || age > life {
			continue
		}
		stale := min(staleAtOnce+stalePerSecond*age.Seconds(), staleAtMost)
		total += float64(s[i].work) * (1 - stale)
	}
	return ident.Work(total)
}

// reweigh lowers the sums of shards that have lost engines: what their homes said
// still has the lost engines' work in it.
func (s *sums) reweigh(before, after []int) {
	for i := range min(len(before), len(after)) {
		if after[i] < before[i] {
			s[i].work = s[i].work * ident.Work(after[i]) / ident.Work(before[i])
		}
	}
}

// foreign is what another home of the same shard admitted.
type foreign struct {
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
	d.Places = slices.Clone(h.moves)
	h.moves = h.moves[:0]
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
func (h *Home) SureWork() ident.Work { return max(h.Work()-h.doubtedWork(), 0) }

// MergeSums takes in other shards' work as an edge heard of it.
func (h *Home) MergeSums(now time.Time, list []Sum) {
	for _, s := range list {
		if s.Shard != h.id.Shard {
			h.sums.note(now, s)
		}
	}
}

// sumsInAnswer is how many other shards' work an answer carries.
const sumsInAnswer = 4

// NextSums returns some other shards' work, other ones with each call, so that news
// spreads from edge to edge through the homes that they ask.
func (h *Home) NextSums(now time.Time) []Sum {
	var out []Sum
	shards := len(h.weights)
	for range shards {
		h.told = (h.told + 1) % shards
		s := &h.sums[h.told]
		age := now.Sub(s.at)
		if ident.Shard(h.told) == h.id.Shard || age > h.bound.DigestLife {
			continue
		}
		out = append(out, Sum{Shard: ident.Shard(h.told), Age: age, Work: s.work})
		if len(out) == sumsInAnswer {
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
		h.sums.note(now, Sum{Shard: d.ID.Shard, Work: d.Work})
		return
	}
	if old, ok := h.foreign[d.Home]; ok && old.digest.Seq >= d.Seq {
		return
	}
	h.foreign[d.Home] = foreign{digest: d, at: now}
	h.recount()
}

// expire drops other homes' shares that were not renewed in time.
func (h *Home) expire(now time.Time) {
	for home, f := range h.foreign {
		if now.Sub(f.at) > h.bound.DigestLife {
			delete(h.foreign, home)
			h.recount()
		}
	}
}

// recount adds other homes' shares of this shard to its engines' loads.
func (h *Home) recount() {
	for i := range h.engines {
		h.engines[i].foreign = 0
	}
	h.elsewhere = 0
	for _, f := range h.foreign {
		for _, l := range f.digest.Loads {
			h.elsewhere += l.Work
			if i, ok := h.index[l.Engine]; ok {
				h.engines[i].foreign += l.Work
			}
		}
	}
}
