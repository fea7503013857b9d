package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/share/peer"
)

// incarnationTimeout is the timeout of the read of this router's own row at the start.
const incarnationTimeout = 400 * time.Millisecond

// incarnation reads the routers' rows and returns a number above those of this router's earlier
// processes: the current time, or one more than the number in the row if the clock has been set
// back.
func (n *Node) incarnation(now time.Time) ident.Incarnation {
	ctx, cancel := context.WithTimeout(context.Background(), incarnationTimeout)
	defer cancel()
	fromClock := ident.Incarnation(now.UnixMilli())
	page, err := n.Store.All(ctx, routerTable)
	if err != nil {
		_ = level.Warn(n.Logger).Log("msg", "failed to read the routers' rows at start", "err", err)
		return fromClock
	}
	n.state.setRouters(page.Rows)
	for _, row := range page.Rows {
		// A row that cannot be decoded is no evidence of an earlier process.
		if previous, err := decodeRouter(row); err == nil && previous.ID == n.settings.Load().ID {
			return max(fromClock, previous.Incarnation+1)
		}
	}
	return fromClock
}

const (
	// firstStartDelay is how long the first router of a new fleet waits for its peers to write
	// their rows. They all start within 0.3 s.
	firstStartDelay = 500 * time.Millisecond
	// discoveryTimeout is the maximum time that a router of a new fleet waits for the discovery of
	// its peers before it reads the store's tables.
	discoveryTimeout = 2 * time.Second
)

// discoverPeers makes a router of a new fleet discover its peers before it reads the store's
// tables. Otherwise every router would read them in full.
func (n *Node) discoverPeers(ctx context.Context) {
	defer close(n.discovered)
	if !n.settings.Load().FirstStart || !n.hasNoPeers() {
		return
	}
	pause.Sleep(ctx, firstStartDelay)
	n.readRouters(ctx)
}

// waitForDiscovery waits until a router of a new fleet has discovered its peers, for at most
// discoveryTimeout.
func (n *Node) waitForDiscovery(ctx context.Context) {
	if !n.settings.Load().FirstStart {
		return
	}
	timer := time.NewTimer(discoveryTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.discovered:
	}
}

// headStartPerRouter is how long, multiplied by the number of known routers, the readers of a fleet
// that has just started may take until the other routers read the store too. This is 80 ms at 62
// routers, where a full read of the store is cheap, and 0.4 s at 300, where all of them would read
// 300 MB.
const headStartPerRouter = 1300 * time.Microsecond

// readyPollInterval is the interval between two checks whether this router can serve. It is
// negligible next to the round trips that a start takes.
const readyPollInterval = 20 * time.Millisecond

// peerFallbackDelay is how long a starting router waits for the store before it also queries peers.
// It is several times the store's usual response time. Otherwise the router would wait for the
// timeout of a call to an unresponsive store while the peers that have all data stop.
const peerFallbackDelay = 100 * time.Millisecond

// peerConfirmTimeout is how long a router that has all tables waits for a peer to report the
// configuration in force. It covers many round trips. After a store rollback the store shows an
// older configuration, and only peers have the current one.
const peerConfirmTimeout = 300 * time.Millisecond

// statusTimeout is how long a router that has all other tables waits for the statuses of rollouts. Without them it
// does not know which versions have been reverted or replaced. It covers several attempts to read a small table. A
// router that serves without them sends requests to a canary only if the service has no other target, which is
// better for callers than a router that does not serve.
const statusTimeout = time.Second

// becomeReady waits until all tables are loaded, for the statuses of rollouts at most statusTimeout. It also reads the store once the
// readers' head start is over, and queries peers once peerFallbackDelay is over.
func (n *Node) becomeReady(ctx context.Context) {
	defer n.roles.SetAlsoStore(false)
	defer n.roles.SetAlsoPeers(false)
	defer n.roles.SetConsulting(false)
	storeFallbackAt := n.Clock().Add(n.headStart())
	peerFallbackAt := n.Clock().Add(peerFallbackDelay)
	var tablesLoaded time.Time
	for ctx.Err() == nil {
		if tablesLoaded.IsZero() && n.tablesLoaded() {
			tablesLoaded = n.Clock()
		}
		if !tablesLoaded.IsZero() && n.peersConsulted(tablesLoaded) && n.statusesRead(tablesLoaded) {
			n.mesh.Update()
			n.ready.Store(true)
			_ = level.Info(n.Logger).Log("msg", "ready", "revision", n.Table().Revision)
			return
		}
		if n.Clock().After(storeFallbackAt) {
			n.roles.SetAlsoStore(true)
		}
		if n.Clock().After(peerFallbackAt) {
			n.roles.SetAlsoPeers(true)
		}
		pause.Sleep(ctx, readyPollInterval)
	}
}

// tablesLoaded reports whether configuration and targets are loaded.
func (n *Node) tablesLoaded() bool {
	_, targets := n.replicas.Position(n.Rows.TargetTable())
	return n.state.inForce.Load() != nil && targets
}

// statusesRead reports whether the statuses of rollouts are loaded or not needed, or statusTimeout has passed since
// the given time.
func (n *Node) statusesRead(since time.Time) bool {
	if !n.rollouts.enabled() {
		return true
	}
	if _, read := n.replicas.Position(n.Rows.StatusTable()); read {
		return true
	}
	if n.Clock().Sub(since) <= statusTimeout {
		return false
	}
	_ = level.Warn(n.Logger).Log("msg", "serving without the statuses of rollouts")
	return true
}

// peersConsulted reports whether peers have reported the configuration in force, there are no
// peers, or peerConfirmTimeout has passed since the given time.
func (n *Node) peersConsulted(since time.Time) bool {
	return n.roles.Consulted() || n.hasNoPeers() || n.Clock().Sub(since) > peerConfirmTimeout
}

// headStart returns how long this router leaves reading the store to the readers.
func (n *Node) headStart() time.Duration {
	routers := 0
	n.peers.Read(func(v *peer.View) { routers = len(v.Members()) })
	return time.Duration(routers) * headStartPerRouter
}
