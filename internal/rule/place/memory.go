package place

import (
	"slices"

	"valescale/internal/plat/ident"
)

// spots is how many engines are remembered for one chat. Prefixes that many requests
// share lie on four or five engines after a day with failures.
const maxEnginesPerChat = 4

// chatPlace is where a chat ran, the last engine first: when that is full or gone,
// those before may still have the chat's prefix.
type chatPlace struct {
	seen int64
	at   [maxEnginesPerChat]engineRun
}

// last is where the chat ran last.
func (p chatPlace) last() engineRun { return p.at[0] }

// spot is one incarnation of an engine.
type engineRun struct {
	incarnation ident.Incarnation
	engine      ident.TargetHash
}

// moved returns the place after the chat ran at a spot.
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

// without returns the place after an engine dropped the chat's prefix.
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

// memory keeps something of the most recently used chats in two generations: when the
// young one is full it becomes the old one, and what the old one held is forgotten.
type lru[V any] struct {
	young, old      map[ident.ChatKey]V
	generationLimit int
}

// newMemory returns an empty memory of at most limit chats.
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

// ChatPlace is a remembered place in the form that a handoff carries.
type ChatPlace struct {
	Key         ident.ChatKey
	Engine      ident.TargetHash
	Incarnation ident.Incarnation
	SeenUnix    int64
}

// Places lists up to limit remembered places, those of the young chats first and those
// of one chat in the order in which it came to them.
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

// latest lists the last places of all remembered chats.
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

// Learn takes over places from another home; a later place that is known here stays.
func (h *Home) Learn(places []ChatPlace) { mergePlaces(&h.places, places) }

// learn takes places into a memory; a later place that is known there stays.
func mergePlaces(m *lru[chatPlace], places []ChatPlace) {
	for _, p := range places {
		known, ok := m.get(p.Key)
		if ok && known.seen > p.SeenUnix {
			continue
		}
		m.put(p.Key, known.movedTo(engineRun{engine: p.Engine, incarnation: p.Incarnation}, p.SeenUnix))
	}
}

// Replica is the memory of chat places that a router keeps for a shard of which it
// would be home if another were gone.
type Replica struct {
	lru lru[chatPlace]
}

// NewReplica returns an empty replica memory of a bound's size.
func NewReplica(bound Bound) *Replica { return &Replica{lru: newLRU[chatPlace](bound.Places)} }

// Learn takes in places from the shard's home.
func (s *Replica) Learn(places []ChatPlace) { mergePlaces(&s.lru, places) }

// Len is the number of places kept.
func (s *Replica) Len() int { return s.lru.len() }

// Adopt makes a replica memory the home's own; the replica must not be used afterwards.
func (h *Home) Adopt(s *Replica) { h.places = s.lru }

// maxMoves bounds the places that are kept for the next digest; of more, the
// standby learns the latest.
const maxPlaceChanges = 512

// note keeps a chat's move for the next digest.
func (h *Home) recordPlace(key ident.ChatKey, at chatPlace) {
	if len(h.placeChanges) >= maxPlaceChanges {
		h.placeChanges = h.placeChanges[:copy(h.placeChanges, h.placeChanges[maxPlaceChanges/2:])]
	}
	h.placeChanges = append(h.placeChanges, ChatPlace{
		Key: key, Engine: at.last().engine, Incarnation: at.last().incarnation, SeenUnix: at.seen,
	})
}

// Evicted notes that an engine no longer holds a chat's cached prefix.
func (h *Home) Evicted(engine ident.TargetHash, key ident.ChatKey) {
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
