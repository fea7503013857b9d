package place

import (
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
	ID          ident.Target
	Hash        ident.TargetHash
	Zone        ident.Zone
	Incarnation ident.Incarnation
	// Slots is the work that the engine can run at once; zero means no limit.
	Slots ident.Work
	// Joined is when this incarnation was first seen; zero means long ago.
	Joined time.Time
	// Leaving engines keep their permits and get no new ones.
	Leaving bool
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
	// Must places on the least loaded engine even above the bound, when all other shards are full.
	Must bool
	// Over takes engines that seem to be full, up to twice their slots: counts may be too
	// high for a while after homes have moved, and engines queue a few requests themselves.
	Over bool
	// Avoid are engines that have just failed this request or fail many.
	Avoid []ident.TargetHash
	// Lost are engines that cannot be reached: nothing can be copied from them.
	Lost []ident.TargetHash
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
}

type engineLoad struct {
	Engine
	// own is the work of permits given here, foreign what another home of this shard published.
	own     ident.Work
	foreign ident.Work
	present bool
}

func (e *engineLoad) load() ident.Work { return e.own + e.foreign }

func (e *engineLoad) usable() bool { return e.present && !e.Leaving }

// Home holds the counts and chat places of one shard.
type Home struct {
	id      ShardID
	self    ident.Router
	bound   Bound
	engines []engineLoad
	index   map[ident.TargetHash]int
	permits map[permitKey]Permit
	// held counts the permits of each edge; synced is how far its latest list reached.
	held map[ident.Router]int
	// doubted are edges that may be gone, whose requests may have ended.
	doubted map[ident.Router]bool
	synced  map[ident.Router]uint64
	// heard is when each edge that holds permits was heard of last.
	heard  map[ident.Router]time.Time
	places memory
	// sums are the other shards' work, foreign other homes' shares of this one.
	sums    sums
	foreign map[ident.Router]foreign
	// weights are the numbers of usable engines of the pool's shards, poolEngines their sum.
	weights     []int
	poolEngines int
	seq         uint64
	// moves are the chats that went elsewhere since the last digest.
	moves []ChatPlace
	// told is the shard whose work was told last with an answer.
	told int
}

// NewHome returns a home without engines or permits; its digests are numbered from
// seq on, which must exceed what an earlier home of this router used.
func NewHome(id ShardID, self ident.Router, bound Bound, seq uint64) *Home {
	return &Home{
		id:      id,
		self:    self,
		bound:   bound,
		index:   map[ident.TargetHash]int{},
		permits: map[permitKey]Permit{},
		held:    map[ident.Router]int{},
		doubted: map[ident.Router]bool{},
		synced:  map[ident.Router]uint64{},
		heard:   map[ident.Router]time.Time{},
		places:  newMemory(bound.Places),
		foreign: map[ident.Router]foreign{},
		seq:     seq,
	}
}

// SetBound changes the bound; the size of the memory of places stays.
func (h *Home) SetBound(bound Bound) { h.bound = bound }

// SetEngines replaces the shard's engines; weights are the numbers of usable
// engines of all the pool's shards.
func (h *Home) SetEngines(engines []Engine, weights []int) {
	defer h.recount()
	defer h.prune()
	h.sums.reweigh(h.weights, weights)
	h.weights = weights
	h.poolEngines = 0
	for _, w := range weights {
		h.poolEngines += w
	}
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
		}
	}
	h.engines = kept
	clear(h.index)
	for i := range h.engines {
		h.index[h.engines[i].Hash] = i
	}
}

// Place decides one request and counts the permit it gives.
func (h *Home) Place(now time.Time, req Request) Decision {
	if p, ok := h.permits[permitKey{req.Edge, req.Permit}]; ok {
		return Decision{Result: Placed, Engine: p.Engine}
	}
	h.expire(now)
	i, result, warm := h.choose(now, req)
	if result != Placed {
		// Another shard that takes the request can have the prefix copied.
		at, _ := h.places.get(req.Key)
		return Decision{Result: result, Holder: h.holder(req.Key, at, 0, req.Lost)}
	}
	e := &h.engines[i]
	h.hold(Permit{Edge: req.Edge, ID: req.Permit, Engine: e.Hash, Work: req.Work})
	at, _ := h.places.get(req.Key)
	next := at.moved(spot{engine: e.Hash, incarnation: e.Incarnation}, now.Unix())
	h.places.put(req.Key, next)
	if next.last() != at.last() {
		h.note(req.Key, next)
	}
	d := Decision{Result: Placed, Engine: e.Hash, Warm: warm}
	if e.Hash != at.last().engine {
		// An engine where it ran earlier may have dropped the prefix meanwhile.
		d.Holder = h.holder(req.Key, at, e.Hash, req.Lost)
	}
	return d
}

// holder returns an engine at which a chat ran and that is still there, other than one.
// For a chat that is not remembered it is the first of the chat's own order.
func (h *Home) holder(key ident.ChatKey, at chatPlace, other ident.TargetHash, lost []ident.TargetHash) ident.TargetHash {
	for _, s := range at.at {
		i, known := h.index[s.engine]
		if known && s.engine != other && !avoided(lost, s.engine) && h.engines[i].present && h.engines[i].Incarnation == s.incarnation {
			return s.engine
		}
	}
	if h.bound.Steady > 0 {
		return h.likely(key, other, lost)
	}
	return 0
}

