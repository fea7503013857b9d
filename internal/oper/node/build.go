package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/entry"
	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/oper/mesh"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/plat/table"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/feed"
	"valescale/internal/share/home"
	"valescale/internal/share/origin"
	"valescale/internal/share/peer"
)

const (
	// permitTimeout is the timeout of a call to a home, after which the next router in line is
	// called. It covers many round trips between availability zones, since a home that has just
	// started on a small box is slow, and is still a part of the latency objectives, which begin at
	// some hundred milliseconds. With 60 ms, permits are lost at each start of a fleet.
	permitTimeout = 100 * time.Millisecond
	// gossipInterval is the interval between two exchanges of gossip digests. Homes agree only
	// once membership views agree. A digest has a few hundred bytes.
	gossipInterval = 400 * time.Millisecond
	// maxStartSpread is the maximum time between the starts of routers that start together: 0.3 s
	// on the platform, plus the time that a small box needs to start. Until then routers that are
	// up would each omit different peers and disagree on the homes of shards.
	maxStartSpread = 600 * time.Millisecond
)

// build creates the parts and connects them.
func (n *Node) build() {
	s := n.settings.Load()
	n.suspension = newSuspension(n.Clock)
	n.memory = memory.New(memory.LimitOf(s.Memory, 0), n.Clock)
	n.replicas = feed.NewReplicas(n.Logger, n.Clock)
	n.replicas.OnRestored(func(table.Era) {
		select {
		case n.storeRestored <- struct{}{}:
		default:
			// A rewrite is already requested.
		}
		n.origins.StoreRestored()
	})
	n.roles = feed.NewRoles()
	n.roles.SetConsulting(true)
	n.state = newState(n.Rows, n.Logger, n.Clock)
	n.buildPeers(s)
	n.buildRollouts(s)
	n.buildGuard()
	n.buildMesh(s)
	n.followTables()
	n.buildEntry(s)
	n.puller = feed.NewPuller(n.replicas, peerRows{n}, n.followedTables(), feed.DefaultTiming, n.roles, n.Logger, n.Clock)
	// Routers that are listed in the store can be contacted at once.
	n.updateRouters()
}

// buildPeers creates the membership view and its gossip.
func (n *Node) buildPeers(s *Settings) {
	now := n.Clock()
	n.self = peer.Member{
		ID: s.ID, Addr: n.PeerAddr(), Zone: s.Zone, Region: s.Region, Incarnation: n.incarnation(now), Cores: s.Cores,
	}
	clients, closeClients := peer.NewClients(nil, n.meter)
	n.cleanups = append(n.cleanups, closeClients)
	limits := peer.DefaultLimits
	// The store's list of rows is complete and ordered, so one list without a row is enough.
	limits.MissingLists = 1
	limits.ListedGrace = maxStartSpread
	view := peer.NewView(now, n.self, limits)
	pace := peer.DefaultPace
	pace.Gossip = gossipInterval
	n.peers = peer.NewNode(view, clients, nil, pace, n.otherSeeds(s.Seeds), n.self.Seed(), n.Clock)
}

// buildRollouts creates the part that follows rollouts of service versions.
func (n *Node) buildRollouts(s *Settings) {
	n.rollouts = newRollouts(s.MaxCanaryRatio, n.self.Seed(), n.Logger, n.Clock)
	n.state.serviceName, n.state.hasCanary = n.rollouts.serviceName, n.rollouts.hasCanary
	n.rollouts.hasOnlyCanaries = n.state.hasOnlyCanaries
	n.peers.SetCanaryReports(n.rollouts)
}

// buildGuard creates the part that quarantines requests under which targets crash.
func (n *Node) buildGuard() {
	n.buildDialer()
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, n.dialer)
	n.conns = conns
	g, closeGuard := guard.New(guard.Parts{
		Prober: conns, Store: quarantineRows{n.Store}, Logger: n.Logger, Clock: n.Clock, IsReader: n.isStoreReader, TriggerGossip: n.peers.TriggerGossip,
		Rank: n.peers.Rank,
	})
	n.guard = g
	n.cleanups = append(n.cleanups, closeConns, closeGuard)
	n.peers.SetCrashes(g)
}

// isStoreReader reports whether this router reads the store for its availability zone.
func (n *Node) isStoreReader() bool {
	reader, _ := n.roles.Reader()
	return reader
}

// quarantineRows provides the rows of quarantined requests in the store.
type quarantineRows struct{ Store }

// QuarantineRows returns the rows of quarantined requests.
func (q quarantineRows) QuarantineRows(ctx context.Context, name table.Name) ([]table.Row, error) {
	page, err := q.All(ctx, name)
	return page.Rows, err
}

