package route

import (
	"context"
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
)

// Placement is one request's place at a target.
type Placement struct {
	Target Target
	Hash   ident.TargetHash
	// Warm means that the chat ran there before.
	Warm bool
	// Holder is another target that has the chat's prefix cached, or nil.
	Holder *Target
	// Home is the router that gave the place, empty if this one decided alone.
	Home ident.Router
	// Basis is what the place was decided from.
	Basis   place.Basis
	release func()
	once    sync.Once
}

// Release gives the place back; calling it again does nothing.
func (s *Placement) Release() {
	s.once.Do(func() {
		if s.release != nil {
			s.release()
		}
	})
}

// sit records a permit as held; the caller holds the lock. An empty shard means
// that no home counts it.
func (r *Router) holdPermit(p *pool, id place.ShardID, permit place.Permit, target Target) *Placement {
	p.state.Begin(permit.Engine, permit.Work)
	r.stats.Placed++
	counted := id != (place.ShardID{})
	if counted {
		if r.held[id] == nil {
			r.held[id] = map[uint64]place.Permit{}
		}
		r.held[id][permit.ID] = permit
	}
	probe := r.beginProbe(permit.Engine)
	return &Placement{Target: target, Hash: permit.Engine, release: func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.state.End(permit.Engine, permit.Work)
		if probe != nil {
			probe.Cancelled()
		}
		if counted {
			delete(r.held[id], permit.ID)
			r.queueRelease(id, permit.ID)
		}
	}}
}

// beginTrial returns the breaker for which a request at a target is the trial, or nil. The trial ends with the
// request's place at the latest: a target that turned its trial away, or whose caller left, would get no
// other; the caller holds the lock.
func (r *Router) beginProbe(target ident.TargetHash) *retry.Breaker {
	b, known := r.breakers[target]
	if !known || !b.Allow(r.clock()) || b.State() != retry.HalfOpen {
		return nil
	}
	return b
}

// flushAfter is how long permits given back wait for another message to travel with.
const releaseFlushDelay = 10 * time.Millisecond

// giveBack notes permits to be returned; the caller holds the lock.
func (r *Router) queueRelease(id place.ShardID, permits ...uint64) {
	r.pendingReleases[id] = append(r.pendingReleases[id], permits...)
	if r.flushScheduled {
		return
	}
	r.flushScheduled = true
	r.self.AfterFunc(releaseFlushDelay, r.flushReleases)
}

// flush returns all permits that are still waiting for it.
func (r *Router) flushReleases() {
	r.mu.Lock()
	r.flushScheduled = false
	pendingReleases := r.pendingReleases
	r.pendingReleases = map[place.ShardID][]uint64{}
	homes := make(map[place.ShardID]ident.Router, len(pendingReleases))
	for id := range pendingReleases {
		homes[id] = r.homeOf(id)
	}
	r.mu.Unlock()
	for id, permits := range pendingReleases {
		// A lost return shows as drift at the next request and is mended by a sync.
		_ = r.homes.Release(context.Background(), homes[id], id, permits)
	}
}

// driftLimit is how many answers in a row may miscount this router's permits
// before it sends the home its list; calls that cross explain a few.
const driftLimit = 3

// watchDrift compares the home's count of this router's permits with the true
// one; the caller holds the lock.
func (r *Router) checkDrift(id place.ShardID, homeCount int) {
	r.homeCount[id] = homeCount
	if homeCount == len(r.held[id])+len(r.pendingReleases[id]) {
		r.driftCount[id] = 0
		return
	}
	r.driftCount[id]++
	if r.driftCount[id] < driftLimit {
		return
	}
	r.driftCount[id] = 0
	r.self.AfterFunc(0, func() { r.syncPermits(context.Background(), id, "") })
}

// speakEvery is how often a home hears of a router that holds permits there, well
// within the lease for which it counts them.
const contactInterval = 500 * time.Millisecond

// Reconcile tells the homes whose last count of this router's permits was wrong, or that
// have not heard of it for a while, all that it holds. A home that is full of permits
// nobody holds gives no answers that would show it soon.
func (r *Router) Reconcile(ctx context.Context) {
	r.mu.Lock()
	now := r.clock()
	var outdated []place.ShardID
	for id, permits := range r.held {
		homeCount, known := r.homeCount[id]
		drifted := known && homeCount != len(permits)+len(r.pendingReleases[id])
		overdue := len(permits) > 0 && now.Sub(r.lastContact[id]) >= contactInterval
		if drifted || overdue {
			outdated = append(outdated, id)
			r.lastContact[id] = now
		}
	}
	clear(r.homeCount)
	moved := r.movedShards()
	r.mu.Unlock()
	r.Move(ctx, moved)
	for _, id := range outdated {
		r.syncPermits(ctx, id, "")
	}
	r.retryWithdrawals(ctx)
}

// sync tells a shard's home all permits held here, and which home counted them before.
func (r *Router) syncPermits(ctx context.Context, id place.ShardID, from ident.Router) {
	r.mu.Lock()
	to := r.homeOf(id)
	held := make([]place.Permit, 0, len(r.held[id]))
	for _, p := range r.held[id] {
		held = append(held, p)
	}
	upto := r.permit
	r.mu.Unlock()
	if to == "" {
		return
	}
	_ = r.homes.Sync(ctx, to, id, held, upto, from)
}
