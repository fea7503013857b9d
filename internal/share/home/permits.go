package home

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Release releases permits of an edge router.
func (h *Homes) Release(id place.ShardID, edge ident.Router, released []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.shards[id]; ok {
		s.home.RecordContact(h.clock(), edge)
		h.release(s, edge, released)
	}
}

// permitLease is how long a home counts the permits of an edge router that makes no contact. An
// edge router that holds permits makes contact at least every half second; see route.Reconcile.
const permitLease = 2 * time.Second

// ExpirePermits removes the permits of edge routers that have made no contact for a lease.
func (h *Homes) ExpirePermits() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for _, s := range h.shards {
		if expired := s.home.ExpirePermits(now, permitLease); expired > 0 {
			s.correction.Expired += expired
			h.markUrgent(s)
			h.dispatch(s)
		}
	}
}

// release removes permits from a shard and dispatches queued requests. The caller must hold the
// lock.
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

// Sync replaces an edge router's permits in a shard by a full list. The router from is the home
// that counted them before, if it was another one.
func (h *Homes) Sync(id place.ShardID, edge ident.Router, held []place.Permit, upto uint64, from ident.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.getOrCreate(id)
	s.correction.Listed += s.permitCountChange(func() { s.home.Sync(edge, held, upto, from) })
	s.home.RecordContact(h.clock(), edge)
	h.markUrgent(s)
	h.dispatch(s)
}

// Withdraw removes an edge router's permits because another home counts them now. Unlike Sync, it
// does not mean that the permits were released, so the other home may still publish them.
func (h *Homes) Withdraw(id place.ShardID, edge ident.Router, upto uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, known := h.shards[id]
	if !known {
		return
	}
	s.correction.Withdrawn -= s.permitCountChange(func() { s.home.RemovePermits(edge, upto+1) })
	h.markUrgent(s)
	h.dispatch(s)
}

// SetSuspectEdges sets the routers that may have crashed.
func (h *Homes) SetSuspectEdges(edges []ident.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspectEdges = edges
	for _, s := range h.shards {
		s.home.SetSuspectEdges(edges)
	}
}

// Holders returns the routers that hold permits of any shard.
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

// RemoveEdgePermits removes the permits of earlier processes of a router and of dead routers: for
// each router those below the given permit.
func (h *Homes) RemoveEdgePermits(below map[ident.Router]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		s.correction.Removed -= s.permitCountChange(func() { s.home.RemovePermitsBelow(below) })
		h.dispatch(s)
	}
}

// RecordEvictions records the prefixes that an engine has evicted from its cache.
func (h *Homes) RecordEvictions(id place.ShardID, engine ident.TargetHash, keys []ident.ChatKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return
	}
	for _, key := range keys {
		s.home.RecordEvictions(engine, key)
	}
}

// ReleaseByPoolHash releases permits of a shard whose pool is given by its hash.
func (h *Homes) ReleaseByPoolHash(hash ident.PoolHash, shard ident.Shard, edge ident.Router, released []uint64) {
	h.Release(place.ShardID{Pool: h.poolByHash(hash), Shard: shard}, edge, released)
}

// releaseFromAnyShard releases a permit whose shard the caller cannot determine.
func (h *Homes) releaseFromAnyShard(edge ident.Router, permit uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		h.release(s, edge, []uint64{permit})
	}
}
