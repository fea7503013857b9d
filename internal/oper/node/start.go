package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/share/peer"
)

// incarnationWait bounds the reading of this router's own row at the start.
const incarnationTimeout = 400 * time.Millisecond

// incarnation reads the routers' rows and returns a number above that of this router's
// earlier processes: the time, or one more than the row says, should the clock have been
// set back.
func (n *Node) incarnation(now time.Time) ident.Incarnation {
	ctx, cancel := context.WithTimeout(context.Background(), incarnationTimeout)
	defer cancel()
	fromClock := ident.Incarnation(now.UnixMilli())
	page, err := n.Store.All(ctx, routerTable)
	if err != nil {
		_ = level.Warn(n.Logger).Log("msg", "routers cannot be read at the start", "err", err)
		return fromClock
	}
	n.state.setRouters(page.Rows)
	for _, row := range page.Rows {
		// A row that cannot be read tells of no earlier process.
		if previous, err := decodeRouter(row); err == nil && previous.ID == n.settings.Load().ID {
			return max(fromClock, previous.Incarnation+1)
		}
	}
	return fromClock
}

const (
	// settleWait is how long the first router of a new fleet gives the others to write their
	// rows too; they all start within 0.3 s.
	firstStartDelay = 500 * time.Millisecond
	// introductionWait is how long a router of a new fleet at most holds back from reading
	// the store for itself.
	discoveryTimeout = 2 * time.Second
)

// introduce has a router of a new fleet learn who the others are before it reads the
// store's tables: they would otherwise all read them whole, each for itself.
func (n *Node) discoverPeers(ctx context.Context) {
	defer close(n.discovered)
	if !n.settings.Load().First || !n.hasNoPeers() {
		return
	}
	pause.For(ctx, firstStartDelay)
	n.readRouters(ctx)
}

// awaitIntroduction waits until a router of a new fleet knows the others, for a while.
func (n *Node) waitForDiscovery(ctx context.Context) {
	if !n.settings.Load().First {
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

// headStartEach is how long, for each router that is known, the readers of a fleet that has
// just started may take until the others read the store too: 80 ms at 62 routers, where
// reading the store whole is cheap, 0.4 s at 300, where all of them would read 300 MB.
const headStartPerRouter = 1300 * time.Microsecond

// readyPause is the pause between two looks whether this router can serve, next to
// nothing beside the round trips that it takes.
const readyPollInterval = 20 * time.Millisecond

// storeTime is how long a router that starts leaves the store to answer before it asks the
// other routers too: several times what the store takes. A store that is silent would
// otherwise be waited for until the call times out, while those that know everything stop.
const peerFallbackDelay = 100 * time.Millisecond

// consultTime is how long a router that knows all that it needs waits for another to tell what it has in force:
// many round trips. While the store shows an older configuration, back from an older copy, only they know.
const peerConfirmTimeout = 300 * time.Millisecond

// becomeReady waits until configuration and targets are known. It reads the store too once
// the readers have had their head start, and from others once the store has had its time.
func (n *Node) becomeReady(ctx context.Context) {
	defer n.roles.Press(false)
	defer n.roles.Starve(false)
	defer n.roles.Consult(false)
	storeFallbackAt := n.Clock().Add(n.headStart())
	peerFallbackAt := n.Clock().Add(peerFallbackDelay)
	var tablesKnown time.Time
	for ctx.Err() == nil {
		if tablesKnown.IsZero() && n.tablesKnown() {
			tablesKnown = n.Clock()
		}
		if !tablesKnown.IsZero() && n.peersConsulted(tablesKnown) {
			n.mesh.Update()
			n.ready.Store(true)
			_ = level.Info(n.Logger).Log("msg", "ready", "revision", n.Table().Revision)
			return
		}
		if n.Clock().After(storeFallbackAt) {
			n.roles.Press(true)
		}
		if n.Clock().After(peerFallbackAt) {
			n.roles.Starve(true)
		}
		pause.For(ctx, readyPollInterval)
	}
}

// informed reports whether configuration and targets are known.
func (n *Node) tablesKnown() bool {
	_, targets := n.board.Position(n.Rows.TargetTable())
	return n.state.inForce.Load() != nil && targets
}

// consulted reports whether others have told what they have in force, there are none, or they have had their
// time since a moment.
func (n *Node) peersConsulted(since time.Time) bool {
	return n.roles.Consulted() || n.hasNoPeers() || n.Clock().Sub(since) > peerConfirmTimeout
}

// headStart is how long this router leaves the reading of the store to the readers.
func (n *Node) headStart() time.Duration {
	routers := 0
	n.peers.Read(func(v *peer.View) { routers = len(v.Members()) })
	return time.Duration(routers) * headStartPerRouter
}
