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

// Desired is a consistent state of the configuration.
type Desired struct {
	Revision ident.Revision
	Services []policy.Service
	// CapacityVersion grows with each change of the results of Capacity or Bound.
	CapacityVersion uint64
	// Install is called once the pools are in place; it may be nil.
	Install func()
}

// Capacity is the capacity of one target.
type Capacity struct {
	// Version is the version of the target's software, empty if it reports none.
	Version ident.Version
	// Slots is the number of requests that the target runs at once; zero means no limit.
	Slots int
	// Closed targets receive no new requests.
	Closed bool
	// Reopened is when a closed target was opened again, zero if it never was. Its caches are cold
	// then, and its share of the load increases gradually as for a target that has just joined.
	Reopened time.Time
	// Cold limits the load of a target after its start, up to a given time.
	Cold place.Cold
}

// Parts contains the dependencies of a mesh.
type Parts struct {
	// Self is this router.
	Self   peer.Member
	Node   *peer.Node
	Homes  *home.Homes
	Remote *home.Remote
	Router *route.Router
	Logger log.Logger
	Clock  ident.Clock
	// Desired returns the current configuration.
	Desired func() Desired
	// Capacity returns the capacity of a target as far as it is not part of the service's document.
	Capacity func(policy.Service, peer.Target) Capacity
	// Bound returns a service's load bound.
	Bound func(policy.Service) place.Bound
}

// Set is the result of membership and configuration together.
type Set struct {
	Pools []route.Pool
	// Live assigns homes among the live routers of the region, Known among all routers in the
	// membership view that are not leaving.
	Live  *place.Assignment
	Known *place.Assignment
	// FleetSize is the number of routers in the membership view, of all regions and states. Leaving
	// routers still serve requests, and dead ones may only be unreachable from here.
	FleetSize int
	// shards contains the shards that have homes.
	shards []place.ShardID
}

// Mesh keeps pools and homes up to date.
type Mesh struct {
	Parts
	set atomic.Pointer[Set]
	// updateDue signals that pools and homes must be updated.
	updateDue chan struct{}
	// updateMu prevents a state computed from older membership or configuration from replacing a
	// later one. The latest applied versions are in applied.
	updateMu sync.Mutex
	applied  inputVersions
	// movedPermits contains permits whose home has changed and that must be reported to the new
	// home.
	movedPermits []route.Move
	// memberStates contains the latest states of the routers, leaving the incarnations of targets
	// that are leaving.
	memberStates map[ident.Router]memberState
	leaving      map[ident.Target]ident.Incarnation
	// current contains the routers of the latest update.
	current routers
	// capacities contains the CPU cores that the routers report. The map is replaced, never
	// modified.
	capacities place.Capacities
	// live assigns homes among live routers, all among all routers in the membership view.
	live place.Assigner
	all  place.Assigner
	// reassignMu prevents concurrent reassignments; reassignDue signals that one is required.
	reassignMu  sync.Mutex
	reassignDue chan struct{}
}

// New returns a mesh without pools.
func New(parts Parts) *Mesh {
	m := &Mesh{Parts: parts, updateDue: make(chan struct{}, 1), reassignDue: make(chan struct{}, 1), memberStates: map[ident.Router]memberState{},
		leaving: map[ident.Target]ident.Incarnation{}}
	m.set.Store(&Set{Live: place.Assign(nil, nil), Known: place.Assign(nil, nil)})
	if parts.Router != nil {
		parts.Router.Watch(watcher{m})
	}
	return m
}

// Set returns the current pools and homes. They are replaced, never modified.
func (m *Mesh) Set() *Set { return m.set.Load() }

// RequestUpdate requests an update of pools and homes.
func (m *Mesh) RequestUpdate() { trigger(m.updateDue) }

// permitSeqBits leaves room for a million permits per millisecond of a process's life, as
// incarnations are clock times in milliseconds.
const permitSeqBits = 20

// FirstPermit returns a number above all permits that earlier incarnations of a router requested.
func FirstPermit(incarnation ident.Incarnation) uint64 { return uint64(incarnation) << permitSeqBits }

