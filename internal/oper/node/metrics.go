package node

import (
	"valescale/internal/oper/telem"
	"valescale/internal/rule/crash"
)

// metricReadings returns the values that the metrics read from this router.
func (n *Node) metricReadings() []telem.FuncMetric {
	gauge := func(name, help string, read func() float64) telem.FuncMetric {
		return telem.FuncMetric{Name: name, Help: help, Read: read}
	}
	counter := func(name, help string, read func() float64) telem.FuncMetric {
		return telem.FuncMetric{Name: name, Help: help, IsCounter: true, Read: read}
	}
	return []telem.FuncMetric{
		gauge("valescale_revision", "Configuration revision in force.", n.revision),
		gauge("valescale_fresh", "Whether the store confirmed the configuration a moment ago.",
			func() float64 { return telem.BoolValue(n.Fresh()) }),
		gauge("valescale_ready", "Whether this router wants requests.",
			func() float64 { return telem.BoolValue(n.ready.Load() && !n.draining.Load()) }),
		gauge("valescale_routers", "Live routers known.",
			func() float64 { return float64(len(n.mesh.Set().Live.Routers())) }),
		gauge("valescale_permits", "Permits held by this router's homes.",
			func() float64 { permits, _ := n.homes.InFlight(); return float64(permits) }),
		gauge("valescale_load_ratio", "Highest load over mean of the targets that this router is home of.", n.homes.LoadRatio),
		gauge("valescale_held_requests", "Requests held back because targets end under them.",
			func() float64 { return float64(n.guard.Quarantined(crash.WholeRequest)) }),
		gauge("valescale_held_parts", "Parts of prompts held back because targets end under them.",
			func() float64 { return float64(n.guard.Quarantined(crash.PromptPart)) }),
		gauge("valescale_kept_limit_bytes", "Limit of the memory that is kept for others.",
			func() float64 { return float64(n.memory.Usage().Limit) }),
		counter("valescale_idle_closes_total", "Callers' connections closed because they waited for a request for too long, or at a stop.",
			func() float64 { return float64(n.callerConns.IdleCloses()) }),
		counter("valescale_target_dials_total", "Connections made to targets.",
			func() float64 { return float64(n.conns.Dialed()) }),
		counter("valescale_store_calls_total", "Calls to the store.",
			func() float64 { made, _ := n.Store.Calls(); return float64(made) }),
		counter("valescale_store_failures_total", "Calls to the store that failed.",
			func() float64 { _, failed := n.Store.Calls(); return float64(failed) }),
		counter("valescale_permit_asks_total", "Requests for permits.",
			func() float64 { return float64(n.router.Stats().PermitRequests) }),
		counter("valescale_waited_requests_total", "Requests for permits that waited for a target.",
			func() float64 { return float64(n.router.Stats().Waited) }),
		counter("valescale_waited_beside_room_total", "Those of them that waited in one shard while another had a free slot.",
			func() float64 { return float64(n.router.Stats().WaitedBesideRoom) }),
		counter("valescale_fallback_placements_total", "Placements made without the home.",
			func() float64 { return float64(n.router.Stats().LocalPlacements) }),
		counter("valescale_throttled_requests_total", "Requests refused without asking a home that refuses most like them.",
			func() float64 { return float64(n.router.Stats().Throttled) }),
	}
}

// paceMetric returns the metric of the paces that this router, as home, uses to place requests.
func (n *Node) paceMetric() telem.LabeledMetric {
	return telem.LabeledMetric{
		Name: "valescale_target_pace", Help: "Time that work takes at a target as a multiple of the usual time.", Labels: []string{"pool", "target"},
		Read: func() []telem.LabeledReading {
			var out []telem.LabeledReading
			for _, p := range n.homes.Paces() {
				out = append(out, telem.LabeledReading{Labels: []string{string(p.Pool), string(p.Target)}, Value: float64(p.Pace)})
			}
			return out
		},
	}
}

// revision returns the configuration revision in force, or zero if there is none.
func (n *Node) revision() float64 {
	if t := n.Table(); t != nil {
		return float64(t.Revision)
	}
	return 0
}
