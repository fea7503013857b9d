package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// holder returns an engine at which a chat ran and that is still there, other than one. It
// may belong to another shard by now: a pool that outgrows its shards deals out half of its
// engines anew. For a chat that is not remembered it is where the edge sent it last, else
// the first of the chat's own order, which shares at most the beginning of its prompt.
func (h *Home) holder(req Request, at chatPlace, other ident.TargetHash) ident.TargetHash {
	var elsewhere ident.TargetHash
	for _, s := range at.at {
		if s == (engineRun{}) || s.engine == other || slices.Contains(req.Lost, s.engine) {
			continue
		}
		i, known := h.index[s.engine]
		here := known && h.engines[i].present
		if here && h.engines[i].Incarnation == s.incarnation {
			return s.engine
		}
		if !here && elsewhere == 0 && h.inPool(s) {
			elsewhere = s.engine
		}
	}
	if elsewhere != 0 {
		return elsewhere
	}
	if req.Last != 0 && req.Last != other && !slices.Contains(req.Lost, req.Last) {
		return req.Last
	}
	if h.bound.Steady > 0 && !req.Once {
		return h.firstPreferred(req.Key, other, req.Lost)
	}
	return 0
}

// inPool reports whether an engine at which a chat ran is still there, in whatever shard.
func (h *Home) inPool(s engineRun) bool {
	if h.roster == nil {
		return false
	}
	e := h.roster.find(s.engine)
	return e != nil && e.Incarnation == s.incarnation
}

// likely returns the first engine of a chat's own order, other than one.
func (h *Home) firstPreferred(key ident.ChatKey, other ident.TargetHash, lost []ident.TargetHash) ident.TargetHash {
	var best ranked
	for i := range h.engines {
		e := &h.engines[i]
		r := ranked{index: i, set: true, score: ident.Mix(uint64(key), uint64(e.Hash))}
		if e.present && e.Hash != other && !slices.Contains(lost, e.Hash) && r.preferred(best) {
			best = r
		}
	}
	if !best.set {
		return 0
	}
	return h.engines[best.index].Hash
}

// choose picks an engine among those that do not fail many requests, or any when none of
// these is there or all are busy: a doubtful engine is better than waiting. total is the work on
// the pool's engines without the request's.
func (h *Home) choose(now time.Time, req Request, total ident.Work) (int, Result, bool) {
	blockedEngines := h.blockedEngines(now, req.Zone)
	if len(blockedEngines) == 0 {
		return h.chooseAmong(now, req, total)
	}
	filtered := req
	filtered.Avoid = slices.Concat(req.Avoid, blockedEngines)
	i, result, warm := h.chooseAmong(now, filtered, total)
	if result == Empty || result == Busy || result == Full && req.finalShard() {
		return h.chooseAmong(now, req, total)
	}
	return i, result, warm
}

