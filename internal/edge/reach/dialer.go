package reach

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Peer is a router that can be asked for a tunnel.
type Peer struct {
	ID ident.Router
	// Addr is its address for other routers.
	Addr string
}

// DialFunc makes a TCP connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Parts contains the dependencies of a dialer.
type Parts struct {
	// Timeout limits a connection attempt, on all paths together.
	Timeout time.Duration
	// Direct connects to targets, Tunnel to peers; nil means the net package.
	Direct DialFunc
	Tunnel DialFunc
	// Peers returns the routers that may be asked for a tunnel, in order of preference; nil means
	// that there are none.
	Peers func() []Peer
	// Targets returns the addresses of all targets, of which some are checked when others cannot be
	// reached; nil means that none are.
	Targets func() []string
	// Changed is called after this router is cut off from the targets, and after it is not any more;
	// it may be nil.
	Changed func(cutOff bool)
	// Regained is called after this router has connected to a target that nobody reached before; it may be nil.
	Regained func(addr string)
	Logger   log.Logger
	Clock    ident.Clock
}

// Dialer connects to targets.
type Dialer struct {
	Parts
	paths *paths
	// peerRecord remembers which peers could provide a tunnel.
	peerRecord *peerRecord
	// running contains the targets that are being checked.
	running *checked
	// trying is set while tryOthers runs.
	trying atomic.Bool
	// ctx ends when the dialer is closed, and with it what runs in the background.
	ctx context.Context
}

// New returns a dialer and the function that stops its checks.
func New(parts Parts) (*Dialer, func()) {
	if parts.Direct == nil {
		parts.Direct = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	if parts.Tunnel == nil {
		parts.Tunnel = (&net.Dialer{KeepAliveConfig: tunnelKeepAlive}).DialContext
	}
	if parts.Peers == nil {
		parts.Peers = func() []Peer { return nil }
	}
	if parts.Targets == nil {
		parts.Targets = func() []string { return nil }
	}
	if parts.Changed == nil {
		parts.Changed = func(bool) {}
	}
	if parts.Regained == nil {
		parts.Regained = func(string) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{Parts: parts, paths: newPaths(), peerRecord: newPeerRecord(), ctx: ctx, running: &checked{addrs: map[string]bool{}}}
	return d, cancel
}

// tunnelDelay is the time after which a peer is asked for a tunnel while a direct attempt is under way:
// many round trips to a target, and a small part of the objectives.
const tunnelDelay = 60 * time.Millisecond

// Dial connects to the target at an address, through a peer if this router's own path is lost.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	switch d.paths.route(addr, d.Clock()) {
	case routeNone:
		d.Check(addr)
		return nil, fault.New("reach.Dial", Connect, errRecentlyUnreachable)
	case routeTunnel:
		return d.dialLost(ctx, addr)
	default:
		return d.startRace(ctx, addr, tunnelDelay)
	}
}

// dialLost connects to a target whose direct path is lost. Without a tunnel, that path may be back.
func (d *Dialer) dialLost(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	c, err := d.dialTunnel(ctx, addr)
	if err == nil {
		return c, nil
	}
	if vouched(err) {
		d.recordDown(addr, nil, err)
		return nil, err
	}
	a := d.dialDirect(ctx, addr)
	if a.err != nil {
		d.recordDown(addr, a.err, err)
	}
	return a.conn, a.err
}

// errRecentlyUnreachable fails attempts to connect to a target that neither this router nor a peer
// could reach a moment ago.
var errRecentlyUnreachable = errors.New("not reachable a moment ago")

// dialDirect connects without a peer and records a success.
func (d *Dialer) dialDirect(ctx context.Context, addr string) attempt {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	c, err := d.Direct(ctx, "tcp", addr)
	if err != nil {
		return attempt{err: err}
	}
	wasCutOff, wasDown := d.paths.reached(addr, d.Clock())
	if wasCutOff {
		d.changed(false)
	}
	if wasDown {
		d.Regained(addr)
	}
	return attempt{conn: c}
}

// recordLost records a target that a peer has reached and this router has not. A failure for want of a
// local resource does not show that the path is lost.
func (d *Dialer) recordLost(addr string, err error) {
	if fault.IsLocalResourceError(err) || d.ctx.Err() != nil {
		return
	}
	added, watch := d.paths.lost(addr, d.Clock())
	if added {
		_ = level.Info(d.Logger).Log("msg", "target is reachable only through a peer", "addr", addr, "err", err)
	}
	if watch {
		d.checkOthers(addr)
		go d.watchLostPaths()
	}
}

