package place

import (
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Permit is one request's work on an engine.
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

// hold counts a permit; one that is held already is replaced.
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

// Release gives a permit back; releasing twice, or one never given, does nothing.
func (h *Home) Release(edge ident.Router, id uint64) {
	h.drop(permitKey{edge, id})
}

// Sync replaces all permits of one edge with the list it holds. Permits newer than
// upto were asked for after the list was made and stay. Permits that another home
// counted before no longer count as that home's.
func (h *Home) Sync(edge ident.Router, held []Permit, upto uint64, from ident.Router) {
	h.claim(from, held)
	for key := range h.permits {
		if key.edge == edge && key.id <= upto {
			h.drop(key)
		}
	}
	for _, p := range held {
		h.hold(p)
	}
}

// claim takes permits that are new here off what another home published. Its next
// digest, if there is one, says the same.
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

// Forget drops the permits of an edge with ids below a limit: those of a process that is gone.
func (h *Home) Forget(edge ident.Router, below uint64) {
	for key := range h.permits {
		if key.edge == edge && key.id < below {
			h.drop(key)
		}
	}
}

// ForgetBelow drops the permits of several edges, each with ids below a limit.
func (h *Home) ForgetBelow(below map[ident.Router]uint64) {
	for key := range h.permits {
		if key.id < below[key.edge] {
			h.drop(key)
		}
	}
}

// Holders lists the edges that hold permits.
func (h *Home) Holders() []ident.Router { return slices.Collect(maps.Keys(h.permitCount)) }

// Doubt names the edges that may be gone. Until that is known their permits count on
// their engines, but not in the mean: too high a load and too low a mean are the
// sides to err on.
func (h *Home) Doubt(edges []ident.Router) {
	clear(h.suspectEdges)
	for _, e := range edges {
		h.suspectEdges[e] = true
	}
}

// doubtedWork is the work of permits whose requests may have ended with their edge.
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

// Heard notes that an edge spoke of this shard.
func (h *Home) Heard(now time.Time, edge ident.Router) { h.lastContact[edge] = now }

// Lapse drops the permits of the edges that have not spoken of this shard for a lease:
// they are counted elsewhere by now, or their edge is gone. It returns how many went.
func (h *Home) Lapse(now time.Time, lease time.Duration) int {
	dropped := 0
	for edge, permitCount := range h.permitCount {
		if now.Sub(h.lastContact[edge]) <= lease {
			continue
		}
		dropped += permitCount
		h.Forget(edge, ^uint64(0))
	}
	for edge := range h.lastContact {
		if _, holds := h.permitCount[edge]; !holds {
			delete(h.lastContact, edge)
		}
	}
	return dropped
}

// Held is the number of permits that an edge holds here.
func (h *Home) Held(edge ident.Router) int { return h.permitCount[edge] }

// Len is the number of permits held here.
func (h *Home) Len() int { return len(h.permits) }

// Granted is the work of all permits held here.
func (h *Home) Granted() ident.Work { return h.granted }
