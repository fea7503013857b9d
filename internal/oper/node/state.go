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
	"valescale/internal/share/origin"
	"valescale/internal/share/peer"
)

// state is the decoded contents of the store's rows.
type state struct {
	rows   Rows
	logger log.Logger
	clock  ident.Clock
	// inForce is the configuration in force. It never returns to a lower revision.
	inForce atomic.Pointer[match.Table]

	mu       sync.Mutex
	services []match.Service
	routers  []boxes.Box
	// targetRows contains the targets' decoded rows, and removed those removed recently, in order
	// of removal.
	targetRows map[table.Key]targetRow
	removed    []removal
	// liveTargets is the number of targets of each service that accept new work.
	liveTargets map[ident.Service]int
	// cold contains the targets that reported to be cold.
	cold map[ident.Target]coldTarget
	// serviceName returns the service name under which a target of a version is kept, and hasCanary
	// whether a service has a canary version, whose targets are kept separately.
	serviceName func(ident.Service, ident.Version) ident.Service
	hasCanary   func(ident.Service) bool
	// origins counts the versions of targets; it may be nil.
	origins *origin.Origins
	// generation counts the changes that affect all targets.
	generation uint64
	zones      *zones
	brittle    *brittleServices
}

// newState returns a state without rows.
func newState(rows Rows, logger log.Logger, clock ident.Clock) *state {
	return &state{
		rows: rows, logger: logger, clock: clock, zones: newZones(logger, clock), brittle: newBrittleServices(logger, clock),
		serviceName: func(service ident.Service, _ ident.Version) ident.Service { return service },
		hasCanary:   func(ident.Service) bool { return false }, targetRows: map[table.Key]targetRow{}, liveTargets: map[ident.Service]int{}, cold: map[ident.Target]coldTarget{},
	}
}

// setConfig puts a configuration in force. One that cannot be decoded, is inconsistent, or is not
// later than the one in force is ignored.
func (s *state) setConfig(rows []table.Row) {
	config, found, err := s.rows.Config(rows)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "failed to decode the configuration", "err", err)
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
		_ = level.Error(s.logger).Log("msg", "failed to compile the configuration", "revision", config.Revision, "err", err)
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

// revision returns the revision of the configuration in force, or zero if there is none.
func (s *state) revision() ident.Revision {
	inForce := s.inForce.Load()
	if inForce == nil {
		return 0
	}
	return inForce.Revision
}

// setClosed closes the availability zones that operators have closed, and reopens all other zones.
func (s *state) setClosed(rows []table.Row) {
	if s.zones.set(s.rows.ClosedZones(rows), latestPosition(rows)) {
		s.invalidatePools()
	}
}

// latestPosition returns the position of the latest row.
func latestPosition(rows []table.Row) table.Position {
	var latest table.Position
	for _, row := range rows {
		if latest.Before(row.Position()) {
			latest = row.Position()
		}
	}
	return latest
}

// setRouters sets the routers' rows.
func (s *state) setRouters(rows []table.Row) {
	routers := s.decodeRouters(rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = routers
}

// decodeRouters decodes the routers' rows.
func (s *state) decodeRouters(rows []table.Row) []boxes.Box {
	var routers []boxes.Box
	for _, row := range rows {
		member, err := decodeRouter(row)
		if err != nil {
			_ = level.Error(s.logger).Log("msg", "failed to decode a router's row", "key", row.Key, "err", err)
			continue
		}
		routers = append(routers, boxes.Box{
			ID: string(member.ID), Role: boxes.RouterRole, Addr: member.Addr, Zone: member.Zone, Region: member.Region,
			State: boxes.Live, Incarnation: member.Incarnation, Cores: member.Cores,
		})
	}
	return routers
}

// routerBoxes returns the routers listed in the store.
func (s *state) routerBoxes() []boxes.Box {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers
}

// plainRequestsPerSlot is the number of permits that a plain target may have for each of its slots.
// A permit also covers the time in which it and its release are in transit, 15 to 20 ms in addition
// to the 60 ms of the work itself. With one permit per slot a third of the slots are idle while
// callers wait.
const plainRequestsPerSlot = 2

// invalidatePools causes a rebuild of the pools although no target's row has changed.
func (s *state) invalidatePools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
}

// hasOnlyCanaries reports whether all targets of a service that accept new work are canaries.
func (s *state) hasOnlyCanaries(service ident.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveTargets[service] == 0 && s.liveTargets[service+canarySuffix] > 0
}

// targetCount returns the number of targets' rows.
func (s *state) targetCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targetRows)
}

// capacity returns a target's capacity as the target reports it.
func (s *state) capacity(service policy.Service, t peer.Target) mesh.Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.targetRows[table.Key(t.ID)].target
	slots := target.Slots
	if service.Kind == policy.PlainTargets && !s.brittle.has(service.Name) {
		slots *= plainRequestsPerSlot
	}
	closed, reopened := s.zones.stateOf(t.Zone)
	return mesh.Capacity{Version: target.Version, Slots: slots, Closed: closed, Reopened: reopened, Cold: s.coldOf(t, reopened)}
}

// version returns the version in a target's row, or nothing without a valid row.
func (s *state) version(target ident.Target) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.targetRows[table.Key(target)]
	if !row.valid() {
		return ""
	}
	return row.target.Version
}

// poolConfig returns the services for which the mesh has to maintain pools.
func (s *state) poolConfig() mesh.Desired {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := mesh.Desired{CapacityVersion: s.generation}
	for _, service := range s.services {
		wanted.Services = append(wanted.Services, s.service(service))
		if s.hasCanary(service.Name) {
			service.Name += canarySuffix
			wanted.Services = append(wanted.Services, s.service(service))
		}
	}
	return wanted
}

// service converts a service to the form that placement uses. The caller holds the lock.
func (s *state) service(from match.Service) policy.Service {
	kind := policy.PlainTargets
	if from.Engine {
		kind = policy.EngineTargets
	}
	return policy.Service{Name: from.Name, Kind: kind, Balance: policy.Exact, Shards: shardsFor(s.liveTargets[from.Name])}
}

// maxTargetsPerShard is the maximum number of targets that one home manages. A prompt prefix that
// moves to another shard loses its cached state: with two shards of 9 targets this is the largest
// part of the tokens that are processed again. At 32 targets a home handles a few hundred permits
// per second, at about 0.1 ms each.
const maxTargetsPerShard = 32

// shardsFor returns the number of shards of a pool. It is a power of two, so that it rarely changes
// as targets are added and removed.
func shardsFor(targets int) int {
	shards := 1
	for shards*maxTargetsPerShard < targets && shards < place.MaxShards {
		shards *= 2
	}
	return shards
}
