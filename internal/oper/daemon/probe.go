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

// probeAtOnce bounds the reports read at the same time.
const probeAtOnce = 8

// probe reads the reports of the engines whose shards this router is home of.
func (d *Daemon) probe(ctx context.Context) {
	var wg sync.WaitGroup
	gate := make(chan struct{}, probeAtOnce)
	set, force := d.mesh.Set(), d.InForce()
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
			gate <- struct{}{}
			wg.Go(func() {
				defer func() { <-gate }()
				d.readReport(ctx, id, route.TargetOf(e), force.Revision, p.Service)
			})
		}
	}
	wg.Wait()
	if d.reports.watched(read) {
		d.mesh.MarkDirty()
	}
}

func (d *Daemon) readReport(ctx context.Context, id place.ShardID, t route.Target, wanted ident.Revision, service policy.Service) {
	known := d.reports.of(t.ID)
	since := known.Seq
	if known.Incarnation != t.Incarnation {
		since = 0
	}
	fresh, err := d.engines.Report(ctx, t.Addr, since)
	if err != nil {
		if ctx.Err() == nil && d.reports.missed(t.ID) {
			_ = level.Warn(d.logger).Log("msg", "engine does not report", "target", t.ID, "err", err)
			d.mesh.MarkDirty()
		}
		return
	}
	if d.reports.got(t.ID, fresh) {
		d.mesh.MarkDirty()
	}
	d.homes.Evicted(id, t.ID.Hash(), fresh.Evicted)
	if fresh.Leaving {
		d.MarkLeaving(t.ID, fresh.Incarnation)
		d.export(ctx, id, t, wanted, service)
	}
	d.order(ctx, t, wanted, service, fresh)
}

// order tells an engine which model it is to have loaded. The order states the
// wanted end and carries the revision that wants it, which only grows: an engine
// that checks refuses an older one. To one that does not check, the home of its
// shard sends the order again until the report matches, so that what a router with
// an old configuration may have sent does not last.
func (d *Daemon) order(ctx context.Context, t route.Target, wanted ident.Revision, service policy.Service, fresh engine.Report) {
	if service.Model == "" || fresh.Model == service.Model || fresh.Leaving {
		return
	}
	epoch := ident.Epoch(wanted)
	err := d.engines.Send(ctx, t.Addr, engine.Order{Kind: engine.LoadModel, Epoch: epoch, Model: service.Model})
	if fault.KindOf[engine.Kind](err) == engine.Stale {
		_ = level.Warn(d.logger).Log("msg", "engine knows a later revision", "target", t.ID, "revision", wanted)
		return
	}
	_ = level.Info(d.logger).Log("msg", "ordered model", "target", t.ID, "model", service.Model, "revision", wanted, "err", err)
}

// export has a leaving engine copy the cached prefixes of its chats to the other
// engines of its shard, once an incarnation. Copying twice does no harm.
func (d *Daemon) export(ctx context.Context, id place.ShardID, t route.Target, wanted ident.Revision, service policy.Service) {
	if !service.Export || !d.reports.export(t.ID) {
		return
	}
	for _, e := range d.homes.PlanExport(id, t.ID.Hash()) {
		to, ok := d.mesh.TargetAt(id.Pool, e.To)
		if !ok {
			continue
		}
		order := engine.Order{Kind: engine.ExportCache, Epoch: ident.Epoch(wanted), Keys: e.Keys, To: to.Addr}
		if err := d.engines.Send(ctx, t.Addr, order); err != nil {
			_ = level.Warn(d.logger).Log("msg", "export refused", "target", t.ID, "to", to.ID, "err", err)
			continue
		}
		d.homes.Exported(id, e)
		_ = level.Info(d.logger).Log("msg", "exported chats", "target", t.ID, "to", to.ID, "chats", len(e.Keys))
	}
}
