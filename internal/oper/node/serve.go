package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"valescale/internal/oper/mesh"
	"valescale/internal/plat/pause"
	"valescale/internal/share/peer"
)

const (
	// drainDelay is how long a stopping router still takes new connections: the
	// platform asks each second whether it is ready and stops sending after two noes.
	drainDelay = 2500 * time.Millisecond
	// graceMargin is kept of the grace for the last steps of a stop.
	graceMargin = 400 * time.Millisecond
	// leaveRounds is how many times a leaving router tells its peers.
	leaveGossipRounds = 2
	// sweepEvery is how often rows that lapsed with the store are looked at, a small part
	// of the seconds for which they count.
	sweepInterval = 200 * time.Millisecond
	// connsEvery is how often expired connections to targets are closed, about as long
	// as they are kept.
	connSweepInterval = 5 * time.Second
	// guardEvery is how often requests that need not be held back any more are forgotten, a small part of
	// the minutes for which they are.
	guardSweepInterval = 10 * time.Second
)

// RunUntilSignal serves until the process is told to stop, reloads when told to, and drains.
func (n *Node) RunUntilSignal() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	n.Run(ctx, hup)
}

// Run serves until the context ends and then drains: the router says that it is
// leaving, takes new requests for a while longer, and waits for those in flight.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) {
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	_ = level.Info(n.Logger).Log("msg", "start", "callers", n.listeners.callers.Addr(), "peers", n.self.Addr,
		"zone", n.self.Zone, "incarnation", n.self.Incarnation)
	callers, peers, ready := n.callerServer(), n.peerServer(), n.readyServer()
	n.serve(&wg, ready, n.listeners.ready)
	n.serve(&wg, peers, n.meter.Listener(n.listeners.peers))
	n.serve(&wg, callers, n.gate)
	n.startBackground(background, &wg)
	wg.Go(func() { n.watchSettings(background, reload) })
	<-ctx.Done()
	n.drain(callers)
	stop()
	// The process ends: a listener that cannot be closed goes with it.
	_ = peers.Close()
	_ = ready.Close()
	_ = level.Info(n.Logger).Log("msg", "stop")
}

// work starts what goes on beside the servers until the context ends.
func (n *Node) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	for _, name := range n.followedTables() {
		wg.Go(func() {
			n.waitForDiscovery(ctx)
			n.follower(name).Run(ctx)
		})
	}
	wg.Go(func() { n.puller.Run(ctx) })
	wg.Go(func() { n.catchUp(ctx) })
	wg.Go(func() { mesh.Every(ctx, sweepInterval, func(context.Context) { n.board.Sweep() }) })
	wg.Go(func() { mesh.Every(ctx, connSweepInterval, func(context.Context) { n.conns.Sweep(n.Clock()) }) })
	wg.Go(func() {
		n.waitForDiscovery(ctx)
		n.guard.Run(ctx)
	})
	wg.Go(func() { mesh.Every(ctx, guardSweepInterval, func(context.Context) { n.guard.Sweep() }) })
	wg.Go(func() { n.announce(ctx) })
	wg.Go(func() { n.peers.Run(ctx) })
	wg.Go(func() { n.mesh.Run(ctx) })
	wg.Go(func() { n.becomeReady(ctx) })
	if n.rollouts.enabled() {
		wg.Go(func() { mesh.Every(ctx, judgeInterval, n.writeVerdicts) })
	}
}

// serve runs a server until it is closed.
func (n *Node) serve(wg *sync.WaitGroup, s *http.Server, l net.Listener) {
	wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(n.Logger).Log("msg", "a listener has failed", "addr", l.Addr(), "err", err)
		}
	})
}

// drain stops taking requests without cutting any off.
func (n *Node) drain(callers *http.Server) {
	start := n.Clock()
	n.draining.Store(true)
	_ = level.Info(n.Logger).Log("msg", "draining")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Load().Grace-graceMargin)
	defer cancel()
	n.peers.Do(func(v *peer.View) { v.Leave(n.Clock()) })
	for range leaveGossipRounds {
		n.peers.Tell(ctx)
	}
	n.mesh.Refresh(ctx)
	n.removeOwnRow(ctx)
	pause.For(ctx, drainDelay-n.Clock().Sub(start))
	if err := callers.Shutdown(ctx); err != nil {
		_ = level.Error(n.Logger).Log("msg", "stopped with requests in flight", "err", err)
	}
}
