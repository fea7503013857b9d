package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Local decides without a home, from this router's own work alone: the engine of the key's last
// request if that has room in this router's part of the bound, else the first such engine in
// the key's own order, else the one to which this router sends least.
func (p *Pool) Local(now time.Time, req Request, routers int) Decision {
	total, usable := p.estimates(routers)
	if usable == 0 {
		return Decision{Result: Empty}
	}
	chosen := p.chooseLocal(now, req, routers, p.bound.limit(float64(total+req.Work), usable))
	if !chosen.set {
		return Decision{Result: Busy}
	}
	d := Decision{Result: Placed, Engine: chosen.hash}
	d.Basis = Basis{Rule: Alone, Load: chosen.load + req.Work, Mean: (total + req.Work) / ident.Work(usable)}
	d.Warm = d.Engine == req.Last
	if !d.Warm {
		d.Holder = p.localHolder(req, chosen.hash)
	}
	return d
}

// beforeAllShards is the place in a key's order of the engine that has its prompt.
const lastEngineRank = -1

// chooseAlone picks an engine given the limit that all routers together keep to.
func (p *Pool) chooseLocal(now time.Time, req Request, routers int, limit float64) ranked {
	shardRanks := p.shardRanks(req.Key)
	edge := uint64(req.Edge.Hash())
	localShare := limit / float64(max(routers, 1))
	var first, leastLoaded ranked
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
	if first.set {
		return first
	}
	return leastLoaded
}

// hasPart reports whether an engine has room for work in this router's part of the limit. The part
// of one of many routers is less than a request: rounded up, 62 routers alone would each send the
// first request of a popular subject to the same engine, and a third of all requests reached
// engines above twice the mean. So each pair of router and engine, by a hash of both, rounds its
// own way, and as many of the routers have room as together make the limit.
func (p *Pool) withinLocalShare(work ident.Work, e *Engine, localShare float64, pairHash uint64) bool {
	return float64(p.own[e.Hash]+work) <= localShare+ident.Unit(pairHash)*float64(work)
}

// withScore ranks an engine by a hash of router and engine in place of the key's own order, so that
// routers without room anywhere do not all take the same engine for a key.
func (r ranked) withScore(pairHash uint64) ranked {
	r.score = pairHash
	return r
}

// Estimate is the work thought to be on an engine when its home cannot be asked:
// this router's own work times the number of routers.
func (p *Pool) Estimate(engine ident.TargetHash, routers int) ident.Work {
	return p.own[engine] * ident.Work(max(routers, 1))
}

// estimates returns the work thought to be on all engines that may get new work, and
// how many these are.
func (p *Pool) estimates(routers int) (total ident.Work, usable int) {
	for hash := range p.own {
		if p.Takes(hash) {
			total += p.Estimate(hash, routers)
		}
	}
	return total, p.Usable()
}

// takes reports whether an engine with some load may run a request beside it.
func (e *Engine) canRun(req Request, load ident.Work) bool {
	if e.Leaving || slices.Contains(req.Avoid, e.Hash) {
		return false
	}
	return e.Slots == 0 || load <= 0 || load+req.Work <= e.Slots
}

// rank says how well an engine suits a key, its load aside; preference is what the
// method of that name returns for the key.
func (p *Pool) rank(e *Engine, req Request, shardRanks []int) ranked {
	return ranked{
		hash: e.Hash, set: true, sameZone: e.Zone == req.Zone, score: ident.Mix(uint64(req.Key), uint64(e.Hash)),
		shard: shardRanks[ShardOf(e.Hash, p.Shards())],
	}
}

// preference gives each shard its place in a key's order.
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

// localHolder is an engine that probably has what a key's requests share, other than the
// one chosen.
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

// likelyHolder is the engine that a key's own order puts first beside the one chosen:
// homes and routers that decide alone tend to send the key there.
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
