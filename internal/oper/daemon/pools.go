package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/go-kit/log/level"

	"valescale/internal/oper/mesh"
	"valescale/internal/plat/engine"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peer"
)

// wanted is what the configuration in force wants of the mesh. Callers are served by
// it once its pools are there, so that a service is never in force without them.
func (d *Daemon) wanted() mesh.Wanted {
	force := d.keeper.InForce()
	return mesh.Wanted{
		Revision: force.Revision, Services: slices.Collect(maps.Values(force.Set.Services)), Reports: d.reports.version(),
		Install: func() {
			d.force.Store(&force)
			d.acknowledge(force.Revision)
		},
	}
}

// capacity is what an engine's report and its service's document say of it.
func (d *Daemon) capacity(service policy.Service, t peer.Target) mesh.Capacity {
	report := d.reports.of(t.ID)
	closed := report.silent() || slices.Contains(service.ClosedZones, t.Zone)
	return mesh.Capacity{Slots: report.Slots, Closed: closed}
}

// acknowledge says that callers are served by a revision from now on.
func (d *Daemon) acknowledge(revision ident.Revision) {
	fresh := false
	d.node.Do(func(v *peer.View) {
		fresh = v.RevisionOf(d.self.ID) < revision
		v.SetRevision(revision)
	})
	if fresh {
		_ = level.Info(d.logger).Log("msg", "configuration in force", "revision", revision)
		go d.node.Tell(context.Background())
	}
}

// silentAfter is how many reports in a row an engine may miss before it gets no new work.
const silentAfter = 3

// report is what is known of one engine.
type report struct {
	engine.Report
	missed int
	// exported is the incarnation whose chats have been copied elsewhere.
	exported ident.Incarnation
}

func (r report) silent() bool { return r.missed >= silentAfter }

// reports keeps the latest report of each engine that this router is home of.
type reports struct {
	mu   sync.Mutex
	byID map[ident.Target]report
	// turns counts the reports that change what the engine may get.
	turns uint64
}

func newReports() *reports { return &reports{byID: map[ident.Target]report{}} }

func (r *reports) of(id ident.Target) report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// version grows with each report that changes what an engine may get.
func (r *reports) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turns
}

// turn counts a change, if it is one.
func (r *reports) turn(turned bool) bool {
	if turned {
		r.turns++
	}
	return turned
}

// missed notes that an engine did not report; turned is set when that silences it.
func (r *reports) missed(id ident.Target) (turned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byID[id]
	known.missed++
	r.byID[id] = known
	return r.turn(known.missed == silentAfter)
}

// watched forgets the missed reports of all engines but those that this router reads now. Whoever is home of
// the others knows better: a silence that nobody looks at would never end here.
func (r *reports) watched(now map[ident.Target]bool) (turned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, known := range r.byID {
		if now[id] || known.missed == 0 {
			continue
		}
		turned = r.turn(known.silent()) || turned
		known.missed = 0
		r.byID[id] = known
	}
	return turned
}

// export reports whether an engine's present incarnation is still to be
// exported, and notes that it is being done.
func (r *reports) export(id ident.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byID[id]
	if known.exported == known.Incarnation {
		return false
	}
	known.exported = known.Incarnation
	r.byID[id] = known
	return true
}

// got notes a report; turned is set when the engine had been silent or its slots changed.
func (r *reports) got(id ident.Target, fresh engine.Report) (turned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byID[id]
	r.byID[id] = report{Report: fresh, exported: known.exported}
	return r.turn(known.silent() || known.Slots != fresh.Slots)
}