// likely returns the first engine of a chat's own order, other than one.
func (h *Home) likely(key ident.ChatKey, other ident.TargetHash, lost []ident.TargetHash) ident.TargetHash {
	var best ranked
	for i := range h.engines {
		e := &h.engines[i]
		r := ranked{index: i, set: true, score: ident.Mix(uint64(key), uint64(e.Hash))}
		if e.present && e.Hash != other && !avoided(lost, e.Hash) && r.preferred(best) {
			best = r
		}
	}
	if !best.set {
		return 0
	}
	return h.engines[best.index].Hash
}

// choose picks the chat's last engine while it is under the limit, else the one
// before, else the least loaded.
func (h *Home) choose(now time.Time, req Request) (int, Result, bool) {
	limit := h.limit(now, req.Work)
	if at, ok := h.places.get(req.Key); ok {
		for _, s := range at.at {
			i, known := h.index[s.engine]
			if known && h.engines[i].Incarnation == s.incarnation && h.admits(now, i, req, limit) == Placed {
				return i, Placed, true
			}
		}
	}
	var best, first ranked
	steady := h.steadyLimit(now)
	outcome := Empty
	for i := range h.engines {
		if !h.engines[i].usable() || avoided(req.Avoid, h.engines[i].Hash) {
			continue
		}
		verdict := h.admits(now, i, req, limit)
		if verdict != Placed {
			outcome = worse(outcome, verdict)
			continue
		}
		r := h.rank(i, req)
		best = best.better(r)
		if float64(r.load) < steady && r.preferred(first) {
			first = r
		}
	}
	switch {
	case first.set:
		return first.index, Placed, false
	case best.set:
		return best.index, Placed, false
	default:
		return 0, outcome, false
	}
}

// steadyLimit is the load under which an engine takes the chats that prefer it.
func (h *Home) steadyLimit(now time.Time) float64 {
	if h.bound.Steady <= 0 {
		return 0
	}
	return h.bound.Steady*float64(h.Total(now))/float64(max(h.poolEngines, 1)) + float64(h.bound.Extra)
}

// rank says how well an engine suits a chat that is nowhere yet: the least loaded
// first, among equals the near ones, and among those in an order of the chat's own,
// so that a home which has lost its memory tends to choose the same again.
func (h *Home) rank(i int, req Request) ranked {
	e := &h.engines[i]
	return ranked{
		index: i, set: true, load: e.load(), near: e.Zone == req.Zone,
		score: ident.Mix(uint64(req.Key), uint64(e.Hash)),
	}
}

type ranked struct {
	index int
	set   bool
	load  ident.Work
	near  bool
	score uint64
	// shard is the place of the engine's shard in the key's order.
	shard int
}

// preferred reports whether an engine comes before another in a key's own order.
func (r ranked) preferred(other ranked) bool {
	switch {
	case !other.set:
		return true
	case r.shard != other.shard:
		return r.shard < other.shard
	default:
		return r.score > other.score
	}
}

// better returns the one of two that suits better; one that is not set never does.
func (r ranked) better(other ranked) ranked {
	switch {
	case !r.set:
		return other
	case r.load != other.load:
		if other.load < r.load {
			return other
		}
	case r.near != other.near:
		if other.near {
			return other
		}
	case other.score > r.score:
		return other
	}
	return r
}

// worse keeps the finding that leaves the caller more hope elsewhere.
func worse(old, found Result) Result {
	if old == Full || found == Full {
		return Full
	}
	return found
}

func avoided(avoid []ident.TargetHash, engine ident.TargetHash) bool {
	for _, a := range avoid {
		if a == engine {
			return true
		}
	}
	return false
}

// admits says whether one engine may take the request's work now.
func (h *Home) admits(now time.Time, i int, req Request, limit float64) Result {
	e := &h.engines[i]
	if !e.usable() || avoided(req.Avoid, e.Hash) {
		return Empty
	}
	load := e.load()
	slots := e.Slots
	if req.Over {
		slots *= 2
	}
	if slots > 0 && load+req.Work > slots && load > 0 {
		return Busy
	}
	if req.Must || req.Over {
		return Placed
	}
	if float64(load) >= limit*h.ramp(now, e) {
		return Full
	}
	return Placed
}

// limit is the load that an engine must be below to take more work: the bound's
// factor times the pool's mean with the new work counted.
func (h *Home) limit(now time.Time, work ident.Work) float64 {
	return h.bound.limit((1-returning)*float64(h.Total(now)+work), h.poolEngines)
}

// returning is the share of the permits whose requests are thought to have ended
// already, while the permits are on their way back.
const returning = 0.03

// Total is the work on the pool's usable engines as far as this home knows.
func (h *Home) Total(now time.Time) ident.Work {
	return h.SureWork() + h.sums.total(now, h.bound.DigestLife, h.id.Shard)
}

// minRamp is the share that an engine has as it joins.
const minRamp = 0.1

func (h *Home) ramp(now time.Time, e *engineLoad) float64 {
	if e.Joined.IsZero() || h.bound.Ramp <= 0 {
		return 1
	}
	share := float64(now.Sub(e.Joined)) / float64(h.bound.Ramp)
	return min(max(share, minRamp), 1)
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
