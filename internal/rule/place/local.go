package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Local places a request without a home, based on this router's own work alone: on the engine of
// the key's last request if that has room in this router's share of the bound, else on the first
// such engine in the key's own order, else on the engine to which this router sends least.
func (p *Pool) Local(now time.Time, req Request, routers int) Decision {
	total, usable := p.estimates(routers)
	if usable == 0 {
		return Decision{Result: Empty}
	}
	limit := p.bound.limit(float64(total+req.Work), usable)
	chosen := p.chooseLocalByPace(now, req, routers, limit)
	if !chosen.set {
		return Decision{Result: Busy}
	}
	d := Decision{Result: Placed, Engine: chosen.hash}
	d.Basis = Basis{Rule: WithoutHome, Load: chosen.load + req.Work, Mean: (total + req.Work) / ident.Work(usable)}
	d.Warm = d.Engine == req.Last
	if !d.Warm {
		d.Holder = p.localHolder(req, chosen.hash)
	}
	return d
}

// chooseLocalByPace selects an engine that is not slow if it has room in this router's share of the
// limit or no work of this router, else any engine with room, else the least loaded one.
func (p *Pool) chooseLocalByPace(now time.Time, req Request, routers int, limit float64) ranked {
	first, leastLoaded := p.chooseLocal(now, p.avoidSlow(now, req), routers, limit)
	if first.set {
		return first
	}
	if leastLoaded.set && leastLoaded.load <= 0 {
		return leastLoaded
	}
	first, leastLoaded = p.chooseLocal(now, req, routers, limit)
	if first.set {
		return first
	}
	return leastLoaded
}

// avoidSlow returns a request that avoids engines which are much slower than others.
func (p *Pool) avoidSlow(now time.Time, req Request) Request {
	work := max(req.Effort.Read+req.Effort.Make, minMakeTime)
	for hash := range p.gauges {
		if p.isSlow(now, hash, work) {
			req.Avoid = append(slices.Clip(req.Avoid), hash)
		}
	}
	return req
}

// lastEngineRank is the shard rank of the engine that has the key's prompt prefix. It precedes all
// shards in the key's order.
const lastEngineRank = -1

// chooseLocal returns the first engine with room in this router's share of the limit for all routers
// together, and the least loaded engine.
func (p *Pool) chooseLocal(now time.Time, req Request, routers int, limit float64) (first, leastLoaded ranked) {
	shardRanks := p.shardRanks(req.Key)
	edge := uint64(req.Edge.Hash())
	localShare := limit / float64(max(routers, 1))
	for e := range p.roster.all() {
		load := p.Estimate(e.Hash, routers)
		pairHash := ident.Mix(edge, uint64(e.Hash))
		if !e.canRun(req, load) || !e.Cold.allowsShare(now, pairHash, routers) {
			continue
		}
		r := p.rank(e, req, shardRanks)
		r.load = load
		if e.Hash == req.Last {
			r.shard = lastEngineRank
		}
		leastLoaded = leastLoaded.better(r.withScore(pairHash))
		if p.withinLocalShare(req.Work, e, localShare, pairHash) && r.preferred(first) {
			first = r
		}
	}
	return first, leastLoaded
}

// withinLocalShare reports whether an engine has room within this router's share of the limit.
// With many routers the share is less than one request. If all routers rounded it up, 62 routers
// without a home would each send the first request of a popular prompt prefix to the same engine,
// and a third of all requests would reach engines above twice the mean. Therefore each pair of
// router and engine rounds by a hash of both, so that as many routers have room as together make
// up the limit.
func (p *Pool) withinLocalShare(work ident.Work, e *Engine, localShare float64, pairHash uint64) bool {
	return float64(p.own[e.Hash]+work) <= localShare+ident.Unit(pairHash)*float64(work)
}

// withScore replaces the key's hash order by a hash of router and engine, so that routers that
// have no room anywhere do not all choose the same engine for a key.
func (r ranked) withScore(pairHash uint64) ranked {
	r.score = pairHash
	return r
}

// Estimate returns the estimated work on an engine whose home is unreachable: this router's own
// work times the number of routers.
func (p *Pool) Estimate(engine ident.TargetHash, routers int) ident.Work {
	return p.own[engine] * ident.Work(max(routers, 1))
}

// estimates returns the estimated work on all engines that may receive new requests, and the
// number of these engines.
func (p *Pool) estimates(routers int) (total ident.Work, usable int) {
	for hash := range p.own {
		if p.AcceptsWork(hash) {
			total += p.Estimate(hash, routers)
		}
	}
	return total, p.Usable()
}

// canRun reports whether an engine with the given load may run another request.
func (e *Engine) canRun(req Request, load ident.Work) bool {
	if e.Leaving || !req.accepts(e) {
		return false
	}
	return e.Slots == 0 || load <= 0 || load+req.Work <= e.Slots
}

// rank returns the rank of an engine for a key, without its load. shardRanks is the result of the
// method of that name for the key.
func (p *Pool) rank(e *Engine, req Request, shardRanks []int) ranked {
	return ranked{
		hash: e.Hash, set: true, sameZone: e.Zone == req.Zone, score: ident.Mix(uint64(req.Key), uint64(e.Hash)),
		shard: shardRanks[ShardOf(e.Hash, p.Shards())],
	}
}

// shardRanks returns the rank of each shard in a key's order.
func (p *Pool) shardRanks(key ident.ChatKey) []int {
	var order [MaxShards]ident.Shard
	n := p.Order(key, order[:])
	out := make([]int, p.Shards())
	for i := range out {
		out[i] = len(out)
	}
	for i, shard := range order[:n] {
		out[shard] = i
	}
	return out
}

// localHolder returns an engine that probably has the prompt prefix of the key cached, other than
// the chosen one.
func (p *Pool) localHolder(req Request, chosen ident.TargetHash) ident.TargetHash {
	switch {
	case req.Once:
		return 0
	case req.Last != 0 && !slices.Contains(req.Lost, req.Last):
		return req.Last
	default:
		return p.preferredHolder(req, chosen)
	}
}

// preferredHolder returns the first engine in the key's own order other than the chosen one.
// Homes, and routers without a home, tend to send the key there.
func (p *Pool) preferredHolder(req Request, chosen ident.TargetHash) ident.TargetHash {
	shardRanks := p.shardRanks(req.Key)
	var best ranked
	for e := range p.roster.all() {
		r := p.rank(e, req, shardRanks)
		if e.Hash != chosen && !slices.Contains(req.Lost, e.Hash) && r.preferred(best) {
			best = r
		}
	}
	return best.hash
}
