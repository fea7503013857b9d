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
func (r *Router) hold(p *pool, id place.ShardID, permit place.Permit, target Target) *Placement {
	p.picture.Begin(permit.Engine, permit.Work)
	r.stats.Placed++
	counted := id != (place.ShardID{})
	if counted {
		if r.held[id] == nil {
			r.held[id] = map[uint64]place.Permit{}
		}
		r.held[id][permit.ID] = permit
	}
	trial := r.beginTrial(permit.Engine)
	return &Placement{Target: target, Hash: permit.Engine, release: func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.picture.End(permit.Engine, permit.Work)
		if trial != nil {
			trial.Cancelled()
		}
		if counted {
			delete(r.held[id], permit.ID)
			r.giveBack(id, permit.ID)
		}
	}}
}

// beginTrial returns the breaker for which a request at a target is the trial, or nil. The trial ends with the
// request's place at the latest: a target that turned its trial away, or whose caller left, would get no
// other; the caller holds the lock.
func (r *Router) beginTrial(target ident.TargetHash) *retry.Breaker {
	b, known := r.breakers[target]
	if !known || !b.Allow(r.clock()) || b.State() != retry.HalfOpen {
		return nil
	}
	return b
}

// flushAfter is how long permits given back wait for another message to travel with.
const flushAfter = 10 * time.Millisecond

// giveBack notes permits to be returned; the caller holds the lock.
func (r *Router) giveBack(id place.ShardID, permits ...uint64) {
	r.pending[id] = append(r.pending[id], permits...)
	if r.flushing {
		return
	}
	r.flushing = true
	r.self.AfterFunc(flushAfter, r.flush)
}

// flush returns all permits that are still waiting for it.
func (r *Router) flush() {
	r.mu.Lock()
	r.flushing = false
	pending := r.pending
	r.pending = map[place.ShardID][]uint64{}
	homes := make(map[place.ShardID]ident.Router, len(pending))
	for id := range pending {
		homes[id] = r.homeOf(id)
	}
	r.mu.Unlock()
	for id, permits := range pending {
		// A lost return shows as drift at the next request and is mended by a sync.
		_ = r.homes.Release(context.Background(), homes[id], id, permits)
	}
}

// driftLimit is how many answers in a row may miscount this router's permits
// before it sends the home its list; calls that cross explain a few.
const driftLimit = 3

// watchDrift compares the home's count of this router's permits with the true
// one; the caller holds the lock.
func (r *Router) watchDrift(id place.ShardID, believed int) {
	r.believed[id] = believed
	if believed == len(r.held[id])+len(r.pending[id]) {
		r.drift[id] = 0
		return
	}
	r.drift[id]++
	if r.drift[id] < driftLimit {
		return
	}
	r.drift[id] = 0
	r.self.AfterFunc(0, func() { r.sync(context.Background(), id, "") })
}

// speakEvery is how often a home hears of a router that holds permits there, well
// within the lease for which it counts them.
const speakEvery = 500 * time.Millisecond

// Reconcile tells the homes whose last count of this router's permits was wrong, or that
// have not heard of it for a while, all that it holds. A home that is full of permits
// nobody holds gives no answers that would show it soon.
func (r *Router) Reconcile(ctx context.Context) {
	r.mu.Lock()
	now := r.clock()
	var wrong []place.ShardID
	for id, permits := range r.held {
		believed, told := r.believed[id]
		drifted := told && believed != len(permits)+len(r.pending[id])
		silent := len(permits) > 0 && now.Sub(r.spoken[id]) >= speakEvery
		if drifted || silent {
			wrong = append(wrong, id)
			r.spoken[id] = now
		}
	}
	clear(r.believed)
	moved := r.movedShards()
	r.mu.Unlock()
	r.Move(ctx, moved)
	for _, id := range wrong {
		r.sync(ctx, id, "")
	}
	r.payOwed(ctx)
}

// sync tells a shard's home all permits held here, and which home counted them before.
func (r *Router) sync(ctx context.Context, id place.ShardID, from ident.Router) {
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
