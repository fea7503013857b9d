package mesh

import (
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peer"
)

// routers contains the routers of a region by membership state, and the size of the whole fleet.
type routers struct {
	// count is the number of routers of all regions and states.
	count   int
	live    []ident.Router
	known   []ident.Router
	suspect []ident.Router
	// firstPermits contains, for each router that holds permits of this router's homes, the first
	// permit that may still be held.
	firstPermits map[ident.Router]uint64
}

// memberState is a router's incarnation and state.
type memberState struct {
	incarnation ident.Incarnation
	state       peer.State
}

// recordMemberState logs a change of a router's state, and reports to the edge that a home is live
// again or has restarted.
func (m *Mesh) recordMemberState(r peer.Member) {
	before := m.memberStates[r.ID]
	now := memberState{incarnation: r.Incarnation, state: r.State}
	m.memberStates[r.ID] = now
	if now == before {
		return
	}
	m.logState(r, before)
	if r.State == peer.Live {
		m.Router.ResetHome(r.ID)
	}
}

// routers groups the routers of the view by state. The holders are the routers that hold permits of
// this router's homes.
func (m *Mesh) routers(v *peer.View, holders []ident.Router) routers {
	out := routers{live: v.Routers(m.Self.Region), firstPermits: make(map[ident.Router]uint64, len(holders))}
	m.updateCapacities(v)
	for r := range v.All() {
		out.count++
		m.recordMemberState(r)
		if r.Region == m.Self.Region && r.State != peer.Leaving {
			out.known = append(out.known, r.ID)
		}
		if r.State == peer.Suspect {
			out.suspect = append(out.suspect, r.ID)
		}
	}
	for _, id := range holders {
		r, known := v.Member(id)
		switch {
		case !known || id == m.Self.ID:
		case r.State == peer.Dead:
			out.firstPermits[id] = ^uint64(0)
		default:
			out.firstPermits[id] = FirstPermit(r.Incarnation)
		}
	}
	return out
}

// updateCapacities stores the CPU cores that the routers report. Existing assignments keep using the
// capacities that they were made with.
func (m *Mesh) updateCapacities(v *peer.View) {
	unchanged, count := 0, 0
	for r := range v.All() {
		count++
		if cores, exists := m.capacities[r.ID]; exists && cores == r.Cores {
			unchanged++
		}
	}
	if unchanged == count && unchanged == len(m.capacities) {
		return
	}
	m.capacities = make(place.Capacities, count)
	for r := range v.All() {
		m.capacities[r.ID] = r.Cores
	}
}
