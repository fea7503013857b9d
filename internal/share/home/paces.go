package home

import (
	"slices"
	"strings"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// TargetPace is the pace of a target of a shard of which this router is home.
type TargetPace struct {
	Pool   ident.Pool
	Target ident.Target
	Pace   pace.Pace
}

// Paces returns the known paces of the targets of all shards of which this router is home.
func (h *Homes) Paces() []TargetPace {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []TargetPace
	now := h.clock()
	for id, s := range h.shards {
		info := h.pools[id.Pool]
		if info == nil || s.movedTo != "" {
			continue
		}
		for _, p := range s.home.Paces(now) {
			if e, known := info.roster.Engine(p.Engine); known {
				out = append(out, TargetPace{Pool: id.Pool, Target: e.ID, Pace: p.Pace})
			}
		}
	}
	slices.SortFunc(out, func(a, b TargetPace) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return out
}
