package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Bound is how far an engine's load may exceed the mean.
type Bound struct {
	// Factor is the multiple of the mean, above one.
	Factor float64
	// Extra is work that is added to that multiple.
	Extra ident.Work
	// Steady is the multiple of the mean load under which a chat that is nowhere yet goes
	// to the first engine of its own order, where it was if homes have forgotten it. Zero
	// sends it to the least loaded.
	Steady float64
	// Ramp is how long a joined engine takes to reach its full share.
	Ramp time.Duration
	// DigestLife is how long a digest counts after it was received.
	DigestLife time.Duration
	// Places is how many chat places a home remembers.
	Places int
}

// limit is the load that an engine must be below, given the work on all engines.
func (b Bound) limit(total float64, engines int) float64 {
	return b.Factor*total/float64(max(engines, 1)) + float64(b.Extra)
}

// BoundOf returns the default bound with a service's own multiple of the mean.
func BoundOf(factor float64) Bound {
	b := DefaultBound
	b.Factor = factor
	return b
}

// DefaultBound is the bound of the brief's users.
var DefaultBound = Bound{Factor: 1.25, Ramp: 10 * time.Second, DigestLife: 4 * time.Second, Places: 100_000}

// Engine is one target as the membership view gives it.
type Engine struct {
	ID   ident.Target
	Hash ident.TargetHash
	// Addr is where requests reach the engine.
	Addr        string
	Zone        ident.Zone
	Incarnation ident.Incarnation
	// Slots is the work that the engine can run at once; zero means no limit.
	Slots ident.Work
	// Joined is when this incarnation was first seen; zero means long ago.
	Joined time.Time
	// Leaving engines keep their permits and get no new ones.
	Leaving bool
	// Cold says what the engine bears while it is cold.
	Cold Cold
}

// Result says what became of a request for a permit.
type Result int

const (
	// Placed requests hold a permit.
	Placed Result = iota + 1
	// Full means that every engine of the shard is at the bound; another shard may have room.
	Full
	// Busy means that every engine has as much work as it can run.
	Busy
	// Empty means that the shard has no usable engine.
	Empty
)

// Request asks a home for a permit.
type Request struct {
	Edge   ident.Router
	Permit uint64
	Key    ident.ChatKey
	Work   ident.Work
	Zone   ident.Zone
	// Must says that all other shards are full. Full in answer to it means that only engines to avoid
	// have room.
	Must bool
	// Over takes engines that seem to be full, up to twice their slots: counts may be too
	// high for a while after homes have moved, and engines queue a few requests themselves.
	Over bool
	// Avoid are engines that have just failed this request or fail many.
	Avoid []ident.TargetHash
	// Lost are engines that cannot be reached: nothing can be copied from them.
	Lost []ident.TargetHash
	// Last is the engine to which the edge sent the key last, zero if it does not know: a
	// home that has just taken over, or whose pool has other shards now, has forgotten it.
	Last ident.TargetHash
	// Once means that no other request has this key, so that nobody need remember it.
	Once bool
}

// Decision is the answer to a Request.
type Decision struct {
	Result Result
	Engine ident.TargetHash
	// Warm means that the chat ran on this incarnation of the engine before.
	Warm bool
	// Holder is where a chat ran last if that is another engine, zero if nowhere: its
	// cached prefix can be taken from there.
	Holder ident.TargetHash
	// Basis is what a placement was decided from.
	Basis Basis
}

// engineLoad is an engine with the work that is counted on it.
type engineLoad struct {
	Engine
	// own is the work of permits given here, foreign what another home of this shard published.
	own       ident.Work
	peerShare ident.Work
	present   bool
	// pace follows what a cold engine got lately.
	pacer coldPacer
}

func (e *engineLoad) load() ident.Work { return e.own + e.peerShare }

func (e *engineLoad) usable() bool { return e.present && !e.Leaving }

// Home holds the counts and chat places of one shard.
type Home struct {
	id    ShardID
	self  ident.Router
	bound Bound
	// roster are all the pool's engines; nil while they are not known.
	roster  *Roster
	engines []engineLoad
	index   map[ident.TargetHash]int
	permits map[permitKey]Permit
	// granted is the work of all permits, elsewhere the work of this shard that other homes published.
	granted  ident.Work
	peerWork ident.Work
	// held counts the permits of each edge.
	permitCount map[ident.Router]int
	// doubted are edges that may be gone, whose requests may have ended.
	suspectEdges map[ident.Router]bool
	// heard is when each edge that holds permits was heard of last.
	lastContact map[ident.Router]time.Time
	places      lru[chatPlace]
	// sums are the other shards' work, foreign other homes' shares of this one.
	shardLoads shardLoads
	peerShare  map[ident.Router]peerShare
	// weights are the numbers of usable engines of the pool's shards, poolEngines their sum.
	weights     []int
	poolEngines int
	seq         uint64
	// moves are the chats that went elsewhere since the last digest.
	placeChanges []ChatPlace
	// told is the shard whose work was told last with an answer.
	lastSentShard int
	health        health
	backoffs      backoffs
}

