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

	"valescale/internal/edge/entry"
	"valescale/internal/oper/mesh"
	"valescale/internal/plat/pause"
	"valescale/internal/share/peer"
)

const (
	// drainDelay is how long a stopping router still accepts new connections. The platform checks
	// readiness every second and stops sending after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace period reserved for the last steps of a stop.
	graceMargin = 400 * time.Millisecond
	// leaveGossipRounds is how many times a leaving router gossips its state to peers.
	leaveGossipRounds = 2
	// sweepInterval is the interval at which rows that expire with the store are checked. It is a
	// small part of the seconds for which they are valid.
	sweepInterval = 200 * time.Millisecond
	// connSweepInterval is the interval at which expired connections to targets are closed, about
	// as long as they are kept.
	connSweepInterval = 5 * time.Second
	// guardSweepInterval is the interval at which expired quarantined requests are evicted. It is a
	// small part of the minutes for which they are quarantined.
	guardSweepInterval = 10 * time.Second
)

// Signals are the signals that stop a router and reload its settings.
type Signals struct {
	// stop is ended by SIGTERM or an interrupt.
	stop   context.Context
	reload <-chan os.Signal
}

// CatchSignals catches the signals from now on, and returns a function that gives them back. A process calls it first:
// until then a SIGHUP ends it.
func CatchSignals() (Signals, func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return Signals{stop: ctx, reload: hup}, func() {
		cancel()
		signal.Stop(hup)
	}
}

// RunUntilSignal serves until SIGTERM or an interrupt and then drains. SIGHUP reloads the settings.
func (n *Node) RunUntilSignal(s Signals) { n.Run(s.stop, s.reload) }

// Run serves until the context ends and then drains: the router announces that it is leaving,
// accepts new requests during drainDelay, and waits for those in flight. If the router is closed meanwhile, Run ends at
// once and breaks off what is in flight.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) {
	n.running.Lock()
	defer n.running.Unlock()
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	_ = level.Info(n.Logger).Log("msg", "start", "callers", n.listeners.callers.Addr(), "peers", n.self.Addr,
		"zone", n.self.Zone, "incarnation", n.self.Incarnation)
	callers, peers, ready := n.callerServer(), n.peerServer(), n.readyServer()
	n.serve(&wg, ready, n.listeners.ready)
	n.serve(&wg, peers, n.meter.Listener(n.listeners.peers))
	callersServed := n.serve(&wg, callers, n.gate)
	n.startBackground(background, &wg)
	wg.Go(func() { n.watchSettings(background, reload) })
	select {
	case <-ctx.Done():
		n.drain(callersServed)
	case <-n.closed:
		n.breakOff(callers)
	}
	stop()
	// The process exits, so a listener that cannot be closed is closed by the kernel.
	_ = peers.Close()
	_ = ready.Close()
	_ = level.Info(n.Logger).Log("msg", "stop")
}

// breakOff ends what is in flight for callers, and tunnels of peers. The gate of the callers' listener would first accept
// those that it has queued.
func (n *Node) breakOff(callers *http.Server) {
	_ = n.listeners.callers.Close()
	_ = callers.Close()
	ended, end := context.WithCancel(context.Background())
	end()
	// The error says that tunnels were open.
	_ = n.tunnels.Shutdown(ended)
}

// startBackground starts the background work, which runs until the context ends.
func (n *Node) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	for _, name := range n.followedTables() {
		wg.Go(func() {
			n.waitForDiscovery(ctx)
			n.follower(name).Run(ctx)
		})
	}
	wg.Go(func() { n.puller.Run(ctx) })
	wg.Go(func() { n.catchUp(ctx) })
	wg.Go(func() { mesh.RunEvery(ctx, sweepInterval, func(context.Context) { n.replicas.Sweep() }) })
	wg.Go(func() { mesh.RunEvery(ctx, sweepInterval, func(context.Context) { n.sweepBrittle() }) })
	wg.Go(func() { mesh.RunEvery(ctx, connSweepInterval, func(context.Context) { n.conns.Sweep(n.Clock()) }) })
	wg.Go(func() {
		n.waitForDiscovery(ctx)
		n.guard.Run(ctx)
	})
	wg.Go(func() { mesh.RunEvery(ctx, guardSweepInterval, func(context.Context) { n.guard.Sweep() }) })
	wg.Go(func() { n.followMemory(ctx) })
	wg.Go(func() { n.announce(ctx) })
	wg.Go(func() { n.peers.Run(ctx) })
	wg.Go(func() { n.mesh.Run(ctx) })
	wg.Go(func() { n.origins.Run(ctx) })
	wg.Go(func() { n.origins.RunRecord(ctx) })
	wg.Go(func() { n.origins.RunArchive(ctx) })
	wg.Go(func() { mesh.RunEvery(ctx, runInterval, func(context.Context) { n.suspension.recordRun() }) })
	wg.Go(func() { n.becomeReady(ctx) })
	if n.rollouts.enabled() {
		wg.Go(func() { mesh.RunEvery(ctx, judgeInterval, n.writeVerdicts) })
	}
}

// serve runs a server until it is closed. The channel is closed when it has accepted its last connection.
func (n *Node) serve(wg *sync.WaitGroup, s *http.Server, l net.Listener) <-chan struct{} {
	served := make(chan struct{})
	wg.Go(func() {
		defer close(served)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(n.Logger).Log("msg", "listener failed", "addr", l.Addr(), "err", err)
		}
	})
	return served
}

// drain stops accepting requests without interrupting those in flight.
func (n *Node) drain(callersServed <-chan struct{}) {
	start := n.Clock()
	n.draining.Store(true)
	_ = level.Info(n.Logger).Log("msg", "draining")
	grace := n.settings.Load().GracePeriod - graceMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	now := time.Now()
	n.callerConns.AnnounceStop(now.Add(drainDelay), now.Add(grace))
	n.peers.UpdateView(func(v *peer.View) { v.Leave(n.Clock()) })
	for range leaveGossipRounds {
		n.peers.GossipNow(ctx)
	}
	n.mesh.Refresh(ctx)
	n.removeOwnRow(ctx)
	pause.Sleep(ctx, drainDelay-n.Clock().Sub(start))
	if err := stopCallers(ctx, n.gate, n.callerConns, callersServed); err != nil {
		_ = level.Error(n.Logger).Log("msg", "stopped with requests in flight", "err", err)
	}
	if err := n.tunnels.Shutdown(ctx); err != nil {
		_ = level.Error(n.Logger).Log("msg", "stopped with tunnels of peers open", "err", err)
	}
	n.origins.Flush(ctx)
}

// stopCallers accepts no more callers and waits for those whose requests have arrived. http.Server.Shutdown would
// close connections on which a request has arrived and is not read yet, and drop requests that are being read.
func stopCallers(ctx context.Context, gate *entry.Gate, conns *entry.CallerConns, served <-chan struct{}) error {
	// A listener that cannot be closed is closed by the kernel when the process exits.
	_ = gate.Close()
	select {
	case <-served:
	case <-ctx.Done():
	}
	return conns.Stop(ctx)
}
