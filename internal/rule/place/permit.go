package place

import (
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Permit is the work of one request on an engine.
type Permit struct {
	Edge   ident.Router
	ID     uint64
	Engine ident.TargetHash
	Work   ident.Work
}

type permitKey struct {
	edge ident.Router
	id   uint64
}

// hold counts a permit. It replaces an earlier permit with the same edge router and ID.
func (h *Home) hold(p Permit) {
	key := permitKey{p.Edge, p.ID}
	h.drop(key)
	h.permits[key] = p
	i, ok := h.index[p.Engine]
	if !ok {
		i = len(h.engines)
		h.index[p.Engine] = i
		h.engines = append(h.engines, engineLoad{Engine: Engine{Hash: p.Engine}})
	}
	h.engines[i].own += p.Work
	h.granted += p.Work
	h.permitCount[p.Edge]++
}

func (h *Home) drop(key permitKey) {
	p, ok := h.permits[key]
	if !ok {
		return
	}
	delete(h.permits, key)
	h.engines[h.index[p.Engine]].own -= p.Work
	h.granted -= p.Work
	h.permitCount[p.Edge]--
	if h.permitCount[p.Edge] == 0 {
		delete(h.permitCount, p.Edge)
	}
}

// Release releases a permit. Releasing an unknown permit has no effect.
func (h *Home) Release(edge ident.Router, id uint64) {
	h.drop(permitKey{edge, id})
}

// Sync replaces all permits of one edge router by the list that it holds. Permits with IDs above
// maxID were requested after the list was made and are kept. Permits that the home from counted
// before are subtracted from its share.
func (h *Home) Sync(edge ident.Router, held []Permit, maxID uint64, from ident.Router) {
	h.claim(from, held)
	for key := range h.permits {
		if key.edge == edge && key.id <= maxID {
			h.drop(key)
		}
	}
	for _, p := range held {
		h.hold(p)
	}
}

// claim subtracts permits that are new here from the share that another home published. The next
// digest of that home, if there is one, no longer includes them.
func (h *Home) claim(from ident.Router, held []Permit) {
	f, ok := h.peerShare[from]
	if !ok {
		return
	}
	loads := slices.Clone(f.digest.Loads)
	for _, p := range held {
		if _, known := h.permits[permitKey{p.Edge, p.ID}]; known {
			continue
		}
		for i := range loads {
			if loads[i].Engine == p.Engine {
				loads[i].Work = max(loads[i].Work-p.Work, 0)
			}
		}
	}
	f.digest.Loads = loads
	h.peerShare[from] = f
	h.recount()
}

// RemovePermits removes the permits with IDs below a limit that were issued to an edge router
// process that has ended.
func (h *Home) RemovePermits(edge ident.Router, below uint64) {
	for key := range h.permits {
		if key.edge == edge && key.id < below {
			h.drop(key)
		}
	}
}

// RemovePermitsBelow removes the permits of several edge routers, each with IDs below a limit.
func (h *Home) RemovePermitsBelow(below map[ident.Router]uint64) {
	for key := range h.permits {
		if key.id < below[key.edge] {
			h.drop(key)
		}
	}
}

// Holders lists the edge routers that hold permits.
func (h *Home) Holders() []ident.Router { return slices.Collect(maps.Keys(h.permitCount)) }

// SetSuspectEdges replaces the list of suspect edge routers, which may have crashed. Until their
// state is known, their permits count on their engines but not in the mean: too high a load and too
// low a mean are the safe directions of error.
func (h *Home) SetSuspectEdges(edges []ident.Router) {
	clear(h.suspectEdges)
	for _, e := range edges {
		h.suspectEdges[e] = true
	}
}

// suspectWork returns the work of permits whose requests may have ended with their edge router.
func (h *Home) suspectWork() ident.Work {
	if len(h.suspectEdges) == 0 {
		return 0
	}
	var work ident.Work
	for key, p := range h.permits {
		if h.suspectEdges[key.edge] {
			work += p.Work
		}
	}
	return work
}

// RecordContact records a contact with an edge router about this shard.
func (h *Home) RecordContact(now time.Time, edge ident.Router) { h.lastContact[edge] = now }

// ExpirePermits expires the permits of edge routers without contact about this shard for the lease
// time: another home counts them by now, or the edge router has crashed. It returns the number of
// expired permits.
func (h *Home) ExpirePermits(now time.Time, lease time.Duration) int {
	dropped := 0
	for edge, permitCount := range h.permitCount {
		if now.Sub(h.lastContact[edge]) <= lease {
			continue
		}
		dropped += permitCount
		h.RemovePermits(edge, ^uint64(0))
	}
	for edge := range h.lastContact {
		if _, holds := h.permitCount[edge]; !holds {
			delete(h.lastContact, edge)
		}
	}
	return dropped
}

// Held returns the number of permits that an edge router holds here.
func (h *Home) Held(edge ident.Router) int { return h.permitCount[edge] }

// Len returns the number of permits held here.
func (h *Home) Len() int { return len(h.permits) }

// Granted returns the work of all permits held here.
func (h *Home) Granted() ident.Work { return h.granted }
