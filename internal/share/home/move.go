package home

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/quota"
)

// Transfer is the chat places that a home passes on. Permits are told by the edges that hold them
// and by nobody else: permits that homes handed over were counted twice as long as their edges
// went on asking the earlier home, 14 more each second in a fleet of seven.
type Transfer struct {
	ID     place.ShardID
	To     ident.Router
	Places []place.ChatPlace
	// Replica transfers are for a router next in line; the sender stays home.
	Replica bool
}

// maxTransferPlaces bounds the chat places in one transfer; the most recent go first.
const maxTransferPlaces = 50_000

// Misplaced returns the chat places of the shards that another router is home of, as homeOf
// tells, once for each such router. A shard from which all permits have gone is dropped; until then
// it serves the edges that still ask here, and its counts are published to its home.
func (h *Homes) Misplaced(homeOf func(place.ShardID) ident.Router) []Transfer {
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
		case s.home.Len() == 0 && s.queue.Len() == 0:
			h.removeShard(id, s)
		}
	}
	return out
}

// regroup takes the chats that prefer another shard once their pool has other shards out of
// the homes here, for the homes of those. Without their places they would be read again, or
// copied from engines that share only the beginning of their prompts; the caller holds the
// lock.
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

// Regrouped returns the chat places that are to go to the homes of other shards, once.
func (h *Homes) Regrouped() []Transfer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.resharded
	h.resharded = nil
	return out
}

// Moved notes that a shard's new home has its chat places, and sends those who wait there.
func (h *Homes) Moved(id place.ShardID, to ident.Router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return
	}
	s.movedTo = to
	for {
		next, expired := s.queue.Pop(time.Time{})
		for _, w := range expired {
			w.Value.(*queuedRequest).response <- Answer{Result: Moved}
		}
		if next == nil {
			break
		}
		next.Value.(*queuedRequest).response <- Answer{Result: Moved}
	}
	// The new home knows of what is still counted here from the next digest alone.
	h.markUrgent(s)
}

// drop forgets a shard that nobody asks for here any more. Its last digest says that nothing is
// counted here; the caller holds the lock.
func (h *Homes) removeShard(id place.ShardID, s *shard) {
	last := s.home.Digest()
	h.seq = max(h.seq, last.Seq)
	h.finalDigests = append(h.finalDigests, last)
	delete(h.shards, id)
	// Some routers may take this one for home again.
	h.storePlaces(id, s.home.Places(maxTransferPlaces))
	h.signalUrgent()
}

// Accept takes in a transfer.
func (h *Homes) Accept(p Transfer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Replica {
		h.storePlaces(p.ID, p.Places)
		return
	}
	h.getOrCreate(p.ID).home.Learn(p.Places)
}

// Grant hands out a workspace's tokens. A bucket that is new here starts with no
// more than a second's worth, since an earlier home may have granted the rest.
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

// maxExported bounds the chats whose prefixes are copied off one leaving engine.
const maxExportedChats = 2000

// PlanExport plans where the chats of a leaving engine go, if its shard's home is here.
func (h *Homes) PlanExport(id place.ShardID, engine ident.TargetHash) []place.Export {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return nil
	}
	return s.home.PlanExport(engine, maxExportedChats)
}

// Exported notes that chats' prefixes have been copied.
func (h *Homes) Exported(id place.ShardID, e place.Export) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.shards[id]; ok {
		s.home.Exported(h.clock(), e)
	}
}
