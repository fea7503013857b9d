package home

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Release gives permits back.
func (h *Homes) Release(id place.ShardID, edge ident.Router, released []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.shards[id]; ok {
		s.home.Heard(h.clock(), edge)
		h.release(s, edge, released)
	}
}

// permitLease is how long a home counts the permits of an edge that it does not hear
// of. An edge that holds some speaks at least each half second; see route.Reconcile.
const permitLease = 2 * time.Second

// Lapse drops the permits of edges that have not spoken for a lease.
func (h *Homes) Lapse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for _, s := range h.shards {
		if expired := s.home.Lapse(now, permitLease); expired > 0 {
			s.correction.Lapsed += expired
			h.markUrgent(s)
			h.dispatch(s)
		}
	}
}

// release takes permits off a shard and gives the room to those that wait; the caller
// holds the lock.
func (h *Homes) release(s *shard, edge ident.Router, released []uint64) {
	if len(released) == 0 {
		return
	}
	before := s.home.Granted()
	for _, id := range released {
		s.home.Release(edge, id)
	}
	left := s.home.Granted()
	s.rate.record(h.clock(), before-left, left)
	h.dispatch(s)
}

// Sync replaces what is believed of one edge's permits in a shard; from is the home
// that counted them before, if another did.
func (h *Homes) Sync(id place.ShardID, edge ident.Router, held []place.Permit, upto uint64, from ident.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.getOrCreate(id)
	s.correction.Listed += s.permitCountChange(func() { s.home.Sync(edge, held, upto, from) })
	s.home.Heard(h.clock(), edge)
	h.markUrgent(s)
	h.dispatch(s)
}

// Withdraw drops an edge's permits because another home counts them now. Unlike a
// list of them, this does not say that they have ended, so the other home may yet
// hand them over.
func (h *Homes) Withdraw(id place.ShardID, edge ident.Router, upto uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, known := h.shards[id]
	if !known {
		return
	}
	s.correction.Withdrawn -= s.permitCountChange(func() { s.home.Forget(edge, upto+1) })
	h.markUrgent(s)
	h.dispatch(s)
}

// Doubt names the routers that may be gone.
func (h *Homes) Doubt(edges []ident.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspectEdges = edges
	for _, s := range h.shards {
		s.home.Doubt(edges)
	}
}

// Holders lists the routers that hold permits here.
func (h *Homes) Holders() []ident.Router {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ident.Router
	for _, s := range h.shards {
		out = append(out, s.home.Holders()...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Forget drops the permits, below some of each router, that earlier processes or dead routers held.
func (h *Homes) Forget(below map[ident.Router]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		s.correction.Forgotten -= s.permitCountChange(func() { s.home.ForgetBelow(below) })
		h.dispatch(s)
	}
}

// Evicted notes cache events of an engine.
func (h *Homes) Evicted(id place.ShardID, engine ident.TargetHash, keys []ident.ChatKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return
	}
	for _, key := range keys {
		s.home.Evicted(engine, key)
	}
}

// ReleaseAt gives permits back to a shard of a pool known by its hash.
func (h *Homes) ReleaseByPoolHash(hash ident.PoolHash, shard ident.Shard, edge ident.Router, released []uint64) {
	h.Release(place.ShardID{Pool: h.poolByHash(hash), Shard: shard}, edge, released)
}

// dropPermit gives back a permit of any shard.
func (h *Homes) releaseFromAnyShard(edge ident.Router, permit uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		h.release(s, edge, []uint64{permit})
	}
}
