package place

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// levelInterval is how long the usual pace of the engines is used before it is computed again.
const levelInterval = 100 * time.Millisecond

// RecordPaces records what an edge router learned about the paces of engines.
func (h *Home) RecordPaces(now time.Time, reports []pace.Report) {
	for _, r := range reports {
		if i, known := h.index[r.Target]; known {
			h.engines[i].gauge.Add(now, r)
			h.paced = h.paced || h.engines[i].gauge.Known()
		}
	}
}

// updateLevel computes the usual pace of the shard's engines if it is outdated.
func (h *Home) updateLevel(now time.Time) {
	if now.Sub(h.levelAt) < levelInterval {
		return
	}
	h.levelAt = now
	gauges := make([]*pace.Gauge, 0, len(h.engines))
	for i := range h.engines {
		if h.engines[i].usable() {
			gauges = append(gauges, &h.engines[i].gauge)
		}
	}
	h.level = pace.NewLevel(now, gauges)
}

// EnginePace is the pace of an engine.
type EnginePace struct {
	Engine ident.TargetHash
	Pace   pace.Pace
}

// Paces returns the lasting paces of the shard's engines, as far as they are known.
func (h *Home) Paces(now time.Time) []EnginePace {
	if !h.paced {
		return nil
	}
	h.updateLevel(now)
	var out []EnginePace
	for i := range h.engines {
		e := &h.engines[i]
		if p := e.gauge.Lasting(now, h.level); p > 0 && e.usable() {
			out = append(out, EnginePace{Engine: e.Hash, Pace: p})
		}
	}
	return out
}

// mergePaces adopts the paces that another home published for engines of which this home knows none.
func (h *Home) mergePaces(now time.Time, paces []EnginePace) {
	for _, p := range paces {
		i, known := h.index[p.Engine]
		if !known || h.engines[i].gauge.Known() {
			continue
		}
		h.RecordPaces(now, []pace.Report{{Target: p.Engine, Reported: p.Pace, Age: pace.PresentTTL}})
	}
}
