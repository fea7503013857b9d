package place

import (
	"slices"

	"valescale/internal/plat/ident"
)

// maxEnginesPerChat is the number of engines that are stored per chat. Prefixes shared by many
// requests are cached on four or five engines after a day with failures.
const maxEnginesPerChat = 4

// chatPlace lists the engines that ran a chat, the last one first. If that is full or removed, the
// earlier ones may still have the chat's prefix cached.
type chatPlace struct {
	seen int64
	at   [maxEnginesPerChat]engineRun
}

// last returns the engine that ran the chat last.
func (p chatPlace) last() engineRun { return p.at[0] }

// engineRun is one incarnation of an engine.
type engineRun struct {
	incarnation ident.Incarnation
	engine      ident.TargetHash
}

// run returns the current incarnation of an engine.
func (e *Engine) run() engineRun { return engineRun{incarnation: e.Incarnation, engine: e.Hash} }

// find returns the position of an engine in the home's engines, and whether it still has the given
// incarnation.
func (h *Home) find(run engineRun) (int, bool) {
	i, known := h.index[run.engine]
	return i, known && h.engines[i].Incarnation == run.incarnation
}

// movedTo returns the place after the chat ran on an engine.
func (p chatPlace) movedTo(to engineRun, seen int64) chatPlace {
	p.seen = seen
	next := [maxEnginesPerChat]engineRun{to}
	n := 1
	for _, s := range p.at {
		if s != to && s != (engineRun{}) && n < maxEnginesPerChat {
			next[n] = s
			n++
		}
	}
	p.at = next
	return p
}

// without returns the place after an engine evicted the chat's prefix.
func (p chatPlace) without(engine ident.TargetHash) chatPlace {
	var left [maxEnginesPerChat]engineRun
	n := 0
	for _, s := range p.at {
		if s.engine != engine && s != (engineRun{}) {
			left[n] = s
			n++
		}
	}
	p.at = left
	return p
}

// lru is an approximate LRU cache of values by chat. It has two generations: when the young one is
// full it becomes the old one, and the previous old one is evicted.
type lru[V any] struct {
	young, old      map[ident.ChatKey]V
	generationLimit int
}

// newLRU returns an empty cache of at most limit chats.
func newLRU[V any](limit int) lru[V] {
	return lru[V]{
		young:           map[ident.ChatKey]V{},
		old:             map[ident.ChatKey]V{},
		generationLimit: max(limit/2, 1),
	}
}

func (m *lru[V]) get(key ident.ChatKey) (V, bool) {
	if p, ok := m.young[key]; ok {
		return p, true
	}
	p, ok := m.old[key]
	return p, ok
}

func (m *lru[V]) put(key ident.ChatKey, p V) {
	if len(m.young) >= m.generationLimit {
		if _, ok := m.young[key]; !ok {
			m.young, m.old = m.old, m.young
			clear(m.young)
		}
	}
	m.young[key] = p
}

func (m *lru[V]) remove(key ident.ChatKey) {
	delete(m.young, key)
	delete(m.old, key)
}

func (m *lru[V]) len() int { return len(m.young) + len(m.old) }

// ChatPlace is the stored place of a chat in the form that handoffs and digests contain.
type ChatPlace struct {
	Key         ident.ChatKey
	Engine      ident.TargetHash
	Incarnation ident.Incarnation
	SeenUnix    int64
}

// Places lists up to limit stored places, young chats first, and the engines of one chat from the
// earliest to the last.
func (h *Home) Places(limit int) []ChatPlace {
	out := make([]ChatPlace, 0, min(limit, h.places.len()))
	for _, generation := range []map[ident.ChatKey]chatPlace{h.places.young, h.places.old} {
		for key, p := range generation {
			for _, s := range slices.Backward(p.at[:]) {
				if s == (engineRun{}) {
					continue
				}
				if len(out) == limit {
					return out
				}
				out = append(out, ChatPlace{Key: key, Engine: s.engine, Incarnation: s.incarnation, SeenUnix: p.seen})
			}
		}
	}
	return out
}

// lastPlaces lists the last engine of every stored chat.
func (h *Home) lastPlaces() []ChatPlace {
	out := make([]ChatPlace, 0, h.places.len())
	for _, generation := range []map[ident.ChatKey]chatPlace{h.places.young, h.places.old} {
		for key, p := range generation {
			s := p.last()
			out = append(out, ChatPlace{Key: key, Engine: s.engine, Incarnation: s.incarnation, SeenUnix: p.seen})
		}
	}
	return out
}

// MergePlaces merges places from another home. A more recent stored place is kept.
func (h *Home) MergePlaces(places []ChatPlace) { mergePlaces(&h.places, places) }

// mergePlaces adds places to a cache. A more recent stored place is kept.
func mergePlaces(m *lru[chatPlace], places []ChatPlace) {
	for _, p := range places {
		known, ok := m.get(p.Key)
		if ok && known.seen > p.SeenUnix {
			continue
		}
		m.put(p.Key, known.movedTo(engineRun{engine: p.Engine, incarnation: p.Incarnation}, p.SeenUnix))
	}
}

// Replica is the copy of a shard's chat places that a standby keeps.
type Replica struct {
	lru lru[chatPlace]
}

// NewReplica returns an empty replica with the size given by a bound.
func NewReplica(bound Bound) *Replica { return &Replica{lru: newLRU[chatPlace](bound.MaxPlaces)} }

// MergePlaces merges places received from the shard's home.
func (s *Replica) MergePlaces(places []ChatPlace) { mergePlaces(&s.lru, places) }

// Len returns the number of stored chats.
func (s *Replica) Len() int { return s.lru.len() }

// AdoptReplica replaces the home's places by a replica. The replica must not be used afterwards.
func (h *Home) AdoptReplica(s *Replica) { h.places = s.lru }

// maxPlaceChanges limits the place changes that are kept for the next digest. If there are more,
// standbys receive the latest ones.
const maxPlaceChanges = 512

// recordPlace adds a chat's new place to the next digest.
func (h *Home) recordPlace(key ident.ChatKey, at chatPlace) {
	if len(h.placeChanges) >= maxPlaceChanges {
		h.placeChanges = h.placeChanges[:copy(h.placeChanges, h.placeChanges[maxPlaceChanges/2:])]
	}
	h.placeChanges = append(h.placeChanges, ChatPlace{
		Key: key, Engine: at.last().engine, Incarnation: at.last().incarnation, SeenUnix: at.seen,
	})
}

// RecordEvictions records that an engine evicted a chat's cached prefix.
func (h *Home) RecordEvictions(engine ident.TargetHash, key ident.ChatKey) {
	p, ok := h.places.get(key)
	if !ok {
		return
	}
	left := p.without(engine)
	if left.last() == (engineRun{}) {
		h.places.remove(key)
		return
	}
	if left != p {
		h.places.put(key, left)
	}
}
