package mesh

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peer"
)

// nextPools returns the pools as configuration and membership want them now, and whether they differ from the
// present ones. Most news is of a few targets: only their places in the pools are looked at then.
func (m *Mesh) nextPools(services []policy.Service, latest poolInputs, v *peer.View) (pools []route.Pool, changed bool) {
	if latest == m.refreshed.poolInputs {
		return m.Set().Pools, false
	}
	ids, known := v.TargetsSince(m.refreshed.targets)
	if !known || latest.revision != m.refreshed.revision || latest.reports != m.refreshed.reports {
		return m.pools(services, v), true
	}
	slices.Sort(ids)
	pools, fit := m.changedPools(services, slices.Compact(ids), v)
	if !fit {
		return m.pools(services, v), true
	}
	return pools, true
}

// changedPools returns the present pools with some targets as the view has them now; fit is false if the pools
// do not fit the services any more.
func (m *Mesh) changedPools(services []policy.Service, ids []ident.Target, v *peer.View) (pools []route.Pool, fit bool) {
	pools = slices.Clone(m.Set().Pools)
	placed := 0
	for i := range pools {
		p := &pools[i]
		at := slices.IndexFunc(services, func(s policy.Service) bool { return s.Name == p.Service.Name })
		if at < 0 || services[at].Shards != p.Service.Shards {
			return nil, false
		}
		var changed []place.Engine
		var gone []ident.TargetHash
		for _, id := range ids {
			t, there := v.Target(id)
			switch {
			case there && t.Service == p.Service.Name && t.Region == p.Region:
				changed = append(changed, m.engine(p.Service, t))
				placed++
			case holds(p, id):
				gone = append(gone, id.Hash())
			}
		}
		if len(changed)+len(gone) > 0 {
			p.Roster = p.Roster.With(changed, gone)
		}
	}
	if placed < m.wantedOf(services, ids, v) {
		return nil, false
	}
	return slices.DeleteFunc(pools, func(p route.Pool) bool { return p.Roster.Len() == 0 }), true
}

// holds reports whether a target is in a pool.
func holds(p *route.Pool, id ident.Target) bool {
	e, known := p.Roster.Engine(id.Hash())
	return known && e.ID == id
}

// wantedOf counts the targets that belong to a service, and logs those that leave.
func (m *Mesh) wantedOf(services []policy.Service, ids []ident.Target, v *peer.View) int {
	wanted := 0
	for _, id := range ids {
		t, there := v.Target(id)
		if !there || !slices.ContainsFunc(services, func(s policy.Service) bool { return s.Name == t.Service }) {
			delete(m.leaving, id)
			continue
		}
		wanted++
		if !t.Leaving {
			delete(m.leaving, id)
			continue
		}
		m.noteLeaving(t, m.leaving)
	}
	return wanted
}

// noteLeaving adds a target to those that leave, and logs if it is newly known to, whoever told it.
func (m *Mesh) noteLeaving(t peer.Target, leaving map[ident.Target]ident.Incarnation) {
	if m.leaving[t.ID] != t.Incarnation {
		_ = level.Info(m.Logger).Log("msg", "target gets no new work", "target", t.ID, "incarnation", t.Incarnation)
	}
	leaving[t.ID] = t.Incarnation
}

// pools joins the services of the configuration with the targets of the view.
func (m *Mesh) pools(services []policy.Service, v *peer.View) []route.Pool {
	var out []route.Pool
	leaving := map[ident.Target]ident.Incarnation{}
	for _, service := range services {
		for _, region := range v.Regions(service.Name) {
			targets := v.Targets(service.Name, region)
			for _, t := range targets {
				if t.Leaving {
					m.noteLeaving(t, leaving)
				}
			}
			out = append(out, m.pool(service, region, targets))
		}
	}
	m.leaving = leaving
	return out
}

// pool joins a service with its targets of one region.
func (m *Mesh) pool(service policy.Service, region ident.Region, targets []peer.Target) route.Pool {
	engines := make([]place.Engine, 0, len(targets))
	for _, t := range targets {
		engines = append(engines, m.engine(service, t))
	}
	return route.Pool{
		Name: ident.NewPool(service.Name, region), Region: region, Service: service, Bound: m.Bound(service),
		Roster: place.NewRoster(service.Shards, engines),
	}
}

// engine is a target as its pool has it.
func (m *Mesh) engine(service policy.Service, t peer.Target) place.Engine {
	capacity := m.Capacity(service, t)
	slots := service.Slots
	if slots == 0 {
		slots = capacity.Slots
	}
	return place.Engine{
		ID: t.ID, Hash: t.ID.Hash(), Addr: t.Addr, Zone: t.Zone, Incarnation: t.Incarnation, Joined: later(t.Joined, capacity.Reopened),
		Slots: ident.Work(slots) * ident.OneRequest, Leaving: t.Leaving || capacity.Closed, Cold: capacity.Cold,
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shards lists the shards of the region's pools that have homes.
func (m *Mesh) shards(pools []route.Pool) []place.ShardID {
	var out []place.ShardID
	for _, p := range pools {
		if p.Region != m.Self.Region || p.Service.Balance != policy.Exact {
			continue
		}
		for s := range p.Service.Shards {
			out = append(out, place.ShardID{Pool: p.Name, Shard: ident.Shard(s)})
		}
	}
	return out
}
