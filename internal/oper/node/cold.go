package node

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peer"
)

// coldTarget is a target that reported how much longer it is cold.
type coldTarget struct {
	incarnation ident.Incarnation
	reported    time.Duration
	until       time.Time
}

// updateCold updates the time until which a target is cold. A row keeps its first reported value,
// so the time counts from when the value is new. The caller holds the lock.
func (s *state) updateCold(id ident.Target, r targetRow) {
	if !r.valid() || r.target.RemainingColdTime <= 0 {
		delete(s.cold, id)
		return
	}
	cold, known := s.cold[id]
	if known && cold.reported == r.target.RemainingColdTime && cold.incarnation == r.target.Incarnation {
		return
	}
	s.cold[id] = coldTarget{incarnation: r.target.Incarnation, reported: r.target.RemainingColdTime, until: s.clock().Add(r.target.RemainingColdTime)}
}

// coldOf returns the limits of a target while it is cold, either as reported by the target or
// because its availability zone was reopened recently. The caller holds the lock.
func (s *state) coldOf(t peer.Target, reopened time.Time) place.Cold {
	for _, service := range s.services {
		if service.Name != t.Service || service.ColdRate <= 0 {
			continue
		}
		until := s.cold[t.ID].until
		if reopenedUntil := reopened.Add(service.ColdTime); !reopened.IsZero() && reopenedUntil.After(until) {
			until = reopenedUntil
		}
		return place.Cold{Until: until, Rate: service.ColdRate}
	}
	return place.Cold{}
}