// chooseAmong picks the chat's last engine while it is under the limit, else the one
// before, else the least loaded.
func (h *Home) chooseAmong(now time.Time, req Request, total ident.Work) (int, Result, bool) {
	limit := h.limit(total + req.Work)
	if req.finalShard() {
		limit = max(limit, h.shardLimit(req))
	}
	if i, found := h.findWarm(now, req, limit); found {
		return i, Placed, true
	}
	var best, first ranked
	steady := h.steadyLimit(total)
	outcome := Empty
	for i := range h.engines {
		verdict := h.admits(now, i, req, limit)
		if verdict == Empty {
			continue
		}
		if verdict != Placed {
			outcome = mergeRejection(outcome, verdict)
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

// remembered finds an engine where the chat ran, as this home or else the edge remembers,
// that takes the request.
func (h *Home) findWarm(now time.Time, req Request, limit float64) (int, bool) {
	at, _ := h.places.get(req.Key)
	for _, s := range at.at {
		i, known := h.index[s.engine]
		if known && h.engines[i].Incarnation == s.incarnation && h.admits(now, i, req, limit) == Placed {
			return i, true
		}
	}
	i, known := h.index[req.Last]
	return i, known && h.admits(now, i, req, limit) == Placed
}

// Kept reports whether an engine where a request's chat ran has a free slot: it need not copy or read
// the chat's prompt again there.
func (h *Home) Kept(req Request) bool {
	if req.Once {
		return true
	}
	at, _ := h.places.get(req.Key)
	for _, s := range at.at {
		i, known := h.index[s.engine]
		if known && h.engines[i].Incarnation == s.incarnation && h.engines[i].hasSlot(req) {
			return true
		}
	}
	return false
}

// hasSlot reports whether an engine that may get the request can run it at once.
func (e *engineLoad) hasSlot(req Request) bool {
	return e.usable() && !slices.Contains(req.Avoid, e.Hash) && (e.Slots <= 0 || e.load()+req.Work <= e.Slots || e.load() <= 0)
}

// steadyLimit is the load under which an engine takes the chats that prefer it.
func (h *Home) steadyLimit(total ident.Work) float64 {
	if h.bound.Steady <= 0 {
		return 0
	}
	return h.bound.Steady*float64(total)/float64(max(h.poolEngines, 1)) + float64(h.bound.Extra)
}

// rank says how well an engine suits a chat that is nowhere yet: the least loaded
// first, among equals the near ones, and among those in an order of the chat's own,
// so that a home which has lost its memory tends to choose the same again.
func (h *Home) rank(i int, req Request) ranked {
	e := &h.engines[i]
	return ranked{
		index: i, set: true, load: e.load(), sameZone: e.Zone == req.Zone,
		score: ident.Mix(uint64(req.Key), uint64(e.Hash)),
	}
}

// ranked is an engine with what decides between it and others.
type ranked struct {
	// index is a home's engine, hash names any.
	index    int
	hash     ident.TargetHash
	set      bool
	load     ident.Work
	sameZone bool
	score    uint64
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
	case r.sameZone != other.sameZone:
		if other.sameZone {
			return other
		}
	case other.score > r.score:
		return other
	}
	return r
}

// worse keeps the finding that leaves the caller more hope elsewhere.
func mergeRejection(old, found Result) Result {
	if old == Full || found == Full {
		return Full
	}
	return found
}

// placedHere reports whether no other shard is asked any more. Such a request keeps to the bound
// like any other, but the mean of this shard will do, and engines that join need not be spared.
func (r *Request) finalShard() bool { return r.Must || r.Over }

// admits says whether one engine may take the request's work now.
func (h *Home) admits(now time.Time, i int, req Request, limit float64) Result {
	e := &h.engines[i]
	if !e.usable() || slices.Contains(req.Avoid, e.Hash) {
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
	ownShare := h.ownShare()
	if !e.pacer.allows(now, e.Cold, ownShare) {
		return Busy
	}
	if !req.finalShard() {
		limit *= h.ramp(now, e)
	}
	if float64(load) >= limit || float64(e.own) >= limit*ownShare {
		return Full
	}
	return Placed
}

// share is the part of the shard's work that this home admitted itself. While several
// routers are home of a shard, each keeps to its share of the bound with what it admitted
// itself: the sum keeps to the bound then, however old or doubled the others' counts are that it
// knows. In a model of seven routers that disagree, 1 to 2 in 100 requests reached engines above
// twice the mean without it, and 1 in 1,000 with it.
func (h *Home) ownShare() float64 {
	if h.peerWork <= 0 {
		return 1
	}
	// With the new request, so that a home that begins has a share at all.
	own := h.granted + ident.OneRequest
	return float64(own) / float64(own+h.peerWork)
}

// limit is the load that an engine must be below to take more work: the bound's
// factor times the pool's mean with the new work counted.
func (h *Home) limit(total ident.Work) float64 {
	return h.bound.limit((1-pendingReleaseRatio)*float64(total), h.poolEngines)
}

// shardLimit is the limit by the mean of this shard's engines alone, for requests that must be
// placed here: the pool's mean may be lower, or unknown. Engines that the request avoids count
// while they have work: others use them, and the few that one router takes for sound must not get
// all that it has. Once they are empty they may well be gone, and no longer hold down the others.
func (h *Home) shardLimit(req Request) float64 {
	engines := 0
	for i := range h.engines {
		e := &h.engines[i]
		if e.usable() && (e.load() > 0 || !slices.Contains(req.Avoid, e.Hash)) {
			engines++
		}
	}
	return h.bound.limit((1-pendingReleaseRatio)*float64(h.Work()+req.Work), engines)
}

// returning is the share of the permits whose requests are thought to have ended
// already, while the permits are on their way back.
const pendingReleaseRatio = 0.03

// minRamp is the share that an engine has as it joins.
const minRampShare = 0.1

// ramp is the share of the limit that an engine has as it joins, one later on.
func (h *Home) ramp(now time.Time, e *engineLoad) float64 {
	if e.Joined.IsZero() || h.bound.Ramp <= 0 {
		return 1
	}
	share := float64(now.Sub(e.Joined)) / float64(h.bound.Ramp)
	return min(max(share, minRampShare), 1)
}
