package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/oper/mesh"
	"valescale/internal/plat/pause"
	"valescale/internal/share/peer"
)

const (
	// leaveGossipRounds is how many gossip rounds announce that this router is leaving.
	leaveGossipRounds = 3
	// guardSweepInterval is the interval at which requests whose quarantine has expired are
	// evicted. It is a small part of a quarantine, which lasts for minutes.
	guardSweepInterval = 10 * time.Second
	// configRetryInterval is the delay between two attempts to get the configuration at startup.
	configRetryInterval = 200 * time.Millisecond
)

// Run serves until the context ends and then drains: the router announces that it is leaving,
// accepts new requests during the drain delay, and waits for those in flight.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	callers, err := d.callerServer()
	if err != nil {
		return err
	}
	peers, err := d.peerServer()
	if err != nil {
		return err
	}
	operators := d.adminServer()
	d.servers = []*http.Server{callers.server, peers, operators}
	d.stopBackground = stop
	serve(&wg, peers, d.peerBytes.Listener(d.listeners.peers))
	serve(&wg, operators, d.listeners.admin)
	wg.Go(func() { d.node.Run(background) })
	wg.Go(func() { d.guard.Run(background) })
	wg.Go(func() { mesh.RunEvery(background, guardSweepInterval, func(context.Context) { d.guard.Sweep() }) })
	wg.Go(func() { d.follower.Run(background) })
	wg.Go(func() { d.mesh.Run(background) })
	wg.Go(func() { mesh.RunEvery(background, d.settings.Pace.Report, d.readReports) })
	wg.Go(func() { mesh.RunEvery(background, d.settings.Pace.Lease/renewalsPerLease, d.sweepClaims) })
	wg.Go(func() { d.waitUntilReady(background) })
	callers.serve(&wg)
	_ = level.Info(d.logger).Log("msg", "listening", "callers", d.CallerAddr(), "peers", d.PeerAddr(), "admin", d.AdminAddr())
	<-ctx.Done()
	if !d.killed.Load() {
		d.drain(callers)
	}
	stop()
	_ = peers.Close()
	_ = operators.Close()
	return nil
}

// serve runs a server in the background until it is closed.
func serve(wg *sync.WaitGroup, s *http.Server, l net.Listener) {
	wg.Go(func() { serveOn(s, l) })
}

// serveOn runs a server until it or its listener is closed.
func serveOn(s *http.Server, l net.Listener) {
	if s.TLSConfig != nil {
		_ = s.ServeTLS(l, "", "")
		return
	}
	_ = s.Serve(l)
}

// waitUntilReady waits until the configuration is available and then sets the router ready.
// The configuration comes from the store or, while the store is down, from a ready router;
// the gossip before each attempt adds this router to the membership view of that router
// first.
func (d *Daemon) waitUntilReady(ctx context.Context) {
	for ctx.Err() == nil {
		d.node.GossipNow(ctx)
		if !d.follower.Initialized() {
			d.copyConfig(ctx)
		}
		if d.follower.Initialized() {
			d.mesh.Refresh(ctx)
			d.ready.Store(!d.leaving.Load())
			_ = level.Info(d.logger).Log("msg", "ready", "revision", d.Revision())
			return
		}
		pause.Sleep(ctx, configRetryInterval)
	}
}

// renewalsPerLease is the number of times that a lease is renewed within its duration.
const renewalsPerLease = 4

// sweepClaims removes old claims while this router holds the lease for it. Two routers that
// sweep at the same time are harmless, since each row is removed by a conditional write.
func (d *Daemon) sweepClaims(ctx context.Context) {
	_ = d.sweepLease.AcquireOrRenew(ctx)
	if _, held := d.sweepLease.Epoch(); !held {
		return
	}
	if removed, err := d.sweeper.SweepPage(ctx); removed > 0 || err != nil {
		_ = level.Info(d.logger).Log("msg", "old claims removed", "removed", removed, "err", err)
	}
}

// copyConfig copies the configuration from the first ready router that answers.
func (d *Daemon) copyConfig(ctx context.Context) {
	var peers []peer.Member
	d.node.Read(func(v *peer.View) { peers = v.Peers() })
	for _, p := range peers {
		if err := d.follower.Bootstrap(ctx, p.ID); err == nil {
			return
		}
	}
}

// drain stops accepting requests without aborting those in flight.
func (d *Daemon) drain(callers *callerServer) {
	d.leaving.Store(true)
	d.ready.Store(false)
	_ = level.Info(d.logger).Log("msg", "draining")
	refusesFrom := time.Now().Add(d.settings.Limits.DrainDelay)
	by := refusesFrom.Add(d.settings.Limits.DrainTime)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	callers.conns.AnnounceStop(refusesFrom, by)
	d.node.UpdateView(func(v *peer.View) { v.Leave(d.clock()) })
	for range leaveGossipRounds {
		d.node.GossipNow(ctx)
	}
	d.mesh.Refresh(ctx)
	pause.Sleep(ctx, d.settings.Limits.DrainDelay)
	if err := callers.stop(ctx); err != nil {
		_ = level.Error(d.logger).Log("msg", "drain timeout: stopped with requests in flight", "err", err)
	}
	d.mesh.Refresh(ctx)
	d.stopClaims(ctx)
	_ = d.sweepLease.Release(ctx)
	d.node.GossipNow(ctx)
}
