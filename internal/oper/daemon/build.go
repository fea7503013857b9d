package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"valescale/internal/edge/front"
	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/oper/admin"
	"valescale/internal/oper/mesh"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/engine"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/plat/object"
	"valescale/internal/plat/table"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
	"valescale/internal/share/home"
	"valescale/internal/share/lease"
	"valescale/internal/share/peer"
)

// build creates the components of the router and connects them.
func (d *Daemon) build() error {
	s := d.settings
	d.memory = memory.New(memory.LimitOf(memory.Bytes(s.Limits.Memory)*memory.MB, 0), d.clock)
	platform := d.platformTransport()
	d.table = table.New(s.Platform.Table, platform, s.Platform.Timeout, d.logger)
	list := boxes.New(s.Platform.Boxes, platform, s.Platform.Timeout)
	objects := object.New(s.Platform.Object, platform, s.Platform.Timeout, s.Limits.Answer*2)
	if err := d.buildPeers(list); err != nil {
		return err
	}
	d.buildConfig()
	d.buildMesh()
	return d.buildEdge(objects, platform, d.self.Incarnation)
}

// buildPeers creates the client of the peers and the membership view.
func (d *Daemon) buildPeers(list *boxes.Client) error {
	s := d.settings
	now := d.clock()
	d.self = peer.Member{
		ID: s.Router.ID, Addr: d.PeerAddr(), Zone: s.Router.Zone, Region: s.Router.Region,
		Incarnation: ident.Incarnation(now.UnixMilli()),
	}
	peerTLS, err := peerTLSConfig(s.Peers)
	if err != nil {
		return err
	}
	clients, closeClients := peer.NewClients(peerTLS, d.peerBytes)
	d.cleanups = append(d.cleanups, closeClients)
	view := peer.NewView(now, d.self, peer.DefaultLimits)
	pace := peer.DefaultPace
	pace.Gossip, pace.List = s.Pace.Gossip, s.Pace.List
	d.node = peer.NewNode(view, clients, list, pace, s.Router.Seeds, d.self.Seed(), d.clock)
	return nil
}

// buildConfig creates the components that record and follow the configuration.
func (d *Daemon) buildConfig() {
	d.keeper = config.NewKeeper(d.onConfigInstalled)
	inForce := d.keeper.InForce()
	d.inForce.Store(&inForce)
	d.recorder = config.NewRecorder(d.table, d.keeper, d.highestRevision, d.clock)
	d.follower = config.NewFollower(d.keeper, d.recorder, configFetcher{d.node}, d.settings.Pace.Head, d.logger, d.self.Seed())
}

// buildMesh creates the components that grant permits, place requests and exchange load
// with the other routers.
func (d *Daemon) buildMesh() {
	s := d.settings
	firstPermit := mesh.FirstPermit(d.self.Incarnation)
	limits := home.Limits{Queue: s.Limits.Queue, PerWorkspace: s.Limits.PerWorkspace}
	d.homes = home.New(s.Router.ID, limits, d.clock, d.workspaceLimits)
	var closeLinks func()
	d.remote, closeLinks = home.NewRemote(home.Edge{
		ID: s.Router.ID, Zone: s.Router.Zone, Base: firstPermit,
	}, d.homes, d.node, s.Pace.Permit)
	d.cleanups = append(d.cleanups, closeLinks)
	d.router = route.New(route.Self{
		ID: s.Router.ID, Zone: s.Router.Zone, Region: s.Router.Region, FirstPermit: firstPermit,
	}, d.remote, d.clock)
	d.mesh = mesh.New(mesh.Parts{
		Self: d.self, Node: d.node, Homes: d.homes, Remote: d.remote, Router: d.router, Logger: d.logger, Clock: d.clock,
		Desired: d.meshConfig, Capacity: d.capacity,
		Bound: func(s policy.Service) place.Bound { return place.BoundOf(s.Bound) },
	})
	d.node.SetHooks(peer.Hooks{
		Changed: d.mesh.RequestUpdate,
		Head:    d.onLaterRevision,
		Era:     d.table.AdvanceTo,
	})
	d.table.OnChange(d.onStoreRollback)
}

