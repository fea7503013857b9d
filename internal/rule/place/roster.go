package place

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"valescale/internal/plat/ident"
)

// Roster lists the engines of a pool by shard. It never changes: With returns another that shares all shards in
// which nothing is new, so that homes, edges and whoever joins them hold each engine once, and a change of
// one engine costs no more in a large pool than in a small one.
type Roster struct {
	// shards are the engines of each shard, by hash; neither engines nor lists are changed.
	shards [][]*Engine
	// weights are the numbers of usable engines of each shard, slots how much work these can run; noLimit
	// if that of one is not known.
	weights []int
	slots   []ident.Work
	usable  int
}

// NewRoster returns the roster of some engines; shards is between one and MaxShards.
func NewRoster(shards int, engines []Engine) *Roster {
	shards = min(max(shards, 1), MaxShards)
	empty := &Roster{shards: make([][]*Engine, shards), weights: make([]int, shards), slots: make([]ident.Work, shards)}
	return empty.With(engines, nil)
}

// With returns the roster with some engines new or replaced, and others gone.
func (r *Roster) With(changed []Engine, gone []ident.TargetHash) *Roster {
	next := &Roster{shards: slices.Clone(r.shards), weights: slices.Clone(r.weights), slots: slices.Clone(r.slots), usable: r.usable}
	copied := map[ident.Shard]bool{}
	// at returns a shard's engines, which are next's own, and where one of them is or belongs.
	at := func(hash ident.TargetHash) (shard ident.Shard, i int, found bool) {
		shard = ShardOf(hash, len(r.shards))
		if !copied[shard] {
			copied[shard] = true
			next.shards[shard] = slices.Clone(r.shards[shard])
		}
		i, found = searchEngines(next.shards[shard], hash)
		return shard, i, found
	}
	for _, hash := range gone {
		if shard, i, found := at(hash); found {
			next.shards[shard] = slices.Delete(next.shards[shard], i, i+1)
		}
	}
	for _, e := range changed {
		shard, i, found := at(e.Hash)
		if !found {
			next.shards[shard] = slices.Insert(next.shards[shard], i, nil)
		}
		next.shards[shard][i] = &e
	}
	for shard := range copied {
		next.count(shard)
	}
	return next
}

// search returns where the engine with a hash is, or belongs.
func searchEngines(engines []*Engine, hash ident.TargetHash) (int, bool) {
	return slices.BinarySearchFunc(engines, hash, func(e *Engine, hash ident.TargetHash) int { return cmp.Compare(e.Hash, hash) })
}

// count sums up a shard's engines.
func (r *Roster) count(shard ident.Shard) {
	weight, slots := 0, ident.Work(0)
	for _, e := range r.shards[shard] {
		if !e.Leaving {
			weight++
			slots = addSlots(slots, e.Slots)
		}
	}
	r.usable += weight - r.weights[shard]
	r.weights[shard], r.slots[shard] = weight, slots
}

// noLimit stands for the slots of a shard one of whose engines has no limit.
const unlimited ident.Work = math.MaxInt64

// addSlots adds an engine's slots to those of its shard.
func addSlots(sum, slots ident.Work) ident.Work {
	if slots == 0 || sum == unlimited {
		return unlimited
	}
	return sum + slots
}

// shard lists the engines of a shard, none of one that the pool has not: another router may know more shards.
func (r *Roster) shard(shard ident.Shard) []*Engine {
	if int(shard) >= len(r.shards) {
		return nil
	}
	return r.shards[shard]
}

// sharesWith reports whether a shard is the very same in another roster; r may be nil.
func (r *Roster) sharesWith(other *Roster, shard ident.Shard) bool {
	if r == nil || len(r.shards) != len(other.shards) {
		return false
	}
	a, b := r.shard(shard), other.shard(shard)
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Shards is the number of shards.
func (r *Roster) Shards() int { return len(r.shards) }

// Weights are the numbers of usable engines of the shards; the caller must not change them.
func (r *Roster) Weights() []int { return r.weights }

// Len is the number of engines.
func (r *Roster) Len() int {
	n := 0
	for _, engines := range r.shards {
		n += len(engines)
	}
	return n
}

// Usable is the number of engines that may get new work.
func (r *Roster) Usable() int { return r.usable }

// Engine returns one of the engines.
func (r *Roster) Engine(hash ident.TargetHash) (Engine, bool) {
	e := r.find(hash)
	if e == nil {
		return Engine{}, false
	}
	return *e, true
}

// find returns one of the engines, which must not be changed, or nil.
func (r *Roster) find(hash ident.TargetHash) *Engine {
	engines := r.shards[ShardOf(hash, len(r.shards))]
	i, found := searchEngines(engines, hash)
	if !found {
		return nil
	}
	return engines[i]
}

// Engines lists all engines, by shard and hash.
func (r *Roster) Engines() []Engine {
	out := make([]Engine, 0, r.Len())
	for e := range r.all() {
		out = append(out, *e)
	}
	return out
}

// all goes through the engines, which must not be changed, by shard and hash.
func (r *Roster) all() iter.Seq[*Engine] {
	return func(yield func(*Engine) bool) {
		for _, engines := range r.shards {
			for _, e := range engines {
				if !yield(e) {
					return
				}
			}
		}
	}
}
