package reach

import (
	"context"
	"net"
	"time"

	"valescale/internal/plat/fault"
)

// attempt is the result of an attempt on one path.
type attempt struct {
	conn net.Conn
	err  error
}

// discard closes the connection of an attempt that is not used, once it is made.
func discard(result <-chan attempt) {
	if a := <-result; a.err == nil {
		_ = a.conn.Close()
	}
}

// race is an attempt to connect to a target on both paths. The first connection is used. The direct
// attempt goes on in the background, since its result shows whether the path is lost.
type race struct {
	dialer *Dialer
	addr   string
	// deadline is the end of the attempt on all paths.
	deadline time.Time
	direct   chan attempt
	// tunnel is nil until a peer is asked. cancelTunnel ends that attempt.
	tunnel       chan attempt
	cancelTunnel context.CancelFunc
}

// startRace connects directly, and through a peer if that fails or takes longer than the delay.
func (d *Dialer) startRace(ctx context.Context, addr string, delay time.Duration) (net.Conn, error) {
	r := &race{dialer: d, addr: addr, deadline: time.Now().Add(d.Timeout), direct: make(chan attempt, 1)}
	go func() { r.direct <- d.dialDirect(d.ctx, addr) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		go discard(r.direct)
		return nil, ctx.Err()
	case a := <-r.direct:
		if a.err == nil || fault.IsLocalResourceError(a.err) {
			return a.conn, a.err
		}
		r.startTunnel(ctx)
		return r.awaitTunnel(a.err)
	case <-timer.C:
		r.startTunnel(ctx)
		return r.awaitFirst(ctx)
	}
}

// startTunnel asks peers for a tunnel.
func (r *race) startTunnel(ctx context.Context) {
	r.tunnel = make(chan attempt, 1)
	ctx, r.cancelTunnel = context.WithDeadline(ctx, r.deadline)
	go func() {
		c, err := r.dialer.dialTunnel(ctx, r.addr)
		r.tunnel <- attempt{c, err}
	}()
}

// awaitFirst returns the first connection on either path.
func (r *race) awaitFirst(ctx context.Context) (net.Conn, error) {
	select {
	case a := <-r.direct:
		if a.err != nil {
			return r.awaitTunnel(a.err)
		}
		r.cancelTunnel()
		go discard(r.tunnel)
		return a.conn, nil
	case a := <-r.tunnel:
		r.cancelTunnel()
		if a.err != nil {
			return r.awaitDirect(ctx, a.err)
		}
		go r.confirm()
		return a.conn, nil
	}
}

// awaitTunnel returns the tunnel after the direct attempt has failed.
func (r *race) awaitTunnel(failed error) (net.Conn, error) {
	defer r.cancelTunnel()
	a := <-r.tunnel
	if a.err != nil {
		r.dialer.recordDown(r.addr, failed, a.err)
		return nil, failed
	}
	r.dialer.recordLost(r.addr, failed)
	return a.conn, nil
}

// awaitDirect returns the direct connection after no peer has provided a tunnel.
func (r *race) awaitDirect(ctx context.Context, noTunnel error) (net.Conn, error) {
	select {
	case <-ctx.Done():
		go discard(r.direct)
		return nil, ctx.Err()
	case a := <-r.direct:
		if a.err != nil {
			r.dialer.recordDown(r.addr, a.err, noTunnel)
		}
		return a.conn, a.err
	}
}

// confirm uses the result of the direct attempt after a tunnel has overtaken it.
func (r *race) confirm() {
	a := <-r.direct
	if a.err == nil {
		_ = a.conn.Close()
		return
	}
	r.dialer.recordLost(r.addr, a.err)
}
