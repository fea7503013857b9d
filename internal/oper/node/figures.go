package node

import "valescale/internal/oper/telem"

// readings are the figures that metrics read of this router.
func (n *Node) readings() []telem.Reading {
	return []telem.Reading{
		{Name: "valescale_revision", Help: "Configuration revision in force.", Read: func() float64 {
			if t := n.Table(); t != nil {
				return float64(t.Revision)
			}
			return 0
		}},
		{Name: "valescale_fresh", Help: "Whether the store confirmed the configuration a moment ago.", Read: func() float64 { return telem.Flag(n.Fresh()) }},
		{Name: "valescale_ready", Help: "Whether this router wants requests.", Read: func() float64 { return telem.Flag(n.ready.Load() && !n.draining.Load()) }},
		{Name: "valescale_routers", Help: "Live routers known.", Read: func() float64 { return float64(len(n.mesh.Set().Live.Routers())) }},
		{Name: "valescale_permits", Help: "Permits held by this router's homes.", Read: func() float64 {
			permits, _ := n.homes.InFlight()
			return float64(permits)
		}},
		{Name: "valescale_load_ratio", Help: "Highest load over mean of the targets that this router is home of.", Read: n.homes.LoadRatio},
		{Name: "valescale_target_dials_total", Help: "Connections made to targets.", Counts: true, Read: func() float64 { return float64(n.conns.Dialed()) }},
		{Name: "valescale_store_calls_total", Help: "Calls to the store.", Counts: true, Read: func() float64 {
			made, _ := n.Store.Calls()
			return float64(made)
		}},
		{Name: "valescale_store_failures_total", Help: "Calls to the store that failed.", Counts: true, Read: func() float64 {
			_, failed := n.Store.Calls()
			return float64(failed)
		}},
		{Name: "valescale_permit_asks_total", Help: "Requests for permits.", Counts: true, Read: func() float64 { return float64(n.router.Stats().Asked) }},
		{Name: "valescale_fallback_placements_total", Help: "Placements made without the home.", Counts: true, Read: func() float64 { return float64(n.router.Stats().Fallback) }},
	}
}
