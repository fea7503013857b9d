package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
)

// Wanted is what the configuration wants, as one consistent state.
type Wanted struct {
	Revision ident.Revision
	Services []policy.Service
	// Reports grows with each change of what Capacity or Bound returns.
	Reports uint64
	// Install is called once the pools are in place; it may be nil.
	Install func()
}

// Capacity is what is known of one target's capacity.
type Capacity struct {
	// Slots is how many requests it runs at once; zero means no limit.
	Slots int
	// Closed targets get no new work.
	Closed bool
	// Reopened is when a target that was closed was opened again, zero if it never was: its
	// caches have cooled, and it takes its share of the load by and by like one that joins.
	Reopened time.Time
	// Cold is until when the target bears few requests, and how many.
	Cold place.Cold
}

// Parts are what a mesh works with.
type Parts struct {
	// Self is this router.
	Self   peer.Member
	Node   *peer.Node
	Homes  *home.Homes
	Remote *home.Remote
	Router *route.Router
	Logger log.Logger
	Clock  ident.Clock
	// Wanted returns what the configuration wants now.
	Wanted func() Wanted
	// Capacity returns what is known of a target beside its service's document.
	Capacity func(policy.Service, peer.Target) Capacity
	// Bound returns a service's bound.
	Bound func(policy.Service) place.Bound
}

// Set is what membership and configuration give together.
type Set struct {
	Pools []route.Pool
	// Live assigns homes among the live routers of the region, Known among all that
	// are remembered and do not leave.
	Live  *place.Assignment
	Known *place.Assignment
}

// Mesh keeps pools and homes up to date.
type Mesh struct {
	Parts
	set atomic.Pointer[Set]
	// dirty asks for pools and homes to be brought up to date.
	dirty chan struct{}
	// refreshing keeps an older look at membership and configuration from replacing a
	// later one; refreshed is the latest.
	refreshing sync.Mutex
	refreshed  inputs
	// moved are permits whose home has changed and that the new one is to be told of.
	moved []route.Move
	// known are the routers' states as seen last, leaving the incarnations in which targets leave.
	known   map[ident.Router]sighting
	leaving map[ident.Target]ident.Incarnation
	// settling keeps to one settlement at a time, unsettled asks for one.
	settling  sync.Mutex
	unsettled chan struct{}
}

// New returns a mesh without pools.
func New(parts Parts) *Mesh {
	m := &Mesh{Parts: parts, dirty: make(chan struct{}, 1), unsettled: make(chan struct{}, 1), known: map[ident.Router]sighting{},
		leaving: map[ident.Target]ident.Incarnation{}}
	m.set.Store(&Set{Live: place.Assign(nil, nil), Known: place.Assign(nil, nil)})
	if parts.Router != nil {
		parts.Router.Watch(watcher{m})
	}
	return m
}

// Set returns the present pools and homes; they are never changed, only replaced.
func (m *Mesh) Set() *Set { return m.set.Load() }

// MarkDirty asks for pools and homes to be brought up to date.
func (m *Mesh) MarkDirty() { signal(m.dirty) }

// permitBits leaves room for a million permits for each millisecond of a process's life:
// incarnations are milliseconds of the clock.
const permitBits = 20

// FirstPermit is above all permits that earlier incarnations of a router asked for.
func FirstPermit(incarnation ident.Incarnation) uint64 { return uint64(incarnation) << permitBits }

// poolInputs are what pools are made from, by the counts of their changes.
type poolInputs struct {
	targets  uint64
	revision ident.Revision
	reports  uint64
}

// inputs are what pools and homes are made from. Routers come and go far more often than targets, and
// change no pool: 120 routers that started before 3,000 targets took 244 ms of processor time each in their first
// six seconds while each news of a router made the pools anew, and 140 ms without.
type inputs struct {
	poolInputs
	view uint64
}

// routers are the routers of a region by what is thought of them.
type routers struct {
	live    []ident.Router
	known   []ident.Router
	doubted []ident.Router
	// below is the first permit of each router that may still be held.
	below map[ident.Router]uint64
	// capacities are what the routers say of their boxes.
	capacities place.Capacities
}

// Update brings pools and homes up to date without a call to another router.
func (m *Mesh) Update() {
	m.refreshing.Lock()
	defer m.refreshing.Unlock()
	wanted := m.Wanted()
	latest := inputs{poolInputs: poolInputs{revision: wanted.Revision, reports: wanted.Reports}}
	m.Node.Read(func(v *peer.View) { latest.view, latest.targets = v.Version(), v.TargetVersion() })
	if latest == m.refreshed {
		return
	}
	remake := latest.poolInputs != m.refreshed.poolInputs
	m.refreshed = latest
	next, seen := m.look(wanted.Services, remake)
	m.install(next, remake)
	if wanted.Install != nil {
		wanted.Install()
	}
	m.Homes.Doubt(seen.doubted)
	for id, below := range seen.below {
		m.Homes.Forget(id, below)
	}
}

// look makes pools, if they are to be remade, and homes of what membership knows now, and returns the routers
// as it sees them.
func (m *Mesh) look(services []policy.Service, remake bool) (*Set, routers) {
	next := &Set{Pools: m.Set().Pools}
	var seen routers
	m.Node.Read(func(v *peer.View) {
		if remake {
			next.Pools = m.pools(services, v)
		}
		seen = m.routers(v)
	})
	shards := m.shards(next.Pools)
	next.Live = place.AssignBy(shards, seen.live, seen.capacities)
	next.Known = place.AssignBy(shards, seen.known, seen.capacities)
	return next, seen
}

