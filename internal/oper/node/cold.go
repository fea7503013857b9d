package node

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peer"
)

// coldTarget is a target that said how much longer it is cold.
type coldTarget struct {
	incarnation ident.Incarnation
	reported    time.Duration
	until       time.Time
}

// noteCold keeps until when a target is cold. A row goes on saying what it said first, so that
// time counts from when that is new; the caller holds the lock.
func (s *state) updateCold(id ident.Target, r targetRow) {
	if !r.valid() || r.target.ColdLeft <= 0 {
		delete(s.cold, id)
		return
	}
	cold, known := s.cold[id]
	if known && cold.reported == r.target.ColdLeft && cold.incarnation == r.target.Incarnation {
		return
	}
	s.cold[id] = coldTarget{incarnation: r.target.Incarnation, reported: r.target.ColdLeft, until: s.clock().Add(r.target.ColdLeft)}
}

// coldOf is what a target bears while it is cold, as itself says or because its availability zone
// was opened again a moment ago; the caller holds the lock.
func (s *state) coldOf(t peer.Target, reopened time.Time) place.Cold {
	for _, service := range s.services {
		if service.Name != t.Service || service.ColdRate <= 0 {
			continue
		}
		until := s.cold[t.ID].until
		if reopenedUntil := reopened.Add(service.ColdFor); !reopened.IsZero() && reopenedUntil.After(until) {
			until = reopenedUntil
		}
		return place.Cold{Until: until, Rate: service.ColdRate}
	}
	return place.Cold{}
}
