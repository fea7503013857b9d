package route

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
)

// Report records the result of an attempt for the target's circuit breaker.
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

// breaker returns the circuit breaker of a target, which it creates on first use. The caller holds
// the lock.
func (r *Router) breaker(now time.Time, target ident.TargetHash) *retry.Breaker {
	b, known := r.breakers[target]
	if !known {
		b = retry.NewBreaker(now)
		r.breakers[target] = b
	}
	return b
}

// maxUnsentFailures limits the failures kept for one home. More than that in the fraction of a
// second between two permit requests carry no further information.
const maxUnsentFailures = 64

// recordFailure keeps a failure of a target for the home of its shard. It returns false if it is not kept. The caller
// holds the lock.
func (r *Router) recordFailure(target ident.TargetHash) bool {
	id, known := r.shardOf(target)
	if !known || len(r.unsentFailures[id]) >= maxUnsentFailures {
		return false
	}
	r.unsentFailures[id] = append(r.unsentFailures[id], target)
	return true
}

// shardOf returns the shard of a target of any pool. The caller holds the lock.
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

// shardOf returns the shard of a target of the pool.
func (p *pool) shardOf(target ident.TargetHash) place.ShardID {
	return place.ShardID{Pool: p.Name, Shard: place.ShardOf(target, p.state.Shards())}
}

// ReportReceived records that bytes of an answer arrived from a target. A circuit breaker that only a silence opened
// closes.
func (r *Router) ReportReceived(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.lastReceived[target] = now
	r.endSilence(target)
	if b, known := r.breakers[target]; known {
		b.Answered(now)
	}
}

// connectTime is how long an attempt to connect to a silent target takes.
const connectTime = 250 * time.Millisecond

// ReportUnreachable opens the circuit breaker of a target to which no connection could be made, or
// whose address is now used by another target. Unless the target has answered others meanwhile, it counts as silent.
func (r *Router) ReportUnreachable(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if now.Sub(r.lastReceived[target]) >= connectTime {
		r.silences.current[target] = true
		r.recordSilence(target)
	} else {
		r.recordFailure(target)
	}
	r.breaker(now, target).Trip(now)
}

// ReportReachable records that a connection to a target could be made that nobody could reach before. It gets a probe.
func (r *Router) ReportReachable(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, known := r.breakers[target]; known {
		b.Reachable(r.clock())
	}
}

// isDoubtful reports whether a target that was just placed has failed the request before or may not answer either: its
// circuit breaker is not closed, or it owes other answers and has been silent for as long.
func (r *Router) isDoubtful(p *pool, request TargetRequest, target ident.TargetHash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, known := r.breakers[target]
	owes := p.state.OwnWork(target) > request.Work
	silent := r.lastReceived[target].Before(request.SilentSince)
	return slices.Contains(request.Avoid, target) || known && b.State() != retry.Closed || owes && silent
}

// ReportCancelled records that an attempt ended without a result for the target's circuit breaker.
func (r *Router) ReportCancelled(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.breakers[target]; b != nil {
		b.ReportCancelled()
	}
}

// ForgetFailures removes what this router recorded of targets that it could not reach. It is called
// when the fault turns out to be in this router's own paths.
func (r *Router) ForgetFailures() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.breakers)
	clear(r.unsentFailures)
	r.silences = newSilences()
}
