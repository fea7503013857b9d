package home

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

const (
	// publishEvery is the least time between two digests of one shard.
	minPublishInterval = 900 * time.Millisecond
	// renewEvery is how often an unchanged digest is published again, well within its life.
	republishInterval = 2 * time.Second
)

// heard is a digest with the time at which it came; one of a home that is gone must
// not come to life again in a home that is made later.
type receivedDigest struct {
	digest place.Digest
	at     time.Time
}

// hurry has a shard's count published at once.
func (h *Homes) markUrgent(s *shard) {
	s.urgent = true
	h.signalUrgent()
}

// signal asks for a publication at once, unless that has been asked already.
func (h *Homes) signalUrgent() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

// Urgent is signalled when Digests has something that should not wait.
func (h *Homes) Urgent() <-chan struct{} { return h.urgent }

// Merge takes in what other homes published.
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

// keepPlaces keeps chat places of a shard of which another router is home.
func (h *Homes) storePlaces(id place.ShardID, places []place.ChatPlace) {
	if s, here := h.shards[id]; here {
		s.home.Learn(places)
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
	replica.Learn(places)
}

// Publication is what the routers next in line are to be told of a shard.
type Publication struct {
	Digest place.Digest
	To     []ident.Router
	// Whole is set when the first of them is new in line and needs all chat places.
	Whole *Transfer
}

// Publications returns what is to be told now, given the assignments among the live
// routers and among all that are known.
func (h *Homes) Publications(live, known *place.Assignment) []Publication {
	var out []Publication
	for _, d := range h.Digests() {
		p := Publication{Digest: d, To: place.Standbys(d.ID, h.self, live, known)}
		if len(p.To) > 0 {
			p.Whole = h.fullPlaces(d.ID, p.To[0])
		}
		out = append(out, p)
	}
	return out
}

// wholeFor returns all chat places of a shard if a router has just become its first standby.
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

// Digests returns what is to be published: the shards whose counts changed, and
// now and then those whose did not.
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
