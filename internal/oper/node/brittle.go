package node

import (
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
)

// brittleTTL is how long the targets of a service count as brittle after one of them reported it. They
// do so in all their answers.
const brittleTTL = 2 * time.Second

// brittleServices contains the services whose targets fall over if they have to reject too many
// requests. They receive no more requests than they have slots.
type brittleServices struct {
	logger log.Logger
	clock  ident.Clock

	mu         sync.Mutex
	reportedAt map[ident.Service]time.Time
}

// newBrittleServices returns a record without services.
func newBrittleServices(logger log.Logger, clock ident.Clock) *brittleServices {
	return &brittleServices{logger: logger, clock: clock, reportedAt: map[ident.Service]time.Time{}}
}

// report records that a target of a service is brittle, and returns true if none was until now.
func (b *brittleServices) report(service ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.reportedAt[service]
	b.reportedAt[service] = b.clock()
	if !known {
		_ = level.Info(b.logger).Log("msg", "targets of a service are brittle", "service", service)
	}
	return !known
}

// sweep removes the services whose targets have not reported it for brittleTTL, and returns true if
// there were any.
func (b *brittleServices) sweep() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, before := b.clock(), len(b.reportedAt)
	maps.DeleteFunc(b.reportedAt, func(service ident.Service, at time.Time) bool {
		expired := now.Sub(at) > brittleTTL
		if expired {
			_ = level.Info(b.logger).Log("msg", "targets of a service are not brittle any more", "service", service)
		}
		return expired
	})
	return len(b.reportedAt) < before
}

// has reports whether the targets of a service are brittle.
func (b *brittleServices) has(service ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.reportedAt[service]
	return known
}

// ReportBrittle records that a target of a service reported that it is brittle.
func (n *Node) ReportBrittle(service ident.Service) {
	if n.state.brittle.report(service) {
		n.updateCapacities()
	}
}

// sweepBrittle ends the limit for services whose targets are not brittle any more.
func (n *Node) sweepBrittle() {
	if n.state.brittle.sweep() {
		n.updateCapacities()
	}
}

// updateCapacities applies a change of the targets' capacities.
func (n *Node) updateCapacities() {
	n.state.invalidatePools()
	n.mesh.RequestUpdate()
}