// recordDown records a target that neither this router nor a peer could reach, if a peer that reaches others says
// so or no peer helps any more. Without peers nothing shows that the target is at fault.
func (d *Dialer) recordDown(addr string, direct, tunnel error) {
	peers := d.Peers()
	if fault.IsLocalResourceError(direct) || len(peers) == 0 {
		return
	}
	if !vouched(tunnel) && !d.peerRecord.noneHelps(peers, d.Clock()) {
		return
	}
	added, watch := d.paths.down(addr, d.Clock())
	if watch {
		go d.watchDownTargets()
	}
	if added {
		d.checkOthers(addr)
		_ = level.Info(d.Logger).Log("msg", "target is not reachable through peers either", "addr", addr, "err", direct, "tunnel_err", tunnel)
	}
}

// vouched reports whether a tunnel failed because a peer that reaches other targets could not connect.
func vouched(tunnel error) bool {
	kind := fault.KindOf[Kind](tunnel)
	return kind == Unreachable || kind == Refused
}

// changed logs and reports that this router is cut off from the targets, or is not any more.
func (d *Dialer) changed(cutOff bool) {
	if cutOff {
		_ = level.Warn(d.Logger).Log("msg", "dependency lost", "dependency", "targets", "peers", len(d.Peers()))
	} else {
		_ = level.Info(d.Logger).Log("msg", "dependency regained", "dependency", "targets")
	}
	d.Changed(cutOff)
}

// CutOff reports whether this router is cut off from the targets.
func (d *Dialer) CutOff() bool { return d.paths.isCutOff() }

// Usable reports whether a connection to an address that was idle may still be used: a direct one
// while no path is in doubt, a tunnel while its path is lost and its peer is live.
func (d *Dialer) Usable(c net.Conn, addr string) bool {
	direct := d.paths.route(addr, d.Clock()) == routeDirect
	if t, ok := c.(*tunnelConn); ok {
		return !direct && d.isLive(t.peer)
	}
	return direct && !d.paths.inDoubt(addr)
}

// isLive reports whether a peer may still be asked for tunnels.
func (d *Dialer) isLive(id ident.Router) bool {
	for _, p := range d.Peers() {
		if p.ID == id {
			return true
		}
	}
	return false
}

// Refused reports whether nothing listens at a target's address any more. A refusal of this router alone
// may be due to its own path: it does not count if a peer connects, nor if no peer is refused while
// paths are lost. Where this router's own path is lost, or was in doubt a moment ago, a refusal of a peer is
// enough.
func (d *Dialer) Refused(ctx context.Context, addr string) bool {
	route := d.paths.route(addr, d.Clock())
	if route == routeDirect {
		return d.refusedHere(ctx, addr)
	}
	return d.refusedInDoubt(ctx, addr, route == routeNone)
}

// refusedInDoubt reports whether a peer is refused, or, if no peer can say so and ownPath is set, this router.
func (d *Dialer) refusedInDoubt(ctx context.Context, addr string, ownPath bool) bool {
	direct := make(chan bool, 1)
	go func() { direct <- ownPath && d.refusedDirectly(ctx, addr) != nil }()
	tunnel, err := d.dialTunnel(ctx, addr)
	if err == nil {
		_ = tunnel.Close()
		return false
	}
	return peerRefused(err) || <-direct && !d.paths.anyLost()
}

// peerRefused reports whether a peer was refused. Its word counts also if it reaches no target itself: an answer
// must not end as complete because nobody was sure that its target has ended.
func peerRefused(tunnel error) bool {
	kind := fault.KindOf[Kind](tunnel)
	return kind == Refused || kind == UnsureRefused
}

// refusedHere reports whether this router is refused, unless peers show that its own path is at fault.
func (d *Dialer) refusedHere(ctx context.Context, addr string) bool {
	err := d.refusedDirectly(ctx, addr)
	if err == nil {
		return false
	}
	tunnel, tunnelErr := d.dialTunnel(ctx, addr)
	if tunnelErr == nil {
		_ = tunnel.Close()
		d.recordLost(addr, err)
		return false
	}
	return peerRefused(tunnelErr) || !d.paths.anyLost()
}

// refusedDirectly returns the error of an attempt on this router's own path if it was refused, or nil.
func (d *Dialer) refusedDirectly(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	c, err := d.Direct(ctx, "tcp", addr)
	if err == nil {
		_ = c.Close()
		return nil
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	return err
}
