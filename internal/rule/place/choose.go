package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// holder returns an engine, other than the given one, that served the chat before and still runs.
// For a chat without a stored place it returns the last engine to which the edge router sent it, or
// else the first engine in the chat's hash order, which shares at most the beginning of its prompt.
func (h *Home) holder(now time.Time, req Request, at chatPlace, other ident.TargetHash) ident.TargetHash {
	if engine := h.placeHolder(at, req, other); engine != 0 {
		return engine
	}
	if req.Last != 0 && req.Last != other && !slices.Contains(req.Lost, req.Last) {
		return req.Last
	}
	if h.bound.PreferredFactor <= 0 || req.Once {
		return 0
	}
	preferred := h.firstPreferred(req.Key, 0, req.Lost)
	if parent, ok := h.parentHolder(now, req, other); ok && preferred == other {
		return parent
	}
	if preferred == other {
		return h.firstPreferred(req.Key, other, req.Lost)
	}
	return preferred
}

// placeHolder returns the latest engine of a chat's place that still runs, other than the given one,
// or zero. It prefers those of this shard. The engine may now be in another shard, because half of a
// pool's engines change shards when the number of shards grows.
func (h *Home) placeHolder(at chatPlace, req Request, other ident.TargetHash) ident.TargetHash {
	var inOtherShard ident.TargetHash
	for _, run := range at.at {
		if run == (engineRun{}) || run.engine == other || slices.Contains(req.Lost, run.engine) {
			continue
		}
		i, known := h.index[run.engine]
		inShard := known && h.engines[i].present
		if inShard && h.engines[i].Incarnation == run.incarnation {
			return run.engine
		}
		if !inShard && inOtherShard == 0 && h.inPool(run) {
			inOtherShard = run.engine
		}
	}
	return inOtherShard
}

// parentHolder returns the engine that last ran a request with the same parent part, if that is
// another engine than the given one. The chat's own part is not cached anywhere as far as is known.
func (h *Home) parentHolder(now time.Time, req Request, other ident.TargetHash) (ident.TargetHash, bool) {
	if req.Parent == 0 || now.Before(h.recoveringUntil) {
		return 0, false
	}
	run, known := h.parents.get(req.Parent)
	if !known || run.engine == other || slices.Contains(req.Lost, run.engine) {
		return 0, false
	}
	i, current := h.find(run)
	return run.engine, current && h.engines[i].present
}

// inPool reports whether an engine incarnation is still present in any shard of the pool.
func (h *Home) inPool(run engineRun) bool {
	if h.roster == nil {
		return false
	}
	e := h.roster.find(run.engine)
	return e != nil && e.Incarnation == run.incarnation
}

// firstPreferred returns the first engine in a chat's hash order, other than the given one.
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

// choice is the outcome of a selection. The other fields are set if result is Placed.
type choice struct {
	result Result
	// engine is the position in the home's engines.
	engine int
	// warm means that the engine served the chat before.
	warm bool
	// rule is the rule that selected the engine, zero for the load bound alone.
	rule Rule
}

// choose selects an engine among those that are not blocked. If none of these is present or all
// are busy it selects among all engines, because an unhealthy engine is better than waiting. total
// is the work on the pool's engines without the request. Blocked engines count for the limit: they run, and can take what
// exceeds the limit of the others.
func (h *Home) choose(now time.Time, req Request, total ident.Work) choice {
	blockedEngines := h.blockedEngines(now, req.Zone)
	limit := h.requestLimit(req, total)
	if len(blockedEngines) == 0 {
		return h.chooseAmong(now, req, total, limit)
	}
	filtered := req
	filtered.Avoid = slices.Concat(req.Avoid, blockedEngines)
	c := h.chooseAmong(now, filtered, total, limit)
	if c.result == Empty || c.result == Busy || c.result == Full && req.finalShard() {
		return h.chooseAmong(now, req, total, limit)
	}
	return c
}

// chooseAmong selects, of the engines that the request does not avoid, the chat's last one if it is below the limit, else an earlier engine of
// the chat, else the least loaded one. If paces are known, it selects by time instead.
func (h *Home) chooseAmong(now time.Time, req Request, total ident.Work, limit float64) choice {
	maxPreferredLoad := h.preferredLimit(total)
	if h.paced {
		return h.chooseByTime(now, req, limit, maxPreferredLoad)
	}
	if i, found := h.findWarm(now, req, limit); found {
		return choice{result: Placed, engine: i, warm: true}
	}
	var best, first ranked
	outcome := Empty
	for i := range h.engines {
		if result := h.admits(now, i, req, limit); result != Placed {
			outcome = mergeRejection(outcome, result)
			continue
		}
		r := h.rank(i, req)
		best = best.better(r)
		if float64(r.load) < maxPreferredLoad && r.preferred(first) {
			first = r
		}
	}
	switch {
	case first.set:
		return choice{result: Placed, engine: first.index}
	case best.set:
		return choice{result: Placed, engine: best.index}
	default:
		return choice{result: outcome}
	}
}

// findWarm returns an engine that served the chat before, according to this home or else the edge
// router, and admits the request.
func (h *Home) findWarm(now time.Time, req Request, limit float64) (int, bool) {
	at, _ := h.places.get(req.Key)
	for _, run := range at.at {
		if i, current := h.find(run); current && h.admits(now, i, req, limit) == Placed {
			return i, true
		}
	}
	i, known := h.index[req.Last]
	return i, known && h.admits(now, i, req, limit) == Placed
}

// HasWarmSlot reports whether an engine that served the request's chat has a free slot. That engine
// does not have to copy or prefill the chat's prompt again.
func (h *Home) HasWarmSlot(req Request) bool {
	if req.Once {
		return true
	}
	at, _ := h.places.get(req.Key)
	for _, run := range at.at {
		if i, current := h.find(run); current && h.engines[i].hasSlot(req) {
			return true
		}
	}
	return false
}

// rank returns the rank of an engine for a chat without a stored place: by load, then by zone,
// then by the chat's hash order, so that a home without stored places tends to choose the same
// engine again.
func (h *Home) rank(i int, req Request) ranked {
	e := &h.engines[i]
	return ranked{
		index: i, set: true, load: e.load(), sameZone: e.Zone == req.Zone,
		score: ident.Mix(uint64(req.Key), uint64(e.Hash)),
	}
}

// ranked is an engine with the properties by which engines are compared.
type ranked struct {
	// index is the position in a home's engines. hash identifies any engine.
	index    int
	hash     ident.TargetHash
	set      bool
	load     ident.Work
	sameZone bool
	score    uint64
	// shard is the rank of the engine's shard in the key's order.
	shard int
}

// preferred reports whether an engine precedes another in a key's own order.
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

// better returns the better of two engines. An unset one is never better.
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

// admits returns whether an engine may receive the request now, as a Result.
func (h *Home) admits(now time.Time, i int, req Request, limit float64) Result {
	e := &h.engines[i]
	if !e.usable() || !req.accepts(&e.Engine) {
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
