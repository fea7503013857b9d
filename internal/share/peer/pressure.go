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

// OthersHaveRoom reports whether most other live routers of this one's availability zone reported low pressure.
// Callers turn to routers of one zone, so that a router without others in its zone has to tell them when to
// return.
func (v *View) OthersHaveRoom(now time.Time) bool {
	self := v.members[v.self]
	low, high := 0, 0
	for id, e := range v.members {
		if id == v.self || e.State != Live || e.Zone != self.Zone || now.Sub(e.pressureAt) > pressureTTL {
			continue
		}
		switch e.pressure {
		case PressureLow:
			low++
		case PressureHigh:
			high++
		}
	}
	return low > high
}

// roomCheckInterval is the interval at which the pressure of all routers is looked at. An overloaded router needs
// the result for each new connection.
const roomCheckInterval = 100 * time.Millisecond

// roomCheck is the latest result of View.OthersHaveRoom.
type roomCheck struct {
	at             time.Time
	othersHaveRoom bool
}

// OthersHaveRoom reports whether most other routers of this one's availability zone reported low pressure, as of roomCheckInterval ago at most.
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
