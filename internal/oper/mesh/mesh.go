package mesh

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

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
	// shards are those that have homes.
	shards []place.ShardID
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
	// seen are the routers as they were looked at last.
	seen routers
	// capacities are what the routers say of their boxes; never changed, only replaced.
	capacities place.Capacities
	// live and remembered assign homes among live routers, and among all that are remembered.
	live       place.Assigner
	remembered place.Assigner
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

// inputs are what pools and homes are made from, by the counts of their changes. Routers change no pool, and
// targets no home.
type inputs struct {
	poolInputs
	routers uint64
}

// routers are the routers of a region by what is thought of them.
type routers struct {
	live    []ident.Router
	known   []ident.Router
	doubted []ident.Router
	// below is the first permit that may still be held of each router that holds some here.
	below map[ident.Router]uint64
}

// Update brings pools and homes up to date without a call to another router.
func (m *Mesh) Update() {
	m.refreshing.Lock()
	defer m.refreshing.Unlock()
	wanted := m.Wanted()
	latest := inputs{poolInputs: poolInputs{revision: wanted.Revision, reports: wanted.Reports}}
	m.Node.Read(func(v *peer.View) { latest.routers, latest.targets = v.MemberVersion(), v.TargetVersion() })
	if latest == m.refreshed {
		return
	}
	next, changed := m.look(wanted.Services, latest)
	m.refreshed = latest
	m.install(next, changed)
	if wanted.Install != nil {
		wanted.Install()
	}
	m.Homes.Doubt(m.seen.doubted)
	m.Homes.Forget(m.seen.below)
}

// look makes pools and homes of what configuration and membership want now, and reports whether the pools differ from
// the present ones.
func (m *Mesh) look(services []policy.Service, latest inputs) (next *Set, changed bool) {
	next = &Set{}
	holders := m.Homes.Holders()
	m.Node.Read(func(v *peer.View) {
		next.Pools, changed = m.nextPools(services, latest.poolInputs, v)
		if latest.routers != m.refreshed.routers {
			m.seen = m.routers(v, holders)
		}
	})
	before, shards := m.Set(), m.shards(next.Pools)
	if latest.routers == m.refreshed.routers && slices.Equal(shards, before.shards) {
		next.Live, next.Known, next.shards = before.Live, before.Known, shards
		return next, changed
	}
	next.Live = m.live.Assign(shards, m.seen.live, m.capacities)
	next.Known = m.remembered.Assign(shards, m.seen.known, m.capacities)
	next.shards = shards
	return next, changed
}

// install has this router's homes and edge work with new homes, and with new pools if they differ.
func (m *Mesh) install(next *Set, changed bool) {
	before := m.Set()
	defer m.set.Store(next)
	if !changed {
		m.moved = append(m.moved, m.Router.Reassign(next.Live)...)
		return
	}
	for _, p := range next.Pools {
		same := func(old route.Pool) bool { return old.Name == p.Name && old.Roster == p.Roster }
		if p.Region == m.Self.Region && !slices.ContainsFunc(before.Pools, same) {
			m.Homes.SetPool(p.Name, p.Bound, p.Roster)
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

// routers sorts the routers of the view; holders are those that hold permits here.
func (m *Mesh) routers(v *peer.View, holders []ident.Router) routers {
	out := routers{live: v.Routers(m.Self.Region), below: make(map[ident.Router]uint64, len(holders))}
	m.noteCapacities(v)
	for r := range v.All() {
		m.noteState(r)
		if r.Region == m.Self.Region && r.State != peer.Leaving {
			out.known = append(out.known, r.ID)
		}
		if r.State == peer.Suspect {
			out.doubted = append(out.doubted, r.ID)
		}
	}
	for _, id := range holders {
		r, known := v.Member(id)
		switch {
		case !known || id == m.Self.ID:
		case r.State == peer.Dead:
			out.below[id] = ^uint64(0)
		default:
			out.below[id] = FirstPermit(r.Incarnation)
		}
	}
	return out
}

// noteCapacities keeps what the routers say of their boxes. Assignments go on using the capacities that they were
// made with.
func (m *Mesh) noteCapacities(v *peer.View) {
	known, count := 0, 0
	for r := range v.All() {
		count++
		if cores, had := m.capacities[r.ID]; had && cores == r.Cores {
			known++
		}
	}
	if known == count && known == len(m.capacities) {
		return
	}
	m.capacities = make(place.Capacities, count)
	for r := range v.All() {
		m.capacities[r.ID] = r.Cores
	}
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
		if t, ok := p.Target(id.Hash()); ok && t.ID == id {
			return t, true
		}
	}
	return route.Target{}, false
}

// TargetAt finds a target of a pool by its hash.
func (m *Mesh) TargetAt(pool ident.Pool, hash ident.TargetHash) (route.Target, bool) {
	for _, p := range m.Set().Pools {
		if p.Name == pool {
			return p.Target(hash)
		}
	}
	return route.Target{}, false
}