// poolVersions contains the versions of the inputs that pools are built from.
type poolVersions struct {
	targets  uint64
	revision ident.Revision
	reports  uint64
}

// inputVersions contains the versions of the inputs that pools and homes are built from. Pools do
// not depend on routers, nor homes on targets.
type inputVersions struct {
	poolVersions
	routers uint64
}

// Update updates pools and homes without calling another router.
func (m *Mesh) Update() {
	m.updateMu.Lock()
	defer m.updateMu.Unlock()
	wanted := m.Desired()
	latest := inputVersions{poolVersions: poolVersions{revision: wanted.Revision, reports: wanted.CapacityVersion}}
	m.Node.Read(func(v *peer.View) { latest.routers, latest.targets = v.MemberVersion(), v.TargetVersion() })
	if latest == m.applied {
		return
	}
	next, changed := m.nextSet(wanted.Services, latest)
	m.applied = latest
	m.install(next, changed)
	if wanted.Install != nil {
		wanted.Install()
	}
	m.Homes.SetSuspectEdges(m.current.suspect)
	m.Homes.RemoveEdgePermits(m.current.firstPermits)
}

// nextSet builds pools and homes from the current configuration and membership, and reports whether
// the pools differ from the present ones.
func (m *Mesh) nextSet(services []policy.Service, latest inputVersions) (next *Set, changed bool) {
	next = &Set{}
	holders := m.Homes.Holders()
	m.Node.Read(func(v *peer.View) {
		next.Pools, changed = m.nextPools(services, latest.poolVersions, v)
		if latest.routers != m.applied.routers {
			m.current = m.routers(v, holders)
		}
	})
	before, shards := m.Set(), m.shards(next.Pools)
	if latest.routers == m.applied.routers && slices.Equal(shards, before.shards) {
		next.Live, next.Known, next.FleetSize, next.shards = before.Live, before.Known, before.FleetSize, shards
		return next, changed
	}
	next.FleetSize = m.current.count
	next.Live = m.live.Assign(shards, m.current.live, m.capacities)
	next.Known = m.all.Assign(shards, m.current.known, m.capacities)
	next.shards = shards
	return next, changed
}

// install passes new homes to this router's homes and edge, and new pools if they differ.
func (m *Mesh) install(next *Set, changed bool) {
	before := m.Set()
	defer m.set.Store(next)
	if !changed {
		m.movedPermits = append(m.movedPermits, m.Router.Reassign(next.Live)...)
		return
	}
	for _, p := range next.Pools {
		same := func(old route.Pool) bool { return old.Name == p.Name && old.Roster == p.Roster }
		if p.Region == m.Self.Region && !slices.ContainsFunc(before.Pools, same) {
			m.Homes.SetPool(p.Name, p.Bound, p.Roster)
		}
	}
	m.movedPermits = append(m.movedPermits, m.Router.Set(next.Pools, next.Live)...)
}

// MarkLeaving records that an incarnation of a target is leaving, and gossips it to the other
// routers.
func (m *Mesh) MarkLeaving(id ident.Target, incarnation ident.Incarnation) {
	added := false
	m.Node.UpdateView(func(v *peer.View) {
		added = v.MarkLeaving(m.Clock(), peer.LeavingTarget{Target: id, Incarnation: incarnation})
	})
	if added {
		go m.Node.GossipNow(context.Background())
	}
}

// Target returns the target with an ID from any pool.
func (m *Mesh) Target(id ident.Target) (route.Target, bool) {
	for _, p := range m.Set().Pools {
		if t, ok := p.Target(id.Hash()); ok && t.ID == id {
			return t, true
		}
	}
	return route.Target{}, false
}

// TargetAt returns the target of a pool with a hash.
func (m *Mesh) TargetAt(pool ident.Pool, hash ident.TargetHash) (route.Target, bool) {
	for _, p := range m.Set().Pools {
		if p.Name == pool {
			return p.Target(hash)
		}
	}
	return route.Target{}, false
}
