package node

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/oper/mesh"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/match"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peer"
)

// state is what the store's rows say, decoded.
type state struct {
	rows   Rows
	logger log.Logger
	clock  ident.Clock
	// rules is the configuration in force; it never goes back to a lower revision.
	inForce atomic.Pointer[match.Table]

	mu       sync.Mutex
	services []match.Service
	routers  []boxes.Box
	// readings are the targets' rows as they were decoded, departed those that went lately, in order.
	targetRows map[table.Key]targetRow
	removed    []removal
	// counts are how many targets of each service take new work.
	liveTargets map[ident.Service]int
	// cold are the targets that said that they are cold.
	cold map[ident.Target]coldTarget
	// nameOf is the service under whose name a target of a version is kept, onTrial whether some are kept apart.
	serviceName func(ident.Service, ident.Version) ident.Service
	hasCanary   func(ident.Service) bool
	// turns counts the changes that concern all targets.
	generation uint64
	zones      *zones
}

// newState returns the state without rows.
func newState(rows Rows, logger log.Logger, clock ident.Clock) *state {
	return &state{
		rows: rows, logger: logger, clock: clock, zones: newZones(logger, clock),
		serviceName: func(service ident.Service, _ ident.Version) ident.Service { return service },
		hasCanary:   func(ident.Service) bool { return false }, targetRows: map[table.Key]targetRow{}, liveTargets: map[ident.Service]int{}, cold: map[ident.Target]coldTarget{},
	}
}

// setConfig puts a configuration in force. One that cannot be read, contradicts itself
// or is no later than the one in force changes nothing.
func (s *state) setConfig(rows []table.Row) {
	config, found, err := s.rows.Config(rows)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "the configuration cannot be read", "err", err)
		return
	}
	if !found {
		return
	}
	if old := s.inForce.Load(); old != nil && config.Revision <= old.Revision {
		return
	}
	compiled, err := match.Compile(config)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "the configuration cannot be put in force", "revision", config.Revision, "err", err)
		return
	}
	s.mu.Lock()
	if !slices.Equal(s.services, config.Services) {
		s.services = config.Services
		s.generation++
	}
	s.mu.Unlock()
	s.inForce.Store(compiled)
	at := latestPosition(rows)
	_ = level.Info(s.logger).Log("msg", "configuration in force", "revision", config.Revision,
		"routes", compiled.Routes(), "era", at.Era, "version", at.Version)
}

// revision is that of the configuration in force, zero while there is none.
func (s *state) revision() ident.Revision {
	inForce := s.inForce.Load()
	if inForce == nil {
		return 0
	}
	return inForce.Revision
}

// setClosed closes the availability zones that operators want closed.
func (s *state) setClosed(rows []table.Row) {
	if s.zones.set(s.rows.ClosedZones(rows), latestPosition(rows)) {
		s.invalidatePools()
	}
}

// newest is the position of the latest row.
func latestPosition(rows []table.Row) table.Position {
	var latest table.Position
	for _, row := range rows {
		if latest.Before(row.Position()) {
			latest = row.Position()
		}
	}
	return latest
}

// setRouters takes in the other routers.
func (s *state) setRouters(rows []table.Row) {
	routers := s.decodeRouters(rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = routers
}

// decodeRouters reads the rows of routers.
func (s *state) decodeRouters(rows []table.Row) []boxes.Box {
	var routers []boxes.Box
	for _, row := range rows {
		member, err := decodeRouter(row)
		if err != nil {
			_ = level.Error(s.logger).Log("msg", "a router's row cannot be read", "key", row.Key, "err", err)
			continue
		}
		routers = append(routers, boxes.Box{
			ID: string(member.ID), Role: boxes.RouterRole, Addr: member.Addr, Zone: member.Zone, Region: member.Region,
			State: boxes.Live, Incarnation: member.Incarnation, Cores: member.Cores,
		})
	}
	return routers
}

// known lists the other routers as the store's rows say.
func (s *state) routerBoxes() []boxes.Box {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers
}

// plainSlots is how many requests a plain target may have for each of its slots. A
// request counts while its permit and its return travel too, 15 to 20 ms beside the 60 of
// the work itself: with one a slot a third of the slots stood idle while callers waited.
const plainRequestsPerSlot = 2

// touch has pools made anew although no target's row has changed.
func (s *state) invalidatePools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
}

// capacity is what a target says of itself.
func (s *state) capacity(service policy.Service, t peer.Target) mesh.Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := s.targetRows[table.Key(t.ID)].target.Slots
	if service.Kind == policy.PlainTargets {
		slots *= plainRequestsPerSlot
	}
	closed, reopened := s.zones.stateOf(t.Zone)
	return mesh.Capacity{Slots: slots, Closed: closed, Reopened: reopened, Cold: s.coldOf(t, reopened)}
}

// wanted is what the configuration wants of the mesh.
func (s *state) poolConfig() mesh.Wanted {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := mesh.Wanted{Reports: s.generation}
	for _, service := range s.services {
		wanted.Services = append(wanted.Services, s.service(service))
		if s.hasCanary(service.Name) {
			service.Name += canarySuffix
			wanted.Services = append(wanted.Services, s.service(service))
		}
	}
	return wanted
}

// service is a service in the form that placement uses; the caller holds the lock.
func (s *state) service(from match.Service) policy.Service {
	kind := policy.PlainTargets
	if from.Engine {
		kind = policy.EngineTargets
	}
	return policy.Service{Name: from.Name, Kind: kind, Balance: policy.Exact, Shards: shardsFor(s.liveTargets[from.Name])}
}

// targetsPerShard is the most targets that one home counts. A subject that moves from
// shard to shard leaves its cached prompt behind: with two shards of 9 that was the
// largest part of what was read again. A home's work at 32 targets is a few hundred
// permits a second, of about 0.1 ms each.
const maxTargetsPerShard = 32

// shardsFor is the number of shards of a pool, a power of two, so that it seldom
// changes as targets come and go.
func shardsFor(targets int) int {
	shards := 1
	for shards*maxTargetsPerShard < targets && shards < place.MaxShards {
		shards *= 2
	}
	return shards
}
