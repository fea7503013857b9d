package place

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// Pool is an edge router's view of a pool: its engines, their shards, and the work that this
// router itself has in flight on each.
type Pool struct {
	name   ident.Pool
	roster *Roster
	// order holds the weights of the shards in a key's order.
	order []int
	own   map[ident.TargetHash]ident.Work
	// shardLoads are the loads last published by the shards' homes. lastRequest is when this
	// router sent its last permit request to each home.
	shardLoads  shardLoads
	lastRequest [MaxShards]time.Time
	bound       Bound
	// last is the engine to which this router sent each chat last.
	last lru[engineRun]
	// gauges estimate the paces of engines by this router's own requests. level is their usual pace
	// as of levelAt.
	gauges  map[ident.TargetHash]*engineGauge
	level   pace.Level
	levelAt time.Time
}

// maxLastEngines is the number of chats whose last engine a router stores, at 24 bytes each. It
// covers all of the 1,200 prompt prefixes of a large site.
const maxLastEngines = 20_000

// NewPool returns a view without engines. shards is between one and MaxShards.
func NewPool(name ident.Pool, shards int, bound Bound) *Pool {
	return &Pool{
		name:   name,
		roster: NewRoster(shards, nil),
		own:    map[ident.TargetHash]ident.Work{},
		gauges: map[ident.TargetHash]*engineGauge{},
		bound:  bound,
		last:   newLRU[engineRun](maxLastEngines),
	}
}

// Inherit takes the work in flight and the last engines from an earlier view of the same pool,
// which must not be used afterwards.
func (p *Pool) Inherit(from *Pool) {
	p.own = from.own
	p.last = from.last
	p.gauges = from.gauges
}

// SetLast stores the engine to which this router sent a chat.
func (p *Pool) SetLast(key ident.ChatKey, engine ident.TargetHash) {
	e, _ := p.Engine(engine)
	p.last.put(key, engineRun{engine: engine, incarnation: e.Incarnation})
}

// Last returns the engine to which this router sent a chat last. It returns zero if that is
// unknown, or if the engine was removed or restarted since and its caches are empty.
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

// SetRoster replaces the pool's engines by those of a roster with the same number of shards.
func (p *Pool) SetRoster(roster *Roster) {
	p.shardLoads.scaleToWeights(p.roster.weights, roster.weights)
	p.roster = roster
	p.order = p.orderWeights()
	p.removeGauges()
}

// HasRoom reports whether a shard with the given load can run another request.
func (p *Pool) HasRoom(shard ident.Shard, work ident.Work) bool {
	return work <= p.roster.slots[shard]-ident.OneRequest
}

// HasRoomElsewhere reports whether a shard other than the given one can run another request according
// to its latest load.
func (p *Pool) HasRoomElsewhere(now time.Time, shard ident.Shard, work ident.Work) bool {
	for i := range p.roster.Shards() {
		load := &p.shardLoads[i]
		if ident.Shard(i) != shard && now.Sub(load.at) <= p.bound.DigestTTL && p.roster.slots[i]-load.work >= work && p.roster.weights[i] > 0 {
			return true
		}
	}
	return false
}

// orderWeights returns the shards' weights in a key's order. With a PreferredFactor, shards have
// equal weight regardless of their number of engines: a chat that moves to another shard loses its
// cached prefix, and the bound compensates for the uneven load.
func (p *Pool) orderWeights() []int {
	if p.bound.PreferredFactor <= 0 {
		return p.Weights()
	}
	equalWeights := make([]int, p.Shards())
	for i, w := range p.Weights() {
		equalWeights[i] = min(w, 1)
	}
	return equalWeights
}

// Weights returns the numbers of usable engines of the shards. The caller must not modify them.
func (p *Pool) Weights() []int { return p.roster.weights }

// ResetHome records that a shard has a new home, which has received no shard loads from this router
// yet.
func (p *Pool) ResetHome(shard ident.Shard) { p.lastRequest[shard] = time.Time{} }

// Usable returns the number of engines that may receive new requests.
func (p *Pool) Usable() int { return p.roster.usable }

// UsableOf returns the number of engines of a version that may receive new requests. An empty version
// stands for all.
func (p *Pool) UsableOf(version ident.Version) int {
	if version == "" {
		return p.Usable()
	}
	count := 0
	for shard := range p.Shards() {
		count += p.roster.usableInShard(ident.Shard(shard), version)
	}
	return count
}

// Shards returns the number of shards.
func (p *Pool) Shards() int { return p.roster.Shards() }

// AcceptsWork reports whether an engine may receive new requests.
func (p *Pool) AcceptsWork(hash ident.TargetHash) bool {
	e := p.roster.find(hash)
	return e != nil && !e.Leaving
}

// Engine returns one of the pool's engines.
func (p *Pool) Engine(hash ident.TargetHash) (Engine, bool) { return p.roster.Engine(hash) }

// First returns the first shard in a key's order.
func (p *Pool) First(key ident.ChatKey) (ident.Shard, bool) {
	var order [MaxShards]ident.Shard
	n := p.Order(key, order[:])
	return order[0], n > 0
}

// Engines lists the pool's engines.
func (p *Pool) Engines() []Engine { return p.roster.Engines() }

// Order fills out with the shards in a key's order and returns their number.
func (p *Pool) Order(key ident.ChatKey, out []ident.Shard) int { return Order(key, p.order, out) }

// OwnWork returns the work of an engine that this router has placed.
func (p *Pool) OwnWork(engine ident.TargetHash) ident.Work { return p.own[engine] }

// AddWork adds work that this router sends to an engine.
func (p *Pool) AddWork(engine ident.TargetHash, work ident.Work) { p.own[engine] += work }

// RemoveWork removes work of this router from an engine.
func (p *Pool) RemoveWork(engine ident.TargetHash, work ident.Work) {
	p.own[engine] -= work
	if p.own[engine] <= 0 {
		delete(p.own, engine)
	}
}

// UpdateShardLoad stores a shard's load received from its home.
func (p *Pool) UpdateShardLoad(now time.Time, load ShardLoad) { p.shardLoads.update(now, load) }

// ShardLoadsFor appends to out the shard loads that this router has received since its last permit
// request to a shard's home.
func (p *Pool) ShardLoadsFor(now time.Time, to ident.Shard, out []ShardLoad) []ShardLoad {
	since := p.lastRequest[to]
	p.lastRequest[to] = now
	for i := range p.shardLoads[:p.Shards()] {
		s := &p.shardLoads[i]
		if ident.Shard(i) != to && s.at.After(since) && now.Sub(s.at) <= p.bound.DigestTTL {
			out = append(out, ShardLoad{Shard: ident.Shard(i), Age: now.Sub(s.at), Work: s.work})
		}
	}
	return out
}
