package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// Home holds the counts and chat places of one shard.
type Home struct {
	id    ShardID
	self  ident.Router
	bound Bound
	// roster lists all engines of the pool. It is nil until they are known.
	roster  *Roster
	engines []engineLoad
	index   map[ident.TargetHash]int
	permits map[permitKey]Permit
	// granted is the work of all permits, peerWork the work of this shard that other homes
	// published.
	granted  ident.Work
	peerWork ident.Work
	// permitCount is the number of permits of each edge router.
	permitCount map[ident.Router]int
	// suspectEdges are edge routers that may have crashed, whose requests may have ended.
	suspectEdges map[ident.Router]bool
	// lastContact is when each edge router that holds permits was last in contact.
	lastContact map[ident.Router]time.Time
	places      lru[chatPlace]
	// parents holds the engine that last ran a request with each parent part.
	parents lru[engineRun]
	// shardLoads are the loads of the other shards. peerShare holds the shares of this shard that
	// other homes admitted.
	shardLoads shardLoads
	peerShare  map[ident.Router]peerShare
	// weights are the numbers of usable engines of the pool's shards, poolEngines is their sum.
	weights     []int
	poolEngines int
	seq         uint64
	// placeChanges are the chats that moved to another engine since the last digest.
	placeChanges []ChatPlace
	// lastSentShard is the shard whose load was sent last in a permit response.
	lastSentShard int
	health        health
	backoffs      backoffs
	// recoveringUntil is the time until which the home may have lost places that it had before.
	recoveringUntil time.Time
	// paced is set once the pace of an engine is known. level is the usual pace as of levelAt.
	paced   bool
	level   pace.Level
	levelAt time.Time
}

// NewHome returns a home without engines or permits. Its digests are numbered from seq on, which
// must exceed the numbers that an earlier home of this router used.
func NewHome(id ShardID, self ident.Router, bound Bound, seq uint64) *Home {
	return &Home{
		id:           id,
		self:         self,
		bound:        bound,
		index:        map[ident.TargetHash]int{},
		permits:      map[permitKey]Permit{},
		permitCount:  map[ident.Router]int{},
		suspectEdges: map[ident.Router]bool{},
		lastContact:  map[ident.Router]time.Time{},
		places:       newLRU[chatPlace](bound.MaxPlaces),
		parents:      newLRU[engineRun](bound.MaxPlaces),
		peerShare:    map[ident.Router]peerShare{},
		seq:          seq,
		health:       newHealth(),
		backoffs:     newBackoffs(),
	}
}

// SetBound replaces the bound. The maximum number of stored places does not change.
func (h *Home) SetBound(bound Bound) { h.bound = bound }

// SetRecovering sets the time until which chats without a stored place may have been placed before by a
// home that has lost its places. They are placed by their hash order alone, where they find their
// cached prefixes again, unless that engine is too slow for them.
func (h *Home) SetRecovering(until time.Time) { h.recoveringUntil = until }

// SetRoster replaces the pool's engines and with them the shard's. The shard's engines are updated
// only if they differ.
func (h *Home) SetRoster(roster *Roster) {
	before := h.roster
	h.roster = roster
	if before.sharesWith(roster, h.id.Shard) && !slices.ContainsFunc(h.engines, func(e engineLoad) bool { return !e.present }) {
		h.setWeights(roster.Weights())
		return
	}
	shard := roster.shard(h.id.Shard)
	engines := make([]Engine, 0, len(shard))
	for _, e := range shard {
		engines = append(engines, *e)
	}
	h.SetEngines(engines, roster.Weights())
}

// setWeights replaces the numbers of usable engines of all shards of the pool.
func (h *Home) setWeights(weights []int) {
	h.shardLoads.scaleToWeights(h.weights, weights)
	h.weights = weights
	h.poolEngines = 0
	for _, w := range weights {
		h.poolEngines += w
	}
}

// SetEngines replaces the shard's engines. weights are the numbers of usable engines of all shards
// of the pool.
func (h *Home) SetEngines(engines []Engine, weights []int) {
	defer h.recount()
	defer h.prune()
	h.setWeights(weights)
	for i := range h.engines {
		h.engines[i].present = false
	}
	for _, e := range engines {
		i, known := h.index[e.Hash]
		if !known {
			i = len(h.engines)
			h.index[e.Hash] = i
			h.engines = append(h.engines, engineLoad{})
		}
		if known && h.engines[i].Incarnation > e.Incarnation {
			h.engines[i].present = true
			continue
		}
		if known && h.engines[i].Incarnation < e.Incarnation {
			h.forget(e.Hash)
			h.engines[i].pacer = coldPacer{}
			h.engines[i].gauge = pace.Gauge{}
			h.engines[i].readUntil = time.Time{}
		}
		h.engines[i].Engine = e
		h.engines[i].present = true
	}
}

