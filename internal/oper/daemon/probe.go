package daemon

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/engine"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
)

// maxConcurrentReports limits the reports read at the same time.
const maxConcurrentReports = 8

// readReports reads the reports of the engines of whose shards this router is the home.
func (d *Daemon) readReports(ctx context.Context) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentReports)
	set, inForce := d.mesh.Set(), d.InForce()
	read := map[ident.Target]bool{}
	for _, p := range set.Pools {
		if p.Region != d.self.Region || p.Service.Kind != policy.EngineTargets {
			continue
		}
		for _, e := range p.Roster.Engines() {
			id := place.ShardID{Pool: p.Name, Shard: place.ShardOf(e.Hash, p.Service.Shards)}
			if set.Live.Home(id) != d.self.ID {
				continue
			}
			read[e.ID] = true
			semaphore <- struct{}{}
			wg.Go(func() {
				defer func() { <-semaphore }()
				d.readReport(ctx, id, route.TargetOf(e), inForce.Revision, p.Service)
			})
		}
	}
	wg.Wait()
	if d.engineReports.resetUnread(read) {
		d.mesh.RequestUpdate()
	}
}

// readReport reads the report of one engine and acts on its content.
func (d *Daemon) readReport(ctx context.Context, id place.ShardID, t route.Target, revision ident.Revision, service policy.Service) {
	latest := d.engineReports.get(t.ID)
	since := latest.Seq
	if latest.Incarnation != t.Incarnation {
		since = 0
	}
	fresh, err := d.engines.Report(ctx, t.Addr, since)
	if err != nil {
		if ctx.Err() == nil && d.engineReports.missed(t.ID) {
			_ = level.Warn(d.logger).Log("msg", "engine did not answer report requests; it gets no new work", "target", t.ID, "err", err)
			d.mesh.RequestUpdate()
		}
		return
	}
	if d.engineReports.record(t.ID, fresh) {
		d.mesh.RequestUpdate()
	}
	d.homes.RecordEvictions(id, t.ID.Hash(), fresh.Evicted)
	if fresh.Leaving {
		d.MarkLeaving(t.ID, fresh.Incarnation)
		d.startExport(ctx, id, t, revision, service)
	}
	d.sendModelOrder(ctx, t, revision, service, fresh)
}

// sendModelOrder orders an engine to load the model of its service. The order contains the
// desired state and the configuration revision that requires it. Revisions only grow, so an
// engine that checks them rejects an older order. For an engine that does not, the home of its
// shard repeats the order until the report matches, so that an order from a router with an
// older configuration has no lasting effect.
func (d *Daemon) sendModelOrder(ctx context.Context, t route.Target, revision ident.Revision, service policy.Service, fresh engine.Report) {
	if service.Model == "" || fresh.Model == service.Model || fresh.Leaving {
		return
	}
	epoch := ident.Epoch(revision)
	err := d.engines.Send(ctx, t.Addr, engine.Order{Kind: engine.LoadModel, Epoch: epoch, Model: service.Model})
	if fault.KindOf[engine.Kind](err) == engine.Stale {
		_ = level.Warn(d.logger).Log("msg", "engine rejected model order: it has received a later revision", "target", t.ID, "revision", revision)
		return
	}
	_ = level.Info(d.logger).Log("msg", "ordered model", "target", t.ID, "model", service.Model, "revision", revision, "err", err)
}

// startExport orders a leaving engine to copy the cached prefixes of its chats to the other
// engines of its shard, once per incarnation. A repeated copy is harmless.
func (d *Daemon) startExport(ctx context.Context, id place.ShardID, t route.Target, revision ident.Revision, service policy.Service) {
	if !service.Export || !d.engineReports.startExport(t.ID) {
		return
	}
	for _, e := range d.homes.PlanExport(id, t.ID.Hash()) {
		to, ok := d.mesh.TargetAt(id.Pool, e.To)
		if !ok {
			continue
		}
		order := engine.Order{Kind: engine.ExportCache, Epoch: ident.Epoch(revision), Keys: e.Keys, To: to.Addr}
		if err := d.engines.Send(ctx, t.Addr, order); err != nil {
			_ = level.Warn(d.logger).Log("msg", "cache export order failed", "target", t.ID, "to", to.ID, "err", err)
			continue
		}
		d.homes.RecordExport(id, e)
		_ = level.Info(d.logger).Log("msg", "cache export order sent", "target", t.ID, "to", to.ID, "chats", len(e.Keys))
	}
}
