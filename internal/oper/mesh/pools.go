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

// nextPools returns the pools for the current configuration and membership, and whether they differ
// from the present ones. Most changes affect a few targets; only their entries are updated then.
func (m *Mesh) nextPools(services []policy.Service, latest poolVersions, v *peer.View) (pools []route.Pool, changed bool) {
	if latest == m.applied.poolVersions {
		return m.Set().Pools, false
	}
	ids, complete := v.TargetsSince(m.applied.targets)
	if !complete || latest.revision != m.applied.revision || latest.reports != m.applied.reports {
		return m.pools(services, v), true
	}
	slices.Sort(ids)
	pools, compatible := m.updatePools(services, slices.Compact(ids), v)
	if !compatible {
		return m.pools(services, v), true
	}
	return pools, true
}

// updatePools returns the present pools with some targets updated from the view; compatible is false
// if the pools no longer match the services.
func (m *Mesh) updatePools(services []policy.Service, ids []ident.Target, v *peer.View) (pools []route.Pool, compatible bool) {
	pools = slices.Clone(m.Set().Pools)
	placed := 0
	for i := range pools {
		p := &pools[i]
		at := slices.IndexFunc(services, func(s policy.Service) bool { return s.Name == p.Service.Name })
		if at < 0 || services[at].Shards != p.Service.Shards {
			return nil, false
		}
		var changed []place.Engine
		var removed []ident.TargetHash
		for _, id := range ids {
			t, exists := v.Target(id)
			switch {
			case exists && t.Service == p.Service.Name && t.Region == p.Region:
				changed = append(changed, m.engine(p.Service, t))
				placed++
			case contains(p, id):
				removed = append(removed, id.Hash())
			}
		}
		if len(changed)+len(removed) > 0 {
			p.Roster = p.Roster.With(changed, removed)
		}
	}
	if placed < m.countConfigured(services, ids, v) {
		return nil, false
	}
	return slices.DeleteFunc(pools, func(p route.Pool) bool { return p.Roster.Len() == 0 }), true
}

// contains reports whether a target is in a pool.
func contains(p *route.Pool, id ident.Target) bool {
	e, exists := p.Roster.Engine(id.Hash())
	return exists && e.ID == id
}

// countConfigured counts the targets that are part of a configured service, and logs those that are
// leaving.
func (m *Mesh) countConfigured(services []policy.Service, ids []ident.Target, v *peer.View) int {
	configured := 0
	for _, id := range ids {
		t, exists := v.Target(id)
		if !exists || !slices.ContainsFunc(services, func(s policy.Service) bool { return s.Name == t.Service }) {
			delete(m.leaving, id)
			continue
		}
		configured++
		if !t.Leaving {
			delete(m.leaving, id)
			continue
		}
		m.recordLeaving(t, m.leaving)
	}
	return configured
}

// recordLeaving adds a target to the leaving targets, and logs it once, whatever the source of the
// report.
func (m *Mesh) recordLeaving(t peer.Target, leaving map[ident.Target]ident.Incarnation) {
	if m.leaving[t.ID] != t.Incarnation {
		_ = level.Info(m.Logger).Log("msg", "target receives no new requests", "target", t.ID, "incarnation", t.Incarnation)
	}
	leaving[t.ID] = t.Incarnation
}

// pools builds the pools of the configured services from the targets of the view.
func (m *Mesh) pools(services []policy.Service, v *peer.View) []route.Pool {
	var out []route.Pool
	leaving := map[ident.Target]ident.Incarnation{}
	for _, service := range services {
		for _, region := range v.Regions(service.Name) {
			targets := v.Targets(service.Name, region)
			for _, t := range targets {
				if t.Leaving {
					m.recordLeaving(t, leaving)
				}
			}
			out = append(out, m.pool(service, region, targets))
		}
	}
	m.leaving = leaving
	return out
}

// pool builds the pool of a service in one region.
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

// engine returns a target as an engine of its pool.
func (m *Mesh) engine(service policy.Service, t peer.Target) place.Engine {
	capacity := m.Capacity(service, t)
	slots := service.Slots
	if slots == 0 {
		slots = capacity.Slots
	}
	return place.Engine{
		ID: t.ID, Hash: t.ID.Hash(), Addr: t.Addr, Zone: t.Zone, Incarnation: t.Incarnation, Joined: later(t.Joined, capacity.Reopened),
		Slots: ident.Work(slots) * ident.OneRequest, Leaving: t.Leaving || capacity.Closed, Cold: capacity.Cold,
		Version: capacity.Version,
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shards returns the shards of the region's pools that have homes.
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
