package route

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
)

// Report notes how a target did, for its breaker.
func (r *Router) Report(target ident.TargetHash, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if !ok {
		r.recordFailure(target)
	}
	if _, known := r.breakers[target]; ok && !known {
		return
	}
	r.breaker(now, target).Report(now, ok)
}

// breaker returns a target's breaker, made on first use; the caller holds the lock.
func (r *Router) breaker(now time.Time, target ident.TargetHash) *retry.Breaker {
	b, known := r.breakers[target]
	if !known {
		b = retry.NewBreaker(now)
		r.breakers[target] = b
	}
	return b
}

// maxFailed bounds the failures kept for one home. More than that in the fraction of a
// second between two requests for permits says nothing more.
const maxUnsentFailures = 64

// complain keeps a target's failure for the home of its shard; the caller holds the lock.
func (r *Router) recordFailure(target ident.TargetHash) {
	id, known := r.shardOf(target)
	if known && len(r.unsentFailures[id]) < maxUnsentFailures {
		r.unsentFailures[id] = append(r.unsentFailures[id], target)
	}
}

// shardOf finds the shard of a target of any pool; the caller holds the lock.
func (r *Router) shardOf(target ident.TargetHash) (place.ShardID, bool) {
	for _, pools := range r.pools {
		for _, p := range pools {
			if p.has(target) {
				return p.shardOf(target), true
			}
		}
	}
	return place.ShardID{}, false
}

// shardOf is the shard of one of the pool's targets.
func (p *pool) shardOf(target ident.TargetHash) place.ShardID {
	return place.ShardID{Pool: p.Name, Shard: place.ShardOf(target, p.state.Shards())}
}

// Heard notes that bytes of an answer came from a target.
func (r *Router) Heard(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReceived[target] = r.clock()
}

// Silent notes that a request sent at some time has had no answer for too long. If
// nothing at all came from its target since, the target gets no new work for a while.
// It reports whether that is so.
func (r *Router) Silent(target ident.TargetHash, since time.Time) bool {
	r.mu.Lock()
	silent := r.lastReceived[target].Before(since)
	r.mu.Unlock()
	if silent {
		r.Unreachable(target)
	}
	return silent
}

// Unreachable notes that no connection to a target came about, or that another target
// has its address: it gets no new work for a while.
func (r *Router) Unreachable(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordFailure(target)
	now := r.clock()
	r.breaker(now, target).Trip(now)
}

// Cancelled notes that an attempt ended without telling anything of its target.
func (r *Router) Cancelled(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.breakers[target]; b != nil {
		b.Cancelled()
	}
}
