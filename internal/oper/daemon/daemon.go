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
	"valescale/internal/plat/table"
	"valescale/internal/rule/policy"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
	"valescale/internal/share/home"
	"valescale/internal/share/lease"
	"valescale/internal/share/peer"
)

// Kind tells this package's errors apart.
type Kind string

const (
	// Listen means that an address cannot be listened on.
	Listen Kind = "listen"
	// Keys means that certificates or keys cannot be used.
	Keys Kind = "keys"
)

// Error is this package's error type.
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
	guard    *guard.Guard
	metrics  *telem.Metrics
	admin    *admin.Service
	table    *table.Client
	engines  *engine.Client
	sweeper  *claim.Sweeper
	sweeping *lease.Lease
	// meter counts what goes to and from other routers, outside what goes to the
	// platform and the engines' side interfaces.
	meter   *peer.Meter
	outside *peer.Meter
	reports *reports
	mesh    *mesh.Mesh
	// force is the configuration that callers are served by.
	force   atomic.Pointer[config.InForce]
	ready   atomic.Bool
	leaving atomic.Bool
	killed  atomic.Bool
	servers []*http.Server
	// stopBackground ends what Run started beside the servers.
	stopBackground context.CancelFunc
	listeners      listeners
	cleanups       []func()
	stopClaim      func(context.Context)
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

// New returns a router that listens but serves nobody until Run, and the function
// that frees what it holds.
func New(settings conf.Settings, logger log.Logger, clock ident.Clock) (*Daemon, func(), error) {
	d := &Daemon{
		settings: settings, logger: logger, clock: clock,
		meter: &peer.Meter{}, outside: &peer.Meter{}, reports: newReports(),
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
	for _, at := range []struct {
		addr string
		into *net.Listener
	}{
		{d.settings.Callers.Addr, &d.listeners.callers},
		{d.settings.Peers.Addr, &d.listeners.peers},
		{d.settings.Admin.Addr, &d.listeners.admin},
	} {
		l, err := net.Listen("tcp", at.addr)
		if err != nil {
			return fault.New("daemon.New", Listen, err)
		}
		d.cleanups = append(d.cleanups, func() { _ = l.Close() })
		*at.into = l
	}
	return nil
}

// CallerAddr is where callers connect.
func (d *Daemon) CallerAddr() string { return d.listeners.callers.Addr().String() }

// PeerAddr is where other routers connect.
func (d *Daemon) PeerAddr() string {
	if d.settings.Peers.Advertise != "" {
		return d.settings.Peers.Advertise
	}
	return d.listeners.peers.Addr().String()
}

// AdminAddr is where operators connect.
func (d *Daemon) AdminAddr() string { return d.listeners.admin.Addr().String() }

// Traffic is the control traffic so far: with other routers, and with the platform
// and the engines' side interfaces.
func (d *Daemon) Traffic() (peers, outside peer.Traffic) {
	return d.meter.Traffic(), d.outside.Traffic()
}

// Leaving reports whether this router knows that a target is leaving.
func (d *Daemon) Leaving(id ident.Target) bool {
	for _, p := range d.mesh.Set().Pools {
		if e, known := p.Roster.Engine(id.Hash()); known && e.ID == id {
			return e.Leaving
		}
	}
	return false
}

// Kill ends the router at once with all its connections, as a crash would.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.stopBackground()
}

// InForce is the configuration that callers are served by.
func (d *Daemon) InForce() config.InForce { return *d.force.Load() }

// Revision is the configuration revision in force.
func (d *Daemon) Revision() ident.Revision { return d.InForce().Revision }

// Ready reports whether the router wants requests.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Permits is the number of permits that this router's homes have given out.
func (d *Daemon) Permits() int {
	permits, _ := d.homes.InFlight()
	return permits
}

// Stats returns how targets were found.
func (d *Daemon) Stats() route.Stats { return d.router.Stats() }

// workspace returns a workspace's limits in force.
func (d *Daemon) workspace(name ident.Workspace) (policy.Workspace, bool) {
	w, ok := d.keeper.InForce().Set.Workspaces[name]
	return w, ok
}

// installed follows a change of the configuration.
func (d *Daemon) installed(config.InForce) { d.mesh.MarkDirty() }

// heard follows a router that told of a later revision.
func (d *Daemon) heard(_ ident.Revision, from ident.Router) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.Platform.Timeout*2)
		defer cancel()
		if err := d.follower.Heard(ctx, from); err != nil {
			_ = level.Warn(d.logger).Log("msg", "could not fetch the configuration", "from", from, "err", err)
		}
	}()
}

// restored follows a table service that has come back from an older copy: the other routers are told, since
// each has to write again what it wrote, and requests held back are. They are told of the first era too, so
// that a router which starts knows a later one for what it is.
func (d *Daemon) restored(era, was table.Era) {
	d.node.Do(func(v *peer.View) { v.RaiseEra(era) })
	if was == 0 {
		return
	}
	d.node.Spread()
	d.guard.Rewrite()
}

// heardOf is the highest revision that any router has told of.
func (d *Daemon) heardOf() (revision ident.Revision) {
	d.node.Read(func(v *peer.View) { revision = v.Head() })
	return revision
}

// Target finds a target by its id.
func (d *Daemon) Target(id ident.Target) (route.Target, bool) { return d.mesh.Target(id) }

// MarkLeaving notes that an incarnation of a target is leaving, and tells the peers.
func (d *Daemon) MarkLeaving(id ident.Target, incarnation ident.Incarnation) {
	d.mesh.MarkLeaving(id, incarnation)
}