// prune removes engines that are no longer present and have no permits here.
func (h *Home) prune() {
	kept := h.engines[:0]
	for _, e := range h.engines {
		if e.present || e.own != 0 {
			kept = append(kept, e)
			continue
		}
		h.forget(e.Hash)
	}
	h.engines = kept
	clear(h.index)
	for i := range h.engines {
		h.index[h.engines[i].Hash] = i
	}
}

// forget removes the health records and backoffs of an engine that was removed or restarted.
func (h *Home) forget(engine ident.TargetHash) {
	h.health.forget(engine)
	h.backoffs.forget(engine)
}

// Place decides one request and counts the permit that it grants.
func (h *Home) Place(now time.Time, req Request) Decision {
	if p, ok := h.permits[permitKey{req.Edge, req.Permit}]; ok {
		return Decision{Result: Placed, Engine: p.Engine}
	}
	h.expire(now)
	known := req.Last
	req = h.withLikelyEngine(now, req)
	total := h.Total(now)
	chosen := h.choose(now, req, total)
	if chosen.result != Placed {
		// If another shard takes the request, its engine can copy the cached prefix.
		at, _ := h.places.get(req.Key)
		return Decision{Result: chosen.result, Holder: h.holder(now, req, at, 0)}
	}
	e := &h.engines[chosen.engine]
	h.hold(Permit{Edge: req.Edge, ID: req.Permit, Engine: e.Hash, Work: req.Work})
	h.health.sent(now, req.Zone, e.Hash)
	e.pacer.sent(now, e.Cold, h.ownShare())
	h.recordReading(now, req, e)
	d := Decision{Result: Placed, Engine: e.Hash, Basis: h.basis(req, chosen.rule, total+req.Work, e)}
	if req.Once {
		return d
	}
	d.Warm = chosen.warm && known == req.Last
	if at := h.remember(now, req.Key, e); e.Hash != at.last().engine {
		// An engine that ran the chat earlier may have evicted the prefix since.
		d.Holder = h.holder(now, req, at, e.Hash)
	}
	if h.paced && req.Parent != 0 {
		h.parents.put(req.Parent, e.run())
	}
	return d
}

// remember stores a chat's engine and returns the previous place.
func (h *Home) remember(now time.Time, key ident.ChatKey, e *engineLoad) chatPlace {
	at, _ := h.places.get(key)
	next := at.movedTo(e.run(), now.Unix())
	h.places.put(key, next)
	if next.last() != at.last() {
		h.recordPlace(key, next)
	}
	return at
}

// Total returns the known work on the pool's usable engines.
func (h *Home) Total(now time.Time) ident.Work {
	return h.ConfirmedWork() + h.shardLoads.total(now, h.bound.DigestTTL, h.id.Shard)
}

// Counts returns the work on the shard's engines that this home and others admitted, and the mean
// work on the pool's engines.
func (h *Home) Counts(now time.Time) (own, peerShare, mean ident.Work) {
	for i := range h.engines {
		own += h.engines[i].own
		peerShare += h.engines[i].peerShare
	}
	return own, peerShare, h.Total(now) / ident.Work(max(h.poolEngines, 1))
}

// ID returns the shard of this home.
func (h *Home) ID() ShardID { return h.id }

// LoadOf returns the work in flight on one engine.
func (h *Home) LoadOf(engine ident.TargetHash) ident.Work {
	i, ok := h.index[engine]
	if !ok {
		return 0
	}
	return h.engines[i].load()
}

// LoadRatio returns the shard's highest engine load divided by the pool's mean, or zero without
// load.
func (h *Home) LoadRatio(now time.Time) float64 {
	total := h.Total(now)
	if total <= 0 || h.poolEngines == 0 {
		return 0
	}
	var highest ident.Work
	for i := range h.engines {
		if h.engines[i].usable() {
			highest = max(highest, h.engines[i].load())
		}
	}
	return float64(highest) * float64(h.poolEngines) / float64(total)
}
