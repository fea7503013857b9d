package place

import (
	"time"

	"valescale/internal/plat/ident"
)

// Pool is one edge's picture of a pool: its engines, their shards, and the work
// that this router itself has in flight on each.
type Pool struct {
	name   ident.Pool
	roster *Roster
	// order are the weights by which a key orders the shards.
	order []int
	own   map[ident.TargetHash]ident.Work
	// sums are the shards' work as their homes said last; asked is when each home was asked last.
	shardLoads  shardLoads
	lastRequest [MaxShards]time.Time
	bound       Bound
	// last is the engine to which this router sent each chat last.
	last lru[engineRun]
}

// lastChats is how many chats' engines a router remembers: at 1,200 subjects of a large
// site all of them; 24 bytes each.
const maxLastEngines = 20_000

// NewPool returns a picture without engines; shards is between one and MaxShards.
func NewPool(name ident.Pool, shards int, bound Bound) *Pool {
	return &Pool{
		name:   name,
		roster: NewRoster(shards, nil),
		own:    map[ident.TargetHash]ident.Work{},
		bound:  bound,
		last:   newLRU[engineRun](maxLastEngines),
	}
}

// Inherit takes over from an earlier picture of the same pool what this router has sent
// where; the earlier one must not be used afterwards.
func (p *Pool) Inherit(from *Pool) {
	p.own = from.own
	p.last = from.last
}

// Remember notes the engine to which this router sent a chat.
func (p *Pool) Remember(key ident.ChatKey, engine ident.TargetHash) {
	e, _ := p.Engine(engine)
	p.last.put(key, engineRun{engine: engine, incarnation: e.Incarnation})
}

// Last is the engine to which this router sent a chat last, zero if that is not known, or
// the engine is gone or has started anew since: its caches are empty then.
func (p *Pool) Last(key ident.ChatKey) ident.TargetHash {
	at, _ := p.last.get(key)
	e, known := p.Engine(at.engine)
	if !known || e.Incarnation != at.incarnation {
		return 0
	}
	return at.engine
}

// SetEngines replaces the pool's engines.
func (p *Pool) SetEngines(engines []Engine) { p.SetRoster(NewRoster(p.Shards(), engines)) }

// SetRoster replaces the pool's engines by those of a roster with as many shards.
func (p *Pool) SetRoster(roster *Roster) {
	p.shardLoads.scaleToWeights(p.roster.weights, roster.weights)
	p.roster = roster
	p.order = p.orderWeights()
}

// HasRoom reports whether a shard with some work can run another request.
func (p *Pool) HasRoom(shard ident.Shard, work ident.Work) bool {
	return work <= p.roster.slots[shard]-ident.OneRequest
}

// orderWeights are the shards' weights in a key's order. With a steady bound shards count
// alike, whatever the number of their engines: a chat that changes its shard leaves its
// cached prefix behind, and the bound evens out what is uneven.
func (p *Pool) orderWeights() []int {
	if p.bound.Steady <= 0 {
		return p.Weights()
	}
	alike := make([]int, p.Shards())
	for i, w := range p.Weights() {
		alike[i] = min(w, 1)
	}
	return alike
}

// Weights are the numbers of usable engines of the shards; the caller must not change them.
func (p *Pool) Weights() []int { return p.roster.weights }

// NewHome notes that a shard has another home, which has heard nothing yet.
func (p *Pool) NewHome(shard ident.Shard) { p.lastRequest[shard] = time.Time{} }

// Usable is the number of engines that may get new work.
func (p *Pool) Usable() int { return p.roster.usable }

// Shards is the number of the pool's shards.
func (p *Pool) Shards() int { return p.roster.Shards() }

// Takes reports whether an engine may get new work.
func (p *Pool) Takes(hash ident.TargetHash) bool {
	e := p.roster.find(hash)
	return e != nil && !e.Leaving
}

// Engine returns one of the pool's engines.
func (p *Pool) Engine(hash ident.TargetHash) (Engine, bool) { return p.roster.Engine(hash) }

// First returns the shard that a key prefers.
func (p *Pool) First(key ident.ChatKey) (ident.Shard, bool) {
	var order [MaxShards]ident.Shard
	n := p.Order(key, order[:])
	return order[0], n > 0
}

// Engines lists the pool's engines.
func (p *Pool) Engines() []Engine { return p.roster.Engines() }

// Order fills out with the shards in the order that a key prefers.
func (p *Pool) Order(key ident.ChatKey, out []ident.Shard) int { return Order(key, p.order, out) }

// Begin counts work that this router sends to an engine.
func (p *Pool) Begin(engine ident.TargetHash, work ident.Work) { p.own[engine] += work }

// End takes work of this router off an engine.
func (p *Pool) End(engine ident.TargetHash, work ident.Work) {
	p.own[engine] -= work
	if p.own[engine] <= 0 {
		delete(p.own, engine)
	}
}

// NoteSum keeps a shard's work as its home just said it.
func (p *Pool) NoteSum(now time.Time, sum Sum) { p.shardLoads.update(now, sum) }

// SumsFor appends to out the shards' work that a shard's home cannot have heard
// from this router yet.
func (p *Pool) SumsFor(now time.Time, to ident.Shard, out []Sum) []Sum {
	since := p.lastRequest[to]
	p.lastRequest[to] = now
	for i := range p.shardLoads[:p.Shards()] {
		s := &p.shardLoads[i]
		if ident.Shard(i) != to && s.at.After(since) && now.Sub(s.at) <= p.bound.DigestLife {
			out = append(out, Sum{Shard: ident.Shard(i), Age: now.Sub(s.at), Work: s.work})
		}
	}
	return out
}
