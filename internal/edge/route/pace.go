package route

import (
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
)

// ReportPace records what an attempt shows about the pace of its target, for the home of the
// target's shard and for placements without a home. Measured times are used only if some target
// reports its pace: otherwise targets have their machines to themselves.
func (r *Router) ReportPace(report pace.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paced = r.paced || report.Reported.Valid()
	id, known := r.shardOf(report.Target)
	if !r.paced || !known {
		return
	}
	now := r.clock()
	r.unsentPacesOf(id).Add(now, report)
	for _, pools := range r.pools {
		for _, p := range pools {
			if p.Name == id.Pool {
				p.state.RecordPace(now, report)
			}
		}
	}
}

// unsentPacesOf returns the reports for the home of a shard. The caller holds the lock.
func (r *Router) unsentPacesOf(id place.ShardID) *pace.Unsent {
	unsent := r.unsentPaces[id]
	if unsent == nil {
		unsent = &pace.Unsent{}
		r.unsentPaces[id] = unsent
	}
	return unsent
}