// NewHome returns a home without engines or permits; its digests are numbered from
// seq on, which must exceed what an earlier home of this router used.
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
		places:       newLRU[chatPlace](bound.Places),
		peerShare:    map[ident.Router]peerShare{},
		seq:          seq,
		health:       newHealth(),
		backoffs:     newBackoffs(),
	}
}

// SetBound changes the bound; the size of the memory of places stays.
func (h *Home) SetBound(bound Bound) { h.bound = bound }

// SetRoster replaces the pool's engines, and with them the shard's, which cost something only if they differ.
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

// setWeights replaces the numbers of usable engines of all the pool's shards.
func (h *Home) setWeights(weights []int) {
	h.shardLoads.scaleToWeights(h.weights, weights)
	h.weights = weights
	h.poolEngines = 0
	for _, w := range weights {
		h.poolEngines += w
	}
}

// SetEngines replaces the shard's engines; weights are the numbers of usable
// engines of all the pool's shards.
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
		}
		h.engines[i].Engine = e
		h.engines[i].present = true
	}
}

// prune removes engines that are gone and have no work left here.
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

// forget drops what edges said of an engine that is gone or has started anew.
func (h *Home) forget(engine ident.TargetHash) {
	h.health.forget(engine)
	h.backoffs.forget(engine)
}

// Place decides one request and counts the permit it gives.
func (h *Home) Place(now time.Time, req Request) Decision {
	if p, ok := h.permits[permitKey{req.Edge, req.Permit}]; ok {
		return Decision{Result: Placed, Engine: p.Engine}
	}
	h.expire(now)
	total := h.Total(now)
	i, result, warm := h.choose(now, req, total)
	if result != Placed {
		// Another shard that takes the request can have the prefix copied.
		at, _ := h.places.get(req.Key)
		return Decision{Result: result, Holder: h.holder(req, at, 0)}
	}
	e := &h.engines[i]
	h.hold(Permit{Edge: req.Edge, ID: req.Permit, Engine: e.Hash, Work: req.Work})
	h.health.sent(now, req.Zone, e.Hash)
	e.pacer.sent(now, e.Cold, h.ownShare())
	d := Decision{Result: Placed, Engine: e.Hash, Basis: h.basis(req, total+req.Work, e)}
	if req.Once {
		return d
	}
	d.Warm = warm
	if at := h.remember(now, req.Key, e); e.Hash != at.last().engine {
		// An engine where it ran earlier may have dropped the prefix meanwhile.
		d.Holder = h.holder(req, at, e.Hash)
	}
	return d
}

// remember notes that a chat has gone to an engine and returns its place before.
func (h *Home) remember(now time.Time, key ident.ChatKey, e *engineLoad) chatPlace {
	at, _ := h.places.get(key)
	next := at.movedTo(engineRun{engine: e.Hash, incarnation: e.Incarnation}, now.Unix())
	h.places.put(key, next)
	if next.last() != at.last() {
		h.recordPlace(key, next)
	}
	return at
}

// Total is the work on the pool's usable engines as far as this home knows.
func (h *Home) Total(now time.Time) ident.Work {
	return h.SureWork() + h.shardLoads.total(now, h.bound.DigestLife, h.id.Shard)
}

// Counts are the work on the shard's engines that this home and others admitted, and the mean
// work on the pool's engines.
func (h *Home) Counts(now time.Time) (own, peerShare, mean ident.Work) {
	for i := range h.engines {
		own += h.engines[i].own
		peerShare += h.engines[i].peerShare
	}
	return own, peerShare, h.Total(now) / ident.Work(max(h.poolEngines, 1))
}

// ID returns the shard that this home counts.
func (h *Home) ID() ShardID { return h.id }

// LoadOf returns the work in flight on one engine.
func (h *Home) LoadOf(engine ident.TargetHash) ident.Work {
	i, ok := h.index[engine]
	if !ok {
		return 0
	}
	return h.engines[i].load()
}

// LoadRatio is the shard's highest load over the pool's mean; zero without load.
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
