package route

import (
	"context"
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
)

// Placement is the place of one request on a target.
type Placement struct {
	Target Target
	Hash   ident.TargetHash
	// Warm means that the chat ran on the target before.
	Warm bool
	// Holder is another target that is a cache holder of the chat's prefix, or nil.
	Holder *Target
	// Home is the router that granted the permit, or empty if this router placed the request
	// locally.
	Home ident.Router
	// Basis is the state on which the placement was decided.
	Basis   place.Basis
	release func()
	once    sync.Once
}

// Release returns the permit. Further calls do nothing.
func (s *Placement) Release() {
	s.once.Do(func() {
		if s.release != nil {
			s.release()
		}
	})
}

// holdPermit records a permit as held. An empty shard means that no home counts it. The caller
// holds the lock.
func (r *Router) holdPermit(p *pool, id place.ShardID, permit place.Permit, target Target) *Placement {
	p.state.AddWork(permit.Engine, permit.Work)
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
		p.state.RemoveWork(permit.Engine, permit.Work)
		if probe != nil {
			probe.ReportCancelled()
		}
		if counted {
			delete(r.held[id], permit.ID)
			r.queueRelease(id, permit.ID)
		}
	}}
}

// beginProbe returns the circuit breaker for which a request on a target is the half-open probe, or
// nil. The probe ends at the latest when the placement is released: without that, a target that
// rejected the probe, or whose caller disconnected, would get no other. The caller holds the lock.
func (r *Router) beginProbe(target ident.TargetHash) *retry.Breaker {
	b, known := r.breakers[target]
	if !known || !b.Allow(r.clock()) || b.State() != retry.HalfOpen {
		return nil
	}
	return b
}

// releaseFlushDelay is how long released permits wait for another message that can carry them.
const releaseFlushDelay = 10 * time.Millisecond

// queueRelease queues permits to be returned to their home. The caller holds the lock.
func (r *Router) queueRelease(id place.ShardID, permits ...uint64) {
	r.pendingReleases[id] = append(r.pendingReleases[id], permits...)
	if r.flushScheduled {
		return
	}
	r.flushScheduled = true
	r.self.AfterFunc(releaseFlushDelay, r.flushReleases)
}

// flushReleases sends all queued releases.
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
		// A lost release shows as drift in the next permit response, and a sync corrects it.
		_ = r.homes.Release(context.Background(), homes[id], id, permits)
	}
}

// driftLimit is the number of consecutive responses with a wrong count of this router's permits
// after which the router sends the home its list. Messages that cross in transit explain a few
// wrong counts.
const driftLimit = 3

// checkDrift compares the home's count of this router's permits with the actual one. The caller
// holds the lock.
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

// contactInterval is the maximum interval between messages to a home that counts permits of this
// router, well within the lease of these permits.
const contactInterval = 500 * time.Millisecond

// Reconcile sends all held permits to the homes whose last count of them was wrong or that have not
// received a message for contactInterval. A home whose shard is full of permits that no router
// holds sends no responses that would soon show the drift.
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

// lastProcessed returns a permit up to which the responses to all requests for permits of a shard were
// processed. The caller holds the lock.
func (r *Router) lastProcessed(id place.ShardID) uint64 {
	last := r.permit
	for permit := range r.inTransit[id] {
		last = min(last, permit-1)
	}
	return last
}

// syncPermits sends all permits held for a shard to its home, with the home that counted them
// before.
func (r *Router) syncPermits(ctx context.Context, id place.ShardID, from ident.Router) {
	r.mu.Lock()
	to := r.homeOf(id)
	held := make([]place.Permit, 0, len(r.held[id]))
	for _, p := range r.held[id] {
		held = append(held, p)
	}
	maxID := r.lastProcessed(id)
	r.mu.Unlock()
	if to == "" {
		return
	}
	_ = r.homes.Sync(ctx, to, id, held, maxID, from)
}
