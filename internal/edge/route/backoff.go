package route

import (
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// backoff is until when one start of a target wants no requests from this router.
type backoff struct {
	incarnation ident.Incarnation
	until       time.Time
}

// Notice is what a target said of itself in an answer.
type Notice struct {
	// Request is the caller's, for logs; Status is that of the answer.
	Request string
	Status  int
	// Leaving says that the target leaves.
	Leaving bool
	// Backoff is for how long it wants no more requests from this router; zero if it takes some.
	Backoff time.Duration
}

// Observe takes in what a target said of itself in an answer, whatever becomes of the request. Its row says it
// later, or never while the store is away: one target in 18 that left in such 12 s got 59 more requests.
func (r *Router) Observe(target Target, n Notice) {
	if !n.Leaving && n.Backoff <= 0 {
		return
	}
	if n.Backoff > 0 {
		r.recordBackoff(target, n.Backoff)
	}
	r.mu.Lock()
	if n.Leaving {
		// Pools say it once they have been made anew, on a box short of processor time seconds later.
		r.leaving[target.ID.Hash()] = target.Incarnation
	}
	watcher := r.watcher
	r.mu.Unlock()
	if watcher != nil {
		watcher.Noticed(target, n)
	}
}

// backOff notes that one start of a target has turned a request away and wants none from this router for a
// while. Its home is told with the next ask: what one router is told holds for that router, but a target
// that tells several is kept from the others too, before each has sent it a request in vain.
func (r *Router) recordBackoff(target Target, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := target.ID.Hash()
	until := r.clock().Add(wait)
	if known := r.backoffs[hash]; known.incarnation == target.Incarnation && known.until.After(until) {
		until = known.until
	}
	b := backoff{incarnation: target.Incarnation, until: until}
	r.backoffs[hash] = b
	if id, known := r.shardOf(hash); known {
		r.queueBackoffs(id, map[ident.TargetHash]backoff{hash: b})
	}
}

// tellLater keeps backoffs for the next ask to their shard's home; the caller holds the lock.
func (r *Router) queueBackoffs(id place.ShardID, backoffs map[ident.TargetHash]backoff) {
	if len(backoffs) == 0 {
		return
	}
	if r.unsentBackoffs[id] == nil {
		r.unsentBackoffs[id] = map[ident.TargetHash]backoff{}
	}
	maps.Copy(r.unsentBackoffs[id], backoffs)
}

// tellNow takes out the backoffs that a shard's home has not been told of, as they go with an ask; the caller
// holds the lock.
func (r *Router) takeBackoffs(id place.ShardID, now time.Time) (taken map[ident.TargetHash]backoff, included []place.Backoff) {
	taken = r.unsentBackoffs[id]
	delete(r.unsentBackoffs, id)
	for hash, b := range taken {
		if left := b.until.Sub(now); left > 0 {
			included = append(included, place.Backoff{Engine: hash, Left: left})
		}
	}
	return taken, included
}

// BackoffLeft is for how much longer a target wants no requests from this router, zero if it takes some.
func (r *Router) BackoffLeft(target Target) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.backoffs[target.ID.Hash()]
	if known.incarnation != target.Incarnation {
		return 0
	}
	return max(known.until.Sub(r.clock()), 0)
}

// refusing lists the targets of a pool that want no requests from this router although the pool says that they
// take new work: they have asked for backoff, or leave, as they told it a moment ago. It says when the
// first of those that asked for backoff takes some again; the caller holds the lock.
func (r *Router) unavailable(p *pool) (targets []ident.TargetHash, earliest time.Time) {
	now := r.clock()
	for hash, b := range r.backoffs {
		t, known := p.Target(hash)
		if !known || t.Incarnation != b.incarnation || !now.Before(b.until) || !p.state.Takes(hash) {
			continue
		}
		targets = append(targets, hash)
		if earliest.IsZero() || b.until.Before(earliest) {
			earliest = b.until
		}
	}
	for hash, incarnation := range r.leaving {
		t, known := p.Target(hash)
		if known && t.Incarnation == incarnation && p.state.Takes(hash) && !slices.Contains(targets, hash) {
			targets = append(targets, hash)
		}
	}
	return targets, earliest
}

// forgetLeaving drops the targets that pools say to leave by now, that are gone or have started anew; the
// caller holds the lock.
func (r *Router) removeStaleLeaving() {
	maps.DeleteFunc(r.leaving, func(hash ident.TargetHash, incarnation ident.Incarnation) bool {
		for _, pools := range r.pools {
			for _, p := range pools {
				if t, known := p.Target(hash); known && t.Incarnation == incarnation && p.state.Takes(hash) {
					return false
				}
			}
		}
		return true
	})
}

// forgetBackoffs drops the backoffs that are over. One of a target that has gone is kept: its row may come back
// before the backoff ends; the caller holds the lock.
func (r *Router) removeExpiredBackoffs() {
	now := r.clock()
	for hash, b := range r.backoffs {
		if !now.Before(b.until) {
			delete(r.backoffs, hash)
		}
	}
}

// withheld lists the targets of a pool that this router knows to take no new work if a place is at one of
// them, so that none of them is offered again. The home that gave the place may know less: another router
// tells it, the store does, or the target will, each in its own time.
func (r *Router) excluded(p *pool, placement *Placement) []ident.TargetHash {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.state.Takes(placement.Hash) {
		// It may have told this router otherwise while the request waited for the place.
		unavailable, _ := r.unavailable(p)
		if !slices.Contains(unavailable, placement.Hash) {
			return nil
		}
	}
	out := []ident.TargetHash{placement.Hash}
	for _, e := range p.state.Engines() {
		if e.Leaving && e.Hash != placement.Hash {
			out = append(out, e.Hash)
		}
	}
	return out
}

// poolFor returns the first pool of a service that has a target which takes new work, the near one first.
// If all that a service has ask for backoff, the error says when the first takes requests again.
func (r *Router) poolFor(service ident.Service) (*pool, error) {
	const op = "route.Acquire"
	r.mu.Lock()
	defer r.mu.Unlock()
	var earliest time.Time
	for _, p := range r.pools[service] {
		usable := p.state.Usable()
		if usable == 0 {
			continue
		}
		unavailable, first := r.unavailable(p)
		if len(unavailable) < usable {
			return p, nil
		}
		if earliest.IsZero() || !first.IsZero() && first.Before(earliest) {
			earliest = first
		}
	}
	if earliest.IsZero() {
		return nil, fault.Newf(op, NoTarget, "service %s", service)
	}
	return nil, fault.New(op, BackingOff, RetryAfter{Wait: earliest.Sub(r.clock())})
}
