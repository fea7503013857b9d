package home

import (
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Correction is by how much a home's count of a shard changed other than by permits given
// and given back, since it was told last, and what it counts now. A count that is wrong
// breaks the load bound; this is where it can become so.
type Correction struct {
	Shard place.ShardID
	// Listed is what edges' own lists added less what they took off.
	Listed int
	// Withdrawn are permits that edges have counted elsewhere, Lapsed those of edges that did
	// not speak, Forgotten those of edges that are gone.
	Withdrawn int
	Lapsed    int
	Forgotten int
	// Counted are the permits now, Own and Foreign the work on the shard's engines that this home
	// and others admitted, Mean the work on the pool's engines on average.
	Counted int
	Own     ident.Work
	Foreign ident.Work
	Mean    ident.Work
}

// happened reports whether anything was corrected.
func (c *Correction) nonZero() bool {
	return c.Listed != 0 || c.Withdrawn != 0 || c.Lapsed != 0 || c.Forgotten != 0
}

// changed returns by how many permits a change alters a shard's count.
func (s *shard) permitCountChange(apply func()) int {
	before := s.home.Len()
	apply()
	return s.home.Len() - before
}

// Corrections returns the shards whose counts were corrected since it was called last.
func (h *Homes) Corrections() []Correction {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Correction
	for id, s := range h.shards {
		if !s.correction.nonZero() {
			continue
		}
		c := s.correction
		s.correction = Correction{}
		c.Shard, c.Counted = id, s.home.Len()
		c.Own, c.Foreign, c.Mean = s.home.Counts(h.clock())
		out = append(out, c)
	}
	return out
}
