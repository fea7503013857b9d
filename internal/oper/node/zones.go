package node

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// zones contains the availability zones that operators have closed. Their targets finish running
// requests and receive no new work.
type zones struct {
	logger log.Logger
	clock  ident.Clock

	mu     sync.Mutex
	closed []ident.Zone
	// reopened contains the time at which each closed zone was reopened.
	reopened map[ident.Zone]time.Time
}

// newZones returns zones of which none is closed.
func newZones(logger log.Logger, clock ident.Clock) *zones {
	return &zones{logger: logger, clock: clock, reopened: map[ident.Zone]time.Time{}}
}

// set closes the given zones, reopens all others and reports whether anything changed.
func (z *zones) set(closed []ident.Zone, at table.Position) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	changed := false
	for _, zone := range closed {
		if !slices.Contains(z.closed, zone) {
			_ = level.Info(z.logger).Log("msg", "availability zone closed to new work", "zone", zone, "era", at.Era, "version", at.Version)
			changed = true
		}
	}
	for _, zone := range z.closed {
		if !slices.Contains(closed, zone) {
			_ = level.Info(z.logger).Log("msg", "availability zone reopened", "zone", zone, "era", at.Era, "version", at.Version)
			z.reopened[zone] = z.clock()
			changed = true
		}
	}
	z.closed = closed
	return changed
}

// stateOf reports whether a zone is closed, and when it was last reopened.
func (z *zones) stateOf(zone ident.Zone) (closed bool, reopened time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Contains(z.closed, zone), z.reopened[zone]
}
