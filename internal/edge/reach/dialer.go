package reach

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Parts contains the dependencies of a dialer.
type Parts struct {
	// Timeout limits a connection attempt, on all paths together.
	Timeout time.Duration
	// Source is the address that connections to targets are made from; nil leaves it to the kernel.
	Source net.IP
	Logger log.Logger
	Clock  ident.Clock
}

// Dialer connects to targets.
type Dialer struct {
	Parts
	direct net.Dialer
	paths  *paths
}

// New returns a dialer.
func New(parts Parts) *Dialer {
	d := &Dialer{Parts: parts, direct: net.Dialer{Timeout: parts.Timeout, KeepAlive: -1}, paths: newPaths()}
	if parts.Source != nil {
		d.direct.LocalAddr = &net.TCPAddr{IP: parts.Source}
	}
	return d
}

// Dial connects to the target at an address.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.direct.DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		d.logChange(d.paths.reached())
	case ctx.Err() == nil && !fault.IsLocalResourceError(err):
		d.logChange(d.paths.failed(addr))
	}
	return c, err
}

// logChange logs that this router has lost or regained the targets.
func (d *Dialer) logChange(change pathChange) {
	switch change {
	case pathsLost:
		_ = level.Warn(d.Logger).Log("msg", "dependency lost", "dependency", "targets", "targets", lostThreshold)
	case pathsRegained:
		_ = level.Info(d.Logger).Log("msg", "dependency regained", "dependency", "targets")
	case pathsUnchanged:
	}
}
