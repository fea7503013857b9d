package home

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/quota"
)

// Parcel is what a home hands to its successor.
type Parcel struct {
	ID      place.ShardID
	To      ident.Router
	Permits []place.Permit
	Places  []place.ChatPlace
	// Spare parcels are for a router next in line; the sender stays home.
	Spare bool
}

// maxParcelPlaces bounds the chat places in one parcel; the most recent go first.
const maxParcelPlaces = 50_000

// Misplaced returns parcels of the shards that another router is home of, as homeOf tells.
func (h *Homes) Misplaced(homeOf func(place.ShardID) ident.Router) []Parcel {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Parcel
	for id, s := range h.shards {
		to := homeOf(id)
		if to == h.self || to == "" {
			continue
		}
		out = append(out, Parcel{ID: id, To: to, Permits: s.home.Permits(), Places: s.home.Places(maxParcelPlaces)})
	}
	return out
}

// Moved drops a shard after its parcel has arrived, and sends those who wait to
// the new home. The last digest says that nothing is counted here any more.
func (h *Homes) Moved(id place.ShardID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return
	}
	for {
		next, late := s.queue.Pop(time.Time{})
		for _, w := range late {
			w.Value.(*waiting).answer <- Answer{Result: Moved}
		}
		if next == nil {
			break
		}
		next.Value.(*waiting).answer <- Answer{Result: Moved}
	}
	for _, p := range s.home.Permits() {
		s.home.Release(p.Edge, p.ID)
	}
	last := s.home.Digest()
	h.seq = max(h.seq, last.Seq)
	h.farewells = append(h.farewells, last)
	delete(h.shards, id)
	h.signal()
}

// Accept takes in a parcel.
func (h *Homes) Accept(p Parcel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Spare {
		h.keepPlaces(p.ID, p.Places)
		return
	}
	s := h.at(p.ID)
	s.home.Take(p.Permits)
	s.home.Learn(p.Places)
	h.hurry(s)
	h.dispatch(s)
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

// maxEvacuated bounds the chats whose prefixes are copied off one leaving engine.
const maxEvacuated = 2000

// Evacuate plans where the chats of a leaving engine go, if its shard's home is here.
func (h *Homes) Evacuate(id place.ShardID, engine ident.TargetHash) []place.Evacuation {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return nil
	}
	return s.home.Evacuate(engine, maxEvacuated)
}

// Evacuated notes that chats' prefixes have been copied.
func (h *Homes) Evacuated(id place.ShardID, e place.Evacuation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.shards[id]; ok {
		s.home.Evacuated(h.clock(), e)
	}
}
