package peer

import (
	"time"

	"valescale/internal/plat/ident"
)

// Pressure states whether a router keeps callers waiting.
type Pressure uint8

const (
	// PressureUnknown is the pressure of routers that do not report theirs.
	PressureUnknown Pressure = iota
	// PressureLow means that callers are read without a delay.
	PressureLow
	// PressureHigh means that callers wait, or did until a moment ago.
	PressureHigh
)

// pressureTTL is the time for which the reported pressure of a router counts. A router exchanges digests with most
// of its availability zone in that time. Routers that end report nothing, and callers must not be sent to them for
// long.
const pressureTTL = 2 * time.Second

// recordPressure records the pressure that a router reports.
func (v *View) recordPressure(now time.Time, id ident.Router, p Pressure) {
	if e, known := v.members[id]; known {
		e.pressure, e.pressureAt = p, now
	}
}

// OthersHaveRoom reports whether most other live routers to which callers of this one can turn reported low
// pressure: those of its availability zone, or of its region if none of the zone has reported.
func (v *View) OthersHaveRoom(now time.Time) bool {
	self := v.members[v.self]
	var zone, region pressureCount
	for id, e := range v.members {
		if id == v.self || e.State != Live || e.Region != self.Region || e.pressure == PressureUnknown || now.Sub(e.pressureAt) > pressureTTL {
			continue
		}
		region.add(e.pressure)
		if e.Zone == self.Zone {
			zone.add(e.pressure)
		}
	}
	if zone.low+zone.high > 0 {
		return zone.low > zone.high
	}
	return region.low > region.high
}

// pressureCount counts routers by their pressure.
type pressureCount struct{ low, high int }

// add counts a router.
func (c *pressureCount) add(p Pressure) {
	if p == PressureHigh {
		c.high++
	} else {
		c.low++
	}
}

// roomCheckInterval is the interval at which the pressure of all routers is looked at. An overloaded router needs
// the result for each new connection.
const roomCheckInterval = 100 * time.Millisecond

// roomCheck is the latest result of View.OthersHaveRoom.
type roomCheck struct {
	at             time.Time
	othersHaveRoom bool
}

// OthersHaveRoom reports whether most other routers to which callers of this one can turn reported low
// pressure, as of roomCheckInterval ago at most.
func (n *Node) OthersHaveRoom() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := n.clock(); now.Sub(n.room.at) >= roomCheckInterval {
		n.room = roomCheck{at: now, othersHaveRoom: n.view.OthersHaveRoom(now)}
	}
	return n.room.othersHaveRoom
}

// SetPressure sets the function that returns the pressure of this router. It must be called before Run.
func (n *Node) SetPressure(pressure func() Pressure) { n.pressure = pressure }