// buildMesh creates the parts that count, place and share requests with other routers.
func (n *Node) buildMesh(s *Settings) {
	n.homes = home.New(s.ID, home.DefaultLimits, n.Clock, noRateLimit)
	n.homes.SetOnBlocked(n.logBlocked)
	firstPermit := mesh.FirstPermit(n.self.Incarnation)
	remote, closeLinks := home.NewRemote(home.Edge{ID: s.ID, Zone: s.Zone, Base: firstPermit}, n.homes, n.peers, permitTimeout)
	n.cleanups = append(n.cleanups, closeLinks)
	n.router = route.New(route.Self{ID: s.ID, Zone: s.Zone, Region: s.Region, FirstPermit: firstPermit}, remote, n.Clock)
	n.origins = origin.New(origin.Parts{
		Self: s.ID, Region: s.Region, Peers: remote, Routers: n.originRouters, RoutersVersion: n.routersVersion, AnyDead: n.takesRoutersForDead, RowsCurrent: n.targetsCurrent,
		WokeAt: n.suspension.wake, Store: n.Store, Role: n.versionRole, Logger: n.Logger, Clock: n.Clock,
	})
	n.state.origins = n.origins
	n.mesh = mesh.New(mesh.Parts{
		Self: n.self, Node: n.peers, Homes: n.homes, Remote: remote, Router: n.router, Logger: n.Logger, Clock: n.Clock,
		Desired: n.state.poolConfig, Capacity: n.state.capacity, Bound: n.bound,
	})
	n.peers.SetHooks(peer.Hooks{Changed: n.membersChanged, Head: n.laterRevisionReported})
}

// buildEntry creates the part that serves callers.
func (n *Node) buildEntry(s *Settings) {
	n.retryBudget = newRetryBudget(n.Clock(), s.RetryAllowance, n.fleetSize)
	n.metrics = telem.NewRouteMetrics(n.metricReadings())
	n.metrics.Add(n.paceMetric())
	for _, metric := range n.memoryMetrics() {
		n.metrics.Add(metric)
	}
	callerConns, closeCallerConns := entry.NewCallerConns(n.memory, entry.ConnTimes{Idle: n.idleTimeout, Header: headerTimeout})
	n.cleanups = append(n.cleanups, closeCallerConns)
	n.callerConns = callerConns
	n.gate = entry.NewGate(n.listeners.callers, n.peers.OthersHaveRoom, callerConns, n.Logger, n.Clock)
	n.peers.SetPressure(n.pressure)
	n.handler = entry.New(entry.Parts{
		Dialect: n.Dialect, Rules: n, Finder: n.router, Sender: n.conns, Budget: n.retryBudget, Guard: n.guard,
		Observer: n.metrics, Logger: n.Logger, Clock: n.Clock, Memory: n.memory, Gate: n.gate, Canaries: n.rollouts, Origins: n.origins,
	})
}

// pressure returns the pressure that this router reports to its peers.
func (n *Node) pressure() peer.Pressure {
	if n.gate.Pressed() {
		return peer.PressureHigh
	}
	return peer.PressureLow
}

// logBlocked logs a target that this router, as home, excludes from new work.
func (n *Node) logBlocked(b home.Blocked) {
	target, _ := n.mesh.TargetAt(b.Shard.Pool, b.Engine)
	message := "target excluded for its failure rate"
	if b.Backoff > 0 {
		message = "target excluded for its backoff"
	}
	_ = level.Info(n.Logger).Log("msg", message, "target", target.ID, "pool", b.Shard.Pool,
		"shard", b.Shard.Shard, "reported_by", b.Edge, "reported_zone", b.Zone, "backoff_ms", b.Backoff.Milliseconds())
}

// noRateLimit returns no rate limit for any workspace. This router enforces none.
func noRateLimit(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false }

// otherSeeds returns the seeds except for this router's own address.
func (n *Node) otherSeeds(seeds []string) []string {
	var out []string
	for _, addr := range seeds {
		if addr != n.self.Addr {
			out = append(out, addr)
		}
	}
	return out
}

const (
	// loadFactorRatio is the part of the load factor that homes hand out. Requests that have just
	// finished still count at a home for a moment and raise its mean.
	loadFactorRatio = 0.95
	// steadyLoadRatio is the multiple of the mean load below which a new prompt prefix is placed on
	// the first engine of its own order. It is high enough that homes which have lost their state
	// find most cache holders again, and low enough to spread load.
	steadyLoadRatio = 1.3
	// boundExtraLoad is added to the load bound. With a small mean, steps of whole requests are
	// coarse.
	boundExtraLoad = 5 * ident.OneRequest / 2
)

// bound returns the load bound of a service's targets.
func (n *Node) bound(policy.Service) place.Bound {
	b := place.BoundOf(n.settings.Load().LoadFactor * loadFactorRatio)
	b.Extra = boundExtraLoad
	b.PreferredFactor = steadyLoadRatio
	return b
}
