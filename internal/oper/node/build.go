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
	"valescale/internal/plat/table"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/feed"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
)

const (
	// permitTimeout is how long a call to a home may take before the next in line is
	// asked: many round trips between availability zones, since a home that has just
	// started on a small box is slow, and still a part of the objectives, which begin at
	// some hundred milliseconds. At 60 ms permits were lost at each start of the fleet.
	permitTimeout = 100 * time.Millisecond
	// gossipEvery is how often a router exchanges news with another. Homes are right only
	// once views agree; a digest has some hundred bytes.
	gossipInterval = 400 * time.Millisecond
	// startSpread is how far apart routers may start that start together: 0.3 s on the
	// platform, and what a small box needs to come up. Until then those that are up would
	// each leave out others and disagree on who is home of what.
	maxStartSpread = 600 * time.Millisecond
)

// build makes the parts and connects them.
func (n *Node) build() {
	s := n.settings.Load()
	n.board = feed.NewBoard(n.Logger, n.Clock)
	n.board.OnRestored(func(table.Era) {
		select {
		case n.storeRestored <- struct{}{}:
		default:
			// It is asked for already.
		}
	})
	n.roles = feed.NewRoles()
	n.roles.Consult(true)
	n.state = newState(n.Rows, n.Logger, n.Clock)
	n.buildPeers(s)
	n.buildRollouts(s)
	n.buildGuard()
	n.buildMesh(s)
	n.followTables()
	n.buildEntry(s)
	n.puller = feed.NewPuller(n.board, peerRows{n}, n.followedTables(), feed.DefaultPace, n.roles, n.Logger, n.Clock)
	// Routers that an earlier process of the fleet knew can be asked at once.
	n.updateRouters()
}

// buildPeers makes what knows the other routers.
func (n *Node) buildPeers(s *Settings) {
	now := n.Clock()
	n.self = peer.Member{
		ID: s.ID, Addr: n.PeerAddr(), Zone: s.Zone, Region: s.Region, Incarnation: n.incarnation(now), Cores: s.Cores,
	}
	clients, closeClients := peer.NewClients(nil, n.meter)
	n.cleanups = append(n.cleanups, closeClients)
	limits := peer.DefaultLimits
	// The store's rows are whole and in order; one reading without a row is enough.
	limits.MissingLists = 1
	limits.ListedGrace = maxStartSpread
	view := peer.NewView(now, n.self, limits)
	pace := peer.DefaultPace
	pace.Gossip = gossipInterval
	n.peers = peer.NewNode(view, clients, nil, pace, n.otherSeeds(s.Seeds), n.self.Seed(), n.Clock)
}

// buildTrials makes what follows orders to move services to other versions.
func (n *Node) buildRollouts(s *Settings) {
	n.rollouts = newRollouts(s.TrialShare, n.self.Seed(), n.Logger, n.Clock)
	n.state.serviceName, n.state.hasCanary = n.rollouts.serviceName, n.rollouts.hasCanary
	n.peers.SetTrials(n.rollouts)
}

// buildGuard makes what holds requests back that targets end under.
func (n *Node) buildGuard() {
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits)
	n.conns = conns
	g, closeGuard := guard.New(guard.Parts{
		Prober: conns, Store: quarantineRows{n.Store}, Logger: n.Logger, Clock: n.Clock, Reads: n.isStoreReader, Spread: n.peers.Spread,
	})
	n.guard = g
	n.cleanups = append(n.cleanups, closeConns, closeGuard)
	n.peers.SetCrashes(g)
}

// reads reports whether this router reads the store for its availability zone.
func (n *Node) isStoreReader() bool {
	reader, _ := n.roles.Reader()
	return reader
}

// heldRows are the rows of requests held back in the store.
type quarantineRows struct{ Store }

// Held returns the rows.
func (h quarantineRows) Held(ctx context.Context) ([]table.Row, error) {
	page, err := h.All(ctx, guard.Table)
	return page.Rows, err
}

// buildMesh makes what counts, places and shares requests with the other routers.
func (n *Node) buildMesh(s *Settings) {
	n.homes = home.New(s.ID, home.DefaultLimits, n.Clock, noRateLimit)
	n.homes.OnBlocked(n.logBlocked)
	firstPermit := mesh.FirstPermit(n.self.Incarnation)
	remote, closeLinks := home.NewRemote(home.Edge{ID: s.ID, Zone: s.Zone, Base: firstPermit}, n.homes, n.peers, permitTimeout)
	n.cleanups = append(n.cleanups, closeLinks)
	n.router = route.New(route.Self{ID: s.ID, Zone: s.Zone, Region: s.Region, FirstPermit: firstPermit}, remote, n.Clock)
	n.mesh = mesh.New(mesh.Parts{
		Self: n.self, Node: n.peers, Homes: n.homes, Remote: remote, Router: n.router, Logger: n.Logger, Clock: n.Clock,
		Wanted: n.state.poolConfig, Capacity: n.state.capacity, Bound: n.bound,
	})
	n.peers.SetHooks(peer.Hooks{Changed: n.membersChanged, Head: n.laterRevisionReported})
}

// buildEntry makes what serves callers.
func (n *Node) buildEntry(s *Settings) {
	n.retryBudget = newRetryBudget(n.Clock(), s.Retries, n.fleetSize)
	n.metrics = telem.NewRouted(n.metricReadings())
	n.gate = entry.NewGate(n.listeners.callers, n.Logger, n.Clock)
	n.handler = entry.New(entry.Parts{
		Dialect: n.Dialect, Rules: n, Finder: n.router, Sender: n.conns, Budget: n.retryBudget, Guard: n.guard,
		Observer: n.metrics, Logger: n.Logger, Clock: n.Clock, Gate: n.gate, Trials: n.rollouts,
	})
}

// logBlocked tells the log of a target that this router's home keeps new work off.
func (n *Node) logBlocked(b home.Blocked) {
	target, _ := n.mesh.TargetAt(b.Shard.Pool, b.Engine)
	message := "target fails many requests"
	if b.Backoff > 0 {
		message = "target wants no requests"
	}
	_ = level.Info(n.Logger).Log("msg", message, "target", target.ID, "pool", b.Shard.Pool,
		"shard", b.Shard.Shard, "reported_by", b.Edge, "reported_zone", b.Zone, "backoff_ms", b.Backoff.Milliseconds())
}

// noRate says that workspaces have no rates here.
func noRateLimit(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false }

// otherSeeds leaves out this router's own address.
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
	// boundShare is the part of the load factor that homes hand out. Requests that have
	// just ended still count at a home for a moment and make its mean too high.
	loadFactorRatio = 0.95
	// steadyShare is the multiple of the mean under which a new subject goes to the first
	// engine of its own order: high enough that homes which have lost their memory find
	// most subjects again, low enough to spread load.
	steadyLoadRatio = 1.3
	// boundExtra is added to the bound: with a small mean, whole requests are coarse.
	boundExtraLoad = 5 * ident.OneRequest / 2
)

// bound is the load bound of a service's targets.
func (n *Node) bound(policy.Service) place.Bound {
	b := place.BoundOf(n.settings.Load().LoadFactor * loadFactorRatio)
	b.Extra = boundExtraLoad
	b.Steady = steadyLoadRatio
	return b
}
