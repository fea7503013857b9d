package home

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/quota"
)

// Transfer is the chat places that a home sends to another router. Permits are not part of it: only
// the edge routers that hold them report them. If homes transferred permits, they would be counted
// twice for as long as their edge routers use the earlier home (14 more per second in a fleet of
// seven).
type Transfer struct {
	ID     place.ShardID
	To     ident.Router
	Places []place.ChatPlace
	// Replica marks a transfer to a standby; the sender remains home.
	Replica bool
}

// maxTransferPlaces is the maximum number of chat places in one transfer. The most recent ones are
// sent.
const maxTransferPlaces = 50_000

// PendingTransfers returns the chat places of shards whose home is another router according to
// homeOf, once for each such router. A shard is removed when all its permits have been released.
// Until then it serves the edge routers that still use this home, and its counts are published to
// the new home.
func (h *Homes) PendingTransfers(homeOf func(place.ShardID) ident.Router) []Transfer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Transfer
	for id, s := range h.shards {
		to := homeOf(id)
		switch {
		case to == h.self || to == "":
			s.movedTo = ""
		case s.movedTo != to:
			out = append(out, Transfer{ID: id, To: to, Places: s.home.Places(maxTransferPlaces)})
		case s.home.Len() == 0 && s.waiting() == 0:
			h.removeShard(id, s)
		}
	}
	return out
}

// reshard collects the chat places whose preferred shard changes with the pool's number of shards,
// to be sent to the homes of their new shards. Without them the prompts of these chats would be
// processed again, or their prefixes copied from engines that share only the beginning. The caller
// must hold the lock.
func (h *Homes) reshard(name ident.Pool, bound place.Bound, roster *place.Roster) {
	pool := place.NewPool(name, roster.Shards(), bound)
	pool.SetRoster(roster)
	byShard := map[place.ShardID][]place.ChatPlace{}
	for id, s := range h.shards {
		if id.Pool != name {
			continue
		}
		for _, p := range s.home.Places(maxTransferPlaces) {
			if first, ok := pool.First(p.Key); ok && first != id.Shard {
				to := place.ShardID{Pool: name, Shard: first}
				byShard[to] = append(byShard[to], p)
			}
		}
	}
	for id, places := range byShard {
		h.resharded = append(h.resharded, Transfer{ID: id, Places: places})
	}
}

// TakeResharded returns the chat places to send to the homes of other shards, and clears them.
func (h *Homes) TakeResharded() []Transfer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.resharded
	h.resharded = nil
	return out
}

// Moved records that the new home of a shard has received its chat places, and redirects the queued
// requests to it.
func (h *Homes) Moved(id place.ShardID, to ident.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return
	}
	s.movedTo = to
	s.redirectResumed()
	for {
		next, expired := s.queue.Pop(time.Time{})
		for _, w := range expired {
			w.Value.(*queuedRequest).response <- PermitResponse{Result: Moved}
		}
		if next == nil {
			break
		}
		next.Value.(*queuedRequest).response <- PermitResponse{Result: Moved}
	}
	// The new home receives the permits that are still counted here only from the next digest.
	h.markUrgent(s)
}

// removeShard removes a shard without permits and publishes an empty digest for it. The caller must
// hold the lock.
func (h *Homes) removeShard(id place.ShardID, s *shard) {
	last := s.home.Digest()
	h.seq = max(h.seq, last.Seq)
	h.finalDigests = append(h.finalDigests, last)
	delete(h.shards, id)
	// Some routers may select this router as home again.
	h.storePlaces(id, s.home.Places(maxTransferPlaces))
	h.signalUrgent()
}

// Accept adds the chat places of a transfer.
func (h *Homes) Accept(p Transfer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Replica {
		h.storePlaces(p.ID, p.Places)
		return
	}
	h.getOrCreate(p.ID).home.MergePlaces(p.Places)
}

// Grant grants tokens of a workspace. A new bucket starts with the tokens of at most one second,
// because an earlier home may have granted the rest.
func (h *Homes) Grant(workspace ident.Workspace, want int) (granted int, retryAfter time.Duration, known bool) {
	w, ok := h.rates(workspace)
	if !ok || w.Rate <= 0 {
		return 0, 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	b, ok := h.buckets[workspace]
	if !ok {
		b = quota.NewColdBucket(now.Add(-time.Second), w.Rate, w.Burst)
		h.buckets[workspace] = b
	}
	b.Set(now, w.Rate, w.Burst)
	granted, retryAfter = b.Grant(now, want)
	return granted, retryAfter, true
}

// maxExportedChats is the maximum number of chats whose prefixes are copied from one leaving
// engine.
const maxExportedChats = 2000

// PlanExport returns to which engines the cached prefixes of a leaving engine are to be copied. It
// returns nil if this router is not the home of the shard.
func (h *Homes) PlanExport(id place.ShardID, engine ident.TargetHash) []place.Export {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return nil
	}
	return s.home.PlanExport(engine, maxExportedChats)
}

// RecordExport records that the prefixes of chats have been copied.
func (h *Homes) RecordExport(id place.ShardID, e place.Export) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.shards[id]; ok {
		s.home.RecordExport(h.clock(), e)
	}
}
