package home

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

const (
	// minPublishInterval is the minimum interval between two digests of a shard.
	minPublishInterval = 900 * time.Millisecond
	// republishInterval is the interval at which an unchanged digest is published again, well below
	// the lifetime of a digest.
	republishInterval = 2 * time.Second
)

// receivedDigest is a digest with the time at which it was received. The time prevents the digest
// of a home that no longer exists from being merged as current into a home that is created later.
type receivedDigest struct {
	digest place.Digest
	at     time.Time
}

// markUrgent causes a shard's digest to be published at once.
func (h *Homes) markUrgent(s *shard) {
	s.urgent = true
	h.signalUrgent()
}

// signalUrgent signals that there is something to publish at once.
func (h *Homes) signalUrgent() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

// Urgent is signalled when Digests has something that should not wait.
func (h *Homes) Urgent() <-chan struct{} { return h.urgent }

// Merge merges digests of other homes.
func (h *Homes) Merge(digests []place.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for _, d := range digests {
		if h.peerDigests[d.ID] == nil {
			h.peerDigests[d.ID] = map[ident.Router]receivedDigest{}
		}
		h.storePlaces(d.ID, d.Places)
		d.Places = nil
		h.peerDigests[d.ID][d.Home] = receivedDigest{digest: d, at: now}
		for id, s := range h.shards {
			if id.Pool == d.ID.Pool {
				s.home.Merge(now, d)
			}
		}
	}
}

// storePlaces stores chat places: in the shard if this router is its home, otherwise in a replica.
func (h *Homes) storePlaces(id place.ShardID, places []place.ChatPlace) {
	if s, here := h.shards[id]; here {
		s.home.MergePlaces(places)
		return
	}
	if len(places) == 0 {
		return
	}
	replica := h.replicas[id]
	if replica == nil {
		bound := place.DefaultBound
		if info := h.pools[id.Pool]; info != nil {
			bound = info.bound
		}
		replica = place.NewReplica(bound)
		h.replicas[id] = replica
	}
	replica.MergePlaces(places)
}

// Publication is a shard's digest and the standbys to which it is sent.
type Publication struct {
	Digest place.Digest
	To     []ident.Router
	// FullPlaces is set when the first standby has changed and needs all chat places.
	FullPlaces *Transfer
}

// Publications returns what is to be published now. The arguments are the assignments among the
// live routers and among all known ones.
func (h *Homes) Publications(live, known *place.Assignment) []Publication {
	var out []Publication
	for _, d := range h.Digests() {
		p := Publication{Digest: d, To: place.Standbys(d.ID, h.self, live, known)}
		if len(p.To) > 0 {
			p.FullPlaces = h.fullPlaces(d.ID, p.To[0])
		}
		out = append(out, p)
	}
	return out
}

// fullPlaces returns all chat places of a shard if the given router has become its first standby,
// and nil otherwise.
func (h *Homes) fullPlaces(id place.ShardID, standby ident.Router) *Transfer {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok || s.standby == standby {
		return nil
	}
	s.standby = standby
	return &Transfer{ID: id, To: standby, Places: s.home.Places(maxTransferPlaces), Replica: true}
}

// Digests returns the digests to publish: those of shards whose counts have changed, and unchanged
// ones at a longer interval.
func (h *Homes) Digests() []place.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	out := h.finalDigests
	h.finalDigests = nil
	for _, s := range h.shards {
		age := now.Sub(s.publishedAt)
		if age < minPublishInterval && !s.urgent {
			continue
		}
		d := s.home.Digest()
		d.Paces = s.home.Paces(now)
		if age < republishInterval && len(d.Places) == 0 && sameLoads(d, s.published) {
			continue
		}
		s.published, s.publishedAt, s.urgent = d, now, false
		out = append(out, d)
	}
	return out
}

func sameLoads(a, b place.Digest) bool {
	return a.Work == b.Work && slices.Equal(a.Loads, b.Loads)
}
