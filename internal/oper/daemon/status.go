package daemon

import (
	"cmp"
	"slices"

	"valescale/internal/oper/admin"
	"valescale/internal/oper/telem"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/place"
	"valescale/internal/share/peer"
)

// gauges returns the functions from which the metrics read the state of this router.
func (d *Daemon) gauges() telem.Gauges {
	return telem.Gauges{
		Revision: func() float64 { return float64(d.Revision()) },
		StoreUp:  func() float64 { return telem.BoolValue(d.table.Up()) },
		Ready:    func() float64 { return telem.BoolValue(d.Ready()) },
		Routers: func() float64 {
			n := 0
			d.node.Read(func(v *peer.View) { n = len(v.Routers("")) })
			return float64(n)
		},
		Permits:             func() float64 { permits, _ := d.homes.InFlight(); return float64(permits) },
		Waiting:             func() float64 { _, waiting := d.homes.InFlight(); return float64(waiting) },
		SentBytes:           func() float64 { return float64(d.peerBytes.Traffic().Sent + d.platformBytes.Traffic().Sent) },
		ReceivedBytes:       func() float64 { return float64(d.peerBytes.Traffic().Received + d.platformBytes.Traffic().Received) },
		LoadRatio:           d.homes.LoadRatio,
		QuarantinedRequests: func() float64 { return float64(d.guard.Quarantined(crash.WholeRequest)) },
		QuarantinedParts:    func() float64 { return float64(d.guard.Quarantined(crash.PromptPart)) },
		StoreCalls: func() float64 {
			c := d.table.Counts()
			return float64(c.Reads + c.Writes)
		},
		FallbackPlacements: func() float64 { return float64(d.router.Stats().LocalPlacements) },
		PermitRequests:     func() float64 { return float64(d.router.Stats().PermitRequests) },
	}
}

// status returns the state of this router as shown to operators.
func (d *Daemon) status() admin.Status {
	out := admin.Status{Ready: d.Ready(), StoreUp: d.table.Up()}
	for _, p := range d.mesh.Set().Pools {
		engines := p.Roster.Engines()
		slices.SortFunc(engines, func(a, b place.Engine) int { return cmp.Compare(a.ID, b.ID) })
		for _, e := range engines {
			state := "live"
			if e.Leaving {
				state = "leaving"
			}
			out.Engines = append(out.Engines, admin.EngineStatus{
				ID: e.ID, Pool: p.Name, Zone: e.Zone, State: state, InFlight: d.homes.EngineRequests(p.Name, e.Hash),
			})
		}
	}
	return out
}