// buildEdge creates the components that serve callers and operators.
func (d *Daemon) buildEdge(objects *object.Client, platform http.RoundTripper, incarnation ident.Incarnation) error {
	s := d.settings
	claims, stopClaimWriter := claim.New(d.table, objects, claim.DefaultOptions, d.logger, d.clock)
	d.stopClaims = stopClaimWriter
	relayLimits := relay.DefaultLimits
	relayLimits.Answer = s.Limits.Answer
	sender, closeSender := relay.New(relayLimits)
	d.cleanups = append(d.cleanups, closeSender, func() { stopWithoutFlush(stopClaimWriter) })
	d.engines = engine.New(platform, s.Platform.Timeout)
	d.sweeper = claim.NewSweeper(d.table, claim.DefaultRetention, d.clock)
	d.sweepLease = lease.New(d.table, sweepLeaseName, s.Router.ID, string(claim.NewAttempt()), s.Pace.Lease, d.clock)
	closeGuard := d.buildGuard(sender)
	d.cleanups = append(d.cleanups, closeGuard)
	shadow := admin.NewShadow()
	d.metrics = telem.New(shadow, d.gauges())
	frontLimits := front.DefaultLimits
	frontLimits.Body, frontLimits.BodyTime, frontLimits.Tries = s.Limits.Body, s.Limits.BodyTime, s.Limits.Tries
	d.front = front.New(front.Parts{
		Configs: d, Finder: d.router, Sender: sender, Claims: claims, Guard: d.guard, Directory: d, Observer: d.metrics,
		Logger: d.logger, Keys: s.ResumeKeys, Zone: s.Router.Zone, Clock: d.clock, Memory: d.memory,
		StopsBefore: func(t time.Time) bool { return d.callers.conns.StopsBefore(t) },
	}, frontLimits)
	d.admin = admin.New(admin.Parts{
		Self: s.Router.ID, Operators: s.Operators, Keeper: d.keeper, Recorder: d.recorder, Follower: d.follower,
		Membership: d.node, Shadow: shadow, Claims: d.table, Clock: d.clock, Status: d.status,
	})
	return nil
}

// buildGuard creates the guard, which quarantines requests under which targets crash.
// It returns the function that closes the guard.
func (d *Daemon) buildGuard(prober guard.Prober) func() {
	g, closeGuard := guard.New(guard.Parts{
		Prober: prober, Store: quarantineStore{d.table}, Logger: d.logger, Clock: d.clock, TriggerGossip: d.node.TriggerGossip,
		IsReader: func() bool { return true }, Rank: d.node.Rank,
	})
	d.guard = g
	d.node.SetCrashes(g)
	return closeGuard
}

// quarantineStore reads the rows of quarantined requests from the table service.
type quarantineStore struct{ *table.Client }

// maxQuarantinedRows limits the rows of one table that are read.
const maxQuarantinedRows = 1000

// QuarantineRows returns the rows of quarantined requests.
func (h quarantineStore) QuarantineRows(ctx context.Context, name table.Name) ([]table.Row, error) {
	return h.Scan(ctx, table.Range{Table: name, Limit: maxQuarantinedRows})
}

// stopWithoutFlush stops the writer of claim outcomes without waiting for the store.
func stopWithoutFlush(stop func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	stop(ctx)
}

const (
	// platformIdleTimeout is how long an idle connection to the platform is kept, and
	// platformMaxIdleConns how many idle connections are kept per address.
	platformIdleTimeout  = time.Minute
	platformMaxIdleConns = 16
	// sweepLeaseName is the name of the lease for the removal of old claims.
	sweepLeaseName = "sweep"
)

// platformTransport returns the transport for the platform and the engines' side
// interfaces. All its traffic is metered as control traffic.
func (d *Daemon) platformTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: d.settings.Platform.Timeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: platformMaxIdleConns,
		IdleConnTimeout:     platformIdleTimeout,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return d.platformBytes.Conn(conn), nil
		},
	}
	d.cleanups = append(d.cleanups, transport.CloseIdleConnections)
	return transport
}
