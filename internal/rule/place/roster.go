package place

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"valescale/internal/plat/ident"
)

// Roster lists the engines of a pool by shard. It is immutable: With returns a new roster that
// shares all unchanged shards, so that homes and edge routers hold each engine once, and a change
// of one engine costs no more in a large pool than in a small one.
type Roster struct {
	// shards holds the engines of each shard, ordered by hash. Neither the engines nor the lists
	// are modified.
	shards [][]*Engine
	// weights holds the number of usable engines of each shard. slots holds the work that these
	// can run, or unlimited if one of them has no limit.
	weights []int
	slots   []ident.Work
	usable  int
}

// NewRoster returns a roster of the given engines. shards is between one and MaxShards.
func NewRoster(shards int, engines []Engine) *Roster {
	shards = min(max(shards, 1), MaxShards)
	empty := &Roster{shards: make([][]*Engine, shards), weights: make([]int, shards), slots: make([]ident.Work, shards)}
	return empty.With(engines, nil)
}

// With returns a copy of the roster with some engines added or replaced, and others removed.
func (r *Roster) With(changed []Engine, gone []ident.TargetHash) *Roster {
	next := &Roster{shards: slices.Clone(r.shards), weights: slices.Clone(r.weights), slots: slices.Clone(r.slots), usable: r.usable}
	copied := map[ident.Shard]bool{}
	// at copies the shard of an engine into next on first use. It returns the shard and the
	// engine's position, or insert position, in it.
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

// searchEngines returns the position, or insert position, of the engine with a hash.
func searchEngines(engines []*Engine, hash ident.TargetHash) (int, bool) {
	return slices.BinarySearchFunc(engines, hash, func(e *Engine, hash ident.TargetHash) int { return cmp.Compare(e.Hash, hash) })
}

// count updates a shard's number of usable engines and slots.
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

// unlimited is the number of slots of a shard in which an engine has no limit.
const unlimited ident.Work = math.MaxInt64

// addSlots adds an engine's slots to those of its shard.
func addSlots(sum, slots ident.Work) ident.Work {
	if slots == 0 || sum == unlimited {
		return unlimited
	}
	return sum + slots
}

// shard lists the engines of a shard, or none if the pool has no such shard: another router may
// use a larger number of shards.
func (r *Roster) shard(shard ident.Shard) []*Engine {
	if int(shard) >= len(r.shards) {
		return nil
	}
	return r.shards[shard]
}

// sharesWith reports whether another roster shares a shard's list of engines. r may be nil.
func (r *Roster) sharesWith(other *Roster, shard ident.Shard) bool {
	if r == nil || len(r.shards) != len(other.shards) {
		return false
	}
	a, b := r.shard(shard), other.shard(shard)
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Shards returns the number of shards.
func (r *Roster) Shards() int { return len(r.shards) }

// Weights returns the numbers of usable engines of the shards. The caller must not modify them.
func (r *Roster) Weights() []int { return r.weights }

// Len returns the number of engines.
func (r *Roster) Len() int {
	n := 0
	for _, engines := range r.shards {
		n += len(engines)
	}
	return n
}

// Usable returns the number of engines that may receive new requests.
func (r *Roster) Usable() int { return r.usable }

// usableInShard returns the number of a shard's engines of a version that may receive new requests.
func (r *Roster) usableInShard(shard ident.Shard, version ident.Version) int {
	count := 0
	for _, e := range r.shard(shard) {
		if e.Version == version && !e.Leaving {
			count++
		}
	}
	return count
}

// Engine returns one of the engines.
func (r *Roster) Engine(hash ident.TargetHash) (Engine, bool) {
	e := r.find(hash)
	if e == nil {
		return Engine{}, false
	}
	return *e, true
}

// find returns one of the engines, which must not be modified, or nil.
func (r *Roster) find(hash ident.TargetHash) *Engine {
	engines := r.shards[ShardOf(hash, len(r.shards))]
	i, found := searchEngines(engines, hash)
	if !found {
		return nil
	}
	return engines[i]
}

// Engines lists all engines, ordered by shard and hash.
func (r *Roster) Engines() []Engine {
	out := make([]Engine, 0, r.Len())
	for e := range r.all() {
		out = append(out, *e)
	}
	return out
}

// all iterates over the engines, which must not be modified, by shard and hash.
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
