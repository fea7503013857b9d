package route

import (
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// rest is until when one start of a target wants no requests from this router.
type rest struct {
	incarnation ident.Incarnation
	until       time.Time
}

// Rest notes that one start of a target has turned a request away and wants none from this router for a
// while. Its home is told with the next ask: what one router is told holds for that router, but a target
// that tells several is kept from the others too, before each has sent it a request in vain.
func (r *Router) Rest(target ident.TargetHash, incarnation ident.Incarnation, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.clock().Add(wait)
	if known := r.rests[target]; known.incarnation == incarnation && known.until.After(until) {
		until = known.until
	}
	told := rest{incarnation: incarnation, until: until}
	r.rests[target] = told
	if id, known := r.shardOf(target); known {
		r.tellLater(id, map[ident.TargetHash]rest{target: told})
	}
}

// tellLater keeps rests for the next ask to their shard's home; the caller holds the lock.
func (r *Router) tellLater(id place.ShardID, rests map[ident.TargetHash]rest) {
	if len(rests) == 0 {
		return
	}
	if r.untold[id] == nil {
		r.untold[id] = map[ident.TargetHash]rest{}
	}
	maps.Copy(r.untold[id], rests)
}

// tellNow takes out the rests that a shard's home has not been told of, as they go with an ask; the caller
// holds the lock.
func (r *Router) tellNow(id place.ShardID, now time.Time) (taken map[ident.TargetHash]rest, told []place.Rest) {
	taken = r.untold[id]
	delete(r.untold, id)
	for hash, rest := range taken {
		if left := rest.until.Sub(now); left > 0 {
			told = append(told, place.Rest{Engine: hash, Left: left})
		}
	}
	return taken, told
}

// RestLeft is for how much longer a target wants no requests from this router, zero if it takes some.
func (r *Router) RestLeft(target Target) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.rests[target.ID.Hash()]
	if known.incarnation != target.Incarnation {
		return 0
	}
	return max(known.until.Sub(r.clock()), 0)
}

// resting lists the usable targets of a pool that want no requests from this router now, and says when the
// first of them takes some again; the caller holds the lock.
func (r *Router) resting(p *pool) (targets []ident.TargetHash, first time.Time) {
	now := r.clock()
	for hash, rest := range r.rests {
		t, known := p.Targets[hash]
		if !known || t.Incarnation != rest.incarnation || !now.Before(rest.until) || !p.picture.Takes(hash) {
			continue
		}
		targets = append(targets, hash)
		if first.IsZero() || rest.until.Before(first) {
			first = rest.until
		}
	}
	return targets, first
}

// forgetRests drops the rests that are over. One of a target that has gone is kept: its row may come back
// before the rest ends; the caller holds the lock.
func (r *Router) forgetRests() {
	now := r.clock()
	for hash, rest := range r.rests {
		if !now.Before(rest.until) {
			delete(r.rests, hash)
		}
	}
}

// withheld lists the targets of a pool that this router knows to take no new work if a place is at one of
// them, so that none of them is offered again. The home that gave the place may know less: another router
// tells it, the store does, or the target will, each in its own time.
func (r *Router) withheld(p *pool, placement *Placement) []ident.TargetHash {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.picture.Takes(placement.Hash) {
		// It may have asked for rest while the request waited for the place.
		resting, _ := r.resting(p)
		if !slices.Contains(resting, placement.Hash) {
			return nil
		}
	}
	out := []ident.TargetHash{placement.Hash}
	for _, e := range p.picture.Engines() {
		if e.Leaving && e.Hash != placement.Hash {
			out = append(out, e.Hash)
		}
	}
	return out
}

// poolFor returns the first pool of a service that has a target which takes new work, the near one first.
// If all that a service has rest, the error says when the first takes requests again.
func (r *Router) poolFor(service ident.Service) (*pool, error) {
	const op = "route.Acquire"
	r.mu.Lock()
	defer r.mu.Unlock()
	var soonest time.Time
	for _, p := range r.pools[service] {
		usable := p.picture.Usable()
		if usable == 0 {
			continue
		}
		resting, first := r.resting(p)
		if len(resting) < usable {
			return p, nil
		}
		if soonest.IsZero() || first.Before(soonest) {
			soonest = first
		}
	}
	if soonest.IsZero() {
		return nil, fault.Newf(op, NoTarget, "service %s", service)
	}
	return nil, fault.New(op, Resting, RetryAfter{Wait: soonest.Sub(r.clock())})
}
