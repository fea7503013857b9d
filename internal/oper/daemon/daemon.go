package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/edge/front"
	"valescale/internal/edge/guard"
	"valescale/internal/edge/route"
	"valescale/internal/oper/admin"
	"valescale/internal/oper/conf"
	"valescale/internal/oper/mesh"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/engine"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/plat/table"
	"valescale/internal/rule/policy"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
	"valescale/internal/share/home"
	"valescale/internal/share/lease"
	"valescale/internal/share/peer"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Listen is the kind of an address that cannot be listened on.
	Listen Kind = "listen"
	// Keys is the kind of certificates or keys that cannot be used.
	Keys Kind = "keys"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Daemon is one router process.
type Daemon struct {
	settings conf.Settings
	logger   log.Logger
	clock    ident.Clock
	self     peer.Member
	node     *peer.Node
	keeper   *config.Keeper
	recorder *config.Recorder
	follower *config.Follower
	homes    *home.Homes
	remote   *home.Remote
	router   *route.Router
	front    *front.Front
	// memory is the account of what is kept for callers.
	memory     *memory.Account
	guard      *guard.Guard
	metrics    *telem.Metrics
	admin      *admin.Service
	table      *table.Client
	engines    *engine.Client
	sweeper    *claim.Sweeper
	sweepLease *lease.Lease
	// peerBytes counts the traffic with other routers, platformBytes the traffic with the
	// platform and the engines' side interfaces.
	peerBytes     *peer.Meter
	platformBytes *peer.Meter
	engineReports *engineReports
	mesh          *mesh.Mesh
	// inForce is the configuration under which callers are served.
	inForce atomic.Pointer[config.InForce]
	ready   atomic.Bool
	leaving atomic.Bool
	killed  atomic.Bool
	servers []*http.Server
	// callers serves callers; nil until Run is called.
	callers *callerServer
	// stopBackground stops the background tasks that Run started beside the servers.
	stopBackground context.CancelFunc
	listeners      listeners
	cleanups       []func()
	stopClaims     func(context.Context)
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

// New returns a router that listens but does not serve until Run is called, and the
// function that releases its resources.
func New(settings conf.Settings, logger log.Logger, clock ident.Clock) (*Daemon, func(), error) {
	d := &Daemon{
		settings: settings, logger: logger, clock: clock,
		peerBytes: &peer.Meter{}, platformBytes: &peer.Meter{}, engineReports: newEngineReports(),
	}
	if err := d.listen(); err != nil {
		d.close()
		return nil, nil, err
	}
	if err := d.build(); err != nil {
		d.close()
		return nil, nil, err
	}
	return d, d.close, nil
}

func (d *Daemon) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
	d.cleanups = nil
}

func (d *Daemon) listen() error {
	for _, endpoint := range []struct {
		addr     string
		listener *net.Listener
	}{
		{d.settings.Callers.Addr, &d.listeners.callers},
		{d.settings.Peers.Addr, &d.listeners.peers},
		{d.settings.Admin.Addr, &d.listeners.admin},
	} {
		l, err := net.Listen("tcp", endpoint.addr)
		if err != nil {
			return fault.New("daemon.New", Listen, err)
		}
		d.cleanups = append(d.cleanups, func() { _ = l.Close() })
		*endpoint.listener = l
	}
	return nil
}

// CallerAddr returns the address of the listener for callers.
func (d *Daemon) CallerAddr() string { return d.listeners.callers.Addr().String() }

// PeerAddr returns the address under which other routers reach this router.
func (d *Daemon) PeerAddr() string {
	if d.settings.Peers.Advertise != "" {
		return d.settings.Peers.Advertise
	}
	return d.listeners.peers.Addr().String()
}

// AdminAddr returns the address of the listener for operators.
func (d *Daemon) AdminAddr() string { return d.listeners.admin.Addr().String() }

// Traffic returns the control traffic so far: with other routers, and with the platform
// and the engines' side interfaces.
func (d *Daemon) Traffic() (peers, platformBytes peer.Traffic) {
	return d.peerBytes.Traffic(), d.platformBytes.Traffic()
}

// Leaving reports whether a target is marked as leaving in the pools of this router.
func (d *Daemon) Leaving(id ident.Target) bool {
	for _, p := range d.mesh.Set().Pools {
		if e, ok := p.Roster.Engine(id.Hash()); ok && e.ID == id {
			return e.Leaving
		}
	}
	return false
}

// Kill stops the router and closes all its connections at once, as a crash would.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.stopBackground()
}

// InForce returns the configuration under which callers are served.
func (d *Daemon) InForce() config.InForce { return *d.inForce.Load() }

// Revision returns the configuration revision in force.
func (d *Daemon) Revision() ident.Revision { return d.InForce().Revision }

// Ready reports whether the router accepts requests.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Permits returns the number of outstanding permits granted by the homes on this router.
func (d *Daemon) Permits() int {
	permits, _ := d.homes.InFlight()
	return permits
}

// Stats returns the counts of the ways in which targets were found.
func (d *Daemon) Stats() route.Stats { return d.router.Stats() }

// workspaceLimits returns the limits of a workspace in the installed configuration.
func (d *Daemon) workspaceLimits(name ident.Workspace) (policy.Workspace, bool) {
	w, ok := d.keeper.InForce().Set.Workspaces[name]
	return w, ok
}

// onConfigInstalled schedules a rebuild of the mesh after a change of the configuration.
func (d *Daemon) onConfigInstalled(config.InForce) { d.mesh.RequestUpdate() }

// onLaterRevision fetches the configuration from a router that reported a later revision.
func (d *Daemon) onLaterRevision(_ ident.Revision, from ident.Router) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.Platform.Timeout*2)
		defer cancel()
		if err := d.follower.FollowPeer(ctx, from); err != nil {
			_ = level.Warn(d.logger).Log("msg", "failed to fetch configuration from peer", "from", from, "err", err)
		}
	}()
}

// onStoreRollback handles a change of the table service's era, which means that the store was
// restored from an older snapshot. The era is gossiped to the other routers, since each has to
// rewrite its own rows, and quarantined requests are written again. The first era is gossiped
// too, so that a router which starts can recognize a later era as a store rollback.
func (d *Daemon) onStoreRollback(era, previous table.Era) {
	d.node.UpdateView(func(v *peer.View) { v.RaiseEra(era) })
	if previous == 0 {
		return
	}
	d.node.TriggerGossip()
	d.guard.Rewrite()
}

// highestRevision returns the highest revision that any router has reported.
func (d *Daemon) highestRevision() (revision ident.Revision) {
	d.node.Read(func(v *peer.View) { revision = v.Head() })
	return revision
}

// Target returns the target with an id.
func (d *Daemon) Target(id ident.Target) (route.Target, bool) { return d.mesh.Target(id) }

// MarkLeaving records that an incarnation of a target is leaving and notifies the peers.
func (d *Daemon) MarkLeaving(id ident.Target, incarnation ident.Incarnation) {
	d.mesh.MarkLeaving(id, incarnation)
}
