package daemon

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/engine"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/config"
	"valescale/internal/share/peer"
)

// poolSet is what the view and the configuration give together. Callers are served
// by the configuration in it, so that a service is never in force without its pools.
type poolSet struct {
	force config.InForce
	pools []route.Pool
	// live assigns homes among the live routers of the region, known among all that
	// are remembered and do not leave.
	live  *place.Assignment
	known *place.Assignment
}

// shardsOf lists the shards of a region's pools.
func shardsOf(pools []route.Pool, region ident.Region) []place.ShardID {
	var out []place.ShardID
	for _, p := range pools {
		if p.Region != region || p.Service.Balance != policy.Exact {
			continue
		}
		for s := range p.Service.Shards {
			out = append(out, place.ShardID{Pool: p.Name, Shard: ident.Shard(s)})
		}
	}
	return out
}

// makePools joins the services of the configuration with the targets of the view.
func makePools(force config.InForce, v *peer.View, seen *reports) []route.Pool {
	var out []route.Pool
	for name, service := range force.Set.Services {
		for _, region := range v.Regions(name) {
			out = append(out, makePool(service, region, v.Targets(name, region), seen))
		}
	}
	return out
}

func makePool(service policy.Service, region ident.Region, targets []peer.Target, seen *reports) route.Pool {
	p := route.Pool{
		Name: ident.NewPool(service.Name, region), Region: region, Service: service,
		Targets: map[ident.TargetHash]route.Target{},
	}
	for _, t := range targets {
		hash := t.ID.Hash()
		report := seen.of(t.ID)
		slots := service.Slots
		if slots == 0 {
			slots = report.Slots
		}
		p.Engines = append(p.Engines, place.Engine{
			ID: t.ID, Hash: hash, Zone: t.Zone, Incarnation: t.Incarnation, Joined: t.Joined,
			Slots: ident.Work(slots) * ident.OneRequest, Leaving: t.Leaving || report.silent(),
		})
		p.Targets[hash] = route.Target{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Incarnation: t.Incarnation}
	}
	return p
}

// inputs are what pools and homes are made from, by the counts of their changes.
type inputs struct {
	view     uint64
	revision ident.Revision
	reports  uint64
}

// inputs returns the present counts.
func (d *Daemon) inputs() inputs {
	in := inputs{revision: d.keeper.InForce().Revision, reports: d.reports.version()}
	d.node.Read(func(v *peer.View) { in.view = v.Version() })
	return in
}

// refresh brings pools, homes and permits up to date with the view and the configuration.
func (d *Daemon) refresh(ctx context.Context) {
	d.refreshing.Lock()
	defer d.refreshing.Unlock()
	seen := d.inputs()
	if seen == d.refreshed {
		// Only a handoff that failed is left to be tried again.
		d.handOff(ctx, d.pools.Load().live)
		return
	}
	d.refreshed = seen
	force := d.keeper.InForce()
	next := &poolSet{force: force}
	gone := map[ident.Router]uint64{}
	var live, known, doubted []ident.Router
	d.node.Read(func(v *peer.View) {
		next.pools = makePools(force, v, d.reports)
		live = v.Routers(d.self.Region)
		for _, m := range v.Members() {
			if m.Region == d.self.Region && m.State != peer.Leaving {
				known = append(known, m.ID)
			}
			if m.State == peer.Suspect {
				doubted = append(doubted, m.ID)
			}
			if m.State == peer.Dead {
				gone[m.ID] = ^uint64(0)
				continue
			}
			gone[m.ID] = firstPermit(m.Incarnation)
		}
	})
	shards := shardsOf(next.pools, d.self.Region)
	next.live, next.known = place.Assign(shards, live), place.Assign(shards, known)
	for _, p := range next.pools {
		if p.Region == d.self.Region {
			d.homes.SetPool(p.Name, p.Service.Shards, place.BoundOf(p.Service.Bound), p.Engines)
		}
	}
	moved := d.router.Set(next.pools, next.live)
	d.pools.Store(next)
	d.acknowledge(force.Revision)
	d.router.Move(ctx, moved)
	d.homes.Doubt(doubted)
	for id, below := range gone {
		if id != d.self.ID {
			d.homes.Forget(id, below)
		}
	}
	d.handOff(ctx, next.live)
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

// handOff passes on the shards that another router is home of now.
func (d *Daemon) handOff(ctx context.Context, live *place.Assignment) {
	transfers := d.homes.Misplaced(live.Home)
	for _, p := range transfers {
		if err := d.remote.Handoff(ctx, p); err != nil {
			_ = level.Warn(d.logger).Log("msg", "handoff failed", "pool", p.ID.Pool, "shard", p.ID.Shard, "to", p.To, "err", err)
			continue
		}
		d.homes.Moved(p.ID)
	}
}

// publish tells the routers next in line what this router's homes count. Routers
// that are thought dead are told too: if they are not, they may well believe to be
// home themselves.
func (d *Daemon) publish(ctx context.Context) {
	set := d.pools.Load()
	for _, p := range d.homes.Publications(set.live, set.known) {
		for _, to := range p.To {
			d.remote.Publish(to, p.Digest)
		}
		if p.Whole != nil {
			// If it does not arrive, the standby learns the places as chats return.
			_ = d.remote.Handoff(ctx, *p.Whole)
		}
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
