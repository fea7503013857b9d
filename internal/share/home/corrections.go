package home

import (
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Correction contains the changes of a home's permit count of a shard that were not caused by
// single grants and releases, since the previous report, and the current count. The load bound
// depends on that count, and these changes are where it can become wrong.
type Correction struct {
	Shard place.ShardID
	// Listed is the number of permits added less those removed by edge routers' full lists of their
	// permits.
	Listed int
	// Withdrawn are permits that edge routers have moved to another home, Expired those of edge
	// routers that made no contact within the lease, and Removed those of edge routers that have
	// left the fleet or restarted.
	Withdrawn int
	Expired   int
	Removed   int
	// Permits is the current number of permits. OwnWork and PeerWork are the work on the shard's
	// engines that was admitted by this home and by other homes, MeanWork is the mean work per engine
	// of the pool.
	Permits  int
	OwnWork  ident.Work
	PeerWork ident.Work
	MeanWork ident.Work
}

// nonZero reports whether the count was corrected.
func (c *Correction) nonZero() bool {
	return c.Listed != 0 || c.Withdrawn != 0 || c.Expired != 0 || c.Removed != 0
}

// permitCountChange calls apply and returns by how much that changed the shard's number of permits.
func (s *shard) permitCountChange(apply func()) int {
	before := s.home.Len()
	apply()
	return s.home.Len() - before
}

// Corrections returns the corrections of all shards since the previous call.
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
		c.Shard, c.Permits = id, s.home.Len()
		c.OwnWork, c.PeerWork, c.MeanWork = s.home.Counts(h.clock())
		out = append(out, c)
	}
	return out
}
