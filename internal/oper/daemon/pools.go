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

// meshConfig returns the input of the mesh from the installed configuration. Callers are
// served under that configuration only after its pools have been built, so that a service is
// never in force without its pools.
func (d *Daemon) meshConfig() mesh.Desired {
	inForce := d.keeper.InForce()
	return mesh.Desired{
		Revision: inForce.Revision, Services: slices.Collect(maps.Values(inForce.Set.Services)), CapacityVersion: d.engineReports.version(),
		Install: func() {
			d.inForce.Store(&inForce)
			d.acknowledgeRevision(inForce.Revision)
		},
	}
}

// capacity returns the capacity of a target from its latest report and the document of its
// service.
func (d *Daemon) capacity(service policy.Service, t peer.Target) mesh.Capacity {
	report := d.engineReports.get(t.ID)
	closed := report.unresponsive() || slices.Contains(service.ClosedZones, t.Zone)
	return mesh.Capacity{Slots: report.Slots, Closed: closed}
}

// acknowledgeRevision publishes that callers are served under a revision from now on.
func (d *Daemon) acknowledgeRevision(revision ident.Revision) {
	advanced := false
	d.node.UpdateView(func(v *peer.View) {
		advanced = v.RevisionOf(d.self.ID) < revision
		v.SetRevision(revision)
	})
	if advanced {
		_ = level.Info(d.logger).Log("msg", "configuration in force", "revision", revision)
		go d.node.GossipNow(context.Background())
	}
}

// maxMissedReports is the number of consecutive missed reports after which an engine gets no
// new work.
const maxMissedReports = 3

// engineReport is the latest report of one engine.
type engineReport struct {
	engine.Report
	missed int
	// exported is the incarnation whose chats have been exported to other engines.
	exported ident.Incarnation
}

func (r engineReport) unresponsive() bool { return r.missed >= maxMissedReports }

// engineReports holds the latest report of each engine whose home this router is.
type engineReports struct {
	mu   sync.Mutex
	byID map[ident.Target]engineReport
	// changes counts the reports that changed the work an engine may get.
	changes uint64
}

func newEngineReports() *engineReports { return &engineReports{byID: map[ident.Target]engineReport{}} }

func (r *engineReports) get(id ident.Target) engineReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// version returns a number that grows with each change of the work an engine may get.
func (r *engineReports) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// countChange increments the version if changed is set, and returns changed.
func (r *engineReports) countChange(changed bool) bool {
	if changed {
		r.changes++
	}
	return changed
}

// missed records that an engine did not report; changed is set if the engine becomes
// unresponsive thereby.
func (r *engineReports) missed(id ident.Target) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.byID[id]
	latest.missed++
	r.byID[id] = latest
	return r.countChange(latest.missed == maxMissedReports)
}

// resetUnread resets the missed reports of all engines except those that this router reads now.
// The home of the other engines has newer reports, and without a reset they would stay
// unresponsive on this router, which no longer reads their reports.
func (r *engineReports) resetUnread(read map[ident.Target]bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, latest := range r.byID {
		if read[id] || latest.missed == 0 {
			continue
		}
		changed = r.countChange(latest.unresponsive()) || changed
		latest.missed = 0
		r.byID[id] = latest
	}
	return changed
}

// startExport reports whether the chats of an engine's current incarnation are still to be
// exported, and marks them as exported.
func (r *engineReports) startExport(id ident.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.byID[id]
	if latest.exported == latest.Incarnation {
		return false
	}
	latest.exported = latest.Incarnation
	r.byID[id] = latest
	return true
}

// record stores a report; changed is set if the engine was unresponsive or its slots changed.
func (r *engineReports) record(id ident.Target, fresh engine.Report) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.byID[id]
	r.byID[id] = engineReport{Report: fresh, exported: latest.exported}
	return r.countChange(latest.unresponsive() || latest.Slots != fresh.Slots)
}