// install has this router's homes and edge work with new homes, and new pools if they were remade.
func (m *Mesh) install(next *Set, remade bool) {
	defer m.set.Store(next)
	if !remade {
		m.moved = append(m.moved, m.Router.Reassign(next.Live)...)
		return
	}
	for _, p := range next.Pools {
		if p.Region == m.Self.Region {
			m.Homes.SetPool(p.Name, p.Service.Shards, p.Bound, p.Engines)
		}
	}
	m.moved = append(m.moved, m.Router.Set(next.Pools, next.Live)...)
}

// sighting is a router's state as seen at one moment.
type sighting struct {
	incarnation ident.Incarnation
	state       peer.State
}

// noteState logs what is new of a router, and tells the edge of homes that are back or have
// started anew.
func (m *Mesh) noteState(r peer.Member) {
	before := m.known[r.ID]
	now := sighting{incarnation: r.Incarnation, state: r.State}
	m.known[r.ID] = now
	if now == before {
		return
	}
	m.logState(r, before)
	if r.State == peer.Live {
		m.Router.Returned(r.ID)
	}
}

// noteLeaving adds the targets that leave to some, and logs which are newly known to, whoever told it.
func (m *Mesh) noteLeaving(targets []peer.Target, leaving map[ident.Target]ident.Incarnation) {
	for _, t := range targets {
		if !t.Leaving {
			continue
		}
		leaving[t.ID] = t.Incarnation
		if m.leaving[t.ID] != t.Incarnation {
			_ = level.Info(m.Logger).Log("msg", "target gets no new work", "target", t.ID, "incarnation", t.Incarnation)
		}
	}
}

// routers sorts the routers of the view.
func (m *Mesh) routers(v *peer.View) routers {
	out := routers{live: v.Routers(m.Self.Region), below: map[ident.Router]uint64{}, capacities: place.Capacities{}}
	for _, r := range v.Members() {
		m.noteState(r)
		out.capacities[r.ID] = r.Cores
		if r.Region == m.Self.Region && r.State != peer.Leaving {
			out.known = append(out.known, r.ID)
		}
		if r.State == peer.Suspect {
			out.doubted = append(out.doubted, r.ID)
		}
		switch {
		case r.ID == m.Self.ID:
		case r.State == peer.Dead:
			out.below[r.ID] = ^uint64(0)
		default:
			out.below[r.ID] = FirstPermit(r.Incarnation)
		}
	}
	return out
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

// pools joins the services of the configuration with the targets of the view.
func (m *Mesh) pools(services []policy.Service, v *peer.View) []route.Pool {
	var out []route.Pool
	leaving := map[ident.Target]ident.Incarnation{}
	for _, service := range services {
		for _, region := range v.Regions(service.Name) {
			targets := v.Targets(service.Name, region)
			m.noteLeaving(targets, leaving)
			out = append(out, m.pool(service, region, targets))
		}
	}
	m.leaving = leaving
	return out
}

// pool joins a service with its targets of one region.
func (m *Mesh) pool(service policy.Service, region ident.Region, targets []peer.Target) route.Pool {
	p := route.Pool{
		Name: ident.NewPool(service.Name, region), Region: region, Service: service, Bound: m.Bound(service),
		Targets: map[ident.TargetHash]route.Target{},
	}
	for _, t := range targets {
		hash := t.ID.Hash()
		capacity := m.Capacity(service, t)
		slots := service.Slots
		if slots == 0 {
			slots = capacity.Slots
		}
		p.Engines = append(p.Engines, place.Engine{
			ID: t.ID, Hash: hash, Zone: t.Zone, Incarnation: t.Incarnation, Joined: later(t.Joined, capacity.Reopened),
			Slots: ident.Work(slots) * ident.OneRequest, Leaving: t.Leaving || capacity.Closed, Cold: capacity.Cold,
		})
		p.Targets[hash] = route.Target{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Incarnation: t.Incarnation}
	}
	return p
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MarkLeaving notes that an incarnation of a target is leaving, and tells the other routers.
func (m *Mesh) MarkLeaving(id ident.Target, incarnation ident.Incarnation) {
	fresh := false
	m.Node.Do(func(v *peer.View) {
		fresh = v.MarkLeaving(m.Clock(), peer.Mark{Target: id, Incarnation: incarnation})
	})
	if fresh {
		go m.Node.Tell(context.Background())
	}
}

// Target finds a target of any pool by its id.
func (m *Mesh) Target(id ident.Target) (route.Target, bool) {
	for _, p := range m.Set().Pools {
		if t, ok := p.Targets[id.Hash()]; ok && t.ID == id {
			return t, true
		}
	}
	return route.Target{}, false
}

// TargetAt finds a target of a pool by its hash.
func (m *Mesh) TargetAt(pool ident.Pool, hash ident.TargetHash) (route.Target, bool) {
	for _, p := range m.Set().Pools {
		if p.Name == pool {
			t, ok := p.Targets[hash]
			return t, ok
		}
	}
	return route.Target{}, false
}
